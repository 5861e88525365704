package core

import (
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
		if t.machine != m {
			continue // released by an earlier one of its gang
		}
		if t.session < m.session {
			l.lost(p, lossSession) // case 2
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
			l.lost(p, lossVanished)
		case !t.ours && heardTerm:
			// Placed under an earlier term and never started: commands of
			// that term have no effect on this worker any more. Case 1.
			l.lost(p, lossNeverStarted)
		case t.ours && !t.copied && t.stop != nil:
			l.exited(p, wire.Task{Cause: wire.CauseStopped})
		}
	}
}

// observe takes in the state of a task that a report shows.
func (l *leader) observe(p taskRef, w wire.Task) {
	t := &p.job.tasks[p.index]
	if t.ours && !t.seen {
		t.machine.deafSince = 0 // it has heard that start
	}
	t.seen, t.copied, t.recorded = true, true, true
	if w.State == wire.TaskExited {
		l.exited(p, w) // case 1
		return
	}
	if w.State == wire.TaskRunning && t.state != wire.TaskRunning {
		t.upAt = l.c.now
	}
	t.state = w.State
	if t.state == wire.TaskRunning {
		l.noteRunning(p)
	}
}

// expire ends the placements of a silent worker once its lease has certainly
// run out: case 4.
func (l *leader) expire(m *machine) {
	if m.token < l.mandate.Term || m.answered == 0 || m.lostTerm || l.c.now-m.answered <= l.leaseBound() || !l.leaseOver(m) {
		return
	}
	m.lostTerm = true
	l.c.log.Info("worker's lease ran out", "machine", m.name, "tasks", len(m.placed))
	for _, p := range m.placed {
		if t := p.task(); t.machine == m && t.session <= m.session {
			l.lost(p, lossLease)
		}
	}
}

// machineGone ends everything on a machine that the cloud has taken back:
// case 3.
func (l *leader) machineGone(m *machine) {
	l.c.log.Info("machine gone", "machine", m.name)
	for _, p := range m.placed {
		if p.task().machine == m {
			l.lost(p, lossMachine)
		}
	}
	l.dropMachine(m)
}

// lost releases a task that is certainly gone without an end of its own.
func (l *leader) lost(p taskRef, why lossReason) {
	l.c.log.Debug("task lost", "task", p.name, "machine", p.job.tasks[p.index].machine.name, "why", why)
	gang := p.job.Shape == wire.ShapeGang && !p.job.tasks[p.index].done
	l.release(p.job, p.index)
	if gang {
		l.breakGang(p.job)
	}
}

// exited releases a task that has ended, by its cause.
func (l *leader) exited(p taskRef, w wire.Task) {
	j, i := p.job, p.index
	t := &j.tasks[i]
	m := t.machine
	if w.Cause != wire.CauseDone && w.Cause != wire.CauseStopped {
		l.c.log.Info("task ended", "task", taskName(j.ID, i), "machine", m.name, "cause", w.Cause)
	} else {
		l.c.log.Debug("task ended", "task", taskName(j.ID, i), "machine", m.name, "cause", w.Cause)
	}
	switch w.Cause {
	case wire.CauseDone:
		l.learnRun(j, l.c.now-t.upAt, t.upAt != 0)
		if t.ours {
			l.succeeded(p)
		}
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
		if t := &j.tasks[i]; t.machine != nil && t.stop == nil {
			l.stopTask(j, i, 0, stopGangBroken)
		}
	}
}
