package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
)

// learnRun corrects the estimates of a class by a task that is done now.
func (l *leader) learnRun(job *cluster.Job, task *cluster.Task) {
	run := l.core.now - task.RunningSince
	if task.RunningSince == 0 || job.EstimatedRunS <= 0 || run <= 0 {
		return
	}
	if l.runTimesByClass[job.Class] == nil {
		l.runTimesByClass[job.Class] = &forecast.RunTimeCorrection{}
	}
	l.runTimesByClass[job.Class].Observe(run, job.EstimatedRunS)
}

// runEstimate is a job's expected run time, in seconds.
func (l *leader) runEstimate(job *cluster.Job) float64 {
	if times := l.runTimesByClass[job.Class]; times != nil {
		return times.Correct(job.EstimatedRunS)
	}
	return job.EstimatedRunS
}
