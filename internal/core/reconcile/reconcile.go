// Package reconcile compares workers' heartbeats with the leader's placements.
//
// It decides what a heartbeat means for each placement, when a task is confirmed to have terminated,
// which machines are unhealthy, which machines to probe, and which commands to send to a worker. No
// other package changes a machine's cluster.HeartbeatState and cluster.CommandState, or the state of
// a task that heartbeats report. The package performs no I/O, does not log and reads no clock:
// package core calls it, passes it the time and carries out its decisions.
package reconcile

import "time"

// Timing holds the timing settings that reconciliation depends on.
type Timing struct {
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration
	// MaxLeaseExtension is how long controllers extend leases without contact with the leader.
	MaxLeaseExtension time.Duration
}

// LeaseExpiryBound returns the time since the last heartbeat response after which the lease of a
// worker that has seen this term is guaranteed to have expired: the lease itself, plus a margin for
// the drift between two monotonic clocks and for late timers of the leader.
func (t Timing) LeaseExpiryBound() time.Duration { return t.WorkerLease + t.WorkerLease/20 }

// HeartbeatOverdueAfter returns the time without a heartbeat after which one has been missed.
// Heartbeats arrive up to a quarter of the interval early or late.
func (t Timing) HeartbeatOverdueAfter() time.Duration {
	return t.HeartbeatInterval + t.HeartbeatInterval*3/8
}

// silentAfter returns the time without a heartbeat after which a machine counts as silent. One
// missed heartbeat is not enough.
func (t Timing) silentAfter() time.Duration { return 3 * t.HeartbeatInterval }

// workerFailoverTime is how long a worker takes to switch from an unresponsive controller to the
// next one. By the protocol, its request times out after 4 s and it tries the next controller 1 s
// later.
const workerFailoverTime = 5 * time.Second

// deadAfter returns the silence after which a machine that does not answer probes is considered
// dead, provided that other machines of its zone and controller are heard from. It is long enough
// for the worker to switch controllers, with a margin, and for a heartbeat to be missed.
func (t Timing) deadAfter() time.Duration {
	return max(workerFailoverTime*8/5, 2*t.HeartbeatInterval)
}

// ProbeTimeout returns how long to wait for the response to a probe. A response takes milliseconds,
// or the time of one retransmission.
func (t Timing) ProbeTimeout() time.Duration { return max(t.HeartbeatInterval/2, time.Second) }
