package sim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// recordStatus records the job status in an answer to a request that was sent at askedAt, and
// checks it. The status must not be older than one that any controller reported to the user
// before the request.
func (u *users) recordStatus(job *userJob, body []byte, askedAt time.Duration) {
	var status wire.JobStatus
	if json.Unmarshal(body, &status) != nil {
		return
	}
	job.lastStatus = status
	u.checkStillFinal(job, status.Status, askedAt)
	if job.finalStatus == "" {
		job.finalReportedAt = u.world.now
	}
	switch status.Status {
	case wire.StatusDone:
		u.recordDone(job)
	case wire.StatusCancelled:
		u.recordCancelled(job)
	default:
		u.world.checker.checkOrphaned(job, status.Status)
	}
}

// checkStillFinal checks that no answer contradicts a final status that was reported earlier. An
// unfinished status is allowed in the answer to a request that was sent before that report.
func (u *users) checkStillFinal(job *userJob, status wire.JobState, askedAt time.Duration) {
	if job.finalStatus == "" || status == job.finalStatus {
		return
	}
	otherEnd := status == wire.StatusDone || status == wire.StatusCancelled
	if otherEnd || askedAt >= min(job.lastAnswerAt, job.finalReportedAt) {
		u.world.checker.addViolation("went_back", "%s: status %s reported after final status %s", job.id, status, job.finalStatus)
	}
}

func (u *users) recordDone(job *userJob) {
	u.world.checker.checkDone(job)
	first := job.finalStatus == ""
	job.finalStatus = wire.StatusDone
	if first {
		u.checkCancelledDependents(job)
	}
}

func (u *users) recordCancelled(job *userJob) {
	if !u.cancelRequested(job) {
		u.world.checker.addViolation("went_back", "%s: reported as cancelled though no cancellation was requested", job.id)
	}
	if job.finalStatus == "" {
		job.cancelReportedAt = u.world.now
	}
	job.finalStatus = wire.StatusCancelled
}

// checkCancelledDependents checks that no job was reported as cancelled because of a dependency
// that is now reported as done.
func (u *users) checkCancelledDependents(done *userJob) {
	if done.cancelRequestedAt == 0 {
		return
	}
	for _, id := range u.sortedIDs() {
		job := u.jobs[id]
		if job.finalStatus == wire.StatusCancelled && slices.Contains(u.dependencies(u.world.jobs[id]), done) && !u.cancelRequested(job) {
			u.world.checker.addViolation("went_back", "%s: cancelled because of its dependency %s, which is done", id, done.id)
		}
	}
}

// dependencies returns all submitted jobs that a job depends on, directly or indirectly.
func (u *users) dependencies(truth *groundTruth) []*userJob {
	if len(truth.Dependencies) == 0 {
		return nil
	}
	var found []*userJob
	seen := map[string]bool{truth.ID: true}
	ids := slices.Clone(truth.Dependencies)
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		if job := u.jobs[id]; job != nil && !seen[id] {
			seen[id] = true
			found = append(found, job)
			ids = append(ids, u.world.jobs[id].Dependencies...)
		}
	}
	return found
}

// cancelRequested reports whether the cancellation was requested of a job, or of one of its
// dependencies that has not been reported as done.
func (u *users) cancelRequested(job *userJob) bool {
	for _, dependency := range u.dependencies(u.world.jobs[job.id]) {
		if dependency.cancelRequestedAt != 0 && dependency.finalStatus != wire.StatusDone {
			return true
		}
	}
	return job.cancelRequestedAt != 0
}
