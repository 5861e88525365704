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
	enough func(*observer) bool
}

// runner is one run of an experiment.
type runner struct {
	e    *Experiment
	opts Options
	live *sim.Live

	controllers []*controller
	observer    *observer
	history     *history.Log
	region      *regionPart     // nil if there is one region only
	addresses   *loopback.Claim // for the controllers
	own         meter           // this process: all stand-ins

	workers, commands, users, state, cloud httpserve.Traffic

	mu      sync.Mutex
	servers map[string]io.Closer // by machine or service, to be closed
}

// Run runs an experiment to its end, or until the context ends, and reports. It
// ends every process that it started.
func Run(ctx context.Context, e *Experiment, opts Options) (*Report, error) {
	if len(e.Regions) > 0 {
		return runRegions(ctx, e, opts)
	}
	addresses, err := loopback.NewClaim()
	if err != nil {
		return nil, err
	}
	defer addresses.Close() // after the processes have ended
	r := newRunner(e, opts, addresses)
	defer r.stop()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	return r.play(ctx), nil
}

// newRunner makes a runner of an experiment of one region, whose controllers listen on the
// addresses of a claim.
func newRunner(e *Experiment, opts Options, addresses *loopback.Claim) *runner {
	return &runner{e: e, opts: opts, addresses: addresses, observer: newObserver(), history: &history.Log{}, servers: map[string]io.Closer{}}
}

// play plays the experiment to its end and reports.
func (r *runner) play(ctx context.Context) *Report {
	newLoad(r.e, r.live).begin()
	r.planFailures()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sample(done) })
	began := time.Now()
	inner, end := context.WithCancel(ctx)
	defer end()
	if r.opts.enough != nil {
		r.endOnceEnough(end)
	}
	r.live.Run(inner, seconds(r.e.Seconds))
	ran := time.Since(began)
	close(done)
	sampler.Wait()
	rep := r.report(ran)
	if ctx.Err() != nil {
		rep.Interrupted = true
	}
	return rep
}

// endOnceEnough looks now and then whether what was seen is enough.
func (r *runner) endOnceEnough(end func()) {
	r.live.After(sampleEvery, func() {
		if r.opts.enough(r.observer) {
			end()
			return
		}
		r.endOnceEnough(end)
	})
}

// respond turns a reply into one with a status and a body.
func respond(reply func(httpserve.Response)) func(status int, body []byte) {
	return func(status int, body []byte) { reply(httpserve.Response{Status: status, Body: body}) }
}

// host is the address of the services, whose listeners stay open.
const host = "127.0.0.1"

// prepare starts the servers of the stand-ins and writes the controllers' settings.
func (r *runner) prepare() error {
	cfg := r.settings()
	r.live = sim.NewLive(sim.LiveConfig{Settings: cfg, Types: r.types(), Stock: r.stock(), Seed: r.e.Seed,
		Observer: r.observer, Log: r.opts.Log, WorkerAddr: r.workerAddr, MachineGone: r.closeServer, UseChanged: r.useChanged()})
	state, err := r.serve("state service", &r.state, r.live.ServeState)
	if err != nil {
		return err
	}
	cloud, err := r.serve("cloud", &r.cloud, r.live.ServeCloud)
	if err != nil {
		return err
	}
	cfg.External = config.External{State: state.Addr(), Cloud: cloud.Addr()}
	listen, err := controllerAddresses(r.addresses, r.e.Controllers)
	if err != nil {
		return err
	}
	peerListen, err := controllerAddresses(r.addresses, r.e.Controllers)
	if err != nil {
		return err
	}
	for i := range r.e.Controllers {
		if err := r.addController(i, *cfg, listen, peerListen); err != nil {
			return err
		}
	}
	return nil
}

// useChanged is what is told of changes in what teams use; nil for nobody.
func (r *runner) useChanged() func(team string, cpus, gpus float64) {
	if r.region == nil {
		return nil
	}
	return func(team string, cpus, gpus float64) { r.region.run.tally.add(r.region.name, team, cpus, gpus) }
}

