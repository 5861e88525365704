package cluster

// DrainReason is why a machine accepts no new tasks or is returned to the cloud; empty if the
// machine accepts tasks. Its text appears in log lines.
type DrainReason string

// Reasons to drain a machine.
const (
	DrainOutlier                 DrainReason = "tasks fail on the machine"
	DrainConsolidated            DrainReason = "its replicas fit on other machines"
	DrainCancellationUnconfirmed DrainReason = "termination of cancelled tasks is not confirmed"
	DrainDead                    DrainReason = "does not answer probes"
	DrainListedFailed            DrainReason = "cloud lists the machine as failed"
	DrainSilent                  DrainReason = "heartbeats missed"
	DrainLeaseExpiries           DrainReason = "worker lease expired repeatedly"
	DrainUnreachable             DrainReason = "unreachable for commands"
	DrainUnlisted                DrainReason = "no longer listed by the cloud"
	DrainBootTimeout             DrainReason = "boot timeout"
	DrainPreemptionNotice        DrainReason = "preemption notice"
	DrainIdle                    DrainReason = "idle"
	DrainTooExpensive            DrainReason = "runs only best-effort tasks and is too expensive for them"
)
