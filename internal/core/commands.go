package core

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// commandsFor returns the commands to send to a worker now.
func (l *leader) commandsFor(machine *cluster.Machine) []wire.Command {
	return reconcile.Commands(machine, l.Jobs, l.tokens())
}

// tokens returns the fencing tokens of this term.
func (l *leader) tokens() reconcile.TokenRange {
	return reconcile.TokenRange{First: l.leadership.FirstToken, Last: l.leadership.Term}
}

// sendStarts sends the start commands of tasks whose placements are recorded directly to the
// workers.
func (l *leader) sendStarts(starts []records.PlacedTask) {
	seen := map[string]bool{}
	var machines []*cluster.Machine
	for _, start := range starts {
		if machine := l.Machines[start.Machine]; machine != nil && !seen[start.Machine] {
			seen[start.Machine] = true
			machines = append(machines, machine)
		}
	}
	for _, machine := range machines {
		l.sendCommands(machine)
	}
}

// sendCommands sends a worker its commands immediately, instead of with the answer to its next
// heartbeat.
func (l *leader) sendCommands(machine *cluster.Machine) {
	if !l.recordsLoaded || !reconcile.CanCallDirectly(machine, l.tokens(), l.core.now) {
		return
	}
	message := reconcile.DirectMessage(machine, l.commandsFor(machine), l.tokens())
	if len(message.Commands) == 0 {
		return
	}
	l.logCommands(machine, inDirectCall, message)
	l.workerTraffic.directCalls++
	l.workerTraffic.recordMessage(message)
	call := reconcile.BeginDirectCall(machine, message.Commands)
	l.callWorker(machine, machine.Incarnation, message, func(result Result) {
		call.End()
		if l.steppedDown {
			return
		}
		if outcomeKnown(result) {
			call.SettleStarts()
		}
		if !commandsAnswered(result) {
			l.workerTraffic.unansweredCalls++
			call.Fail(l.core.now, l.core.reconcileTiming())
			return
		}
		if result.Status == httpstatus.Conflict {
			l.workerTraffic.refusedCalls++
		}
		l.handleDirectStatus(machine, result.Body)
	})
}

// callWorker sends a message to an incarnation of a worker.
func (l *leader) callWorker(machine *cluster.Machine, incarnation uint64, message reconcile.Message, done func(Result)) {
	list := wire.CommandList{FencingToken: message.Token, Incarnation: incarnation, Commands: message.Commands}
	l.core.call(Call{
		Destination: DestinationWorker,
		Address:     machine.Address,
		Method:      "POST",
		Path:        "/do",
		Body:        kv.Encode(list),
		Timeout:     l.core.heartbeatInterval(),
	}, done)
}

// commandsAnswered reports whether a worker has responded to direct commands with its state.
func commandsAnswered(result Result) bool {
	return result.Status == httpstatus.OK || result.Status == httpstatus.Conflict
}

// outcomeKnown reports whether direct commands are known to have been executed, or known never to
// be executed.
func outcomeKnown(result Result) bool {
	return commandsAnswered(result) || result.Status == httpstatus.BadRequest || result.NotSent
}

// handleDirectStatus handles the state in a worker's response to a direct command or a probe.
func (l *leader) handleDirectStatus(machine *cluster.Machine, body []byte) {
	status, ok := decodeHeartbeat(body)
	if !ok || status.Machine != machine.Name {
		return
	}
	if status.FencingToken > l.leadership.Term {
		l.core.stepDown(stepDownWorkerHigherTerm)
		return
	}
	l.zoneReachedAt[status.Zone] = l.core.now
	reconcile.RecordDirectStatus(machine, status, l.core.now)
	if status.NewerThan(machine.Incarnation, machine.Sequence) {
		l.applyStatus(machine, status)
	}
}
