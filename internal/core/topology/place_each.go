package topology

import (
	"cmp"
	"slices"
)

// PlaceEach chooses machines for a number of tasks that start one by one, lowers the free
// resources of the machines and returns them in task order; tasks that no machine holds have no
// entry. It chooses as Place would for one task after the other. Count and Required of the request
// do not matter; ZoneBound bounds the tasks of the whole call, a negative penalty counts as 0, and
// a machine's penalty must not rise when it takes a task.
func (t *Tree) PlaceEach(request Request, tasks int) []*Machine {
	placement := &eachPlacement{
		tree:    t,
		request: &request,
		tasks:   tasks,
		placed:  make([]*Machine, 0, tasks),
		inZone:  map[string]int{},
	}
	// Each machine is evaluated once. Searched again after each that was filled, the next one
	// of a fleet of thousands cost an evaluation of all of them.
	var penalized []penalizedMachine
	for _, m := range slices.Clone(t.mayFit(request.Task)) {
		if placement.isComplete() {
			return placement.placed
		}
		t.evaluations++
		if !request.allows(m) {
			continue
		}
		if penalty := request.penalty(m); penalty > 0 {
			penalized = append(penalized, penalizedMachine{m, penalty})
			continue
		}
		placement.fill(m)
	}
	slices.SortStableFunc(penalized, func(a, b penalizedMachine) int { return cmp.Compare(a.penalty, b.penalty) })
	for _, m := range penalized {
		placement.fill(m.Machine)
	}
	return placement.placed
}

// penalizedMachine is a machine that may take a request's tasks, but not before others.
type penalizedMachine struct {
	*Machine
	penalty int
}

// eachPlacement is the state of PlaceEach.
type eachPlacement struct {
	tree    *Tree
	request *Request
	tasks   int
	placed  []*Machine
	inZone  map[string]int // tasks placed
}

// isComplete reports whether all tasks are placed.
func (p *eachPlacement) isComplete() bool { return len(p.placed) == p.tasks }

// fill places tasks on a machine while it holds them: with less free than before, it stays the
// tightest.
func (p *eachPlacement) fill(m *Machine) {
	bound := p.tasks
	if p.request.MachineBound != nil {
		bound = p.request.MachineBound(m)
	}
	last := min(p.tasks, len(p.placed)+bound)
	for len(p.placed) < last && m.Free.Holds(p.request.Task) && p.zoneHasRoom(m.Zone) {
		p.tree.Take(m, p.request.Task)
		p.inZone[m.Zone]++
		p.placed = append(p.placed, m)
	}
}

// zoneHasRoom reports whether a zone may take another task.
func (p *eachPlacement) zoneHasRoom(zone string) bool {
	return p.request.ZoneBound == nil || p.inZone[zone] < p.request.ZoneBound(zone)
}
