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
	w              *World
	name, addr     string
	typ, zone      string
	spot           bool
	rentedAt, upAt time.Duration
	gone           bool
	goneAt         time.Duration
	session, seq   uint64
	token          uint64
	answered       time.Duration // when the last answered report was sent
	tasks          map[string]*task
	rows           []*task // tasks in order, see sorted; nil if they have changed
	images         map[string]bool
	node           int
	busy           bool
	nextReport     time.Duration
	lastReport     time.Duration
	changed        bool
	warning        time.Duration
	faulty         bool
	copyUntil      time.Duration
	copyDelay      time.Duration
	hangUntil      time.Duration
	muteUntil      time.Duration // until then it opens no connection to a controller
	hangInbox      []func()
}

type task struct {
	name     string
	job      *jobTruth
	index    int
	attempt  uint64
	state    wire.TaskState
	cause    wire.ExitCause
	saved    bool
	on       bool
	ordered  time.Duration // the command to start it was carried out
	ready    time.Duration // image there
	waitFrom time.Duration
	runFrom  time.Duration
	base     float64 // progress at the start of this run
	saveEnd  time.Duration
	lostAt   time.Duration // a gang's other task is gone
}

func newMachine(w *World, name, typ, zone string, spot bool) *machine {
	m := &machine{w: w, name: name, typ: typ, zone: zone, spot: spot, rentedAt: w.now, session: 1,
		tasks: map[string]*task{}, images: map[string]bool{}}
	if w.cloud.workerAddr != nil {
		m.addr = w.cloud.workerAddr(name)
		return m
	}
	num, _ := strconv.Atoi(strings.TrimPrefix(name, "n-"))
	m.addr = "10.1." + strconv.Itoa(num/250) + "." + strconv.Itoa(num%250+1) + ":9000"
	return m
}

// boot has a machine that has been rented come up, unless new ones never do.
func (m *machine) boot() {
	w := m.w
	t := w.cloud.typ(m.typ)
	delay := seconds(t.BootS * (0.6 + 0.9*w.rng.Float64()))
	if w.cloud.noBoot.befalls(m) {
		m.upAt = never
		return
	}
	if w.cloud.lateBoot.befalls(m) {
		delay = time.Duration(float64(delay) * w.cloud.lateBoot.factor)
	}
	m.comeUp(delay)
}

// comeUp has the machine's worker begin to report after a while.
func (m *machine) comeUp(after time.Duration) {
	w := m.w
	m.upAt = w.now + after
	w.after(after, func() {
		if m.gone {
			return
		}
		m.answered = w.now
		m.node = w.rng.IntN(len(w.nodes))
		m.tick()
	})
}

// sorted lists the machine's tasks by name and attempt. The list is shared: callers
// leave it as it is.
func (m *machine) sorted() []*task {
	if m.rows != nil && len(m.rows) == len(m.tasks) {
		return m.rows
	}
	out := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].name < out[j].name || out[i].name == out[j].name && out[i].attempt < out[j].attempt
	})
	m.rows = out
	return out
}

// clear forgets all tasks.
func (m *machine) clear() { m.tasks, m.rows = map[string]*task{}, nil }

// endedKey is where an ended attempt is kept when another one has its place.
func endedKey(name string, attempt uint64) string {
	return name + "#" + strconv.FormatUint(attempt, 10)
}

func (m *machine) tick() {
	if m.gone {
		return
	}
	m.w.after(100*time.Millisecond, m.tick)
	// The lease runs out on a hanging machine too.
	if m.w.now-m.answered > seconds(m.w.cfg.Deployment.Workers.LeaseS) {
		for _, t := range m.sorted() {
			if t.on {
				m.w.expired++
			}
			m.off(t)
		}
		m.clear()
		m.session++
		m.answered = m.w.now
		m.changed = true
	}
	if m.w.now < m.hangUntil {
		return
	}
	inbox := m.hangInbox
	m.hangInbox = nil
	for _, f := range inbox {
		f()
	}
	for _, t := range m.sorted() {
		m.advance(t)
	}
	if m.busy {
		return
	}
	if m.w.now >= m.nextReport || m.changed && m.w.now >= m.lastReport+500*time.Millisecond {
		m.report()
	}
}

// advance moves one task on.
func (m *machine) advance(t *task) {
	now, d := m.w.now, m.w.cfg.Deployment.Workers
	switch t.state {
	case wire.TaskFetching:
		if now >= t.ready {
			m.fetched(t)
		}
	case wire.TaskWaiting:
		if now-t.waitFrom > seconds(d.GangWaitS) {
			m.end(t, wire.CauseIncomplete)
		}
	case wire.TaskRunning:
		if t.lostAt == 0 {
			m.progress(t)
		} else if now-t.lostAt > seconds(d.GangPeerS) {
			m.end(t, wire.CausePeers)
		}
	case wire.TaskSaving:
		if now >= t.saveEnd {
			t.save(t.progressNow(t.saveEnd - seconds(t.job.SaveS)))
			t.saved = true
			m.end(t, wire.CauseStopped)
		}
	}
}

