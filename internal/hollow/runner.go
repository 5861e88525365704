package hollow

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/history"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/loopback"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/wire"
)

// Options say how an experiment is run.
type Options struct {
	// Command starts a controller; the path of its settings is appended.
	Command []string
	// Dir keeps settings and controllers' logs.
	Dir string
	// Log is for what the run itself has to say.
	Log *slog.Logger
	// Progress is told how far the run is, every ProgressEvery; nil for not at all.
	Progress      io.Writer
	ProgressEvery time.Duration

	// enough, if set, ends the run as soon as it is true of what was seen. It is
	// asked with the world locked.
	stopWhen func(*observer) bool
}

// runner is one run of an experiment.
type runner struct {
	experiment *Experiment
	options    Options
	live       *sim.Live

	controllers  []*controllerProcess
	observer     *observer
	history      *history.Log
	region       *regionMember   // nil if there is one region only
	addresses    *loopback.Claim // for the controllers
	standInUsage processMeter    // this process: all stand-ins

	workerTraffic, commandTraffic, userTraffic, storeTraffic, cloudTraffic httpserve.Traffic

	mu      sync.Mutex
	closers map[string]io.Closer // by machine or service, to be closed
}

// Run runs an experiment to its end, or until the context ends, and reports. It
// ends every process that it started.
func Run(ctx context.Context, experiment *Experiment, options Options) (*Report, error) {
	if len(experiment.Regions) > 0 {
		return runRegions(ctx, experiment, options)
	}
	addresses, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer addresses.Close() // after the processes have ended
	runner := newRunner(experiment, options, addresses)
	defer runner.close()
	if err := runner.prepare(); err != nil {
		return nil, err
	}
	return runner.run(ctx), nil
}

// newRunner makes a runner of an experiment of one region, whose controllers listen on the
// addresses of a claim.
func newRunner(experiment *Experiment, options Options, addresses *loopback.Claim) *runner {
	return &runner{experiment: experiment, options: options, addresses: addresses, observer: newObserver(), history: &history.Log{}, closers: map[string]io.Closer{}}
}

// run plays the experiment to its end and reports.
func (r *runner) run(ctx context.Context) *Report {
	newLoadGenerator(r.experiment, r.live).schedule()
	r.scheduleFailures()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sampleProcesses(done) })
	began := time.Now()
	inner, end := context.WithCancel(ctx)
	defer end()
	if r.options.stopWhen != nil {
		r.stopOnCondition(end)
	}
	r.live.Run(inner, seconds(r.experiment.Seconds))
	ran := time.Since(began)
	close(done)
	sampler.Wait()
	rep := r.report(ran)
	if ctx.Err() != nil {
		rep.Interrupted = true
	}
	return rep
}

// stopOnCondition looks now and then whether what was seen is enough.
func (r *runner) stopOnCondition(end func()) {
	r.live.After(sampleInterval, func() {
		if r.options.stopWhen(r.observer) {
			end()
			return
		}
		r.stopOnCondition(end)
	})
}

// statusResponder turns a reply into one with a status and a body.
func statusResponder(reply func(httpserve.Response)) func(status int, body []byte) {
	return func(status int, body []byte) { reply(httpserve.Response{Status: status, Body: body}) }
}

// serviceHost is the address of the services, whose listeners stay open.
const serviceHost = "127.0.0.1"

// prepare starts the servers of the stand-ins and writes the controllers' settings.
func (r *runner) prepare() error {
	settings := r.settings()
	r.live = sim.NewLive(sim.LiveConfig{Settings: settings, Types: r.machineTypes(), Stock: r.stock(), Seed: r.experiment.Seed,
		Observer: r.observer, Log: r.options.Log, WorkerAddress: r.serveWorker, MachineRemoved: r.closeServer, UsageChanged: r.usageObserver()})
	state, err := r.serve("state service", &r.storeTraffic, r.live.ServeStore)
	if err != nil {
		return err
	}
	cloud, err := r.serve("cloud", &r.cloudTraffic, r.live.ServeCloud)
	if err != nil {
		return err
	}
	settings.External = config.External{Store: state.Addr(), Cloud: cloud.Addr()}
	listen, err := controllerAddresses(r.addresses, r.experiment.Controllers)
	if err != nil {
		return err
	}
	peerListen, err := controllerAddresses(r.addresses, r.experiment.Controllers)
	if err != nil {
		return err
	}
	for i := range r.experiment.Controllers {
		if err := r.addController(i, *settings, listen, peerListen); err != nil {
			return err
		}
	}
	return nil
}

// usageObserver is what is told of changes in what teams use; nil for nobody.
func (r *runner) usageObserver() func(team string, cpus, gpus float64) {
	if r.region == nil {
		return nil
	}
	return func(team string, cpus, gpus float64) { r.region.run.usage.add(r.region.name, team, cpus, gpus) }
}

