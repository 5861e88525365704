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

// sendInvalidRequests sends, until a time, random requests that controllers must reject or must
// handle as repeated ones.
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

// randomJob returns a random accepted job for which fits returns true; nil if there is none.
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

// repeatSubmission repeats the submission of an accepted job that is not finished.
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
			u.world.checker.addViolation("forgotten", "%s: repeated submission of an accepted job got status %d", job.id, status)
		}
	})
}

// cancelDoneJob requests the cancellation of a job that is done.
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
			u.world.checker.addViolation("forgotten", "%s: cancellation of a done job got status %d", job.id, status)
		}
	})
}

// submitOversizedJob submits a job that fits on no machine type.
func (u *users) submitOversizedJob() {
	truth := u.newInvalidJob()
	truth.CPUs = 1e6
	u.tryInvalidSubmission(truth.ID, submissionBody(truth), httpstatus.UnprocessableEntity, u.world.now+retryTimeout)
}

// requiredFields are fields that a submission must have.
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
	u.tryInvalidSubmission(truth.ID, encode(fields), httpstatus.BadRequest, u.world.now+retryTimeout)
}

// newInvalidJob returns a small job of an existing team with a new ID. The caller makes it
// invalid.
func (u *users) newInvalidJob() *groundTruth {
	u.invalidCount++
	return newGroundTruth(wire.Job{
		ID: fmt.Sprintf("job-8%05d", u.invalidCount), Class: "web", Team: u.world.settings.Deployment.Teams[0].Name,
		Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 10,
	})
}

// tryInvalidSubmission submits a job that must be rejected with a status. It retries until a time
// if the submission is neither accepted nor rejected.
func (u *users) tryInvalidSubmission(id string, body []byte, want int, until time.Duration) {
	u.pickController().request(userEndpoint, "POST", submissionsPath, body, submitTimeout, func(status int, _ []byte) {
		switch status {
		case want:
			u.checkUnknown(id)
		case httpstatus.OK, httpstatus.Created:
			u.world.checker.addViolation("accepted_impossible", "%s: invalid submission was accepted: %s", id, body)
		case httpstatus.BadRequest, httpstatus.UnprocessableEntity:
			u.world.checker.addViolation("wrong_answer", "%s: invalid submission got status %d, want %d: %s", id, status, want, body)
		default:
			if u.world.now+userRetryDelay < until {
				u.world.after(userRetryDelay, func() { u.tryInvalidSubmission(id, body, want, until) })
			}
		}
	})
}

// checkUnknown checks that a query for a rejected job does not find it.
func (u *users) checkUnknown(id string) {
	u.pickController().request(userEndpoint, "GET", submissionsPath+"/"+id, nil, queryTimeout, func(status int, _ []byte) {
		if status == httpstatus.OK {
			u.world.checker.addViolation("invented", "%s: query found the job though its submission was rejected", id)
		}
	})
}
