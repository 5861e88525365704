package sim

import (
	"cmp"
	"slices"
	"strings"
)

// placement is a task and the machine that it is on.
type placement struct {
	task    *task
	machine *machine
}

// jobPlacements are the placements of a job's tasks. They are indexed by task index and counted
// by zone, so that the cost of checking a start against the job's other tasks does not grow with
// the number of tasks.
type jobPlacements struct {
	machines map[*task]*machine
	byIndex  map[int][]placement // in the order of addition
	byZone   map[string]int
}

// addPlacement records that a task is now on a machine.
func (w *World) addPlacement(m *machine, t *task) {
	t.placed = true
	placed := w.placementsByJob[t.job]
	if placed == nil {
		placed = &jobPlacements{machines: map[*task]*machine{}, byIndex: map[int][]placement{}, byZone: map[string]int{}}
		w.placementsByJob[t.job] = placed
		if w.jobsByTeam[t.job.Team] == nil {
			w.jobsByTeam[t.job.Team] = map[*groundTruth]bool{}
		}
		w.jobsByTeam[t.job.Team][t.job] = true
	}
	placed.machines[t] = m
	placed.byIndex[t.index] = append(placed.byIndex[t.index], placement{t, m})
	placed.byZone[m.zone]++
	w.reportUsage(t.job, 1)
}

// removePlacement records that a task has left its machine.
func (w *World) removePlacement(t *task) {
	t.placed = false
	placed := w.placementsByJob[t.job]
	if placed == nil || placed.machines[t] == nil {
		return
	}
	placed.byZone[placed.machines[t].zone]--
	delete(placed.machines, t)
	w.reportUsage(t.job, -1)
	placed.byIndex[t.index] = slices.DeleteFunc(placed.byIndex[t.index], func(p placement) bool { return p.task == t })
	if len(placed.byIndex[t.index]) == 0 {
		delete(placed.byIndex, t.index)
	}
	if len(placed.machines) == 0 {
		delete(w.placementsByJob, t.job)
		delete(w.jobsByTeam[t.job.Team], t.job)
	}
}

// reportUsage calls usageChanged for a number of tasks of a job that were added, or removed if
// the number is negative.
func (w *World) reportUsage(job *groundTruth, tasks int) {
	if w.usageChanged != nil {
		w.usageChanged(job.Team, float64(tasks)*job.CPUs, float64(tasks)*job.GPUs)
	}
}

// placedTaskCount returns how many tasks of a job are on machines.
func (w *World) placedTaskCount(job *groundTruth) int {
	if placed := w.placementsByJob[job]; placed != nil {
		return len(placed.machines)
	}
	return 0
}

// sortedPlacements returns the placements of a job's tasks, sorted by machine, task name and
// attempt.
func (w *World) sortedPlacements(job *groundTruth) []placement {
	placed := w.placementsByJob[job]
	if placed == nil {
		return nil
	}
	sorted := make([]placement, 0, len(placed.machines))
	for t, m := range placed.machines {
		sorted = append(sorted, placement{t, m})
	}
	slices.SortFunc(sorted, func(a, b placement) int {
		return cmp.Or(strings.Compare(a.machine.name, b.machine.name), compareTasks(a.task, b.task))
	})
	return sorted
}

// teamUsage returns the resources of a team's tasks that are on machines.
func (w *World) teamUsage(team string) (gpus, cpus float64) {
	for job := range w.jobsByTeam[team] {
		count := float64(w.placedTaskCount(job))
		gpus += count * job.GPUs
		cpus += count * job.CPUs
	}
	return gpus, cpus
}

// observeStart reports to the observer that a task starts to run.
func (w *World) observeStart(m *machine, t *task) {
	if w.observer == nil {
		return
	}
	job := t.job
	if job.startedTasks == nil {
		job.startedTasks = map[int]bool{}
	}
	first := !job.startedTasks[t.index]
	job.startedTasks[t.index] = true
	w.observer.TaskStarted(TaskStart{At: w.now, Class: job.Class, Priority: job.Priority, Waited: w.now - job.submittedAt, FencingToken: m.fencingToken, First: first})
}
