package core

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang whose tasks take whole machines may find no room for ever, while enough of
// it lies scattered over machines that run a few replicas each, and the cloud has no
// machine left. Once such a gang has waited long for its beginning, replicas move
// together so that machines of one zone become free for it.

// gangSlot is a machine for one task of a gang, what moves from it to others, and
// what is stopped there.
type gangSlot struct {
	machine *cluster.Machine
	moves   []replicaMove
	stops   []cluster.TaskReference
}

// maxMovesPerSlot bounds how many replicas move for one task of a gang.
const maxMovesPerSlot = 4

// defragmentFor makes room for a gang that has waited long by moving replicas, if no
// machine can be rented for it.
func (p *placementPass) defragmentFor(candidate *candidate) {
	leader, job := p.leader, candidate.job
	if job.Shape != wire.ShapeGang || !candidate.cannotRent || candidate.reserved > 0 || !leader.startOverdue(job) || leader.preemptionTarget(candidate, p.usage) == 0 {
		return
	}
	var best []gangSlot
	for _, zone := range leader.usableZones() {
		seats := p.gangSlots(candidate, zone)
		if seats != nil && (best == nil || countMoves(seats) < countMoves(best)) {
			best = seats
		}
	}
	if best == nil {
		return
	}
	var rooms []slot
	for _, s := range best {
		p.moveReplicas(s.moves)
		r := slot{Machine: s.machine.Name, Zone: s.machine.Zone}
		for _, stop := range s.stops {
			r.Victims = append(r.Victims, victim{Task: stop})
		}
		rooms = append(rooms, r)
	}
	candidate.reserved = len(rooms)
	leader.reserve(job, leader.machinesOfSlots(rooms), leader.stopVictims(job, rooms))
}

// countMoves counts the replicas that move.
func countMoves(seats []gangSlot) int {
	n := 0
	for _, s := range seats {
		n += len(s.moves)
	}
	return n
}

// gangSlots finds a machine of a zone for each task of a gang, those with the
// fewest tasks first; nil if there are not enough.
func (p *placementPass) gangSlots(candidate *candidate, zone string) []gangSlot {
	leader := p.leader
	var machines []*cluster.Machine
	for _, m := range leader.passes.machines {
		if m.Zone == zone && leader.isFeasible(candidate.job, m) && (m.ReservedFor == nil || leader.core.now >= m.ReservedUntil) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *cluster.Machine) int { return len(a.Placements) - len(b.Placements) })
	plan := &defragmentation{pass: p, candidate: candidate, targets: map[*cluster.Machine]*cluster.Job{}, addedInZone: map[jobZone]int{}, emptied: map[*cluster.Machine]bool{}}
	defer plan.rollBack()
	// Those that come first are spared as targets, before they are tried.
	for _, m := range machines[:min(len(candidate.pending), len(machines))] {
		plan.emptied[m] = true
	}
	for _, m := range machines {
		if len(plan.slots) == len(candidate.pending) || leader.passes.evaluations > p.evaluationLimit {
			break
		}
		plan.tryMachine(m)
	}
	if len(plan.slots) < len(candidate.pending) {
		return nil
	}
	return plan.slots
}

// defragmentation is an attempt to find all machines of a gang in a zone.
type defragmentation struct {
	pass        *placementPass
	candidate   *candidate
	slots       []gangSlot
	targets     map[*cluster.Machine]*cluster.Job // machines that replicas move to, and whose
	addedInZone map[jobZone]int                   // replicas that move to a zone
	emptied     map[*cluster.Machine]bool         // machines that are to be free
}

// tryMachine adds a machine to the plan if it can be made free.
func (s *defragmentation) tryMachine(machine *cluster.Machine) {
	leader, need := s.pass.leader, cluster.TaskSize(&s.candidate.job.Job)
	if s.targets[machine] != nil {
		return
	}
	whole, _ := leader.capacityOf(machine)
	free := whole.Sub(machine.Used)
	seat := gangSlot{machine: machine}
	s.emptied[machine] = true
	for _, placed := range machine.Placements {
		if free.Holds(need) {
			break
		}
		if !s.evictTask(&seat, placed) {
			s.discard(seat)
			return
		}
		free = free.Add(cluster.TaskSize(&placed.Job.Job))
	}
	if !free.Holds(need) {
		s.discard(seat)
		return
	}
	s.slots = append(s.slots, seat)
}

// evictTask has a task leave the machine of a seat; not ok if it has to stay.
func (s *defragmentation) evictTask(seat *gangSlot, placed cluster.TaskReference) bool {
	leader := s.pass.leader
	switch {
	case placed.Task().Stop != nil:
		return true
	case placed.Job.Shape != wire.ShapeGang && leader.mayPreempt(s.candidate, placed.Job):
		seat.stops = append(seat.stops, placed)
		return true
	case len(seat.moves) == maxMovesPerSlot || !leader.isMovable(placed):
		return false
	}
	to := s.chooseTarget(placed, seat.machine)
	if to == nil {
		return false
	}
	seat.moves = append(seat.moves, replicaMove{placed, to})
	return true
}

// chooseTarget finds a machine for a replica and counts the replica there. The room on a
// machine is kept for one job at a time, and a spread job gets one more replica in
// a zone at most.
func (s *defragmentation) chooseTarget(replica cluster.TaskReference, from *cluster.Machine) *topology.Machine {
	leader, job := s.pass.leader, replica.Job
	to := s.pass.moveTarget(replica, from, func(m *cluster.Machine) bool {
		other := s.targets[m]
		crowded := job.SpreadZones && m.Zone != from.Zone && s.addedInZone[jobZone{job, m.Zone}] > 0
		return !s.emptied[m] && !crowded && (other == nil || other == job)
	})
	if to == nil {
		return nil
	}
	m := leader.passes.machines[to.Index]
	s.targets[m] = job
	s.addedInZone[jobZone{job, m.Zone}]++
	s.pass.tree.Take(to, cluster.TaskSize(&job.Job))
	return to
}

// discard takes back the moves of a seat that cannot be made free. The machines that
// they were to go to stay out of the seats.
func (s *defragmentation) discard(seat gangSlot) {
	delete(s.emptied, seat.machine)
	for _, r := range seat.moves {
		s.pass.tree.Give(r.target, cluster.TaskSize(&r.replica.Job.Job))
		s.addedInZone[jobZone{r.replica.Job, s.pass.leader.passes.machines[r.target.Index].Zone}]--
	}
}

// rollBack gives back the room that the plan has counted: p.move takes it for good.
func (s *defragmentation) rollBack() {
	for _, seat := range s.slots {
		for _, r := range seat.moves {
			s.pass.tree.Give(r.target, cluster.TaskSize(&r.replica.Job.Job))
		}
	}
}
