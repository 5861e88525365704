package sim

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// cancel requests the cancellation of a job, with retries as for a submission. A job that is not
// submitted yet is cancelled once it is.
func (u *users) cancel(id string) {
	if u.unsubmitted[id] != nil {
		u.world.after(dependencyCheckInterval, func() { u.cancel(id) })
		return
	}
	u.tryCancel(u.jobs[id], u.world.now+retryTimeout)
}

func (u *users) tryCancel(job *userJob, until time.Duration) {
	if job.cancelRequestedAt == 0 {
		job.cancelRequestedAt = u.world.now
	}
	// A cancellation that is sent while the submission is in flight may arrive first and be refused.
	accepted := job.accepted
	u.pickController().requestAnswer(userEndpoint, "POST", cancelPath(job.id), nil, submitTimeout, func(answer core.Answer) {
		if answer.Status == httpstatus.OK {
			u.recordStatus(job, answer.Body, u.world.now)
			return
		}
		if accepted && isRefusal(answer.Status) {
			u.world.checker.addViolation("forgotten", "%s: cancellation of an accepted job got status %d", job.id, answer.Status)
		}
		wait := max(userRetryDelay, min(maxRetryDelay, time.Duration(answer.RetryAfterS)*time.Second))
		if u.world.now+wait < until {
			u.world.after(wait, func() { u.tryCancel(job, until) })
		}
	})
}

func cancelPath(id string) string { return submissionsPath + "/" + id + "/cancel" }

// isRefusal reports whether a status says that a request is invalid or its job unknown.
func isRefusal(status int) bool {
	return status == httpstatus.BadRequest || status == httpstatus.NotFound || status == httpstatus.UnprocessableEntity
}

// Bounds of cancelRunningJobs.
const (
	minRemainingS   = 20                     // seconds of work that the tasks must have left
	cancelTimeRange = 200 * time.Millisecond // all cancellations are sent within this time
	maxHangMachines = 8
)

// cancelRunningJobs cancels a number of the jobs that machinesOfLongJobs returns, nearly
// simultaneously, and makes up to maxHangMachines of their machines hang for a duration.
func (u *users) cancelRunningJobs(count int, hang time.Duration) {
	machines := u.machinesOfLongJobs()
	var ids []string
	for id := range machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	u.world.rng.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	hung := map[*machine]bool{}
	for _, id := range ids[:min(count, len(ids))] {
		u.world.after(u.world.randomDuration(cancelTimeRange), func() { u.cancel(id) })
		for _, m := range machines[id] {
			if hang > 0 && len(hung) < maxHangMachines && !hung[m] {
				hung[m] = true
				m.hangUntil = u.world.now + hang
			}
		}
	}
}

// machinesOfLongJobs returns, by job ID, the machines with running tasks that are services or have
// at least minRemainingS of work left. It omits jobs whose cancellation was requested.
func (u *users) machinesOfLongJobs() map[string][]*machine {
	machines := map[string][]*machine{}
	for _, name := range u.world.cloud.machineNames() {
		m := u.world.cloud.machines[name]
		for _, t := range m.sortedTasks() {
			job := u.jobs[t.job.ID]
			if t.state != wire.TaskRunning || job == nil || !job.accepted || job.finalStatus != "" || job.cancelRequestedAt != 0 {
				continue
			}
			if t.job.Shape != wire.ShapeService && t.job.runS-t.progressAt(u.world.now) < minRemainingS {
				continue
			}
			machines[job.id] = append(machines[job.id], m)
		}
	}
	return machines
}

// cancelFinishedJob cancels a job that has just completed, if the cancellationsAtEnd fault occurs.
func (w *World) cancelFinishedJob(truth *groundTruth) {
	job := w.users.jobs[truth.ID]
	isDone := len(truth.doneTasks) == truth.Tasks
	if isDone && job != nil && job.accepted && job.cancelRequestedAt == 0 && w.cancellationsAtEnd.occurs(w) {
		w.users.cancel(truth.ID)
	}
}
