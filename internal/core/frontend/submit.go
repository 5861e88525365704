package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/submission"
	"github.com/brookwalk/brookwalk/wire"
)

// Users wait 5 s for an answer.
const (
	// submissionTimeout is how long a submission may take before its user is asked to retry.
	submissionTimeout = 2 * time.Second
	// longSubmissionTimeout is submissionTimeout for a job with more dependencies than a
	// transaction has writes.
	longSubmissionTimeout = 4 * time.Second
)

// pendingSubmission is a submission that is not answered yet.
type pendingSubmission struct {
	request   RequestID
	record    records.Open
	expiresAt time.Duration

	dependencies []string // all that the user named
	// unfinished are the dependencies that have not ended.
	unfinished []string
	// list writes the unfinished ones if they do not fit into the record; nil for others.
	list *dependencylist.Writer
	// cancelled: a dependency is cancelled, and so is this job.
	cancelled bool
	// alone: it is not to share a transaction with others.
	alone bool
}

// finalRecord is that of a job which is cancelled with one of its dependencies.
func (s *pendingSubmission) finalRecord() records.Final {
	return records.Final{Status: wire.StatusCancelled, Tasks: s.record.Job.Tasks}
}

// Submit accepts the job that a body describes, or refuses it. A repeated submission of an
// accepted job is never refused.
func (f *FrontEnd) Submit(request RequestID, body []byte) {
	job, err := submission.Parse(body)
	if err != nil {
		// A body that names no valid job is no repeated submission.
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
		f.host.Refuse(request, typesUnknown)
		return
	}
	if err := submission.CheckFeasible(job, f.constraints(job.Team)); err != nil {
		// If it was accepted before, the answer is its status, whatever holds now.
		f.answerStatus(request, job.ID, infeasible(err))
		return
	}
	if f.mustShed(len(f.queue)) {
		f.host.Refuse(request, overloaded)
		return
	}
	f.enqueue(f.newPendingSubmission(request, job))
}

// constraints are what the deployment has for the jobs of a team.
func (f *FrontEnd) constraints(team string) submission.Constraints {
	limit, known := f.host.TeamLimit(team)
	return submission.Constraints{
		MachineTypes:   f.host.MachineTypes(),
		TeamKnown:      known,
		Limit:          limit,
		MaxRecordBytes: f.maxNewRecord(),
	}
}

// newPendingSubmission makes the submission of a job. Its record names the dependencies only
// once those that have not ended are known, see recordDependencies.
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

// enqueue records a submission, after its dependencies are resolved.
func (f *FrontEnd) enqueue(pending *pendingSubmission) {
	if len(pending.dependencies) > 0 {
		f.resolveDependencies(pending)
		return
	}
	f.queue = append(f.queue, pending)
	f.startSubmissionBatch()
}

// expireSubmissions refuses the submissions in the queue that have timed out.
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
