package forecast

import "time"

// Bounds on the effect of one run: its ratio of run time to estimate is clamped to minRatio and
// maxRatio, and its weight in the moving average is at least minWeight.
const (
	minRatio  = 0.25
	maxRatio  = 4
	minWeight = 0.05
)

// RunTimeCorrection holds the moving average of a class's ratio of run times to the owners'
// estimates. The zero value leaves estimates unchanged.
type RunTimeCorrection struct {
	correction float64 // average ratio minus 1
	runs       int
}

// Observe records the run time of a task whose owner estimated it at estimateS seconds.
func (r *RunTimeCorrection) Observe(runTime time.Duration, estimateS float64) {
	r.runs++
	weight := max(1/float64(r.runs+1), minWeight)
	ratio := min(max(runTime.Seconds()/estimateS, minRatio), maxRatio)
	r.correction += (ratio - 1 - r.correction) * weight
}

// Correct returns an estimate in seconds, multiplied by the average ratio.
func (r *RunTimeCorrection) Correct(estimateS float64) float64 { return estimateS * (1 + r.correction) }
