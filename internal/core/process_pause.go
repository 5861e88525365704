package core

import "time"

// The process of a controller may be paused for a while, as a whole, and then resume as if
// nothing had happened. What it believes of leadership, workers and jobs is then as old as
// the pause. It acts on none of it before the key-value store, a peer or a worker has
// confirmed it: its writes are conditional on the term, its commands carry the term as fencing
// token, and its answers to users are read from the store or confirmed there first.

// pauseThreshold is the time without any input from which on the process counts as paused:
// many ticks come in one heartbeat interval.
func (c *Core) pauseThreshold() time.Duration { return c.heartbeatInterval() }

// logProcessPause logs a pause of the process, if no input came for pauseThreshold before the
// one at the time now.
func (c *Core) logProcessPause(now time.Duration) {
	pause := now - c.now
	if c.now == 0 || pause < c.pauseThreshold() {
		return
	}
	leading := c.leader != nil
	c.log.Warn("process paused",
		"duration_s", pause.Seconds(),
		"leading", leading,
		"term", c.election.Term(),
		"own_lease_expired", leading && pause > c.leaderLeaseDuration(),
		"calls_pending", len(c.pendingCalls),
		"heartbeats_pending", len(c.forwardedHeartbeats))
}
