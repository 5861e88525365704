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

// cancellationRetryAfter is when a user is asked to come back with a cancellation, in
// seconds.
const cancellationRetryAfter = 2

// userRetryPeriod is for how long a user repeats a request, by the protocol.
const userRetryPeriod = 60 * time.Second

// cancellationTimeout is how long a cancellation may take before its user is asked to
// come back: a stop goes out at once, or else with the worker's next report.
func (c *Core) cancellationTimeout() time.Duration { return c.heartbeatInterval() * 5 / 4 }

// cancelGracePeriod is cancel_s.
func (c *Core) cancelGracePeriod() time.Duration {
	return config.Seconds(c.settings.Deployment.Workers.CancelS)
}

func (c *Core) onCancel(req uint64, id string) {
	if !validJobID(id) {
		c.answerError(req, httpstatus.NotFound, errorNoSuchJob)
		return
	}
	c.cancel(req, id, 0)
}

// cancel records the request to cancel a job, and has the request wait until its
// tasks are gone.
func (c *Core) cancel(requestID uint64, id string, attempts int) {
	c.lookupJob(id, func(result lookupResult) {
		switch {
		case result.failed || attempts > 4:
			c.answerRetry(requestID, errorStoreSilent)
		case result.open == nil && result.final == nil:
			c.answerError(requestID, httpstatus.NotFound, errorNoSuchJob)
		case result.final != nil || result.open.record.Acknowledged():
			c.answer(requestID, httpstatus.OK, c.jobStatus(id, result), 0)
		case result.open.record.Cancelled:
			c.awaitTermination(requestID, id, result.open)
		default:
			c.recordCancellation(requestID, id, result.open, attempts, false)
		}
	})
}

// recordCancellation records that a user wants a job cancelled; least if the service does not
// take the job's whole description any more.
func (c *Core) recordCancellation(requestID uint64, id string, job *cachedJob, attempts int, reduced bool) {
	record := job.record
	record.Cancelled, record.CancelRequestedAt = true, c.wallClockMS
	record.HasDependents = record.HasDependents || mayBeTooLargeToMark(record)
	if reduced || len(kv.Encode(record)) > c.store.MaxValue() {
		record, reduced = record.Reduced(), true
	}
	c.writeOpenRecord(id, job.version, record, nil, func(now *cachedJob, status kv.Status) {
		switch {
		case now != nil:
			c.awaitTermination(requestID, id, now)
		case status == kv.Conflict:
			c.cancel(requestID, id, attempts+1)
		case status == kv.Rejected && !reduced:
			c.recordCancellation(requestID, id, job, attempts, true)
		default:
			c.answerRetry(requestID, errorStoreSilent)
		}
	})
}

// writeOpenRecord changes a job's open record; f gets what is known then, or nil.
func (c *Core) writeOpenRecord(id string, version uint64, record records.Open, conditions []wire.Condition, done func(k *cachedJob, status kv.Status)) {
	txn := &wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.OpenKey(id), Version: version}}, conditions...),
		Writes:     []wire.Write{{Put: records.OpenKey(id), Value: kv.Encode(record)}},
	}
	c.store.CommitUrgent(txn, func(r kv.TxnResult) {
		if !r.Committed() {
			if r.Status == kv.Conflict {
				delete(c.users.openJobs, id)
			}
			done(nil, r.Status)
			return
		}
		k := &cachedJob{version: r.Revision, record: record}
		c.cacheOpen(id, k)
		done(k, r.Status)
	})
}

// awaitTermination has a request wait for the end of a job that is to be cancelled.
func (c *Core) awaitTermination(requestID uint64, id string, job *cachedJob) {
	if rec, ok := c.users.finalRecords[id]; ok {
		c.answer(requestID, httpstatus.OK, rec.JobStatus(id), 0)
		return
	}
	c.users.cancellations.Add(id, job.version, cancellation.RequestID(requestID), c.now)
	switch {
	case c.leader != nil:
		c.leader.applyOpenRecord(id, job.version, job.record)
		if c.leader.terminationDelayed(id) {
			c.askUsersToRetry(id)
		}
	case c.hearsLeader():
		// The leader learns of it by its watch, or, should the state service
		// fail it just now, from us.
		c.sendDigests()
	default:
		c.askUsersToRetry(id)
	}
}

// askUsersToRetry asks those who wait for a cancellation to come back.
func (c *Core) askUsersToRetry(id string) { c.answerStillStopping(c.users.cancellations.Dismiss(id)) }

// answerStillStopping asks users to come back, since tasks of their jobs are being stopped.
func (c *Core) answerStillStopping(requests []cancellation.RequestID) {
	for _, req := range requests {
		c.answer(uint64(req), httpstatus.ServiceUnavailable, errorBody{errorStopping}, cancellationRetryAfter)
	}
}

// answerEnded tells users that their job is over.
func (c *Core) answerEnded(requests []cancellation.RequestID, status wire.JobStatus) {
	for _, req := range requests {
		c.answer(uint64(req), httpstatus.OK, status, 0)
	}
}

// applyEnd takes in that a job's end is recorded for good.
func (c *Core) applyEnd(e wire.JobEnd) {
	f := records.Final{Status: wire.JobState(e.Status), Tasks: e.Tasks}
	c.cacheFinal(e.ID, f)
	c.answerEnded(c.users.cancellations.End(e.ID), f.JobStatus(e.ID))
}

// onEnds takes in the leader's word on jobs.
func (c *Core) onEnds(e *wire.Ends) {
	for _, j := range e.Over {
		c.applyEnd(j)
	}
	for _, id := range e.Held {
		c.askUsersToRetry(id)
	}
	for _, id := range e.Gone {
		c.confirmTermination(id, e.TermVersion)
	}
}

// confirmTermination records that a job's user is told, if the leader who says that no
// task is left is still the latest one: a later one may have started some
// before the request was recorded.
func (c *Core) confirmTermination(id string, termVersion uint64) {
	cancels, job := c.users.cancellations, c.users.openJobs[id]
	if !cancels.NeedsConfirmation(id) {
		return
	}
	if job == nil || job.version != cancels.Version(id) || job.record.HasDependents {
		// Of a job that others need, the leader's word does not suffice: while
		// it cannot read, more dependents may have come.
		c.askUsersToRetry(id)
		return
	}
	confirmation := cancels.Confirm(id)
	record := job.record
	record.CancelAcknowledgedAt = c.wallClockMS
	if len(kv.Encode(record)) > c.store.MaxValue() {
		record = record.Reduced()
	}
	c.writeOpenRecord(id, job.version, record, []wire.Condition{{Key: election.KeyTerm, Version: termVersion}}, func(job *cachedJob, _ kv.Status) {
		requests := cancels.Settle(confirmation, job != nil)
		if job == nil {
			c.answerStillStopping(requests)
			return
		}
		c.answerEnded(requests, wire.JobStatus{ID: id, Status: wire.StatusCancelled})
	})
}
