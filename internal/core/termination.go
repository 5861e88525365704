package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// This file decides when a task is certainly gone, which decides the rules on
// tasks that run twice, teams' limits, places and cancelled work. A placement
// counts in full until one of these:
//
//  1. a newer report of its session shows it ended, or does not show it
//     though the worker has heard this term and no copy of its start can
//     still take effect;
//  2. the worker reports a later session;
//  3. the cloud has confirmed the machine's return;
//  4. the worker has seen this term, and its lease has certainly run out since
//     the last answer that this term, or a controller that was out of its
//     leader's reach, gave it (leaseextension.go). A worker that has not seen this term
//     may still have its lease renewed by a deposed leader.

// reconcileHeartbeat compares a machine's placements with its newest report.
// heardTerm tells that the worker had seen this term when it made it.
func (l *leader) reconcileHeartbeat(machine *cluster.Machine, workerKnowsTerm bool) {
	for _, ref := range machine.Placements {
		task := ref.Task()
		if task.Machine != machine {
			continue // released by an earlier one of its gang
		}
		if task.Incarnation < machine.Incarnation {
			l.recordTaskLost(ref, lossNewIncarnation) // case 2
			continue
		}
		if observed, listed := machine.ReportedAttempt(ref.Name, task.Attempt); listed {
			l.recordTaskState(ref, observed)
			continue
		}
		switch {
		case task.Observed && workerKnowsTerm:
			// It was there and no longer is; nothing forgets it but us, and
			// only after its end.
			l.recordTaskLost(ref, lossNotInHeartbeat)
		case !task.PlacedThisTerm && workerKnowsTerm:
			// Placed under an earlier term and never started: commands of
			// that term have no effect on this worker any more. Case 1.
			l.recordTaskLost(ref, lossNeverStarted)
		case task.PlacedThisTerm && !task.StartRetransmitted && task.Stop != nil:
			l.recordTaskExited(ref, wire.TaskStatus{Cause: wire.CauseStopped})
		}
	}
}

// recordTaskState takes in the state of a task that a report shows.
func (l *leader) recordTaskState(ref cluster.TaskReference, observed wire.TaskStatus) {
	task := &ref.Job.TaskStates[ref.Index]
	if task.PlacedThisTerm && !task.Observed {
		task.Machine.UnreachableSince = 0 // it has heard that start
	}
	task.Observed, task.StartRetransmitted, task.Persisted = true, true, true
	if observed.State == wire.TaskExited {
		l.recordTaskExited(ref, observed) // case 1
		return
	}
	if observed.State == wire.TaskRunning && task.State != wire.TaskRunning {
		task.RunningSince = l.core.now
	}
	task.State = observed.State
	if task.State == wire.TaskRunning {
		l.recordRunning(ref)
	}
}

// expireLease ends the placements of a silent worker once its lease has certainly
// run out: case 4.
func (l *leader) expireLease(m *cluster.Machine) {
	if m.FencingToken < l.leadership.Term || m.LastAnswered == 0 || m.LeaseExpired || l.core.now-m.LastAnswered <= l.leaseExpiryBound() || !l.leaseExpired(m) {
		return
	}
	m.LeaseExpired = true
	l.core.log.Info("worker's lease ran out", "machine", m.Name, "tasks", len(m.Placements))
	for _, p := range m.Placements {
		if t := p.Task(); t.Machine == m && t.Incarnation <= m.Incarnation {
			l.recordTaskLost(p, lossLeaseExpired)
		}
	}
}

// recordMachineTerminated ends everything on a machine that the cloud has taken back:
// case 3.
func (l *leader) recordMachineTerminated(m *cluster.Machine) {
	l.core.log.Info("machine gone", "machine", m.Name)
	for _, p := range m.Placements {
		if p.Task().Machine == m {
			l.recordTaskLost(p, lossMachineTerminated)
		}
	}
	l.dropMachine(m)
}

// recordTaskLost releases a task that is certainly gone without an end of its own.
func (l *leader) recordTaskLost(ref cluster.TaskReference, reason lossReason) {
	l.core.log.Debug("task lost", "task", ref.Name, "machine", ref.Job.TaskStates[ref.Index].Machine.Name, "why", reason)
	gang := ref.Job.Shape == wire.ShapeGang && !ref.Job.TaskStates[ref.Index].Done
	l.unplace(ref.Job, ref.Index)
	if gang {
		l.abortGangAttempt(ref.Job)
	}
}

// recordTaskExited releases a task that has ended, by its cause.
func (l *leader) recordTaskExited(ref cluster.TaskReference, exit wire.TaskStatus) {
	job, i := ref.Job, ref.Index
	task := &job.TaskStates[i]
	machine := task.Machine
	if exit.Cause != wire.CauseDone && exit.Cause != wire.CauseStopped {
		l.core.log.Info("task ended", "task", cluster.TaskName(job.ID, i), "machine", machine.Name, "cause", exit.Cause)
	} else {
		l.core.log.Debug("task ended", "task", cluster.TaskName(job.ID, i), "machine", machine.Name, "cause", exit.Cause)
	}
	switch exit.Cause {
	case wire.CauseDone:
		l.learnRun(job, l.core.now-task.RunningSince, task.RunningSince != 0)
		if task.PlacedThisTerm {
			l.recordSuccess(ref)
		}
		l.markDone(job, i)
		if job.Shape == wire.ShapeGang {
			for k := range job.TaskStates {
				l.markDone(job, k) // a gang completes together
			}
		}
	case wire.CauseError:
		l.recordTaskFailure(job, machine)
	case wire.CauseInsufficientResources, wire.CauseInUse, wire.CauseUnknownTask, wire.CauseGangIncomplete:
		job.RetryAt = l.core.now + l.core.heartbeatInterval()
	}
	l.unplace(job, i)
	if job.Shape == wire.ShapeGang && exit.Cause != wire.CauseDone && !job.IsFinished() {
		l.abortGangAttempt(job)
	}
}

// abortGangAttempt stops what is left of a gang's attempt: the gang starts again as
// a whole, once all of it is gone.
func (l *leader) abortGangAttempt(j *cluster.Job) {
	for i := range j.TaskStates {
		if t := &j.TaskStates[i]; t.Machine != nil && t.Stop == nil {
			l.stopTask(j, i, 0, stopGangAborted)
		}
	}
}
