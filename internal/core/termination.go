package core

import (
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
func (l *leader) reconcileHeartbeat(machine *machine, workerKnowsTerm bool) {
	for _, ref := range machine.placements {
		task := ref.task()
		if task.machine != machine {
			continue // released by an earlier one of its gang
		}
		if task.incarnation < machine.incarnation {
			l.recordTaskLost(ref, lossNewIncarnation) // case 2
			continue
		}
		if observed, listed := machine.reportedAttempt(ref.name, task.attempt); listed {
			l.recordTaskState(ref, observed)
			continue
		}
		switch {
		case task.observed && workerKnowsTerm:
			// It was there and no longer is; nothing forgets it but us, and
			// only after its end.
			l.recordTaskLost(ref, lossNotInHeartbeat)
		case !task.placedThisTerm && workerKnowsTerm:
			// Placed under an earlier term and never started: commands of
			// that term have no effect on this worker any more. Case 1.
			l.recordTaskLost(ref, lossNeverStarted)
		case task.placedThisTerm && !task.startRetransmitted && task.stop != nil:
			l.recordTaskExited(ref, wire.TaskStatus{Cause: wire.CauseStopped})
		}
	}
}

// recordTaskState takes in the state of a task that a report shows.
func (l *leader) recordTaskState(ref taskReference, observed wire.TaskStatus) {
	task := &ref.job.tasks[ref.index]
	if task.placedThisTerm && !task.observed {
		task.machine.unreachableSince = 0 // it has heard that start
	}
	task.observed, task.startRetransmitted, task.persisted = true, true, true
	if observed.State == wire.TaskExited {
		l.recordTaskExited(ref, observed) // case 1
		return
	}
	if observed.State == wire.TaskRunning && task.state != wire.TaskRunning {
		task.runningSince = l.core.now
	}
	task.state = observed.State
	if task.state == wire.TaskRunning {
		l.recordRunning(ref)
	}
}

// expireLease ends the placements of a silent worker once its lease has certainly
// run out: case 4.
func (l *leader) expireLease(m *machine) {
	if m.fencingToken < l.leadership.Term || m.lastAnswered == 0 || m.leaseExpired || l.core.now-m.lastAnswered <= l.leaseExpiryBound() || !l.leaseExpired(m) {
		return
	}
	m.leaseExpired = true
	l.core.log.Info("worker's lease ran out", "machine", m.name, "tasks", len(m.placements))
	for _, p := range m.placements {
		if t := p.task(); t.machine == m && t.incarnation <= m.incarnation {
			l.recordTaskLost(p, lossLeaseExpired)
		}
	}
}

// recordMachineTerminated ends everything on a machine that the cloud has taken back:
// case 3.
func (l *leader) recordMachineTerminated(m *machine) {
	l.core.log.Info("machine gone", "machine", m.name)
	for _, p := range m.placements {
		if p.task().machine == m {
			l.recordTaskLost(p, lossMachineTerminated)
		}
	}
	l.dropMachine(m)
}

// recordTaskLost releases a task that is certainly gone without an end of its own.
func (l *leader) recordTaskLost(ref taskReference, reason lossReason) {
	l.core.log.Debug("task lost", "task", ref.name, "machine", ref.job.tasks[ref.index].machine.name, "why", reason)
	gang := ref.job.Shape == wire.ShapeGang && !ref.job.tasks[ref.index].done
	l.unplace(ref.job, ref.index)
	if gang {
		l.abortGangAttempt(ref.job)
	}
}

// recordTaskExited releases a task that has ended, by its cause.
func (l *leader) recordTaskExited(ref taskReference, exit wire.TaskStatus) {
	job, i := ref.job, ref.index
	task := &job.tasks[i]
	machine := task.machine
	if exit.Cause != wire.CauseDone && exit.Cause != wire.CauseStopped {
		l.core.log.Info("task ended", "task", taskName(job.ID, i), "machine", machine.name, "cause", exit.Cause)
	} else {
		l.core.log.Debug("task ended", "task", taskName(job.ID, i), "machine", machine.name, "cause", exit.Cause)
	}
	switch exit.Cause {
	case wire.CauseDone:
		l.learnRun(job, l.core.now-task.runningSince, task.runningSince != 0)
		if task.placedThisTerm {
			l.recordSuccess(ref)
		}
		l.markDone(job, i)
		if job.Shape == wire.ShapeGang {
			for k := range job.tasks {
				l.markDone(job, k) // a gang completes together
			}
		}
	case wire.CauseError:
		l.recordTaskFailure(job, machine)
	case wire.CauseInsufficientResources, wire.CauseInUse, wire.CauseUnknownTask, wire.CauseGangIncomplete:
		job.retryAt = l.core.now + l.core.heartbeatInterval()
	}
	l.unplace(job, i)
	if job.Shape == wire.ShapeGang && exit.Cause != wire.CauseDone && !job.isFinished() {
		l.abortGangAttempt(job)
	}
}

// abortGangAttempt stops what is left of a gang's attempt: the gang starts again as
// a whole, once all of it is gone.
func (l *leader) abortGangAttempt(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil && t.stop == nil {
			l.stopTask(j, i, 0, stopGangAborted)
		}
	}
}
