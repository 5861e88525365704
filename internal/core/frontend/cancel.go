package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/submission"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file alone decides when a cancellation is acknowledged to its user. The acknowledgement
// guarantees that no further task of the job starts and that all its tasks terminate within
// cancel_s, even if the leader, the store, machines or several of them fail meanwhile. It is
// therefore sent only when the tasks have already terminated:
//
//   - The cancellation request is recorded in the job's open record. From then on no placement
//     can be recorded, since each placement is conditional on that record.
//   - The leader stops the tasks on all reachable machines and counts each task as running until
//     its termination is certain (package reconcile).
//   - The cancellation is acknowledged when the job's end is recorded. If only the leader cannot
//     reach the store, it is acknowledged when the leader reports that no task is left and its
//     term is confirmed to be still the latest.
//
// A user whose cancellation takes longer than cancellationTimeout is asked to retry, immediately if
// tasks are unreachable.
// Earlier versions acknowledged a cancellation as soon as the request was recorded: if the store
// became unavailable right after that, a new leader could not read which jobs were cancelled, and
// their tasks ran for longer than cancel_s.

// UserRetryPeriod is how long a user retries a request, as defined by the protocol.
const UserRetryPeriod = 60 * time.Second

// maxCancellationRetries limits the retries of recording a cancellation after conflicts.
const maxCancellationRetries = 4

// cancellationTimeout is how long a cancellation may take before its user is asked to retry. It
// exceeds a heartbeat interval because a stop command that cannot be sent immediately goes out
// with the answer to the worker's next heartbeat.
func (f *FrontEnd) cancellationTimeout() time.Duration { return f.heartbeatInterval() * 5 / 4 }

// Cancel cancels a job for a user.
func (f *FrontEnd) Cancel(request RequestID, job string) {
	if !submission.ValidJobID(job) {
		f.host.Refuse(request, NoSuchJob)
		return
	}
	f.cancel(cancelRequest{id: request, job: job})
}

// cancelRequest is a user's request to cancel a job.
type cancelRequest struct {
	id      RequestID
	job     string
	retries int
}

// cancel records a cancellation request and keeps it waiting until the job's tasks have terminated.
func (f *FrontEnd) cancel(request cancelRequest) {
	f.Lookup(request.job, func(result LookupResult) {
		switch {
		case result.Failed || request.retries > maxCancellationRetries:
			f.host.Refuse(request.id, storeUnavailable)
		case !result.exists():
			f.host.Refuse(request.id, NoSuchJob)
		case result.Final != nil || result.Open.Record.CancelAcknowledged():
			f.host.Answer(request.id, httpstatus.OK, f.status(request.job, result))
		case result.Open.Record.Cancelled:
			f.waitForTermination(request, result.Open)
		default:
			f.recordCancellation(request, result.Open)
		}
	})
}

// recordCancellation records the request to cancel a job in the job's open record. If the store
// no longer accepts a record with the whole job description, it writes a reduced one.
func (f *FrontEnd) recordCancellation(request cancelRequest, open *jobcache.OpenJob) {
	record := f.cancelledRecord(open.Record)
	if len(kv.Encode(record)) > f.store.MaxValue() {
		f.recordReducedCancellation(request, open)
		return
	}
	f.writeOpen(request.job, open.Version, record, nil, func(written *jobcache.OpenJob, status kv.Status) {
		if written == nil && status == kv.Rejected {
			f.recordReducedCancellation(request, open)
			return
		}
		f.cancellationWritten(request, written, status)
	})
}

// recordReducedCancellation records the request to cancel a job in a record without the parts of
// the job description that are only needed to run the job.
func (f *FrontEnd) recordReducedCancellation(request cancelRequest, open *jobcache.OpenJob) {
	record := f.cancelledRecord(open.Record).Reduced()
	f.writeOpen(request.job, open.Version, record, nil, func(written *jobcache.OpenJob, status kv.Status) {
		f.cancellationWritten(request, written, status)
	})
}

// cancelledRecord returns an open record with a request, made now, to cancel the job added.
func (f *FrontEnd) cancelledRecord(record records.Open) records.Open {
	record.Cancelled, record.CancelRequestedAt = true, f.host.WallClockMS()
	record.HasDependents = record.HasDependents || mayBeTooLargeToMark(record)
	return record
}

// cancellationWritten handles the outcome of an attempt to record a cancellation request.
func (f *FrontEnd) cancellationWritten(request cancelRequest, written *jobcache.OpenJob, status kv.Status) {
	switch {
	case written != nil:
		f.log.Info("cancellation recorded", "job", request.job, "revision", written.Version)
		f.waitForTermination(request, written)
	case status == kv.Conflict:
		request.retries++
		f.cancel(request)
	default:
		f.host.Refuse(request.id, storeUnavailable)
	}
}

