package cluster

import (
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Task is the state of one task. A task with a machine occupies its full resources (on the machine,
// in its team's limit and in its zone) until it is confirmed to have terminated, see package
// reconcile. Task placement, reconciliation and persistence change it.
type Task struct {
	Done           bool // completed successfully
	Attempt        uint64
	Machine        *Machine // nil if it occupies none
	Zone           string   // zone of the machine; known before the machine's first heartbeat
	Incarnation    uint64   // incarnation of the worker when the task was placed
	Persisted      bool     // the placement is stored
	PlacedThisTerm bool
	StartSent      bool // a start command was sent, or may have been sent in an earlier term
	Observed       bool // a heartbeat of this term listed it
	State          wire.TaskState
	RunningSince   time.Duration // first heartbeat that listed it as running
	StartedHealthy bool          // it ran long enough to count as a successful start, see outliers.go of package core
	PlacedAt       time.Duration
	Stop           *StopRequest // nil unless it is being stopped
}

// StopRequest is a request to stop a task.
type StopRequest struct {
	GracePeriodS float64 // time to save a checkpoint, in seconds
	RequestedAt  time.Duration
	Killed       bool // stop without a grace period
}

// TaskReference refers to a task that occupies a machine.
type TaskReference struct {
	Job   *Job
	Index int
	Name  string
}

// NewTaskReference returns a reference to a job's task.
func NewTaskReference(job *Job, index int) TaskReference {
	return TaskReference{Job: job, Index: index, Name: TaskName(job.ID, index)}
}

// Task returns the state of the task.
func (r TaskReference) Task() *Task { return &r.Job.TaskStates[r.Index] }

// Size returns the resources that become free when the task stops.
func (r TaskReference) Size() topology.Resources { return TaskSize(&r.Job.Job) }

// Gang returns the ID of the gang that stops together with the task; empty if the task stops alone.
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

// TaskName returns the name of a job's task in the protocol.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// JobIDOf returns the ID of the job that a task belongs to, given the task's name.
func JobIDOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}
