package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// users simulates the people who submit, query and cancel jobs, and the load balancer in front
// of the controllers.
type users struct {
	world        *World
	jobs         map[string]*userJob
	unsubmitted  map[string]*groundTruth // jobs whose submission waits for their dependencies, by ID
	invalidCount int                     // invalid jobs that were submitted

	pollStormUntil  time.Duration // until then users poll pollStormFactor times as often
	pollStormFactor float64
}

// userJob is what the user of a job has learned from answers. Times of events that have not
// happened are 0.
type userJob struct {
	id                   string
	submittedImmediately bool // without waiting for the job's dependencies

	accepted        bool
	acceptedAt      time.Duration
	rejectionStatus int // HTTP status of a rejection; 0 for none
	// unavailableBefore is World.unavailableTime at the first attempt to submit the job.
	unavailableBefore time.Duration
	// excusedByOutage means that the submission was not answered because no user could be
	// served for nearly all of the time in which the submission was retried.
	excusedByOutage bool

	lastStatus   wire.JobStatus
	lastAnswerAt time.Duration

	finalStatus       wire.JobState // empty until the user is told that the job is finished
	finalReportedAt   time.Duration
	cancelRequestedAt time.Duration
	cancelReportedAt  time.Duration
}

// Timing of users' requests and retries.
const (
	retryTimeout            = 60 * time.Second // for how long a request is retried
	submitTimeout           = 5 * time.Second  // of one attempt to submit or cancel a job
	queryTimeout            = 2 * time.Second
	userRetryDelay          = time.Second
	maxRetryDelay           = 30 * time.Second // limits the delay that an answer asks for
	pollInterval            = 5 * time.Second
	dependencyCheckInterval = 50 * time.Millisecond // for the dependencies of an unsubmitted job
	// minExcusingOutage is how long users must have been without service while a submission was
	// retried for a missing answer to be excused.
	minExcusingOutage = 50 * time.Second
)

func newUsers(world *World) *users {
	return &users{world: world, jobs: map[string]*userJob{}, unsubmitted: map[string]*groundTruth{}}
}

func (u *users) sortedIDs() []string { return slices.Sorted(maps.Keys(u.jobs)) }

// probeTimeout is the time after which the load balancer detects that a controller does not answer
// its health probes.
const probeTimeout = 3 * time.Second

// pickController chooses a random controller that the load balancer considers healthy, or the
// first controller if none is.
func (u *users) pickController() *controller {
	var up []*controller
	for _, c := range u.world.controllers {
		isPaused := u.world.now < c.pausedUntil && u.world.now-c.pausedAt > probeTimeout
		if c.alive && !isPaused {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return u.world.controllers[0]
	}
	return up[u.world.rng.IntN(len(up))]
}

// submitTime is when a user submits a job with dependencies.
type submitTime int

const (
	submitWhenAccepted submitTime = iota // once all dependencies are accepted
	submitWhenFinished                   // once all dependencies are finished
	submitImmediately
)

// submit submits a job at the time that the parameter when defines, and polls its status until it
// is finished.
func (u *users) submit(truth *groundTruth, when submitTime) {
	if when != submitImmediately && !u.canSubmit(truth, when) {
		u.unsubmitted[truth.ID] = truth
		u.world.after(dependencyCheckInterval, func() { u.submit(truth, when) })
		return
	}
	delete(u.unsubmitted, truth.ID)
	u.world.jobs[truth.ID] = truth
	job := &userJob{id: truth.ID, submittedImmediately: when == submitImmediately, unavailableBefore: u.world.unavailableTime()}
	u.jobs[truth.ID] = job
	truth.submittedAt = u.world.now
	u.trySubmit(job, truth, u.world.now+retryTimeout)
}

// canSubmit reports whether the dependencies of a job allow its submission now.
func (u *users) canSubmit(truth *groundTruth, when submitTime) bool {
	for _, id := range truth.Dependencies {
		job := u.jobs[id]
		if job == nil || !job.accepted || when == submitWhenFinished && job.finalStatus == "" {
			return false
		}
	}
	return true
}

// neverSubmitted reports whether a job will never be submitted because the submission of a
// direct or indirect dependency got no answer.
func (u *users) neverSubmitted(truth *groundTruth) bool {
	for _, id := range truth.Dependencies {
		if job := u.jobs[id]; job != nil && job.excusedByOutage {
			return true
		}
		if waiting := u.unsubmitted[id]; waiting != nil && u.neverSubmitted(waiting) {
			return true
		}
	}
	return false
}

// submissionBody returns the body of a job's submission. It always contains the fields that are
// optional in stored records but required in submissions.
func submissionBody(truth *groundTruth) []byte {
	return encode(struct {
		wire.Job
		OneZone bool `json:"together"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"standby"`
	}{truth.Job, truth.OneZone, truth.SpreadZones, truth.AllowSpot})
}

// trySubmit submits a job. It retries until a time if the submission is neither accepted nor
// rejected.
func (u *users) trySubmit(job *userJob, truth *groundTruth, until time.Duration) {
	u.pickController().request(userEndpoint, "POST", submissionsPath, submissionBody(truth), submitTimeout, func(status int, body []byte) {
		switch status {
		case httpstatus.OK, httpstatus.Created:
			u.submissionAccepted(job, body)
		case httpstatus.BadRequest, httpstatus.UnprocessableEntity:
			u.submissionRejected(job, truth, status)
		default:
			if u.world.now < until {
				u.world.after(userRetryDelay, func() { u.trySubmit(job, truth, until) })
				return
			}
			job.excusedByOutage = u.world.unavailableTime()-job.unavailableBefore > minExcusingOutage
		}
	})
}

func (u *users) submissionAccepted(job *userJob, body []byte) {
	if !job.accepted {
		job.accepted, job.acceptedAt = true, u.world.now
	}
	job.lastAnswerAt = u.world.now
	u.recordStatus(job, body, u.world.now)
	u.world.after(userRetryDelay, func() { u.poll(job) })
}

func (u *users) submissionRejected(job *userJob, truth *groundTruth, status int) {
	job.rejectionStatus = status
	if job.accepted {
		u.world.checker.addViolation("forgotten", "%s: repeated submission of an accepted job got status %d", job.id, status)
	}
	if len(truth.Dependencies) > 0 && !job.submittedImmediately {
		u.world.checker.addViolation("forgotten", "%s: submission got status %d though all its dependencies are accepted: %v", job.id, status, truth.Dependencies)
	}
}

// poll queries the status of a job periodically until the user is told that it is finished.
func (u *users) poll(job *userJob) {
	if job.finalStatus != "" {
		return
	}
	interval := pollInterval
	if u.world.now < u.pollStormUntil {
		interval = time.Duration(float64(interval) / u.pollStormFactor)
	}
	u.world.after(interval, func() { u.poll(job) })
	u.queryStatus(job, u.pickController())
}

// queryStatus queries a controller for the status of an accepted job.
func (u *users) queryStatus(job *userJob, from *controller) {
	askedAt := u.world.now
	from.request(userEndpoint, "GET", submissionsPath+"/"+job.id, nil, queryTimeout, func(status int, body []byte) {
		switch status {
		case httpstatus.OK:
			job.lastAnswerAt = u.world.now
			u.recordStatus(job, body, askedAt)
		case httpstatus.NotFound:
			u.world.checker.addViolation("forgotten", "%s: query for an accepted job got status 404", job.id)
		}
	})
}
