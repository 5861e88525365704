package sim

import (
	"fmt"
	"math"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// runningTasks is how many tasks of a job run.
func (w *World) runningTasks(id string) int {
	count := 0
	for _, p := range w.sortedPlacements(w.jobs[id]) {
		if p.task.state == wire.TaskRunning {
			count++
		}
	}
	return count
}

// checkExpectation checks an expectation at the end and says what is wrong; empty if it is met.
func (w *World) checkExpectation(line scenarioLine) string {
	target := line.arg(0)
	switch target {
	case "machines":
		return checkAtMost(w.cloud.rentedMachines(line.options["type"]), line.number("most", math.Inf(1)), "machines")
	case "rented":
		return checkAtMost(w.cloud.rentedTotal, line.number("most", math.Inf(1)), "machines rented in all")
	case "expired":
		return checkAtMost(w.expiredTasks, line.number("most", 0), "tasks killed at a lease expiry")
	case "starts":
		return checkAtMost(w.taskStarts, line.number("most", math.Inf(1)), "starts")
	}
	job := w.users.jobs[target]
	if job == nil {
		return "no such job " + target
	}
	return w.checkJobExpectation(job, line)
}

// checkAtMost says what is wrong with a number above a bound.
func checkAtMost(n int, most float64, what string) string {
	if float64(n) <= most {
		return ""
	}
	return fmt.Sprintf("%d %s, at most %.0f expected", n, what, most)
}

// checkJobExpectation checks an expectation of a job.
func (w *World) checkJobExpectation(job *userJob, line scenarioLine) string {
	switch state := line.arg(1); state {
	case "running":
		if n, want := w.runningTasks(job.id), int(line.number("tasks", 1)); n != want {
			return fmt.Sprintf("%s: %d tasks run, %d expected", job.id, n, want)
		}
	case "refused":
		if want := int(line.number("status", httpstatus.UnprocessableEntity)); job.rejectionStatus != want {
			return fmt.Sprintf("%s: refused with %d, %d expected", job.id, job.rejectionStatus, want)
		}
	case "over":
		if job.finalStatus == "" {
			return fmt.Sprintf("%s: told %q, not finished", job.id, job.lastStatus.Status)
		}
	default:
		if job.lastStatus.Status != wire.JobState(state) {
			return fmt.Sprintf("%s: told %q, %q expected", job.id, job.lastStatus.Status, state)
		}
	}
	return ""
}
