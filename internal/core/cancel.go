package core

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
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
		c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
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
			c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		case f.final != nil || f.open.rec.Acknowledged():
			c.answer(req, httpstatus.OK, c.statusOf(id, f), 0)
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
	if least || len(kv.Encode(rec)) > c.store.MaxValue() {
		rec, least = rec.Reduced(), true
	}
	c.writeOpen(id, k.version, rec, nil, func(now *openJob, status kv.Status) {
		switch {
		case now != nil:
			c.awaitGone(req, id, now)
		case status == kv.Conflict:
			c.cancel(req, id, tries+1)
		case status == kv.Rejected && !least:
			c.recordCancellation(req, id, k, tries, true)
		default:
			c.answerRetry(req, errorStoreSilent)
		}
	})
}

// writeOpen changes a job's open record; f gets what is known then, or nil.
func (c *Core) writeOpen(id string, version uint64, rec records.Open, also []wire.Cond, f func(k *openJob, status kv.Status)) {
	txn := &wire.Txn{
		If:     append([]wire.Cond{{Key: records.OpenKey(id), Version: version}}, also...),
		Writes: []wire.Write{{Put: records.OpenKey(id), Value: kv.Encode(rec)}},
	}
	c.store.CommitUrgent(txn, func(r kv.TxnResult) {
		if !r.Committed() {
			if r.Status == kv.Conflict {
				delete(c.users.open, id)
			}
			f(nil, r.Status)
			return
		}
		k := &openJob{version: r.Revision, rec: rec}
		c.cacheOpen(id, k)
		f(k, r.Status)
	})
}

// awaitGone has a request wait for the end of a job that is to be cancelled.
func (c *Core) awaitGone(req uint64, id string, k *openJob) {
	if rec, ok := c.users.final[id]; ok {
		c.answer(req, httpstatus.OK, rec.JobStatus(id), 0)
		return
	}
	c.users.cancels.Add(id, k.version, cancellation.RequestID(req), c.now)
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
func (c *Core) askToRetry(id string) { c.answerStopping(c.users.cancels.Dismiss(id)) }

// answerStopping asks users to come back, since tasks of their jobs are being stopped.
func (c *Core) answerStopping(requests []cancellation.RequestID) {
	for _, req := range requests {
		c.answer(uint64(req), httpstatus.ServiceUnavailable, errorBody{errorStopping}, cancelRetry)
	}
}

// answerOver tells users that their job is over.
func (c *Core) answerOver(requests []cancellation.RequestID, status wire.JobStatus) {
	for _, req := range requests {
		c.answer(uint64(req), httpstatus.OK, status, 0)
	}
}

// noteEnd takes in that a job's end is recorded for good.
func (c *Core) noteEnd(e wire.JobEnd) {
	f := records.Final{Status: wire.JobState(e.Status), Tasks: e.Tasks}
	c.cacheFinal(e.ID, f)
	c.answerOver(c.users.cancels.End(e.ID), f.JobStatus(e.ID))
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
	cancels, k := c.users.cancels, c.users.open[id]
	if !cancels.Wanted(id) {
		return
	}
	if k == nil || k.version != cancels.Version(id) || k.rec.Needed {
		// Of a job that others need, the leader's word does not suffice: while
		// it cannot read, more dependents may have come.
		c.askToRetry(id)
		return
	}
	confirmation := cancels.Confirm(id)
	rec := k.rec
	rec.CancelledAt = c.wall
	if len(kv.Encode(rec)) > c.store.MaxValue() {
		rec = rec.Reduced()
	}
	c.writeOpen(id, k.version, rec, []wire.Cond{{Key: election.KeyTerm, Version: termVersion}}, func(k *openJob, _ kv.Status) {
		requests := cancels.Settle(confirmation, k != nil)
		if k == nil {
			c.answerStopping(requests)
			return
		}
		c.answerOver(requests, wire.JobStatus{ID: id, Status: wire.StatusCancelled})
	})
}
