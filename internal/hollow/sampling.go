package hollow

import (
	"fmt"
	"os"
	"time"

	"github.com/brookwalk/brookwalk/internal/sim"
)

// sampleInterval is the time between two samples of the processes' resource usage.
const sampleInterval = time.Second

// steadyFraction is the fraction of the run after which the steady phase begins.
const steadyFraction = 0.6

// sampleUntil samples the processes' resource usage every sampleInterval, and writes the progress,
// until the channel is closed.
func (r *runner) sampleUntil(done <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	startedAt, lastProgress := time.Now(), time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		phase := warmUp
		if time.Since(startedAt) > seconds(steadyFraction*r.experiment.DurationS) {
			phase = steady
		}
		r.sampleProcesses(phase)
		r.live.Do(r.recordSecond)
		if r.options.Progress != nil && time.Since(lastProgress) >= r.options.ProgressEvery {
			lastProgress = time.Now()
			r.writeProgress()
		}
	}
}

// sampleProcesses samples the resource usage of the controllers and of this process during a phase
// of the run.
func (r *runner) sampleProcesses(phase runPhase) {
	for _, c := range r.controllers {
		c.sampleUsage(phase)
	}
	if used, err := readUsage(os.Getpid()); err == nil {
		r.simulatorUsage.addSample(os.Getpid(), used, time.Now(), phase)
	}
}

// recordSecond adds the figures of the past second to the history. It is called with the simulation
// locked.
func (r *runner) recordSecond() {
	r.observer.endSecond()
	now, counts, urgent := r.live.Now(), r.live.Counts(), newWaitStats(r.observer.urgentWaits)
	starts := r.observer.startsPerSecond
	r.history.Add("Tasks and jobs", "tasks on machines", now, float64(counts.Tasks))
	r.history.Add("Tasks and jobs", "jobs not over", now, float64(counts.UnfinishedJobs))
	r.history.Add("Starts", "starts in the last second", now, float64(starts[len(starts)-1]))
	r.history.Add("Wait of urgent work", "p50 so far, s", now, urgent.P50)
	r.history.Add("Wait of urgent work", "p99 so far, s", now, urgent.P99)
}

// writeProgress writes a formatted progress line.
func (o *Options) writeProgress(format string, args ...any) {
	if _, err := fmt.Fprintf(o.Progress, format, args...); err != nil {
		o.Log.Warn("progress not written", "error", err)
	}
}

// writeProgress writes a progress line with the state of the simulation.
func (r *runner) writeProgress() {
	var counts sim.Counts
	var now time.Duration
	r.live.Do(func() { counts, now = r.live.Counts(), r.live.Now() })
	r.options.writeProgress("%4.0f of %.0f s: %d workers, %d tasks on machines, %d jobs, %d starts, %d rules broken\n",
		now.Seconds(), r.experiment.DurationS, counts.Workers, counts.Tasks, counts.UnfinishedJobs, counts.Starts, len(counts.Violations))
}
