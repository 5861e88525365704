package sim

import (
	"fmt"

	"github.com/brookwalk/brookwalk/wire"
)

func (w *World) runningTasks(id string) int {
	n := 0
	for _, p := range w.sortedPlacements(w.jobs[id]) {
		if p.task.state == wire.TaskRunning {
			n++
		}
	}
	return n
}

// checkExpectation judges a line of expectations at the end. It returns what is wrong.
func (w *World) checkExpectation(line scenarioLine) string {
	what := line.arg(0)
	switch what {
	case "machines":
		return checkAtMost(w.cloud.rentedMachines(line.options["type"]), line.number("most", 1e9), "machines")
	case "rented":
		return checkAtMost(w.cloud.rentedTotal, line.number("most", 1e9), "machines rented in all")
	case "expired":
		return checkAtMost(w.expiredTasks, line.number("most", 0), "tasks that lost their worker's lease")
	case "starts":
		return checkAtMost(w.taskStarts, line.number("most", 1e9), "starts")
	}
	j := w.users.jobs[what]
	if j == nil {
		return "no such job " + what
	}
	return w.checkJobExpectation(j, line)
}

// checkAtMost tells what is wrong with a number that is beyond a bound.
func checkAtMost(n int, most float64, what string) string {
	if float64(n) <= most {
		return ""
	}
	return fmt.Sprintf("%d %s, at most %.0f expected", n, what, most)
}

// checkJobExpectation judges a line that expects something of a job.
func (w *World) checkJobExpectation(job *userJob, line scenarioLine) string {
	switch want := line.arg(1); want {
	case "running":
		if n, want := w.runningTasks(job.id), int(line.number("tasks", 1)); n != want {
			return fmt.Sprintf("%s: %d tasks run, %d expected", job.id, n, want)
		}
	case "refused":
		if want := int(line.number("status", 422)); job.rejectionStatus != want {
			return fmt.Sprintf("%s: refused with %d, %d expected", job.id, job.rejectionStatus, want)
		}
	case "over":
		if job.finalStatus == "" {
			return fmt.Sprintf("%s: told %q, not over", job.id, job.lastStatus.Status)
		}
	default:
		if job.lastStatus.Status != wire.JobState(want) {
			return fmt.Sprintf("%s: told %q, %q expected", job.id, job.lastStatus.Status, want)
		}
	}
	return ""
}
