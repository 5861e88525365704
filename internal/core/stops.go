package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// stopTask asks a task to end. Grace 0 ends it without a save.
func (l *leader) stopTask(j *job, i int, grace float64, reason stopReason) {
	task := &j.tasks[i]
	if task.machine == nil || task.stop != nil && (task.stop.gracePeriodS == 0 || grace > 0) {
		return
	}
	task.stop = &stopRequest{gracePeriodS: grace, requestedAt: l.core.now, killed: grace == 0}
	task.machine.evaluationStale = true
	l.core.log.Debug("stop task", "task", taskName(j.ID, i), "machine", task.machine.name, "why", reason, "grace_s", grace)
	if !task.persisted || !task.startRetransmitted {
		// Not recorded yet or never sent: nothing started.
		if task.placedThisTerm && !task.startRetransmitted {
			l.unplace(j, i)
		}
		return
	}
	l.fleet.urgentCommands[task.machine.name] = true
}

// stopCommand is the command that stops a task; nil while the worker need not be
// told.
func (l *leader) stopCommand(name string, t *task) *wire.Command {
	grace := t.stop.gracePeriodS
	if t.state == wire.TaskCheckpointing {
		if !t.stop.killed {
			return nil
		}
		grace = 0
	}
	return &wire.Command{Verb: wire.VerbStop, Task: name, Attempt: t.attempt, GracePeriodS: &grace}
}

// stopGang asks all of a gang to end: it has to be told together, or its save
// fails.
func (l *leader) stopGang(j *job, grace float64, reason stopReason) {
	for i := range j.tasks {
		if j.tasks[i].machine != nil {
			l.stopTask(j, i, grace, reason)
		}
	}
}

// tickStops repeats stops that had no effect, ends saves that take too long,
// and returns machines on which cancelled work cannot be confirmed gone.
func (l *leader) tickStops() {
	for _, machine := range l.machinesByName {
		for _, ref := range machine.placements {
			task := ref.task()
			switch {
			case task.machine != machine: // released by an earlier one
			case task.stop == nil:
				l.stopIfEnded(ref)
				l.checkUnreachable(machine, task)
			default:
				l.enforceStop(machine, ref)
			}
		}
	}
	for _, name := range sortedKeys(l.fleet.urgentCommands) {
		delete(l.fleet.urgentCommands, name)
		if machine := l.machines[name]; machine != nil {
			l.sendCommands(machine)
		}
	}
}

// stopIfEnded stops a task of a job that is cancelled or over.
func (l *leader) stopIfEnded(ref taskReference) {
	if ref.job.cancellation.Requested() {
		l.stopTask(ref.job, ref.index, 0, stopCancelled)
	} else if ref.job.endRecorded || ref.task().done {
		l.stopTask(ref.job, ref.index, 0, stopJobEnded)
	}
}

// checkUnreachable notes a machine that does not hear us: its reports arrive all the
// while but a task's start never shows. Reports that were held back and come
// all at once do not tell that.
func (l *leader) checkUnreachable(machine *machine, task *task) {
	if task.machine == nil || !task.placedThisTerm || !task.persisted || task.observed || machine.unreachableSince != 0 {
		return
	}
	heartbeatsArrive := l.core.now-machine.lastHeartbeat < 2*l.core.heartbeatInterval()
	if heartbeatsArrive && l.core.now-max(task.placedAt, machine.regularSince) > 4*l.core.heartbeatInterval() {
		l.core.log.Info("machine does not hear", "machine", machine.name)
		machine.unreachableSince = l.core.now
	}
}

// enforceStop ends a save that takes too long, and returns the machine if the
// end of cancelled work is not confirmed in time.
func (l *leader) enforceStop(machine *machine, ref taskReference) {
	request := ref.task().stop
	if !request.killed && l.core.now-request.requestedAt > 2*time.Duration(request.gracePeriodS*float64(time.Second)) {
		request.killed = true
		request.gracePeriodS = 0
		l.fleet.urgentCommands[machine.name] = true
	}
	if l.cancellationOverdue(ref.job) && !l.justReconnected(machine, ref.job) {
		l.returnMachine(machine, drainCancellationUnconfirmed)
	}
}

// justReconnected tells whether a machine with work of a cancelled job reports again since
// a moment ago: the answer to its first report stops the work, the next one
// confirms it. Returned at once, a machine that was cut off lost all that it ran.
// Where the user was told already there is no time for that.
func (l *leader) justReconnected(m *machine, j *job) bool {
	return !j.cancellation.Acknowledged() && m.lastHeartbeat != 0 && l.core.now-m.regularSince < 2*l.core.heartbeatInterval()
}
