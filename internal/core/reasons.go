package core

import "github.com/brookwalk/brookwalk/internal/core/election"

// stopReason tells why a task is stopped.
type stopReason string

const (
	stopCancelled  stopReason = "cancelled"
	stopJobOver    stopReason = "over"
	stopPreempted  stopReason = "preempted"
	stopGangBroken stopReason = "gang broken"
	stopDrained    stopReason = "machine leaves"
	stopMoved      stopReason = "moves to another machine"
)

// lossReason tells why a task is certainly gone without an end of its own, see
// gone.go.
type lossReason string

const (
	lossSession      lossReason = "session"
	lossVanished     lossReason = "vanished"
	lossNeverStarted lossReason = "never started"
	lossLease        lossReason = "lease"
	lossMachine      lossReason = "machine"
)

// drainReason tells why a machine takes no more tasks, or goes back to the
// cloud. It is empty for one that takes tasks.
type drainReason string

const (
	drainFailing      drainReason = "fails the tasks it starts"
	drainConsolidated drainReason = "its replicas fit on other machines"
	drainUnconfirmed  drainReason = "cancelled work is not confirmed gone"
	drainDead         drainReason = "dead"
	drainFailed       drainReason = "failed"
	drainSilent       drainReason = "silent"
	drainLosesLease   drainReason = "loses its lease again and again"
	drainDeaf         drainReason = "does not hear"
	drainUnlisted     drainReason = "no longer listed"
	drainNeverUp      drainReason = "does not come up"
	drainTakenByCloud drainReason = "will be taken"
	drainIdle         drainReason = "idle"
	drainDear         drainReason = "dear for the guests' work that alone runs on it"
)

// Reasons for which a controller gives up its leadership, beside those that the
// election finds.
const (
	stepDownWorkerKnows election.Reason = "a worker has seen a higher term"
	stepDownPeerKnows   election.Reason = "a peer knows a higher term"
	stepDownTermChanged election.Reason = "the term has changed"
)
