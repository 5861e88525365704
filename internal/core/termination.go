package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// Package reconcile decides when a task is confirmed to have terminated; its termination.go lists
// the four cases. This file applies these decisions. No other code calls unplace for a task that
// may have run.

// reconcilePlacements compares a machine's placements with the worker's newest message.
// workerKnowsTerm is true if the worker had seen this term when it sent the message.
func (l *leader) reconcilePlacements(machine *cluster.Machine, workerKnowsTerm bool) {
	for _, placement := range machine.Placements {
		if placement.Task().Machine != machine {
			continue // unplaced earlier in this loop, with its gang
		}
		finding := reconcile.CheckPlacement(machine, placement, workerKnowsTerm)
		switch finding.Outcome {
		case reconcile.Listed:
			l.recordTaskStatus(placement, finding.Status)
		case reconcile.Lost:
			l.recordTaskLost(placement, finding.Loss)
		case reconcile.NeverSent:
			l.recordTaskExited(placement, wire.CauseStopped)
		case reconcile.Unchanged:
		}
	}
}

// recordTaskStatus records the reported state of a task that a worker's message lists.
func (l *leader) recordTaskStatus(placement cluster.TaskReference, status wire.TaskStatus) {
	reconcile.RecordStatus(placement.Task(), status, l.core.now)
	switch status.State {
	case wire.TaskExited:
		l.recordTaskExited(placement, status.Cause) // case 1
	case wire.TaskRunning:
		l.recordRunning(placement)
	case wire.TaskPulling, wire.TaskWaiting, wire.TaskCheckpointing:
	}
}

// expireLease removes the placements of a silent worker once its lease is guaranteed to have
// expired: case 4.
func (l *leader) expireLease(machine *cluster.Machine) {
	if !reconcile.LeaseExpiryDue(machine, l.tokens(), l.core.now, l.core.reconcileTiming()) || !l.leaseExpired(machine) {
		return
	}
	reconcile.RecordLeaseExpiry(machine)
	l.core.log.Info("worker lease expired", "machine", machine.Name, "tasks", len(machine.Placements))
	for _, placement := range machine.Placements {
		if reconcile.LostOnLeaseExpiry(machine, placement.Task()) {
			l.recordTaskLost(placement, reconcile.LossLeaseExpired)
		}
	}
}

// recordMachineTerminated removes all placements on a machine whose return the cloud has confirmed:
// case 3.
func (l *leader) recordMachineTerminated(machine *cluster.Machine) {
	l.core.log.Info("machine terminated", "machine", machine.Name)
	for _, placement := range machine.Placements {
		if placement.Task().Machine == machine {
			l.recordTaskLost(placement, reconcile.LossMachineTerminated)
		}
	}
	l.dropMachine(machine)
}

// recordTaskLost unplaces a task that is confirmed to have terminated without a reported exit.
func (l *leader) recordTaskLost(placement cluster.TaskReference, reason reconcile.LossReason) {
	job, task := placement.Job, placement.Task()
	l.core.log.Info("task lost", "task", placement.Name, "attempt", task.Attempt, "machine", task.Machine.Name, "reason", reason)
	gangBroken := job.Shape == wire.ShapeGang && !task.Done
	l.unplace(job, placement.Index)
	if gangBroken {
		l.abortGangAttempt(job)
	}
}

// recordTaskExited unplaces a task that has exited, and records the result according to the cause.
func (l *leader) recordTaskExited(placement cluster.TaskReference, cause wire.ExitCause) {
	job, task := placement.Job, placement.Task()
	l.logTaskExited(placement, cause)
	switch cause {
	case wire.CauseDone:
		l.recordTaskDone(placement)
	case wire.CauseError:
		l.recordTaskFailure(job, task.Machine)
	case wire.CauseInsufficientResources, wire.CauseInUse, wire.CauseUnknownTask, wire.CauseGangIncomplete:
		job.RetryAt = l.core.now + l.core.heartbeatInterval()
	case wire.CauseStopped, wire.CauseGangMemberLost:
	}
	l.unplace(job, placement.Index)
	if job.Shape == wire.ShapeGang && cause != wire.CauseDone && !job.IsCompleted() {
		l.abortGangAttempt(job)
	}
}

// logTaskExited logs the exit of a task, with the message of the worker that showed it: from then on
// the task may start elsewhere.
func (l *leader) logTaskExited(placement cluster.TaskReference, cause wire.ExitCause) {
	task := placement.Task()
	l.core.log.Info("task exited", "task", placement.Name, "attempt", task.Attempt, "machine", task.Machine.Name, "cause", cause,
		"incarnation", task.Machine.Incarnation, "sequence", task.Machine.Sequence)
}

// recordTaskDone records that a task is done. The tasks of a gang complete together: if one is
// done, all are.
func (l *leader) recordTaskDone(placement cluster.TaskReference) {
	job, task := placement.Job, placement.Task()
	l.recordRunTime(job, task)
	if task.PlacedThisTerm {
		l.recordSuccess(placement)
	}
	l.markDone(job, placement.Index)
	if job.Shape == wire.ShapeGang {
		for i := range job.TaskStates {
			l.markDone(job, i)
		}
	}
}

// abortGangAttempt stops the remaining tasks of a gang. The gang starts again as a whole once all
// its tasks have terminated.
func (l *leader) abortGangAttempt(job *cluster.Job) {
	for i := range job.TaskStates {
		if task := &job.TaskStates[i]; task.Machine != nil && task.Stop == nil {
			l.stopTask(job, i, 0, stopGangAborted)
		}
	}
}
