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

// drainReason tells why a machine takes no more tasks, or goes back to the
// cloud. It is empty for one that takes tasks.
type drainReason string

const (
	drainOutlier                 drainReason = "fails the tasks it starts"
	drainConsolidated            drainReason = "its replicas fit on other machines"
	drainCancellationUnconfirmed drainReason = "cancelled work is not confirmed gone"
	drainDead                    drainReason = "dead"
	drainListedFailed            drainReason = "failed"
	drainSilent                  drainReason = "silent"
	drainLeaseExpiries           drainReason = "loses its lease again and again"
	drainUnreachable             drainReason = "does not hear"
	drainUnlisted                drainReason = "no longer listed"
	drainBootTimeout             drainReason = "does not come up"
	drainPreemptionNotice        drainReason = "will be taken"
	drainIdle                    drainReason = "idle"
	drainCostly                  drainReason = "dear for the guests' work that alone runs on it"
)

// Reasons for which a controller gives up its leadership, beside those that the
// election finds.
const (
	stepDownWorkerHigherTerm election.StepDownReason = "a worker has seen a higher term"
	stepDownPeerHigherTerm   election.StepDownReason = "a peer knows a higher term"
	stepDownTermChanged      election.StepDownReason = "the term has changed"
)
