package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// commandsFor lists what a worker should be told now.
func (l *leader) commandsFor(m *machine) []wire.Command {
	commands := []wire.Command{}
	for _, ref := range m.placements {
		if t := ref.task(); t.incarnation == m.incarnation {
			commands = l.appendPlaced(commands, ref.name, t)
		}
	}
	for _, listed := range m.reportedTasks {
		if t := m.placementOf(listed.Task); t == nil || t.attempt != listed.Attempt {
			commands = l.appendUnplaced(commands, m, listed)
		}
	}
	return commands
}

// appendPlaced adds the commands for a task that counts on the machine.
func (l *leader) appendPlaced(commands []wire.Command, name string, task *task) []wire.Command {
	if task.observed {
		if task.stop != nil {
			if stop := l.stopCommand(name, task); stop != nil {
				commands = append(commands, *stop)
			}
		}
		return commands
	}
	if !task.persisted || !task.placedThisTerm || task.stop != nil && !task.startRetransmitted {
		return commands
	}
	task.startRetransmitted = true
	commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: task.attempt})
	if task.stop != nil {
		// A copy of the start may still be under way. Starting and stopping it here
		// pins the attempt, so that the copy has no effect when it comes.
		commands = append(commands, immediateStop(name, task.attempt))
	}
	return commands
}

// appendUnplaced adds the command for a task that the worker lists and that does not
// count on the machine: a start that was overtaken, or an attempt that is over.
func (l *leader) appendUnplaced(commands []wire.Command, m *machine, listed wire.TaskStatus) []wire.Command {
	if listed.State != wire.TaskExited {
		return append(commands, immediateStop(listed.Task, listed.Attempt))
	}
	if l.mayForget(m, listed.Task, listed.Attempt) {
		return append(commands, wire.Command{Verb: wire.VerbForget, Task: listed.Task, Attempt: listed.Attempt})
	}
	return commands
}

// immediateStop is the command that ends a task without a save.
func immediateStop(name string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Verb: wire.VerbStop, Task: name, Attempt: attempt, GracePeriodS: &grace}
}

// mayForget tells whether an exited task may be removed from the worker's
// reports: its outcome is recorded, and no copy of its start can still come,
// which would start it again.
func (l *leader) mayForget(machine *machine, name string, attempt uint64) bool {
	if machine.unconfirmedStarts[attemptID{name, attempt}] > 0 || machine.fencingToken < l.leadership.Term {
		return false
	}
	j := l.jobs[jobIDOf(name)]
	if j == nil {
		return true
	}
	for i := range j.placementRecords {
		if j.placementRecords[i].dirty || j.placementRecords[i].writePending || j.placementRecords[i].versionUnknown {
			return false
		}
	}
	return !j.endWritePending
}

// attemptID names an attempt at a task.
type attemptID struct {
	task    string
	attempt uint64
}

// jobIDOf is the job of the task with that name.
func jobIDOf(task string) string {
	if i := strings.IndexByte(task, '/'); i >= 0 {
		return task[:i]
	}
	return task
}

// sendStarts sends recorded starts straight to the workers.
func (l *leader) sendStarts(j *job, starts []records.PlacedTask) {
	byMachine := map[string]bool{}
	var machines []*machine
	for _, start := range starts {
		if m := l.machines[start.Machine]; m != nil && !byMachine[start.Machine] {
			byMachine[start.Machine] = true
			machines = append(machines, m)
		}
	}
	for _, m := range machines {
		l.sendCommands(m)
	}
}

// mayCommand tells whether direct commands may be sent to a machine now.
func (l *leader) mayCommand(m *machine) bool {
	return l.recordsLoaded && m.address != "" && m.openDirectCalls == 0 && l.core.now >= m.directRetryAt && m.fencingToken >= l.leadership.Term && !m.returning
}

// sendCommands sends a worker its commands at once instead of with the answer to
// its next report.
func (l *leader) sendCommands(machine *machine) {
	if !l.mayCommand(machine) {
		return
	}
	commands := l.commandsFor(machine)
	if len(commands) == 0 {
		return
	}
	starts := startedAttempts(commands)
	for _, id := range starts {
		machine.unconfirmedStarts[id]++
	}
	machine.openDirectCalls++
	session := machine.incarnation
	body := kv.Encode(wire.CommandList{FencingToken: l.leadership.Term, Incarnation: session, Commands: commands})
	l.core.call(Call{Destination: DestinationWorker, Addr: machine.address, Method: "POST", Path: "/do", Body: body, Timeout: l.core.heartbeatInterval()}, func(result Result) {
		machine.openDirectCalls--
		if l.steppedDown {
			return
		}
		if machine.incarnation == session && outcomeKnown(result) {
			machine.settleDirectStarts(starts)
		}
		if result.Status != httpstatus.OK && result.Status != httpstatus.Conflict {
			machine.directRetryAt = l.core.now + l.core.workerLease()/2
			return
		}
		l.handleDirectStatus(machine, result.Body)
	})
}

// startedAttempts names the attempts that commands start.
func startedAttempts(commands []wire.Command) []attemptID {
	var attempts []attemptID
	for _, c := range commands {
		if c.Verb == wire.VerbStart {
			attempts = append(attempts, attemptID{c.Task, c.Attempt})
		}
	}
	return attempts
}

// outcomeKnown tells whether direct commands were certainly carried out, or
// certainly not and never will be.
func outcomeKnown(result Result) bool {
	return result.Status == httpstatus.OK || result.Status == httpstatus.Conflict || result.Status == httpstatus.BadRequest || result.NotSent
}

// settleDirectStarts notes that no copy of direct starts is under way any more.
func (m *machine) settleDirectStarts(attempts []attemptID) {
	for _, id := range attempts {
		if m.unconfirmedStarts[id]--; m.unconfirmedStarts[id] <= 0 {
			delete(m.unconfirmedStarts, id)
		}
	}
}

// handleDirectStatus takes in the state with which a worker answers a direct command
// or a probe.
func (l *leader) handleDirectStatus(machine *machine, body []byte) {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok || heartbeat.Machine != machine.name {
		return
	}
	if heartbeat.FencingToken > l.leadership.Term {
		l.core.stepDown(stepDownWorkerHigherTerm)
		return
	}
	machine.lastContact = l.core.now
	l.zoneReachedAt[heartbeat.Zone] = l.core.now
	if machine.incarnation != 0 && heartbeat.Incarnation > machine.incarnation {
		machine.newerIncarnationAt = l.core.now
	}
	if heartbeat.NewerThan(machine.incarnation, machine.sequence) {
		l.applyHeartbeat(machine, heartbeat)
	}
}
