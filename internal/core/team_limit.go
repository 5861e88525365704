package core

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A team that uses all of its limit has no room for another task, however many
// machines stand idle. Work of a higher priority then makes room within the
// limit as it does on machines: it stops work of the same team. What becomes free
// is kept for it, since the team's other work would take it in the next pass:
// what is within the team's guarantee goes first there.

// limitReservations lists what is kept of the teams' limits for jobs that room is
// being made for.
func (l *leader) limitReservations() teamlimit.Reservations {
	kept := teamlimit.Reservations{}
	for _, j := range l.JobsBySubmission {
		if !j.PreemptedWithinTeam {
			continue
		}
		n := l.reservedTasks(j)
		if n == 0 {
			j.PreemptedWithinTeam = false
			continue
		}
		kept[j.Team] = append(kept[j.Team], teamlimit.Reservation{Priority: j.Level, Amount: cluster.Scaled(cluster.TaskSize(&j.Job), n)})
	}
	return kept
}

// preemptWithinLimit makes room for a candidate whose team is at its limit: it
// stops work of the team of a lower priority until the limit allows the
// candidate's tasks, where there is also room for them on machines or stops of
// such work make it. It tells whether the team has no such work.
func (l *leader) preemptWithinLimit(candidate *candidate, used topology.Resources) (nobody bool) {
	own := l.teamVictims(candidate)
	if len(own) == 0 {
		return true
	}
	used = used.Sub(l.stoppingUsage(candidate.job.Team))
	most, least := l.preemptionLimit(candidate), 1
	if candidate.job.Shape == wire.ShapeGang {
		least = most
	}
	candidate.ownTeamOnly = true
	chosen := l.chooseSlots(candidate, most, false)
	candidate.ownTeamOnly = false
	for ; len(chosen) >= least; chosen = chosen[:len(chosen)-1] {
		extra, ok := l.additionalVictims(candidate, chosen, own, used)
		if !ok {
			continue
		}
		candidate.job.PreemptedWithinTeam = true
		candidate.reserved = len(chosen)
		wait := max(l.stopVictims(candidate.job, chosen), l.stopVictims(candidate.job, extra))
		l.reserve(candidate.job, l.machinesOfSlots(chosen), wait)
		break
	}
	return false
}

// tasksPerEvaluation is how many tasks are passed over in the time of the evaluation of a machine.
const tasksPerEvaluation = 10

// teamVictims lists the tasks of a candidate's team that may be stopped for it,
// the least loss first. A gang is listed once, by its first task.
func (l *leader) teamVictims(candidate *candidate) []slot {
	var own []slot
	for _, machine := range l.MachinesByName {
		whole, ok := l.capacityOf(machine)
		if !ok {
			continue
		}
		l.passes.evaluations += 1 + len(machine.Placements)/tasksPerEvaluation
		for _, p := range machine.Placements {
			v := p.Job
			if v.Team != candidate.job.Team || v.Level >= candidate.preemptionPriority || p.Task().Stop != nil {
				continue
			}
			if v.Shape == wire.ShapeGang && slices.ContainsFunc(own, func(o slot) bool { return o.Victims[0].Task.Job == v }) {
				continue
			}
			loss := l.victimCost(v, p.Task(), whole)
			own = append(own, slot{Machine: machine.Name, Zone: machine.Zone, Victims: []victim{{Task: p, Loss: loss}}, Cost: loss})
		}
	}
	slices.SortStableFunc(own, func(a, b slot) int { return cmp.Compare(a.Cost, b.Cost) })
	return own
}

// additionalVictims chooses, of a team's own victims, those that have to go beside
// the victims of chosen so that the limit allows a task on each of chosen; not ok
// if all together are not enough.
func (l *leader) additionalVictims(c *candidate, chosen, own []slot, used topology.Resources) (extra []slot, ok bool) {
	indices, ok := teamlimit.ChooseVictims(l.limit(c.job.Team), used, cluster.TaskSize(&c.job.Job), len(chosen), limitVictims(chosen), limitVictims(own))
	for _, i := range indices {
		extra = append(extra, own[i])
	}
	return extra, ok
}

// limitVictims lists what the victims of rooms free in their team's limit.
func limitVictims(rooms []slot) []teamlimit.Victim[stopUnit] {
	var out []teamlimit.Victim[stopUnit]
	for _, r := range rooms {
		for _, v := range r.Victims {
			out = append(out, teamlimit.Victim[stopUnit]{Key: stopUnitOf(v.Task), TaskSize: v.Task.Size(), Freed: freedByStop(v.Task)})
		}
	}
	return out
}

// preemptibleUsage adds up what a team's work of a rank below uses.
func (l *leader) preemptibleUsage(team string, rank int) topology.Resources {
	var sum topology.Resources
	for _, m := range l.MachinesByName {
		for _, p := range m.Placements {
			if p.Job.Team == team && p.Job.Level < rank {
				sum = sum.Add(cluster.TaskSize(&p.Job.Job))
			}
		}
	}
	return sum
}

// stopUnit names what is stopped at once: a task, or all tasks of a gang.
type stopUnit struct {
	job   *cluster.Job
	index int
}

// stopUnitOf is the key of what is stopped with a task.
func stopUnitOf(p cluster.TaskReference) stopUnit {
	if p.Job.Shape == wire.ShapeGang {
		return stopUnit{p.Job, 0}
	}
	return stopUnit{p.Job, p.Index}
}

// freedByStop is what becomes free when a task is stopped: all of its gang goes.
func freedByStop(p cluster.TaskReference) topology.Resources {
	if p.Job.Shape == wire.ShapeGang {
		return cluster.Scaled(cluster.TaskSize(&p.Job.Job), p.Job.TasksPlaced)
	}
	return cluster.TaskSize(&p.Job.Job)
}

// stoppingUsage adds up what a team's tasks use that are on their way out.
func (l *leader) stoppingUsage(team string) topology.Resources {
	var sum topology.Resources
	for _, m := range l.MachinesByName {
		for _, p := range m.Placements {
			if p.Job.Team == team && p.Task().Stop != nil {
				sum = sum.Add(cluster.TaskSize(&p.Job.Job))
			}
		}
	}
	return sum
}
