package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
)

// learnRun corrects a class's estimates by a finished task.
func (l *leader) learnRun(j *cluster.Job, run time.Duration, known bool) {
	if !known || j.EstimatedRunS <= 0 || run <= 0 {
		return
	}
	if l.runTimesByClass[j.Class] == nil {
		l.runTimesByClass[j.Class] = &forecast.RunTimes{}
	}
	l.runTimesByClass[j.Class].Observe(run, j.EstimatedRunS)
}

// runEstimate is a job's expected run time in seconds.
func (l *leader) runEstimate(j *cluster.Job) float64 {
	if r := l.runTimesByClass[j.Class]; r != nil {
		return r.Correct(j.EstimatedRunS)
	}
	return j.EstimatedRunS
}
