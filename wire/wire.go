// Package wire holds the JSON types of every protocol that brookwalk speaks, and the messages
// that its controllers exchange. Clients may import it. Names in Go are the field's terms; the
// tags carry the names of the protocols, and nothing else in the program knows them.
package wire

// Shape is how the tasks of a job belong together.
type Shape string

// Job shapes: independent tasks, tasks that run at the same time or not at all, and replicas
// that run until the job is cancelled.
const (
	ShapeArray   Shape = "array"
	ShapeGang    Shape = "group"
	ShapeService Shape = "daemon"
)

// Priority orders jobs, and decides which of them may preempt others.
type Priority string

// Priorities, highest first.
const (
	PriorityCritical Priority = "critical"
	PriorityUrgent   Priority = "urgent"
	PriorityNormal   Priority = "normal"
	PriorityIdle     Priority = "idle"
)

// JobState is the state of a job as its user sees it.
type JobState string

// Job states as users see them.
const (
	StatusPending   JobState = "pending"
	StatusRunning   JobState = "running"
	StatusDone      JobState = "done"
	StatusCancelled JobState = "withdrawn"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// Task states in a heartbeat.
const (
	TaskPulling       TaskState = "pulling"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "ended"
)

// ExitCause is why a task has exited.
type ExitCause string

// Causes of a task's exit.
const (
	CauseDone                  ExitCause = "done"
	CauseStopped               ExitCause = "halted"
	CauseGangMemberLost        ExitCause = "peers"
	CauseGangIncomplete        ExitCause = "incomplete"
	CauseError                 ExitCause = "error"
	CauseInsufficientResources ExitCause = "full"
	CauseInUse                 ExitCause = "in_use"
	CauseUnknownTask           ExitCause = "no_such"
)

// Verb is what a command asks a worker to do.
type Verb string

// Command verbs.
const (
	VerbStart  Verb = "run"
	VerbStop   Verb = "kill"
	VerbForget Verb = "reap"
)

// Job is a submission, valid and complete. It is part of the records that
// versions share in the key-value store: its JSON names never change when a field
// is renamed, see compat_test.go of internal/core.
type Job struct {
	ID                  string   `json:"nameId"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"crew"`
	Shape               Shape    `json:"shape"`
	Priority            Priority `json:"urgency"`
	Tasks               int      `json:"shards"`
	CPUs                float64  `json:"cpus"`         // of each task
	GPUs                float64  `json:"accelerators"` // of each task
	MemGB               float64  `json:"memGb"`        // of each task
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"pullGb"`
	MachineTypes        []string `json:"hulls,omitempty"`    // allowed; any if empty
	Zone                string   `json:"berth,omitempty"`    // the only one allowed; any if empty
	OneZone             bool     `json:"together,omitempty"` // all tasks in the same zone
	SpreadZones         bool     `json:"apart,omitempty"`    // at most half of the tasks, rounded up, in one zone
	AllowSpot           bool     `json:"standby,omitempty"`  // may run on spot machines
	EstimatedRunS       float64  `json:"guessS"`             // of a task, by its owner; 0 for services
	CheckpointIntervalS float64  `json:"markS"`              // 0: no checkpoints
	CheckpointDurationS float64  `json:"stowS"`              // to save one when stopped
	DeadlineS           *float64 `json:"dueS,omitempty"`     // seconds from the submission; nil for none
	// Dependencies names the jobs that have to be done before any task of this one starts.
	Dependencies []string `json:"awaits,omitempty"`
}

// JobStatus answers a submission, a query or a cancellation.
type JobStatus struct {
	ID      string   `json:"nameId"`
	Status  JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Heartbeat is what a worker sends periodically, and the body of its answers to direct commands
// and probes: the state of all tasks on its machine, exited ones included.
type Heartbeat struct {
	Machine           string       `json:"host"`
	Addr              string       `json:"endpoint"`
	Type              string       `json:"hull"`
	Zone              string       `json:"berth"`
	Spot              bool         `json:"standby"`
	Incarnation       uint64       `json:"watch"`    // counts the worker's lease expiries, from 1
	Sequence          uint64       `json:"tally"`    // counts its messages
	FencingToken      uint64       `json:"helm"`     // highest one that it has heard
	PreemptionNoticeS *float64     `json:"warningS"` // seconds until the cloud takes the machine; nil without a notice
	Tasks             []TaskStatus `json:"shards"`
}

// NewerThan reports whether h was made after the message with an incarnation and a sequence
// number.
func (h *Heartbeat) NewerThan(incarnation, sequence uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// TaskStatus is the state of one attempt at a task in a heartbeat.
type TaskStatus struct {
	Task         string    `json:"shard"`
	Attempt      uint64    `json:"launch"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"kept,omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Verb         Verb     `json:"verb"`
	Task         string   `json:"shard"`
	Attempt      uint64   `json:"launch"`
	GracePeriodS *float64 `json:"respiteS,omitempty"`
}

// CommandList answers a heartbeat, or goes directly to a worker.
type CommandList struct {
	FencingToken uint64    `json:"helm"`
	Incarnation  uint64    `json:"watch,omitempty"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a 421: it names the controller to send heartbeats to.
type Redirect struct {
	Controller string `json:"bridge,omitempty"`
}

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name       string   `json:"label"`
	CPUs       float64  `json:"cpus"`
	GPUs       float64  `json:"accelerators"`
	MemGB      float64  `json:"memGb"`
	CacheGB    float64  `json:"localGb"`
	PullGBPerS float64  `json:"fetchGbPerS"`
	Price      float64  `json:"rate"`
	SpotPrice  float64  `json:"lowPrice"`
	BootS      float64  `json:"bootS"`
	Zones      []string `json:"berths"`
}

// MachineTypes is the cloud's answer to a query of its types.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	ID    string `json:"charter"`
	Type  string `json:"hull"`
	Zone  string `json:"berth"`
	Spot  bool   `json:"standby"`
	Count int    `json:"count"`
}

// MachineNames is the answer to a ProvisionRequest, and the body of a return of machines.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// Machine states in the cloud's list.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// Machine is one row of the cloud's list.
type Machine struct {
	Name   string       `json:"nameId"`
	Addr   string       `json:"endpoint"`
	Type   string       `json:"hull"`
	Zone   string       `json:"berth"`
	Spot   bool         `json:"standby"`
	Status MachineState `json:"status"`
	AgeS   float64      `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"hosts"`
	More     bool      `json:"truncated"`
}
