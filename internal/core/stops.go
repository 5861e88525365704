package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// stopTask asks a task to end. Grace 0 ends it without a save.
func (l *leader) stopTask(j *job, i int, grace float64, why stopReason) {
	t := &j.tasks[i]
	if t.machine == nil || t.stop != nil && (t.stop.grace == 0 || grace > 0) {
		return
	}
	t.stop = &stop{grace: grace, at: l.c.now, hard: grace == 0}
	t.machine.reviewDue = true
	l.c.log.Debug("stop task", "task", taskName(j.ID, i), "machine", t.machine.name, "why", why, "grace_s", grace)
	if !t.recorded || !t.copied {
		// Not recorded yet or never sent: nothing started.
		if t.ours && !t.copied {
			l.release(j, i)
		}
		return
	}
	l.fleet.commandNow[t.machine.name] = true
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
func (l *leader) stopGang(j *job, grace float64, why stopReason) {
	for i := range j.tasks {
		if j.tasks[i].machine != nil {
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
			case t.machine != m: // released by an earlier one
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
func (l *leader) stopIfOver(p taskRef) {
	if p.job.cancellation.Requested() {
		l.stopTask(p.job, p.index, 0, stopCancelled)
	} else if p.job.ended || p.task().done {
		l.stopTask(p.job, p.index, 0, stopJobOver)
	}
}

// checkDeaf notes a machine that does not hear us: its reports arrive all the
// while but a task's start never shows. Reports that were held back and come
// all at once do not tell that.
func (l *leader) checkDeaf(m *machine, t *task) {
	if t.machine == nil || !t.ours || !t.recorded || t.seen || m.deafSince != 0 {
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
func (l *leader) repeatStop(m *machine, p taskRef) {
	s := p.task().stop
	if !s.hard && l.c.now-s.at > 2*time.Duration(s.grace*float64(time.Second)) {
		s.hard = true
		s.grace = 0
		l.fleet.commandNow[m.name] = true
	}
	if l.cancelLate(p.job) && !l.justBack(m, p.job) {
		l.returnMachine(m, drainUnconfirmed)
	}
}

// justBack tells whether a machine with work of a cancelled job reports again since
// a moment ago: the answer to its first report stops the work, the next one
// confirms it. Returned at once, a machine that was cut off lost all that it ran.
// Where the user was told already there is no time for that.
func (l *leader) justBack(m *machine, j *job) bool {
	return !j.cancellation.Acknowledged() && m.heard != 0 && l.c.now-m.reportsSince < 2*l.c.report()
}
