package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// This file alone decides when a user is told that a job is cancelled. The
// answer is a promise that none of its tasks starts any more and that all of
// them are gone within cancel_s, whatever fails meanwhile: the leader, the state
// service, machines, or several of them. So it is given only when it has come
// true already:
//
//   - the cancellation request is recorded in the job's open record. From then on no
//     placement can be recorded, since each is conditional on that record;
//   - the leader stops the tasks, wherever they are reached, and counts each of
//     them until it is certainly gone (gone.go);
//   - the user is told when the job's end is recorded, or, where the state
//     service fails the leader alone, when the leader says that no task is left
//     and its term is confirmed to be still the latest.
//
// Until then the user is asked to come back, at once where tasks are out of
// reach. Users were once told as soon as the request was recorded: with the state
// service gone a moment later, a new leader could not learn of the jobs, and
// their tasks ran on for longer than cancel_s.

// cancelling is a cancellation that is recorded while its user is not told.
type cancelling struct {
	version uint64        // of the open record with the request
	at      time.Duration // a user last asked
	waiting []cancelWaiter
	busy    bool // the confirmation is being recorded
}

// cancelWaiter is a request that waits for a job's tasks to be gone.
type cancelWaiter struct {
	req   uint64
	until time.Duration
}

// cancelRetry is when a user is asked to come back with a cancellation, in
// seconds.
const cancelRetry = 2

// userPatience is for how long a user repeats a request, by the protocol.
const userPatience = 60 * time.Second

// cancelWait is how long a cancellation may take before its user is asked to
// come back: a stop goes out at once, or else with the worker's next report.
func (c *Core) cancelWait() time.Duration { return c.report() * 5 / 4 }

// cancelTime is cancel_s.
func (c *Core) cancelTime() time.Duration {
	return config.Seconds(c.cfg.Deployment.Workers.CancelS)
}

func (c *Core) onCancel(req uint64, id string) {
	if !validID(id) {
		c.answerError(req, statusNotFound, errorNoSuchJob)
		return
	}
	c.cancel(req, id, 0)
}

// cancel records the request to cancel a job, and has the request wait until its
// tasks are gone.
func (c *Core) cancel(req uint64, id string, tries int) {
	c.lookUp(id, func(f lookupResult) {
		switch {
		case f.failed || tries > 4:
			c.answerRetry(req, errorStoreSilent)
		case f.open == nil && f.final == nil:
			c.answerError(req, statusNotFound, errorNoSuchJob)
		case f.final != nil || f.open.rec.Acknowledged():
			c.answer(req, statusOK, c.statusOf(id, f), 0)
		case f.open.rec.Cancelled:
			c.awaitGone(req, id, f.open)
		default:
			c.recordCancellation(req, id, f.open, tries, false)
		}
	})
}

// recordCancellation records that a user wants a job cancelled; least if the service does not
// take the job's whole description any more.
func (c *Core) recordCancellation(req uint64, id string, k *openJob, tries int, least bool) {
	rec := k.rec
	rec.Cancelled, rec.AskedAt = true, c.wall
	rec.Needed = rec.Needed || mayBeUnmarked(rec)
	if least || len(encode(rec)) > c.maxValue() {
		rec, least = rec.Reduced(), true
	}
	c.writeOpen(id, k.version, rec, nil, func(now *openJob, status int) {
		switch {
		case now != nil:
			c.awaitGone(req, id, now)
		case status == statusConflict:
			c.cancel(req, id, tries+1)
		case status == statusBadRequest && !least:
			c.recordCancellation(req, id, k, tries, true)
		default:
			c.answerRetry(req, errorStoreSilent)
		}
	})
}

// writeOpen changes a job's open record; f gets what is known then, or nil.
func (c *Core) writeOpen(id string, version uint64, rec records.Open, also []wire.Cond, f func(k *openJob, status int)) {
	txn := &wire.Txn{
		If:     append([]wire.Cond{{Key: records.OpenKey(id), Version: version}}, also...),
		Writes: []wire.Write{{Put: records.OpenKey(id), Value: encode(rec)}},
	}
	c.commit(txn, true, func(r Result) {
		var tr wire.TxnResult
		if r.Status != statusOK || json.Unmarshal(r.Body, &tr) != nil {
			if r.Status == statusConflict {
				delete(c.users.open, id)
			}
			f(nil, r.Status)
			return
		}
		k := &openJob{version: tr.Revision, rec: rec}
		c.cacheOpen(id, k)
		f(k, r.Status)
	})
}

// awaitGone has a request wait for the end of a job that is to be cancelled.
func (c *Core) awaitGone(req uint64, id string, k *openJob) {
	u := &c.users
	if rec, ok := u.final[id]; ok {
		c.answer(req, statusOK, rec.JobStatus(id), 0)
		return
	}
	x := u.cancels[id]
	if x == nil {
		x = &cancelling{}
		u.cancels[id] = x
	}
	x.version, x.at = max(x.version, k.version), c.now
	x.waiting = append(x.waiting, cancelWaiter{req, c.now + c.cancelWait()})
	switch {
	case c.lead != nil:
		c.lead.noteOpen(id, k.version, k.rec)
		if c.lead.heldUp(id) {
			c.askToRetry(id)
		}
	case c.hearsLeader():
		// The leader learns of it by its watch, or, should the state service
		// fail it just now, from us.
		c.sendDigest()
	default:
		c.askToRetry(id)
	}
}

