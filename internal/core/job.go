package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// job is an unfinished job.
type job struct {
	wire.Job
	rec     records.Open // as recorded
	version uint64       // of the open record
	order   uint64       // version of the first record seen: submission order
	since   int64        // ms, time of day from which its waiting counts

	tasks       []task
	done        int
	placed      int
	nextAttempt uint64

	jobRank
	jobDependencies
	cancellation cancellation.Progress
	jobRecords
	jobRetries

	preempted  int              // how often it made way, as a gang
	moveTo     map[int]*machine // where moving replicas have their room
	reservedOn []*machine       // kept for it, see preempt

	wait            jobWait // what was logged of why its tasks wait
	madeRoomInLimit bool    // work of its team was stopped for it, see teamlimit.go
}

// jobRank is what orders a job among those that wait for room.
type jobRank struct {
	rank   int     // of the priority, or of a higher one that a dependent has
	due    float64 // time of day, in s, by which it has to be done; see inherit
	within bool    // fits into its team's guarantee
}

// jobDependencies is what a job keeps of the jobs that it awaits, beside the
// graph (package depgraph).
type jobDependencies struct {
	waits       bool    // for jobs that are not done
	awaitedDone bool    // all that it awaited is done, which is to be recorded
	list        listRef // of the awaited jobs, if it is spread over records
	listRead    int     // records of it that have been read
}

// jobRecords is the state of a job's records in the state service.
type jobRecords struct {
	loaded bool

	openWritePending bool // the open record is being written
	stale            bool // the open record must be read again
	oversize         bool // the open record is larger than what the state service takes now
	fence            bool // the open record is to be written before others, see mayWrite

	chunks        []chunk  // placement records, in the order of their tasks
	superseded    []string // placement records that chunks have taken the place of
	numbered      bool     // its placement records are numbered, see placements.go
	placementSent bool     // a placement record was sent under this term

	endPending bool // the end is being recorded
	ended      bool // the end is recorded

	refusals          int           // of its records, in a row
	writeBackoffUntil time.Duration // its records are not to be sent before
}

// jobRetries is what a job keeps of its tasks' failures.
type jobRetries struct {
	retryAt  time.Duration
	failures int // in a row
}

// newJob makes a job of an open record that was read at a version.
func newJob(rec records.Open, version uint64) *job {
	return &job{
		Job: rec.Job, rec: rec, version: version, order: version, since: rec.At,
		tasks: make([]task, rec.Job.Tasks), nextAttempt: 1,
		jobRank: jobRank{rank: priorityRank[rec.Job.Priority], due: ownDue(&rec)},
		moveTo:  map[int]*machine{},
	}
}

// task is one task. A task with a machine counts in full (its place, its
// team's limit, its zone) until it is certainly gone, see gone.go.
type task struct {
	done     bool
	attempt  uint64
	machine  *machine
	zone     string // of the machine: known even before the machine reports
	session  uint64 // of the worker, at the start
	recorded bool   // the placement is in the state service
	ours     bool   // placed under this term
	copied   bool   // a copy of the start was sent
	seen     bool   // a report under this term showed it
	state    wire.TaskState
	upAt     time.Duration // first seen running
	proven   bool          // it started well, see failures.go
	placedAt time.Duration
	stop     *stop
}

// stop is a request that a task ends.
type stop struct {
	grace float64
	at    time.Duration
	hard  bool
}

// ranks is the number of priorities.
const ranks = rental.Ranks

var priorityRank = map[wire.Priority]int{
	wire.PriorityCritical: 3, wire.PriorityUrgent: 2, wire.PriorityNormal: 1, wire.PriorityIdle: 0,
}

// bind makes a task count on a machine.
func (l *leader) bind(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	m.add(taskRef{j, i, taskName(j.ID, i)})
	m.count(j, 1)
	if !l.guests[j.Team] {
		m.owed++
	}
	l.used.count(j, 1)
	j.placed++
}

// count adds a job's tasks to a machine's sums, or takes them out.
func (m *machine) count(j *job, n int) {
	r := times(size(&j.Job), n)
	m.used = m.used.Add(r)
	m.usedByRank[j.rank] = m.usedByRank[j.rank].Add(r)
	if j.CheckpointS > 0 {
		m.checkpointedByRank[j.rank] = m.checkpointedByRank[j.rank].Add(r)
	}
}

// release ends the counting of a task. Only gone.go decides to call it.
func (l *leader) release(j *job, i int) {
	t := &j.tasks[i]
	m := t.machine
	m.remove(j, i)
	m.count(j, -1)
	if !l.guests[j.Team] {
		m.owed--
		m.owedUntil = l.c.now
	}
	l.used.count(j, -1)
	if len(m.placed) == 0 {
		m.used, m.usedByRank, m.checkpointedByRank = topology.Resources{}, [ranks]topology.Resources{}, [ranks]topology.Resources{}
		m.idleSince = l.c.now
	}
	j.placed--
	done := t.done
	*t = task{done: done}
	l.markDirty(j, i, true)
	l.passes.requested = true
}

// markDirty marks a task's record for writing: at once, or, where nothing is lost
// with it but the knowledge that the task is over, gathered with what follows
// in two reports' time. The worker remembers an end until it is recorded.
// Written one by one, the ends of arrays took most of the state service's
// changes, and their last ones are written in vain, since the job's own end
// deletes the record.
func (l *leader) markDirty(j *job, i int, later bool) {
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
		l.markDirty(j, i, true)
	}
}

// over tells whether nothing of the job is left to do.
func (j *job) over() bool {
	return j.loaded && j.placed == 0 && (j.cancellation.Requested() || j.done == len(j.tasks))
}

// finished tells whether the job may be recorded as done: every task is done
// for certain, though copies may still count on machines.
func (j *job) finished() bool {
	return j.loaded && !j.cancellation.Requested() && j.done == len(j.tasks)
}

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
	l.faults.ForgetJob(j.ID)
	var before []string
	l.deps.EachAwaited(j.ID, func(a string) { before = append(before, a) })
	l.deps.Drop(j.ID)
	for _, a := range before {
		if x := l.jobs[a]; x != nil && x.cancellation.Requested() && !l.deps.Needed(a) {
			l.ending = append(l.ending, x)
			l.records.dirty = true
		}
	}
	if !j.cancellation.Requested() { // else they were told when it was cancelled
		l.recomputeInherited(before)
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