// writeOperator writes the operators' own settings for a controller, if there are any, and
// returns their path.
func (r *runner) writeOperator(i int) (string, error) {
	var text []byte
	if r.e.Operator.IdleReturnS != 0 {
		text = fmt.Appendf(text, "idle_return_s = %g\n", r.e.Operator.IdleReturnS)
	}
	if r.region != nil {
		text = fmt.Appendf(text, "regions_file = %q\nregion = %q\nregion_listen = %q\n", r.region.planned, r.region.name, r.region.listen[i])
	}
	if text == nil {
		return "", nil
	}
	path := filepath.Join(r.opts.Dir, fmt.Sprintf("operator-%d.toml", i))
	return path, os.WriteFile(path, text, 0o644)
}

// serve serves one of the services at a port of its own.
func (r *runner) serve(name string, t *httpserve.Traffic, f func(method, path string, body []byte, reply func(int, []byte))) (*httpserve.Server, error) {
	s, err := httpserve.Listen(host+":0", t, func(q *httpwire.Request, reply func(httpserve.Response)) {
		r.live.Do(func() { f(q.Method, httpserve.Target(q), q.Body, respond(reply)) })
	})
	if err != nil {
		return nil, err
	}
	r.keep(name, s)
	return s, nil
}

// keep has a listener closed at the end, if not before.
func (r *runner) keep(name string, l io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[name] = l
}

// closeServer closes the listener of a machine that is gone.
func (r *runner) closeServer(machine string) {
	r.mu.Lock()
	l := r.servers[machine]
	delete(r.servers, machine)
	r.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range r.controllers {
		c.forget(machine)
	}
}

// workerAddr begins to serve a machine's worker, on a loopback address of its own,
// and returns the address. Without one its machine gets no direct commands.
func (r *runner) workerAddr(machine string) string {
	s, err := httpserve.Listen(workerIP(machine)+":0", &r.commands, func(q *httpwire.Request, reply func(httpserve.Response)) {
		r.live.Do(func() { r.live.ServeWorker(machine, q.Method, httpserve.Target(q), q.Body, respond(reply)) })
	})
	if err != nil {
		r.opts.Log.Error("worker not served", "machine", machine, "err", err)
		return host + ":9"
	}
	r.keep(machine, s)
	return s.Addr()
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
func (r *runner) addController(i int, cfg config.Settings, listen, peerListen []string) error {
	cfg.Name, cfg.Zone = r.live.Name(i), r.live.Zone(i)
	cfg.Listen, cfg.PeerListen = listen[i], peerListen[i]
	cfg.Peers = nil
	for k := range r.e.Controllers {
		if k != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: r.live.Name(k), Zone: r.live.Zone(k), Addr: peerListen[k]})
		}
	}
	path := filepath.Join(r.opts.Dir, cfg.Name+".toml")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(toml.NewEncoder(f).Encode(cfg), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	operator, err := r.writeOperator(i)
	if err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(r.opts.Dir, cfg.Name+".log"))
	if err != nil {
		return err
	}
	c := &controller{name: cfg.Name, listen: cfg.Listen, command: append(append([]string{}, r.opts.Command...), path),
		output: output, operator: operator, log: r.opts.Log, do: r.live.Do, users: &r.users, workers: &r.workers}
	r.controllers = append(r.controllers, c)
	r.live.Attach(i, c)
	return nil
}

// settings are those of the deployment.
func (r *runner) settings() *config.Settings {
	d := config.Deployment{Size: r.e.Controllers, Zones: r.e.Zones, SkewMs: skewMs, Workers: r.e.Workers, State: r.e.State, Cloud: r.e.Cloud, Limits: r.e.Limits}
	for i := range r.e.Teams.Count {
		team := r.e.teamLimit()
		team.Name = teamName(i)
		d.Teams = append(d.Teams, team)
	}
	for _, o := range r.e.Objectives {
		d.Objectives = append(d.Objectives, config.Objective(o))
	}
	return &config.Settings{Deployment: d}
}

// skewMs is the bound on the time of day: all processes share a clock.
const skewMs = 10

func (r *runner) types() []wire.MachineType {
	var out []wire.MachineType
	for _, t := range r.e.Types {
		out = append(out, wire.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBPS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: r.e.Zones})
	}
	return out
}

// stock spreads the machines of each type evenly over the zones.
func (r *runner) stock() []sim.Stock {
	var out []sim.Stock
	zones := len(r.e.Zones)
	for _, t := range r.e.Types {
		for i, zone := range r.e.Zones {
			part := func(n int) int { return n*(i+1)/zones - n*i/zones }
			count := part(t.Count)
			out = append(out, sim.Stock{Type: t.Name, Zone: zone, Count: count, Up: int(t.UpShare * float64(count))},
				sim.Stock{Type: t.Name, Zone: zone, Spot: true, Count: part(t.Spot)})
		}
	}
	return out
}

