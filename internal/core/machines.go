package core

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// ref names a task that counts on a machine.
type ref struct {
	j    *job
	i    int
	name string
}

// task returns the task that a ref names.
func (p ref) task() *task { return &p.j.tasks[p.i] }

// machine is what the leader knows of a machine.
type machine struct {
	name, addr, typ, zone string
	spot                  bool
	known                 bool // type and zone are known

	session, seq       uint64 // newest message
	repSession, repSeq uint64 // newest report
	token              uint64 // highest token the worker has reported
	heard              time.Duration
	via                string        // the controller that its last report came by
	heardFrom          time.Duration // reports have come regularly since then
	answered           time.Duration // last answer of this term to a report
	kept               time.Duration // last extension of its lease by a controller out of reach
	contact            time.Duration // last answer to a probe or a direct command
	firstHeard         time.Duration
	tasks              []wire.Task // newest report

	// placed is ordered by name. It is replaced and never changed in place, so
	// that whoever walks over it may release tasks; one that is released on
	// the way no longer has this machine.
	placed    []ref
	used      topology.Resources
	soft      [ranks]topology.Resources // what each priority uses
	saves     [ranks]topology.Resources // what of it is work that saves
	going     topology.Resources        // what is on its way out, at the last pass
	idleSince time.Duration
	images    []image // believed to be cached, latest use first

	listedAs  string
	listedAt  time.Duration
	createdAt time.Duration // estimate of the rental
	leaving   time.Duration // when the cloud takes it; 0 unknown
	drain     string        // why it takes no more tasks
	evict     bool          // its tasks are stopped, to run elsewhere
	lostTerm  bool          // its lease ran out while it was silent
	lapsed    time.Duration // when a direct answer showed a session that no report had
	expired   int           // leases lost while it answered
	deafSince time.Duration
	returning bool

	doBusy      int
	doRetry     time.Duration
	doPending   map[string]int // starts sent to /do whose outcome is unknown
	probeBusy   bool
	probeAt     time.Duration
	probeFailed time.Duration   // when the last probe without an answer was sent
	failed      map[string]bool // jobs that failed since a task last started well

	// A machine whose tasks are stopped for a job is kept for it.
	reserved      *job
	reservedUntil time.Duration
	seats         int // tasks of the job that it is kept for
}

func (l *leader) machine(name string) *machine {
	m := l.machines[name]
	if m == nil {
		m = &machine{name: name, doPending: map[string]int{}, failed: map[string]bool{}, idleSince: l.c.now, createdAt: l.c.now}
		l.machines[name] = m
		at, _ := slices.BinarySearchFunc(l.byName, name, func(m *machine, name string) int { return strings.Compare(m.name, name) })
		l.byName = slices.Insert(slices.Clone(l.byName), at, m)
	}
	return m
}

// dropMachine forgets a machine.
func (l *leader) dropMachine(m *machine) {
	delete(l.machines, m.name)
	m.reserved = nil
	l.byName = slices.DeleteFunc(slices.Clone(l.byName), func(o *machine) bool { return o == m })
}

// add and remove change what counts on a machine.
func (m *machine) add(p ref) {
	at, _ := slices.BinarySearchFunc(m.placed, p.name, func(p ref, name string) int { return strings.Compare(p.name, name) })
	placed := make([]ref, 0, len(m.placed)+1)
	placed = append(append(placed, m.placed[:at]...), p)
	m.placed = append(placed, m.placed[at:]...)
}

func (m *machine) remove(j *job, i int) {
	placed := make([]ref, 0, len(m.placed))
	for _, p := range m.placed {
		if p.j != j || p.i != i {
			placed = append(placed, p)
		}
	}
	m.placed = placed
}

// counts finds the task of that name which counts on the machine.
func (m *machine) counts(name string) *task {
	for k := range m.placed {
		if m.placed[k].name == name {
			return m.placed[k].task()
		}
	}
	return nil
}

// reported finds an attempt at a task in the newest report. A worker lists an
// earlier attempt that has ended beside the present one until it is to forget it;
// taken for the present one, it made a running task seem to have vanished, and
// the task ran twice.
func (m *machine) reported(name string, attempt uint64) (wire.Task, bool) {
	for k := range m.tasks {
		if m.tasks[k].Task == name && m.tasks[k].Attempt == attempt {
			return m.tasks[k], true
		}
	}
	return wire.Task{}, false
}

func (l *leader) describe(m *machine, addr, typ, zone string, spot bool) {
	if addr != "" {
		m.addr = addr
	}
	m.typ, m.zone, m.spot, m.known = typ, zone, spot, true
}

