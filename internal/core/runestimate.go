package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/forecast"
)

// learnRun corrects a class's estimates by a finished task.
func (l *leader) learnRun(j *job, run time.Duration, known bool) {
	if !known || j.EstimateS <= 0 || run <= 0 {
		return
	}
	if l.runTimes[j.Class] == nil {
		l.runTimes[j.Class] = &forecast.RunTimes{}
	}
	l.runTimes[j.Class].Learn(run, j.EstimateS)
}

// runEstimate is a job's expected run time in seconds.
func (l *leader) runEstimate(j *job) float64 {
	if r := l.runTimes[j.Class]; r != nil {
		return r.Correct(j.EstimateS)
	}
	return j.EstimateS
}
