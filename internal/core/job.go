package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// job is an unfinished job.
type job struct {
	wire.Job
	record          records.Open // as recorded
	openVersion     uint64       // of the open record
	submissionOrder uint64       // version of the first record seen: submission order
	waitingSinceMS  int64        // ms, time of day from which its waiting counts

	tasks       []task
	tasksDone   int
	tasksPlaced int
	nextAttempt uint64

	jobPriority
	jobDependencies
	cancellation cancellation.Progress
	jobRecords
	jobRetries

	gangPreemptions     int              // how often it made way, as a gang
	reschedulingTargets map[int]*machine // where moving replicas have their room
	reservedMachines    []*machine       // kept for it, see preempt

	waitLog             loggedWait // what was logged of why its tasks wait
	preemptedWithinTeam bool       // work of its team was stopped for it, see teamlimit.go
}

// jobPriority is what orders a job among those that wait for room.
type jobPriority struct {
	level       int     // of the priority, or of a higher one that a dependent has
	deadline    float64 // time of day, in s, by which it has to be done; see inherit
	withinQuota bool    // fits into its team's guarantee
}

// jobDependencies is what a job keeps of the jobs that it awaits, beside the
// graph (package depgraph).
type jobDependencies struct {
	waiting          bool    // for jobs that are not done
	dependenciesDone bool    // all that it awaited is done, which is to be recorded
	list             listRef // of the awaited jobs, if it is spread over records
	listRecordsRead  int     // records of it that have been read
}

// jobRecords is the state of a job's records in the state service.
type jobRecords struct {
	loaded bool

	openWritePending   bool // the open record is being written
	openVersionUnknown bool // the open record must be read again
	openRecordTooLarge bool // the open record is larger than what the state service takes now
	rewriteOpenFirst   bool // the open record is to be written before others, see mayWriteNamedRanges

	placementRecords      []placementRecord // placement records, in the order of their tasks
	supersededKeys        []string          // placement records that chunks have taken the place of
	numbered              bool              // its placement records are numbered, see placements.go
	placementSentThisTerm bool              // a placement record was sent under this term

	endWritePending bool // the end is being recorded
	endRecorded     bool // the end is recorded

	rejections        int           // of its records, in a row
	writeBackoffUntil time.Duration // its records are not to be sent before
}

// jobRetries is what a job keeps of its tasks' failures.
type jobRetries struct {
	retryAt             time.Duration
	consecutiveFailures int // in a row
}

// newJob makes a job of an open record that was read at a version.
func newJob(rec records.Open, version uint64) *job {
	return &job{
		Job: rec.Job, record: rec, openVersion: version, submissionOrder: version, waitingSinceMS: rec.SubmittedAt,
		tasks: make([]task, rec.Job.Tasks), nextAttempt: 1,
		jobPriority:         jobPriority{level: priorityLevel[rec.Job.Priority], deadline: ownDeadline(&rec)},
		reschedulingTargets: map[int]*machine{},
	}
}

// task is one task. A task with a machine counts in full (its place, its
// team's limit, its zone) until it is certainly gone, see gone.go.
type task struct {
	done               bool
	attempt            uint64
	machine            *machine
	zone               string // of the machine: known even before the machine reports
	incarnation        uint64 // of the worker, at the start
	persisted          bool   // the placement is in the state service
	placedThisTerm     bool   // placed under this term
	startRetransmitted bool   // a copy of the start was sent
	observed           bool   // a report under this term showed it
	state              wire.TaskState
	runningSince       time.Duration // first seen running
	startedHealthy     bool          // it started well, see failures.go
	placedAt           time.Duration
	stop               *stopRequest
}

// stopRequest is a request that a task ends.
type stopRequest struct {
	gracePeriodS float64
	requestedAt  time.Duration
	killed       bool
}

// priorityLevels is the number of priorities.
const priorityLevels = provisioning.Ranks

var priorityLevel = map[wire.Priority]int{
	wire.PriorityCritical: 3, wire.PriorityUrgent: 2, wire.PriorityNormal: 1, wire.PriorityIdle: 0,
}

// place makes a task count on a machine.
func (l *leader) place(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	m.addTask(taskReference{j, i, taskName(j.ID, i)})
	m.adjustUsage(j, 1)
	if !l.bestEffortTeams[j.Team] {
		m.guaranteedTasks++
	}
	l.teamUsage.add(j, 1)
	j.tasksPlaced++
}

// adjustUsage adds a job's tasks to a machine's sums, or takes them out.
func (m *machine) adjustUsage(j *job, n int) {
	r := scaled(taskSize(&j.Job), n)
	m.used = m.used.Add(r)
	m.usedByLevel[j.level] = m.usedByLevel[j.level].Add(r)
	if j.CheckpointIntervalS > 0 {
		m.checkpointedByLevel[j.level] = m.checkpointedByLevel[j.level].Add(r)
	}
}

