package sim

import (
	"context"
	"log/slog"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/eventqueue"
	"github.com/brookwalk/brookwalk/wire"
)

// Process is a controller that runs as a process of its own and is reached over
// the network. Its methods are called with the world locked and do not block.
type Process interface {
	// Start starts the process.
	Start()
	// Kill ends the process without notice.
	Kill()
	// Ask sends a request of a user ("user") or of a worker (its machine's name).
	// done is called once, by Live.Do, with the answer; its status is 0 if none
	// came within the timeout.
	Ask(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer))
}

// TaskStart is the begin of a task's run.
type TaskStart struct {
	Class        string
	Priority     wire.Priority
	Waited       time.Duration // since the first attempt to submit the job
	FencingToken uint64        // highest token that the worker has seen
	At           time.Duration // since the run began
	First        bool          // the task has not run before
}

// Observer is told what happens in a live world, with the world locked.
type Observer interface {
	Started(TaskStart)
}

// Stock is how many machines of an offer the cloud has.
type Stock struct {
	Type, Zone string
	Spot       bool
	Count      int
	// Up is how many of them are rented and up from the beginning.
	Up int
}

// LiveConfig describes a live world.
type LiveConfig struct {
	Settings *config.Settings // of the deployment; those of a single controller are ignored
	Types    []wire.MachineType
	Stock    []Stock
	Seed     uint64
	Observer Observer // may be nil
	Log      *slog.Logger
	// WorkerAddress gives the address that a machine's worker listens on.
	WorkerAddress func(machine string) string
	// UsageChanged is told, with the world locked, by how many CPUs and GPUs the use of a team
	// changes; it may be nil.
	UsageChanged func(team string, cpus, gpus float64)
	// MachineRemoved is told of a machine that is gone for good; it may be nil.
	MachineRemoved func(machine string)
}

// Live plays a world by the real clock, around controllers that are processes of
// their own. The rules are judged as in virtual time; whether a job is left waiting
// or unanswered is not, since that takes a walk over all machines for every job.
type Live struct {
	mu        sync.Mutex
	world     *World
	startedAt time.Time
}

// NewLive makes a live world. Its time begins with Run.
func NewLive(c LiveConfig) *Live {
	world := newWorld(c.Settings, c.Seed, c.Log)
	world.events = eventqueue.Queue{} // without the starts of simulated controllers
	world.faultsEnd = never
	world.observer = c.Observer
	world.usageChanged = c.UsageChanged
	world.cloud.types = c.Types
	world.cloud.workerAddress, world.cloud.machineRemoved = c.WorkerAddress, c.MachineRemoved
	world.after(0, world.store.expireLeases)
	world.after(time.Second, world.checker.sweep)
	for _, s := range c.Stock {
		world.cloud.capacity[offerKey(s.Type, s.Zone, s.Spot)] = s.Count - s.Up
		for range s.Up {
			world.cloud.addMachine(s.Type, s.Zone, s.Spot).startWorkerAfter(time.Duration(world.rng.Int64N(int64(seconds(c.Settings.Deployment.Workers.ReportS)))))
		}
	}
	return &Live{world: world}
}

// Attach sets the process of a controller. Run starts it.
func (l *Live) Attach(controller int, p Process) { l.world.controllers[controller].process = p }

// Name is the name of a controller.
func (l *Live) Name(controller int) string { return l.world.controllers[controller].name }

// Zone is the zone of a controller.
func (l *Live) Zone(controller int) string {
	return l.world.zoneOf(l.world.controllers[controller].name)
}

// Do calls f with the world locked and its time brought up to the clock.
func (l *Live) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	f()
}

// catchUp carries out what has become due.
func (l *Live) catchUp() {
	if !l.startedAt.IsZero() {
		l.world.run(time.Since(l.startedAt))
	}
}

// livePollInterval is how often a live world looks for what has become due.
const livePollInterval = 2 * time.Millisecond

// Run starts the controllers and plays the world until the context ends or the
// time is over.
func (l *Live) Run(ctx context.Context, until time.Duration) {
	l.mu.Lock()
	l.startedAt = time.Now()
	for _, controller := range l.world.controllers {
		controller.start()
	}
	l.mu.Unlock()
	tick := time.NewTicker(livePollInterval)
	defer tick.Stop()
	for time.Since(l.startedAt) < until {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.Do(func() {})
		}
	}
}

// Now is how long the world has run. It is called with the world locked.
func (l *Live) Now() time.Duration { return l.world.now }

// After calls f with the world locked, a while from now. It is itself called so, or
// before Run.
func (l *Live) After(d time.Duration, f func()) { l.world.after(d, f) }

// LiveJob is a job of a live world.
type LiveJob struct {
	wire.Job
	RunS float64 // a task's run time; not of services
}

