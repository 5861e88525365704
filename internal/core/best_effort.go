package core

import (
	"math"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// Best-effort teams have no guarantee while other teams have one. Their tasks run on capacity that
// the other teams leave unused, at a low price: no machine is provisioned or kept for them if its
// type costs at least expensiveRatio times as much per task as the cheapest type.

// expensiveRatio is the price per task from which on a machine type is expensive, as a multiple of
// that of the cheapest type. Tasks that pack badly raise the price per task to about twice at most,
// so the ratio is above that.
const expensiveRatio = 4

// taskPrice returns the hourly price of one of a job's tasks on a full machine of a type; ok is
// false if no task fits.
func taskPrice(job *wire.Job, machineType *wire.MachineType) (price float64, ok bool) {
	fit := cluster.TypeCapacity(machineType).Fit(cluster.TaskSize(job), provisioning.MaxTasksPerMachine)
	if fit == 0 {
		return 0, false
	}
	return machineType.Price / float64(fit), true
}

// cheapTypes returns the sorted names of the machine types that a job may use and that are not
// expensive for it.
func (l *leader) cheapTypes(job *wire.Job) []string {
	prices := map[string]float64{}
	lowest := math.Inf(1)
	for name, machineType := range l.core.machineTypes { // map order has no effect: only the lowest price counts
		if price, ok := taskPrice(job, machineType); ok && emptyOrContains(job.MachineTypes, name) {
			prices[name] = price
			lowest = min(lowest, price)
		}
	}
	return slices.DeleteFunc(sortedKeys(prices), func(name string) bool { return prices[name] >= expensiveRatio*lowest })
}

// drainExpensiveMachine drains an expensive machine, so that it can be returned, once it has run
// only tasks of best-effort teams for as long as a machine may be idle. The type must be expensive
// for all of its tasks.
func (l *leader) drainExpensiveMachine(machine *cluster.Machine) {
	if !l.runsBestEffortOnly(machine) {
		return
	}
	bestEffortOnlyTime := l.core.now - max(machine.GuaranteedUntil, machine.FirstHeartbeat, l.recordsLoadedAt)
	if bestEffortOnlyTime < l.maxIdleTime() || l.core.now-machine.CreatedAt < minBilledTime {
		return
	}
	if l.isCheapForSomeTask(machine) {
		return
	}
	l.cordon(machine, cluster.DrainTooExpensive)
	machine.Evicting = true
}

// runsBestEffortOnly reports whether a usable machine runs only tasks of best-effort teams and is
// neither used by the last plan nor reserved for a job.
func (l *leader) runsBestEffortOnly(machine *cluster.Machine) bool {
	if machine.GuaranteedTasks > 0 || len(machine.Placements) == 0 || !l.usable(machine) {
		return false
	}
	return !l.fleet.plannedMachines[machine.Name] && machine.ReservedFor == nil
}

// isCheapForSomeTask reports whether a machine's type is cheap for at least one of its tasks.
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

// emptyOrContains reports whether a list allows a name; an empty list allows all names.
func emptyOrContains(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
