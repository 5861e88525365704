package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// users stands in for the people who submit, query and cancel jobs.
type users struct {
	world        *World
	jobs         map[string]*userJob
	invalidCount int // jobs submitted to be refused

	unsubmitted map[string]*groundTruth // wait for those that they name to be accepted

	pollStorm       randomFault // users ask pollStormFactor times as often
	pollStormFactor float64
}

// userJob is what a job's user has been told.
type userJob struct {
	id                string
	accepted          bool
	submittedEarly    bool          // submitted without waiting for those that it names
	acceptedAt        time.Duration // was told that it is accepted
	rejectionStatus   int
	finalStatus       wire.JobState
	cancelRequestedAt time.Duration // to cancel
	toldCancelledAt   time.Duration // was told so
	lastStatus        wire.JobStatus
	lastAnswerAt      time.Duration
	toldFinalAt       time.Duration // was told the final state
	unavailableBefore time.Duration // how long nobody could be served before, see unserved
	excused           bool          // nobody could be for nearly all of the minute of trying
}

func newUsers(world *World) *users {
	return &users{world: world, jobs: map[string]*userJob{}, unsubmitted: map[string]*groundTruth{}}
}

func (u *users) sortedIDs() []string {
	var out []string
	for id := range u.jobs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// probeTimeout is how long the load balancer takes to notice that a controller does not
// answer its probes.
const probeTimeout = 3 * time.Second

// pickController stands in for the load balancer.
func (u *users) pickController() *controller {
	var up []*controller
	for _, controller := range u.world.controllers {
		if controller.alive && !(u.world.now < controller.pausedUntil && u.world.now-controller.pausedAt > probeTimeout) {
			up = append(up, controller)
		}
	}
	if len(up) == 0 {
		return u.world.controllers[0]
	}
	return up[u.world.rng.IntN(len(up))]
}

// When users submit a job that names others.
const (
	submitWhenAccepted = iota // as soon as those are accepted
	submitWhenFinished        // as soon as those are over
	submitAtOnce              // at once
)

func (u *users) submit(truth *groundTruth, when int) {
	if when != submitAtOnce && !u.canSubmit(truth, when) {
		u.unsubmitted[truth.ID] = truth
		u.world.after(50*time.Millisecond, func() { u.submit(truth, when) })
		return
	}
	delete(u.unsubmitted, truth.ID)
	u.world.jobs[truth.ID] = truth
	j := &userJob{id: truth.ID, submittedEarly: when == submitAtOnce}
	u.jobs[truth.ID] = j
	j.unavailableBefore = u.world.unavailableTime()
	truth.submittedAt = u.world.now
	u.trySubmit(j, truth, u.world.now+60*time.Second)
}

// canSubmit tells whether all jobs that a job names are accepted, or over.
func (u *users) canSubmit(truth *groundTruth, when int) bool {
	for _, id := range truth.Dependencies {
		if j := u.jobs[id]; j == nil || !j.accepted || when == submitWhenFinished && j.finalStatus == "" {
			return false
		}
	}
	return true
}

// neverSubmitted tells whether a job names one whose user got no answer, so that it is
// never submitted.
func (u *users) neverSubmitted(truth *groundTruth) bool {
	for _, id := range truth.Dependencies {
		if j := u.jobs[id]; j != nil && j.excused || u.unsubmitted[id] != nil && u.neverSubmitted(u.unsubmitted[id]) {
			return true
		}
	}
	return false
}

// dependencies names all jobs that a job needs, directly or through others.
func (u *users) dependencies(truth *groundTruth) []*userJob {
	if len(truth.Dependencies) == 0 {
		return nil
	}
	var out []*userJob
	seen := map[string]bool{truth.ID: true}
	ids := truth.Dependencies
	for len(ids) > 0 {
		id := ids[0]
		ids = ids[1:]
		if j := u.jobs[id]; j != nil && !seen[id] {
			seen[id] = true
			out = append(out, j)
			ids = append(ids[:len(ids):len(ids)], u.world.jobs[id].Dependencies...)
		}
	}
	return out
}

// cancelRequested tells whether users asked to cancel a job or one that it needs, and
// weren't told that it is done.
func (u *users) cancelRequested(job *userJob) bool {
	for _, b := range u.dependencies(u.world.jobs[job.id]) {
		if b.cancelRequestedAt != 0 && b.finalStatus != wire.StatusDone {
			return true
		}
	}
	return job.cancelRequestedAt != 0
}

func (u *users) submissionBody(truth *groundTruth) []byte {
	// Fields that the record may leave out are required of a user.
	b, _ := json.Marshal(struct {
		wire.Job
		OneZone bool `json:"together"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"standby"`
	}{truth.Job, truth.OneZone, truth.SpreadZones, truth.AllowSpot})
	return b
}

func (u *users) trySubmit(job *userJob, truth *groundTruth, until time.Duration) {
	u.pickController().request("user", "POST", "/submissions", u.submissionBody(truth), 5*time.Second, func(status int, body []byte) {
		switch status {
		case 200, 201:
			if !job.accepted {
				job.accepted, job.acceptedAt = true, u.world.now
			}
			job.lastAnswerAt = u.world.now
			u.recordStatus(job, body)
			u.world.after(time.Second, func() { u.poll(job) })
		case 400, 422:
			job.rejectionStatus = status
			if job.accepted {
				u.world.checker.addViolation("forgotten", "%s: a repeated submission got %d", job.id, status)
			}
			if len(truth.Dependencies) > 0 && !job.submittedEarly {
				u.world.checker.addViolation("forgotten", "%s got %d, though all that it names are accepted: %v", job.id, status, truth.Dependencies)
			}
		default:
			if u.world.now < until {
				u.world.after(time.Second, func() { u.trySubmit(job, truth, until) })
			} else {
				job.excused = u.world.unavailableTime()-job.unavailableBefore > 50*time.Second
			}
		}
	})
}

func (u *users) poll(job *userJob) {
	if job.finalStatus != "" {
		return
	}
	every := 5 * time.Second
	if u.world.now < u.pollStorm.until {
		every = time.Duration(float64(every) / u.pollStormFactor)
	}
	u.world.after(every, func() { u.poll(job) })
	u.queryStatus(job, u.pickController())
}

func (u *users) queryStatus(job *userJob, controller *controller) {
	asked := u.world.now
	controller.request("user", "GET", "/submissions/"+job.id, nil, 2*time.Second, func(status int, body []byte) {
		switch status {
		case 200:
			job.lastAnswerAt = u.world.now
			u.recordStatusAskedAt(job, body, asked)
		case 404:
			u.world.checker.addViolation("forgotten", "%s: 404 for an accepted job", job.id)
		}
	})
}

func (u *users) recordStatus(j *userJob, body []byte) { u.recordStatusAskedAt(j, body, u.world.now) }

// recordStatusAskedAt takes in an answer to a question asked at a time: an answer may
// not be older than what any node had said before the question.
func (u *users) recordStatusAskedAt(job *userJob, body []byte, asked time.Duration) {
	var status wire.JobStatus
	if json.Unmarshal(body, &status) != nil {
		return
	}
	job.lastStatus = status
	contrary := status.Status == wire.StatusDone || status.Status == wire.StatusCancelled
	if job.finalStatus != "" && status.Status != job.finalStatus && (contrary || asked >= min(job.lastAnswerAt, job.toldFinalAt)) {
		u.world.checker.addViolation("went_back", "%s: %s after %s", job.id, status.Status, job.finalStatus)
	}
	if job.finalStatus == "" {
		job.toldFinalAt = u.world.now
	}
	switch status.Status {
	case wire.StatusDone:
		u.world.checker.checkDone(job)
		first := job.finalStatus == ""
		job.finalStatus = status.Status
		if first {
			u.checkCancelledDependents(job)
		}
	case wire.StatusCancelled:
		if !u.cancelRequested(job) {
			u.world.checker.addViolation("went_back", "%s: cancelled without its user's request", job.id)
		}
		if job.finalStatus == "" {
			job.toldCancelledAt = u.world.now
		}
		job.finalStatus = status.Status
	default:
		u.world.checker.checkOrphaned(job, status.Status)
	}
}

// checkCancelledDependents judges that no job was cancelled with one that turns out to be done.
func (u *users) checkCancelledDependents(job *userJob) {
	if job.cancelRequestedAt == 0 {
		return
	}
	for _, id := range u.sortedIDs() {
		o := u.jobs[id]
		if o.finalStatus == wire.StatusCancelled && slices.Contains(u.dependencies(u.world.jobs[id]), job) && !u.cancelRequested(o) {
			u.world.checker.addViolation("went_back", "%s: cancelled with %s, which is done", id, job.id)
		}
	}
}

// cancel asks to call a job off, again and again for up to 60 s as a
// submission is.
// One that isn't submitted yet is called off when it is.
func (u *users) cancel(id string) {
	if u.unsubmitted[id] != nil {
		u.world.after(50*time.Millisecond, func() { u.cancel(id) })
		return
	}
	u.tryCancel(u.jobs[id], u.world.now+60*time.Second)
}

func (u *users) tryCancel(job *userJob, until time.Duration) {
	if job.cancelRequestedAt == 0 {
		job.cancelRequestedAt = u.world.now
	}
	// A cancellation that is on its way together with the submission may come first.
	accepted := job.accepted
	u.pickController().requestAnswer("user", "POST", "/submissions/"+job.id+"/cancel", nil, 5*time.Second, func(answer core.Answer) {
		if answer.Status == 200 {
			u.recordStatus(job, answer.Body)
			return
		}
		if accepted && (answer.Status == 400 || answer.Status == 404 || answer.Status == 422) {
			u.world.checker.addViolation("forgotten", "%s: its cancellation got %d", job.id, answer.Status)
		}
		wait := max(time.Second, min(30*time.Second, time.Duration(answer.RetryAfter)*time.Second))
		if u.world.now+wait < until {
			u.world.after(wait, func() { u.tryCancel(job, until) })
		}
	})
}

// cancelRunningJobs calls off jobs that run and have long to go, all within 0.2 s, and
// has up to eight of their machines hang.
func (u *users) cancelRunningJobs(count int, hang time.Duration) {
	var long []string
	machinesByJob := map[string][]*machine{}
	for _, name := range u.world.cloud.machineNames() {
		m := u.world.cloud.machines[name]
		for _, t := range m.sortedTasks() {
			job := u.jobs[t.job.ID]
			if t.state != wire.TaskRunning || job == nil || job.finalStatus != "" || job.cancelRequestedAt != 0 || !job.accepted ||
				t.job.Shape != wire.ShapeService && t.job.runS-t.progressAt(u.world.now) < 20 {
				continue
			}
			if machinesByJob[job.id] == nil {
				long = append(long, job.id)
			}
			machinesByJob[job.id] = append(machinesByJob[job.id], m)
		}
	}
	sort.Strings(long)
	u.world.rng.Shuffle(len(long), func(a, b int) { long[a], long[b] = long[b], long[a] })
	hung := map[*machine]bool{}
	for _, id := range long[:min(count, len(long))] {
		u.world.after(time.Duration(u.world.rng.Int64N(int64(200*time.Millisecond))), func() { u.cancel(id) })
		for _, m := range machinesByJob[id] {
			if hang > 0 && len(hung) < 8 && !hung[m] {
				hung[m] = true
				m.hangUntil = u.world.now + hang
			}
		}
	}
}

// cancelFinishedJob has some jobs called off at the moment of their end.
func (w *World) cancelFinishedJob(truth *groundTruth) {
	j := w.users.jobs[truth.ID]
	if len(truth.doneTasks) == truth.Tasks && j != nil && j.accepted && j.cancelRequestedAt == 0 && w.cancellationsAtEnd.occurs(w) {
		w.users.cancel(truth.ID)
	}
}

// sendInvalidRequests sends a request a second that controllers must not be misled by.
func (u *users) sendInvalidRequests(until time.Duration) {
	if u.world.now >= until {
		return
	}
	u.world.after(500*time.Millisecond+time.Duration(u.world.rng.Int64N(int64(time.Second))), func() { u.sendInvalidRequests(until) })
	some := func(fits func(*userJob) bool) *userJob {
		var out []*userJob
		for _, id := range u.sortedIDs() {
			if job := u.jobs[id]; job.accepted && fits(job) {
				out = append(out, job)
			}
		}
		if out == nil {
			return nil
		}
		return out[u.world.rng.IntN(len(out))]
	}
	switch u.world.rng.IntN(4) {
	case 0: // a repeated submission
		if job := some(func(job *userJob) bool { return job.finalStatus == "" }); job != nil {
			asked := u.world.now
			u.pickController().request("user", "POST", "/submissions", u.submissionBody(u.world.jobs[job.id]), 5*time.Second, func(status int, body []byte) {
				switch status {
				case 200:
					job.lastAnswerAt = u.world.now
					u.recordStatusAskedAt(job, body, asked)
				case 201, 400, 404, 422:
					u.world.checker.addViolation("forgotten", "%s: a repeated submission got %d", job.id, status)
				}
			})
		}
	case 1: // a cancellation after the end
		if job := some(func(job *userJob) bool { return job.finalStatus == wire.StatusDone }); job != nil {
			u.pickController().request("user", "POST", "/submissions/"+job.id+"/cancel", nil, 5*time.Second, func(status int, body []byte) {
				switch status {
				case 200:
					u.recordStatus(job, body)
				case 400, 404, 422:
					u.world.checker.addViolation("forgotten", "%s: a cancellation after its end got %d", job.id, status)
				}
			})
		}
	case 2: // a job that fits no machine
		truth := u.newInvalidJob()
		truth.CPUs = 1e6
		u.tryInvalidSubmission(truth.ID, u.submissionBody(truth), 422, u.world.now+60*time.Second)
	case 3: // a job that lacks a field
		truth := u.newInvalidJob()
		var fields map[string]any
		json.Unmarshal(u.submissionBody(truth), &fields)
		lacks := []string{"nameId", "jobclass", "crew", "shape", "urgency", "shards", "cpus", "accelerators", "memGb",
			"together", "apart", "standby", "bundle", "pullGb", "guessS", "markS", "stowS"}
		delete(fields, lacks[u.world.rng.IntN(len(lacks))])
		b, _ := json.Marshal(fields)
		u.tryInvalidSubmission(truth.ID, b, 400, u.world.now+60*time.Second)
	}
}

// newInvalidJob is a small job of a team that exists, under an id of its own.
func (u *users) newInvalidJob() *groundTruth {
	u.invalidCount++
	truth := &groundTruth{doneTasks: map[int]bool{}, savedProgress: map[int]float64{}}
	truth.Job = wire.Job{ID: fmt.Sprintf("job-8%05d", u.invalidCount), Class: "web", Team: u.world.settings.Deployment.Teams[0].Name,
		Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 10}
	return truth
}

// tryInvalidSubmission submits a job that must be refused with the status.
func (u *users) tryInvalidSubmission(id string, body []byte, want int, until time.Duration) {
	u.pickController().request("user", "POST", "/submissions", body, 5*time.Second, func(status int, _ []byte) {
		switch status {
		case want:
			u.pickController().request("user", "GET", "/submissions/"+id, nil, 2*time.Second, func(status int, _ []byte) {
				if status == 200 {
					u.world.checker.addViolation("invented", "%s is known, though it was refused", id)
				}
			})
		case 200, 201:
			u.world.checker.addViolation("accepted_impossible", "%s: %s", id, body)
		case 400, 422:
			u.world.checker.addViolation("wrong_answer", "%s got %d, not %d: %s", id, status, want, body)
		default:
			if u.world.now+time.Second < until {
				u.world.after(time.Second, func() { u.tryInvalidSubmission(id, body, want, until) })
			}
		}
	})
}
