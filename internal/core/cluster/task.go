package cluster

import (
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Task is the state of one task. A task with a machine counts in full (on the machine, towards its
// team's limit and in its zone) until it has certainly terminated, see package reconcile.
// Placing, reconciliation and persistence change it.
type Task struct {
	Done           bool // completed
	Attempt        uint64
	Machine        *Machine // nil if it counts on none
	Zone           string   // of the machine: known before the machine's first heartbeat
	Incarnation    uint64   // of the worker when the task was placed
	Persisted      bool     // the placement is on record
	PlacedThisTerm bool
	StartSent      bool // a start was sent, or may have been by an earlier term
	Observed       bool // a heartbeat of this term showed it
	State          wire.TaskState
	RunningSince   time.Duration // first heartbeat that showed it running
	StartedHealthy bool          // it ran for long enough, see outliers.go of package core
	PlacedAt       time.Duration
	Stop           *StopRequest // nil if it is to run on
}

// StopRequest asks for a task to end.
type StopRequest struct {
	GracePeriodS float64 // to save a checkpoint, in seconds
	RequestedAt  time.Duration
	Killed       bool // without a grace period
}

// TaskReference refers to a task that counts on a machine.
type TaskReference struct {
	Job   *Job
	Index int
	Name  string
}

// NewTaskReference refers to a job's task.
func NewTaskReference(job *Job, index int) TaskReference {
	return TaskReference{Job: job, Index: index, Name: TaskName(job.ID, index)}
}

// Task is the state of the task.
func (r TaskReference) Task() *Task { return &r.Job.TaskStates[r.Index] }

// Size is what becomes free when the task stops.
func (r TaskReference) Size() topology.Resources { return TaskSize(&r.Job.Job) }

// Gang is the ID of the gang that stops along with the task; empty if it stops alone.
func (r TaskReference) Gang() string {
	if r.Job.Shape == wire.ShapeGang {
		return r.Job.ID
	}
	return ""
}

// AttemptID identifies an attempt at a task.
type AttemptID struct {
	Task    string
	Attempt uint64
}

// TaskName is the name of a job's task in the protocol.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// JobIDOf is the ID of the job that a task belongs to.
func JobIDOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}
