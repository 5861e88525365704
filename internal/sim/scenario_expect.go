package sim

import (
	"fmt"

	"github.com/brookwalk/brookwalk/wire"
)

func (w *World) running(id string) int {
	n := 0
	for _, p := range w.placements(w.jobs[id]) {
		if p.task.state == wire.TaskRunning {
			n++
		}
	}
	return n
}

// expected judges a line of expectations at the end. It returns what is wrong.
func (w *World) expected(l line) string {
	what := l.arg(0)
	switch what {
	case "machines":
		return atMost(w.cloud.rented(l.opt["type"]), l.num("most", 1e9), "machines")
	case "rented":
		return atMost(w.cloud.next, l.num("most", 1e9), "machines rented in all")
	case "expired":
		return atMost(w.expired, l.num("most", 0), "tasks that lost their worker's lease")
	case "starts":
		return atMost(w.started, l.num("most", 1e9), "starts")
	}
	j := w.users.jobs[what]
	if j == nil {
		return "no such job " + what
	}
	return w.expectedJob(j, l)
}

// atMost tells what is wrong with a number that is beyond a bound.
func atMost(n int, most float64, what string) string {
	if float64(n) <= most {
		return ""
	}
	return fmt.Sprintf("%d %s, at most %.0f expected", n, what, most)
}

// expectedJob judges a line that expects something of a job.
func (w *World) expectedJob(j *userJob, l line) string {
	switch want := l.arg(1); want {
	case "running":
		if n, want := w.running(j.id), int(l.num("tasks", 1)); n != want {
			return fmt.Sprintf("%s: %d tasks run, %d expected", j.id, n, want)
		}
	case "refused":
		if want := int(l.num("status", 422)); j.refused != want {
			return fmt.Sprintf("%s: refused with %d, %d expected", j.id, j.refused, want)
		}
	case "over":
		if j.final == "" {
			return fmt.Sprintf("%s: told %q, not over", j.id, j.last.Status)
		}
	default:
		if j.last.Status != wire.JobState(want) {
			return fmt.Sprintf("%s: told %q, %q expected", j.id, j.last.Status, want)
		}
	}
	return ""
}
