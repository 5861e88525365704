package scheduler

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang whose tasks need whole machines may never fit although enough capacity is free, because the
// free capacity is fragmented over machines that run a few replicas each and the cloud has no more
// machines. Once the start of such a gang is overdue, replicas are rescheduled so that machines of
// one zone become free for it.

// maxMovesPerSlot bounds how many replicas are rescheduled for one task of a gang.
const maxMovesPerSlot = 4

// gangSlot is a machine for one task of a gang, with the replicas that move away from it and the
// tasks that are stopped there.
type gangSlot struct {
	machine *cluster.Machine
	moves   []replicaMove
	stops   []cluster.TaskReference
}

// defragmentFor makes room in one zone for a gang whose start is overdue, if no machine can be
// provisioned for it. It chooses the zone where the fewest replicas have to move.
func (p *pass) defragmentFor(candidate *Candidate) {
	job := candidate.Job
	if job.Shape != wire.ShapeGang || !candidate.cannotProvision || candidate.ReservedTasks > 0 {
		return
	}
	if !p.startOverdue(job) || p.preemptingTaskCount(candidate, p.usage) == 0 {
		return
	}
	var best []gangSlot
	for _, zone := range p.usableZones() {
		slots := p.gangSlots(candidate, zone)
		if slots != nil && (best == nil || countMoves(slots) < countMoves(best)) {
			best = slots
		}
	}
	if best != nil {
		p.freeSlots(candidate, best)
	}
}

// freeSlots carries out the moves and stops of the slots of a gang, and reserves their machines.
func (p *pass) freeSlots(candidate *Candidate, gangSlots []gangSlot) {
	job := candidate.Job
	var slots []slot
	for _, s := range gangSlots {
		p.moveReplicas(s.moves)
		freed := slot{Machine: s.machine.Name, Zone: s.machine.Zone}
		for _, stopped := range s.stops {
			freed.Victims = append(freed.Victims, victim{Task: stopped})
		}
		slots = append(slots, freed)
	}
	candidate.ReservedTasks = len(slots)
	p.reserve(job, p.machinesOfSlots(slots), p.stopVictims(job, slots))
}

// countMoves returns the number of replicas that move.
func countMoves(slots []gangSlot) int {
	moves := 0
	for _, s := range slots {
		moves += len(s.moves)
	}
	return moves
}

// gangSlots finds a machine of a zone for each task of a gang. It tries the machines with the fewest
// tasks first and returns nil if not enough can be freed.
func (p *pass) gangSlots(candidate *Candidate, zone string) []gangSlot {
	machines := p.defragmentationMachines(candidate.Job, zone)
	plan := &defragmentation{
		pass:        p,
		candidate:   candidate,
		targets:     map[*cluster.Machine]*cluster.Job{},
		movedToZone: map[jobZone]int{},
		emptied:     map[*cluster.Machine]bool{},
	}
	defer plan.rollBack()
	// Replicas do not move to the machines that are tried first.
	for _, m := range machines[:min(len(candidate.Pending), len(machines))] {
		plan.emptied[m] = true
	}
	for _, m := range machines {
		if len(plan.slots) == len(candidate.Pending) || p.evaluations > p.evaluationLimit {
			break
		}
		plan.tryMachine(m)
	}
	if len(plan.slots) < len(candidate.Pending) {
		return nil
	}
	return plan.slots
}

// defragmentationMachines returns the machines of a zone that a job's tasks may use, those with the
// fewest tasks first.
func (p *pass) defragmentationMachines(job *cluster.Job, zone string) []*cluster.Machine {
	var machines []*cluster.Machine
	for _, m := range p.machines {
		if m.Zone == zone && p.isFeasible(job, m) && !p.isReserved(m) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *cluster.Machine) int { return len(a.Placements) - len(b.Placements) })
	return machines
}

