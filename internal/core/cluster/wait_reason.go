package cluster

import "time"

// WaitReason is why tasks of a job that could run have no machine. Its text appears in log lines.
type WaitReason string

// Reasons for which a job waits.
const (
	WaitTeamLimit     WaitReason = "team at its limit"
	WaitRegionShare   WaitReason = "the region's share of the team's limit is used up; other regions own the rest"
	WaitNoOffer       WaitReason = "no machine can be provisioned now"
	WaitForMachines   WaitReason = "waiting for machines to be provisioned or to become free"
	WaitJobFaulty     WaitReason = "its tasks fail on every machine"
	WaitForPreemption WaitReason = "tasks are being preempted for it"
)

// LoggedWait is the wait reason that was last logged for a job.
type LoggedWait struct {
	LastReason     WaitReason    // last logged at any level
	LastInfoReason WaitReason    // last logged at level info
	LastInfoAt     time.Duration // when it was logged at level info; 0 for never
}
