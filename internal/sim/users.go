package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// users stands in for the people who submit, query and cancel jobs, and for the load balancer
// in front of the controllers.
type users struct {
	world        *World
	jobs         map[string]*userJob
	unsubmitted  map[string]*groundTruth // jobs that wait for their dependencies
	invalidCount int                     // jobs that were submitted to be rejected

	pollStormUntil  time.Duration // until then users poll pollStormFactor times as often
	pollStormFactor float64
}

// userJob is what a job's user was told. Times are 0 for what has not happened.
type userJob struct {
	id              string
	submittedAtOnce bool // without waiting for its dependencies

	accepted        bool
	acceptedAt      time.Duration
	rejectionStatus int // HTTP status of a rejection; 0 for none
	// unavailableBefore is World.unavailableTime at the first attempt to submit the job.
	unavailableBefore time.Duration
	// excused means that the submission got no answer, since no user could be served for
	// nearly all of the time in which it was repeated.
	excused bool

	lastStatus   wire.JobStatus
	lastAnswerAt time.Duration

	finalStatus       wire.JobState // empty before the user was told of the end
	toldFinalAt       time.Duration
	cancelRequestedAt time.Duration
	toldCancelledAt   time.Duration
}

// How users repeat requests.
const (
	requestTimeout  = 60 * time.Second // for how long a request is repeated
	submitTimeout   = 5 * time.Second  // of one attempt to submit or cancel a job
	queryTimeout    = 2 * time.Second
	userRetryDelay  = time.Second
	maxRetryDelay   = 30 * time.Second // whatever the answer asks for
	pollInterval    = 5 * time.Second
	dependencyCheck = 50 * time.Millisecond // interval at which a job's dependencies are looked at
	// excusingTime is for how long of requestTimeout no user could be served where a
	// submission without an answer is excused.
	excusingTime = 50 * time.Second
)

func newUsers(world *World) *users {
	return &users{world: world, jobs: map[string]*userJob{}, unsubmitted: map[string]*groundTruth{}}
}

func (u *users) sortedIDs() []string { return slices.Sorted(maps.Keys(u.jobs)) }

// probeTimeout is how long the load balancer takes to notice that a controller does not
// answer its probes.
const probeTimeout = 3 * time.Second

// pickController chooses a controller as the load balancer does.
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

// submitTime is when users submit a job that has dependencies.
type submitTime int

const (
	submitWhenAccepted submitTime = iota // once the dependencies are accepted
	submitWhenFinished                   // once the dependencies are finished
	submitAtOnce
)

// submit submits a job, at its time, and polls its status until it is finished.
func (u *users) submit(truth *groundTruth, when submitTime) {
	if when != submitAtOnce && !u.canSubmit(truth, when) {
		u.unsubmitted[truth.ID] = truth
		u.world.after(dependencyCheck, func() { u.submit(truth, when) })
		return
	}
	delete(u.unsubmitted, truth.ID)
	u.world.jobs[truth.ID] = truth
	job := &userJob{id: truth.ID, submittedAtOnce: when == submitAtOnce, unavailableBefore: u.world.unavailableTime()}
	u.jobs[truth.ID] = job
	truth.submittedAt = u.world.now
	u.trySubmit(job, truth, u.world.now+requestTimeout)
}

// canSubmit reports whether the time to submit a job has come.
func (u *users) canSubmit(truth *groundTruth, when submitTime) bool {
	for _, id := range truth.Dependencies {
		job := u.jobs[id]
		if job == nil || !job.accepted || when == submitWhenFinished && job.finalStatus == "" {
			return false
		}
	}
	return true
}

// neverSubmitted reports whether a job is never submitted, since the submission of one of its
// dependencies got no answer.
func (u *users) neverSubmitted(truth *groundTruth) bool {
	for _, id := range truth.Dependencies {
		if job := u.jobs[id]; job != nil && job.excused {
			return true
		}
		if waiting := u.unsubmitted[id]; waiting != nil && u.neverSubmitted(waiting) {
			return true
		}
	}
	return false
}

// submissionBody is the request that submits a job. It has fields that a record may leave out,
// but a user may not.
func submissionBody(truth *groundTruth) []byte {
	return encode(struct {
		wire.Job
		OneZone bool `json:"together"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"standby"`
	}{truth.Job, truth.OneZone, truth.SpreadZones, truth.AllowSpot})
}

// trySubmit submits a job, and again until a time if there is no answer.
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
			job.excused = u.world.unavailableTime()-job.unavailableBefore > excusingTime
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
		u.world.checker.addViolation("forgotten", "%s: a repeated submission got %d", job.id, status)
	}
	if len(truth.Dependencies) > 0 && !job.submittedAtOnce {
		u.world.checker.addViolation("forgotten", "%s got %d, though all its dependencies are accepted: %v", job.id, status, truth.Dependencies)
	}
}

// poll asks for a job's status until the user was told of its end.
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

// queryStatus asks a controller for the status of an accepted job.
func (u *users) queryStatus(job *userJob, from *controller) {
	askedAt := u.world.now
	from.request(userEndpoint, "GET", submissionsPath+"/"+job.id, nil, queryTimeout, func(status int, body []byte) {
		switch status {
		case httpstatus.OK:
			job.lastAnswerAt = u.world.now
			u.recordStatus(job, body, askedAt)
		case httpstatus.NotFound:
			u.world.checker.addViolation("forgotten", "%s: 404 for an accepted job", job.id)
		}
	})
}
