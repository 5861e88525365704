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
	ObjectiveFinished  = "finished"  // jobs of a class are done within a time
)

// WaitingTime is how long ago a job was submitted, or its last dependency was done.
func (s *Scheduler) WaitingTime(job *cluster.Job) time.Duration {
	return time.Duration(s.host.WallClockMS()-job.WaitingSinceMS) * time.Millisecond
}

// maxClassWait is how long the tasks of a class may wait by its objectives, in seconds; infinite
// without such an objective.
func (s *Scheduler) maxClassWait(class string) float64 {
	within := math.Inf(1)
	for _, o := range s.deployment.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxWait is how long a job's tasks may wait by the objectives of its class and, where it is
// within quota, by those of guarantees, in seconds; infinite without such an objective.
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

// maxPullTime is how long the pull of an image may take, in seconds, before the wait that a
// class allows is at risk: other pulls share the rate, which varies by a third.
func (s *Scheduler) maxPullTime(class string) float64 {
	return s.maxClassWait(class) * 2 / 3
}

// limitsPullTime reports whether the objectives of a class bound the pull of its images.
func (s *Scheduler) limitsPullTime(class string) bool {
	return !math.IsInf(s.maxPullTime(class), 1)
}
