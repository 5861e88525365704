package scheduler

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Where the pull of a job's image takes longer than its class may wait, its tasks start in time
// only on machines that hold the image. If those are full, a replica that runs there may be
// rescheduled to another machine that holds its own image and has free capacity: it is away for a
// moment, where the new task would wait for the whole pull.

// minRunBeforeMove is how long a replica has to have run before it is rescheduled: by the protocol
// a start that is stopped sooner does not count.
const minRunBeforeMove = 30 * time.Second

// maxMovesPerTask bounds how many replicas are rescheduled for one task.
const maxMovesPerTask = 2

// replicaMove is a replica that is rescheduled, and where it goes.
type replicaMove struct {
	replica cluster.TaskReference
	target  *topology.Machine
}

// rescheduleFor makes room for a candidate's tasks on machines that hold its image by rescheduling
// replicas.
func (p *pass) rescheduleFor(candidate *Candidate) {
	job := candidate.Job
	if job.Shape == wire.ShapeGang {
		return
	}
	if candidate.Reserved = p.ReservedTasks(job); candidate.Reserved > 0 {
		return
	}
	room := &roomByMoves{
		wanted:    p.preemptionTarget(candidate, p.usage),
		zoneBound: ZoneBound(job),
		inZone:    map[string]int{},
	}
	for _, m := range p.machines {
		if room.isComplete() || p.evaluations > p.evaluationLimit {
			break
		}
		if m.HasImage(job.Image) && p.isFeasible(job, m) && !p.isReserved(m) {
			p.rescheduleOn(candidate, m, room)
		}
	}
	if len(room.machines) > 0 {
		candidate.Reserved = len(room.machines)
		p.reserve(job, room.machines, 0)
	}
}

// roomByMoves is the room that is made for a candidate by moves.
type roomByMoves struct {
	wanted    int // tasks
	zoneBound func(zone string) int
	inZone    map[string]int
	machines  []*cluster.Machine // one for each task
}

// isComplete reports whether there is room for all tasks.
func (r *roomByMoves) isComplete() bool { return len(r.machines) == r.wanted }

// wantsMoreIn reports whether room for another task in a zone is of use.
func (r *roomByMoves) wantsMoreIn(zone string) bool {
	return len(r.machines) < r.wanted && (r.zoneBound == nil || r.inZone[zone] < r.zoneBound(zone))
}

// add adds room for a task on a machine.
func (r *roomByMoves) add(machine *cluster.Machine) {
	r.inZone[machine.Zone]++
	r.machines = append(r.machines, machine)
}

// rescheduleOn makes room for as many of a candidate's tasks on a machine as moves free.
func (p *pass) rescheduleOn(candidate *Candidate, machine *cluster.Machine, room *roomByMoves) {
	free := p.freeCapacity(machine)
	for room.wantsMoreIn(machine.Zone) {
		moves := p.findMoves(candidate, machine, free)
		if moves == nil {
			return
		}
		p.moveReplicas(moves)
		free = free.Add(freedByMoves(moves)).Sub(cluster.TaskSize(&candidate.Job.Job))
		room.add(machine)
	}
}

// findMoves finds the replicas on a machine that have to be rescheduled to make room for one task
// of a candidate, and where they go; nil if there are none. free is the free capacity there.
func (p *pass) findMoves(candidate *Candidate, machine *cluster.Machine, free topology.Resources) []replicaMove {
	needed := cluster.TaskSize(&candidate.Job.Job)
	// Of the replicas that would go to one machine only the first does: it may have no room
	// for more, and the zones of one job's replicas count together.
	var moves []replicaMove
	for _, replica := range machine.Placements {
		if !p.isMovable(replica) || replica.Job == candidate.Job || replica.Job.Level > candidate.Job.Level {
			continue
		}
		target := p.moveTarget(replica, machine, nil)
		if target == nil {
			continue
		}
		if free.Add(replica.Size()).Holds(needed) {
			return []replicaMove{{replica, target}}
		}
		if len(moves) < maxMovesPerTask && (len(moves) == 0 || moves[0].target != target) {
			moves = append(moves, replicaMove{replica, target})
		}
	}
	if free.Add(freedByMoves(moves)).Holds(needed) {
		return moves
	}
	return nil
}

// freedByMoves is what moves free on the machine that they are from.
func freedByMoves(moves []replicaMove) topology.Resources {
	var sum topology.Resources
	for _, move := range moves {
		sum = sum.Add(move.replica.Size())
	}
	return sum
}

// isMovable reports whether a task is a replica that runs and may be rescheduled.
func (s *Scheduler) isMovable(ref cluster.TaskReference) bool {
	t := ref.Task()
	if ref.Job.Shape != wire.ShapeService || ref.Job.OneZone {
		return false
	}
	return t.State == wire.TaskRunning && t.Stop == nil && t.RunningSince != 0 && s.host.Now()-t.RunningSince >= minRunBeforeMove
}

// moveTarget finds the machine with the least free capacity that holds a replica and its image.
// allowed may be nil.
func (p *pass) moveTarget(replica cluster.TaskReference, from *cluster.Machine, allowed func(*cluster.Machine) bool) *topology.Machine {
	job := replica.Job
	zoneBound := ZoneBound(job)
	var best *topology.Machine
	for _, leaf := range p.leavesWithImage(job.Image) {
		p.evaluations++
		machine := p.machines[leaf.Index]
		if machine == from || !leaf.Free.Holds(replica.Size()) || !p.mayMoveTo(job, machine) {
			continue
		}
		if allowed != nil && !allowed(machine) {
			continue
		}
		if zoneBound != nil && machine.Zone != from.Zone && zoneBound(machine.Zone) < 1 {
			continue
		}
		if best == nil || leaf.Free.Less(best.Free) {
			best = leaf
		}
	}
	return best
}

// mayMoveTo reports whether a replica of a job may be rescheduled to a machine, if it fits there.
func (s *Scheduler) mayMoveTo(job *cluster.Job, machine *cluster.Machine) bool {
	if !AllowsMachine(job, machine) || s.outliers.HasFailures(machine.Name) {
		return false
	}
	return machine.ReservedFor == job || !s.isReserved(machine)
}

// leavesWithImage lists the machines with free capacity that hold an image.
func (p *pass) leavesWithImage(image string) []*topology.Machine {
	if p.leavesByImage == nil {
		p.leavesByImage = map[string][]*topology.Machine{}
		for _, leaf := range p.leaves {
			if leaf.Free.CPUs <= 0 {
				continue
			}
			for _, cached := range p.machines[leaf.Index].CachedImages {
				p.leavesByImage[cached.Name] = append(p.leavesByImage[cached.Name], leaf)
			}
		}
	}
	return p.leavesByImage[image]
}

// moveReplicas stops replicas, which run elsewhere then, and reserves their machines.
func (p *pass) moveReplicas(moves []replicaMove) {
	for _, move := range moves {
		replica, job := move.replica, move.replica.Job
		target := p.machines[move.target.Index]
		p.tree.Take(move.target, replica.Size())
		job.ReschedulingTargets[replica.Index] = target
		p.reserve(job, []*cluster.Machine{target}, 0)
		p.log.Info("replica rescheduled", "task", replica.Name, "machine", replica.Task().Machine.Name, "target", target.Name)
		p.host.Reschedule(replica)
	}
}
