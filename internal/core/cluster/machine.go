package cluster

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Machine is the leader's state of a machine. Its fields are grouped by concern; the comment on each
// group names the component of the leader that changes it. All others only read it.
type Machine struct {
	Identity
	HeartbeatState
	CommandState
	LifeCycle
	Usage
	ImageState
	Reservation
}

// NewMachine creates a machine that is first seen now.
func NewMachine(name string, now time.Duration) *Machine {
	return &Machine{
		Identity:     Identity{Name: name},
		CommandState: CommandState{UnconfirmedStarts: map[AttemptID]int{}},
		LifeCycle:    LifeCycle{CreatedAt: now},
		Usage:        Usage{IdleSince: now},
	}
}

// Identity is the machine's name, address and kind. The inventory and heartbeats set it.
type Identity struct {
	Name, Address, TypeName, Zone string
	Spot                          bool
	Described                     bool              // type and zone are known
	MachineType                   *wire.MachineType // as last returned by the cloud; nil if unknown
	MachineTypeGeneration         int               // of the cloud's response that MachineType is from
}

// HeartbeatState is the state reported by heartbeats and other messages of the worker.
// Reconciliation sets it.
type HeartbeatState struct {
	Incarnation, Sequence                   uint64 // of the newest message
	HeartbeatIncarnation, HeartbeatSequence uint64 // of the newest heartbeat
	FencingToken                            uint64 // highest token that the worker has reported
	LastHeartbeat                           time.Duration
	HeartbeatController                     string        // controller through which the last heartbeat came
	HeartbeatsRegularSince                  time.Duration // start of the current period of regular heartbeats
	LastAnswered                            time.Duration // when a heartbeat was last answered in this term
	LeaseExtendedAt                         time.Duration // last lease extension by a controller that could not reach the leader
	LastContact                             time.Duration // last response to a probe or a direct command
	FirstHeartbeat                          time.Duration
	ReportedTasks                           []wire.TaskStatus // from the newest message, by name and attempt
	ReportedExited                          int               // number of ReportedTasks that have exited
	LeaseExpired                            bool              // its lease expired while it sent no heartbeats
	NewerIncarnationAt                      time.Duration     // when a direct response showed an incarnation newer than any heartbeat's
	LeaseExpiries                           int               // times its lease expired while it was responding
	UnreachableSince                        time.Duration     // since when its heartbeats arrive but commands do not reach it; 0 if they do
}

// CommandState is the state of commands and probes. Reconciliation sets it.
type CommandState struct {
	OpenDirectCalls   int
	DirectRetryAt     time.Duration
	UnconfirmedStarts map[AttemptID]int // number of start commands that may still reach the worker, by attempt
	AnsweredStarts    []AttemptID       // those of them that were sent in the answer to the newest heartbeat
	ProbeOpen         bool              // a probe or a term announcement is in progress
	NextProbeAt       time.Duration     // earliest time of the next probe
	LastProbeFailure  time.Duration     // when the last probe that failed was sent
	CommandToken      uint64            // fencing token of the newest message to the worker in this term
	StartToken        uint64            // highest fencing token under which a start may have been sent
	LoggedCommands    uint64            // hash of the commands that were logged last
}

// LifeCycle is the machine's life cycle in the cloud. The inventory sets what the cloud lists;
// provisioning and health checks set the rest.
type LifeCycle struct {
	ListedAs             wire.MachineState
	ListedAt             time.Duration
	CreatedAt            time.Duration // estimate of when it was provisioned
	ProvisionRequestedAt time.Duration // when this leader requested it; 0 if another leader did
	PreemptionAt         time.Duration // when the cloud reclaims it, by its preemption notice; 0 without one
	DrainReason          DrainReason   // why it accepts no new tasks; empty if it does
	CordonedAt           time.Duration // when it was cordoned
	Evicting             bool          // its tasks are being stopped, to run elsewhere
	Returning            bool          // its return to the cloud was requested
}

// Usage is the set of tasks that occupy the machine, and the resources they use. Placing and
// unplacing a task change it, and Refresh recomputes StoppingUse. NeedsRefresh is also set when a
// stop is requested, when the image cache changes and when the usage of all teams is recounted.
type Usage struct {
	// Placements is ordered by name. It is copied on every change, so that a loop over it may
	// unplace tasks. A task that was unplaced during the loop no longer refers to this machine.
	Placements          []TaskReference
	Used                topology.Resources
	UsedByLevel         [PriorityLevels]topology.Resources // Used, by priority level
	CheckpointedByLevel [PriorityLevels]topology.Resources // part of UsedByLevel used by tasks that save checkpoints
	StoppingUse         topology.Resources                 // used by tasks being stopped, as of the last Refresh
	NeedsRefresh        bool                               // its tasks or images have changed since the last Refresh
	IdleSince           time.Duration
	GuaranteedTasks     int           // number of tasks of teams that are not best-effort
	GuaranteedUntil     time.Duration // when the last such task was unplaced
}

// ImageState is the expected state of the machine's image cache and pulls. Reconciliation and task
// placement change it.
type ImageState struct {
	CachedImages []Image     // most recently used first
	Pulls        []ImagePull // images that its tasks wait for, in pull order
}

// Reservation reserves a machine for a job while tasks on it are stopped to make room for the job,
// or while a replica of the job is rescheduled to it. The scheduling pass sets it.
type Reservation struct {
	ReservedFor   *Job
	ReservedUntil time.Duration
	ReservedTasks int // number of the job's tasks that the machine is reserved for
}

// Offer returns the cloud offer (type, zone, spot or not) that the machine was provisioned from.
func (m *Machine) Offer() provisioning.Offer {
	return provisioning.Offer{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// ProvisioningKind returns the class of machines whose provisioning latencies are comparable.
func (m *Machine) ProvisioningKind() bootlatency.Kind {
	return bootlatency.Kind{Type: m.TypeName, Zone: m.Zone}
}

// HeartbeatExpected reports whether heartbeats are expected from the machine: it has sent one, or
// tasks are placed on it.
func (m *Machine) HeartbeatExpected() bool { return m.LastHeartbeat != 0 || len(m.Placements) > 0 }

// ReportedAttempt returns the status of an attempt at a task in the newest message. A worker lists
// an earlier, exited attempt in addition to the current one until it is told to forget it. When the
// earlier attempt was mistaken for the current one, the running task seemed to be missing and was
// started a second time.
func (m *Machine) ReportedAttempt(task string, attempt uint64) (wire.TaskStatus, bool) {
	for i := range m.ReportedTasks {
		if m.ReportedTasks[i].Task == task && m.ReportedTasks[i].Attempt == attempt {
			return m.ReportedTasks[i], true
		}
	}
	return wire.TaskStatus{}, false
}
