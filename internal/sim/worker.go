package sim

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// machine stands in for a machine and its worker.
type machine struct {
	world                 *World
	name, address         string
	machineType, zone     string
	spot                  bool
	rentedAt, upAt        time.Duration
	removed               bool
	removedAt             time.Duration
	incarnation, sequence uint64
	fencingToken          uint64
	acknowledgedAt        time.Duration // when the last answered report was sent
	tasks                 map[string]*task
	sortedCache           []*task // tasks in order, see sorted; nil if they have changed
	cachedImages          map[string]bool
	controllerIndex       int
	awaitsAnswer          bool
	nextHeartbeat         time.Duration
	lastHeartbeat         time.Duration
	statusChanged         bool
	preemptionAt          time.Duration
	faulty                bool
	duplicateUntil        time.Duration
	duplicateDelay        time.Duration
	hangUntil             time.Duration
	outboundBlockedUntil  time.Duration // until then it opens no connection to a controller
	heldCommands          []func()
}

type task struct {
	name          string
	job           *groundTruth
	index         int
	attempt       uint64
	state         wire.TaskState
	cause         wire.ExitCause
	checkpointed  bool
	placed        bool
	commandedAt   time.Duration // the command to start it was carried out
	imageReadyAt  time.Duration // image there
	waitingSince  time.Duration
	runningSince  time.Duration
	baseProgress  float64 // progress at the start of this run
	checkpointEnd time.Duration
	peerLostAt    time.Duration // a gang's other task is gone
}

func newMachine(world *World, name, typ, zone string, spot bool) *machine {
	m := &machine{world: world, name: name, machineType: typ, zone: zone, spot: spot, rentedAt: world.now, incarnation: 1,
		tasks: map[string]*task{}, cachedImages: map[string]bool{}}
	if world.cloud.workerAddress != nil {
		m.address = world.cloud.workerAddress(name)
		return m
	}
	num, _ := strconv.Atoi(strings.TrimPrefix(name, "n-"))
	m.address = "10.1." + strconv.Itoa(num/250) + "." + strconv.Itoa(num%250+1) + ":9000"
	return m
}

// boot has a machine that has been rented come up, unless new ones never do.
func (m *machine) boot() {
	world := m.world
	t := world.cloud.machineType(m.machineType)
	delay := seconds(t.BootS * (0.6 + 0.9*world.rng.Float64()))
	if world.cloud.failedBoots.affects(m) {
		m.upAt = never
		return
	}
	if world.cloud.delayedBoots.affects(m) {
		delay = time.Duration(float64(delay) * world.cloud.delayedBoots.factor)
	}
	m.startWorkerAfter(delay)
}

// startWorkerAfter has the machine's worker begin to report after a while.
func (m *machine) startWorkerAfter(after time.Duration) {
	world := m.world
	m.upAt = world.now + after
	world.after(after, func() {
		if m.removed {
			return
		}
		m.acknowledgedAt = world.now
		m.controllerIndex = world.rng.IntN(len(world.controllers))
		m.tick()
	})
}

// sortedTasks lists the machine's tasks by name and attempt. The list is shared: callers
// leave it as it is.
func (m *machine) sortedTasks() []*task {
	if m.sortedCache != nil && len(m.sortedCache) == len(m.tasks) {
		return m.sortedCache
	}
	out := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].name < out[j].name || out[i].name == out[j].name && out[i].attempt < out[j].attempt
	})
	m.sortedCache = out
	return out
}

// clearTasks forgets all tasks.
func (m *machine) clearTasks() { m.tasks, m.sortedCache = map[string]*task{}, nil }

