package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// This file decides when a task is confirmed to have terminated. The guarantees that a task does not
// run twice, and those for teams' limits, zones and cancelled jobs, depend on it. A placement
// occupies its full resources until one of these cases holds:
//
//  1. A newer heartbeat of the same incarnation lists the task as exited, or does not list it
//     although the worker has seen this term and no duplicate of its start command can still
//     take effect.
//  2. The worker reports a later incarnation.
//  3. The cloud has confirmed the machine's return.
//  4. The worker has seen this term, and its lease is guaranteed to have expired since its last
//     renewal by this term's leader, or extension by a controller that could not reach the leader
//     (see package membership). The lease of a worker that has not seen this term may still be
//     renewed by a leader of an earlier term.

// LossReason is why a task is confirmed to have terminated although its exit was not reported. Its
// text appears in log lines.
type LossReason string

// Reasons for which a task is lost.
const (
	LossNewIncarnation    LossReason = "worker began a new incarnation"
	LossNotInHeartbeat    LossReason = "missing from heartbeat"
	LossNeverStarted      LossReason = "never started"
	LossLeaseExpired      LossReason = "lease expired"
	LossMachineTerminated LossReason = "machine terminated"
)

// Outcome is the conclusion from a worker's newest message for a placement.
type Outcome int

// Possible outcomes for a placement.
const (
	Unchanged Outcome = iota // the message does not change what is known of the placement
	Listed                   // the message lists the attempt
	Lost                     // the task has terminated without a reported exit
	NeverSent                // the stop was requested before the start was sent
)

// Finding is the outcome for a placement, with its details.
type Finding struct {
	Outcome Outcome
	Status  wire.TaskStatus // if listed
	Loss    LossReason      // if lost
}

// CheckPlacement determines what a worker's newest message means for a task that occupies its
// machine. workerKnowsTerm is true if the worker had seen this term when it sent the message.
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
		// Case 1: the task was listed before and is not listed any more. A worker forgets a
		// task only on this leader's command, which is sent only after the task's exit.
		return Finding{Outcome: Lost, Loss: LossNotInHeartbeat}
	case !task.PlacedThisTerm && workerKnowsTerm:
		// Case 1: the task was placed in an earlier term and never started. Commands of that
		// term no longer have an effect on this worker.
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
		return // the run time is computed from the state before the exit
	}
	if status.State == wire.TaskRunning && task.State != wire.TaskRunning {
		task.RunningSince = now
	}
	task.State = status.State
}

// LeaseExpiryDue reports whether a worker's lease may have expired: the worker has seen this term,
// and this leader has not answered its heartbeats for longer than the lease lasts. It does not
// consider extensions of the lease by other controllers.
func LeaseExpiryDue(machine *cluster.Machine, tokens TokenRange, now time.Duration, timing Timing) bool {
	return machine.FencingToken >= tokens.First && machine.LastAnswered != 0 && !machine.LeaseExpired &&
		now-machine.LastAnswered > timing.LeaseExpiryBound()
}

// RecordLeaseExpiry records that the lease of a silent worker is guaranteed to have expired.
func RecordLeaseExpiry(machine *cluster.Machine) { machine.LeaseExpired = true }

// LostOnLeaseExpiry reports whether a task is lost when its machine's lease expires (case 4 above).
// A task that was placed for a later incarnation is not.
func LostOnLeaseExpiry(machine *cluster.Machine, task *cluster.Task) bool {
	return task.Machine == machine && task.Incarnation <= machine.Incarnation
}
