package cluster

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Machine is what the leader knows of a machine. Its fields are grouped by concern; each
// group names the part of the leader that changes it. Everything else only reads.
type Machine struct {
	Identity
	HeartbeatState
	CommandState
	LifeCycle
	Usage
	ImageState
	Reservation
}

// NewMachine makes a machine that becomes known now.
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
	MachineType                   *wire.MachineType // as the cloud last described it; nil if not known
	MachineTypeGeneration         int               // of the cloud's answer that MachineType is from
}

// HeartbeatState is what heartbeats and other messages of the worker have shown.
// Reconciliation sets it.
type HeartbeatState struct {
	Incarnation, Sequence                   uint64 // of the newest message
	HeartbeatIncarnation, HeartbeatSequence uint64 // of the newest heartbeat
	FencingToken                            uint64 // highest that the worker has reported
	LastHeartbeat                           time.Duration
	HeartbeatController                     string        // by which the last heartbeat came
	RegularSince                            time.Duration // heartbeats have come regularly since then
	LastAnswered                            time.Duration // last heartbeat that was answered in this term
	LeaseExtendedAt                         time.Duration // last extension of its lease by an unreachable controller
	LastContact                             time.Duration // last answer to a probe or a direct command
	FirstHeartbeat                          time.Duration
	ReportedTasks                           []wire.TaskStatus // of the newest message, by name and attempt
	ReportedEnded                           int               // of them, those of tasks that have exited
	LeaseExpired                            bool              // its lease expired while it was silent
	NewerIncarnationAt                      time.Duration     // when a direct answer showed an incarnation that no heartbeat had
	LeaseExpiries                           int               // leases that expired while it answered
	UnreachableSince                        time.Duration     // commands have not reached it since then, though its heartbeats arrive; 0 if they do
}

// CommandState is the state of direct commands and probes. Reconciliation sets it.
type CommandState struct {
	OpenDirectCalls   int
	DirectRetryAt     time.Duration
	UnconfirmedStarts map[AttemptID]int // direct starts whose outcome is unknown
	ProbeOpen         bool
	NextProbeAt       time.Duration
	LastProbeFailure  time.Duration // when the last probe without an answer was sent
}

// LifeCycle is the machine's life in the cloud. The inventory sets what the cloud lists,
// provisioning and health checks the rest.
type LifeCycle struct {
	ListedAs             wire.MachineState
	ListedAt             time.Duration
	CreatedAt            time.Duration // estimate of when it was provisioned
	ProvisionRequestedAt time.Duration // when this leader asked for it; 0 if another one did
	PreemptionAt         time.Duration // when the cloud takes it back by its preemption notice; 0 without one
	DrainReason          DrainReason   // why it takes no more tasks; empty if it does
	DrainedAt            time.Duration // since when
	Evicting             bool          // its tasks are stopped, to run elsewhere
	Returning            bool          // its return to the cloud was requested
}

// Usage is what counts on the machine. Only placing and unplacing a task changes it.
type Usage struct {
	// Placements is ordered by name. It is replaced and never changed in place, so that
	// a loop over it may unplace tasks; one that is unplaced on the way no longer has
	// this machine.
	Placements          []TaskReference
	Used                topology.Resources
	UsedByLevel         [PriorityLevels]topology.Resources // by priority level
	CheckpointedByLevel [PriorityLevels]topology.Resources // of it, by tasks that save checkpoints
	StoppingUse         topology.Resources                 // by tasks that are being stopped, as of the last pass
	EvaluationStale     bool                               // its tasks or images have changed since the last Refresh
	IdleSince           time.Duration
	GuaranteedTasks     int           // tasks of teams that are not best-effort
	GuaranteedUntil     time.Duration // when the last of them was unplaced
}

// ImageState is which images the machine is believed to hold and to pull. Reconciliation and
// placing tasks change it.
type ImageState struct {
	CachedImages []Image     // latest use first
	Pulls        []ImagePull // images that its tasks wait for, in their order
}

// Reservation reserves a machine whose tasks are preempted for the job that they make room for.
// Preemption sets it.
type Reservation struct {
	ReservedFor   *Job
	ReservedUntil time.Duration
	ReservedTasks int // how many of the job's tasks it is reserved for
}

// Offer is what the machine was provisioned as.
func (m *Machine) Offer() provisioning.Offer {
	return provisioning.Offer{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// ProvisioningKind names the machines whose provisioning latencies are alike.
func (m *Machine) ProvisioningKind() bootlatency.Kind {
	return bootlatency.Kind{Type: m.TypeName, Zone: m.Zone}
}

// HeartbeatExpected reports whether heartbeats are expected of the machine: it has sent one,
// or tasks are recorded on it.
func (m *Machine) HeartbeatExpected() bool { return m.LastHeartbeat != 0 || len(m.Placements) > 0 }

// ReportedAttempt finds an attempt at a task in the newest message. A worker lists an earlier
// attempt that has exited beside the present one until it is told to forget it; mistaken for
// the present one, it made a running task seem to have vanished, and the task ran twice.
func (m *Machine) ReportedAttempt(task string, attempt uint64) (wire.TaskStatus, bool) {
	for i := range m.ReportedTasks {
		if m.ReportedTasks[i].Task == task && m.ReportedTasks[i].Attempt == attempt {
			return m.ReportedTasks[i], true
		}
	}
	return wire.TaskStatus{}, false
}

// SettleDirectStarts records that no further copy of direct starts can arrive.
func (m *Machine) SettleDirectStarts(attempts []AttemptID) {
	for _, id := range attempts {
		if m.UnconfirmedStarts[id]--; m.UnconfirmedStarts[id] <= 0 {
			delete(m.UnconfirmedStarts, id)
		}
	}
}