// exitedKey is where an ended attempt is kept when another one has its place.
func exitedKey(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

func (m *machine) tick() {
	if m.removed {
		return
	}
	m.world.after(100*time.Millisecond, m.tick)
	// The lease runs out on a hanging machine too.
	if m.world.now-m.acknowledgedAt > seconds(m.world.settings.Deployment.Workers.LeaseS) {
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
	if m.world.now < m.hangUntil {
		return
	}
	inbox := m.heldCommands
	m.heldCommands = nil
	for _, f := range inbox {
		f()
	}
	for _, t := range m.sortedTasks() {
		m.advance(t)
	}
	if m.awaitsAnswer {
		return
	}
	if m.world.now >= m.nextHeartbeat || m.statusChanged && m.world.now >= m.lastHeartbeat+500*time.Millisecond {
		m.sendHeartbeat()
	}
}

// advance moves one task on.
func (m *machine) advance(task *task) {
	now, timings := m.world.now, m.world.settings.Deployment.Workers
	switch task.state {
	case wire.TaskPulling:
		if now >= task.imageReadyAt {
			m.imagePulled(task)
		}
	case wire.TaskWaiting:
		if now-task.waitingSince > seconds(timings.GangWaitS) {
			m.exit(task, wire.CauseGangIncomplete)
		}
	case wire.TaskRunning:
		if task.peerLostAt == 0 {
			m.advanceRunning(task)
		} else if now-task.peerLostAt > seconds(timings.GangPeerS) {
			m.exit(task, wire.CauseGangMemberLost)
		}
	case wire.TaskCheckpointing:
		if now >= task.checkpointEnd {
			task.saveProgress(task.progressAt(task.checkpointEnd - seconds(task.job.CheckpointDurationS)))
			task.checkpointed = true
			m.exit(task, wire.CauseStopped)
		}
	}
}

// imagePulled has a task begin, or wait for its gang, now that its image is there.
func (m *machine) imagePulled(task *task) {
	world := m.world
	m.cachedImages[task.job.Image] = true
	world.addPlacement(m, task)
	m.statusChanged = true
	world.checker.checkStart(m, task)
	switch {
	case task.job.doneTasks[task.index]:
		m.exit(task, wire.CauseDone)
	case m.faulty || task.job.fails:
		m.exit(task, wire.CauseError)
	case task.job.Shape == wire.ShapeGang:
		task.state, task.waitingSince = wire.TaskWaiting, world.now
		world.startGang(task)
	default:
		task.beginRunning(world.now)
		world.observeStart(m, task)
	}
}

// advanceRunning saves checkpoints of a task that runs, and ends it when it is done.
func (m *machine) advanceRunning(task *task) {
	if task.job.Shape == wire.ShapeService {
		return
	}
	ran := task.progressAt(m.world.now)
	if task.job.CheckpointIntervalS > 0 {
		task.saveProgress(float64(int(ran/task.job.CheckpointIntervalS)) * task.job.CheckpointIntervalS)
	}
	if ran < task.job.runS {
		return
	}
	if task.job.Shape == wire.ShapeGang {
		for i := range task.job.Tasks {
			task.job.doneTasks[i] = true
		}
	}
	task.job.doneTasks[task.index] = true
	m.exit(task, wire.CauseDone)
	m.world.cancelFinishedJob(task.job)
}

// saveProgress keeps progress outside the machine, if it is more than is saved already.
func (t *task) saveProgress(progress float64) {
	t.job.savedProgress[t.progressKey()] = max(t.job.savedProgress[t.progressKey()], progress)
}

func (t *task) progressKey() int {
	if t.job.Shape == wire.ShapeGang {
		return 0
	}
	return t.index
}

func (t *task) progressAt(now time.Duration) float64 {
	return t.baseProgress + max(0, (now-t.runningSince).Seconds())
}

// beginRunning begins a task's run, from what is saved.
func (t *task) beginRunning(now time.Duration) {
	t.state, t.runningSince, t.baseProgress = wire.TaskRunning, now, t.job.savedProgress[t.progressKey()]
}

// startGang starts a gang once its last task waits.
func (w *World) startGang(t *task) {
	var all []placement
	for _, p := range w.sortedPlacements(t.job) {
		if p.task.attempt == t.attempt && p.task.state == wire.TaskWaiting {
			all = append(all, p)
		}
	}
	if len(all) < t.job.Tasks {
		return
	}
	for _, p := range all {
		p.task.beginRunning(w.now)
		w.observeStart(p.machine, p.task)
	}
}

// terminate takes a task off the machine without a word, as a death does.
func (m *machine) terminate(task *task) {
	if task.state == wire.TaskExited {
		return
	}
	ran := task.state == wire.TaskRunning
	m.world.removePlacement(task)
	task.state = wire.TaskExited
	if task.job.Shape == wire.ShapeGang && ran && !task.job.doneTasks[task.index] {
		for _, p := range m.world.sortedPlacements(task.job) {
			if other := p.task; other.attempt == task.attempt && other.state == wire.TaskRunning && other.peerLostAt == 0 {
				other.peerLostAt = m.world.now
			}
		}
	}
}

func (m *machine) exit(t *task, cause wire.ExitCause) {
	m.terminate(t)
	t.cause = cause
	m.statusChanged = true
}

func (m *machine) heartbeat() *wire.Heartbeat {
	m.sequence++
	report := &wire.Heartbeat{Machine: m.name, Addr: m.address, Type: m.machineType, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: []wire.TaskStatus{}}
	if m.preemptionAt != 0 {
		s := (m.preemptionAt - m.world.now).Seconds()
		report.PreemptionNoticeS = &s
	}
	rows := slices.Clone(m.sortedTasks())
	// The protocol gives no order.
	m.world.rng.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
	for _, t := range rows {
		report.Tasks = append(report.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return report
}

func (m *machine) sendHeartbeat() {
	world := m.world
	m.awaitsAnswer, m.statusChanged = true, false
	m.lastHeartbeat = world.now
	sent, session := world.now, m.incarnation
	body, _ := json.Marshal(m.heartbeat())
	world.checker.checkHeartbeatSize(m, len(body))
	if world.now < m.duplicateUntil && world.now >= m.outboundBlockedUntil {
		controller := world.controllers[world.rng.IntN(len(world.controllers))]
		world.after(m.duplicateDelay, func() {
			controller.request(m.name, "POST", "/checkin", body, 4*time.Second, func(int, []byte) {})
		})
	}
	if world.now >= m.outboundBlockedUntil && world.duplicateHeartbeats.occurs(world) {
		lease := seconds(world.settings.Deployment.Workers.LeaseS)
		world.after(2*time.Second+time.Duration(world.rng.Int64N(int64(lease+lease/2))), func() {
			controller := world.controllers[world.rng.IntN(len(world.controllers))]
			controller.request(m.name, "POST", "/checkin", body, 4*time.Second, func(int, []byte) {})
		})
	}
	answer := func(status int, answer []byte) {
		if m.removed {
			return
		}
		m.awaitsAnswer = false
		period := seconds(world.settings.Deployment.Workers.ReportS)
		m.nextHeartbeat = world.now + time.Duration(float64(period)*(0.75+0.5*world.rng.Float64()))
		if status == 421 && world.now >= m.hangUntil {
			var r wire.Redirect
			json.Unmarshal(answer, &r)
			for i, controller := range world.controllers {
				if controller.name == r.Controller && i != m.controllerIndex {
					m.controllerIndex = i
					m.nextHeartbeat = world.now + time.Duration(world.rng.Int64N(int64(time.Second/2)))
					return
				}
			}
		}
		if status != 200 || world.now < m.hangUntil {
			m.controllerIndex = (m.controllerIndex + 1) % len(world.controllers)
			m.nextHeartbeat = world.now + time.Second
			return
		}
		var o wire.CommandList
		if json.Unmarshal(answer, &o) != nil || o.FencingToken < m.fencingToken || session != m.incarnation {
			return
		}
		m.observeToken(o.FencingToken)
		m.acknowledgedAt = max(m.acknowledgedAt, sent)
		m.execute(o.Commands)
	}
	if world.now < m.outboundBlockedUntil {
		// The connection doesn't open. What a controller opens to the
		// worker goes on, so this is no cut.
		world.after(4*time.Second, func() { answer(0, nil) })
		return
	}
	world.controllers[m.controllerIndex].request(m.name, "POST", "/checkin", body, 4*time.Second, answer)
}

func (m *machine) observeToken(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		m.statusChanged = true
	}
}

// handleDirect handles a command to the worker's own address.
func (m *machine) handleDirect(method, path string, body []byte, reply func(int, []byte)) {
	if m.removed || m.world.now < m.upAt {
		return
	}
	if m.world.now < m.hangUntil {
		m.heldCommands = append(m.heldCommands, func() { m.handleDirect(method, path, body, reply) })
		return
	}
	status := 200
	if path == "/do" {
		var o wire.CommandList
		json.Unmarshal(body, &o)
		if o.FencingToken < m.fencingToken || o.Incarnation != m.incarnation {
			status = 409
		} else {
			m.observeToken(o.FencingToken)
			m.execute(o.Commands)
		}
	}
	b, _ := json.Marshal(m.heartbeat())
	reply(status, b)
}

// execute carries commands out in order.
func (m *machine) execute(cmds []wire.Command) {
	for _, command := range cmds {
		if m.tasks[exitedKey(command.Task, command.Attempt)] != nil { // an earlier attempt, over
			if command.Verb == wire.VerbForget {
				m.forgetTask(exitedKey(command.Task, command.Attempt))
			}
			continue
		}
		t := m.tasks[command.Task]
		here := t != nil && t.attempt == command.Attempt
		switch {
		case command.Verb == wire.VerbStart && !here:
			m.startTask(command)
		case command.Verb == wire.VerbStop && here && t.state != wire.TaskExited:
			m.stopTask(t, command.GracePeriodS)
		case command.Verb == wire.VerbForget && here && t.state == wire.TaskExited:
			m.forgetTask(command.Task)
		}
	}
}

// forgetTask removes a task from the reports.
func (m *machine) forgetTask(key string) {
	delete(m.tasks, key)
	m.sortedCache = nil
	m.statusChanged = true
}

// stopTask ends a task, after a save if it can save and is given the time.
func (m *machine) stopTask(task *task, graceS *float64) {
	m.statusChanged = true
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case task.state == wire.TaskCheckpointing:
		if graceS != nil && grace == 0 {
			m.exit(task, wire.CauseStopped)
		}
	case task.state == wire.TaskRunning && task.job.CheckpointIntervalS > 0 && graceS != nil && grace >= task.job.CheckpointDurationS && task.peerLostAt == 0:
		task.state = wire.TaskCheckpointing
		task.checkpointEnd = m.world.now + seconds(task.job.CheckpointDurationS)
	default:
		m.exit(task, wire.CauseStopped)
	}
}

func (m *machine) startTask(command wire.Command) {
	world := m.world
	world.taskStarts++
	m.statusChanged = true
	i := strings.IndexByte(command.Task, '/')
	t := &task{name: command.Task, attempt: command.Attempt, state: wire.TaskExited, commandedAt: world.now}
	if i > 0 {
		t.job = world.jobs[command.Task[:i]]
		t.index, _ = strconv.Atoi(command.Task[i+1:])
	}
	if old := m.tasks[command.Task]; old != nil {
		if old.state != wire.TaskExited {
			return // another attempt is here; the stand-in refuses silently
		}
		m.tasks[exitedKey(command.Task, old.attempt)] = old // listed until it is to be forgotten
	}
	m.tasks[command.Task], m.sortedCache = t, nil
	if t.job == nil || t.index >= t.job.Tasks {
		t.job = &groundTruth{Job: wire.Job{ID: command.Task}, doneTasks: map[int]bool{}, savedProgress: map[int]float64{}}
		t.cause = wire.CauseUnknownTask
		return
	}
	typ := world.cloud.machineType(m.machineType)
	cpus, gpus, mem := typ.CPUs, typ.GPUs, typ.MemGB
	for _, other := range m.tasks {
		if other.state != wire.TaskExited {
			cpus, gpus, mem = cpus-other.job.CPUs, gpus-other.job.GPUs, mem-other.job.MemGB
		}
	}
	if cpus+1e-6 < t.job.CPUs || gpus+1e-6 < t.job.GPUs || mem+1e-6 < t.job.MemGB {
		t.cause = wire.CauseInsufficientResources
		return
	}
	t.state = wire.TaskPulling
	t.imageReadyAt = world.now
	if !m.cachedImages[t.job.Image] {
		t.imageReadyAt += seconds(t.job.ImageGB / typ.PullGBPerS)
	}
}
