package core

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// commandsFor lists what a worker should be told now.
func (l *leader) commandsFor(m *cluster.Machine) []wire.Command {
	commands := []wire.Command{}
	for _, ref := range m.Placements {
		if t := ref.Task(); t.Incarnation == m.Incarnation {
			commands = l.appendPlaced(commands, ref.Name, t)
		}
	}
	for _, listed := range m.ReportedTasks {
		if t := m.PlacementOf(listed.Task); t == nil || t.Attempt != listed.Attempt {
			commands = l.appendUnplaced(commands, m, listed)
		}
	}
	return commands
}

// appendPlaced adds the commands for a task that counts on the machine.
func (l *leader) appendPlaced(commands []wire.Command, name string, task *cluster.Task) []wire.Command {
	if task.Observed {
		if task.Stop != nil {
			if stop := l.stopCommand(name, task); stop != nil {
				commands = append(commands, *stop)
			}
		}
		return commands
	}
	if !task.Persisted || !task.PlacedThisTerm || task.Stop != nil && !task.StartRetransmitted {
		return commands
	}
	task.StartRetransmitted = true
	commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: task.Attempt})
	if task.Stop != nil {
		// A copy of the start may still be under way. Starting and stopping it here
		// pins the attempt, so that the copy has no effect when it comes.
		commands = append(commands, immediateStop(name, task.Attempt))
	}
	return commands
}

// appendUnplaced adds the command for a task that the worker lists and that does not
// count on the machine: a start that was overtaken, or an attempt that is over.
func (l *leader) appendUnplaced(commands []wire.Command, m *cluster.Machine, listed wire.TaskStatus) []wire.Command {
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
func (l *leader) mayForget(machine *cluster.Machine, name string, attempt uint64) bool {
	if machine.UnconfirmedStarts[cluster.AttemptID{Task: name, Attempt: attempt}] > 0 || machine.FencingToken < l.leadership.Term {
		return false
	}
	j := l.Jobs[cluster.JobIDOf(name)]
	if j == nil {
		return true
	}
	for i := range j.PlacementRecords {
		if j.PlacementRecords[i].Dirty || j.PlacementRecords[i].WritePending || j.PlacementRecords[i].VersionUnknown {
			return false
		}
	}
	return !j.EndWritePending
}

// sendStarts sends recorded starts straight to the workers.
func (l *leader) sendStarts(j *cluster.Job, starts []records.PlacedTask) {
	byMachine := map[string]bool{}
	var machines []*cluster.Machine
	for _, start := range starts {
		if m := l.Machines[start.Machine]; m != nil && !byMachine[start.Machine] {
			byMachine[start.Machine] = true
			machines = append(machines, m)
		}
	}
	for _, m := range machines {
		l.sendCommands(m)
	}
}

// mayCommand tells whether direct commands may be sent to a machine now.
func (l *leader) mayCommand(m *cluster.Machine) bool {
	return l.recordsLoaded && m.Address != "" && m.OpenDirectCalls == 0 && l.core.now >= m.DirectRetryAt && m.FencingToken >= l.leadership.Term && !m.Returning
}

// sendCommands sends a worker its commands at once instead of with the answer to
// its next report.
func (l *leader) sendCommands(machine *cluster.Machine) {
	if !l.mayCommand(machine) {
		return
	}
	commands := l.commandsFor(machine)
	if len(commands) == 0 {
		return
	}
	starts := startedAttempts(commands)
	for _, id := range starts {
		machine.UnconfirmedStarts[id]++
	}
	machine.OpenDirectCalls++
	session := machine.Incarnation
	body := kv.Encode(wire.CommandList{FencingToken: l.leadership.Term, Incarnation: session, Commands: commands})
	l.core.call(Call{Destination: DestinationWorker, Addr: machine.Address, Method: "POST", Path: "/do", Body: body, Timeout: l.core.heartbeatInterval()}, func(result Result) {
		machine.OpenDirectCalls--
		if l.steppedDown {
			return
		}
		if machine.Incarnation == session && outcomeKnown(result) {
			machine.SettleDirectStarts(starts)
		}
		if result.Status != httpstatus.OK && result.Status != httpstatus.Conflict {
			machine.DirectRetryAt = l.core.now + l.core.workerLease()/2
			return
		}
		l.handleDirectStatus(machine, result.Body)
	})
}

// startedAttempts names the attempts that commands start.
func startedAttempts(commands []wire.Command) []cluster.AttemptID {
	var attempts []cluster.AttemptID
	for _, c := range commands {
		if c.Verb == wire.VerbStart {
			attempts = append(attempts, cluster.AttemptID{Task: c.Task, Attempt: c.Attempt})
		}
	}
	return attempts
}

// outcomeKnown tells whether direct commands were certainly carried out, or
// certainly not and never will be.
func outcomeKnown(result Result) bool {
	return result.Status == httpstatus.OK || result.Status == httpstatus.Conflict || result.Status == httpstatus.BadRequest || result.NotSent
}

// handleDirectStatus takes in the state with which a worker answers a direct command
// or a probe.
func (l *leader) handleDirectStatus(machine *cluster.Machine, body []byte) {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok || heartbeat.Machine != machine.Name {
		return
	}
	if heartbeat.FencingToken > l.leadership.Term {
		l.core.stepDown(stepDownWorkerHigherTerm)
		return
	}
	machine.LastContact = l.core.now
	l.zoneReachedAt[heartbeat.Zone] = l.core.now
	if machine.Incarnation != 0 && heartbeat.Incarnation > machine.Incarnation {
		machine.NewerIncarnationAt = l.core.now
	}
	if heartbeat.NewerThan(machine.Incarnation, machine.Sequence) {
		l.applyHeartbeat(machine, heartbeat)
	}
}