// writeOpen replaces a job's open record if it still has the given version and the further
// conditions hold. done receives the job as written, or nil if it was not written; the status
// tells why.
func (f *FrontEnd) writeOpen(
	job string, version uint64, record records.Open, conditions []wire.Condition,
	done func(written *jobcache.OpenJob, status kv.Status),
) {
	txn := &wire.Txn{
		Conditions: append([]wire.Condition{{Key: records.OpenKey(job), Version: version}}, conditions...),
		Writes:     []wire.Write{{Put: records.OpenKey(job), Value: kv.Encode(record)}},
	}
	f.store.CommitUrgent(txn, func(r kv.TxnResult) {
		if !r.Committed() {
			if r.Status == kv.Conflict {
				f.cache.RemoveOpen(job)
			}
			done(nil, r.Status)
			return
		}
		written := &jobcache.OpenJob{Version: r.Revision, Record: record}
		f.cache.PutOpen(job, written)
		done(written, r.Status)
	})
}

// waitForTermination keeps a request waiting until a job whose cancellation is recorded has ended.
func (f *FrontEnd) waitForTermination(request cancelRequest, open *jobcache.OpenJob) {
	if final, ended := f.cache.Final(request.job); ended {
		f.host.Answer(request.id, httpstatus.OK, final.JobStatus(request.job))
		return
	}
	f.cancellations.Add(request.job, open.Version, request.id, f.host.Now())
	if delayed := f.host.StopTasks(request.job, open); delayed {
		f.askWaitersToRetry(request.job)
	}
}

// askWaitersToRetry asks the users who wait for a job's cancellation to retry.
func (f *FrontEnd) askWaitersToRetry(job string) { f.askToRetry(f.cancellations.TakeWaiters(job)) }

// askToRetry asks users to retry because tasks of their jobs are still being stopped.
func (f *FrontEnd) askToRetry(requests []RequestID) {
	for _, request := range requests {
		f.host.Refuse(request, tasksStillStopping)
	}
}

// answerEnded answers users whose job has ended.
func (f *FrontEnd) answerEnded(requests []RequestID, status wire.JobStatus) {
	for _, request := range requests {
		f.host.Answer(request, httpstatus.OK, status)
	}
}

// JobEnded caches the final record of a job, which is written, and answers the users who wait for
// the job's cancellation.
func (f *FrontEnd) JobEnded(end wire.JobEnd) {
	final := records.Final{Status: wire.JobState(end.Status), Tasks: end.Tasks}
	f.cache.PutFinal(end.ID, final)
	f.answerEnded(f.cancellations.JobEnded(end.ID), final.JobStatus(end.ID))
}

// HandleEnds handles a message about cancelled jobs from the leader, which is another controller.
func (f *FrontEnd) HandleEnds(ends *wire.Ends) {
	for _, end := range ends.Over {
		f.JobEnded(end)
	}
	for _, job := range ends.Held {
		f.askWaitersToRetry(job)
	}
	for _, job := range ends.Gone {
		f.confirmTermination(job, ends.TermVersion)
	}
}

// PendingCancellations lists the recorded cancellations that are not acknowledged yet, sorted by
// job ID.
func (f *FrontEnd) PendingCancellations() []wire.Cancelled {
	var cancelled []wire.Cancelled
	for _, job := range f.cancellations.Jobs() {
		cancelled = append(cancelled, wire.Cancelled{ID: job, Version: f.cancellations.RecordVersion(job)})
	}
	return cancelled
}

// confirmTermination records the acknowledgement of a cancellation, and then sends it, if the
// leader that reported no task left is still the latest one: a later leader may have started
// tasks before the request was recorded.
func (f *FrontEnd) confirmTermination(job string, termVersion uint64) {
	if !f.cancellations.NeedsConfirmation(job) {
		return
	}
	open := f.cache.Open(job)
	if open == nil || open.Version != f.cancellations.RecordVersion(job) || open.Record.HasDependents {
		// The leader's report does not suffice for a job with dependents: while the leader
		// cannot read the store, there may be dependents that it does not know.
		f.askWaitersToRetry(job)
		return
	}
	confirmation := f.cancellations.BeginConfirmation(job)
	termUnchanged := []wire.Condition{{Key: election.KeyTerm, Version: termVersion}}
	f.writeOpen(job, open.Version, f.acknowledgedRecord(open.Record), termUnchanged, func(written *jobcache.OpenJob, _ kv.Status) {
		if written == nil {
			f.askToRetry(f.cancellations.ConfirmationFailed(confirmation))
			return
		}
		f.log.Info("cancellation acknowledged: the leader reports no task left", "job", job, "revision", written.Version, "term_version", termVersion)
		f.answerEnded(f.cancellations.ConfirmationSucceeded(confirmation), wire.JobStatus{ID: job, Status: wire.StatusCancelled})
	})
}

// acknowledgedRecord returns an open record with the time of acknowledgement set to now, reduced
// if it would be too large for the store.
func (f *FrontEnd) acknowledgedRecord(record records.Open) records.Open {
	record.CancelAcknowledgedAt = f.host.WallClockMS()
	if len(kv.Encode(record)) > f.store.MaxValue() {
		return record.Reduced()
	}
	return record
}
