package cluster

// DrainReason is why a machine takes no more tasks, or is returned to the cloud. It is
// empty for one that takes tasks. Its text is part of log lines.
type DrainReason string

// Reasons to drain a machine.
const (
	DrainOutlier                 DrainReason = "tasks fail on it"
	DrainConsolidated            DrainReason = "its replicas fit on other machines"
	DrainCancellationUnconfirmed DrainReason = "termination of cancelled tasks is not confirmed"
	DrainDead                    DrainReason = "does not answer probes"
	DrainListedFailed            DrainReason = "listed as failed"
	DrainSilent                  DrainReason = "heartbeats missed"
	DrainLeaseExpiries           DrainReason = "its lease expires repeatedly"
	DrainUnreachable             DrainReason = "unreachable for commands"
	DrainUnlisted                DrainReason = "no longer listed"
	DrainBootTimeout             DrainReason = "boot timeout"
	DrainPreemptionNotice        DrainReason = "preemption notice"
	DrainIdle                    DrainReason = "idle"
	DrainCostly                  DrainReason = "too expensive for the best-effort work that alone runs on it"
)
