package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// This file decides when a task is certainly gone, which decides the rules on
// tasks that run twice, teams' limits, places and cancelled work. A placement
// counts in full until one of these:
//
//  1. a newer report of its session shows it ended, or does not show it
//     though the worker has heard this term and no copy of its start can
//     still take effect;
//  2. the worker reports a later session;
//  3. the cloud has confirmed the machine's return;
//  4. the worker has seen this term, and its lease has certainly run out since
//     the last answer that this term, or a controller that was out of its
//     leader's reach, gave it (leaseextension.go). A worker that has not seen this term
//     may still have its lease renewed by a deposed leader.

// review compares a machine's placements with its newest report.
// heardTerm tells that the worker had seen this term when it made it.
func (l *leader) review(m *machine, heardTerm bool) {
	for _, p := range m.placed {
		t := p.task()
		if t.m != m {
			continue // released by an earlier one of its gang
		}
		if t.session < m.session {
			l.lost(p, "session") // case 2
			continue
		}
		if w, listed := m.reported(p.name, t.attempt); listed {
			l.observe(p, w)
			continue
		}
		switch {
		case t.seen && heardTerm:
			// It was there and no longer is; nothing forgets it but us, and
			// only after its end.
			l.lost(p, "vanished")
		case !t.ours && heardTerm:
			// Placed under an earlier term and never started: commands of
			// that term have no effect on this worker any more. Case 1.
			l.lost(p, "never started")
		case t.ours && !t.copied && t.stop != nil:
			l.exited(p, wire.Task{Cause: wire.CauseStopped})
		}
	}
}

// observe takes in the state of a task that a report shows.
func (l *leader) observe(p ref, w wire.Task) {
	t := &p.j.tasks[p.i]
	if t.ours && !t.seen {
		t.m.deafSince = 0 // it has heard that start
	}
	t.seen, t.copied, t.recorded = true, true, true
	if w.State == wire.TaskExited {
		l.exited(p, w) // case 1
		return
	}
	if w.State == wire.TaskRunning && t.state != wire.TaskRunning {
		t.upAt = l.c.now
		if t.ours {
			t.m.failed = map[string]bool{} // it can start tasks after all
		}
	}
	t.state = w.State
}

// expire ends the placements of a silent worker once its lease has certainly
// run out: case 4.
func (l *leader) expire(m *machine) {
	if m.token < l.term || m.answered == 0 || m.lostTerm || l.c.now-m.answered <= l.leaseBound() || !l.leaseOver(m) {
		return
	}
	m.lostTerm = true
	l.c.log.Info("worker's lease ran out", "machine", m.name, "tasks", len(m.placed))
	for _, p := range m.placed {
		if t := p.task(); t.m == m && t.session <= m.session {
			l.lost(p, "lease")
		}
	}
}

// machineGone ends everything on a machine that the cloud has taken back:
// case 3.
func (l *leader) machineGone(m *machine) {
	l.c.log.Info("machine gone", "machine", m.name)
	for _, p := range m.placed {
		if p.task().m == m {
			l.lost(p, "machine")
		}
	}
	l.dropMachine(m)
}

// lost releases a task that is certainly gone without an end of its own.
func (l *leader) lost(p ref, why string) {
	l.c.log.Debug("task lost", "task", p.name, "machine", p.j.tasks[p.i].m.name, "why", why)
	gang := p.j.Shape == wire.ShapeGang && !p.j.tasks[p.i].done
	l.release(p.j, p.i)
	if gang {
		l.breakGang(p.j)
	}
}

// exited releases a task that has ended, by its cause.
func (l *leader) exited(p ref, w wire.Task) {
	j, i := p.j, p.i
	t := &j.tasks[i]
	m := t.m
	if w.Cause != wire.CauseDone && w.Cause != wire.CauseStopped {
		l.c.log.Info("task ended", "task", taskName(j.ID, i), "machine", m.name, "cause", w.Cause)
	} else {
		l.c.log.Debug("task ended", "task", taskName(j.ID, i), "machine", m.name, "cause", w.Cause)
	}
	switch w.Cause {
	case wire.CauseDone:
		l.learnRun(j, l.c.now-t.upAt, t.upAt != 0)
		l.markDone(j, i)
		if j.Shape == wire.ShapeGang {
			for k := range j.tasks {
				l.markDone(j, k) // a gang completes together
			}
		}
	case wire.CauseError:
		l.taskFailed(j, m)
	case wire.CauseNoRoom, wire.CauseInUse, wire.CauseUnknown, wire.CauseIncomplete:
		j.retryAt = l.c.now + l.c.report()
	}
	l.release(j, i)
	if j.Shape == wire.ShapeGang && w.Cause != wire.CauseDone && !j.finished() {
		l.breakGang(j)
	}
}

// breakGang stops what is left of a gang's attempt: the gang starts again as
// a whole, once all of it is gone.
func (l *leader) breakGang(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.m != nil && t.stop == nil {
			l.stopTask(j, i, 0, "gang broken")
		}
	}
}

