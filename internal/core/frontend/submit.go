package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/submission"
	"github.com/brookwalk/brookwalk/wire"
)

// The timeouts leave a margin within the 5 s that users wait for an answer.
const (
	// submissionTimeout is how long a submission may take before its user is asked to retry.
	submissionTimeout = 2 * time.Second
	// longSubmissionTimeout replaces submissionTimeout for a job with more dependencies than
	// a transaction may have writes.
	longSubmissionTimeout = 4 * time.Second
)

// pendingSubmission is a submission that has not been answered yet.
type pendingSubmission struct {
	request   RequestID
	record    records.Open
	expiresAt time.Duration

	dependencies []string // all dependencies that the user named
	unfinished   []string // dependencies that have not ended
	// listWriter writes the unfinished dependencies to list records if they do not fit into the
	// open record; nil otherwise.
	listWriter *dependencylist.Writer
	// cancelled is set if a dependency did not succeed or is being cancelled: this job is then
	// recorded as cancelled.
	cancelled bool
	// separateTxn is set if the submission must not share a transaction with others.
	separateTxn bool
}

// finalRecord returns the final record of a job that is cancelled because of a dependency.
func (s *pendingSubmission) finalRecord() records.Final {
	return records.Final{Status: wire.StatusCancelled, Tasks: s.record.Job.Tasks}
}

// Submit accepts or refuses the job that a body describes. A repeated submission of an accepted
// job is answered with the job's status, never refused as infeasible.
func (f *FrontEnd) Submit(request RequestID, body []byte) {
	job, err := submission.Parse(body)
	if err != nil {
		// A malformed body cannot repeat an accepted submission.
		f.host.Refuse(request, malformed(err))
		return
	}
	if final, ended := f.cache.Final(job.ID); ended {
		f.host.Answer(request, httpstatus.OK, final.JobStatus(job.ID))
		return
	}
	if f.cache.Open(job.ID) != nil {
		f.answerStatus(request, job.ID, storeUnavailable)
		return
	}
	if len(f.host.MachineTypes()) == 0 {
		f.host.Refuse(request, machineTypesUnknown)
		return
	}
	if err := submission.CheckFeasible(job, f.constraints(job.Team)); err != nil {
		// A job that was accepted earlier is answered with its status, even if it is not
		// feasible any more.
		f.answerStatus(request, job.ID, infeasible(err))
		return
	}
	if f.mustShed(len(f.queue)) {
		f.host.Refuse(request, overloaded)
		return
	}
	f.enqueue(f.newPendingSubmission(request, job))
}

// constraints returns the deployment's constraints on the jobs of a team.
func (f *FrontEnd) constraints(team string) submission.Constraints {
	limit, known := f.host.TeamLimit(team)
	return submission.Constraints{
		MachineTypes:   f.host.MachineTypes(),
		TeamKnown:      known,
		Limit:          limit,
		MaxRecordBytes: f.maxNewRecordBytes(),
	}
}

// newPendingSubmission returns the pending submission of a job. Its record has no dependencies
// until recordDependencies adds those that have not ended.
func (f *FrontEnd) newPendingSubmission(request RequestID, job *wire.Job) *pendingSubmission {
	timeout := submissionTimeout
	if len(job.Dependencies) > f.store.MaxWrites() {
		timeout = longSubmissionTimeout
	}
	pending := &pendingSubmission{
		request:      request,
		record:       records.Open{Job: *job, SubmittedAt: f.host.WallClockMS()},
		dependencies: job.Dependencies,
		expiresAt:    f.host.Now() + timeout,
	}
	pending.record.Job.Dependencies = nil
	return pending
}

// enqueue adds a submission to the queue once its dependencies are resolved.
func (f *FrontEnd) enqueue(pending *pendingSubmission) {
	if len(pending.dependencies) > 0 {
		f.resolveDependencies(pending)
		return
	}
	f.queue = append(f.queue, pending)
	f.startSubmissionBatch()
}

// expireSubmissions refuses the queued submissions that have timed out.
func (f *FrontEnd) expireSubmissions() {
	var kept []*pendingSubmission
	for _, pending := range f.queue {
		if f.host.Now() >= pending.expiresAt {
			f.host.Refuse(pending.request, overloaded)
		} else {
			kept = append(kept, pending)
		}
	}
	f.queue = kept
}
