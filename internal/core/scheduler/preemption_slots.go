package scheduler

import (
	"maps"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/preemption"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// chooseSlots finds slots for up to wanted tasks at the least cost. For a job that runs in one zone,
// all slots are in the zone with the most slots, or the cheapest of these zones.
func (s *Scheduler) chooseSlots(candidate *Candidate, wanted int, policy pullTimePolicy) []slot {
	if !candidate.Job.OneZone {
		return s.findSlots(candidate, wanted, "", policy)
	}
	var best []slot
	for _, zone := range s.usableZones() {
		slots := s.findSlots(candidate, wanted, zone, policy)
		cheaper := len(slots) == len(best) && preemption.TotalCost(slots) < preemption.TotalCost(best)
		if len(slots) > len(best) || cheaper {
			best = slots
		}
	}
	return best
}

// findSlots finds slots for up to wanted tasks in a zone, or in all zones if zone is empty, at the
// least cost. Free capacity costs nothing and comes first.
func (s *Scheduler) findSlots(candidate *Candidate, wanted int, zone string, policy pullTimePolicy) []slot {
	maxPullS := s.maxPullTime(candidate.Job.Class)
	zoneBound := ZoneBound(candidate.Job)
	var slots []slot
	s.evaluations += len(s.machines)
	for _, m := range s.machines {
		if zone != "" && m.Zone != zone || !s.canPreemptOn(candidate, m) {
			continue
		}
		if policy == pullInTime && s.pullTooSlow(candidate.Job, m, maxPullS) {
			continue
		}
		if zoneBound != nil && zoneBound(m.Zone) < 1 {
			continue
		}
		slots = append(slots, s.slotsOn(candidate, m, wanted, policy)...)
	}
	return preemption.ChooseSlots(slots, wanted, zoneBound)
}

// slotsOn returns slots for up to wanted tasks of a candidate on one machine.
func (s *Scheduler) slotsOn(candidate *Candidate, machine *cluster.Machine, wanted int, policy pullTimePolicy) []slot {
	return preemption.SlotsOn(&preemption.Machine[cluster.TaskReference]{
		Name: machine.Name,
		Zone: machine.Zone,
		Free: s.freeCapacity(machine),
		Victims: func(free topology.Resources) ([]victim, topology.Resources) {
			return s.victimsOn(candidate, machine, free, policy)
		},
	}, cluster.TaskSize(&candidate.Job.Job), wanted)
}

// evaluationsPerVictim is the approximate cost of evaluating a task as a victim, in evaluations of
// machines, see BenchmarkPreemptions.
const evaluationsPerVictim = 3

// victimsOn returns the tasks on a machine that may be stopped for a candidate, and the free
// capacity plus that of tasks that are already being stopped. The list is valid until the next call,
// which reuses its memory.
func (s *Scheduler) victimsOn(candidate *Candidate, machine *cluster.Machine, free topology.Resources, policy pullTimePolicy) ([]victim, topology.Resources) {
	capacity, _ := s.capacityOf(machine)
	s.evaluations += evaluationsPerVictim * len(machine.Placements)
	victims := s.victimBuffer[:0]
	for _, ref := range machine.Placements {
		task := ref.Task()
		if task.Stop != nil {
			free = free.Add(ref.Size())
			continue
		}
		samePriority := ref.Job.Level == candidate.PreemptionPriority
		if !mayPreempt(candidate, ref.Job) || policy == pullInTime && samePriority {
			continue
		}
		victims = append(victims, victim{Task: ref, Cost: s.victimCost(ref.Job, task, capacity)})
	}
	s.victimBuffer = victims
	return victims, free
}

// usableZones lists the zones of machines that may take tasks.
func (s *Scheduler) usableZones() []string {
	zones := map[string]bool{}
	for _, m := range s.machines {
		zones[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// canPreemptAnywhere reports whether a task of the candidate would fit on any machine that the job
// may use, see AllowsMachine, if all possible victims there were stopped.
func (s *Scheduler) canPreemptAnywhere(candidate *Candidate) bool {
	s.evaluations += len(s.machines)
	size := cluster.TaskSize(&candidate.Job.Job)
	for _, m := range s.machines {
		if AllowsMachine(candidate.Job, m) && s.freeAfterPreemption(candidate, m).Holds(size) {
			return true
		}
	}
	return false
}

// canPreemptOn reports whether room for a candidate's task can be made on a machine.
func (s *Scheduler) canPreemptOn(candidate *Candidate, machine *cluster.Machine) bool {
	return s.freeAfterPreemption(candidate, machine).Holds(cluster.TaskSize(&candidate.Job.Job)) && s.isFeasible(candidate.Job, machine) && !s.isReserved(machine)
}

// freeAfterPreemption returns an upper bound of the free capacity on a machine after preemption for
// a candidate. It is cheap to compute, so that the tasks of a machine are evaluated only where
// preemption may help.
func (s *Scheduler) freeAfterPreemption(candidate *Candidate, machine *cluster.Machine) topology.Resources {
	free := s.freeCapacity(machine).Add(machine.StoppingUse)
	for _, used := range machine.UsedByLevel[:candidate.PreemptionPriority] {
		free = free.Add(used)
	}
	if candidate.WithinQuota {
		free = free.Add(machine.CheckpointedByLevel[candidate.PreemptionPriority]) // see mayPreempt
	}
	return free
}

// capacityOf returns the total capacity of a machine; false if it is not known.
func (s *Scheduler) capacityOf(machine *cluster.Machine) (topology.Resources, bool) {
	t := s.host.MachineType(machine)
	if t == nil || !machine.Described {
		return topology.Resources{}, false
	}
	return cluster.TypeCapacity(t), true
}

// freeCapacity returns the capacity of a machine that no task uses.
func (s *Scheduler) freeCapacity(machine *cluster.Machine) topology.Resources {
	capacity, _ := s.capacityOf(machine)
	return capacity.Sub(machine.Used)
}
