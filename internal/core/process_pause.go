package core

import "time"

// The whole process of a controller may be paused for a while and then resume. After the pause, its
// state of the leadership, the workers and the jobs is out of date. This is safe, because that
// state takes effect only once the key-value store, a peer or a worker has confirmed it: writes are
// conditional on the term, commands carry the term as fencing token, and answers to users are read
// from the store or verified there first.

// pauseThreshold returns the time without input from which the process is considered to have been
// paused. Normally there are many ticks in a heartbeat interval.
func (c *Core) pauseThreshold() time.Duration { return c.heartbeatInterval() }

// logProcessPause logs a pause of the process if the previous input was processed at least
// pauseThreshold before now.
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
