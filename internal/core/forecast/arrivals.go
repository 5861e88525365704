// Package forecast estimates from past jobs how many tasks of a class will be submitted and how
// long they run compared with their owners' estimates. It owns these statistics only. It reads no
// clock: all times come from the caller's monotonic clock. Package core records jobs and runs in
// it and uses the forecasts to plan provisioning and deadlines.
package forecast

import (
	"math"
	"time"
)

// ArrivalWindow is the sliding window over which arrivals are counted.
const ArrivalWindow = 120 * time.Second

// MaxCountedTasksPerJob is the maximum number of tasks of one job that the statistics count. A huge
// job is a single event and does not predict the rate of later arrivals.
const MaxCountedTasksPerJob = 64

// jobSizeSamples is the number of jobs over which the moving average of the job size is taken.
const jobSizeSamples = 8

// Arrivals holds the recent task arrivals and the average job size of one class. The zero value
// has no arrivals.
type Arrivals struct {
	times   []time.Duration // of each task, in the order in which they were recorded
	jobSize float64         // moving average of tasks per job; 0 before the first job
}

// Record records a job that was submitted at the time at. tasks is its number of tasks; arrivals
// is how many of them count as arrivals, which are those expected to start separately: one for an
// array, all for a service or a gang.
func (a *Arrivals) Record(at, now time.Duration, tasks, arrivals int) {
	for range min(arrivals, MaxCountedTasksPerJob) {
		a.times = append(a.times, at)
	}
	a.recordJobSize(float64(min(tasks, MaxCountedTasksPerJob)))
	for len(a.times) > 0 && now-a.times[0] > ArrivalWindow {
		a.times = a.times[1:]
	}
}

func (a *Arrivals) recordJobSize(tasks float64) {
	if a.jobSize == 0 {
		a.jobSize = tasks
	}
	a.jobSize += (tasks - a.jobSize) / jobSizeSamples
}

// Recent returns the number of arrivals within the window before now.
func (a *Arrivals) Recent(now time.Duration) int {
	count := 0
	for _, at := range a.times {
		if now-at <= ArrivalWindow {
			count++
		}
	}
	return count
}

// Active reports whether the arrival recorded last is within the window before now.
func (a *Arrivals) Active(now time.Duration) bool {
	return len(a.times) > 0 && now-a.times[len(a.times)-1] <= ArrivalWindow
}

// AverageJobSize returns the moving average of the number of tasks per job.
func (a *Arrivals) AverageJobSize() float64 { return a.jobSize }

// Bounds of the probability that a forecast is computed for.
const (
	minProbability = 0.5
	maxProbability = 0.99
)

// Expected returns the number of arrivals in the next horizonS seconds that is not exceeded with
// the given probability, and at least 1.
func (a *Arrivals) Expected(now time.Duration, horizonS, probability float64) int {
	mean := float64(a.Recent(now)) / ArrivalWindow.Seconds() * horizonS
	return max(1, poissonQuantile(mean, min(max(probability, minProbability), maxProbability)))
}

// poissonQuantile returns the quantile of a Poisson distribution with the given mean, by its normal
// approximation.
func poissonQuantile(mean, probability float64) int {
	return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
}
