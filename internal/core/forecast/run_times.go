package forecast

import "time"

// Bounds of what one run may teach: its ratio to the estimate, and its weight.
const (
	minRatio  = 0.25
	maxRatio  = 4
	minWeight = 0.05
)

// RunTimes is a class's learned ratio of run times to the owners' estimates. The zero value trusts
// the owners.
type RunTimes struct {
	correction float64 // the ratio less one
	runs       int
}

// Observe records a run that was estimated at some seconds.
func (r *RunTimes) Observe(run time.Duration, estimateS float64) {
	r.runs++
	weight := max(1/float64(r.runs+1), minWeight)
	ratio := min(max(run.Seconds()/estimateS, minRatio), maxRatio)
	r.correction += (ratio - 1 - r.correction) * weight
}

// Correct is an estimate in seconds, corrected by the learned ratio.
func (r *RunTimes) Correct(estimateS float64) float64 { return estimateS * (1 + r.correction) }
