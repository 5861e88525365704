// Package reconcile compares workers' heartbeats with the leader's placements.
//
// It decides what a heartbeat means for each placement, when a task has certainly terminated,
// which machines are unhealthy, whom to probe and which commands a worker is to get. It is the
// only one to change a machine's cluster.HeartbeatState (but for the lease extensions that other
// controllers report) and cluster.CommandState, and what heartbeats show of a task. It does
// no I/O, does not log and keeps no time: package core, which calls it, passes it the time and
// carries out its decisions.
package reconcile

import "time"

// Timing is the settings that reconciliation depends on.
type Timing struct {
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration
	// MaxLeaseExtension is how long controllers extend leases without the leader.
	MaxLeaseExtension time.Duration
}

// LeaseExpiryBound is the time without an answer after which the lease of a worker that has seen
// this term has certainly expired: the lease itself, the drift of two steady clocks, and a margin
// for the leader's own late timers.
func (t Timing) LeaseExpiryBound() time.Duration { return t.WorkerLease + t.WorkerLease/20 }

// HeartbeatOverdueAfter is the time without a heartbeat after which one must have been missed:
// they come up to a quarter of the interval early or late.
func (t Timing) HeartbeatOverdueAfter() time.Duration {
	return t.HeartbeatInterval + t.HeartbeatInterval*3/8
}

// silentAfter is the time without a heartbeat after which a machine is silent, and not only a
// heartbeat late.
func (t Timing) silentAfter() time.Duration { return 3 * t.HeartbeatInterval }

// workerFailoverTime is how long a worker takes to leave a controller that does not answer: by
// the protocol 4 s until it stops waiting for the answer, and 1 s until it tries the next one.
const workerFailoverTime = 5 * time.Second

// deadAfter is the silence after which a machine that answers no probe is considered dead, if
// others of its zone and controller are heard: its worker had the time to change controllers with
// a margin, and missed a heartbeat.
func (t Timing) deadAfter() time.Duration {
	return max(workerFailoverTime*8/5, 2*t.HeartbeatInterval)
}

// ProbeTimeout is how long a worker may take to answer a probe: the answer takes milliseconds,
// or the time of one retransmission.
func (t Timing) ProbeTimeout() time.Duration { return max(t.HeartbeatInterval/2, time.Second) }