// askToRetry asks those who wait for a cancellation to come back.
func (c *Core) askToRetry(id string) {
	if x := c.users.cancels[id]; x != nil && !x.busy {
		for _, w := range x.waiting {
			c.answer(w.req, statusUnavailable, errorBody{errorStopping}, cancelRetry)
		}
		x.waiting = nil
	}
}

// noteEnd takes in that a job's end is recorded for good.
func (c *Core) noteEnd(e wire.JobEnd) {
	f := records.Final{Status: wire.JobState(e.Status), Tasks: e.Tasks}
	c.cacheFinal(e.ID, f)
	if x := c.users.cancels[e.ID]; x != nil {
		delete(c.users.cancels, e.ID)
		for _, w := range x.waiting {
			c.answer(w.req, statusOK, f.JobStatus(e.ID), 0)
		}
	}
}

// onEnds takes in the leader's word on jobs.
func (c *Core) onEnds(e *wire.Ends) {
	for _, j := range e.Over {
		c.noteEnd(j)
	}
	for _, id := range e.Held {
		c.askToRetry(id)
	}
	for _, id := range e.Gone {
		c.confirmGone(id, e.TermVersion)
	}
}

// confirmGone records that a job's user is told, if the leader who says that no
// task is left is still the latest one: a later one may have started some
// before the request was recorded.
func (c *Core) confirmGone(id string, termVersion uint64) {
	x, k := c.users.cancels[id], c.users.open[id]
	if x == nil || x.busy || len(x.waiting) == 0 {
		return
	}
	if k == nil || k.version != x.version || k.rec.Needed {
		// Of a job that others need, the leader's word does not suffice: while
		// it cannot read, more dependents may have come.
		c.askToRetry(id)
		return
	}
	x.busy = true
	rec := k.rec
	rec.CancelledAt = c.wall
	if len(encode(rec)) > c.maxValue() {
		rec = rec.Reduced()
	}
	c.writeOpen(id, k.version, rec, []wire.Cond{{Key: election.KeyTerm, Version: termVersion}}, func(k *openJob, status int) {
		x.busy = false
		if c.users.cancels[id] != x {
			return // over meanwhile
		}
		if k == nil {
			c.askToRetry(id)
			return
		}
		delete(c.users.cancels, id)
		for _, w := range x.waiting {
			c.answer(w.req, statusOK, wire.JobStatus{ID: id, Status: wire.StatusCancelled}, 0)
		}
	})
}

// tickCancels asks users to come back whose wait is over, and forgets
// cancellations that nobody has asked about for cancel_s: their request is on
// record.
func (c *Core) tickCancels() {
	u := &c.users
	for _, id := range sortedKeys(u.cancels) {
		x := u.cancels[id]
		for len(x.waiting) > 0 && c.now >= x.waiting[0].until && !x.busy {
			c.answer(x.waiting[0].req, statusUnavailable, errorBody{errorStopping}, cancelRetry)
			x.waiting = x.waiting[1:]
		}
		if len(x.waiting) == 0 && c.now-x.at > c.cancelTime() {
			delete(u.cancels, id)
		}
	}
}

// noteCancellation takes in what an open record says of a cancellation.
func (l *leader) noteCancellation(j *job, rec records.Open) {
	ago := func(at int64, skew float64) time.Duration {
		return l.c.now - time.Duration(max(0, l.c.wall-at+int64(skew)))*time.Millisecond
	}
	if rec.Cancelled && !j.cancelled {
		l.c.log.Info("job cancelled", "job", j.ID, "told", rec.Acknowledged())
		l.markCancelled(j)
		if rec.AskedAt != 0 {
			j.askedAt = ago(rec.AskedAt, 0)
		}
		var before []string
		l.deps.EachAwaited(j.ID, func(a string) { before = append(before, a) })
		l.recomputeInherited(before)
		l.cancelAfter(j.ID)
	}
	if rec.Acknowledged() && !j.acknowledged {
		j.acknowledged = true
		// Not from when this leader learns of it: each of several leaders in
		// a row would take its time anew, and the task run on beyond it.
		j.acknowledgedAt = l.c.now
		if rec.CancelledAt != 0 {
			j.acknowledgedAt = ago(rec.CancelledAt, l.c.cfg.Deployment.SkewMs)
		}
	}
}

// markCancelled has a job end without being done.
func (l *leader) markCancelled(j *job) {
	j.cancelled = true
	j.askedAt = l.c.now
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
		if j != nil && !j.cancelled {
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
	return j.goneAt != 0 && (l.c.now-j.goneAt > l.c.report()/5 || !l.c.storeOK())
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
		switch {
		case !j.loaded || j.placed > 0 || l.hasLiveDependents(id):
			j.goneAt = 0
		case j.goneAt == 0:
			j.goneAt = l.c.now
		}
		if l.goneLong(j) && !j.goneAnnounced {
			j.goneAnnounced = true
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

// cancelLate tells whether a task of a cancelled job that is not confirmed gone
// has to go with its machine. Where the user was told already, as controllers
// of earlier versions do, what is left of cancel_s has to suffice for a change
// of leaders and for the cloud's answer. Else nothing was promised, and a machine
// that runs other work is given the time to come back while the user still asks,
// but for what the cloud's answer takes.
func (l *leader) cancelLate(j *job) bool {
	return j.acknowledged && l.c.now-j.acknowledgedAt > l.c.cancelTime()*3/5 ||
		j.cancelled && l.c.now-j.askedAt > userPatience*4/5
}
