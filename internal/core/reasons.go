package core

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
)

// stepDownReason tells why a controller gives up its leadership.
type stepDownReason string

const (
	stepDownHigherTerm  stepDownReason = "a higher term exists"
	stepDownWorkerKnows stepDownReason = "a worker has seen a higher term"
	stepDownPeerKnows   stepDownReason = "a peer knows a higher term"
	stepDownTermChanged stepDownReason = "the term has changed"
	stepDownLeaseEnded  stepDownReason = "the lease ran out"
)
