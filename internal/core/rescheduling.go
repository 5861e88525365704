package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	replica cluster.TaskReference
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
	var room []*cluster.Machine
	for _, m := range leader.passes.machines {
		if len(room) == want || leader.passes.evaluations > p.evaluationLimit {
			break
		}
		if !m.HasImage(job.Image) || !leader.isFeasible(job, m) || m.ReservedFor != nil && leader.core.now < m.ReservedUntil {
			continue
		}
		whole, _ := leader.capacityOf(m)
		free := whole.Sub(m.Used)
		for len(room) < want && (zoneRoom == nil || added[m.Zone] < zoneRoom(m.Zone)) {
			moves := p.findMoves(candidate, m, free)
			if moves == nil {
				break
			}
			p.moveReplicas(moves)
			free = free.Add(freedByMoves(moves)).Sub(cluster.TaskSize(&job.Job))
			added[m.Zone]++
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
func (p *placementPass) findMoves(candidate *candidate, machine *cluster.Machine, free topology.Resources) []replicaMove {
	leader, need := p.leader, cluster.TaskSize(&candidate.job.Job)
	// Of the replicas that go to one machine only the first is taken: there may be
	// room for no more, and the zones of one job's replicas count together.
	var moves []replicaMove
	for _, replica := range machine.Placements {
		if !leader.isMovable(replica) || replica.Job == candidate.job || replica.Job.Level > candidate.job.Level {
			continue
		}
		to := p.moveTarget(replica, machine, nil)
		if to == nil {
			continue
		}
		one := cluster.TaskSize(&replica.Job.Job)
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
		sum = sum.Add(cluster.TaskSize(&r.replica.Job.Job))
	}
	return sum
}

// isMovable tells whether a task is a replica that runs and may move.
func (l *leader) isMovable(p cluster.TaskReference) bool {
	t := p.Task()
	return p.Job.Shape == wire.ShapeService && !p.Job.OneZone && t.State == wire.TaskRunning && t.Stop == nil &&
		t.RunningSince != 0 && l.core.now-t.RunningSince >= minRunBeforeMove
}

// moveTarget finds the tightest machine with room that holds a replica's
// image. allowed may be nil.
func (p *placementPass) moveTarget(replica cluster.TaskReference, from *cluster.Machine, allowed func(*cluster.Machine) bool) *topology.Machine {
	leader, job := p.leader, replica.Job
	zoneRoom := leader.zoneBound(job)
	var best *topology.Machine
	for _, leaf := range p.leavesWithImage(job.Image) {
		leader.passes.evaluations++
		machine := leader.passes.machines[leaf.Index]
		if machine == from || !leaf.Free.Holds(cluster.TaskSize(&job.Job)) || !eligible(&job.Job, machine.TypeName, machine.Zone, machine.Spot) || leader.outliers.HasFailures(machine.Name) {
			continue
		}
		if machine.ReservedFor != nil && machine.ReservedFor != job && leader.core.now < machine.ReservedUntil || allowed != nil && !allowed(machine) {
			continue
		}
		if zoneRoom != nil && machine.Zone != from.Zone && zoneRoom(machine.Zone) < 1 {
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
			for _, i := range p.leader.passes.machines[leaf.Index].CachedImages {
				p.leavesByImage[i.Name] = append(p.leavesByImage[i.Name], leaf)
			}
		}
	}
	return p.leavesByImage[image]
}

// moveReplicas stops replicas to run elsewhere, and keeps their room there.
func (p *placementPass) moveReplicas(moves []replicaMove) {
	l := p.leader
	for _, r := range moves {
		j, to := r.replica.Job, l.passes.machines[r.target.Index]
		p.tree.Take(r.target, cluster.TaskSize(&j.Job))
		j.ReschedulingTargets[r.replica.Index] = to
		l.reserve(j, []*cluster.Machine{to}, 0)
		l.core.log.Info("move replica", "task", r.replica.Name, "from", r.replica.Task().Machine.Name, "to", to.Name)
		l.stopTask(j, r.replica.Index, 0, stopRescheduled)
	}
}
