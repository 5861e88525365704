package scheduler

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// If the pull of a job's image takes longer than its class may wait, its tasks start in time only on
// machines that have the image cached. If these are full, a replica that runs there may be
// rescheduled to another machine with free capacity that has the replica's image cached: the replica
// is down only briefly, while the new task would have to wait for the whole pull.

// minRunBeforeMove is how long a replica must have run before it is rescheduled: by the protocol, a
// start that is stopped sooner does not count.
const minRunBeforeMove = 30 * time.Second

// maxMovesPerTask bounds how many replicas are rescheduled for one task.
const maxMovesPerTask = 2

// replicaMove is a replica that is rescheduled, and its target machine.
type replicaMove struct {
	replica cluster.TaskReference
	target  *topology.Machine
}

// rescheduleFor makes room for a candidate's tasks on machines that have its image cached, by
// rescheduling replicas.
func (p *pass) rescheduleFor(candidate *Candidate) {
	job := candidate.Job
	if job.Shape == wire.ShapeGang {
		return
	}
	if candidate.ReservedTasks = p.ReservedTasks(job); candidate.ReservedTasks > 0 {
		return
	}
	plan := &reschedulingPlan{
		wanted:    p.preemptingTaskCount(candidate, p.usage),
		zoneBound: ZoneBound(job),
		inZone:    map[string]int{},
	}
	for _, m := range p.machines {
		if plan.isComplete() || p.evaluations > p.evaluationLimit {
			break
		}
		if m.HasImage(job.Image) && p.isFeasible(job, m) && !p.isReserved(m) {
			p.rescheduleFrom(candidate, m, plan)
		}
	}
	if len(plan.machines) > 0 {
		candidate.ReservedTasks = len(plan.machines)
		p.reserve(job, plan.machines, 0)
	}
}

// reschedulingPlan collects the machines on which moves have made room for a candidate.
type reschedulingPlan struct {
	wanted    int // number of tasks
	zoneBound func(zone string) int
	inZone    map[string]int     // tasks by zone
	machines  []*cluster.Machine // one entry for each task
}

// isComplete reports whether there is room for all tasks.
func (r *reschedulingPlan) isComplete() bool { return len(r.machines) == r.wanted }

// wantsMoreIn reports whether more tasks are wanted and the zone's bound allows another one.
func (r *reschedulingPlan) wantsMoreIn(zone string) bool {
	return len(r.machines) < r.wanted && (r.zoneBound == nil || r.inZone[zone] < r.zoneBound(zone))
}

// add adds room for a task on a machine.
func (r *reschedulingPlan) add(machine *cluster.Machine) {
	r.inZone[machine.Zone]++
	r.machines = append(r.machines, machine)
}

// rescheduleFrom makes room for as many of a candidate's tasks on a machine as moves away from it
// allow.
func (p *pass) rescheduleFrom(candidate *Candidate, machine *cluster.Machine, plan *reschedulingPlan) {
	free := p.freeCapacity(machine)
	for plan.wantsMoreIn(machine.Zone) {
		moves := p.findMoves(candidate, machine, free)
		if moves == nil {
			return
		}
		p.moveReplicas(moves)
		free = free.Add(sizeOfMoves(moves)).Sub(cluster.TaskSize(&candidate.Job.Job))
		plan.add(machine)
	}
}

// findMoves finds the moves away from a machine that make room for one task of a candidate; nil if
// there are none. free is the free capacity of the machine.
func (p *pass) findMoves(candidate *Candidate, machine *cluster.Machine, free topology.Resources) []replicaMove {
	needed := cluster.TaskSize(&candidate.Job.Job)
	// At most one replica moves to each target: the target may have no capacity for more, and
	// several replicas of one job would have to be counted together against the zone bound.
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
	if free.Add(sizeOfMoves(moves)).Holds(needed) {
		return moves
	}
	return nil
}

// sizeOfMoves returns the total size of the replicas that move.
func sizeOfMoves(moves []replicaMove) topology.Resources {
	var sum topology.Resources
	for _, move := range moves {
		sum = sum.Add(move.replica.Size())
	}
	return sum
}

// isMovable reports whether a task is a running replica that may be rescheduled.
func (s *Scheduler) isMovable(ref cluster.TaskReference) bool {
	t := ref.Task()
	if ref.Job.Shape != wire.ShapeService || ref.Job.OneZone {
		return false
	}
	return t.State == wire.TaskRunning && t.Stop == nil && t.RunningSince != 0 && s.host.Now()-t.RunningSince >= minRunBeforeMove
}

// moveTarget finds, among the machines where a replica fits and has its image cached, the one with
// the least free capacity. allowed may be nil.
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

// mayMoveTo reports whether a replica of a job may be rescheduled to a machine if it fits there.
func (s *Scheduler) mayMoveTo(job *cluster.Job, machine *cluster.Machine) bool {
	if !AllowsMachine(job, machine) || s.outliers.HasFailures(machine.Name) {
		return false
	}
	return machine.ReservedFor == job || !s.isReserved(machine)
}

// leavesWithImage returns the machines with free CPUs that have an image cached.
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

// moveReplicas stops replicas to reschedule them, and reserves their target machines.
func (p *pass) moveReplicas(moves []replicaMove) {
	for _, move := range moves {
		replica, job := move.replica, move.replica.Job
		target := p.machines[move.target.Index]
		p.tree.Allocate(move.target, replica.Size())
		job.ReschedulingTargets[replica.Index] = target
		p.reserve(job, []*cluster.Machine{target}, 0)
		p.log.Info("replica rescheduled", "task", replica.Name, "machine", replica.Task().Machine.Name, "target", target.Name)
		p.host.Reschedule(replica)
	}
}
