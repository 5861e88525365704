package scheduler

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// Kinds of the deployment's objectives.
const (
	ObjectiveWait      = "wait"      // tasks of a class start within a time
	ObjectiveGuarantee = "guarantee" // tasks within quota start within a time
	ObjectiveFinished  = "finished"  // jobs of a class finish within a time
)

// WaitingTime returns the time since a job was submitted, or since its last dependency finished.
func (s *Scheduler) WaitingTime(job *cluster.Job) time.Duration {
	return time.Duration(s.host.WallClockMS()-job.WaitingSinceMS) * time.Millisecond
}

// maxClassWait returns how long the tasks of a class may wait by its wait objectives, in seconds;
// +Inf without such an objective.
func (s *Scheduler) maxClassWait(class string) float64 {
	within := math.Inf(1)
	for _, o := range s.deployment.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxWait returns how long a job's tasks may wait, in seconds, by the wait objectives of its class
// and, if it is within quota and uses a guaranteed resource, by the guarantee objectives; +Inf
// without such an objective.
func (s *Scheduler) maxWait(job *cluster.Job) float64 {
	within := s.maxClassWait(job.Class)
	if !job.WithinQuota || !AnyGuaranteeFor(s.deployment.Teams, &job.Job) {
		return within
	}
	for _, o := range s.deployment.Objectives {
		if o.Kind == ObjectiveGuarantee {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxPullTime returns how long the pull of an image may usually take, in seconds, without risk to
// the wait objective of a class. It leaves a third of the wait as a margin, because concurrent pulls
// share the pull rate, which varies by a third.
func (s *Scheduler) maxPullTime(class string) float64 {
	return s.maxClassWait(class) * 2 / 3
}

// limitsPullTime reports whether the class has a wait objective, which limits the time of pulls.
func (s *Scheduler) limitsPullTime(class string) bool {
	return !math.IsInf(s.maxPullTime(class), 1)
}
