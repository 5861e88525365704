package frontend

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/submission"
	"github.com/brookwalk/brookwalk/wire"
)

// Query answers a user's request for the status of a job.
func (f *FrontEnd) Query(request RequestID, job string) {
	if !submission.ValidJobID(job) {
		f.host.Refuse(request, NoSuchJob)
		return
	}
	f.answerStatus(request, job, NoSuchJob)
}

// answerStatus answers with the status of a job, or with ifNotFound if the job does not exist.
func (f *FrontEnd) answerStatus(request RequestID, job string, ifNotFound Refusal) {
	f.Lookup(job, func(result LookupResult) {
		switch {
		case result.Failed:
			f.host.Refuse(request, storeUnavailable)
		case !result.exists():
			f.host.Refuse(request, ifNotFound)
		default:
			f.host.Answer(request, httpstatus.OK, f.status(job, result))
		}
	})
}

// status returns the status of a job that exists.
func (f *FrontEnd) status(job string, result LookupResult) wire.JobStatus {
	if result.Final != nil {
		return result.Final.JobStatus(job)
	}
	if result.Open.Record.CancelAcknowledged() {
		return wire.JobStatus{ID: job, Status: wire.StatusCancelled}
	}
	count := f.host.TaskCounts(job)
	status := wire.JobStatus{ID: job, Status: wire.StatusPending, Done: count.Done, Running: count.Running}
	if count.Running > 0 {
		status.Status = wire.StatusRunning
	}
	return status
}