// unplace ends the counting of a task. Only gone.go decides to call it.
func (l *leader) unplace(j *job, i int) {
	t := &j.tasks[i]
	m := t.machine
	m.removeTask(j, i)
	m.adjustUsage(j, -1)
	if !l.bestEffortTeams[j.Team] {
		m.guaranteedTasks--
		m.guaranteedUntil = l.core.now
	}
	l.teamUsage.add(j, -1)
	if len(m.placements) == 0 {
		m.used, m.usedByLevel, m.checkpointedByLevel = topology.Resources{}, [priorityLevels]topology.Resources{}, [priorityLevels]topology.Resources{}
		m.idleSince = l.core.now
	}
	j.tasksPlaced--
	done := t.done
	*t = task{done: done}
	l.markPlacementChanged(j, i, true)
	l.passes.requested = true
}

// markPlacementChanged marks a task's record for writing: at once, or, where nothing is lost
// with it but the knowledge that the task is over, gathered with what follows
// in two reports' time. The worker remembers an end until it is recorded.
// Written one by one, the ends of arrays took most of the state service's
// changes, and their last ones are written in vain, since the job's own end
// deletes the record.
func (l *leader) markPlacementChanged(j *job, i int, deferred bool) {
	ch := j.placementRecordOf(i)
	at := l.core.now
	if deferred {
		at += 2 * l.core.heartbeatInterval()
	}
	if !ch.dirty || at < ch.dueAt {
		ch.dirty, ch.dueAt = true, at
	}
	if !deferred || j.isFinished() || j.isOver() {
		l.writer.dirty = true
	} else {
		l.scheduleWrite(ch.dueAt)
	}
}

// scheduleWrite has the records written at a time, if not before.
func (l *leader) scheduleWrite(at time.Duration) {
	if l.writer.deferredUntil == 0 || at < l.writer.deferredUntil {
		l.writer.deferredUntil = at
	}
}

// markDone notes that a task is done for certain.
func (l *leader) markDone(j *job, i int) {
	if !j.tasks[i].done {
		j.tasks[i].done = true
		j.tasksDone++
		l.markPlacementChanged(j, i, true)
	}
}

// isOver tells whether nothing of the job is left to do.
func (j *job) isOver() bool {
	return j.loaded && j.tasksPlaced == 0 && (j.cancellation.Requested() || j.tasksDone == len(j.tasks))
}

// isFinished tells whether the job may be recorded as done: every task is done
// for certain, though copies may still count on machines.
func (j *job) isFinished() bool {
	return j.loaded && !j.cancellation.Requested() && j.tasksDone == len(j.tasks)
}

// hasUnknownPlacementVersion tells whether the version of a placement record is unknown or about
// to change.
func (j *job) hasUnknownPlacementVersion() bool {
	for i := range j.placementRecords {
		if j.placementRecords[i].versionUnknown || j.placementRecords[i].writePending {
			return true
		}
	}
	return false
}

// forget drops a job whose end is recorded. Copies of its tasks that still
// count on machines stay bound until they are certainly gone.
func (l *leader) forget(j *job) {
	delete(l.jobs, j.ID)
	delete(l.cancelledJobs, j.ID)
	delete(l.dependencyLists.unread, j.ID)
	l.outliers.ForgetJob(j.ID)
	var before []string
	l.dependencies.EachAwaited(j.ID, func(a string) { before = append(before, a) })
	l.dependencies.Drop(j.ID)
	for _, a := range before {
		if x := l.jobs[a]; x != nil && x.cancellation.Requested() && !l.dependencies.Needed(a) {
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, x)
			l.writer.dirty = true
		}
	}
	if !j.cancellation.Requested() { // else they were told when it was cancelled
		l.recomputeUrgency(before)
	}
	at := sort.Search(len(l.jobsBySubmission), func(k int) bool { return l.jobsBySubmission[k].submissionOrder >= j.submissionOrder })
	for ; at < len(l.jobsBySubmission) && l.jobsBySubmission[at].submissionOrder == j.submissionOrder; at++ {
		if l.jobsBySubmission[at] == j {
			// Copied, for somebody may go through it.
			l.jobsBySubmission = append(l.jobsBySubmission[:at:at], l.jobsBySubmission[at+1:]...)
			break
		}
	}
	l.passes.requested = true
}

// jobCounts lists the unfinished jobs' counts for the other controllers.
func (l *leader) jobCounts() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.jobsBySubmission))
	for _, j := range l.jobsBySubmission {
		if n := l.jobCount(j); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

// jobCount tells how many tasks of a job are done and running.
func (l *leader) jobCount(j *job) wire.JobCount {
	n := wire.JobCount{ID: j.ID, Done: j.tasksDone}
	if j.tasksPlaced == 0 {
		return n
	}
	for i := range j.tasks {
		if j.tasks[i].state == wire.TaskRunning {
			n.Running++
		}
	}
	return n
}

// jobCountByID is jobCount for a job by its name; nothing for an unknown one.
func (l *leader) jobCountByID(id string) wire.JobCount {
	if j := l.jobs[id]; j != nil {
		return l.jobCount(j)
	}
	return wire.JobCount{ID: id}
}