// fetched has a task begin, or wait for its gang, now that its image is there.
func (m *machine) fetched(t *task) {
	w := m.w
	m.images[t.job.Image] = true
	w.putOn(m, t)
	m.changed = true
	w.check.start(m, t)
	switch {
	case t.job.done[t.index]:
		m.end(t, wire.CauseDone)
	case m.faulty || t.job.fail:
		m.end(t, wire.CauseError)
	case t.job.Shape == wire.ShapeGang:
		t.state, t.waitFrom = wire.TaskWaiting, w.now
		w.gather(t)
	default:
		t.run(w.now)
		w.observeBegin(m, t)
	}
}

// progress saves checkpoints of a task that runs, and ends it when it is done.
func (m *machine) progress(t *task) {
	if t.job.Shape == wire.ShapeService {
		return
	}
	ran := t.progressNow(m.w.now)
	if t.job.CheckpointS > 0 {
		t.save(float64(int(ran/t.job.CheckpointS)) * t.job.CheckpointS)
	}
	if ran < t.job.runS {
		return
	}
	if t.job.Shape == wire.ShapeGang {
		for i := range t.job.Tasks {
			t.job.done[i] = true
		}
	}
	t.job.done[t.index] = true
	m.end(t, wire.CauseDone)
	m.w.ended(t.job)
}

// save keeps progress outside the machine, if it is more than is saved already.
func (t *task) save(progress float64) {
	t.job.progress[t.key()] = max(t.job.progress[t.key()], progress)
}

func (t *task) key() int {
	if t.job.Shape == wire.ShapeGang {
		return 0
	}
	return t.index
}

func (t *task) progressNow(now time.Duration) float64 {
	return t.base + max(0, (now-t.runFrom).Seconds())
}

// run begins a task's run, from what is saved.
func (t *task) run(now time.Duration) {
	t.state, t.runFrom, t.base = wire.TaskRunning, now, t.job.progress[t.key()]
}

// gather starts a gang once its last task waits.
func (w *World) gather(t *task) {
	var all []placement
	for _, p := range w.placements(t.job) {
		if p.task.attempt == t.attempt && p.task.state == wire.TaskWaiting {
			all = append(all, p)
		}
	}
	if len(all) < t.job.Tasks {
		return
	}
	for _, p := range all {
		p.task.run(w.now)
		w.observeBegin(p.machine, p.task)
	}
}

// off takes a task off the machine without a word, as a death does.
func (m *machine) off(t *task) {
	if t.state == wire.TaskExited {
		return
	}
	ran := t.state == wire.TaskRunning
	m.w.takeOff(t)
	t.state = wire.TaskExited
	if t.job.Shape == wire.ShapeGang && ran && !t.job.done[t.index] {
		for _, p := range m.w.placements(t.job) {
			if o := p.task; o.attempt == t.attempt && o.state == wire.TaskRunning && o.lostAt == 0 {
				o.lostAt = m.w.now
			}
		}
	}
}

func (m *machine) end(t *task, cause wire.ExitCause) {
	m.off(t)
	t.cause = cause
	m.changed = true
}

func (m *machine) message() *wire.Report {
	m.seq++
	r := &wire.Report{Machine: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot,
		Session: m.session, Seq: m.seq, Token: m.token, Tasks: []wire.Task{}}
	if m.warning != 0 {
		s := (m.warning - m.w.now).Seconds()
		r.WarningS = &s
	}
	rows := slices.Clone(m.sorted())
	// The protocol gives no order.
	m.w.rng.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
	for _, t := range rows {
		r.Tasks = append(r.Tasks, wire.Task{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *machine) report() {
	w := m.w
	m.busy, m.changed = true, false
	m.lastReport = w.now
	sent, session := w.now, m.session
	body, _ := json.Marshal(m.message())
	w.check.reportSize(m, len(body))
	if w.now < m.copyUntil && w.now >= m.muteUntil {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(m.copyDelay, func() {
			n.request(m.name, "POST", "/checkin", body, 4*time.Second, func(int, []byte) {})
		})
	}
	if w.now >= m.muteUntil && w.lateReports.strikes(w) {
		lease := seconds(w.cfg.Deployment.Workers.LeaseS)
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(lease+lease/2))), func() {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			n.request(m.name, "POST", "/checkin", body, 4*time.Second, func(int, []byte) {})
		})
	}
	answer := func(status int, answer []byte) {
		if m.gone {
			return
		}
		m.busy = false
		period := seconds(w.cfg.Deployment.Workers.ReportS)
		m.nextReport = w.now + time.Duration(float64(period)*(0.75+0.5*w.rng.Float64()))
		if status == 421 && w.now >= m.hangUntil {
			var r wire.Redirect
			json.Unmarshal(answer, &r)
			for i, n := range w.nodes {
				if n.name == r.ReportTo && i != m.node {
					m.node = i
					m.nextReport = w.now + time.Duration(w.rng.Int64N(int64(time.Second/2)))
					return
				}
			}
		}
		if status != 200 || w.now < m.hangUntil {
			m.node = (m.node + 1) % len(w.nodes)
			m.nextReport = w.now + time.Second
			return
		}
		var o wire.Orders
		if json.Unmarshal(answer, &o) != nil || o.Token < m.token || session != m.session {
			return
		}
		m.see(o.Token)
		m.answered = max(m.answered, sent)
		m.execute(o.Commands)
	}
	if w.now < m.muteUntil {
		// The connection doesn't open. What a controller opens to the
		// worker goes on, so this is no cut.
		w.after(4*time.Second, func() { answer(0, nil) })
		return
	}
	w.nodes[m.node].request(m.name, "POST", "/checkin", body, 4*time.Second, answer)
}

