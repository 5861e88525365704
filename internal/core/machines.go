package core

import (
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// taskRef names a task that counts on a machine.
type taskRef struct {
	job   *job
	index int
	name  string
}

// task returns the task that a reference names.
func (p taskRef) task() *task { return &p.job.tasks[p.index] }

// machine is what the leader knows of a machine.
type machine struct {
	name, addr, typ, zone string
	spot                  bool
	known                 bool              // type and zone are known
	kind                  *wire.MachineType // see typeOf
	kindRead              int

	session, seq       uint64 // newest message
	repSession, repSeq uint64 // newest report
	token              uint64 // highest token the worker has reported
	heard              time.Duration
	via                string        // the controller that its last report came by
	reportsSince       time.Duration // reports have come regularly since then
	answered           time.Duration // last answer of this term to a report
	extended           time.Duration // last extension of its lease by a controller out of reach
	contact            time.Duration // last answer to a probe or a direct command
	firstHeard         time.Duration
	tasks              []wire.Task // newest report
	endedRows          int         // of them, those of tasks that have ended

	// placed is ordered by name. It is replaced and never changed in place, so
	// that whoever walks over it may release tasks; one that is released on
	// the way no longer has this machine.
	placed             []taskRef
	used               topology.Resources
	usedByRank         [ranks]topology.Resources // what each priority uses
	checkpointedByRank [ranks]topology.Resources // what of it is work that saves
	stopping           topology.Resources        // what is on its way out, at the last pass
	reviewDue          bool                      // its tasks or images have changed, see review
	idleSince          time.Duration
	owed               int           // tasks of teams that are not guests
	owedUntil          time.Duration // when the last of them was released
	images             []image       // believed to be cached, latest use first
	fetching           []imageFetch  // images that its tasks wait for, in their order

	listedAs  wire.MachineState
	listedAt  time.Duration
	createdAt time.Duration // estimate of the rental
	rentedAt  time.Duration // when this leader asked for it; 0 if another did
	leaving   time.Duration // when the cloud takes it; 0 unknown
	drain     drainReason   // why it takes no more tasks
	drainedAt time.Duration // since when
	evict     bool          // its tasks are stopped, to run elsewhere
	lostTerm  bool          // its lease ran out while it was silent
	lapsed    time.Duration // when a direct answer showed a session that no report had
	expired   int           // leases lost while it answered
	deafSince time.Duration
	returning bool

	directCalls  int
	directRetry  time.Duration
	directStarts map[attemptID]int // direct starts whose outcome is unknown
	probeBusy    bool
	probeAt      time.Duration
	probeFailed  time.Duration // when the last probe without an answer was sent

	// A machine whose tasks are stopped for a job is kept for it.
	reserved      *job
	reservedUntil time.Duration
	reservedTasks int // tasks of the job that it is kept for
}

// machine finds what is known of a machine; one that is new is added.
func (l *leader) machine(name string) *machine {
	m := l.machines[name]
	if m == nil {
		m = &machine{name: name, directStarts: map[attemptID]int{}, idleSince: l.c.now, createdAt: l.c.now}
		l.machines[name] = m
		at, _ := slices.BinarySearchFunc(l.byName, name, func(m *machine, name string) int { return strings.Compare(m.name, name) })
		l.byName = slices.Insert(slices.Clone(l.byName), at, m)
	}
	return m
}

// dropMachine forgets a machine.
func (l *leader) dropMachine(m *machine) {
	delete(l.machines, m.name)
	l.faults.ForgetMachine(m.name)
	m.reserved = nil
	l.byName = slices.DeleteFunc(slices.Clone(l.byName), func(o *machine) bool { return o == m })
}

// add has a task count on the machine.
func (m *machine) add(p taskRef) {
	at, _ := slices.BinarySearchFunc(m.placed, p.name, func(p taskRef, name string) int { return strings.Compare(p.name, name) })
	placed := make([]taskRef, 0, len(m.placed)+1)
	placed = append(append(placed, m.placed[:at]...), p)
	m.placed = append(placed, m.placed[at:]...)
	m.reviewDue = true
}

// remove has a task no longer count on the machine.
func (m *machine) remove(j *job, i int) {
	placed := make([]taskRef, 0, len(m.placed))
	for _, p := range m.placed {
		if p.job != j || p.index != i {
			placed = append(placed, p)
		}
	}
	m.placed = placed
	m.reviewDue = true
}

// placedTask finds the task of that name which counts on the machine.
func (m *machine) placedTask(name string) *task {
	for k := range m.placed {
		if m.placed[k].name == name {
			return m.placed[k].task()
		}
	}
	return nil
}

// reported finds an attempt at a task in the newest report. A worker lists an
// earlier attempt that has ended beside the present one until it is to forget
// it; taken for the present one, it made a running task seem to have vanished,
// and the task ran twice.
func (m *machine) reported(name string, attempt uint64) (wire.Task, bool) {
	for k := range m.tasks {
		if m.tasks[k].Task == name && m.tasks[k].Attempt == attempt {
			return m.tasks[k], true
		}
	}
	return wire.Task{}, false
}

// describe notes what kind of machine one is; the address may be unknown.
func (l *leader) describe(m *machine, addr, typ, zone string, spot bool) {
	if addr != "" {
		m.addr = addr
	}
	m.typ, m.zone, m.spot, m.known = typ, zone, spot, true
}

// total is all that a machine offers, if that is known.
func (l *leader) total(m *machine) (topology.Resources, bool) {
	t := l.typeOf(m)
	if t == nil || !m.known {
		return topology.Resources{}, false
	}
	return capacity(t), true
}

// typeOf is the type of a machine as the cloud last described it; nil if that is not
// known. It is looked up by name once for each answer of the cloud.
func (l *leader) typeOf(m *machine) *wire.MachineType {
	if m.kind == nil || m.kind.Name != m.typ || m.kindRead != l.c.typesRead {
		m.kind, m.kindRead = l.c.types[m.typ], l.c.typesRead
	}
	return m.kind
}

// usable tells whether a machine may take tasks. It must have shown that it
// hears this term: a late copy of a machine's report never does. One that is
// reached but loses its lease reports to nobody: whatever it is given ends with
// the next lease.
func (l *leader) usable(m *machine) bool {
	return m.token >= l.mandate.Term && m.lapsed <= m.heard && m.drain == "" && !m.returning && !m.lostTerm && m.leaving == 0 &&
		l.c.now-max(m.heard, m.contact) < 3*l.c.report()+l.c.report()/2 && m.deafSince == 0
}
