package core

import (
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// taskReference names a task that counts on a machine.
type taskReference struct {
	job   *job
	index int
	name  string
}

// task returns the task that a reference names.
func (p taskReference) task() *task { return &p.job.tasks[p.index] }

// machine is what the leader knows of a machine.
type machine struct {
	name, address, typeName, zone string
	spot                          bool
	described                     bool              // type and zone are known
	machineType                   *wire.MachineType // see typeOf
	machineTypeGeneration         int

	incarnation, sequence                   uint64 // newest message
	heartbeatIncarnation, heartbeatSequence uint64 // newest report
	fencingToken                            uint64 // highest token the worker has reported
	lastHeartbeat                           time.Duration
	heartbeatController                     string        // the controller that its last report came by
	regularSince                            time.Duration // reports have come regularly since then
	lastAnswered                            time.Duration // last answer of this term to a report
	leaseExtendedAt                         time.Duration // last extension of its lease by a controller out of reach
	lastContact                             time.Duration // last answer to a probe or a direct command
	firstHeartbeat                          time.Duration
	reportedTasks                           []wire.TaskStatus // newest report
	reportedEnded                           int               // of them, those of tasks that have ended

	// placements is ordered by name. It is replaced and never changed in place, so
	// that whoever walks over it may release tasks; one that is released on
	// the way no longer has this machine.
	placements          []taskReference
	used                topology.Resources
	usedByLevel         [priorityLevels]topology.Resources // what each priority uses
	checkpointedByLevel [priorityLevels]topology.Resources // what of it is work that saves
	stoppingUse         topology.Resources                 // what is on its way out, at the last pass
	evaluationStale     bool                               // its tasks or images have changed, see review
	idleSince           time.Duration
	guaranteedTasks     int           // tasks of teams that are not guests
	guaranteedUntil     time.Duration // when the last of them was released
	cachedImages        []image       // believed to be cached, latest use first
	pulls               []imagePull   // images that its tasks wait for, in their order

	listedAs             wire.MachineState
	listedAt             time.Duration
	createdAt            time.Duration // estimate of the rental
	provisionRequestedAt time.Duration // when this leader asked for it; 0 if another did
	preemptionAt         time.Duration // when the cloud takes it; 0 unknown
	drainReason          drainReason   // why it takes no more tasks
	drainedAt            time.Duration // since when
	evicting             bool          // its tasks are stopped, to run elsewhere
	leaseExpired         bool          // its lease ran out while it was silent
	newerIncarnationAt   time.Duration // when a direct answer showed a session that no report had
	leaseExpiries        int           // leases lost while it answered
	unreachableSince     time.Duration
	returning            bool

	openDirectCalls   int
	directRetryAt     time.Duration
	unconfirmedStarts map[attemptID]int // direct starts whose outcome is unknown
	probeOpen         bool
	nextProbeAt       time.Duration
	lastProbeFailure  time.Duration // when the last probe without an answer was sent

	// A machine whose tasks are stopped for a job is kept for it.
	reservedFor   *job
	reservedUntil time.Duration
	reservedTasks int // tasks of the job that it is kept for
}

// machineNamed finds what is known of a machine; one that is new is added.
func (l *leader) machineNamed(name string) *machine {
	m := l.machines[name]
	if m == nil {
		m = &machine{name: name, unconfirmedStarts: map[attemptID]int{}, idleSince: l.core.now, createdAt: l.core.now}
		l.machines[name] = m
		at, _ := slices.BinarySearchFunc(l.machinesByName, name, func(m *machine, name string) int { return strings.Compare(m.name, name) })
		l.machinesByName = slices.Insert(slices.Clone(l.machinesByName), at, m)
	}
	return m
}

// dropMachine forgets a machine.
func (l *leader) dropMachine(m *machine) {
	delete(l.machines, m.name)
	l.outliers.ForgetMachine(m.name)
	m.reservedFor = nil
	l.machinesByName = slices.DeleteFunc(slices.Clone(l.machinesByName), func(o *machine) bool { return o == m })
}

// addTask has a task count on the machine.
func (m *machine) addTask(p taskReference) {
	at, _ := slices.BinarySearchFunc(m.placements, p.name, func(p taskReference, name string) int { return strings.Compare(p.name, name) })
	placed := make([]taskReference, 0, len(m.placements)+1)
	placed = append(append(placed, m.placements[:at]...), p)
	m.placements = append(placed, m.placements[at:]...)
	m.evaluationStale = true
}

// removeTask has a task no longer count on the machine.
func (m *machine) removeTask(j *job, i int) {
	placed := make([]taskReference, 0, len(m.placements))
	for _, p := range m.placements {
		if p.job != j || p.index != i {
			placed = append(placed, p)
		}
	}
	m.placements = placed
	m.evaluationStale = true
}

// placementOf finds the task of that name which counts on the machine.
func (m *machine) placementOf(name string) *task {
	for k := range m.placements {
		if m.placements[k].name == name {
			return m.placements[k].task()
		}
	}
	return nil
}

// reportedAttempt finds an attempt at a task in the newest report. A worker lists an
// earlier attempt that has ended beside the present one until it is to forget
// it; taken for the present one, it made a running task seem to have vanished,
// and the task ran twice.
func (m *machine) reportedAttempt(name string, attempt uint64) (wire.TaskStatus, bool) {
	for k := range m.reportedTasks {
		if m.reportedTasks[k].Task == name && m.reportedTasks[k].Attempt == attempt {
			return m.reportedTasks[k], true
		}
	}
	return wire.TaskStatus{}, false
}

// setDescription notes what kind of machine one is; the address may be unknown.
func (l *leader) setDescription(m *machine, addr, typ, zone string, spot bool) {
	if addr != "" {
		m.address = addr
	}
	m.typeName, m.zone, m.spot, m.described = typ, zone, spot, true
}

// capacityOf is all that a machine offers, if that is known.
func (l *leader) capacityOf(m *machine) (topology.Resources, bool) {
	t := l.typeOf(m)
	if t == nil || !m.described {
		return topology.Resources{}, false
	}
	return typeCapacity(t), true
}

// typeOf is the type of a machine as the cloud last described it; nil if that is not
// known. It is looked up by name once for each answer of the cloud.
func (l *leader) typeOf(m *machine) *wire.MachineType {
	if m.machineType == nil || m.machineType.Name != m.typeName || m.machineTypeGeneration != l.core.machineTypesGeneration {
		m.machineType, m.machineTypeGeneration = l.core.machineTypes[m.typeName], l.core.machineTypesGeneration
	}
	return m.machineType
}

// usable tells whether a machine may take tasks. It must have shown that it
// hears this term: a late copy of a machine's report never does. One that is
// reached but loses its lease reports to nobody: whatever it is given ends with
// the next lease.
func (l *leader) usable(m *machine) bool {
	return m.fencingToken >= l.leadership.Term && m.newerIncarnationAt <= m.lastHeartbeat && m.drainReason == "" && !m.returning && !m.leaseExpired && m.preemptionAt == 0 &&
		l.core.now-max(m.lastHeartbeat, m.lastContact) < 3*l.core.heartbeatInterval()+l.core.heartbeatInterval()/2 && m.unreachableSince == 0
}