// defragmentation is a plan to free machines in a zone for all tasks of a gang. Planned moves are
// subtracted from the free capacity in the pass's tree until rollBack.
type defragmentation struct {
	pass        *pass
	candidate   *Candidate
	slots       []gangSlot
	targets     map[*cluster.Machine]*cluster.Job // the job whose replicas move to a machine
	movedToZone map[jobZone]int                   // number of replicas of a job that move to a zone
	emptied     map[*cluster.Machine]bool         // machines to be freed for the gang
}

// jobZone is the key of counts by job and zone.
type jobZone struct {
	job  *cluster.Job
	zone string
}

// tryMachine adds a machine to the plan if it can be freed.
func (d *defragmentation) tryMachine(machine *cluster.Machine) {
	if d.targets[machine] != nil {
		return
	}
	needed := cluster.TaskSize(&d.candidate.Job.Job)
	free := d.pass.freeCapacity(machine)
	slot := gangSlot{machine: machine}
	d.emptied[machine] = true
	for _, ref := range machine.Placements {
		if free.Holds(needed) {
			break
		}
		if !d.planEviction(&slot, ref) {
			d.discard(slot)
			return
		}
		free = free.Add(ref.Size())
	}
	if !free.Holds(needed) {
		d.discard(slot)
		return
	}
	d.slots = append(d.slots, slot)
}

// planEviction plans the stop or the move of a task on the machine of a slot, unless the task is
// already being stopped. It reports whether the task can be evicted.
func (d *defragmentation) planEviction(slot *gangSlot, ref cluster.TaskReference) bool {
	switch {
	case ref.Task().Stop != nil:
		return true
	case ref.Job.Shape != wire.ShapeGang && mayPreempt(d.candidate, ref.Job):
		slot.stops = append(slot.stops, ref)
		return true
	case len(slot.moves) == maxMovesPerSlot || !d.pass.isMovable(ref):
		return false
	}
	target := d.planMove(ref, slot.machine)
	if target == nil {
		return false
	}
	slot.moves = append(slot.moves, replicaMove{ref, target})
	return true
}

// planMove chooses the target machine of a replica and subtracts the replica from its free capacity;
// nil if there is none. A target takes replicas of a single job only, because a machine is reserved
// for one job at a time. Into another zone, at most one replica of a spread job moves.
func (d *defragmentation) planMove(replica cluster.TaskReference, from *cluster.Machine) *topology.Machine {
	job := replica.Job
	leaf := d.pass.moveTarget(replica, from, func(m *cluster.Machine) bool {
		other := d.targets[m]
		zoneUsed := job.SpreadZones && m.Zone != from.Zone && d.movedToZone[jobZone{job, m.Zone}] > 0
		return !d.emptied[m] && !zoneUsed && (other == nil || other == job)
	})
	if leaf == nil {
		return nil
	}
	target := d.machineOf(leaf)
	d.targets[target] = job
	d.movedToZone[jobZone{job, target.Zone}]++
	d.pass.tree.Allocate(leaf, replica.Size())
	return leaf
}

// discard reverts the planned moves of a slot that cannot be freed. The targets of these moves stay
// in d.targets, so they are not used as slots.
func (d *defragmentation) discard(slot gangSlot) {
	delete(d.emptied, slot.machine)
	for _, move := range slot.moves {
		d.pass.tree.Release(move.target, move.replica.Size())
		d.movedToZone[jobZone{move.replica.Job, d.machineOf(move.target).Zone}]--
	}
}

// rollBack adds the capacity that the plan has subtracted back to the tree. moveReplicas subtracts
// it again if the plan is carried out.
func (d *defragmentation) rollBack() {
	for _, slot := range d.slots {
		for _, move := range slot.moves {
			d.pass.tree.Release(move.target, move.replica.Size())
		}
	}
}

// machineOf returns the machine that a leaf represents.
func (d *defragmentation) machineOf(leaf *topology.Machine) *cluster.Machine {
	return d.pass.machines[leaf.Index]
}
