package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
)

// stopTask requests that a task ends. Without a grace period, in seconds, it saves no checkpoint.
func (l *leader) stopTask(job *cluster.Job, index int, gracePeriodS float64, reason stopReason) {
	task := &job.TaskStates[index]
	if task.Machine == nil || task.Stop != nil && (task.Stop.GracePeriodS == 0 || gracePeriodS > 0) {
		return
	}
	task.Stop = &cluster.StopRequest{GracePeriodS: gracePeriodS, RequestedAt: l.core.now, Killed: gracePeriodS == 0}
	task.Machine.NeedsRefresh = true
	l.core.log.Debug("stop task", "task", cluster.TaskName(job.ID, index), "machine", task.Machine.Name, "reason", reason, "grace_s", gracePeriodS)
	if task.Persisted && task.StartSent {
		l.fleet.urgentCommands[task.Machine.Name] = true
		return
	}
	// Not on record yet or never sent: nothing started.
	if task.PlacedThisTerm && !task.StartSent {
		l.unplace(job, index)
	}
}

// stopGang requests that all tasks of a gang end: they have to be told together, or their
// checkpoint fails.
func (l *leader) stopGang(job *cluster.Job, gracePeriodS float64, reason stopReason) {
	for i := range job.TaskStates {
		if job.TaskStates[i].Machine != nil {
			l.stopTask(job, i, gracePeriodS, reason)
		}
	}
}

// tickStops stops the tasks of jobs that have ended, kills tasks that take too long to save a
// checkpoint, and returns machines on which the termination of cancelled tasks is not confirmed.
// It detects machines that commands do not reach.
func (l *leader) tickStops() {
	timing := l.core.reconcileTiming()
	for _, machine := range l.MachinesByName {
		for _, placement := range machine.Placements {
			task := placement.Task()
			switch {
			case task.Machine != machine: // unplaced on the way
			case task.Stop == nil:
				l.stopIfEnded(placement)
				if reconcile.DetectUnreachable(machine, task, l.core.now, timing) {
					l.core.log.Info("machine unreachable for commands", "machine", machine.Name)
				}
			default:
				l.enforceStop(machine, placement)
			}
		}
	}
	l.sendUrgentCommands()
}

// sendUrgentCommands sends commands to the machines that are to have them at once.
func (l *leader) sendUrgentCommands() {
	for _, name := range sortedKeys(l.fleet.urgentCommands) {
		delete(l.fleet.urgentCommands, name)
		if machine := l.Machines[name]; machine != nil {
			l.sendCommands(machine)
		}
	}
}

// stopIfEnded stops a task that is done, or whose job is cancelled or has ended.
func (l *leader) stopIfEnded(placement cluster.TaskReference) {
	job := placement.Job
	if job.Cancellation.Requested() {
		l.stopTask(job, placement.Index, 0, stopCancelled)
	} else if job.EndRecorded || placement.Task().Done {
		l.stopTask(job, placement.Index, 0, stopJobEnded)
	}
}

// enforceStop kills a task that takes too long to save its checkpoint, and returns the machine if
// the termination of a cancelled task is not confirmed in time.
func (l *leader) enforceStop(machine *cluster.Machine, placement cluster.TaskReference) {
	request := placement.Task().Stop
	if reconcile.CheckpointOverdue(request, l.core.now) {
		request.Killed = true
		request.GracePeriodS = 0
		l.fleet.urgentCommands[machine.Name] = true
	}
	job := placement.Job
	if l.cancellationOverdue(job) && !reconcile.JustReconnected(machine, job, l.core.now, l.core.reconcileTiming()) {
		l.returnMachine(machine, cluster.DrainCancellationUnconfirmed)
	}
}
