// Package forecast learns from what has come and what has run: how many tasks of a
// class to expect, and how long its tasks run beside what their owners say. It keeps no
// time of its own: times are those of the caller's steady clock.
package forecast

import (
	"math"
	"time"
)

// Window is for how long an arrival counts.
const Window = 120 * time.Second

// MaxTasksPerJob is how many tasks of one job count as arrivals: a huge job is one event,
// not the rate of those to come.
const MaxTasksPerJob = 64

// jobSizeSamples is over how many jobs their size is averaged.
const jobSizeSamples = 8

// Arrivals keeps the times of a class's latest submissions.
type Arrivals struct {
	times   []time.Duration // of each task, in the order in which they were noted
	jobSize float64         // tasks of a job, averaged
}

// Record counts a job of some tasks that came at a time. begins is how many of them have
// to begin for themselves: one of an array, all of a service or a gang.
func (a *Arrivals) Record(at, now time.Duration, tasks, starts int) {
	for range min(starts, MaxTasksPerJob) {
		a.times = append(a.times, at)
	}
	size := float64(min(tasks, MaxTasksPerJob))
	if a.jobSize == 0 {
		a.jobSize = size
	}
	a.jobSize += (size - a.jobSize) / jobSizeSamples
	for len(a.times) > 0 && now-a.times[0] > Window {
		a.times = a.times[1:]
	}
}

// Recent counts the tasks that arrived within the window before now.
func (a *Arrivals) Recent(now time.Duration) int {
	n := 0
	for _, at := range a.times {
		if now-at <= Window {
			n++
		}
	}
	return n
}

// Active tells whether the last task arrived within the window before now.
func (a *Arrivals) Active(now time.Duration) bool {
	return len(a.times) > 0 && now-a.times[len(a.times)-1] <= Window
}

// JobSize is how many tasks a job of the class has, on average over the last ones.
func (a *Arrivals) JobSize() float64 { return a.jobSize }

// Bounds of how sure a forecast is.
const (
	minProbability = 0.5
	maxProbability = 0.99
)

// Expected is how many tasks may come within a time, in seconds: as many as are not
// exceeded with the given probability, and at least one.
func (a *Arrivals) Expected(now time.Duration, within, probability float64) int {
	mean := float64(a.Recent(now)) / Window.Seconds() * within
	return max(1, poissonQuantile(mean, min(max(probability, minProbability), maxProbability)))
}

// poissonQuantile is the number that arrivals of a mean do not exceed with a probability, by
// the normal approximation of the Poisson distribution.
func poissonQuantile(mean, probability float64) int {
	return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
}

// Bounds of what one run may teach: its ratio to the estimate, and its weight.
const (
	minRatio  = 0.25
	maxRatio  = 4
	minWeight = 0.05
)

// RunTimes is a class's learned ratio of run times to the owners' estimates. The zero
// value trusts the owners.
type RunTimes struct {
	correction float64 // the ratio less one
	runs       int
}

// Observe takes in a run that was estimated at some seconds.
func (r *RunTimes) Observe(run time.Duration, estimateS float64) {
	r.runs++
	weight := max(1/float64(r.runs+1), minWeight)
	ratio := min(max(run.Seconds()/estimateS, minRatio), maxRatio)
	r.correction += (ratio - 1 - r.correction) * weight
}

// Correct is an estimate in seconds, corrected by what was learned.
func (r *RunTimes) Correct(estimateS float64) float64 { return estimateS * (1 + r.correction) }
