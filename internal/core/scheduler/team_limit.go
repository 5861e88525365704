package scheduler

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// If a team uses all of its limit, no further task of it can be placed, even if machines are idle. A
// job of a higher priority then preempts tasks of its own team, as it does if the machines are full.
// The part of the limit that this frees is reserved for the job: in the next pass other jobs of the
// team would take it, because jobs within quota come first.

// tasksPerEvaluation is how many tasks can be skipped in the time that one evaluation of a machine
// takes.
const tasksPerEvaluation = 10

// LimitReservations returns the parts of the teams' limits that are reserved for jobs that preempted
// tasks of their own team. It also clears PreemptedWithinTeam of jobs whose reservations have ended.
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

// preemptWithinLimit makes room for a candidate whose team is at its limit and uses the given
// amount. If the candidate's tasks fit on machines, or would after stops of tasks of the team with a
// lower priority, it preempts such tasks until the limit allows the candidate's. It reports whether
// the team has no such tasks.
func (s *Scheduler) preemptWithinLimit(candidate *Candidate, used topology.Resources) (noVictims bool) {
	teamVictims := s.teamVictims(candidate)
	if len(teamVictims) == 0 {
		return true
	}
	used = used.Sub(s.stoppingUsage(candidate.Job.Team))
	maxTasks, minTasks := s.maxPreemptingTasks(candidate), 1
	if candidate.Job.Shape == wire.ShapeGang {
		minTasks = maxTasks
	}
	candidate.ownTeamOnly = true
	slots := s.chooseSlots(candidate, maxTasks, anyPullTime)
	candidate.ownTeamOnly = false
	for ; len(slots) >= minTasks; slots = slots[:len(slots)-1] {
		if additional, ok := s.additionalVictims(candidate, slots, teamVictims, used); ok {
			s.preemptForLimit(candidate, slots, additional)
			break
		}
	}
	return false
}

// preemptForLimit stops the victims of slots and the additional victims, which only free part of the
// limit, and reserves the machines of the slots.
func (s *Scheduler) preemptForLimit(candidate *Candidate, slots, additional []slot) {
	job := candidate.Job
	job.PreemptedWithinTeam = true
	candidate.ReservedTasks = len(slots)
	grace := max(s.stopVictims(job, slots), s.stopVictims(job, additional))
	s.reserve(job, s.machinesOfSlots(slots), grace)
}

// teamVictims returns the tasks of a candidate's team that may be stopped for it, the least cost
// first. A gang is listed once, by the task that is found first.
func (s *Scheduler) teamVictims(candidate *Candidate) []slot {
	var victims []slot
	for _, machine := range s.state.MachinesByName {
		capacity, ok := s.capacityOf(machine)
		if !ok {
			continue
		}
		s.evaluations += 1 + len(machine.Placements)/tasksPerEvaluation
		for _, ref := range machine.Placements {
			if !isVictimForTeam(candidate, ref) || containsGang(victims, ref.Job) {
				continue
			}
			cost := s.victimCost(ref.Job, ref.Task(), capacity)
			victims = append(victims, slot{
				Machine: machine.Name,
				Zone:    machine.Zone,
				Victims: []victim{{Task: ref, Cost: cost}},
				Cost:    cost,
			})
		}
	}
	slices.SortStableFunc(victims, func(a, b slot) int { return cmp.Compare(a.Cost, b.Cost) })
	return victims
}

// isVictimForTeam reports whether a task may be stopped for a candidate of the same team.
func isVictimForTeam(candidate *Candidate, ref cluster.TaskReference) bool {
	return ref.Job.Team == candidate.Job.Team && ref.Job.Level < candidate.PreemptionPriority && ref.Task().Stop == nil
}

// containsGang reports whether a job is a gang that victims already contain.
func containsGang(victims []slot, job *cluster.Job) bool {
	if job.Shape != wire.ShapeGang {
		return false
	}
	return slices.ContainsFunc(victims, func(s slot) bool { return s.Victims[0].Task.Job == job })
}

// additionalVictims chooses the victims of a team that have to stop in addition to the victims of
// slots so that the limit allows a task in each slot; ok is false if all of them together are not
// enough.
func (s *Scheduler) additionalVictims(candidate *Candidate, slots, teamVictims []slot, used topology.Resources) (additional []slot, ok bool) {
	shortage := teamlimit.Shortage{
		Limit:    s.host.Limit(candidate.Job.Team),
		Used:     used,
		TaskSize: cluster.TaskSize(&candidate.Job.Job),
		Count:    len(slots),
	}
	indices, ok := teamlimit.ChooseVictims(shortage, limitVictims(slots), limitVictims(teamVictims))
	for _, i := range indices {
		additional = append(additional, teamVictims[i])
	}
	return additional, ok
}

// limitVictims converts the victims of slots for package teamlimit.
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

// stopUnit identifies what is stopped together: a task, or all tasks of a gang.
type stopUnit struct {
	job   *cluster.Job
	index int // 0 for a gang
}

// stopUnitOf returns the stopUnit of a task.
func stopUnitOf(ref cluster.TaskReference) stopUnit {
	if ref.Job.Shape == wire.ShapeGang {
		return stopUnit{ref.Job, 0}
	}
	return stopUnit{ref.Job, ref.Index}
}

// freedByStop returns the resources that the stop of a task, with all tasks of its gang, frees.
func freedByStop(ref cluster.TaskReference) topology.Resources {
	if ref.Job.Shape == wire.ShapeGang {
		return ref.Size().Times(ref.Job.TasksPlaced)
	}
	return ref.Size()
}

// PreemptibleUsage returns what the tasks of a team below a priority level use.
func (s *Scheduler) PreemptibleUsage(team string, level int) topology.Resources {
	return s.usageOf(func(ref cluster.TaskReference) bool { return ref.Job.Team == team && ref.Job.Level < level })
}

// stoppingUsage returns what the tasks of a team that are being stopped use.
func (s *Scheduler) stoppingUsage(team string) topology.Resources {
	return s.usageOf(func(ref cluster.TaskReference) bool { return ref.Job.Team == team && ref.Task().Stop != nil })
}

// usageOf returns the sum of what the included placed tasks use.
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