func (l *leader) total(m *machine) (topology.Resources, bool) {
	t := l.c.types[m.typ]
	if t == nil || !m.known {
		return topology.Resources{}, false
	}
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}, true
}

// usable tells whether a machine may take tasks. It must have shown that it
// hears this term: a late copy of a machine's report never does. One that is
// reached but loses its lease reports to nobody: whatever it is given ends with
// the next lease.
func (l *leader) usable(m *machine) bool {
	return m.token >= l.term && m.lapsed <= m.heard && m.drain == "" && !m.returning && !m.lostTerm && m.leaving == 0 &&
		l.c.now-max(m.heard, m.contact) < 3*l.c.report()+l.c.report()/2 && m.deafSince == 0
}

// leaseBound is after how long without an answer a worker that has seen this
// term has certainly dropped its tasks: its lease, the drift of two steady
// clocks, and a margin for our own late timers.
func (l *leader) leaseBound() time.Duration { return l.c.lease() + l.c.lease()/20 }

// handleReport takes a worker's report, which came by a controller, and returns
// the answer.
func (l *leader) handleReport(body []byte, via string) (int, []byte) {
	r, ok := decodeReport(body)
	if !ok {
		return 400, []byte(`{"error":"not a report"}`)
	}
	if r.Token > l.term {
		l.c.stepDown("a worker has seen a higher term")
		return 503, []byte("{}")
	}
	if _, ok := l.returned[r.Machine]; ok {
		// The cloud has confirmed that the machine is gone: a late copy.
		return 503, []byte("{}")
	}
	m := l.machine(r.Machine)
	if !r.Newer(m.repSession, m.repSeq) {
		// A late or repeated copy must not refresh anything.
		l.c.log.Debug("old report", "machine", r.Machine, "session", r.Session, "seq", r.Seq)
		return 503, []byte("{}")
	}
	m.repSession, m.repSeq = r.Session, r.Seq
	if m.firstHeard == 0 {
		m.firstHeard = l.c.now
		l.c.log.Info("machine heard", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	}
	if l.c.now-m.heard > 3*l.c.report() {
		m.heardFrom = l.c.now
	}
	m.heard, m.via = l.c.now, via
	if via == l.c.cfg.Name {
		l.reached[r.Zone] = l.c.now
	}
	if r.Newer(m.session, m.seq) {
		l.apply(m, r)
	}
	orders := wire.Orders{Token: l.term, Commands: []wire.Command{}}
	if l.ready && r.Session == m.session {
		orders.Commands = l.commands(m, true)
	}
	m.answered = l.c.now
	return 200, encode(orders)
}

// apply takes in a worker's newest message.
func (l *leader) apply(m *machine, r *wire.Report) {
	if r.Session != m.session {
		if m.session != 0 && r.Session > m.session {
			m.expired++
			l.c.log.Info("worker lost its lease", "machine", m.name, "session", r.Session)
		}
		m.doPending = map[string]int{}
		// The new session's lease began with it, at the latest now, whatever
		// was last answered: a session that a direct answer showed must not
		// seem to have run out by the clock of the one before.
		m.answered = l.c.now
		m.lostTerm = false
		m.deafSince = 0
	}
	m.session, m.seq = r.Session, r.Seq
	if m.token < l.term && r.Token >= l.term {
		// Until it heard this term a deposed leader may have renewed its lease,
		// whatever late copy of a report was answered here: the lease is counted
		// from now. Counted from the copy it seemed to have run out, and its
		// tasks ran twice.
		m.answered = l.c.now
	}
	m.token = max(m.token, r.Token)
	l.describe(m, r.Addr, r.Type, r.Zone, r.Spot)
	if r.WarningS != nil {
		if m.leaving == 0 {
			l.c.log.Info("machine will be taken", "machine", m.name, "in_s", *r.WarningS)
			l.schedule = true
		}
		m.leaving = l.c.now + config.Seconds(*r.WarningS)
	}
	m.tasks = r.Tasks
	slices.SortFunc(m.tasks, func(a, b wire.Task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range m.tasks {
		if t.State == wire.TaskRunning || t.State == wire.TaskWaiting {
			if j := l.jobs[jobOf(t.Task)]; j != nil {
				l.useImage(m, j.Image, j.ImageGB)
			}
		}
	}
	if l.ready {
		l.review(m, r.Token >= l.term)
	}
}

func jobOf(task string) string {
	if i := strings.IndexByte(task, '/'); i >= 0 {
		return task[:i]
	}
	return task
}

// commands lists what a worker should be told now. inAnswer marks the answer
// to a report, which is never executed late.
func (l *leader) commands(m *machine, inAnswer bool) []wire.Command {
	cmds := []wire.Command{}
	zero := 0.0
	for _, p := range m.placed {
		name, t := p.name, p.task()
		if t.session != m.session {
			continue
		}
		if !t.seen {
			if t.recorded && t.ours && (t.stop == nil || t.copied) {
				cmds = append(cmds, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: t.attempt})
				t.copied = true
				if t.stop != nil {
					// A copy of the start may still be under way. Starting
					// and stopping it here pins the attempt, so that the
					// copy has no effect when it comes.
					cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: name, Attempt: t.attempt, GraceS: &zero})
				}
			}
			continue
		}
		if t.stop != nil {
			if c := l.stopCommand(name, t); c != nil {
				cmds = append(cmds, *c)
			}
		}
	}
	for _, w := range m.tasks {
		name := w.Task
		if t := m.counts(name); t != nil && t.attempt == w.Attempt {
			continue
		}
		if w.State != wire.TaskExited {
			// Nothing here counts on it: a start that was overtaken.
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: name, Attempt: w.Attempt, GraceS: &zero})
			continue
		}
		if l.mayForget(m, name, w.Attempt) {
			cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: name, Attempt: w.Attempt})
		}
	}
	return cmds
}

