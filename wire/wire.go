// Package wire defines the JSON types of all protocols that brookwalk uses, and the messages
// that its controllers exchange. Clients may import it. The Go names are the usual technical terms.
// The protocols' own names are only in the tags; nothing else in the program uses them.
package wire

// Shape is the kind of a job: how its tasks are scheduled together.
type Shape string

// Job shapes: an array has independent tasks, the tasks of a gang run all at the same time or not
// at all, and a service has replicas that run until the job is cancelled.
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

// Verb is the action of a command to a worker.
type Verb string

// Command verbs.
const (
	VerbStart  Verb = "run"
	VerbStop   Verb = "kill"
	VerbForget Verb = "reap"
)

// Job is a validated submission. It is part of records in the key-value store that several versions
// of the program read, so its JSON names never change when a field is renamed: compat_test.go of
// internal/core checks them.
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
	EstimatedRunS       float64  `json:"guessS"`             // of a task, by the job's owner; 0 for services
	CheckpointIntervalS float64  `json:"markS"`              // 0 for no checkpoints
	CheckpointDurationS float64  `json:"stowS"`              // time to save one when the task is stopped
	DeadlineS           *float64 `json:"dueS,omitempty"`     // seconds from the submission; nil for none
	// Dependencies lists the IDs of the jobs that must be done before a task of this job starts.
	Dependencies []string `json:"awaits,omitempty"`
}

// JobStatus is the response to a submission, a query or a cancellation.
type JobStatus struct {
	ID      string   `json:"nameId"`
	Status  JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Heartbeat holds the state of all tasks on a worker's machine, including exited ones. A worker
// sends it periodically, and as the response to direct commands and probes.
type Heartbeat struct {
	Machine           string       `json:"host"`
	Addr              string       `json:"endpoint"`
	Type              string       `json:"hull"`
	Zone              string       `json:"berth"`
	Spot              bool         `json:"standby"`
	Incarnation       uint64       `json:"watch"`    // counts the worker's lease expirations, from 1
	Sequence          uint64       `json:"tally"`    // counts the worker's messages
	FencingToken      uint64       `json:"helm"`     // highest one that the worker has received
	PreemptionNoticeS *float64     `json:"warningS"` // seconds until the cloud preempts the machine; nil without a notice
	Tasks             []TaskStatus `json:"shards"`
}

// NewerThan reports whether the worker created h after the message with the given incarnation and
// sequence number.
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

// CommandList is the response to a heartbeat, and the body of a direct request to a worker.
type CommandList struct {
	FencingToken uint64    `json:"helm"`
	Incarnation  uint64    `json:"watch,omitempty"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a response with status 421. It names the controller to which the worker
// must send its heartbeats.
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

// MachineTypes is the cloud's response to a query of its machine types.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// ProvisionRequest requests machines from the cloud.
type ProvisionRequest struct {
	ID    string `json:"charter"`
	Type  string `json:"hull"`
	Zone  string `json:"berth"`
	Spot  bool   `json:"standby"`
	Count int    `json:"count"`
}

// MachineNames is the response to a ProvisionRequest, and the body of a request that returns
// machines.
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

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	Name   string       `json:"nameId"`
	Addr   string       `json:"endpoint"`
	Type   string       `json:"hull"`
	Zone   string       `json:"berth"`
	Spot   bool         `json:"standby"`
	Status MachineState `json:"status"`
	AgeS   float64      `json:"heldS"`
}

// MachineList is a page of the cloud's list of machines.
type MachineList struct {
	Machines []Machine `json:"hosts"`
	More     bool      `json:"truncated"`
}