func (m *machine) see(token uint64) {
	if token > m.token {
		m.token = token
		m.changed = true
	}
}

// direct handles a command to the worker's own address.
func (m *machine) direct(method, path string, body []byte, reply func(int, []byte)) {
	if m.gone || m.w.now < m.upAt {
		return
	}
	if m.w.now < m.hangUntil {
		m.hangInbox = append(m.hangInbox, func() { m.direct(method, path, body, reply) })
		return
	}
	status := 200
	if path == "/do" {
		var o wire.Orders
		json.Unmarshal(body, &o)
		if o.Token < m.token || o.Session != m.session {
			status = 409
		} else {
			m.see(o.Token)
			m.execute(o.Commands)
		}
	}
	b, _ := json.Marshal(m.message())
	reply(status, b)
}

// execute carries commands out in order.
func (m *machine) execute(cmds []wire.Command) {
	for _, c := range cmds {
		if m.tasks[endedKey(c.Task, c.Attempt)] != nil { // an earlier attempt, over
			if c.Verb == wire.VerbForget {
				m.forget(endedKey(c.Task, c.Attempt))
			}
			continue
		}
		t := m.tasks[c.Task]
		here := t != nil && t.attempt == c.Attempt
		switch {
		case c.Verb == wire.VerbStart && !here:
			m.start(c)
		case c.Verb == wire.VerbStop && here && t.state != wire.TaskExited:
			m.stop(t, c.GraceS)
		case c.Verb == wire.VerbForget && here && t.state == wire.TaskExited:
			m.forget(c.Task)
		}
	}
}

// forget removes a task from the reports.
func (m *machine) forget(key string) {
	delete(m.tasks, key)
	m.rows = nil
	m.changed = true
}

// stop ends a task, after a save if it can save and is given the time.
func (m *machine) stop(t *task, graceS *float64) {
	m.changed = true
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.state == wire.TaskSaving:
		if graceS != nil && grace == 0 {
			m.end(t, wire.CauseStopped)
		}
	case t.state == wire.TaskRunning && t.job.CheckpointS > 0 && graceS != nil && grace >= t.job.SaveS && t.lostAt == 0:
		t.state = wire.TaskSaving
		t.saveEnd = m.w.now + seconds(t.job.SaveS)
	default:
		m.end(t, wire.CauseStopped)
	}
}

func (m *machine) start(c wire.Command) {
	w := m.w
	w.started++
	m.changed = true
	i := strings.IndexByte(c.Task, '/')
	t := &task{name: c.Task, attempt: c.Attempt, state: wire.TaskExited, ordered: w.now}
	if i > 0 {
		t.job = w.jobs[c.Task[:i]]
		t.index, _ = strconv.Atoi(c.Task[i+1:])
	}
	if old := m.tasks[c.Task]; old != nil {
		if old.state != wire.TaskExited {
			return // another attempt is here; the stand-in refuses silently
		}
		m.tasks[endedKey(c.Task, old.attempt)] = old // listed until it is to be forgotten
	}
	m.tasks[c.Task], m.rows = t, nil
	if t.job == nil || t.index >= t.job.Tasks {
		t.job = &jobTruth{Job: wire.Job{ID: c.Task}, done: map[int]bool{}, progress: map[int]float64{}}
		t.cause = wire.CauseUnknown
		return
	}
	typ := w.cloud.typ(m.typ)
	cpus, gpus, mem := typ.CPUs, typ.GPUs, typ.MemGB
	for _, o := range m.tasks {
		if o.state != wire.TaskExited {
			cpus, gpus, mem = cpus-o.job.CPUs, gpus-o.job.GPUs, mem-o.job.MemGB
		}
	}
	if cpus+1e-6 < t.job.CPUs || gpus+1e-6 < t.job.GPUs || mem+1e-6 < t.job.MemGB {
		t.cause = wire.CauseNoRoom
		return
	}
	t.state = wire.TaskFetching
	t.ready = w.now
	if !m.images[t.job.Image] {
		t.ready += seconds(t.job.ImageGB / typ.FetchGBPS)
	}
}