// planFailures brings about the failures at their times.
func (r *runner) planFailures() {
	for _, f := range r.e.Failures {
		r.live.After(seconds(f.AtS), func() { r.fail(f) })
	}
}

// mark notes a failure in the history.
func (r *runner) mark(f Failure) {
	if r.region != nil {
		r.region.run.tally.history.Mark(r.live.Now(), f.Kind+" in "+r.region.name)
		return
	}
	r.history.Mark(r.live.Now(), f.Kind)
}

// fail brings about one failure.
func (r *runner) fail(f Failure) {
	r.mark(f)
	log := r.opts.Log.With("kind", f.Kind, "at_s", f.AtS)
	back := seconds(r.e.RestartS)
	switch f.Kind {
	case FailLeader:
		i, ok := r.live.Leader()
		if !ok {
			log.Warn("no leader to kill yet")
			r.live.After(sampleEvery, func() { r.fail(f) })
			return
		}
		r.observer.leaderKilled(r.live.Now(), r.live.Term())
		log.Info("failure", "controller", r.live.Name(i))
		r.live.KillController(i, back)
	case FailAll:
		r.observer.leaderKilled(r.live.Now(), r.live.Term())
		log.Info("failure", "controllers", len(r.controllers))
		for i := range r.controllers {
			r.live.KillController(i, back)
		}
	case FailWorkers:
		log.Info("failure", "workers", r.live.RemoveWorkers(f.Share, f.Zone))
	case FailZone:
		if i, ok := r.live.Leader(); ok && r.live.Zone(i) == f.Zone {
			r.observer.leaderKilled(r.live.Now(), r.live.Term())
		}
		log.Info("failure", "zone", f.Zone, "workers", r.live.RemoveZone(f.Zone, seconds(f.ForS)))
	case FailState:
		log.Info("failure", "for_s", f.ForS)
		r.live.StopStateService(seconds(f.ForS))
	}
}

// sampleEvery is the time between two readings of what the processes use.
const sampleEvery = time.Second

// steadyFrom is the part of the run from when on the steady means count.
const steadyFrom = 0.6

// sample reads what the processes use, and tells of the progress.
func (r *runner) sample(done chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	began, told := time.Now(), time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		steady := time.Since(began) > seconds(steadyFrom*r.e.Seconds)
		for _, c := range r.controllers {
			c.meter.steady = steady
			c.sample()
		}
		r.own.steady = steady
		if u, err := readUsage(os.Getpid()); err == nil {
			r.own.add(os.Getpid(), u, time.Now())
		}
		r.live.Do(r.second)
		if r.opts.Progress != nil && time.Since(told) >= r.opts.ProgressEvery {
			told = time.Now()
			r.progress()
		}
	}
}

// second notes how the run goes. It is called with the world locked, once a second.
func (r *runner) second() {
	r.observer.second()
	now, c := r.live.Now(), r.live.Counts()
	r.history.Add("Tasks and jobs", "tasks on machines", now, float64(c.Tasks))
	r.history.Add("Tasks and jobs", "jobs not over", now, float64(c.Jobs))
	r.history.Add("Starts", "starts in the last second", now, float64(r.observer.perSecond[len(r.observer.perSecond)-1]))
	r.history.Add("Wait of urgent work", "p50 so far, s", now, waitOf(r.observer.urgent).P50)
	r.history.Add("Wait of urgent work", "p99 so far, s", now, waitOf(r.observer.urgent).P99)
}

// progress tells how far the run is.
func (r *runner) progress() {
	var c sim.Counts
	var now time.Duration
	r.live.Do(func() { c, now = r.live.Counts(), r.live.Now() })
	fmt.Fprintf(r.opts.Progress, "%4.0f of %.0f s: %d workers, %d tasks on machines, %d jobs, %d starts, %d rules broken\n",
		now.Seconds(), r.e.Seconds, c.Workers, c.Tasks, c.Jobs, c.Starts, len(c.Broken))
}

// stop ends the processes and closes the servers.
func (r *runner) stop() {
	for _, c := range r.controllers {
		c.Kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.servers {
		l.Close()
	}
}