// taskFailed tells a faulty machine from a faulty job: several jobs failing in
// a row on one machine have it cordoned, one job failing on several
// machines has to wait longer and longer. After a first failure a machine is
// only avoided where there is a choice.
func (l *leader) taskFailed(j *job, m *machine) {
	m.failed[j.ID] = true
	j.failOn[m.name] = true
	if len(j.failOn) > 1 {
		j.fails++
		j.retryAt = l.c.now + min(time.Second<<min(j.fails, 6), 2*l.c.lease())
	} else {
		j.retryAt = l.c.now + l.c.report()/5
	}
	if len(m.failed) > 1 {
		l.cordon(m, "fails the tasks it starts")
	}
}

// cordon stops a machine from taking tasks; it is returned once empty. What
// runs there goes on: a machine that fails new tasks may well serve old ones,
// and stopping a replica before another place holds its image costs more.
func (l *leader) cordon(m *machine, why string) {
	if m.drain == "" {
		l.c.log.Info("machine condemned", "machine", m.name, "why", why)
		m.drain = why
	}
}

// stopTask asks a task to end. Grace 0 ends it without a save.
func (l *leader) stopTask(j *job, i int, grace float64, why string) {
	t := &j.tasks[i]
	if t.m == nil || t.stop != nil && (t.stop.grace == 0 || grace > 0) {
		return
	}
	t.stop = &stop{grace: grace, at: l.c.now, why: why, hard: grace == 0}
	l.c.log.Debug("stop task", "task", taskName(j.ID, i), "machine", t.m.name, "why", why, "grace_s", grace)
	if !t.recorded || !t.copied {
		// Not recorded yet or never sent: nothing started.
		if t.ours && !t.copied {
			l.release(j, i)
		}
		return
	}
	l.fleet.commandNow[t.m.name] = true
}

// stopCommand is the command that stops a task; nil while the worker need not be
// told.
func (l *leader) stopCommand(name string, t *task) *wire.Command {
	grace := t.stop.grace
	if t.state == wire.TaskSaving {
		if !t.stop.hard {
			return nil
		}
		grace = 0
	}
	return &wire.Command{Verb: wire.VerbStop, Task: name, Attempt: t.attempt, GraceS: &grace}
}

// stopGang asks all of a gang to end: it has to be told together, or its save
// fails.
func (l *leader) stopGang(j *job, grace float64, why string) {
	for i := range j.tasks {
		if j.tasks[i].m != nil {
			l.stopTask(j, i, grace, why)
		}
	}
}

// tickStops repeats stops that had no effect, ends saves that take too long,
// and returns machines on which cancelled work cannot be confirmed gone.
func (l *leader) tickStops() {
	for _, m := range l.byName {
		for _, p := range m.placed {
			t := p.task()
			switch {
			case t.m != m: // released by an earlier one
			case t.stop == nil:
				l.stopIfOver(p)
				l.checkDeaf(m, t)
			default:
				l.repeatStop(m, p)
			}
		}
	}
	for _, name := range sortedKeys(l.fleet.commandNow) {
		delete(l.fleet.commandNow, name)
		if m := l.machines[name]; m != nil {
			l.sendCommands(m)
		}
	}
}

// stopIfOver stops a task of a job that is cancelled or over.
func (l *leader) stopIfOver(p ref) {
	if p.j.cancelled {
		l.stopTask(p.j, p.i, 0, "cancelled")
	} else if p.j.ended || p.task().done {
		l.stopTask(p.j, p.i, 0, "over")
	}
}

// checkDeaf notes a machine that does not hear us: its reports arrive all the
// while but a task's start never shows. Reports that were held back and come
// all at once do not tell that.
func (l *leader) checkDeaf(m *machine, t *task) {
	if t.m == nil || !t.ours || !t.recorded || t.seen || m.deafSince != 0 {
		return
	}
	reports := l.c.now-m.heard < 2*l.c.report()
	if reports && l.c.now-max(t.placedAt, m.reportsSince) > 4*l.c.report() {
		l.c.log.Info("machine does not hear", "machine", m.name)
		m.deafSince = l.c.now
	}
}

// repeatStop ends a save that takes too long, and returns the machine if the
// end of cancelled work is not confirmed in time.
func (l *leader) repeatStop(m *machine, p ref) {
	s := p.task().stop
	if !s.hard && l.c.now-s.at > 2*time.Duration(s.grace*float64(time.Second)) {
		s.hard = true
		s.grace = 0
		l.fleet.commandNow[m.name] = true
	}
	if l.cancelLate(p.j) && !l.justBack(m, p.j) {
		l.returnMachine(m, "cancelled work is not confirmed gone")
	}
}

// justBack tells whether a machine with work of a cancelled job reports again since
// a moment ago: the answer to its first report stops the work, the next one
// confirms it. Returned at once, a machine that was cut off lost all that it ran.
// Where the user was told already there is no time for that.
func (l *leader) justBack(m *machine, j *job) bool {
	return !j.told && m.heard != 0 && l.c.now-m.reportsSince < 2*l.c.report()
}
