package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// stopTask asks a task to end. Grace 0 ends it without a save.
func (l *leader) stopTask(j *cluster.Job, i int, grace float64, reason stopReason) {
	task := &j.TaskStates[i]
	if task.Machine == nil || task.Stop != nil && (task.Stop.GracePeriodS == 0 || grace > 0) {
		return
	}
	task.Stop = &cluster.StopRequest{GracePeriodS: grace, RequestedAt: l.core.now, Killed: grace == 0}
	task.Machine.EvaluationStale = true
	l.core.log.Debug("stop task", "task", cluster.TaskName(j.ID, i), "machine", task.Machine.Name, "why", reason, "grace_s", grace)
	if !task.Persisted || !task.StartRetransmitted {
		// Not recorded yet or never sent: nothing started.
		if task.PlacedThisTerm && !task.StartRetransmitted {
			l.unplace(j, i)
		}
		return
	}
	l.fleet.urgentCommands[task.Machine.Name] = true
}

// stopCommand is the command that stops a task; nil while the worker need not be
// told.
func (l *leader) stopCommand(name string, t *cluster.Task) *wire.Command {
	grace := t.Stop.GracePeriodS
	if t.State == wire.TaskCheckpointing {
		if !t.Stop.Killed {
			return nil
		}
		grace = 0
	}
	return &wire.Command{Verb: wire.VerbStop, Task: name, Attempt: t.Attempt, GracePeriodS: &grace}
}

// stopGang asks all of a gang to end: it has to be told together, or its save
// fails.
func (l *leader) stopGang(j *cluster.Job, grace float64, reason stopReason) {
	for i := range j.TaskStates {
		if j.TaskStates[i].Machine != nil {
			l.stopTask(j, i, grace, reason)
		}
	}
}

// tickStops repeats stops that had no effect, ends saves that take too long,
// and returns machines on which cancelled work cannot be confirmed gone.
func (l *leader) tickStops() {
	for _, machine := range l.MachinesByName {
		for _, ref := range machine.Placements {
			task := ref.Task()
			switch {
			case task.Machine != machine: // released by an earlier one
			case task.Stop == nil:
				l.stopIfEnded(ref)
				l.checkUnreachable(machine, task)
			default:
				l.enforceStop(machine, ref)
			}
		}
	}
	for _, name := range sortedKeys(l.fleet.urgentCommands) {
		delete(l.fleet.urgentCommands, name)
		if machine := l.Machines[name]; machine != nil {
			l.sendCommands(machine)
		}
	}
}

// stopIfEnded stops a task of a job that is cancelled or over.
func (l *leader) stopIfEnded(ref cluster.TaskReference) {
	if ref.Job.Cancellation.Requested() {
		l.stopTask(ref.Job, ref.Index, 0, stopCancelled)
	} else if ref.Job.EndRecorded || ref.Task().Done {
		l.stopTask(ref.Job, ref.Index, 0, stopJobEnded)
	}
}

// checkUnreachable notes a machine that does not hear us: its reports arrive all the
// while but a task's start never shows. Reports that were held back and come
// all at once do not tell that.
func (l *leader) checkUnreachable(machine *cluster.Machine, task *cluster.Task) {
	if task.Machine == nil || !task.PlacedThisTerm || !task.Persisted || task.Observed || machine.UnreachableSince != 0 {
		return
	}
	heartbeatsArrive := l.core.now-machine.LastHeartbeat < 2*l.core.heartbeatInterval()
	if heartbeatsArrive && l.core.now-max(task.PlacedAt, machine.RegularSince) > 4*l.core.heartbeatInterval() {
		l.core.log.Info("machine does not hear", "machine", machine.Name)
		machine.UnreachableSince = l.core.now
	}
}

// enforceStop ends a save that takes too long, and returns the machine if the
// end of cancelled work is not confirmed in time.
func (l *leader) enforceStop(machine *cluster.Machine, ref cluster.TaskReference) {
	request := ref.Task().Stop
	if !request.Killed && l.core.now-request.RequestedAt > 2*time.Duration(request.GracePeriodS*float64(time.Second)) {
		request.Killed = true
		request.GracePeriodS = 0
		l.fleet.urgentCommands[machine.Name] = true
	}
	if l.cancellationOverdue(ref.Job) && !l.justReconnected(machine, ref.Job) {
		l.returnMachine(machine, cluster.DrainCancellationUnconfirmed)
	}
}

// justReconnected tells whether a machine with work of a cancelled job reports again since
// a moment ago: the answer to its first report stops the work, the next one
// confirms it. Returned at once, a machine that was cut off lost all that it ran.
// Where the user was told already there is no time for that.
func (l *leader) justReconnected(m *cluster.Machine, j *cluster.Job) bool {
	return !j.Cancellation.Acknowledged() && m.LastHeartbeat != 0 && l.core.now-m.RegularSince < 2*l.core.heartbeatInterval()
}
