// Package forecast learns from past jobs what to expect: how many tasks of a class will be
// submitted, and how long its tasks run compared with their owners' estimates. It owns these
// statistics only. It has no clock: times are those of the caller's steady clock. Package core
// feeds it and plans provisioning and deadlines by it.
package forecast

import (
	"math"
	"time"
)

// Window is how long an arrival counts.
const Window = 120 * time.Second

// MaxTasksPerJob is how many tasks of one job count as arrivals: a huge job is one event, not the
// rate of those to come.
const MaxTasksPerJob = 64

// jobSizeSamples is the number of jobs over which their size is averaged.
const jobSizeSamples = 8

// Arrivals keeps the times of a class's latest submissions. The zero value has none.
type Arrivals struct {
	times   []time.Duration // of each task, in the order in which they were recorded
	jobSize float64         // moving average of the tasks of a job; 0 before the first one
}

// Record counts a job that was submitted at a time. starts is how many of its tasks are expected
// to start separately: one of an array, all of a service or a gang.
func (a *Arrivals) Record(at, now time.Duration, tasks, starts int) {
	for range min(starts, MaxTasksPerJob) {
		a.times = append(a.times, at)
	}
	a.recordJobSize(float64(min(tasks, MaxTasksPerJob)))
	for len(a.times) > 0 && now-a.times[0] > Window {
		a.times = a.times[1:]
	}
}

func (a *Arrivals) recordJobSize(tasks float64) {
	if a.jobSize == 0 {
		a.jobSize = tasks
	}
	a.jobSize += (tasks - a.jobSize) / jobSizeSamples
}

// Recent counts the tasks that arrived within the window before now.
func (a *Arrivals) Recent(now time.Duration) int {
	count := 0
	for _, at := range a.times {
		if now-at <= Window {
			count++
		}
	}
	return count
}

// Active reports whether the last task arrived within the window before now.
func (a *Arrivals) Active(now time.Duration) bool {
	return len(a.times) > 0 && now-a.times[len(a.times)-1] <= Window
}

// JobSize is how many tasks a job of the class has, on average over the last ones.
func (a *Arrivals) JobSize() float64 { return a.jobSize }

// Bounds of the probability of a forecast.
const (
	minProbability = 0.5
	maxProbability = 0.99
)

// Expected is how many tasks may arrive within a time, in seconds: as many as are not exceeded
// with the given probability, and at least one.
func (a *Arrivals) Expected(now time.Duration, withinS, probability float64) int {
	mean := float64(a.Recent(now)) / Window.Seconds() * withinS
	return max(1, poissonQuantile(mean, min(max(probability, minProbability), maxProbability)))
}

// poissonQuantile is the number that arrivals of a mean do not exceed with a probability, by the
// normal approximation of the Poisson distribution.
func poissonQuantile(mean, probability float64) int {
	return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
}
