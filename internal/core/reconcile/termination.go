package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// This file decides when a task has certainly terminated. The rules on tasks that run twice,
// teams' limits, zones and cancelled jobs all depend on it. A placement counts in full until one
// of these:
//
//  1. a newer heartbeat of its incarnation shows that it exited, or does not list it though
//     the worker has heard this term and no copy of its start can still take effect;
//  2. the worker reports a later incarnation;
//  3. the cloud has confirmed the machine's return;
//  4. the worker has seen this term, and its lease has certainly expired since the last answer
//     that this term, or a controller that could not reach its leader, gave it (see
//     package membership). A worker that has not seen this term may still have
//     its lease renewed by a leader of an earlier one.

// LossReason is why a task has certainly terminated though no exit of it was reported. Its
// text is part of log lines.
type LossReason string

// Reasons for which a task is lost.
const (
	LossNewIncarnation    LossReason = "worker began a new incarnation"
	LossNotInHeartbeat    LossReason = "missing from heartbeat"
	LossNeverStarted      LossReason = "never started"
	LossLeaseExpired      LossReason = "lease expired"
	LossMachineTerminated LossReason = "machine terminated"
)

// Outcome is what a worker's newest message means for a placement.
type Outcome int

// Outcomes for a placement.
const (
	Unchanged Outcome = iota // the message decides nothing
	Listed                   // the message lists the attempt
	Lost                     // the task has terminated without a reported exit
	NeverSent                // the task was to be stopped before its start was sent
)

// Finding is the outcome for a placement, with its details.
type Finding struct {
	Outcome Outcome
	Status  wire.TaskStatus // if listed
	Loss    LossReason      // if lost
}

// CheckPlacement finds out what a worker's newest message means for a task that counts on its
// machine. workerKnowsTerm says that the worker had seen this term when it sent the message.
func CheckPlacement(machine *cluster.Machine, placement cluster.TaskReference, workerKnowsTerm bool) Finding {
	task := placement.Task()
	if task.Incarnation < machine.Incarnation {
		return Finding{Outcome: Lost, Loss: LossNewIncarnation} // case 2
	}
	if status, listed := machine.ReportedAttempt(placement.Name, task.Attempt); listed {
		return Finding{Outcome: Listed, Status: status}
	}
	switch {
	case task.Observed && workerKnowsTerm:
		// It was listed and no longer is; only this leader makes a worker forget a task, and
		// only after its exit.
		return Finding{Outcome: Lost, Loss: LossNotInHeartbeat}
	case !task.PlacedThisTerm && workerKnowsTerm:
		// Placed under an earlier term and never started: commands of that term no longer
		// have an effect on this worker. Case 1.
		return Finding{Outcome: Lost, Loss: LossNeverStarted}
	case task.PlacedThisTerm && !task.StartSent && task.Stop != nil:
		return Finding{Outcome: NeverSent}
	}
	return Finding{Outcome: Unchanged}
}

// RecordStatus records the state of a task that a heartbeat lists.
func RecordStatus(task *cluster.Task, status wire.TaskStatus, now time.Duration) {
	if task.PlacedThisTerm && !task.Observed {
		task.Machine.UnreachableSince = 0 // the start has reached it
	}
	task.Observed, task.StartSent, task.Persisted = true, true, true
	if status.State == wire.TaskExited {
		return // what it ran for counts from the state before
	}
	if status.State == wire.TaskRunning && task.State != wire.TaskRunning {
		task.RunningSince = now
	}
	task.State = status.State
}

// LeaseExpiryDue reports whether a worker's lease may have expired, as far as this leader's own
// answers go: the worker has seen this term, and was not answered for longer than its lease lasts.
// Whether another controller has extended the lease is not part of the answer.
func LeaseExpiryDue(machine *cluster.Machine, term uint64, now time.Duration, timing Timing) bool {
	return machine.FencingToken >= term && machine.LastAnswered != 0 && !machine.LeaseExpired &&
		now-machine.LastAnswered > timing.LeaseExpiryBound()
}

// RecordLeaseExpiry records that the lease of a silent worker has certainly expired.
func RecordLeaseExpiry(machine *cluster.Machine) { machine.LeaseExpired = true }

// EndsWithLease reports whether a task ends as its machine's lease expires: case 4. One that was
// placed for a later incarnation does not.
func EndsWithLease(machine *cluster.Machine, task *cluster.Task) bool {
	return task.Machine == machine && task.Incarnation <= machine.Incarnation
}
