package core

import (
	"cmp"
	"slices"

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
	for _, j := range l.order {
		if !j.madeRoomInLimit {
			continue
		}
		n := l.reservedFor(j)
		if n == 0 {
			j.madeRoomInLimit = false
			continue
		}
		kept[j.Team] = append(kept[j.Team], teamlimit.Reservation{Rank: j.rank, Amount: times(size(&j.Job), n)})
	}
	return kept
}

// preemptWithinLimit makes room for a candidate whose team is at its limit: it
// stops work of the team of a lower priority until the limit allows the
// candidate's tasks, where there is also room for them on machines or stops of
// such work make it. It tells whether the team has no such work.
func (l *leader) preemptWithinLimit(c *candidate, used topology.Resources) (nobody bool) {
	own := l.ownVictims(c)
	if len(own) == 0 {
		return true
	}
	used = used.Sub(l.stoppingOf(c.job.Team))
	most, least := l.mostPreemptions(c), 1
	if c.job.Shape == wire.ShapeGang {
		least = most
	}
	c.ownTeamOnly = true
	chosen := l.bestPreemptions(c, most, false)
	c.ownTeamOnly = false
	for ; len(chosen) >= least; chosen = chosen[:len(chosen)-1] {
		extra, ok := l.stopsForLimit(c, chosen, own, used)
		if !ok {
			continue
		}
		c.job.madeRoomInLimit = true
		c.reserved = len(chosen)
		wait := max(l.stopVictims(c.job, chosen), l.stopVictims(c.job, extra))
		l.reserve(c.job, l.machinesOfRooms(chosen), wait)
		break
	}
	return false
}

// tasksPerEvaluation is how many tasks are passed over in the time of the evaluation of a machine.
const tasksPerEvaluation = 10

// ownVictims lists the tasks of a candidate's team that may be stopped for it,
// the least loss first. A gang is listed once, by its first task.
func (l *leader) ownVictims(c *candidate) []room {
	var own []room
	for _, m := range l.byName {
		whole, ok := l.total(m)
		if !ok {
			continue
		}
		l.passes.evaluations += 1 + len(m.placed)/tasksPerEvaluation
		for _, p := range m.placed {
			v := p.job
			if v.Team != c.job.Team || v.rank >= c.preemptionRank || p.task().stop != nil {
				continue
			}
			if v.Shape == wire.ShapeGang && slices.ContainsFunc(own, func(o room) bool { return o.Victims[0].Task.job == v }) {
				continue
			}
			loss := l.victimCost(v, p.task(), whole)
			own = append(own, room{Machine: m.name, Zone: m.zone, Victims: []victim{{Task: p, Loss: loss}}, Cost: loss})
		}
	}
	slices.SortStableFunc(own, func(a, b room) int { return cmp.Compare(a.Cost, b.Cost) })
	return own
}

// stopsForLimit chooses, of a team's own victims, those that have to go beside
// the victims of chosen so that the limit allows a task on each of chosen; not ok
// if all together are not enough.
func (l *leader) stopsForLimit(c *candidate, chosen, own []room, used topology.Resources) (extra []room, ok bool) {
	indices, ok := teamlimit.ChooseStops(l.limit(c.job.Team), used, size(&c.job.Job), len(chosen), limitStops(chosen), limitStops(own))
	for _, i := range indices {
		extra = append(extra, own[i])
	}
	return extra, ok
}

// limitStops lists what the victims of rooms free in their team's limit.
func limitStops(rooms []room) []teamlimit.Stop[taskKey] {
	var out []teamlimit.Stop[taskKey]
	for _, r := range rooms {
		for _, v := range r.Victims {
			out = append(out, teamlimit.Stop[taskKey]{Key: v.Task.stopKey(), Task: v.Task.Size(), Frees: stoppedWith(v.Task)})
		}
	}
	return out
}

// stoppableUse adds up what a team's work of a rank below uses.
func (l *leader) stoppableUse(team string, rank int) topology.Resources {
	var sum topology.Resources
	for _, m := range l.byName {
		for _, p := range m.placed {
			if p.job.Team == team && p.job.rank < rank {
				sum = sum.Add(size(&p.job.Job))
			}
		}
	}
	return sum
}

// taskKey names what is stopped at once: a task, or all tasks of a gang.
type taskKey struct {
	job   *job
	index int
}

// stopKey is the key of what is stopped with a task.
func (p taskRef) stopKey() taskKey {
	if p.job.Shape == wire.ShapeGang {
		return taskKey{p.job, 0}
	}
	return taskKey{p.job, p.index}
}

// stoppedWith is what becomes free when a task is stopped: all of its gang goes.
func stoppedWith(p taskRef) topology.Resources {
	if p.job.Shape == wire.ShapeGang {
		return times(size(&p.job.Job), p.job.placed)
	}
	return size(&p.job.Job)
}

// stoppingOf adds up what a team's tasks use that are on their way out.
func (l *leader) stoppingOf(team string) topology.Resources {
	var sum topology.Resources
	for _, m := range l.byName {
		for _, p := range m.placed {
			if p.job.Team == team && p.task().stop != nil {
				sum = sum.Add(size(&p.job.Job))
			}
		}
	}
	return sum
}
