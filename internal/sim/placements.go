package sim

import (
	"cmp"
	"slices"
	"strings"
)

// placement is a task that is on a machine.
type placement struct {
	task    *task
	machine *machine
}

// putOn notes that a task has come onto a machine.
func (w *World) putOn(m *machine, t *task) {
	t.on = true
	if w.on[t.job] == nil {
		w.on[t.job] = map[*task]*machine{}
		if w.teams[t.job.Team] == nil {
			w.teams[t.job.Team] = map[*jobTruth]bool{}
		}
		w.teams[t.job.Team][t.job] = true
	}
	w.on[t.job][t] = m
}

// takeOff notes that a task is on no machine any more.
func (w *World) takeOff(t *task) {
	t.on = false
	tasks := w.on[t.job]
	if tasks == nil {
		return
	}
	delete(tasks, t)
	if len(tasks) == 0 {
		delete(w.on, t.job)
		delete(w.teams[t.job.Team], t.job)
	}
}

// placements lists the tasks of a job that are on machines, by machine and name.
func (w *World) placements(j *jobTruth) []placement {
	out := make([]placement, 0, len(w.on[j]))
	for t, m := range w.on[j] {
		out = append(out, placement{t, m})
	}
	slices.SortFunc(out, func(a, b placement) int {
		return cmp.Or(strings.Compare(a.machine.name, b.machine.name), strings.Compare(a.task.name, b.task.name),
			cmp.Compare(a.task.attempt, b.task.attempt))
	})
	return out
}

// teamUse adds up what the tasks of a team use that are on machines.
func (w *World) teamUse(team string) (gpus, cpus float64) {
	for j := range w.teams[team] {
		n := float64(len(w.on[j]))
		gpus += n * j.GPUs
		cpus += n * j.CPUs
	}
	return gpus, cpus
}

// observeBegin tells the observer of a task that begins to run. Only the first
// run of each task counts.
func (w *World) observeBegin(m *machine, t *task) {
	if w.watch == nil {
		return
	}
	if t.job.begun == nil {
		t.job.begun = map[int]bool{}
	}
	first := !t.job.begun[t.index]
	t.job.begun[t.index] = true
	w.watch.Started(Start{At: w.now, Class: t.job.Class, Priority: t.job.Priority, Waited: w.now - t.job.submitted, Token: m.token, First: first})
}
