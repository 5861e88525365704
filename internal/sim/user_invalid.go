package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// Bounds of the time between two invalid requests.
const (
	minInvalidInterval   = 500 * time.Millisecond
	invalidIntervalRange = time.Second
)

// sendInvalidRequests sends requests, until a time, that controllers have to refuse or to
// recognize as repeated.
func (u *users) sendInvalidRequests(until time.Duration) {
	if u.world.now >= until {
		return
	}
	u.world.after(minInvalidInterval+u.world.randomDuration(invalidIntervalRange), func() { u.sendInvalidRequests(until) })
	switch u.world.rng.IntN(4) {
	case 0:
		u.repeatSubmission()
	case 1:
		u.cancelDoneJob()
	case 2:
		u.submitOversizedJob()
	case 3:
		u.submitIncompleteJob()
	}
}

// randomJob chooses one of the accepted jobs for which a condition holds; nil if there is none.
func (u *users) randomJob(fits func(*userJob) bool) *userJob {
	var fitting []*userJob
	for _, id := range u.sortedIDs() {
		if job := u.jobs[id]; job.accepted && fits(job) {
			fitting = append(fitting, job)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return fitting[u.world.rng.IntN(len(fitting))]
}

// repeatSubmission submits a job again that is accepted and not finished.
func (u *users) repeatSubmission() {
	job := u.randomJob(func(job *userJob) bool { return job.finalStatus == "" })
	if job == nil {
		return
	}
	askedAt := u.world.now
	u.pickController().request(userEndpoint, "POST", submissionsPath, submissionBody(u.world.jobs[job.id]), submitTimeout, func(status int, body []byte) {
		if status == httpstatus.OK {
			job.lastAnswerAt = u.world.now
			u.recordStatus(job, body, askedAt)
		}
		if status == httpstatus.Created || isRefusal(status) {
			u.world.checker.addViolation("forgotten", "%s: a repeated submission got %d", job.id, status)
		}
	})
}

// cancelDoneJob asks to cancel a job that is done.
func (u *users) cancelDoneJob() {
	job := u.randomJob(func(job *userJob) bool { return job.finalStatus == wire.StatusDone })
	if job == nil {
		return
	}
	u.pickController().request(userEndpoint, "POST", cancelPath(job.id), nil, submitTimeout, func(status int, body []byte) {
		if status == httpstatus.OK {
			u.recordStatus(job, body, u.world.now)
		}
		if isRefusal(status) {
			u.world.checker.addViolation("forgotten", "%s: a cancellation after its end got %d", job.id, status)
		}
	})
}

// submitOversizedJob submits a job that fits no machine.
func (u *users) submitOversizedJob() {
	truth := u.newInvalidJob()
	truth.CPUs = 1e6
	u.tryInvalidSubmission(truth.ID, submissionBody(truth), httpstatus.UnprocessableEntity, u.world.now+requestTimeout)
}

// requiredFields are fields without which a submission is refused.
var requiredFields = []string{
	"nameId", "jobclass", "crew", "shape", "urgency", "shards", "cpus", "accelerators", "memGb",
	"together", "apart", "standby", "bundle", "pullGb", "guessS", "markS", "stowS",
}

// submitIncompleteJob submits a job that lacks a required field.
func (u *users) submitIncompleteJob() {
	truth := u.newInvalidJob()
	var fields map[string]any
	if err := json.Unmarshal(submissionBody(truth), &fields); err != nil {
		panic(err)
	}
	delete(fields, requiredFields[u.world.rng.IntN(len(requiredFields))])
	u.tryInvalidSubmission(truth.ID, encode(fields), httpstatus.BadRequest, u.world.now+requestTimeout)
}

// newInvalidJob is a small job of a team that exists, with an ID of its own. It is valid until
// the caller changes it.
func (u *users) newInvalidJob() *groundTruth {
	u.invalidCount++
	return newGroundTruth(wire.Job{
		ID: fmt.Sprintf("job-8%05d", u.invalidCount), Class: "web", Team: u.world.settings.Deployment.Teams[0].Name,
		Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 10,
	})
}

// tryInvalidSubmission submits a job that must be refused with a status, and again until a time
// if there is no answer.
func (u *users) tryInvalidSubmission(id string, body []byte, want int, until time.Duration) {
	u.pickController().request(userEndpoint, "POST", submissionsPath, body, submitTimeout, func(status int, _ []byte) {
		switch status {
		case want:
			u.checkUnknown(id)
		case httpstatus.OK, httpstatus.Created:
			u.world.checker.addViolation("accepted_impossible", "%s: %s", id, body)
		case httpstatus.BadRequest, httpstatus.UnprocessableEntity:
			u.world.checker.addViolation("wrong_answer", "%s got %d, not %d: %s", id, status, want, body)
		default:
			if u.world.now+userRetryDelay < until {
				u.world.after(userRetryDelay, func() { u.tryInvalidSubmission(id, body, want, until) })
			}
		}
	})
}

// checkUnknown checks that controllers do not know a job that was refused.
func (u *users) checkUnknown(id string) {
	u.pickController().request(userEndpoint, "GET", submissionsPath+"/"+id, nil, queryTimeout, func(status int, _ []byte) {
		if status == httpstatus.OK {
			u.world.checker.addViolation("invented", "%s is known, though it was refused", id)
		}
	})
}