// mayForget tells whether an exited task may be removed from the worker's
// reports: its outcome is recorded, and no copy of its start can still come,
// which would start it again.
func (l *leader) mayForget(m *machine, name string, attempt uint64) bool {
	if m.doPending[attemptKey(name, attempt)] > 0 || m.token < l.term {
		return false
	}
	j := l.jobs[jobOf(name)]
	if j == nil {
		return true
	}
	for i := range j.chunks {
		if j.chunks[i].dirty || j.chunks[i].busy || j.chunks[i].stale {
			return false
		}
	}
	return !j.final
}

func attemptKey(task string, attempt uint64) string {
	return task + "#" + strconv.FormatUint(attempt, 10)
}

// sendStarts sends recorded starts straight to the workers.
func (l *leader) sendStarts(j *job, starts []placeEntry) {
	byMachine := map[string]bool{}
	var order []*machine
	for _, s := range starts {
		if m := l.machines[s.Machine]; m != nil && !byMachine[s.Machine] {
			byMachine[s.Machine] = true
			order = append(order, m)
		}
	}
	for _, m := range order {
		l.direct(m)
	}
}

// direct sends a worker its commands at once instead of with the answer to
// its next report.
func (l *leader) direct(m *machine) {
	if m.addr == "" || m.doBusy > 0 || l.c.now < m.doRetry || m.token < l.term || m.returning || !l.ready {
		return
	}
	cmds := l.commands(m, false)
	if len(cmds) == 0 {
		return
	}
	var starts []string
	for _, c := range cmds {
		if c.Verb == wire.VerbStart {
			k := attemptKey(c.Task, c.Attempt)
			m.doPending[k]++
			starts = append(starts, k)
		}
	}
	m.doBusy++
	session := m.session
	body := encode(wire.Orders{Token: l.term, Session: session, Commands: cmds})
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "POST", Path: "/do", Body: body, Timeout: l.c.report()}, func(r Result) {
		m.doBusy--
		if l.gone {
			return
		}
		known := r.Status == 200 || r.Status == 409 || r.Status == 400 || r.NotSent
		if m.session == session && known {
			for _, k := range starts {
				if m.doPending[k]--; m.doPending[k] <= 0 {
					delete(m.doPending, k)
				}
			}
		}
		if r.Status != 200 && r.Status != 409 {
			m.doRetry = l.c.now + l.c.lease()/2
			return
		}
		l.directReport(m, r.Body)
	})
}

func (l *leader) directReport(m *machine, body []byte) {
	rep, ok := decodeReport(body)
	if !ok || rep.Machine != m.name {
		return
	}
	if rep.Token > l.term {
		l.c.stepDown("a worker has seen a higher term")
		return
	}
	m.contact = l.c.now
	l.reached[rep.Zone] = l.c.now
	if m.session != 0 && rep.Session > m.session {
		m.lapsed = l.c.now
	}
	if rep.Newer(m.session, m.seq) {
		l.apply(m, rep)
	}
}

