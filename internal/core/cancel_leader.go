package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// The leader's part of cancellations: it stops the tasks, and says when none is left.

// noteCancellation takes in what an open record says of a cancellation.
func (l *leader) noteCancellation(j *job, rec records.Open) {
	ago := func(at int64, skew float64) time.Duration {
		return l.c.now - time.Duration(max(0, l.c.wall-at+int64(skew)))*time.Millisecond
	}
	if rec.Cancelled && !j.cancellation.Requested() {
		l.c.log.Info("job cancelled", "job", j.ID, "told", rec.Acknowledged())
		l.markCancelled(j)
		if rec.AskedAt != 0 {
			j.cancellation.Request(ago(rec.AskedAt, 0))
		}
		var before []string
		l.deps.EachAwaited(j.ID, func(a string) { before = append(before, a) })
		l.recomputeInherited(before)
		l.cancelAfter(j.ID)
	}
	if rec.Acknowledged() {
		// Not from when this leader learns of it, if that is on record.
		at := l.c.now
		if rec.CancelledAt != 0 {
			at = ago(rec.CancelledAt, l.c.cfg.Deployment.SkewMs)
		}
		j.cancellation.Acknowledge(at)
	}
}

// markCancelled has a job end without being done.
func (l *leader) markCancelled(j *job) {
	j.cancellation.Request(l.c.now)
	l.cancelled[j.ID] = j
	l.ending = append(l.ending, j)
	for i := range j.tasks {
		if j.tasks[i].machine != nil {
			l.stopTask(j, i, 0, stopCancelled)
		}
	}
	l.records.dirty = true
}

// noteCancelled takes in the cancellations that another controller has
// recorded, and tells it what has become of the jobs.
func (l *leader) noteCancelled(from string, list []wire.Cancelled) {
	e := wire.Ends{TermVersion: l.mandate.TermVersion}
	for _, x := range list {
		j := l.jobs[x.ID]
		if j != nil && !j.cancellation.Requested() {
			rec := j.rec
			rec.Cancelled, rec.AskedAt = true, l.c.wall
			l.noteOpen(x.ID, max(x.Version, j.version), rec)
		}
		switch f, over := l.c.users.final[x.ID]; {
		case over:
			e.Over = append(e.Over, wire.JobEnd{ID: x.ID, Status: string(f.Status), Tasks: f.Tasks})
		case !l.ready:
		case j == nil:
			// Never heard of, or its end not remembered: in either case no task
			// of it counts, and none can be placed on the record as it is now.
			e.Gone = append(e.Gone, x.ID)
		case l.goneLong(j):
			e.Gone = append(e.Gone, x.ID)
		case l.heldUp(x.ID):
			e.Held = append(e.Held, x.ID)
		}
	}
	if len(e.Over)+len(e.Gone)+len(e.Held) > 0 {
		l.c.send(from, &wire.PeerMessage{Ends: &e})
	}
}

// goneLong tells whether a cancelled job has been without a task for longer
// than it takes to record its end, or cannot have it recorded.
func (l *leader) goneLong(j *job) bool {
	return j.cancellation.GoneFor(l.c.report()/5, l.c.now) || j.cancellation.Gone() && !l.c.store.Available()
}

// heldUp tells whether tasks of a job are on machines out of reach, so that
// their end may take a while.
func (l *leader) heldUp(id string) bool {
	j := l.jobs[id]
	if j == nil {
		return false
	}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && l.c.now-max(m.heard, m.contact) > l.overdueReport() {
			return true
		}
	}
	return false
}

// tickGone tells the other controllers of cancelled jobs that are without a
// task and whose end the leader cannot record.
func (l *leader) tickGone() {
	var e wire.Ends
	for _, id := range sortedKeys(l.cancelled) {
		j := l.cancelled[id]
		j.cancellation.NoteTasks(!j.loaded || j.placed > 0 || l.hasLiveDependents(id), l.c.now)
		if l.goneLong(j) && j.cancellation.Announce() {
			e.Gone = append(e.Gone, id)
		}
	}
	l.sendEnds(e)
}

func (l *leader) sendEnds(e wire.Ends) {
	if len(e.Over)+len(e.Gone) == 0 {
		return
	}
	e.TermVersion = l.mandate.TermVersion
	for _, p := range l.c.cfg.Peers {
		l.c.send(p.Name, &wire.PeerMessage{Ends: &e})
	}
}

// cancelLate tells whether a task of a cancelled job that is not confirmed gone has to go
// with its machine.
func (l *leader) cancelLate(j *job) bool {
	return j.cancellation.Late(l.c.now, l.c.cancelTime(), userPatience)
}
