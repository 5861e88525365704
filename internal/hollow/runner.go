package hollow

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/history"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/loopback"
	"github.com/brookwalk/brookwalk/internal/sim"
)

// Options configures the run of an experiment.
type Options struct {
	// Command is the command line that starts a controller. The path of its settings file is
	// appended.
	Command []string
	// Dir is the directory for the settings files and the controllers' logs.
	Dir string
	// Log receives the log of the run itself; each controller has a log file in Dir.
	Log *slog.Logger
	// Progress receives a progress line every ProgressEvery; nil for none.
	Progress      io.Writer
	ProgressEvery time.Duration

	// stopWhen, if set, is checked every sampleInterval with the simulation locked. The run ends
	// when it returns true.
	stopWhen func(*observer) bool
}

// runner runs an experiment with a single region, or one region of an experiment with several.
type runner struct {
	experiment *Experiment
	options    Options
	live       *sim.Live

	controllers    []*controllerProcess
	observer       *observer
	history        *history.Log
	region         *runnerRegion   // nil in an experiment with a single region
	addresses      *loopback.Claim // provides the controllers' addresses
	simulatorUsage processMeter    // of this process, which runs the simulation

	workerTraffic, commandTraffic, userTraffic, storeTraffic, cloudTraffic httpserve.Traffic

	mu        sync.Mutex
	listeners map[string]io.Closer // by name of machine or service
}

// Run runs an experiment until its end or until the context is cancelled, and returns the report.
// It kills every process that it started before it returns.
func Run(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	if len(experiment.Regions) > 0 {
		return runRegions(ctx, experiment, options)
	}
	addresses, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer closeLogged(options.Log, "address claim", addresses) // runs last, after the processes have exited
	runner := newRunner(experiment, options, addresses)
	defer runner.close()
	if err := runner.prepare(); err != nil {
		return nil, err
	}
	return runner.run(ctx), nil
}

// newRunner returns a runner whose controllers listen on the claimed addresses.
func newRunner(experiment *Experiment, options Options, addresses *loopback.Claim) *runner {
	return &runner{
		experiment: experiment, options: options, addresses: addresses, observer: newObserver(),
		history: &history.Log{}, listeners: map[string]io.Closer{},
	}
}

// run runs the experiment until its end or until the context is cancelled, and returns the report.
func (r *runner) run(ctx context.Context) *Report {
	newLoadGenerator(r.experiment, r.live).schedule()
	r.scheduleFailures()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	if r.options.stopWhen != nil {
		r.stopOnCondition(stop)
	}
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sampleUntil(done) })
	startedAt := time.Now()
	r.live.Run(runCtx, seconds(r.experiment.DurationS))
	duration := time.Since(startedAt)
	close(done)
	sampler.Wait()
	report := r.report(duration)
	report.Interrupted = ctx.Err() != nil
	return report
}

// stopOnCondition calls stop when the stopWhen option returns true. It checks every sampleInterval.
func (r *runner) stopOnCondition(stop func()) {
	r.live.After(sampleInterval, func() {
		if r.options.stopWhen(r.observer) {
			stop()
			return
		}
		r.stopOnCondition(stop)
	})
}

// close kills the controllers' processes and closes the listeners.
func (r *runner) close() {
	for _, c := range r.controllers {
		c.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, listener := range r.listeners {
		closeLogged(r.options.Log, name, listener)
	}
}

// closeLogged closes c. An error does not affect the run; it is only logged.
func closeLogged(log *slog.Logger, name string, c io.Closer) {
	if err := c.Close(); err != nil {
		log.Warn("resource not closed", "name", name, "error", err)
	}
}
