package sim

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// never is a time later than the end of any run.
const never = time.Duration(math.MaxInt64)

// machine simulates a machine and its worker.
type machine struct {
	world        *World
	name         string
	offer               // its type, zone and whether it is a spot machine
	address      string // of the worker, for direct commands
	rentedAt     time.Duration
	upAt         time.Duration
	removed      bool
	removedAt    time.Duration
	cachedImages map[string]bool

	// State of the worker that the protocol defines.
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	acknowledgedAt time.Duration // send time of the last answered heartbeat; the lease counts from it
	tasks          map[string]*task
	sortedCache    []*task // see sortedTasks; nil when tasks have changed

	controllerIndex int // of the controller to which heartbeats are sent
	awaitsAnswer    bool
	nextHeartbeat   time.Duration
	lastHeartbeat   time.Duration
	statusChanged   bool // since the last heartbeat

	// Faults.
	faulty               bool          // every task that starts exits with an error
	preemptionAt         time.Duration // when the cloud preempts the machine; 0 without a notice
	duplicateUntil       time.Duration // until then a delayed copy of each heartbeat is sent too
	duplicateDelay       time.Duration
	hangUntil            time.Duration // until then the worker does nothing, except that its lease can expire
	outboundBlockedUntil time.Duration // until then it cannot connect to any controller
	heldCommands         []func()      // commands that arrived while it hung
}

func newMachine(world *World, name string, kind offer) *machine {
	m := &machine{
		world: world, name: name, offer: kind, rentedAt: world.now, incarnation: 1,
		tasks: map[string]*task{}, cachedImages: map[string]bool{},
	}
	if world.cloud.workerAddress != nil {
		m.address = world.cloud.workerAddress(name)
		return m
	}
	number, _ := strconv.Atoi(strings.TrimPrefix(name, machinePrefix)) // addMachine names machines by number
	m.address = "10.1." + strconv.Itoa(number/250) + "." + strconv.Itoa(number%250+1) + ":9000"
	return m
}

// A machine's boot time is the one that the cloud states times a random factor from 0.6 to 1.5.
const (
	minBootFactor   = 0.6
	bootFactorRange = 0.9
)

// boot starts the worker of a rented machine after its boot time, unless a fault prevents that.
func (m *machine) boot() {
	cloud := m.world.cloud
	delay := seconds(cloud.machineType(m.machineType).BootS * (minBootFactor + bootFactorRange*m.world.rng.Float64()))
	if cloud.failedBoots.affects(m) {
		m.upAt = never
		return
	}
	if cloud.delayedBoots.affects(m) {
		delay = time.Duration(float64(delay) * cloud.delayedBoots.factor)
	}
	m.startWorkerAfter(delay)
}

// startWorkerAfter starts the machine's worker after a delay.
func (m *machine) startWorkerAfter(delay time.Duration) {
	world := m.world
	m.upAt = world.now + delay
	world.after(delay, func() {
		if m.removed {
			return
		}
		m.acknowledgedAt = world.now
		m.controllerIndex = world.rng.IntN(len(world.controllers))
		m.tick()
	})
}

// workerTickInterval is the time between two ticks of a worker.
const workerTickInterval = 100 * time.Millisecond

// minHeartbeatInterval is the minimum time between two heartbeats, also when the status changes
// more often.
const minHeartbeatInterval = 500 * time.Millisecond

func (m *machine) tick() {
	if m.removed {
		return
	}
	m.world.after(workerTickInterval, m.tick)
	// The lease also expires on a machine that hangs.
	if m.world.now-m.acknowledgedAt > seconds(m.world.settings.Deployment.Workers.LeaseS) {
		m.expireLease()
	}
	if m.world.now < m.hangUntil {
		return
	}
	held := m.heldCommands
	m.heldCommands = nil
	for _, handle := range held {
		handle()
	}
	for _, t := range m.sortedTasks() {
		m.advance(t)
	}
	if m.awaitsAnswer {
		return
	}
	if m.world.now >= m.nextHeartbeat || m.statusChanged && m.world.now >= m.lastHeartbeat+minHeartbeatInterval {
		m.sendHeartbeat()
	}
}