// writeOperatorSettings writes the operators' own settings for a controller, if there are any, and
// returns their path.
func (r *runner) writeOperatorSettings(i int) (string, error) {
	var text []byte
	if r.experiment.Operator.IdleReturnS != 0 {
		text = fmt.Appendf(text, "idle_return_s = %g\n", r.experiment.Operator.IdleReturnS)
	}
	if r.region != nil {
		text = fmt.Appendf(text, "regions_file = %q\nregion = %q\nregion_listen = %q\n", r.region.planPath, r.region.name, r.region.listen[i])
	}
	if text == nil {
		return "", nil
	}
	path := filepath.Join(r.options.Dir, fmt.Sprintf("operator-%d.toml", i))
	return path, os.WriteFile(path, text, 0o644)
}

// serve serves one of the services at a port of its own.
func (r *runner) serve(name string, t *httpserve.Traffic, f func(method, path string, body []byte, reply func(int, []byte))) (*httpserve.Server, error) {
	server, err := httpserve.Listen(serviceHost+":0", t, func(q *httpwire.Request, reply func(httpserve.Response)) {
		r.live.Do(func() { f(q.Method, httpserve.RequestTarget(q), q.Body, statusResponder(reply)) })
	})
	if err != nil {
		return nil, err
	}
	r.trackCloser(name, server)
	return server, nil
}

// trackCloser has a listener closed at the end, if not before.
func (r *runner) trackCloser(name string, l io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers[name] = l
}

// closeServer closes the listener of a machine that is gone.
func (r *runner) closeServer(machine string) {
	r.mu.Lock()
	l := r.closers[machine]
	delete(r.closers, machine)
	r.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, controller := range r.controllers {
		controller.closeClient(machine)
	}
}

// serveWorker begins to serve a machine's worker, on a loopback address of its own,
// and returns the address. Without one its machine gets no direct commands.
func (r *runner) serveWorker(machine string) string {
	server, err := httpserve.Listen(workerIP(machine)+":0", &r.commandTraffic, func(q *httpwire.Request, reply func(httpserve.Response)) {
		r.live.Do(func() {
			r.live.ServeWorker(machine, q.Method, httpserve.RequestTarget(q), q.Body, statusResponder(reply))
		})
	})
	if err != nil {
		r.options.Log.Error("worker not served", "machine", machine, "err", err)
		return serviceHost + ":9"
	}
	r.trackCloser(machine, server)
	return server.Addr()
}

// workerIP is the loopback address of a machine's worker, 127.128.0.0 and up.
func workerIP(machine string) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(machine, "n-"))
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], 127<<24|128<<16|uint32(n))
	return net.IP(b[:]).String()
}

