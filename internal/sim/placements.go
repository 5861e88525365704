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

// jobPlacements are the tasks of a job that are on machines. Judging a start beside the
// job's other tasks takes a look at those of its index and at the zones' counts, however
// many there are.
type jobPlacements struct {
	machines map[*task]*machine
	byIndex  map[int][]placement // in the order in which they came
	byZone   map[string]int
}

// putOn notes that a task has come onto a machine.
func (w *World) putOn(m *machine, t *task) {
	t.on = true
	on := w.on[t.job]
	if on == nil {
		on = &jobPlacements{machines: map[*task]*machine{}, byIndex: map[int][]placement{}, byZone: map[string]int{}}
		w.on[t.job] = on
		if w.teams[t.job.Team] == nil {
			w.teams[t.job.Team] = map[*jobTruth]bool{}
		}
		w.teams[t.job.Team][t.job] = true
	}
	on.machines[t] = m
	on.byIndex[t.index] = append(on.byIndex[t.index], placement{t, m})
	on.byZone[m.zone]++
	w.noteUse(t.job, 1)
}

// takeOff notes that a task is on no machine any more.
func (w *World) takeOff(t *task) {
	t.on = false
	on := w.on[t.job]
	if on == nil || on.machines[t] == nil {
		return
	}
	on.byZone[on.machines[t].zone]--
	delete(on.machines, t)
	w.noteUse(t.job, -1)
	on.byIndex[t.index] = slices.DeleteFunc(on.byIndex[t.index], func(p placement) bool { return p.task == t })
	if len(on.byIndex[t.index]) == 0 {
		delete(on.byIndex, t.index)
	}
	if len(on.machines) == 0 {
		delete(w.on, t.job)
		delete(w.teams[t.job.Team], t.job)
	}
}

// noteUse tells of tasks of a job that came onto machines or left them.
func (w *World) noteUse(j *jobTruth, tasks int) {
	if w.useChanged != nil {
		w.useChanged(j.Team, float64(tasks)*j.CPUs, float64(tasks)*j.GPUs)
	}
}

// onMachines is how many tasks of a job are on machines.
func (w *World) onMachines(j *jobTruth) int {
	if on := w.on[j]; on != nil {
		return len(on.machines)
	}
	return 0
}

// placements lists the tasks of a job that are on machines, by machine and name.
func (w *World) placements(j *jobTruth) []placement {
	on := w.on[j]
	if on == nil {
		return nil
	}
	out := make([]placement, 0, len(on.machines))
	for t, m := range on.machines {
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
		n := float64(w.onMachines(j))
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