// Submit has a user submit a job and ask for it until it is over. It is called with
// the world locked, as are the methods below.
func (l *Live) Submit(j LiveJob) {
	truth := newGroundTruth(j.Job)
	truth.runS = j.RunS
	l.world.users.submit(truth, submitAtOnce)
}

// Cancel has a job's user cancel it.
func (l *Live) Cancel(id string) { l.world.users.cancel(id) }

// Leader is the index of the controller that holds the leader's key; false if none
// does.
func (l *Live) Leader() (int, bool) {
	if controller := l.world.leader(); controller != nil {
		return controller.index, true
	}
	return 0, false
}

// Term is the highest term so far; 0 before the first.
func (l *Live) Term() uint64 {
	var term uint64
	for _, m := range l.world.cloud.machines {
		term = max(term, m.fencingToken)
	}
	return term
}

// KillController ends a controller without notice; it is started again after a
// while.
func (l *Live) KillController(i int, back time.Duration) { l.world.controllers[i].crash(back) }

// RemoveWorkers has a share of the machines that are up stop at once, of one zone or,
// if it is empty, of all. It returns how many.
func (l *Live) RemoveWorkers(share float64, zone string) int {
	world := l.world
	var up []*machine
	for _, name := range world.cloud.machineNames() {
		if m := world.cloud.machines[name]; !m.removed && m.upAt <= world.now && (zone == "" || m.zone == zone) {
			up = append(up, m)
		}
	}
	world.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	up = up[:int(share*float64(len(up)))]
	for _, m := range up {
		world.cloud.removeMachine(m.name)
	}
	return len(up)
}

// RemoveZone has all machines and controllers of a zone stop; the controllers are
// started again after a while, and the cloud has no machines there until then.
func (l *Live) RemoveZone(zone string, back time.Duration) int {
	world := l.world
	for _, n := range world.controllers {
		if world.zoneOf(n.name) == zone {
			n.crash(back)
		}
	}
	gone := l.RemoveWorkers(1, zone)
	kept := map[string]int{}
	for k, n := range world.cloud.capacity {
		if strings.Contains(k, "/"+zone+"/") {
			kept[k], world.cloud.capacity[k] = n, 0
		}
	}
	world.after(back, func() {
		for k, n := range kept {
			world.cloud.capacity[k] += n
		}
	})
	return gone
}

// StopStore has the state service refuse every request for a while.
func (l *Live) StopStore(d time.Duration) { l.world.store.beginOutage(d) }

// ServeStore answers a controller's request to the state service, now or later.
func (l *Live) ServeStore(method, path string, body []byte, reply func(int, []byte)) {
	l.world.store.handle("", method, path, body, reply)
}

// ServeCloud answers a controller's request to the cloud, a moment later.
func (l *Live) ServeCloud(method, path string, body []byte, reply func(int, []byte)) {
	l.world.cloud.handle(method, path, body, reply)
}

// ServeWorker answers a controller's request to a worker. One that is gone does not
// answer.
func (l *Live) ServeWorker(machine, method, path string, body []byte, reply func(int, []byte)) {
	if m := l.world.cloud.machines[machine]; m != nil {
		m.handleDirect(method, path, body, reply)
	}
}

// Records lists the keys of the state service below a prefix, in order.
func (l *Live) Records(prefix string) []wire.Item {
	return l.world.store.page(url.Values{"under": {prefix}}).Items
}

// Counts is what a live world holds, for reports.
type Counts struct {
	Workers        int // up
	Tasks          int // on machines
	Jobs           int // accepted and not over
	Accepted       int // jobs in all
	Starts         int // start commands that workers have carried out
	ExpiredTasks   int // tasks that a worker dropped for want of an answer
	StoreKeys      int // of the state service
	StoreChanges   int // puts and deletes that the state service has carried out
	StoreThrottled int // requests that the state service turned away for its rates
	Violations     []string
}

// Counts counts what the world holds.
func (l *Live) Counts() Counts {
	world := l.world
	counts := Counts{Starts: world.taskStarts, ExpiredTasks: world.expiredTasks, StoreKeys: len(world.store.keys), StoreChanges: world.store.changeCount, StoreThrottled: world.store.throttled, Violations: world.checker.violations}
	for _, m := range world.cloud.machines {
		if !m.removed && m.upAt <= world.now {
			counts.Workers++
		}
	}
	for _, tasks := range world.placementsByJob {
		counts.Tasks += len(tasks.machines)
	}
	for _, j := range world.users.jobs {
		if j.accepted {
			counts.Accepted++
			if j.finalStatus == "" {
				counts.Jobs++
			}
		}
	}
	return counts
}
