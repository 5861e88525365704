package core

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// reconcileTiming returns the durations that reconciliation uses.
func (c *Core) reconcileTiming() reconcile.Timing {
	return reconcile.Timing{
		WorkerLease:       c.workerLease(),
		HeartbeatInterval: c.heartbeatInterval(),
		MaxLeaseExtension: c.membership.MaxExtensionTime(),
	}
}

// handleHeartbeat handles a worker's heartbeat and returns the status and the body of the answer.
// controller is the name of the controller that the worker sent the heartbeat to.
func (l *leader) handleHeartbeat(body []byte, controller string) (int, []byte) {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok {
		return httpstatus.BadRequest, []byte(`{"error":"not a report"}`)
	}
	if heartbeat.FencingToken > l.leadership.Term {
		l.core.stepDown(stepDownWorkerHigherTerm)
		return httpstatus.ServiceUnavailable, []byte("{}")
	}
	if _, ok := l.returnedMachines[heartbeat.Machine]; ok {
		// The cloud has confirmed the machine's return: this is a delayed copy of a heartbeat.
		return httpstatus.ServiceUnavailable, []byte("{}")
	}
	machine := l.getOrAddMachine(heartbeat.Machine)
	if !heartbeat.NewerThan(machine.HeartbeatIncarnation, machine.HeartbeatSequence) {
		// A delayed or repeated copy must not renew the lease or change the machine's state.
		l.core.log.Debug("stale heartbeat rejected", "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation, "sequence", heartbeat.Sequence)
		return httpstatus.ServiceUnavailable, []byte("{}")
	}
	l.recordHeartbeat(machine, heartbeat, controller)
	if heartbeat.NewerThan(machine.Incarnation, machine.Sequence) {
		l.applyStatus(machine, heartbeat)
	}
	commands := []wire.Command{}
	if l.recordsLoaded && heartbeat.Incarnation == machine.Incarnation {
		commands = l.commandsFor(machine)
	}
	l.workerTraffic.recordHeartbeat(machine, len(body))
	return l.answerHeartbeat(machine, commands)
}

// answerHeartbeat returns the status and the body of the answer to a machine's newest heartbeat, given the
// commands for the worker. The leader steps down if its term has no fencing token left for them.
func (l *leader) answerHeartbeat(machine *cluster.Machine, commands []wire.Command) (int, []byte) {
	earlierToken := machine.CommandToken
	message, tokensUsedUp := reconcile.AnswerHeartbeat(machine, commands, l.tokens())
	if tokensUsedUp {
		l.core.stepDown(stepDownTokensUsedUp)
		return httpstatus.ServiceUnavailable, []byte("{}")
	}
	if earlierToken != 0 && message.Token > earlierToken {
		l.workerTraffic.raisedTokens++
	}
	l.workerTraffic.recordMessage(message)
	l.logCommands(machine, inHeartbeatAnswer, message)
	reconcile.RecordAnswer(machine, message.Commands, l.core.now)
	return httpstatus.OK, kv.Encode(wire.CommandList{FencingToken: message.Token, Commands: message.Commands})
}

// recordHeartbeat records that a controller received a heartbeat which is newer than the machine's
// last one.
func (l *leader) recordHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat, controller string) {
	if machine.FirstHeartbeat == 0 {
		l.recordProvisioningLatency(machine)
		l.core.log.Info("first heartbeat from machine", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	reconcile.RecordHeartbeat(machine, heartbeat, controller, l.core.now, l.core.reconcileTiming())
	if controller == l.core.settings.Name {
		l.zoneReachedAt[heartbeat.Zone] = l.core.now
	}
}

// applyStatus applies a worker's newest message: a heartbeat, or its response to a probe or a
// direct command.
func (l *leader) applyStatus(machine *cluster.Machine, status *wire.Heartbeat) {
	if reconcile.RecordIncarnation(machine, status, l.core.now) {
		l.core.log.Info("worker began a new incarnation after lease expiry", "machine", machine.Name, "incarnation", status.Incarnation)
	}
	reconcile.RecordFencingToken(machine, status.FencingToken, l.tokens(), l.core.now)
	l.describe(machine, status.Addr, status.Type, status.Zone, status.Spot)
	if status.PreemptionNoticeS != nil {
		l.recordPreemptionNotice(machine, *status.PreemptionNoticeS)
	}
	reconcile.RecordReportedTasks(machine, status.Tasks)
	l.recordStartedImages(machine)
	if l.recordsLoaded {
		l.reconcilePlacements(machine, status.FencingToken >= l.leadership.FirstToken)
	}
}

// recordPreemptionNotice records that the cloud will reclaim a spot machine after a number of
// seconds.
func (l *leader) recordPreemptionNotice(machine *cluster.Machine, afterS float64) {
	if machine.PreemptionAt == 0 {
		l.core.log.Info("preemption notice received", "machine", machine.Name, "after_s", afterS)
		l.passes.requested = true
	}
	machine.PreemptionAt = l.core.now + config.Seconds(afterS)
}

// recordStartedImages records that the machine has the images of its tasks that have completed
// their image pull.
func (l *leader) recordStartedImages(machine *cluster.Machine) {
	for _, task := range machine.ReportedTasks {
		if task.State != wire.TaskRunning && task.State != wire.TaskWaiting {
			continue
		}
		if job := l.Jobs[cluster.JobIDOf(task.Task)]; job != nil {
			l.recordPulled(machine, job.Image)
			l.recordImageUse(machine, job.Image, job.ImageGB)
		}
	}
}
