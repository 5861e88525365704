package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// job is an unfinished job.
type job struct {
	wire.Job
	rec       openRecord // as recorded
	rank      int        // of the priority, or of a higher one that a dependent has
	due       float64    // time of day, in s, by which it has to be done; see raise
	within    bool       // fits into its team's guarantee
	waits     bool       // for jobs that are not done
	free      bool       // all that it awaited is done, which is to be recorded
	list      listRef    // of the awaited jobs, if it is spread over records
	listRead  int        // records of it that have been read
	since     int64      // ms, time of day from which its waiting counts
	order     uint64     // version of the first record seen: submission order
	version   uint64     // of the open record
	writing   bool       // the open record is being written
	cancelled bool
	askedAt   time.Duration // its user asked to cancel it
	goneAt    time.Duration // cancelled and without a task since then
	goneSaid  bool          // the other controllers were told so
	told      bool          // the user may have been told so
	toldAt    time.Duration
	stale     bool          // the open record must be read again
	oversize  bool          // the open record is larger than what the state service takes now
	refusals  int           // of its records, in a row
	writeNot  time.Duration // its records are not to be sent before
	numbered  bool          // its placement records are numbered, see placements.go
	tried     bool          // a placement record was sent under this term
	fence     bool          // the open record is to be written before others, see mayWrite

	tasks     []task
	next      uint64   // next attempt number
	chunks    []chunk  // in the order of their tasks
	old       []string // placement records that chunks have taken the place of
	done      int
	placed    int
	loaded    bool
	final     bool // the end is being recorded
	ended     bool // the end is recorded
	retryAt   time.Duration
	fails     int
	preempted int              // how often it made way, as a gang
	failOn    map[string]bool  // machines on which it failed
	moveTo    map[int]*machine // where moving replicas have their room
	held      []*machine       // kept for it, see preempt
}

// task is one task. A task with a machine counts in full (its place, its
// team's limit, its zone) until it is certainly gone, see gone.go.
type task struct {
	done     bool
	attempt  uint64
	m        *machine
	zone     string // of the machine: known even before the machine reports
	session  uint64 // of the worker, at the start
	recorded bool   // the placement is in the state service
	ours     bool   // placed under this term
	copied   bool   // a copy of the start was sent
	seen     bool   // a report under this term showed it
	state    wire.TaskState
	upAt     time.Duration // first seen running
	placedAt time.Duration
	stop     *stop
}

// stop is a wish that a task ends.
type stop struct {
	grace float64
	at    time.Duration
	hard  bool
}

// ranks is the number of priorities.
const ranks = 4

var priorityRank = map[wire.Priority]int{
	wire.PriorityCritical: 3, wire.PriorityUrgent: 2, wire.PriorityNormal: 1, wire.PriorityIdle: 0,
}

// bind makes a task count on a machine.
func (l *leader) bind(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.m = m
	m.add(ref{j, i, taskName(j.ID, i)})
	m.count(j, 1)
	j.placed++
}

// count adds a job's tasks to a machine's sums, or takes them out.
func (m *machine) count(j *job, n int) {
	r := times(size(&j.Job), n)
	m.used = m.used.Add(r)
	m.soft[j.rank] = m.soft[j.rank].Add(r)
	if j.CheckpointS > 0 {
		m.saves[j.rank] = m.saves[j.rank].Add(r)
	}
}

// release ends the counting of a task. Only gone.go decides to call it.
func (l *leader) release(j *job, i int) {
	t := &j.tasks[i]
	m := t.m
	m.remove(j, i)
	m.count(j, -1)
	if len(m.placed) == 0 {
		m.used, m.soft, m.saves = topology.Resources{}, [ranks]topology.Resources{}, [ranks]topology.Resources{}
		m.idleSince = l.c.now
	}
	j.placed--
	done := t.done
	*t = task{done: done}
	l.touch(j, i, true)
	l.passes.requested = true
}

// touch marks a task's record for writing: at once, or, where nothing is lost
// with it but the knowledge that the task is over, gathered with what follows
// in two reports' time. The worker remembers an end until it is recorded.
// Written one by one, the ends of arrays took most of the state service's
// changes, and their last ones are written in vain, since the job's own end
// deletes the record.
func (l *leader) touch(j *job, i int, later bool) {
	ch := j.chunkOf(i)
	at := l.c.now
	if later {
		at += 2 * l.c.report()
	}
	if !ch.dirty || at < ch.due {
		ch.dirty, ch.due = true, at
	}
	if !later || j.finished() || j.over() {
		l.records.dirty = true
	} else {
		l.writeBy(ch.due)
	}
}

// writeBy has the records written at a time, if not before.
func (l *leader) writeBy(at time.Duration) {
	if l.records.dueAt == 0 || at < l.records.dueAt {
		l.records.dueAt = at
	}
}

// markDone notes that a task is done for certain.
func (l *leader) markDone(j *job, i int) {
	if !j.tasks[i].done {
		j.tasks[i].done = true
		j.done++
		l.touch(j, i, true)
	}
}

// over tells whether nothing of the job is left to do.
func (j *job) over() bool {
	return j.loaded && j.placed == 0 && (j.cancelled || j.done == len(j.tasks))
}

// finished tells whether the job may be recorded as done: every task is done
// for certain, though copies may still count on machines.
func (j *job) finished() bool { return j.loaded && !j.cancelled && j.done == len(j.tasks) }

// staleChunk tells whether the version of a placement record is unknown or about
// to change.
func (j *job) staleChunk() bool {
	for i := range j.chunks {
		if j.chunks[i].stale || j.chunks[i].busy {
			return true
		}
	}
	return false
}

// forget drops a job whose end is recorded. Copies of its tasks that still
// count on machines stay bound until they are certainly gone.
func (l *leader) forget(j *job) {
	delete(l.jobs, j.ID)
	delete(l.cancelled, j.ID)
	delete(l.lists.unread, j.ID)
	var before []string
	l.deps.eachAwaited(j.ID, func(a string) { before = append(before, a) })
	l.deps.drop(j.ID)
	for _, a := range before {
		if x := l.jobs[a]; x != nil && x.cancelled && !l.deps.needed(a) {
			l.ending = append(l.ending, x)
			l.records.dirty = true
		}
	}
	if !j.cancelled { // else they were told when it was cancelled
		l.reclaim(before)
	}
	at := sort.Search(len(l.order), func(k int) bool { return l.order[k].order >= j.order })
	for ; at < len(l.order) && l.order[at].order == j.order; at++ {
		if l.order[at] == j {
			// Copied, for somebody may go through it.
			l.order = append(l.order[:at:at], l.order[at+1:]...)
			break
		}
	}
	l.passes.requested = true
}

// digest lists the unfinished jobs' counts for the other controllers.
func (l *leader) digest() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.order))
	for _, j := range l.order {
		if n := l.countOf(j); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

// countOf tells how many tasks of a job are done and running.
func (l *leader) countOf(j *job) wire.JobCount {
	n := wire.JobCount{ID: j.ID, Done: j.done}
	if j.placed == 0 {
		return n
	}
	for i := range j.tasks {
		if j.tasks[i].state == wire.TaskRunning {
			n.Running++
		}
	}
	return n
}

// count is countOf for a job by its name; nothing for an unknown one.
func (l *leader) count(id string) wire.JobCount {
	if j := l.jobs[id]; j != nil {
		return l.countOf(j)
	}
	return wire.JobCount{ID: id}
}
