package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// commands lists what a worker should be told now.
func (l *leader) commands(m *machine) []wire.Command {
	commands := []wire.Command{}
	for _, p := range m.placed {
		if t := p.task(); t.session == m.session {
			commands = l.appendPlaced(commands, p.name, t)
		}
	}
	for _, listed := range m.tasks {
		if t := m.placedTask(listed.Task); t == nil || t.attempt != listed.Attempt {
			commands = l.appendUnplaced(commands, m, listed)
		}
	}
	return commands
}

// appendPlaced adds the commands for a task that counts on the machine.
func (l *leader) appendPlaced(commands []wire.Command, name string, t *task) []wire.Command {
	if t.seen {
		if t.stop != nil {
			if stop := l.stopCommand(name, t); stop != nil {
				commands = append(commands, *stop)
			}
		}
		return commands
	}
	if !t.recorded || !t.ours || t.stop != nil && !t.copied {
		return commands
	}
	t.copied = true
	commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: t.attempt})
	if t.stop != nil {
		// A copy of the start may still be under way. Starting and stopping it here
		// pins the attempt, so that the copy has no effect when it comes.
		commands = append(commands, stopNow(name, t.attempt))
	}
	return commands
}

// appendUnplaced adds the command for a task that the worker lists and that does not
// count on the machine: a start that was overtaken, or an attempt that is over.
func (l *leader) appendUnplaced(commands []wire.Command, m *machine, listed wire.Task) []wire.Command {
	if listed.State != wire.TaskExited {
		return append(commands, stopNow(listed.Task, listed.Attempt))
	}
	if l.mayForget(m, listed.Task, listed.Attempt) {
		return append(commands, wire.Command{Verb: wire.VerbForget, Task: listed.Task, Attempt: listed.Attempt})
	}
	return commands
}

// stopNow is the command that ends a task without a save.
func stopNow(name string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Verb: wire.VerbStop, Task: name, Attempt: attempt, GraceS: &grace}
}

// mayForget tells whether an exited task may be removed from the worker's
// reports: its outcome is recorded, and no copy of its start can still come,
// which would start it again.
func (l *leader) mayForget(m *machine, name string, attempt uint64) bool {
	if m.directStarts[attemptID{name, attempt}] > 0 || m.token < l.mandate.Term {
		return false
	}
	j := l.jobs[jobOf(name)]
	if j == nil {
		return true
	}
	for i := range j.chunks {
		if j.chunks[i].dirty || j.chunks[i].busy || j.chunks[i].stale {
			return false
		}
	}
	return !j.endPending
}

// attemptID names an attempt at a task.
type attemptID struct {
	task    string
	attempt uint64
}

// jobOf is the job of the task with that name.
func jobOf(task string) string {
	if i := strings.IndexByte(task, '/'); i >= 0 {
		return task[:i]
	}
	return task
}

// sendStarts sends recorded starts straight to the workers.
func (l *leader) sendStarts(j *job, starts []records.PlacedTask) {
	byMachine := map[string]bool{}
	var order []*machine
	for _, s := range starts {
		if m := l.machines[s.Machine]; m != nil && !byMachine[s.Machine] {
			byMachine[s.Machine] = true
			order = append(order, m)
		}
	}
	for _, m := range order {
		l.sendCommands(m)
	}
}

// mayCommand tells whether direct commands may be sent to a machine now.
func (l *leader) mayCommand(m *machine) bool {
	return l.ready && m.addr != "" && m.directCalls == 0 && l.c.now >= m.directRetry && m.token >= l.mandate.Term && !m.returning
}

// sendCommands sends a worker its commands at once instead of with the answer to
// its next report.
func (l *leader) sendCommands(m *machine) {
	if !l.mayCommand(m) {
		return
	}
	commands := l.commands(m)
	if len(commands) == 0 {
		return
	}
	starts := startedBy(commands)
	for _, id := range starts {
		m.directStarts[id]++
	}
	m.directCalls++
	session := m.session
	body := kv.Encode(wire.Orders{Token: l.mandate.Term, Session: session, Commands: commands})
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "POST", Path: "/do", Body: body, Timeout: l.c.report()}, func(r Result) {
		m.directCalls--
		if l.deposed {
			return
		}
		if m.session == session && outcomeKnown(r) {
			m.startsEnded(starts)
		}
		if r.Status != httpstatus.OK && r.Status != httpstatus.Conflict {
			m.directRetry = l.c.now + l.c.lease()/2
			return
		}
		l.onDirectReport(m, r.Body)
	})
}

// startedBy names the attempts that commands start.
func startedBy(commands []wire.Command) []attemptID {
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
func outcomeKnown(r Result) bool {
	return r.Status == httpstatus.OK || r.Status == httpstatus.Conflict || r.Status == httpstatus.BadRequest || r.NotSent
}

// startsEnded notes that no copy of direct starts is under way any more.
func (m *machine) startsEnded(attempts []attemptID) {
	for _, id := range attempts {
		if m.directStarts[id]--; m.directStarts[id] <= 0 {
			delete(m.directStarts, id)
		}
	}
}

// onDirectReport takes in the state with which a worker answers a direct command
// or a probe.
func (l *leader) onDirectReport(m *machine, body []byte) {
	rep, ok := decodeReport(body)
	if !ok || rep.Machine != m.name {
		return
	}
	if rep.Token > l.mandate.Term {
		l.c.stepDown(stepDownWorkerKnows)
		return
	}
	m.contact = l.c.now
	l.reached[rep.Zone] = l.c.now
	if m.session != 0 && rep.Session > m.session {
		m.lapsed = l.c.now
	}
	if rep.Newer(m.session, m.seq) {
		l.apply(m, rep)
	}
}
