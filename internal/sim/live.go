package sim

import (
	"context"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/eventqueue"
	"github.com/brookwalk/brookwalk/wire"
)

// Process is a controller that runs as a separate process and is reached over the network. Its
// methods are called with the world locked and must not block.
type Process interface {
	// Start starts the process.
	Start()
	// Kill kills the process at once, without letting it shut down.
	Kill()
	// Request sends a request of a user ("user") or of a worker (its machine's name). done is
	// called once, by Live.Do, with the answer; its status is 0 if none came within the
	// timeout.
	Request(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer))
}

// TaskStart describes the start of a task's run.
type TaskStart struct {
	Class        string
	Priority     wire.Priority
	Waited       time.Duration // since the first attempt to submit the job
	FencingToken uint64        // the highest one that the worker has received
	At           time.Duration // since the start of Live.Run
	First        bool          // the task has not run before
}

// Observer receives events of a live world. Its methods are called with the world locked.
type Observer interface {
	// TaskStarted reports that a task starts to run.
	TaskStarted(TaskStart)
}

// Capacity is the number of machines of a type that the cloud has in a zone.
type Capacity struct {
	Type, Zone string
	Spot       bool
	Count      int
	Up         int // how many of them are rented and up from the start
}

// LiveConfig describes a live world.
type LiveConfig struct {
	Settings *config.Settings // of the deployment; those of a single controller are ignored
	Types    []wire.MachineType
	Capacity []Capacity
	Seed     uint64
	Observer Observer // may be nil
	Log      *slog.Logger
	// WorkerAddress chooses the address on which a machine's worker listens.
	WorkerAddress func(machine string) string
	// UsageChanged, if not nil, is called with the change of a team's usage of CPUs and GPUs.
	// The world is locked during the call.
	UsageChanged func(team string, cpus, gpus float64)
	// MachineRemoved, if not nil, is called with a machine that is removed and does not return.
	// The world is locked during the call.
	MachineRemoved func(machine string)
}

// Live runs a world in real time, around controllers that are separate processes. The checker
// works as in virtual time, except that it does not check the rules on unanswered users and
// waiting jobs: their cost grows with the number of jobs times the number of machines.
type Live struct {
	mu        sync.Mutex
	world     *World
	startedAt time.Time
}

// NewLive makes a live world. Its clock starts with Run.
func NewLive(c LiveConfig) *Live {
	world := newWorld(c.Settings, c.Seed, c.Log)
	world.events = eventqueue.Queue{} // drops the starts of simulated controllers
	world.faultsEnd = never           // disables the rules that Live does not check
	world.observer = c.Observer
	world.usageChanged = c.UsageChanged
	world.cloud.types = c.Types
	world.cloud.workerAddress, world.cloud.machineRemoved = c.WorkerAddress, c.MachineRemoved
	world.after(0, world.store.expireLeases)
	world.after(sweepInterval, world.checker.sweep)
	heartbeatInterval := seconds(c.Settings.Deployment.Workers.ReportS)
	for _, capacity := range c.Capacity {
		kind := offer{capacity.Type, capacity.Zone, capacity.Spot}
		world.cloud.capacity[kind] = capacity.Count - capacity.Up
		for range capacity.Up {
			world.cloud.addMachine(kind).startWorkerAfter(world.randomDuration(heartbeatInterval))
		}
	}
	return &Live{world: world}
}

// Attach sets the process of a controller. Run starts the process.
func (l *Live) Attach(controller int, p Process) { l.world.controllers[controller].process = p }

// Name returns the name of a controller.
func (l *Live) Name(controller int) string { return l.world.controllers[controller].name }

// Zone returns the zone of a controller.
func (l *Live) Zone(controller int) string { return l.world.zoneOf(l.Name(controller)) }

// Do brings the world up to the current time and calls a function, with the world locked.
func (l *Live) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	f()
}

// catchUp executes the events that are due.
func (l *Live) catchUp() {
	if !l.startedAt.IsZero() {
		l.world.run(time.Since(l.startedAt))
	}
}

// livePollInterval is the interval at which a live world executes due events.
const livePollInterval = 2 * time.Millisecond

// Run starts the controllers and runs the world until the context ends or the duration is over.
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

// Now returns how long the world has run. It must be called with the world locked.
func (l *Live) Now() time.Duration { return l.world.now }

