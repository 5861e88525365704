package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// chooseSlots finds slots for up to wanted tasks at the least cost. For a job whose tasks share a
// zone they are those of the zone with the most of them.
func (l *leader) chooseSlots(candidate *candidate, wanted int, policy imagePolicy) []slot {
	if !candidate.job.OneZone {
		return l.findSlots(candidate, wanted, "", policy)
	}
	var best []slot
	for _, zone := range l.usableZones() {
		slots := l.findSlots(candidate, wanted, zone, policy)
		cheaper := len(slots) == len(best) && preemption.TotalCost(slots) < preemption.TotalCost(best)
		if len(slots) > len(best) || cheaper {
			best = slots
		}
	}
	return best
}

// findSlots finds slots for up to wanted tasks in a zone, or in all zones if none is named, at the
// least cost: free capacity first.
func (l *leader) findSlots(candidate *candidate, wanted int, zone string, policy imagePolicy) []slot {
	maxPullS := l.core.maxPullTime(candidate.job.Class)
	zoneBound := l.zoneBound(candidate.job)
	var slots []slot
	l.passes.evaluations += len(l.passes.machines)
	for _, m := range l.passes.machines {
		if zone != "" && m.Zone != zone || !l.canPreemptOn(candidate, m) {
			continue
		}
		if policy == pullInTime && l.pullTooSlow(candidate.job, m, maxPullS) {
			continue
		}
		if zoneBound != nil && zoneBound(m.Zone) < 1 {
			continue
		}
		slots = append(slots, l.slotsOn(candidate, m, wanted, policy)...)
	}
	return preemption.ChooseSlots(slots, wanted, zoneBound)
}

// slotsOn lists slots for up to wanted tasks of a candidate on one machine.
func (l *leader) slotsOn(c *candidate, m *cluster.Machine, wanted int, policy imagePolicy) []slot {
	return preemption.SlotsOn(&preemption.Machine[cluster.TaskReference]{
		Name: m.Name,
		Zone: m.Zone,
		Free: l.freeCapacity(m),
		Victims: func(free topology.Resources) ([]victim, topology.Resources) {
			return l.victimsOn(c, m, free, policy)
		},
	}, cluster.TaskSize(&c.job.Job), wanted)
}

// evaluationsPerVictim is about how many evaluations of machines take as long as that of a task
// as a victim, see BenchmarkPreemptions.
const evaluationsPerVictim = 3

// victimsOn lists the tasks on a machine that may be stopped for a candidate, and adds to the
// free capacity what tasks use that are being stopped already. The list is valid until the next
// call.
func (l *leader) victimsOn(candidate *candidate, machine *cluster.Machine, free topology.Resources, policy imagePolicy) ([]victim, topology.Resources) {
	capacity, _ := l.capacityOf(machine)
	l.passes.evaluations += evaluationsPerVictim * len(machine.Placements)
	victims := l.passes.victimBuffer[:0]
	for _, ref := range machine.Placements {
		task := ref.Task()
		if task.Stop != nil {
			free = free.Add(ref.Size())
			continue
		}
		samePriority := ref.Job.Level == candidate.preemptionPriority
		if !mayPreempt(candidate, ref.Job) || policy == pullInTime && samePriority {
			continue
		}
		victims = append(victims, victim{Task: ref, Loss: l.victimCost(ref.Job, task, capacity)})
	}
	l.passes.victimBuffer = victims
	return victims, free
}

// usableZones lists the zones of machines that may take tasks.
func (l *leader) usableZones() []string {
	zones := map[string]bool{}
	for _, m := range l.passes.machines {
		zones[m.Zone] = true
	}
	return sortedKeys(zones)
}

// canPreemptAnywhere reports whether any machine of a kind that the candidate's job may use would
// hold a task if all that may be stopped for it were gone.
func (l *leader) canPreemptAnywhere(c *candidate) bool {
	l.passes.evaluations += len(l.passes.machines)
	size := cluster.TaskSize(&c.job.Job)
	for _, m := range l.passes.machines {
		if isEligible(c.job, m) && l.freeAfterPreemption(c, m).Holds(size) {
			return true
		}
	}
	return false
}

// canPreemptOn reports whether room for a candidate's task can be made on a machine.
func (l *leader) canPreemptOn(c *candidate, m *cluster.Machine) bool {
	return l.freeAfterPreemption(c, m).Holds(cluster.TaskSize(&c.job.Job)) && l.isFeasible(c.job, m) && !l.isReserved(m)
}

// freeAfterPreemption is the most that stops for a candidate can free on a machine. It costs
// next to nothing, so that the tasks of a machine are examined only where that can be of use.
func (l *leader) freeAfterPreemption(c *candidate, m *cluster.Machine) topology.Resources {
	free := l.freeCapacity(m).Add(m.StoppingUse)
	for _, used := range m.UsedByLevel[:c.preemptionPriority] {
		free = free.Add(used)
	}
	if c.withinQuota {
		free = free.Add(m.CheckpointedByLevel[c.preemptionPriority]) // see mayPreempt
	}
	return free
}

// freeCapacity is what no task uses on a machine.
func (l *leader) freeCapacity(m *cluster.Machine) topology.Resources {
	capacity, _ := l.capacityOf(m)
	return capacity.Sub(m.Used)
}