// controllerAddresses takes an address for each controller from a claim.
func controllerAddresses(claim *loopback.Claim, controllers int) ([]string, error) {
	addresses := make([]string, controllers)
	for i := range addresses {
		var err error
		if addresses[i], err = claim.Address(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// addController writes a controller's settings and makes its process, which the world starts.
// listen and peerListen have the addresses of all controllers.
func (r *runner) addController(i int, settings config.Settings, listen, peerListen []string) error {
	settings.Name, settings.Zone = r.live.Name(i), r.live.Zone(i)
	settings.Listen, settings.PeerListen = listen[i], peerListen[i]
	settings.Peers = nil
	for k := range r.experiment.Controllers {
		if k != i {
			settings.Peers = append(settings.Peers, config.Peer{Name: r.live.Name(k), Zone: r.live.Zone(k), Addr: peerListen[k]})
		}
	}
	path := filepath.Join(r.options.Dir, settings.Name+".toml")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(toml.NewEncoder(f).Encode(settings), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	operator, err := r.writeOperatorSettings(i)
	if err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(r.options.Dir, settings.Name+".log"))
	if err != nil {
		return err
	}
	c := &controllerProcess{name: settings.Name, listen: settings.Listen, command: append(append([]string{}, r.options.Command...), path),
		output: output, operator: operator, log: r.options.Log, withWorld: r.live.Do, userTraffic: &r.userTraffic, workerTraffic: &r.workerTraffic}
	r.controllers = append(r.controllers, c)
	r.live.Attach(i, c)
	return nil
}

// settings are those of the deployment.
func (r *runner) settings() *config.Settings {
	deployment := config.Deployment{Size: r.experiment.Controllers, Zones: r.experiment.Zones, SkewMs: skewMs, Workers: r.experiment.Workers, Store: r.experiment.State, Cloud: r.experiment.Cloud, MachineLimits: r.experiment.Limits}
	for i := range r.experiment.Teams.Count {
		team := r.experiment.teamLimit()
		team.Name = teamName(i)
		deployment.Teams = append(deployment.Teams, team)
	}
	for _, o := range r.experiment.Objectives {
		deployment.Objectives = append(deployment.Objectives, config.Objective(o))
	}
	return &config.Settings{Deployment: deployment}
}

// skewMs is the bound on the time of day: all processes share a clock.
const skewMs = 10

func (r *runner) machineTypes() []wire.MachineType {
	var out []wire.MachineType
	for _, t := range r.experiment.Types {
		out = append(out, wire.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB, CacheGB: t.CacheGB,
			PullGBPerS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: r.experiment.Zones})
	}
	return out
}

// stock spreads the machines of each type evenly over the zones.
func (r *runner) stock() []sim.Stock {
	var out []sim.Stock
	zones := len(r.experiment.Zones)
	for _, t := range r.experiment.Types {
		for i, zone := range r.experiment.Zones {
			part := func(n int) int { return n*(i+1)/zones - n*i/zones }
			count := part(t.OnDemandCount)
			out = append(out, sim.Stock{Type: t.Name, Zone: zone, Count: count, Up: int(t.UpShare * float64(count))},
				sim.Stock{Type: t.Name, Zone: zone, Spot: true, Count: part(t.SpotCount)})
		}
	}
	return out
}

// scheduleFailures brings about the failures at their times.
func (r *runner) scheduleFailures() {
	for _, f := range r.experiment.Failures {
		r.live.After(seconds(f.AtS), func() { r.injectFailure(f) })
	}
}

// markFailure notes a failure in the history.
func (r *runner) markFailure(failure Failure) {
	if r.region != nil {
		r.region.run.usage.history.AddMark(r.live.Now(), failure.Kind+" in "+r.region.name)
		return
	}
	r.history.AddMark(r.live.Now(), failure.Kind)
}

// injectFailure brings about one failure.
func (r *runner) injectFailure(failure Failure) {
	r.markFailure(failure)
	log := r.options.Log.With("kind", failure.Kind, "at_s", failure.AtS)
	restartAfter := seconds(r.experiment.RestartS)
	switch failure.Kind {
	case FailLeader:
		leader, ok := r.live.Leader()
		if !ok {
			log.Warn("no leader to kill yet")
			r.live.After(sampleInterval, func() { r.injectFailure(failure) })
			return
		}
		r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
		log.Info("failure", "controller", r.live.Name(leader))
		r.live.KillController(leader, restartAfter)
	case FailAll:
		r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
		log.Info("failure", "controllers", len(r.controllers))
		for leader := range r.controllers {
			r.live.KillController(leader, restartAfter)
		}
	case FailWorkers:
		log.Info("failure", "workers", r.live.RemoveWorkers(failure.Share, failure.Zone))
	case FailZone:
		if leader, ok := r.live.Leader(); ok && r.live.Zone(leader) == failure.Zone {
			r.observer.recordLeaderKill(r.live.Now(), r.live.Term())
		}
		log.Info("failure", "zone", failure.Zone, "workers", r.live.RemoveZone(failure.Zone, seconds(failure.ForS)))
	case FailStore:
		log.Info("failure", "for_s", failure.ForS)
		r.live.StopStore(seconds(failure.ForS))
	}
}

// sampleInterval is the time between two readings of what the processes use.
const sampleInterval = time.Second

// steadyFraction is the part of the run from when on the steady means count.
const steadyFraction = 0.6

// sampleProcesses reads what the processes use, and tells of the progress.
func (r *runner) sampleProcesses(done chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	began, told := time.Now(), time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		steady := time.Since(began) > seconds(steadyFraction*r.experiment.Seconds)
		for _, controller := range r.controllers {
			controller.usage.steady = steady
			controller.sampleUsage()
		}
		r.standInUsage.steady = steady
		if used, err := readUsage(os.Getpid()); err == nil {
			r.standInUsage.addSample(os.Getpid(), used, time.Now())
		}
		r.live.Do(r.recordSecond)
		if r.options.Progress != nil && time.Since(told) >= r.options.ProgressEvery {
			told = time.Now()
			r.writeProgress()
		}
	}
}

// recordSecond notes how the run goes. It is called with the world locked, once a second.
func (r *runner) recordSecond() {
	r.observer.endSecond()
	now, counts := r.live.Now(), r.live.Counts()
	r.history.Add("Tasks and jobs", "tasks on machines", now, float64(counts.Tasks))
	r.history.Add("Tasks and jobs", "jobs not over", now, float64(counts.Jobs))
	r.history.Add("Starts", "starts in the last second", now, float64(r.observer.startsPerSecond[len(r.observer.startsPerSecond)-1]))
	r.history.Add("Wait of urgent work", "p50 so far, s", now, waitStats(r.observer.urgentWaits).P50)
	r.history.Add("Wait of urgent work", "p99 so far, s", now, waitStats(r.observer.urgentWaits).P99)
}

// writeProgress tells how far the run is.
func (r *runner) writeProgress() {
	var counts sim.Counts
	var now time.Duration
	r.live.Do(func() { counts, now = r.live.Counts(), r.live.Now() })
	fmt.Fprintf(r.options.Progress, "%4.0f of %.0f s: %d workers, %d tasks on machines, %d jobs, %d starts, %d rules broken\n",
		now.Seconds(), r.experiment.Seconds, counts.Workers, counts.Tasks, counts.Jobs, counts.Starts, len(counts.Violations))
}

// close ends the processes and closes the servers.
func (r *runner) close() {
	for _, controller := range r.controllers {
		controller.Kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.closers {
		l.Close()
	}
}
