package scheduler

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang whose tasks take whole machines may find no room for ever, while enough of it is
// fragmented over machines that run a few replicas each, and the cloud has no machine left. Once
// the start of such a gang is overdue, replicas are rescheduled so that machines of one zone become
// free for it.

// maxMovesPerSlot bounds how many replicas are rescheduled for one task of a gang.
const maxMovesPerSlot = 4

// gangSlot is a machine for one task of a gang, which replicas move from it, and which tasks stop
// there.
type gangSlot struct {
	machine *cluster.Machine
	moves   []replicaMove
	stops   []cluster.TaskReference
}

// defragmentFor makes room for a gang whose start is overdue, if no machine can be provisioned for
// it.
func (p *pass) defragmentFor(candidate *Candidate) {
	job := candidate.Job
	if job.Shape != wire.ShapeGang || !candidate.cannotProvision || candidate.Reserved > 0 {
		return
	}
	if !p.startOverdue(job) || p.preemptionTarget(candidate, p.usage) == 0 {
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

// freeSlots moves and stops what runs in the slots of a gang, and reserves their machines.
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
	candidate.Reserved = len(slots)
	p.reserve(job, p.machinesOfSlots(slots), p.stopVictims(job, slots))
}

// countMoves counts the replicas that move.
func countMoves(slots []gangSlot) int {
	moves := 0
	for _, s := range slots {
		moves += len(s.moves)
	}
	return moves
}

// gangSlots finds a machine of a zone for each task of a gang, those with the fewest tasks first;
// nil if there are not enough.
func (p *pass) gangSlots(candidate *Candidate, zone string) []gangSlot {
	machines := p.defragmentable(candidate.Job, zone)
	plan := &defragmentation{
		pass:        p,
		candidate:   candidate,
		targets:     map[*cluster.Machine]*cluster.Job{},
		movedToZone: map[jobZone]int{},
		emptied:     map[*cluster.Machine]bool{},
	}
	defer plan.rollBack()
	// The machines that are tried first are no targets of moves.
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

// defragmentable lists the machines of a zone that a job's tasks may use, those with the fewest
// tasks first.
func (p *pass) defragmentable(job *cluster.Job, zone string) []*cluster.Machine {
	var machines []*cluster.Machine
	for _, m := range p.machines {
		if m.Zone == zone && p.isFeasible(job, m) && !p.isReserved(m) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *cluster.Machine) int { return len(a.Placements) - len(b.Placements) })
	return machines
}

// defragmentation is an attempt to find all machines of a gang in a zone. Moves that it plans are
// subtracted from the free capacity of the pass's tree until rollBack.
type defragmentation struct {
	pass        *pass
	candidate   *Candidate
	slots       []gangSlot
	targets     map[*cluster.Machine]*cluster.Job // machines that replicas move to, and whose replicas
	movedToZone map[jobZone]int                   // replicas of a job that move to a zone
	emptied     map[*cluster.Machine]bool         // machines that are to be free
}

// jobZone names a job in a zone.
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
		if !d.evictTask(&slot, ref) {
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

// evictTask plans that a task leaves the machine of a slot. It reports whether it may.
func (d *defragmentation) evictTask(slot *gangSlot, ref cluster.TaskReference) bool {
	switch {
	case ref.Task().Stop != nil:
		return true
	case ref.Job.Shape != wire.ShapeGang && mayPreempt(d.candidate, ref.Job):
		slot.stops = append(slot.stops, ref)
		return true
	case len(slot.moves) == maxMovesPerSlot || !d.pass.isMovable(ref):
		return false
	}
	target := d.chooseTarget(ref, slot.machine)
	if target == nil {
		return false
	}
	slot.moves = append(slot.moves, replicaMove{ref, target})
	return true
}

// chooseTarget finds a machine for a replica and counts the replica there; nil if there is none. A
// machine is reserved for one job at a time, and a spread job gets one more replica in a zone at
// most.
func (d *defragmentation) chooseTarget(replica cluster.TaskReference, from *cluster.Machine) *topology.Machine {
	job := replica.Job
	leaf := d.pass.moveTarget(replica, from, func(m *cluster.Machine) bool {
		other := d.targets[m]
		crowded := job.SpreadZones && m.Zone != from.Zone && d.movedToZone[jobZone{job, m.Zone}] > 0
		return !d.emptied[m] && !crowded && (other == nil || other == job)
	})
	if leaf == nil {
		return nil
	}
	target := d.machineOf(leaf)
	d.targets[target] = job
	d.movedToZone[jobZone{job, target.Zone}]++
	d.pass.tree.Take(leaf, replica.Size())
	return leaf
}

// discard takes back the moves of a slot that cannot be freed. Their targets still get no slots.
func (d *defragmentation) discard(slot gangSlot) {
	delete(d.emptied, slot.machine)
	for _, move := range slot.moves {
		d.pass.tree.Give(move.target, move.replica.Size())
		d.movedToZone[jobZone{move.replica.Job, d.machineOf(move.target).Zone}]--
	}
}

// rollBack gives back the capacity that the plan has subtracted: moveReplicas does it for good.
func (d *defragmentation) rollBack() {
	for _, slot := range d.slots {
		for _, move := range slot.moves {
			d.pass.tree.Give(move.target, move.replica.Size())
		}
	}
}

// machineOf is the machine that a leaf represents.
func (d *defragmentation) machineOf(leaf *topology.Machine) *cluster.Machine {
	return d.pass.machines[leaf.Index]
}
