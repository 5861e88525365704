package core

import "github.com/brookwalk/brookwalk/internal/core/election"

// stopReason tells why a task is stopped.
type stopReason string

const (
	stopCancelled   stopReason = "cancelled"
	stopJobEnded    stopReason = "over"
	stopPreempted   stopReason = "preempted"
	stopGangAborted stopReason = "gang broken"
	stopDrained     stopReason = "machine leaves"
	stopRescheduled stopReason = "moves to another machine"
)

// lossReason tells why a task is certainly gone without an end of its own, see
// gone.go.
type lossReason string

const (
	lossNewIncarnation    lossReason = "session"
	lossNotInHeartbeat    lossReason = "vanished"
	lossNeverStarted      lossReason = "never started"
	lossLeaseExpired      lossReason = "lease"
	lossMachineTerminated lossReason = "machine"
)

// Reasons for which a controller gives up its leadership, beside those that the
// election finds.
const (
	stepDownWorkerHigherTerm election.StepDownReason = "a worker has seen a higher term"
	stepDownPeerHigherTerm   election.StepDownReason = "a peer knows a higher term"
	stepDownTermChanged      election.StepDownReason = "the term has changed"
)
