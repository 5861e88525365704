package core

import (
	"strconv"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// commands lists what a worker should be told now. inAnswer marks the answer
// to a report, which is never executed late.
func (l *leader) commands(m *machine, inAnswer bool) []wire.Command {
	cmds := []wire.Command{}
	zero := 0.0
	for _, p := range m.placed {
		name, t := p.name, p.task()
		if t.session != m.session {
			continue
		}
		if !t.seen {
			if t.recorded && t.ours && (t.stop == nil || t.copied) {
				cmds = append(cmds, wire.Command{Verb: wire.VerbStart, Task: name, Attempt: t.attempt})
				t.copied = true
				if t.stop != nil {
					// A copy of the start may still be under way. Starting
					// and stopping it here pins the attempt, so that the
					// copy has no effect when it comes.
					cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: name, Attempt: t.attempt, GraceS: &zero})
				}
			}
			continue
		}
		if t.stop != nil {
			if c := l.stopCommand(name, t); c != nil {
				cmds = append(cmds, *c)
			}
		}
	}
	for _, w := range m.tasks {
		name := w.Task
		if t := m.placedTask(name); t != nil && t.attempt == w.Attempt {
			continue
		}
		if w.State != wire.TaskExited {
			// Nothing here counts on it: a start that was overtaken.
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: name, Attempt: w.Attempt, GraceS: &zero})
			continue
		}
		if l.mayForget(m, name, w.Attempt) {
			cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: name, Attempt: w.Attempt})
		}
	}
	return cmds
}

// mayForget tells whether an exited task may be removed from the worker's
// reports: its outcome is recorded, and no copy of its start can still come,
// which would start it again.
func (l *leader) mayForget(m *machine, name string, attempt uint64) bool {
	if m.doPending[attemptKey(name, attempt)] > 0 || m.token < l.term {
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

// attemptKey names an attempt at a task.
func attemptKey(task string, attempt uint64) string {
	return task + "#" + strconv.FormatUint(attempt, 10)
}

// jobOf is the job of the task with that name.
func jobOf(task string) string {
	if i := strings.IndexByte(task, '/'); i >= 0 {
		return task[:i]
	}
	return task
}

// sendStarts sends recorded starts straight to the workers.
func (l *leader) sendStarts(j *job, starts []placeEntry) {
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

// sendCommands sends a worker its commands at once instead of with the answer to
// its next report.
func (l *leader) sendCommands(m *machine) {
	if m.addr == "" || m.doBusy > 0 || l.c.now < m.doRetry || m.token < l.term || m.returning || !l.ready {
		return
	}
	cmds := l.commands(m, false)
	if len(cmds) == 0 {
		return
	}
	var starts []string
	for _, c := range cmds {
		if c.Verb == wire.VerbStart {
			k := attemptKey(c.Task, c.Attempt)
			m.doPending[k]++
			starts = append(starts, k)
		}
	}
	m.doBusy++
	session := m.session
	body := encode(wire.Orders{Token: l.term, Session: session, Commands: cmds})
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "POST", Path: "/do", Body: body, Timeout: l.c.report()}, func(r Result) {
		m.doBusy--
		if l.deposed {
			return
		}
		known := r.Status == 200 || r.Status == 409 || r.Status == 400 || r.NotSent
		if m.session == session && known {
			for _, k := range starts {
				if m.doPending[k]--; m.doPending[k] <= 0 {
					delete(m.doPending, k)
				}
			}
		}
		if r.Status != 200 && r.Status != 409 {
			m.doRetry = l.c.now + l.c.lease()/2
			return
		}
		l.onDirectReport(m, r.Body)
	})
}

// onDirectReport takes in the state with which a worker answers a direct command
// or a probe.
func (l *leader) onDirectReport(m *machine, body []byte) {
	rep, ok := decodeReport(body)
	if !ok || rep.Machine != m.name {
		return
	}
	if rep.Token > l.term {
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