// After schedules a function to be called after a delay, with the world locked. After itself must
// be called with the world locked, or before Run.
func (l *Live) After(delay time.Duration, f func()) { l.world.after(delay, f) }

// LiveJob is a job of a live world.
type LiveJob struct {
	wire.Job
	RunS float64 // run time of a task in seconds; unused for services
}

// Submit makes a user submit a job and poll its status until it is finished. It must be called
// with the world locked, as must the methods below.
func (l *Live) Submit(j LiveJob) {
	truth := newGroundTruth(j.Job)
	truth.runS = j.RunS
	l.world.users.submit(truth, submitImmediately)
}

// Cancel makes a job's user cancel it.
func (l *Live) Cancel(id string) { l.world.users.cancel(id) }

// Leader returns the index of the controller that holds the leader key; false if none does.
func (l *Live) Leader() (int, bool) {
	leader := l.world.leader()
	if leader == nil {
		return 0, false
	}
	return leader.index, true
}

// Term returns the value of the term key, the highest fencing token of the latest term; 0 before the
// first.
func (l *Live) Term() uint64 {
	var term uint64
	if entry := l.world.store.keys[election.KeyTerm]; entry != nil {
		decode(entry.value, &term)
	}
	return term
}

// KillController kills a controller and restarts it after a delay.
func (l *Live) KillController(i int, restartAfter time.Duration) {
	l.world.controllers[i].crash(restartAfter)
}

// RemoveWorkers removes a share of the machines that are up in a zone, or in all zones if zone is
// empty, all at the same time. It returns the number of removed machines.
func (l *Live) RemoveWorkers(share float64, zone string) int {
	up := l.world.machinesUp(zone)
	count := int(share * float64(len(up)))
	for _, m := range up[:count] {
		l.world.cloud.removeMachine(m.name)
	}
	return count
}

// RemoveZone removes all machines of a zone and kills its controllers. After a delay the
// controllers are restarted and the cloud has capacity in the zone again. It returns the number
// of removed machines.
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

// StopStore makes the key-value store reject every request for a duration.
func (l *Live) StopStore(duration time.Duration) { l.world.store.beginOutage(duration) }

// RepeatCalls makes a share of the calls that the key-value store, the cloud, the workers and, for users,
// the controllers carry out and answer be carried out once more, 0.2 to 150 s later.
func (l *Live) RepeatCalls(share float64, duration time.Duration) {
	l.world.repeatedCalls = repeatedCalls{randomFault: randomFault{share, l.world.now + duration}}
}

// ServeStore serves a controller's request to the key-value store. It calls reply immediately or
// later.
func (l *Live) ServeStore(method, path string, body []byte, reply func(int, []byte)) {
	l.world.store.handle("", method, path, body, reply)
}

// ServeCloud serves a controller's request to the cloud. It calls reply after the cloud's latency.
func (l *Live) ServeCloud(method, path string, body []byte, reply func(int, []byte)) {
	l.world.cloud.handle(method, path, body, reply)
}

// ServeWorker serves a controller's request to a worker. Removed machines do not answer.
func (l *Live) ServeWorker(machine, method, path string, body []byte, reply func(int, []byte)) {
	if m := l.world.cloud.machines[machine]; m != nil {
		m.handleDirect(method, path, body, reply)
	}
}

// Records returns the items of the key-value store whose keys have a prefix, in the order of the
// keys, up to the limits of one page.
func (l *Live) Records(prefix string) []wire.Item {
	return l.world.store.page(url.Values{"under": {prefix}}).Items
}

// Counts are statistics of a live world for reports.
type Counts struct {
	Workers        int // up
	Tasks          int // on machines
	UnfinishedJobs int // accepted and not finished
	AcceptedJobs   int // accepted since the start
	Starts         int // start commands that workers have executed
	ExpiredTasks   int // tasks that a worker killed at its lease expiry
	StoreKeys      int
	StoreChanges   int // puts and deletes that the key-value store has applied
	StoreThrottled int // requests that the key-value store rejected for exceeding its rates
	Violations     []string
}

// Counts returns the current statistics.
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
		counts.AcceptedJobs++
		if job.finalStatus == "" {
			counts.UnfinishedJobs++
		}
	}
	return counts
}
