package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
)

// stopTask requests that a task is stopped, with a grace period in seconds; without one, the task
// saves no checkpoint. A task that is already being stopped can only be changed to no grace period.
func (l *leader) stopTask(job *cluster.Job, index int, gracePeriodS float64, reason stopReason) {
	task := &job.TaskStates[index]
	if task.Machine == nil || task.Stop != nil && (task.Stop.GracePeriodS == 0 || gracePeriodS > 0) {
		return
	}
	task.Stop = &cluster.StopRequest{GracePeriodS: gracePeriodS, RequestedAt: l.core.now, Killed: gracePeriodS == 0}
	task.Machine.NeedsRefresh = true
	l.core.log.Debug("task stop requested", "task", cluster.TaskName(job.ID, index), "machine", task.Machine.Name, "reason", reason, "grace_s", gracePeriodS)
	if task.Persisted && task.StartSent {
		l.fleet.urgentCommands[task.Machine.Name] = true
		return
	}
	// The placement is not persisted or the start was never sent. A task placed in this term whose
	// start was not sent has certainly not started.
	if task.PlacedThisTerm && !task.StartSent {
		l.unplace(job, index)
	}
}

// stopGang requests that all tasks of a gang are stopped. They have to be stopped together, because
// otherwise their checkpoint fails.
func (l *leader) stopGang(job *cluster.Job, gracePeriodS float64, reason stopReason) {
	for i := range job.TaskStates {
		if job.TaskStates[i].Machine != nil {
			l.stopTask(job, i, gracePeriodS, reason)
		}
	}
}

// tickStops stops the tasks of jobs that have ended, kills tasks that take too long to save a
// checkpoint, returns machines on which the termination of cancelled tasks is not confirmed in
// time, and detects machines that commands do not reach.
func (l *leader) tickStops() {
	timing := l.core.reconcileTiming()
	for _, machine := range l.MachinesByName {
		for _, placement := range machine.Placements {
			task := placement.Task()
			switch {
			case task.Machine != machine: // unplaced earlier in this loop
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

// sendUrgentCommands sends commands directly to the machines that need them before their next
// heartbeat.
func (l *leader) sendUrgentCommands() {
	for _, name := range sortedKeys(l.fleet.urgentCommands) {
		delete(l.fleet.urgentCommands, name)
		if machine := l.Machines[name]; machine != nil {
			l.sendCommands(machine)
		}
	}
}

// stopIfEnded stops a task that is done or whose job is cancelled or has ended.
func (l *leader) stopIfEnded(placement cluster.TaskReference) {
	job := placement.Job
	if job.Cancellation.Requested() {
		l.stopTask(job, placement.Index, 0, stopCancelled)
	} else if job.EndRecorded || placement.Task().Done {
		l.stopTask(job, placement.Index, 0, stopJobEnded)
	}
}

// enforceStop kills a task that takes too long to save its checkpoint. It returns the machine if
// the termination of a cancelled task is not confirmed in time, except while the machine has just
// reconnected.
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
