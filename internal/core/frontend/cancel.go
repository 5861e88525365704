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

// This file alone decides when a cancellation is acknowledged to its user. The acknowledgement is
// a promise that no further task of the job starts and that all of them have terminated within
// cancel_s, whatever fails meanwhile: the leader, the store, machines, or several of them. So it
// is given only when it has come true already:
//
//   - the cancellation request is recorded in the job's open record. From then on no placement
//     can be recorded, since each is conditional on that record;
//   - the leader stops the tasks, wherever they are reachable, and counts each of them until it
//     has certainly terminated (package reconcile);
//   - it is acknowledged when the job's end is recorded, or, where the store fails the leader
//     alone, when the leader says that no task is left and its term is confirmed to be still
//     the latest.
//
// Until then the user is asked to retry, at once where tasks are unreachable. Cancellations were
// once acknowledged as soon as the request was recorded: with the store unavailable a moment later,
// a new leader could not learn of the jobs, and their tasks ran on for longer than cancel_s.

// UserRetryPeriod is how long a user repeats a request, by the protocol.
const UserRetryPeriod = 60 * time.Second

// maxCancellationRetries is how often recording a cancellation is retried after conflicts.
const maxCancellationRetries = 4

// cancellationTimeout is how long a cancellation may take before its user is asked to retry: a
// stop is sent at once, or else with the worker's next heartbeat.
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

// cancel records the request, and lets it wait until the job's tasks have terminated.
func (f *FrontEnd) cancel(request cancelRequest) {
	f.Lookup(request.job, func(result LookupResult) {
		switch {
		case result.Failed || request.retries > maxCancellationRetries:
			f.host.Refuse(request.id, storeUnavailable)
		case !result.found():
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

// recordCancellation records that a user wants a job cancelled. If the store no longer accepts
// the job's whole description, it records the request with a reduced one.
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

// recordReducedCancellation is recordCancellation without the parts of the description that only
// matter to a job that is to run.
func (f *FrontEnd) recordReducedCancellation(request cancelRequest, open *jobcache.OpenJob) {
	record := f.cancelledRecord(open.Record).Reduced()
	f.writeOpen(request.job, open.Version, record, nil, func(written *jobcache.OpenJob, status kv.Status) {
		f.cancellationWritten(request, written, status)
	})
}

// cancelledRecord is an open record with the request to cancel the job now.
func (f *FrontEnd) cancelledRecord(record records.Open) records.Open {
	record.Cancelled, record.CancelRequestedAt = true, f.host.WallClockMS()
	record.HasDependents = record.HasDependents || mayBeUnmarked(record)
	return record
}

// cancellationWritten continues a request to cancel a job after an attempt to record it.
func (f *FrontEnd) cancellationWritten(request cancelRequest, written *jobcache.OpenJob, status kv.Status) {
	switch {
	case written != nil:
		f.waitForTermination(request, written)
	case status == kv.Conflict:
		request.retries++
		f.cancel(request)
	default:
		f.host.Refuse(request.id, storeUnavailable)
	}
}

// writeOpen replaces a job's open record if it has a version and further conditions hold. done
// gets the job as it is known then, or nil and the reason.
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

// waitForTermination lets a request wait for the end of a job whose cancellation is recorded.
func (f *FrontEnd) waitForTermination(request cancelRequest, open *jobcache.OpenJob) {
	if final, ended := f.cache.Final(request.job); ended {
		f.host.Answer(request.id, httpstatus.OK, final.JobStatus(request.job))
		return
	}
	f.cancellations.Add(request.job, open.Version, request.id, f.host.Now())
	if delayed := f.host.StopTasks(request.job, open); delayed {
		f.dismissCancellation(request.job)
	}
}

// dismissCancellation asks those who wait for a job's cancellation to retry.
func (f *FrontEnd) dismissCancellation(job string) { f.refuseStopping(f.cancellations.Dismiss(job)) }

// refuseStopping asks users to retry, since tasks of their jobs are being stopped.
func (f *FrontEnd) refuseStopping(requests []RequestID) {
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

// JobEnded records that a job's final record is written.
func (f *FrontEnd) JobEnded(end wire.JobEnd) {
	final := records.Final{Status: wire.JobState(end.Status), Tasks: end.Tasks}
	f.cache.PutFinal(end.ID, final)
	f.answerEnded(f.cancellations.End(end.ID), final.JobStatus(end.ID))
}

// HandleEnds handles what the leader, another controller, knows of cancelled jobs.
func (f *FrontEnd) HandleEnds(ends *wire.Ends) {
	for _, end := range ends.Over {
		f.JobEnded(end)
	}
	for _, job := range ends.Held {
		f.dismissCancellation(job)
	}
	for _, job := range ends.Gone {
		f.confirmTermination(job, ends.TermVersion)
	}
}

// Cancellations lists the recorded cancellations whose users are not answered, in the order of
// jobs.
func (f *FrontEnd) Cancellations() []wire.Cancelled {
	var cancelled []wire.Cancelled
	for _, job := range f.cancellations.Jobs() {
		cancelled = append(cancelled, wire.Cancelled{ID: job, Version: f.cancellations.Version(job)})
	}
	return cancelled
}

// confirmTermination acknowledges a cancellation, on record first, if the leader who says that no
// task is left is still the latest one: a later one may have started some before the request
// was recorded.
func (f *FrontEnd) confirmTermination(job string, termVersion uint64) {
	if !f.cancellations.NeedsConfirmation(job) {
		return
	}
	open := f.cache.Open(job)
	if open == nil || open.Version != f.cancellations.Version(job) || open.Record.HasDependents {
		// For a job with dependents the leader's statement does not suffice: while it cannot
		// read the store, there may be more dependents.
		f.dismissCancellation(job)
		return
	}
	confirmation := f.cancellations.Confirm(job)
	termUnchanged := []wire.Condition{{Key: election.KeyTerm, Version: termVersion}}
	f.writeOpen(job, open.Version, f.acknowledgedRecord(open.Record), termUnchanged, func(written *jobcache.OpenJob, _ kv.Status) {
		if written == nil {
			f.refuseStopping(f.cancellations.NotConfirmed(confirmation))
			return
		}
		f.answerEnded(f.cancellations.Confirmed(confirmation), wire.JobStatus{ID: job, Status: wire.StatusCancelled})
	})
}

// acknowledgedRecord is the open record of a job whose cancellation is acknowledged now.
func (f *FrontEnd) acknowledgedRecord(record records.Open) records.Open {
	record.CancelAcknowledgedAt = f.host.WallClockMS()
	if len(kv.Encode(record)) > f.store.MaxValue() {
		return record.Reduced()
	}
	return record
}
