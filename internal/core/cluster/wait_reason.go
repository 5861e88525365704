package cluster

import "time"

// WaitReason is why tasks of a job that could run have no machine. Its text is part of log lines.
type WaitReason string

// Reasons for which a job waits.
const (
	WaitLimit         WaitReason = "team at its limit"
	WaitShare         WaitReason = "the region's share of the team's limit is used, other regions own the rest"
	WaitNoOffer       WaitReason = "no machine can be provisioned now"
	WaitForMachines   WaitReason = "machines are being provisioned or become free"
	WaitFaulty        WaitReason = "its tasks fail on every machine"
	WaitForPreemption WaitReason = "tasks are being preempted for it"
)

// LoggedWait is what was last logged about why a job waits.
type LoggedWait struct {
	LastReason     WaitReason    // at any level
	LastInfoReason WaitReason    // at level info
	LastInfoAt     time.Duration // 0 for never
}
