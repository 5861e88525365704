package core

import "github.com/brookwalk/brookwalk/internal/core/election"

// stopReason is why a task is stopped. Its text appears in log lines.
type stopReason string

// Reasons to stop a task.
const (
	stopCancelled   stopReason = "job cancelled"
	stopJobEnded    stopReason = "job ended"
	stopPreempted   stopReason = "preempted"
	stopGangAborted stopReason = "gang attempt aborted"
	stopDrained     stopReason = "machine drained"
	stopRescheduled stopReason = "rescheduled to another machine"
)

// Reasons to step down, in addition to those that package election detects.
const (
	stepDownWorkerHigherTerm election.StepDownReason = "a worker has seen a higher term"
	stepDownPeerHigherTerm   election.StepDownReason = "a peer has seen a higher term"
	stepDownTermChanged      election.StepDownReason = "the term has changed"
	stepDownTokensUsedUp     election.StepDownReason = "the fencing tokens of the term are used up"
)