// expireLease kills all tasks and starts a new incarnation.
func (m *machine) expireLease() {
	for _, t := range m.sortedTasks() {
		if t.placed {
			m.world.expiredTasks++
		}
		m.terminate(t)
	}
	m.clearTasks()
	m.incarnation++
	m.acknowledgedAt = m.world.now
	m.statusChanged = true
}

// sortedTasks returns the tasks sorted by name and attempt. Callers must not modify the slice:
// it is cached.
func (m *machine) sortedTasks() []*task {
	if m.sortedCache != nil && len(m.sortedCache) == len(m.tasks) {
		return m.sortedCache
	}
	sorted := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, compareTasks)
	m.sortedCache = sorted
	return sorted
}

// clearTasks removes all tasks.
func (m *machine) clearTasks() { m.tasks, m.sortedCache = map[string]*task{}, nil }

// exitedKey returns the key in machine.tasks of an exited attempt whose task has a later attempt
// on the machine.
func exitedKey(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

// advance updates a task's state to the current time.
func (m *machine) advance(t *task) {
	now, timings := m.world.now, m.world.settings.Deployment.Workers
	switch t.state {
	case wire.TaskPulling:
		if now >= t.imageReadyAt {
			m.imagePulled(t)
		}
	case wire.TaskWaiting:
		if now-t.waitingSince > seconds(timings.GangWaitS) {
			m.exit(t, wire.CauseGangIncomplete)
		}
	case wire.TaskRunning:
		if t.peerLostAt == 0 {
			m.advanceRunning(t)
		} else if now-t.peerLostAt > seconds(timings.GangPeerS) {
			m.exit(t, wire.CauseGangMemberLost)
		}
	case wire.TaskCheckpointing:
		if now >= t.checkpointEnd {
			t.saveProgress(t.progressAt(t.checkpointEnd - seconds(t.job.CheckpointDurationS)))
			t.checkpointed = true
			m.exit(t, wire.CauseStopped)
		}
	case wire.TaskExited: // final state
	}
}

// imagePulled places a task whose image has been pulled and starts it. A task of a gang waits for
// the others. A task that is already done, or that a fault makes fail, exits instead.
func (m *machine) imagePulled(t *task) {
	m.cachedImages[t.job.Image] = true
	m.world.addPlacement(m, t)
	m.statusChanged = true
	m.world.checker.checkStart(m, t)
	switch {
	case t.job.doneTasks[t.index]:
		m.exit(t, wire.CauseDone)
	case m.faulty || t.job.fails:
		m.exit(t, wire.CauseError)
	case t.job.Shape == wire.ShapeGang:
		t.state, t.waitingSince = wire.TaskWaiting, m.world.now
		m.world.startGang(t)
	default:
		t.beginRunning(m.world.now)
		m.world.observeStart(m, t)
	}
}

// advanceRunning saves checkpoints of a running task and ends it when it is done.
func (m *machine) advanceRunning(t *task) {
	job := t.job
	if job.Shape == wire.ShapeService {
		return
	}
	ran := t.progressAt(m.world.now)
	if job.CheckpointIntervalS > 0 {
		t.saveProgress(float64(int(ran/job.CheckpointIntervalS)) * job.CheckpointIntervalS)
	}
	if ran < job.runS {
		return
	}
	if job.Shape == wire.ShapeGang {
		for i := range job.Tasks {
			job.doneTasks[i] = true
		}
	}
	job.doneTasks[t.index] = true
	m.exit(t, wire.CauseDone)
	m.world.cancelFinishedJob(job)
}

// terminate ends a task and removes its placement. It does not make the worker report the end, see
// exit. If a running task of a gang ends before it is done, the other running tasks of the attempt
// record that they have lost a peer.
func (m *machine) terminate(t *task) {
	if t.state == wire.TaskExited {
		return
	}
	ran := t.state == wire.TaskRunning
	m.world.removePlacement(t)
	t.state = wire.TaskExited
	if t.job.Shape != wire.ShapeGang || !ran || t.job.doneTasks[t.index] {
		return
	}
	for _, p := range m.world.sortedPlacements(t.job) {
		if other := p.task; other.attempt == t.attempt && other.state == wire.TaskRunning && other.peerLostAt == 0 {
			other.peerLostAt = m.world.now
		}
	}
}

// exit terminates a task with a cause that the worker reports.
func (m *machine) exit(t *task, cause wire.ExitCause) {
	m.terminate(t)
	t.cause = cause
	m.statusChanged = true
}
