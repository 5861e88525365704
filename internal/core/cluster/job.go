package cluster

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Job is a job whose end is not yet recorded. Its fields are grouped by concern; the comment on each
// group names the component of the leader that changes it.
type Job struct {
	wire.Job
	Record          records.Open // as stored in the key-value store
	OpenVersion     uint64       // version of the open record
	SubmissionOrder uint64       // first version of the open record; jobs are ordered by it
	WaitingSinceMS  int64        // wall-clock time, in ms, from which its waiting time counts

	TaskStates  []Task
	TasksDone   int
	TasksPlaced int // tasks that occupy a machine
	NextAttempt uint64

	PriorityState
	DependencyState
	Cancellation cancellation.Progress
	RecordState
	RetryState
	PlacementState

	WaitLog LoggedWait
}

// PriorityState determines a job's position among the jobs that wait for machines. The dependency
// code and the scheduling pass set it.
type PriorityState struct {
	Level       int     // priority level: its own or a dependent's, whichever is higher
	Deadline    float64 // wall-clock time, in s: its own or a dependent's, whichever is earlier
	WithinQuota bool    // the job fits into its team's guarantee
}

// DependencyState is the state of a job's dependencies, in addition to the graph in package
// depgraph. The dependency code and persistence set it.
type DependencyState struct {
	AwaitingDependencies bool                      // some dependencies are not done
	DependenciesDone     bool                      // all dependencies are done, which is not recorded yet
	DependencyList       records.DependencyListRef // set if the list is spread over several records
}

// RecordState is the state of a job's records in the key-value store. Persistence sets it.
type RecordState struct {
	Loaded bool // its placement records have been read

	OpenWritePending   bool
	OpenVersionUnknown bool // the open record has to be read again
	OpenRecordTooLarge bool // the store no longer accepts the open record
	RewriteOpenFirst   bool // the open record has to be written before the placement records

	PlacementRecords      []PlacementRecord // ordered by task
	SupersededKeys        []string          // keys of records whose tasks other records now cover
	NumberedKeys          bool              // keys contain a record number instead of a task range
	PlacementSentThisTerm bool

	EndWritePending bool
	EndRecorded     bool

	Rejections        int           // consecutive rejections of its records by the store
	WriteBackoffUntil time.Duration // its records are not written before this time
}

// RetryState is the retry state of a job after failures of its tasks. The leader sets it when a task
// exits or has started successfully (outliers.go and termination.go of package core).
type RetryState struct {
	RetryAt             time.Duration // no task is placed before this time
	ConsecutiveFailures int
}

// PlacementState is the job's state for the placement of its tasks. The scheduling pass sets it.
type PlacementState struct {
	GangPreemptions     int              // how often the job was preempted as a gang
	ReschedulingTargets map[int]*Machine // targets of replicas being rescheduled, by task
	ReservedMachines    []*Machine       // reserved for the job, see Reservation
	PreemptedWithinTeam bool             // tasks of its own team were preempted for the job
}

// NewJob creates a job from an open record that was read at the given version.
func NewJob(record records.Open, version uint64) *Job {
	return &Job{
		Job:             record.Job,
		Record:          record,
		OpenVersion:     version,
		SubmissionOrder: version,
		WaitingSinceMS:  record.SubmittedAt,
		TaskStates:      make([]Task, record.Job.Tasks),
		NextAttempt:     1,
		PriorityState:   PriorityState{Level: PriorityLevel[record.Job.Priority], Deadline: OwnDeadline(&record)},
		PlacementState:  PlacementState{ReschedulingTargets: map[int]*Machine{}},
	}
}

// OwnDeadline returns the deadline that a job's user requested, as a wall-clock time in seconds;
// infinity without a deadline.
func OwnDeadline(record *records.Open) float64 {
	if record.Job.DeadlineS == nil {
		return math.Inf(1)
	}
	return float64(record.SubmittedAt)/1000 + *record.Job.DeadlineS
}

// IsTerminated reports whether no task of the job occupies a machine and none is still to run.
func (j *Job) IsTerminated() bool {
	return j.Loaded && j.TasksPlaced == 0 && (j.Cancellation.Requested() || j.allTasksDone())
}

// IsCompleted reports whether the job may be recorded as done: every task is confirmed done, though
// other attempts at some tasks may still occupy machines.
func (j *Job) IsCompleted() bool {
	return j.Loaded && !j.Cancellation.Requested() && j.allTasksDone()
}

func (j *Job) allTasksDone() bool { return j.TasksDone == len(j.TaskStates) }

// RecordsWritable reports whether a job's records may be written: its end is not recorded, and the
// version of its open record is known and not about to change.
func (j *Job) RecordsWritable() bool {
	return j.Loaded && !j.EndRecorded && !j.OpenVersionUnknown && !j.EndWritePending && !j.OpenWritePending
}

// PendingTasks lists the tasks that may be placed now. A gang is placed as a whole, once no task of
// its previous attempt occupies a machine.
func (j *Job) PendingTasks() []int {
	if !j.Loaded || j.AwaitingDependencies || j.Cancellation.Requested() {
		return nil
	}
	if j.EndWritePending || j.EndRecorded || j.OpenVersionUnknown || j.allTasksDone() {
		return nil
	}
	if j.TasksPlaced == len(j.TaskStates) || j.Shape == wire.ShapeGang && j.TasksPlaced > 0 {
		return nil
	}
	return j.UnplacedTasks()
}

// UnplacedTasks lists the tasks that are not done and occupy no machine.
func (j *Job) UnplacedTasks() []int {
	var unplaced []int
	for i := range j.TaskStates {
		if t := &j.TaskStates[i]; t.Machine == nil && !t.Done {
			unplaced = append(unplaced, i)
		}
	}
	return unplaced
}

// Interchangeable reports whether the job's tasks can be swapped freely between machines: no machine
// is reserved for any of them, and they need not share a zone.
func (j *Job) Interchangeable() bool {
	return len(j.ReschedulingTargets) == 0 && len(j.ReservedMachines) == 0 && !j.OneZone
}
