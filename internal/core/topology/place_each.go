package topology

import (
	"cmp"
	"slices"
)

// PlaceEach chooses machines for a number of tasks that start independently. It subtracts the tasks
// from the free resources of the machines and returns the machines in task order; the result is
// shorter than the number of tasks if the last ones fit nowhere. It chooses the same machines as
// one call of Place for each task. It ignores Count and RequiredLevel of the request; ZoneBound
// bounds the tasks of the whole call, and a negative penalty counts as 0. The penalty of a machine
// must not increase when it takes a task.
func (t *Tree) PlaceEach(request Request, tasks int) []*Machine {
	placement := &eachPlacement{
		tree:    t,
		request: &request,
		tasks:   tasks,
		placed:  make([]*Machine, 0, tasks),
		inZone:  map[string]int{},
	}
	// Each machine is evaluated once per call. Repeating the search after each filled machine
	// evaluated all machines of a fleet of thousands again.
	var penalized []penalizedMachine
	for _, m := range slices.Clone(t.machinesWithFreeGPUs(request.TaskSize)) {
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

// penalizedMachine is a machine that takes tasks of a request only after the machines of a lower
// penalty.
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
	inZone  map[string]int // placed tasks by zone
}

// isComplete reports whether all tasks are placed.
func (p *eachPlacement) isComplete() bool { return len(p.placed) == p.tasks }

// fill places as many tasks on a machine as fit. Each task leaves less free there, so the machine
// remains the best fit for the next one.
func (p *eachPlacement) fill(m *Machine) {
	bound := p.tasks
	if p.request.MachineBound != nil {
		bound = p.request.MachineBound(m)
	}
	last := min(p.tasks, len(p.placed)+bound)
	for len(p.placed) < last && m.Free.Holds(p.request.TaskSize) && p.zoneAllowsMore(m.Zone) {
		p.tree.Allocate(m, p.request.TaskSize)
		p.inZone[m.Zone]++
		p.placed = append(p.placed, m)
	}
}

// zoneAllowsMore reports whether the zone's bound allows another task.
func (p *eachPlacement) zoneAllowsMore(zone string) bool {
	return p.request.ZoneBound == nil || p.inZone[zone] < p.request.ZoneBound(zone)
}
