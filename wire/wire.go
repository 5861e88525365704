// Package wire holds the JSON types of every protocol that brookwalk speaks,
// and the messages its controllers exchange. Field names follow the standard
// terms of the field; the tags carry the names the protocol uses.
package wire

// Job shapes.
const (
	ShapeArray   = "array"
	ShapeGang    = "group"
	ShapeService = "daemon"
)

// Priorities, highest first.
const (
	PriorityCritical = "critical"
	PriorityUrgent   = "urgent"
	PriorityNormal   = "normal"
	PriorityIdle     = "idle"
)

// Job states as users see them.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// Task states in a worker's report.
const (
	TaskFetching = "pulling"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "ended"
)

// Causes of a task's exit.
const (
	CauseDone       = "done"
	CauseStopped    = "halted"
	CausePeers      = "peers"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoRoom     = "full"
	CauseInUse      = "in_use"
	CauseUnknown    = "no_such"
)

// Command verbs.
const (
	VerbStart  = "run"
	VerbStop   = "kill"
	VerbForget = "reap"
)

// Job is a submission, valid and complete. It is part of the records that
// versions share in the state service: its JSON names never change when a field
// is renamed, see compat_test.go of internal/core.
type Job struct {
	ID          string   `json:"nameId"`
	Class       string   `json:"jobclass"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"shards"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"accelerators"`
	MemGB       float64  `json:"memGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pullGb"`
	Types       []string `json:"hulls,omitempty"`
	Zone        string   `json:"berth,omitempty"`
	OneZone     bool     `json:"together,omitempty"`
	Spread      bool     `json:"apart,omitempty"`
	Spot        bool     `json:"standby,omitempty"`
	EstimateS   float64  `json:"guessS"`
	CheckpointS float64  `json:"markS"`
	SaveS       float64  `json:"stowS"`
	DeadlineS   *float64 `json:"dueS,omitempty"`
	// Awaits names the jobs that have to be done before any task of this one
	// starts.
	Awaits []string `json:"awaits,omitempty"`
}

// JobStatus answers a submission, a query or a cancellation.
type JobStatus struct {
	ID      string `json:"nameId"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Report is what a worker sends, and the body of its answers to commands.
type Report struct {
	Machine  string   `json:"host"`
	Addr     string   `json:"endpoint"`
	Type     string   `json:"hull"`
	Zone     string   `json:"berth"`
	Spot     bool     `json:"standby"`
	Session  uint64   `json:"watch"`
	Seq      uint64   `json:"tally"`
	Token    uint64   `json:"helm"`
	WarningS *float64 `json:"warningS"`
	Tasks    []Task   `json:"shards"`
}

// Newer tells whether r was made after the message (session, seq).
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Task is one task in a report.
type Task struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"launch"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shard"`
	Attempt uint64   `json:"launch"`
	GraceS  *float64 `json:"respiteS,omitempty"`
}

// Orders answers a report, or goes to a worker's command address.
type Orders struct {
	Token    uint64    `json:"helm"`
	Session  uint64    `json:"watch,omitempty"`
	Commands []Command `json:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	ReportTo string `json:"bridge,omitempty"`
}

// MachineType is one type that the cloud rents.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"memGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBPS float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"berths"`
}

// MachineTypes is the cloud's answer to a query of its types.
type MachineTypes struct {
	Types []MachineType `json:"hulls"`
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	Request string `json:"charter"`
	Type    string `json:"hull"`
	Zone    string `json:"berth"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"count"`
}

// MachineNames is the answer to a rental and the body of a return.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is one row of the cloud's list.
type Machine struct {
	Name   string  `json:"nameId"`
	Addr   string  `json:"endpoint"`
	Type   string  `json:"hull"`
	Zone   string  `json:"berth"`
	Spot   bool    `json:"standby"`
	Status string  `json:"status"`
	AgeS   float64 `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"hosts"`
	More     bool      `json:"truncated"`
}
