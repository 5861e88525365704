package cluster

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Job is a job whose end is not recorded. Its fields are grouped by concern; each group says
// which part of the leader changes it.
type Job struct {
	wire.Job
	Record          records.Open // as it is in the store
	OpenVersion     uint64       // of the open record
	SubmissionOrder uint64       // first version of the open record: jobs are ordered by it
	WaitingSinceMS  int64        // time of day, in ms, from which its waiting time counts

	TaskStates  []Task
	TasksDone   int
	TasksPlaced int // tasks that count on a machine
	NextAttempt uint64

	PriorityState
	DependencyState
	Cancellation cancellation.Progress
	RecordState
	RetryState
	PlacingState

	WaitLog LoggedWait
}

// PriorityState orders a job among those that wait for machines. Dependencies and the
// scheduling pass set it.
type PriorityState struct {
	Level       int     // priority level: its own, or the higher one of a dependent
	Deadline    float64 // time of day, in s; the earlier one of a dependent counts
	WithinQuota bool    // it fits into its team's guarantee
}

// DependencyState is what a job keeps of its dependencies, in addition to the graph of package
// depgraph. Dependencies and persistence set it.
type DependencyState struct {
	Waiting          bool                      // for dependencies that are not done
	DependenciesDone bool                      // all are, which has to be recorded
	DependencyList   records.DependencyListRef // if the list is spread over records
}

// RecordState is the state of a job's records in the key-value store. Persistence sets it.
type RecordState struct {
	Loaded bool // its placements have been read

	OpenWritePending   bool
	OpenVersionUnknown bool // the open record has to be read again
	OpenRecordTooLarge bool // the store no longer accepts the open record
	RewriteOpenFirst   bool // the open record is to be written before the placements

	PlacementRecords      []PlacementRecord // in the order of their tasks
	SupersededKeys        []string          // of records whose tasks others cover now
	Numbered              bool              // the keys number the records, instead of naming ranges
	PlacementSentThisTerm bool

	EndWritePending bool
	EndRecorded     bool

	Rejections        int           // of its records by the store, one after the other
	WriteBackoffUntil time.Duration // its records are not written before
}

// RetryState is what a job keeps of failures of its tasks. Reconciliation sets it.
type RetryState struct {
	RetryAt             time.Duration // no task is placed before
	ConsecutiveFailures int
}

// PlacingState is what a job keeps for the placement of its tasks. The scheduling pass sets it.
type PlacingState struct {
	GangPreemptions     int              // how often it was preempted as a gang
	ReschedulingTargets map[int]*Machine // where replicas that are rescheduled go, by task
	ReservedMachines    []*Machine       // reserved for it while tasks on them are preempted
	PreemptedWithinTeam bool             // tasks of its own team were preempted for it
}

// NewJob makes a job of an open record that was read at a version.
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
		PlacingState:    PlacingState{ReschedulingTargets: map[int]*Machine{}},
	}
}

// OwnDeadline is when a job's user wants it done, as a time of day in seconds; infinity
// without a deadline.
func OwnDeadline(record *records.Open) float64 {
	if record.Job.DeadlineS == nil {
		return math.Inf(1)
	}
	return float64(record.SubmittedAt)/1000 + *record.Job.DeadlineS
}

// IsOver reports whether no task of the job counts on a machine or is still to run.
func (j *Job) IsOver() bool {
	return j.Loaded && j.TasksPlaced == 0 && (j.Cancellation.Requested() || j.allTasksDone())
}

// IsFinished reports whether the job may be recorded as done: every task is certainly done,
// though copies may still count on machines.
func (j *Job) IsFinished() bool {
	return j.Loaded && !j.Cancellation.Requested() && j.allTasksDone()
}

func (j *Job) allTasksDone() bool { return j.TasksDone == len(j.TaskStates) }

// RecordsWritable reports whether a job's records may be written: its end is not on record,
// and the version of its open record is known and not about to change.
func (j *Job) RecordsWritable() bool {
	return j.Loaded && !j.EndRecorded && !j.OpenVersionUnknown && !j.EndWritePending && !j.OpenWritePending
}

// PendingTasks lists the tasks that may be placed now. A gang is placed as a whole, once
// nothing of its last attempt is left.
func (j *Job) PendingTasks() []int {
	if !j.Loaded || j.Waiting || j.Cancellation.Requested() {
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

// UnplacedTasks lists the tasks that are not done and count on no machine.
func (j *Job) UnplacedTasks() []int {
	var unplaced []int
	for i := range j.TaskStates {
		if t := &j.TaskStates[i]; t.Machine == nil && !t.Done {
			unplaced = append(unplaced, i)
		}
	}
	return unplaced
}

// Interchangeable reports whether it makes no difference which of a job's tasks goes where:
// no machine is reserved for one of them, and they need not share a zone.
func (j *Job) Interchangeable() bool {
	return len(j.ReschedulingTargets) == 0 && len(j.ReservedMachines) == 0 && !j.OneZone
}
