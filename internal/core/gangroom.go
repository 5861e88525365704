package core

import (
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang whose tasks take whole machines may find no room for ever, while enough of
// it lies scattered over machines that run a few replicas each, and the cloud has no
// machine left. Once such a gang has waited long for its beginning, replicas move
// together so that machines of one zone become free for it.

// gangSeat is a machine for one task of a gang, what moves from it to others, and
// what is stopped there.
type gangSeat struct {
	machine *machine
	moves   []relocation
	stops   []taskRef
}

// maxSeatMoves bounds how many replicas move for one task of a gang.
const maxSeatMoves = 4

// compactFor makes room for a gang that has waited long by moving replicas, if no
// machine can be rented for it.
func (p *placementPass) compactFor(c *candidate) {
	l, j := p.l, c.job
	if j.Shape != wire.ShapeGang || !c.noOffer || c.reserved > 0 || !l.mustBegin(j) || l.preemptionsWanted(c, p.usage) == 0 {
		return
	}
	var best []gangSeat
	for _, zone := range l.zones() {
		seats := p.gangSeats(c, zone)
		if seats != nil && (best == nil || seatMoves(seats) < seatMoves(best)) {
			best = seats
		}
	}
	if best == nil {
		return
	}
	var rooms []room
	for _, s := range best {
		p.move(s.moves)
		r := room{Machine: s.machine.name, Zone: s.machine.zone}
		for _, stop := range s.stops {
			r.Victims = append(r.Victims, victim{Task: stop})
		}
		rooms = append(rooms, r)
	}
	c.reserved = len(rooms)
	l.reserve(j, l.machinesOfRooms(rooms), l.stopVictims(j, rooms))
}

// seatMoves counts the replicas that move.
func seatMoves(seats []gangSeat) int {
	n := 0
	for _, s := range seats {
		n += len(s.moves)
	}
	return n
}

// gangSeats finds a machine of a zone for each task of a gang, those with the
// fewest tasks first; nil if there are not enough.
func (p *placementPass) gangSeats(c *candidate, zone string) []gangSeat {
	l := p.l
	var machines []*machine
	for _, m := range l.passes.leaves {
		if m.zone == zone && l.mayTake(c.job, m) && (m.reserved == nil || l.c.now >= m.reservedUntil) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *machine) int { return len(a.placed) - len(b.placed) })
	plan := &seatPlan{p: p, c: c, targets: map[*machine]*job{}, added: map[jobZone]int{}, emptied: map[*machine]bool{}}
	defer plan.undo()
	// Those that come first are spared as targets, before they are tried.
	for _, m := range machines[:min(len(c.pending), len(machines))] {
		plan.emptied[m] = true
	}
	for _, m := range machines {
		if len(plan.seats) == len(c.pending) || l.passes.evaluations > p.budgetEnd {
			break
		}
		plan.tryMachine(m)
	}
	if len(plan.seats) < len(c.pending) {
		return nil
	}
	return plan.seats
}

// seatPlan is an attempt to find all machines of a gang in a zone.
type seatPlan struct {
	p       *placementPass
	c       *candidate
	seats   []gangSeat
	targets map[*machine]*job // machines that replicas move to, and whose
	added   map[jobZone]int   // replicas that move to a zone
	emptied map[*machine]bool // machines that are to be free
}

// tryMachine adds a machine to the plan if it can be made free.
func (s *seatPlan) tryMachine(m *machine) {
	l, need := s.p.l, size(&s.c.job.Job)
	if s.targets[m] != nil {
		return
	}
	whole, _ := l.total(m)
	free := whole.Sub(m.used)
	seat := gangSeat{machine: m}
	s.emptied[m] = true
	for _, placed := range m.placed {
		if free.Holds(need) {
			break
		}
		if !s.clear(&seat, placed) {
			s.drop(seat)
			return
		}
		free = free.Add(size(&placed.job.Job))
	}
	if !free.Holds(need) {
		s.drop(seat)
		return
	}
	s.seats = append(s.seats, seat)
}

// clear has a task leave the machine of a seat; not ok if it has to stay.
func (s *seatPlan) clear(seat *gangSeat, placed taskRef) bool {
	l := s.p.l
	switch {
	case placed.task().stop != nil:
		return true
	case placed.job.Shape != wire.ShapeGang && l.mayPreempt(s.c, placed.job):
		seat.stops = append(seat.stops, placed)
		return true
	case len(seat.moves) == maxSeatMoves || !l.settled(placed):
		return false
	}
	to := s.target(placed, seat.machine)
	if to == nil {
		return false
	}
	seat.moves = append(seat.moves, relocation{placed, to})
	return true
}

// target finds a machine for a replica and counts the replica there. The room on a
// machine is kept for one job at a time, and a spread job gets one more replica in
// a zone at most.
func (s *seatPlan) target(replica taskRef, from *machine) *topology.Machine {
	l, j := s.p.l, replica.job
	to := s.p.relocationTarget(replica, from, func(m *machine) bool {
		other := s.targets[m]
		crowded := j.Spread && m.zone != from.zone && s.added[jobZone{j, m.zone}] > 0
		return !s.emptied[m] && !crowded && (other == nil || other == j)
	})
	if to == nil {
		return nil
	}
	m := l.passes.leaves[to.Key]
	s.targets[m] = j
	s.added[jobZone{j, m.zone}]++
	s.p.tree.Take(to, size(&j.Job))
	return to
}

// drop takes back the moves of a seat that cannot be made free. The machines that
// they were to go to stay out of the seats.
func (s *seatPlan) drop(seat gangSeat) {
	delete(s.emptied, seat.machine)
	for _, r := range seat.moves {
		s.p.tree.Give(r.to, size(&r.replica.job.Job))
		s.added[jobZone{r.replica.job, s.p.l.passes.leaves[r.to.Key].zone}]--
	}
}

// undo gives back the room that the plan has counted: p.move takes it for good.
func (s *seatPlan) undo() {
	for _, seat := range s.seats {
		for _, r := range seat.moves {
			s.p.tree.Give(r.to, size(&r.replica.job.Job))
		}
	}
}
