package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// Package reconcile decides when a task has certainly terminated, in the four cases that its
// termination.go lists. This file carries it out, and alone calls unplace for a task that may
// have run.

// reconcilePlacements compares a machine's placements with the worker's newest message.
// workerKnowsTerm is whether the worker had seen this term when it sent the message.
func (l *leader) reconcilePlacements(machine *cluster.Machine, workerKnowsTerm bool) {
	for _, placement := range machine.Placements {
		if placement.Task().Machine != machine {
			continue // unplaced on the way, with its gang
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

// recordTaskStatus records the state of a task that a heartbeat lists.
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

// expireLease ends the placements of a silent worker once its lease has certainly expired:
// case 4.
func (l *leader) expireLease(machine *cluster.Machine) {
	if !reconcile.LeaseExpiryDue(machine, l.leadership.Term, l.core.now, l.core.reconcileTiming()) || !l.leaseExpired(machine) {
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

// recordMachineTerminated ends all placements on a machine whose return the cloud has confirmed:
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

// recordTaskLost unplaces a task that has certainly terminated without a reported exit.
func (l *leader) recordTaskLost(placement cluster.TaskReference, reason reconcile.LossReason) {
	job, task := placement.Job, placement.Task()
	l.core.log.Debug("task lost", "task", placement.Name, "machine", task.Machine.Name, "reason", reason)
	gangBroken := job.Shape == wire.ShapeGang && !task.Done
	l.unplace(job, placement.Index)
	if gangBroken {
		l.abortGangAttempt(job)
	}
}

// recordTaskExited unplaces a task that has exited, and records what its cause says.
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

// logTaskExited logs the exit of a task, at level info if it was neither done nor stopped.
func (l *leader) logTaskExited(placement cluster.TaskReference, cause wire.ExitCause) {
	log := l.core.log.Info
	if cause == wire.CauseDone || cause == wire.CauseStopped {
		log = l.core.log.Debug
	}
	log("task exited", "task", placement.Name, "machine", placement.Task().Machine.Name, "cause", cause)
}

// recordTaskDone records that a task is done, or with it its whole gang: a gang completes
// together.
func (l *leader) recordTaskDone(placement cluster.TaskReference) {
	job, task := placement.Job, placement.Task()
	l.learnRun(job, task)
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

// abortGangAttempt stops what is left of a gang's attempt: the gang starts again as a whole, once
// all of it has terminated.
func (l *leader) abortGangAttempt(job *cluster.Job) {
	for i := range job.TaskStates {
		if task := &job.TaskStates[i]; task.Machine != nil && task.Stop == nil {
			l.stopTask(job, i, 0, stopGangAborted)
		}
	}
}
