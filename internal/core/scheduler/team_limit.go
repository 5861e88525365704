package scheduler

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A team that uses all of its limit has no room for another task, however many machines are idle.
// A job of a higher priority then preempts work of its own team, as on machines that are full. The
// part of the limit that becomes free is reserved for it: in the next pass the team's other work
// would take it, since what is within quota goes first there.

// tasksPerEvaluation is how many tasks are passed over in the time of the evaluation of a machine.
const tasksPerEvaluation = 10

// LimitReservations lists what of the teams' limits is reserved for jobs that preempted work of
// their own team.
func (s *Scheduler) LimitReservations() teamlimit.Reservations {
	reservations := teamlimit.Reservations{}
	for _, job := range s.state.JobsBySubmission {
		if !job.PreemptedWithinTeam {
			continue
		}
		tasks := s.ReservedTasks(job)
		if tasks == 0 {
			job.PreemptedWithinTeam = false
			continue
		}
		reservations[job.Team] = append(reservations[job.Team], teamlimit.Reservation{
			Priority: job.Level,
			Amount:   cluster.TaskSize(&job.Job).Times(tasks),
		})
	}
	return reservations
}

// preemptWithinLimit makes room for a candidate whose team is at its limit, of which it uses the
// given amount. It preempts work of the team of a lower priority until the limit allows the
// candidate's tasks, if machines hold them, or would after stops of such work. It reports whether
// the team has no such work.
func (s *Scheduler) preemptWithinLimit(candidate *Candidate, used topology.Resources) (noVictims bool) {
	own := s.teamVictims(candidate)
	if len(own) == 0 {
		return true
	}
	used = used.Sub(s.stoppingUsage(candidate.Job.Team))
	most, least := s.preemptionLimit(candidate), 1
	if candidate.Job.Shape == wire.ShapeGang {
		least = most
	}
	candidate.ownTeamOnly = true
	slots := s.chooseSlots(candidate, most, anyPullTime)
	candidate.ownTeamOnly = false
	for ; len(slots) >= least; slots = slots[:len(slots)-1] {
		if additional, ok := s.additionalVictims(candidate, slots, own, used); ok {
			s.preemptForLimit(candidate, slots, additional)
			break
		}
	}
	return false
}

// preemptForLimit stops the victims of slots, and those that have to stop for the limit alone, and
// reserves the machines of the slots.
func (s *Scheduler) preemptForLimit(candidate *Candidate, slots, additional []slot) {
	job := candidate.Job
	job.PreemptedWithinTeam = true
	candidate.Reserved = len(slots)
	grace := max(s.stopVictims(job, slots), s.stopVictims(job, additional))
	s.reserve(job, s.machinesOfSlots(slots), grace)
}

// teamVictims lists the tasks of a candidate's team that may be stopped for it, the least cost
// first. A gang is listed once, by its first task.
func (s *Scheduler) teamVictims(candidate *Candidate) []slot {
	var victims []slot
	for _, machine := range s.state.MachinesByName {
		capacity, ok := s.capacityOf(machine)
		if !ok {
			continue
		}
		s.evaluations += 1 + len(machine.Placements)/tasksPerEvaluation
		for _, ref := range machine.Placements {
			if !isTeamVictim(candidate, ref) || containsGang(victims, ref.Job) {
				continue
			}
			cost := s.victimCost(ref.Job, ref.Task(), capacity)
			victims = append(victims, slot{
				Machine: machine.Name,
				Zone:    machine.Zone,
				Victims: []victim{{Task: ref, Loss: cost}},
				Cost:    cost,
			})
		}
	}
	slices.SortStableFunc(victims, func(a, b slot) int { return cmp.Compare(a.Cost, b.Cost) })
	return victims
}

// isTeamVictim reports whether a task may be stopped for a candidate of its team.
func isTeamVictim(candidate *Candidate, ref cluster.TaskReference) bool {
	return ref.Job.Team == candidate.Job.Team && ref.Job.Level < candidate.PreemptionPriority && ref.Task().Stop == nil
}

// containsGang reports whether a job is a gang that victims contain already.
func containsGang(victims []slot, job *cluster.Job) bool {
	if job.Shape != wire.ShapeGang {
		return false
	}
	return slices.ContainsFunc(victims, func(s slot) bool { return s.Victims[0].Task.Job == job })
}

// additionalVictims chooses, of a team's own victims, those that have to stop in addition to the
// victims of slots so that the limit allows a task in each slot; not ok if all together are not
// enough.
func (s *Scheduler) additionalVictims(candidate *Candidate, slots, own []slot, used topology.Resources) (additional []slot, ok bool) {
	shortage := teamlimit.Shortage{
		Limit: s.host.Limit(candidate.Job.Team),
		Used:  used,
		Task:  cluster.TaskSize(&candidate.Job.Job),
		Count: len(slots),
	}
	indices, ok := teamlimit.ChooseVictims(shortage, limitVictims(slots), limitVictims(own))
	for _, i := range indices {
		additional = append(additional, own[i])
	}
	return additional, ok
}

// limitVictims lists what the victims of slots free of their team's limit.
func limitVictims(slots []slot) []teamlimit.Victim[stopUnit] {
	var victims []teamlimit.Victim[stopUnit]
	for _, s := range slots {
		for _, v := range s.Victims {
			victims = append(victims, teamlimit.Victim[stopUnit]{
				Key:      stopUnitOf(v.Task),
				TaskSize: v.Task.Size(),
				Freed:    freedByStop(v.Task),
			})
		}
	}
	return victims
}

// stopUnit names what stops together: a task, or all tasks of a gang.
type stopUnit struct {
	job   *cluster.Job
	index int // 0 for a gang
}

// stopUnitOf names what stops together with a task.
func stopUnitOf(ref cluster.TaskReference) stopUnit {
	if ref.Job.Shape == wire.ShapeGang {
		return stopUnit{ref.Job, 0}
	}
	return stopUnit{ref.Job, ref.Index}
}

// freedByStop is what becomes free when a task is stopped, with all of its gang.
func freedByStop(ref cluster.TaskReference) topology.Resources {
	if ref.Job.Shape == wire.ShapeGang {
		return ref.Size().Times(ref.Job.TasksPlaced)
	}
	return ref.Size()
}

// PreemptibleUsage is what tasks of a team below a priority level use.
func (s *Scheduler) PreemptibleUsage(team string, level int) topology.Resources {
	return s.usageOf(func(ref cluster.TaskReference) bool { return ref.Job.Team == team && ref.Job.Level < level })
}

// stoppingUsage is what tasks of a team use that are being stopped.
func (s *Scheduler) stoppingUsage(team string) topology.Resources {
	return s.usageOf(func(ref cluster.TaskReference) bool { return ref.Job.Team == team && ref.Task().Stop != nil })
}

// usageOf adds up what the placed tasks use that are included.
func (s *Scheduler) usageOf(included func(cluster.TaskReference) bool) topology.Resources {
	var sum topology.Resources
	for _, m := range s.state.MachinesByName {
		for _, ref := range m.Placements {
			if included(ref) {
				sum = sum.Add(ref.Size())
			}
		}
	}
	return sum
}
