package sim

import (
	"fmt"
	"math"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// runningTasks returns how many tasks of a job are running.
func (w *World) runningTasks(id string) int {
	count := 0
	for _, p := range w.sortedPlacements(w.jobs[id]) {
		if p.task.state == wire.TaskRunning {
			count++
		}
	}
	return count
}

// checkExpectation checks an expectation and returns a description of the failure; empty if the
// expectation is met.
func (w *World) checkExpectation(line scenarioLine) string {
	target := line.arg(0)
	switch target {
	case "machines":
		return checkAtMost(w.cloud.rentedMachines(line.options["type"]), line.number("most", math.Inf(1)), "machines")
	case "rented":
		return checkAtMost(w.cloud.rentedTotal, line.number("most", math.Inf(1)), "machines rented in total")
	case "expired":
		return checkAtMost(w.expiredTasks, line.number("most", 0), "tasks killed at lease expiry")
	case "starts":
		return checkAtMost(w.taskStarts, line.number("most", math.Inf(1)), "starts")
	}
	job := w.users.jobs[target]
	if job == nil {
		return "expectation for a job that was not submitted: " + target
	}
	return w.checkJobExpectation(job, line)
}

// checkAtMost returns a description of the failure if a number is above a bound; empty otherwise.
func checkAtMost(n int, most float64, what string) string {
	if float64(n) <= most {
		return ""
	}
	return fmt.Sprintf("got %d %s, want at most %.0f", n, what, most)
}

// checkJobExpectation checks an expectation for a job, like checkExpectation.
func (w *World) checkJobExpectation(job *userJob, line scenarioLine) string {
	switch state := line.arg(1); state {
	case "running":
		if n, want := w.runningTasks(job.id), int(line.number("tasks", 1)); n != want {
			return fmt.Sprintf("%s: got %d running tasks, want %d", job.id, n, want)
		}
	case "refused":
		if want := int(line.number("status", httpstatus.UnprocessableEntity)); job.rejectionStatus != want {
			return fmt.Sprintf("%s: got rejection status %d, want %d", job.id, job.rejectionStatus, want)
		}
	case "over":
		if job.finalStatus == "" {
			return fmt.Sprintf("%s: got last status %q, want a final status", job.id, job.lastStatus.Status)
		}
	default:
		if job.lastStatus.Status != wire.JobState(state) {
			return fmt.Sprintf("%s: got last status %q, want %q", job.id, job.lastStatus.Status, state)
		}
	}
	return ""
}
