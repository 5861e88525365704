package sim

import (
	"context"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/eventqueue"
	"github.com/brookwalk/brookwalk/wire"
)

// Process is a controller that runs as a process of its own and is reached over the network.
// Its methods are called with the world locked and do not block.
type Process interface {
	// Start starts the process.
	Start()
	// Kill ends the process without notice.
	Kill()
	// Ask sends a request of a user ("user") or of a worker (its machine's name). done is
	// called once, by Live.Do, with the answer; its status is 0 if none came within the
	// timeout.
	Ask(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer))
}

// TaskStart is the beginning of a task's run.
type TaskStart struct {
	Class        string
	Priority     wire.Priority
	Waited       time.Duration // since the first attempt to submit the job
	FencingToken uint64        // the highest one that the worker has seen
	At           time.Duration // since the beginning of Live.Run
	First        bool          // the task has not run before
}

// Observer follows a live world. Its methods are called with the world locked.
type Observer interface {
	Started(TaskStart)
}

// Stock is how many machines of a type the cloud has in a zone.
type Stock struct {
	Type, Zone string
	Spot       bool
	Count      int
	Up         int // how many of them are rented and up from the beginning
}

// LiveConfig describes a live world.
type LiveConfig struct {
	Settings *config.Settings // of the deployment; those of a single controller are ignored
	Types    []wire.MachineType
	Stock    []Stock
	Seed     uint64
	Observer Observer // may be nil
	Log      *slog.Logger
	// WorkerAddress chooses the address on which a machine's worker listens.
	WorkerAddress func(machine string) string
	// UsageChanged gets, with the world locked, by how many CPUs and GPUs the usage of a team
	// changes; it may be nil.
	UsageChanged func(team string, cpus, gpus float64)
	// MachineRemoved gets, with the world locked, a machine that is removed for good; it may
	// be nil.
	MachineRemoved func(machine string)
}

// Live plays a world by the real clock, around controllers that are processes of their own. Its
// checker checks the rules as in virtual time, except for those about unanswered users and
// waiting jobs, whose checks look at all machines for every job.
type Live struct {
	mu        sync.Mutex
	world     *World
	startedAt time.Time
}

// NewLive makes a live world. Its time begins with Run.
func NewLive(c LiveConfig) *Live {
	world := newWorld(c.Settings, c.Seed, c.Log)
	world.events = eventqueue.Queue{} // drops the starts of simulated controllers
	world.faultsEnd = never           // so that some rules are not checked, see Live
	world.observer = c.Observer
	world.usageChanged = c.UsageChanged
	world.cloud.types = c.Types
	world.cloud.workerAddress, world.cloud.machineRemoved = c.WorkerAddress, c.MachineRemoved
	world.after(0, world.store.expireLeases)
	world.after(sweepInterval, world.checker.sweep)
	heartbeatInterval := seconds(c.Settings.Deployment.Workers.ReportS)
	for _, stock := range c.Stock {
		kind := offer{stock.Type, stock.Zone, stock.Spot}
		world.cloud.capacity[kind] = stock.Count - stock.Up
		for range stock.Up {
			world.cloud.addMachine(kind).startWorkerAfter(world.randomDuration(heartbeatInterval))
		}
	}
	return &Live{world: world}
}

// Attach sets the process of a controller. Run starts it.
func (l *Live) Attach(controller int, p Process) { l.world.controllers[controller].process = p }

// Name returns the name of a controller.
func (l *Live) Name(controller int) string { return l.world.controllers[controller].name }

// Zone returns the zone of a controller.
func (l *Live) Zone(controller int) string { return l.world.zoneOf(l.Name(controller)) }

// Do calls a function with the world locked and its time brought up to the clock.
func (l *Live) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	f()
}

// catchUp carries out the events that are due.
func (l *Live) catchUp() {
	if !l.startedAt.IsZero() {
		l.world.run(time.Since(l.startedAt))
	}
}

// livePollInterval is how often a live world looks for events that are due.
const livePollInterval = 2 * time.Millisecond

// Run starts the controllers and plays the world until the context ends or the time is over.
func (l *Live) Run(ctx context.Context, duration time.Duration) {
	l.mu.Lock()
	l.startedAt = time.Now()
	for _, c := range l.world.controllers {
		c.start()
	}
	l.mu.Unlock()
	tick := time.NewTicker(livePollInterval)
	defer tick.Stop()
	for time.Since(l.startedAt) < duration {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.Do(func() {})
		}
	}
}

// Now returns how long the world has run. It is called with the world locked.
func (l *Live) Now() time.Duration { return l.world.now }

// After calls a function with the world locked, a while from now. It is itself called with the
// world locked, or before Run.
func (l *Live) After(delay time.Duration, f func()) { l.world.after(delay, f) }

