package core

import "time"

// A controller may stand still for a while, with its whole process, and then go on as if
// nothing had been. What it believes of leadership, workers and jobs is then as old as that
// while: it acts on none of it before the state service, a peer or a worker has confirmed
// it, since its writes are conditional on the term, its commands carry the term, and its
// answers to users are read from the state service or confirmed there first.

// pauseThreshold is from when on a time without any input passes for a standstill: ticks
// come many times in a report's time.
func (c *Core) pauseThreshold() time.Duration { return c.heartbeatInterval() }

// logProcessPause logs that the controller has stood still, if no input came between the
// last one and now.
func (c *Core) logProcessPause(now time.Duration) {
	pause := now - c.now
	if c.now == 0 || pause < c.pauseThreshold() {
		return
	}
	leaseEnded := c.leader != nil && pause > c.leaderLeaseDuration()
	c.log.Warn("stood still", "for_s", pause.Seconds(), "leading", c.leader != nil, "term", c.election.Term(),
		"own_lease_ended", leaseEnded, "calls_open", len(c.pendingCalls), "reports_waiting", len(c.forwardedHeartbeats))
}
