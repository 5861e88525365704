package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Where the image of a job is fetched for longer than its class may wait, its
// tasks start in time only on machines that hold the image. If those are full, a
// replica that runs there may move to another machine that holds its image and has
// room: it is away for a moment, where the new task would wait for the whole
// fetch.

// minRunBeforeMove is how long a replica has to have run before it is moved: by the
// protocol a start that is stopped sooner does not count.
const minRunBeforeMove = 30 * time.Second

// replicaMove is a replica that makes room, and where it goes.
type replicaMove struct {
	replica taskReference
	target  *topology.Machine
}

// rescheduleFor makes room for a candidate's tasks on machines that hold its image by
// moving replicas.
func (p *placementPass) rescheduleFor(candidate *candidate) {
	leader, job := p.leader, candidate.job
	if job.Shape == wire.ShapeGang {
		return
	}
	if candidate.reserved = leader.reservedTasks(job); candidate.reserved > 0 {
		return
	}
	zoneRoom := leader.zoneBound(job)
	added := map[string]int{} // by zone
	want := leader.preemptionTarget(candidate, p.usage)
	var room []*machine
	for _, m := range leader.passes.machines {
		if len(room) == want || leader.passes.evaluations > p.evaluationLimit {
			break
		}
		if !m.hasImage(job.Image) || !leader.isFeasible(job, m) || m.reservedFor != nil && leader.core.now < m.reservedUntil {
			continue
		}
		whole, _ := leader.capacityOf(m)
		free := whole.Sub(m.used)
		for len(room) < want && (zoneRoom == nil || added[m.zone] < zoneRoom(m.zone)) {
			moves := p.findMoves(candidate, m, free)
			if moves == nil {
				break
			}
			p.moveReplicas(moves)
			free = free.Add(freedByMoves(moves)).Sub(taskSize(&job.Job))
			added[m.zone]++
			room = append(room, m)
		}
	}
	if len(room) > 0 {
		candidate.reserved = len(room)
		leader.reserve(job, room, 0)
	}
}

// maxMovesPerTask bounds how many replicas move for one task.
const maxMovesPerTask = 2

// findMoves finds the replicas on a machine that have to move for one task of a
// candidate, and where to; nil if there are none. free is what is free there.
func (p *placementPass) findMoves(candidate *candidate, machine *machine, free topology.Resources) []replicaMove {
	leader, need := p.leader, taskSize(&candidate.job.Job)
	// Of the replicas that go to one machine only the first is taken: there may be
	// room for no more, and the zones of one job's replicas count together.
	var moves []replicaMove
	for _, replica := range machine.placements {
		if !leader.isMovable(replica) || replica.job == candidate.job || replica.job.level > candidate.job.level {
			continue
		}
		to := p.moveTarget(replica, machine, nil)
		if to == nil {
			continue
		}
		one := taskSize(&replica.job.Job)
		if free.Add(one).Holds(need) {
			return []replicaMove{{replica, to}}
		}
		if len(moves) < maxMovesPerTask && (len(moves) == 0 || moves[0].target != to) {
			moves = append(moves, replicaMove{replica, to})
		}
	}
	if free.Add(freedByMoves(moves)).Holds(need) {
		return moves
	}
	return nil
}

// freedByMoves is what moves make free on the machine that they are from.
func freedByMoves(moves []replicaMove) topology.Resources {
	var sum topology.Resources
	for _, r := range moves {
		sum = sum.Add(taskSize(&r.replica.job.Job))
	}
	return sum
}

// isMovable tells whether a task is a replica that runs and may move.
func (l *leader) isMovable(p taskReference) bool {
	t := p.task()
	return p.job.Shape == wire.ShapeService && !p.job.OneZone && t.state == wire.TaskRunning && t.stop == nil &&
		t.runningSince != 0 && l.core.now-t.runningSince >= minRunBeforeMove
}

// moveTarget finds the tightest machine with room that holds a replica's
// image. allowed may be nil.
func (p *placementPass) moveTarget(replica taskReference, from *machine, allowed func(*machine) bool) *topology.Machine {
	leader, job := p.leader, replica.job
	zoneRoom := leader.zoneBound(job)
	var best *topology.Machine
	for _, leaf := range p.leavesWithImage(job.Image) {
		leader.passes.evaluations++
		machine := leader.passes.machines[leaf.Index]
		if machine == from || !leaf.Free.Holds(taskSize(&job.Job)) || !eligible(&job.Job, machine.typeName, machine.zone, machine.spot) || leader.outliers.HasFailures(machine.name) {
			continue
		}
		if machine.reservedFor != nil && machine.reservedFor != job && leader.core.now < machine.reservedUntil || allowed != nil && !allowed(machine) {
			continue
		}
		if zoneRoom != nil && machine.zone != from.zone && zoneRoom(machine.zone) < 1 {
			continue
		}
		if best == nil || leaf.Free.Less(best.Free) {
			best = leaf
		}
	}
	return best
}

// leavesWithImage lists the machines that hold an image and are not full.
func (p *placementPass) leavesWithImage(image string) []*topology.Machine {
	if p.leavesByImage == nil {
		p.leavesByImage = map[string][]*topology.Machine{}
		for _, leaf := range p.leaves {
			if leaf.Free.CPUs <= 0 {
				continue
			}
			for _, i := range p.leader.passes.machines[leaf.Index].cachedImages {
				p.leavesByImage[i.name] = append(p.leavesByImage[i.name], leaf)
			}
		}
	}
	return p.leavesByImage[image]
}

// moveReplicas stops replicas to run elsewhere, and keeps their room there.
func (p *placementPass) moveReplicas(moves []replicaMove) {
	l := p.leader
	for _, r := range moves {
		j, to := r.replica.job, l.passes.machines[r.target.Index]
		p.tree.Take(r.target, taskSize(&j.Job))
		j.reschedulingTargets[r.replica.index] = to
		l.reserve(j, []*machine{to}, 0)
		l.core.log.Info("move replica", "task", r.replica.name, "from", r.replica.task().machine.name, "to", to.name)
		l.stopTask(j, r.replica.index, 0, stopRescheduled)
	}
}