// probe asks a silent worker for its state and shows it this term: it may
// still report to a deposed leader that is cut off from us.
func (l *leader) probe(m *machine) {
	// Each probe of a machine that hangs holds a socket: of those for direct
	// commands no more than half go to probes, however many are silent.
	if m.addr == "" || m.probeBusy || l.c.now < m.probeAt || m.returning || l.probing >= max(1, l.c.cfg.Deployment.Limits.MaxConnections/16) {
		return
	}
	l.probing++
	m.probeBusy = true
	asked := l.c.now
	m.probeAt = l.c.now + 2*l.c.report()
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "GET", Path: "/status", Timeout: l.probeTimeout()}, func(r Result) {
		l.probing--
		rep, ok := decodeReport(r.Body)
		if l.gone || r.Status != 200 || !ok || rep.Machine != m.name || rep.Token >= l.term {
			m.probeBusy = false
			switch {
			case l.gone:
			case r.Status == 0:
				m.probeFailed = asked
				l.control(m)
			case r.Status == 200:
				l.directReport(m, r.Body)
			}
			return
		}
		body := encode(wire.Orders{Token: l.term, Session: rep.Session, Commands: []wire.Command{}})
		l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "POST", Path: "/do", Body: body, Timeout: l.c.report()}, func(r Result) {
			m.probeBusy = false
			if !l.gone && (r.Status == 200 || r.Status == 409) {
				l.directReport(m, r.Body)
			}
		})
	})
}

// control asks a machine that is heard for its state when another does not
// answer: only if that one answers is the silent machine at fault, and not the
// way from here to it. It is one of the same zone, or of any if that zone has no
// other: the only machine of the leader's own zone was given up no sooner than
// its lease where all others reported by other controllers, since nothing showed
// that any way was open.
func (l *leader) control(silent *machine) {
	alone := !slices.ContainsFunc(l.byName, func(m *machine) bool { return m != silent && m.zone == silent.zone && m.watched() })
	var best *machine
	for _, m := range l.byName {
		if (alone || m.zone == silent.zone) && !m.probeBusy && l.c.now >= m.probeAt && !m.returning && m.addr != "" && (best == nil || m.heard > best.heard) {
			best = m
		}
	}
	if best != nil && l.c.now-best.heard < l.overdueReport() && l.c.now-l.reached[best.zone] > l.probeTimeout()/2 {
		l.probe(best)
	}
}

// watched tells whether a machine's silence says something: it was heard, or
// the records know of tasks on it.
func (m *machine) watched() bool { return m.heard != 0 || len(m.placed) > 0 }

// reaches tells whether the way to a silent machine is open: another of its
// zone has answered since it was asked in vain. Where it is the zone's only one,
// a machine of any zone counts, unless the zone's controllers are gone too.
func (l *leader) reaches(m *machine, inZone int) bool {
	if inZone > 1 {
		return l.reached[m.zone] > m.probeFailed
	}
	for _, at := range l.reached {
		if at > m.probeFailed {
			return !l.c.zoneLost(m.zone)
		}
	}
	return false
}

// overdueReport is after how long without a report one must have been missed:
// they come a quarter early or late.
func (l *leader) overdueReport() time.Duration { return l.c.report() + l.c.report()*3/8 }

// probeTimeout is how long a worker that is asked for its state may take: an
// answer takes milliseconds, or that of a lost packet sent again.
func (l *leader) probeTimeout() time.Duration { return max(l.c.report()/2, time.Second) }

// workerSwitch is how long a worker takes to leave a controller that does not
// answer: the protocol's 4 s for the answer and 1 s before the next one.
const workerSwitch = 5 * time.Second

// deadAfter is after how long a silent machine that does not answer passes for
// dead, if others of its zone and controller are heard: a worker had the time
// to change controllers with a margin, and missed a report.
func (l *leader) deadAfter() time.Duration { return max(workerSwitch*8/5, 2*l.c.report()) }

