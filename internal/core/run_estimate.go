package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
)

// recordRunTime corrects the run time estimates of a job's class with the run time of a task that
// is done now.
func (l *leader) recordRunTime(job *cluster.Job, task *cluster.Task) {
	runTime := l.core.now - task.RunningSince
	if task.RunningSince == 0 || job.EstimatedRunS <= 0 || runTime <= 0 {
		return
	}
	if l.runTimesByClass[job.Class] == nil {
		l.runTimesByClass[job.Class] = &forecast.RunTimeCorrection{}
	}
	l.runTimesByClass[job.Class].Observe(runTime, job.EstimatedRunS)
}

// runEstimate returns a job's expected run time in seconds: the owner's estimate, corrected by the
// run times of its class.
func (l *leader) runEstimate(job *cluster.Job) float64 {
	if times := l.runTimesByClass[job.Class]; times != nil {
		return times.Correct(job.EstimatedRunS)
	}
	return job.EstimatedRunS
}
