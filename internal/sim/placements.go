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

// addPlacement notes that a task has come onto a machine.
func (w *World) addPlacement(m *machine, t *task) {
	t.placed = true
	on := w.placementsByJob[t.job]
	if on == nil {
		on = &jobPlacements{machines: map[*task]*machine{}, byIndex: map[int][]placement{}, byZone: map[string]int{}}
		w.placementsByJob[t.job] = on
		if w.jobsByTeam[t.job.Team] == nil {
			w.jobsByTeam[t.job.Team] = map[*groundTruth]bool{}
		}
		w.jobsByTeam[t.job.Team][t.job] = true
	}
	on.machines[t] = m
	on.byIndex[t.index] = append(on.byIndex[t.index], placement{t, m})
	on.byZone[m.zone]++
	w.reportUsage(t.job, 1)
}

// removePlacement notes that a task is on no machine any more.
func (w *World) removePlacement(task *task) {
	task.placed = false
	on := w.placementsByJob[task.job]
	if on == nil || on.machines[task] == nil {
		return
	}
	on.byZone[on.machines[task].zone]--
	delete(on.machines, task)
	w.reportUsage(task.job, -1)
	on.byIndex[task.index] = slices.DeleteFunc(on.byIndex[task.index], func(p placement) bool { return p.task == task })
	if len(on.byIndex[task.index]) == 0 {
		delete(on.byIndex, task.index)
	}
	if len(on.machines) == 0 {
		delete(w.placementsByJob, task.job)
		delete(w.jobsByTeam[task.job.Team], task.job)
	}
}

// reportUsage tells of tasks of a job that came onto machines or left them.
func (w *World) reportUsage(truth *groundTruth, tasks int) {
	if w.usageChanged != nil {
		w.usageChanged(truth.Team, float64(tasks)*truth.CPUs, float64(tasks)*truth.GPUs)
	}
}

// placedTaskCount is how many tasks of a job are on machines.
func (w *World) placedTaskCount(truth *groundTruth) int {
	if on := w.placementsByJob[truth]; on != nil {
		return len(on.machines)
	}
	return 0
}

// sortedPlacements lists the tasks of a job that are on machines, by machine and name.
func (w *World) sortedPlacements(truth *groundTruth) []placement {
	on := w.placementsByJob[truth]
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

// teamUsage adds up what the tasks of a team use that are on machines.
func (w *World) teamUsage(team string) (gpus, cpus float64) {
	for truth := range w.jobsByTeam[team] {
		n := float64(w.placedTaskCount(truth))
		gpus += n * truth.GPUs
		cpus += n * truth.CPUs
	}
	return gpus, cpus
}

// observeStart tells the observer of a task that begins to run. Only the first
// run of each task counts.
func (w *World) observeStart(machine *machine, task *task) {
	if w.observer == nil {
		return
	}
	if task.job.startedTasks == nil {
		task.job.startedTasks = map[int]bool{}
	}
	first := !task.job.startedTasks[task.index]
	task.job.startedTasks[task.index] = true
	w.observer.Started(TaskStart{At: w.now, Class: task.job.Class, Priority: task.job.Priority, Waited: w.now - task.job.submittedAt, FencingToken: machine.fencingToken, First: first})
}