// tickMachines looks for machines that fell silent or deaf.
func (l *leader) tickMachines() {
	now := l.c.now
	silent, heard := 0, 0
	type count struct{ silent, quiet, heard int }
	in, by := map[string]count{}, map[string]count{} // zone, controller
	for _, m := range l.byName {
		if !m.watched() {
			continue
		}
		n, v := in[m.zone], by[m.via]
		heard++
		n.heard++
		v.heard++
		since := now - max(m.heard, m.contact, l.loadedAt)
		if since > l.overdueReport() {
			n.quiet++
			v.quiet++
		}
		by[m.via] = v
		if since > 3*l.c.report() {
			silent++
			// One that a new leader has not heard yet may hear a deposed one.
			if since < l.c.keepFor() && (m.heard == 0 || !l.leaseOver(m)) {
				n.silent++
			}
		}
		in[m.zone] = n
	}
	for zone, n := range in {
		// Most of a zone at once is more likely cut off, and goes on under a
		// controller there, than dead; so is a zone of a machine or two, if
		// its controllers are out of reach with all of them.
		if n.silent > 2 && n.silent*2 > n.heard || n.silent > 0 && n.silent == n.heard && l.c.zoneLost(zone) {
			l.fleet.cutAt[zone] = now
		}
	}
	// A machine of a zone that has just been cut off must not pass for a dead
	// one because its report had been due a little earlier than the others':
	// when it seems dead all of the zone has missed a report. With reports as
	// far apart as the workers' change of controllers takes, a third of a cut
	// zone was returned before the zone counted as cut. The same holds for
	// those that reported by a controller which is now out of reach.
	hushed := func(n count) bool { return n.quiet > 2 && n.quiet*2 > n.heard }
	// Most machines silent are more likely our own cut than their death.
	mass := silent > 2 && silent*2 > heard
	for _, m := range l.byName {
		l.expire(m)
		if m.returning {
			continue
		}
		if m.heard == 0 || now-m.heard > l.overdueReport() {
			if m.heard != 0 || len(m.placed) > 0 || m.listedAs == wire.MachineRunning {
				l.probe(m)
			}
		}
		silence := now - max(m.heard, m.contact, l.loadedAt, l.fleet.cutAt[m.zone])
		limit := 2 * l.leaseBound()
		if mass {
			limit *= 2
		}
		// This one does not answer us either, though others of its zone do and
		// it has had the time to find another controller: it is dead, hangs or
		// is cut off. Its return frees its tasks sooner than its lease, however
		// many fail at once. A leader that was cut off from the workers once
		// returned those that took longest to find another controller.
		dead := m.watched() && m.probeFailed > max(m.heard, l.loadedAt) && l.reaches(m, in[m.zone].heard) &&
			silence > l.deadAfter() && !mass && !hushed(in[m.zone]) && !hushed(by[m.via])
		switch {
		case dead:
			l.giveBack(m, "dead")
		case m.listedAs == wire.MachineFailed:
			l.giveBack(m, "failed")
		case m.watched() && silence > limit:
			l.giveBack(m, "silent")
		case m.expired >= 3:
			l.giveBack(m, "loses its lease again and again")
		case m.deafSince != 0 && now-m.deafSince > l.c.lease():
			l.giveBack(m, "does not hear")
		}
	}
}

// giveBack returns a machine to the cloud. Whatever was on it is gone once
// the cloud has confirmed.
func (l *leader) giveBack(m *machine, why string) {
	if m.drain == "" {
		m.drain = why
		l.c.log.Info("return machine", "machine", m.name, "why", why, "tasks", len(m.placed))
	}
	l.fleet.returns[m.name] = true
}

// returnBatch returns machines, once it is sure that this term still holds: a
// deposed leader that is cut off sees every machine silent, and would take the
// fleet from its successor.
func (l *leader) returnBatch() {
	f := &l.fleet
	if f.returnBusy || len(f.returns) == 0 || l.c.now < f.returnRetry {
		return
	}
	f.returnBusy = true
	l.c.commit(&wire.Txn{If: []wire.Cond{l.termCond()}}, true, func(r Result) {
		f.returnBusy = false
		switch {
		case l.gone:
		case r.Status == 409:
			l.c.stepDown("the term has changed")
		case r.Status == 200, l.c.hearsPeer():
			// During a general outage of the state service nobody is elected;
			// a peer that knew of a higher term would have told us.
			l.sendReturns()
		default:
			f.returnRetry = l.c.now + time.Second
		}
	})
}

func (l *leader) sendReturns() {
	f := &l.fleet
	names := sortedKeys(f.returns)
	if len(names) > 100 {
		names = names[:100]
	}
	for _, n := range names {
		if m := l.machines[n]; m != nil {
			m.returning = true
		}
	}
	f.returnBusy = true
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines/return", Body: encode(wire.MachineNames{Machines: names}), Timeout: 4 * time.Second, Urgent: true}, func(r Result) {
		f.returnBusy = false
		if l.gone {
			return
		}
		if r.Status != 200 {
			f.returnRetry = l.c.now + time.Second
			return
		}
		for _, n := range names {
			delete(f.returns, n)
			l.returned[n] = l.c.now
			if m := l.machines[n]; m != nil {
				l.machineGone(m)
			}
		}
	})
}

// parseList decodes a page of the cloud's list.
func parseList(body []byte) (*wire.MachineList, bool) {
	var p wire.MachineList
	if json.Unmarshal(body, &p) != nil {
		return nil, false
	}
	return &p, true
}
