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

// Options say how an experiment is run.
type Options struct {
	// Command starts a controller; the path of its settings is appended.
	Command []string
	// Dir is where settings and the controllers' logs are written.
	Dir string
	// Log is for the run itself, not for the controllers.
	Log *slog.Logger
	// Progress gets a line on the progress every ProgressEvery; nil for none.
	Progress      io.Writer
	ProgressEvery time.Duration

	// stopWhen, if set, ends the run as soon as it returns true. It is called with the world
	// locked.
	stopWhen func(*observer) bool
}

// runner runs an experiment of one region, or the part of one region in an experiment of several.
type runner struct {
	experiment *Experiment
	options    Options
	live       *sim.Live

	controllers  []*controllerProcess
	observer     *observer
	history      *history.Log
	region       *regionMember   // nil if there is one region only
	addresses    *loopback.Claim // of the controllers
	standInUsage processMeter    // of this process, with all stand-ins

	workerTraffic, commandTraffic, userTraffic, storeTraffic, cloudTraffic httpserve.Traffic

	mu        sync.Mutex
	listeners map[string]io.Closer // by machine or service
}

// Run runs an experiment to its end, or until the context ends, and returns its report. It ends
// every process that it started.
func Run(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	if len(experiment.Regions) > 0 {
		return runRegions(ctx, experiment, options)
	}
	addresses, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer closeLogged(options.Log, "address claim", addresses) // after the processes have ended
	runner := newRunner(experiment, options, addresses)
	defer runner.close()
	if err := runner.prepare(); err != nil {
		return nil, err
	}
	return runner.run(ctx), nil
}

// newRunner makes a runner whose controllers listen on the addresses of a claim.
func newRunner(experiment *Experiment, options Options, addresses *loopback.Claim) *runner {
	return &runner{
		experiment: experiment, options: options, addresses: addresses, observer: newObserver(),
		history: &history.Log{}, listeners: map[string]io.Closer{},
	}
}

// run plays the experiment to its end and returns the report.
func (r *runner) run(ctx context.Context) *Report {
	newLoadGenerator(r.experiment, r.live).schedule()
	r.scheduleFailures()
	playing, stop := context.WithCancel(ctx)
	defer stop()
	if r.options.stopWhen != nil {
		r.stopOnCondition(stop)
	}
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sampleUntil(done) })
	startedAt := time.Now()
	r.live.Run(playing, seconds(r.experiment.Seconds))
	duration := time.Since(startedAt)
	close(done)
	sampler.Wait()
	report := r.report(duration)
	report.Interrupted = ctx.Err() != nil
	return report
}

// stopOnCondition ends the run once its condition holds.
func (r *runner) stopOnCondition(stop func()) {
	r.live.After(sampleInterval, func() {
		if r.options.stopWhen(r.observer) {
			stop()
			return
		}
		r.stopOnCondition(stop)
	})
}

// close ends the controllers' processes and closes the listeners.
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

// closeLogged closes something whose failure to close has no effect on the run but is logged.
func closeLogged(log *slog.Logger, name string, c io.Closer) {
	if err := c.Close(); err != nil {
		log.Warn("not closed", "name", name, "error", err)
	}
}
