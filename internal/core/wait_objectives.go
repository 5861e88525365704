package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// Kinds of the deployment's objectives.
const (
	objectiveWait      = "wait"
	objectiveGuarantee = "guarantee"
	objectiveFinished  = "finished"
)

// waitingTime is how long ago a job was submitted, or its last dependency was done.
func (l *leader) waitingTime(job *cluster.Job) time.Duration {
	return time.Duration(l.core.wallClockMS-job.WaitingSinceMS) * time.Millisecond
}

// maxClassWait is how long the tasks of a class may wait by its objectives, in seconds; infinite
// without such an objective.
func (c *Core) maxClassWait(class string) float64 {
	within := math.Inf(1)
	for _, o := range c.settings.Deployment.Objectives {
		if o.Kind == objectiveWait && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxWait is how long a job's tasks may wait by the objectives of its class and, where it is
// within quota, by those of guarantees, in seconds; infinite without such an objective.
func (l *leader) maxWait(job *cluster.Job) float64 {
	within := l.core.maxClassWait(job.Class)
	if !job.WithinQuota || !l.core.anyGuaranteeFor(&job.Job) {
		return within
	}
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind == objectiveGuarantee {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxPullTime is how long the pull of an image may take, in seconds, before the wait that a
// class allows is at risk: other pulls share the rate, which varies by a third.
func (c *Core) maxPullTime(class string) float64 {
	return c.maxClassWait(class) * 2 / 3
}

// limitsPullTime reports whether the objectives of a class bound the pull of its images.
func (c *Core) limitsPullTime(class string) bool {
	return !math.IsInf(c.maxPullTime(class), 1)
}