// LiveJob is a job of a live world.
type LiveJob struct {
	wire.Job
	RunS float64 // a task's run time in seconds; not of services
}

// Submit makes a user submit a job and poll its status until it is finished. It is called with
// the world locked, as are the methods below.
func (l *Live) Submit(j LiveJob) {
	truth := newGroundTruth(j.Job)
	truth.runS = j.RunS
	l.world.users.submit(truth, submitAtOnce)
}

// Cancel makes a job's user cancel it.
func (l *Live) Cancel(id string) { l.world.users.cancel(id) }

// Leader returns the index of the controller that holds the leader's key; false if none does.
func (l *Live) Leader() (int, bool) {
	leader := l.world.leader()
	if leader == nil {
		return 0, false
	}
	return leader.index, true
}

// Term returns the highest term that a worker has heard of; 0 before the first.
func (l *Live) Term() uint64 {
	var term uint64
	for _, m := range l.world.cloud.machines {
		term = max(term, m.fencingToken)
	}
	return term
}

// KillController ends a controller without notice and starts it again after a while.
func (l *Live) KillController(i int, restartAfter time.Duration) {
	l.world.controllers[i].crash(restartAfter)
}

// RemoveWorkers removes a share of the machines that are up, at once, of one zone or, if it is
// empty, of all. It returns how many.
func (l *Live) RemoveWorkers(share float64, zone string) int {
	up := l.world.machinesUp(zone)
	count := int(share * float64(len(up)))
	for _, m := range up[:count] {
		l.world.cloud.removeMachine(m.name)
	}
	return count
}

// RemoveZone removes all machines of a zone and kills its controllers. After a while the
// controllers are started again, and the cloud has machines there again. It returns how many
// machines it removed.
func (l *Live) RemoveZone(zone string, restoreAfter time.Duration) int {
	world := l.world
	for _, c := range world.controllers {
		if world.zoneOf(c.name) == zone {
			c.crash(restoreAfter)
		}
	}
	removed := l.RemoveWorkers(1, zone)
	withheld := map[offer]int{}
	for kind, count := range world.cloud.capacity {
		if kind.zone == zone {
			withheld[kind], world.cloud.capacity[kind] = count, 0
		}
	}
	world.after(restoreAfter, func() {
		for kind, count := range withheld {
			world.cloud.capacity[kind] += count
		}
	})
	return removed
}

// StopStore makes the key-value store refuse every request for a while.
func (l *Live) StopStore(duration time.Duration) { l.world.store.beginOutage(duration) }

// ServeStore answers a controller's request to the key-value store, now or later.
func (l *Live) ServeStore(method, path string, body []byte, reply func(int, []byte)) {
	l.world.store.handle("", method, path, body, reply)
}

// ServeCloud answers a controller's request to the cloud, a moment later.
func (l *Live) ServeCloud(method, path string, body []byte, reply func(int, []byte)) {
	l.world.cloud.handle(method, path, body, reply)
}

// ServeWorker answers a controller's request to a worker. A removed one does not answer.
func (l *Live) ServeWorker(machine, method, path string, body []byte, reply func(int, []byte)) {
	if m := l.world.cloud.machines[machine]; m != nil {
		m.handleDirect(method, path, body, reply)
	}
}

// Records lists the keys of the key-value store below a prefix, in order.
func (l *Live) Records(prefix string) []wire.Item {
	return l.world.store.page(url.Values{"under": {prefix}}).Items
}

// Counts are figures of a live world, for reports.
type Counts struct {
	Workers        int // up
	Tasks          int // on machines
	Jobs           int // accepted and not finished
	Accepted       int // jobs in all
	Starts         int // start commands that workers have carried out
	ExpiredTasks   int // tasks that a worker killed at its lease expiry
	StoreKeys      int
	StoreChanges   int // puts and deletes that the key-value store has carried out
	StoreThrottled int // requests that the key-value store refused for its rates
	Violations     []string
}

// Counts counts what the world holds.
func (l *Live) Counts() Counts {
	world := l.world
	counts := Counts{
		Starts: world.taskStarts, ExpiredTasks: world.expiredTasks, StoreKeys: len(world.store.keys),
		StoreChanges: world.store.changeCount, StoreThrottled: world.store.throttled, Violations: world.checker.violations,
	}
	for _, m := range world.cloud.machines {
		if !m.removed && m.upAt <= world.now {
			counts.Workers++
		}
	}
	for _, placements := range world.placementsByJob {
		counts.Tasks += len(placements.machines)
	}
	for _, job := range world.users.jobs {
		if !job.accepted {
			continue
		}
		counts.Accepted++
		if job.finalStatus == "" {
			counts.Jobs++
		}
	}
	return counts
}
