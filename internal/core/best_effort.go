package core

import (
	"math"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// Guests are teams that are guaranteed nothing while others are guaranteed something.
// Their work gets what the other teams leave, at a low price: no machine is rented or kept
// for it whose type costs expensiveRatio times as much for it as another does.

// expensiveRatio is how many times as much as on the cheapest type a task costs on a dear one: more
// than what comes of tasks that fit badly, which is up to about twice.
const expensiveRatio = 4

// bestEffortTeams names the teams that are guests.
func (c *Core) bestEffortTeams() map[string]bool {
	guests := map[string]bool{}
	teams := c.settings.Deployment.Teams
	if !slices.ContainsFunc(teams, func(t config.Team) bool { return !guaranteeOf(&t).IsZero() }) {
		return guests
	}
	for i := range teams {
		if guaranteeOf(&teams[i]).IsZero() {
			guests[teams[i].Name] = true
		}
	}
	return guests
}

// taskPrice is the hourly price of a job's task on a full machine of a type; not ok if none
// fits.
func taskPrice(j *wire.Job, t *wire.MachineType) (price float64, ok bool) {
	fit := cluster.TypeCapacity(t).Fit(cluster.TaskSize(j), provisioning.MaxTasksPerMachine)
	if fit == 0 {
		return 0, false
	}
	return t.Price / float64(fit), true
}

// cheapTypes lists the types of machine that a job may use and that are not dear for it, by
// name.
func (l *leader) cheapTypes(j *wire.Job) []string {
	prices := map[string]float64{}
	lowest := math.Inf(1)
	for name, t := range l.core.machineTypes { // in any order: only the lowest price counts
		if price, ok := taskPrice(j, t); ok && emptyOrContains(j.MachineTypes, name) {
			prices[name] = price
			lowest = min(lowest, price)
		}
	}
	return slices.DeleteFunc(sortedKeys(prices), func(name string) bool { return prices[name] >= expensiveRatio*lowest })
}

// releaseFromBestEffort empties a dear machine on which nothing but guests' work has run for as
// long as a machine may be idle, so that it can be returned.
func (l *leader) releaseFromBestEffort(machine *cluster.Machine) {
	if machine.GuaranteedTasks > 0 || len(machine.Placements) == 0 || !l.usable(machine) || l.fleet.keptIdle[machine.Name] || machine.ReservedFor != nil {
		return
	}
	if l.core.now-max(machine.GuaranteedUntil, machine.FirstHeartbeat, l.recordsLoadedAt) < l.maxIdleTime() || l.core.now-machine.CreatedAt < minBilledTime {
		return
	}
	var last *cluster.Job
	for _, p := range machine.Placements {
		if p.Job != last && slices.Contains(l.cheapTypes(&p.Job.Job), machine.TypeName) {
			return
		}
		last = p.Job
	}
	l.cordon(machine, cluster.DrainCostly)
	machine.Evicting = true
}

// maxIdleTime is how long a machine that nothing needs is kept.
func (l *leader) maxIdleTime() time.Duration {
	if s := l.core.operatorSettings.IdleReturnS; s != nil {
		return time.Duration(*s * float64(time.Second))
	}
	return 3 * l.core.workerLease()
}
