package core

import (
	"time"
)

// estimate is a class's learned ratio of run times to the owners' estimates.
type estimate struct {
	ratio float64
	n     int
}

// learnRun corrects a class's estimates by a finished task.
func (l *leader) learnRun(j *job, run time.Duration, known bool) {
	if !known || j.EstimateS <= 0 || run <= 0 {
		return
	}
	e := l.estimate[j.Class]
	if e == nil {
		e = &estimate{ratio: 1}
		l.estimate[j.Class] = e
	}
	e.n++
	w := max(1/float64(e.n+1), 0.05)
	r := min(max(run.Seconds()/j.EstimateS, 0.25), 4)
	e.ratio += (r - e.ratio) * w
}

// runEstimate is a job's expected run time in seconds.
func (l *leader) runEstimate(j *job) float64 {
	if e := l.estimate[j.Class]; e != nil {
		return j.EstimateS * e.ratio
	}
	return j.EstimateS
}
