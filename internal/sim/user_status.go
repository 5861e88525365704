package sim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// recordStatus handles an answer to a question that was asked at a time, and checks it: it
// may not be older than what any controller had told the user before the question.
func (u *users) recordStatus(job *userJob, body []byte, askedAt time.Duration) {
	var status wire.JobStatus
	if json.Unmarshal(body, &status) != nil {
		return
	}
	job.lastStatus = status
	u.checkStillFinal(job, status.Status, askedAt)
	if job.finalStatus == "" {
		job.toldFinalAt = u.world.now
	}
	switch status.Status {
	case wire.StatusDone:
		u.toldDone(job)
	case wire.StatusCancelled:
		u.toldCancelled(job)
	default:
		u.world.checker.checkOrphaned(job, status.Status)
	}
}

// checkStillFinal checks that a user who was told of a job's end is told the same again.
func (u *users) checkStillFinal(job *userJob, status wire.JobState, askedAt time.Duration) {
	if job.finalStatus == "" || status == job.finalStatus {
		return
	}
	otherEnd := status == wire.StatusDone || status == wire.StatusCancelled
	if otherEnd || askedAt >= min(job.lastAnswerAt, job.toldFinalAt) {
		u.world.checker.addViolation("went_back", "%s: %s after %s", job.id, status, job.finalStatus)
	}
}

func (u *users) toldDone(job *userJob) {
	u.world.checker.checkDone(job)
	first := job.finalStatus == ""
	job.finalStatus = wire.StatusDone
	if first {
		u.checkCancelledDependents(job)
	}
}

func (u *users) toldCancelled(job *userJob) {
	if !u.cancelRequested(job) {
		u.world.checker.addViolation("went_back", "%s: cancelled without its user's request", job.id)
	}
	if job.finalStatus == "" {
		job.toldCancelledAt = u.world.now
	}
	job.finalStatus = wire.StatusCancelled
}

// checkCancelledDependents checks that no job was cancelled with a dependency that is now said
// to be done.
func (u *users) checkCancelledDependents(done *userJob) {
	if done.cancelRequestedAt == 0 {
		return
	}
	for _, id := range u.sortedIDs() {
		job := u.jobs[id]
		if job.finalStatus == wire.StatusCancelled && slices.Contains(u.dependencies(u.world.jobs[id]), done) && !u.cancelRequested(job) {
			u.world.checker.addViolation("went_back", "%s: cancelled with %s, which is done", id, done.id)
		}
	}
}

// dependencies lists all jobs that a job depends on, directly or through others.
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

// cancelRequested reports whether a user asked to cancel a job, or one of its dependencies
// that no user was told to be done.
func (u *users) cancelRequested(job *userJob) bool {
	for _, dependency := range u.dependencies(u.world.jobs[job.id]) {
		if dependency.cancelRequestedAt != 0 && dependency.finalStatus != wire.StatusDone {
			return true
		}
	}
	return job.cancelRequestedAt != 0
}
