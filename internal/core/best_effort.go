package core

import (
	"math"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// Best-effort teams have no guarantee while others have one. Their work gets what the other teams
// leave, at a low price: no machine is provisioned or kept for it whose type costs expensiveRatio
// times as much for it as another one does.

// expensiveRatio is how many times as much as on the cheapest type a task costs on an expensive
// one: more than the waste of tasks that fit badly, which is up to about twice.
const expensiveRatio = 4

// taskPrice is the hourly price of a job's task on a full machine of a type; not ok if none fits.
func taskPrice(job *wire.Job, machineType *wire.MachineType) (price float64, ok bool) {
	fit := cluster.TypeCapacity(machineType).Fit(cluster.TaskSize(job), provisioning.MaxTasksPerMachine)
	if fit == 0 {
		return 0, false
	}
	return machineType.Price / float64(fit), true
}

// cheapTypes lists the machine types that a job may use and that are not expensive for it, by
// name.
func (l *leader) cheapTypes(job *wire.Job) []string {
	prices := map[string]float64{}
	lowest := math.Inf(1)
	for name, machineType := range l.core.machineTypes { // in any order: only the lowest price counts
		if price, ok := taskPrice(job, machineType); ok && emptyOrContains(job.MachineTypes, name) {
			prices[name] = price
			lowest = min(lowest, price)
		}
	}
	return slices.DeleteFunc(sortedKeys(prices), func(name string) bool { return prices[name] >= expensiveRatio*lowest })
}

// releaseFromBestEffort drains a machine that is expensive for its tasks, once it has run only
// those of best-effort teams for as long as a machine may be idle, so that it can be returned.
func (l *leader) releaseFromBestEffort(machine *cluster.Machine) {
	if !l.runsBestEffortOnly(machine) {
		return
	}
	alone := l.core.now - max(machine.GuaranteedUntil, machine.FirstHeartbeat, l.recordsLoadedAt)
	if alone < l.maxIdleTime() || l.core.now-machine.CreatedAt < minBilledTime {
		return
	}
	if l.isCheapForSomeTask(machine) {
		return
	}
	l.cordon(machine, cluster.DrainTooExpensive)
	machine.Evicting = true
}

// runsBestEffortOnly reports whether a usable machine that is not needed otherwise runs only tasks
// of best-effort teams.
func (l *leader) runsBestEffortOnly(machine *cluster.Machine) bool {
	if machine.GuaranteedTasks > 0 || len(machine.Placements) == 0 || !l.usable(machine) {
		return false
	}
	return !l.fleet.keptIdle[machine.Name] && machine.ReservedFor == nil
}

// isCheapForSomeTask reports whether a machine is of a cheap type for one of its tasks.
func (l *leader) isCheapForSomeTask(machine *cluster.Machine) bool {
	var last *cluster.Job
	for _, ref := range machine.Placements {
		if ref.Job != last && slices.Contains(l.cheapTypes(&ref.Job.Job), machine.TypeName) {
			return true
		}
		last = ref.Job
	}
	return false
}

// emptyOrContains reports whether a list names something; an empty list names all.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
