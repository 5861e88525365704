package topology

import "sort"

// domain is a part of the tree that may hold a whole request.
type domain struct {
	level   Level
	name    string
	free    Resources
	fit     int // tasks that it holds
	penalty int
	price   float64
	leaves  []*leaf
}

// leaf is a machine that may take tasks of a request.
type leaf struct {
	machine *Machine
	fit     int // tasks that it holds
	penalty int
}

// Place chooses machines for the tasks of a request, which start together, lowers the free
// resources of the machines and returns them in task order; nil if the request must wait.
func (t *Tree) Place(request Request) []*Machine {
	if request.Count < 1 {
		return nil
	}
	zones, machine := t.domains(request)
	if machine != nil {
		return t.assign(request, machine.leaves, "")
	}
	if request.Required == LevelMachine {
		return nil
	}
	if zone := tightestZone(zones, request.Count); zone != nil {
		return t.assign(request, zone.leaves, "")
	}
	if request.Required < LevelRoot {
		return nil
	}
	return t.placeOverZones(request, zones)
}

// domains counts how many tasks of a request fit into each zone, the zones by name, and finds the
// tightest machine that holds all of them, if there is one.
func (t *Tree) domains(request Request) (zones []*domain, machine *domain) {
	byName := map[string]*domain{}
	t.evaluations += len(t.machines)
	for _, m := range t.machines {
		leaf := request.leaf(m)
		if leaf == nil {
			continue
		}
		zone := byName[m.Zone]
		if zone == nil {
			zone = &domain{level: LevelZone, name: m.Zone}
			byName[m.Zone] = zone
			zones = append(zones, zone)
		}
		zone.add(leaf)
		if leaf.fit < request.Count {
			continue
		}
		if d := machineDomain(leaf); machine == nil || tighter(d, machine) {
			machine = d
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].name < zones[j].name })
	if request.ZoneBound != nil {
		for _, zone := range zones {
			zone.fit = min(zone.fit, request.ZoneBound(zone.name))
		}
	}
	return zones, machine
}

// add adds a leaf to a zone.
func (d *domain) add(l *leaf) {
	d.leaves = append(d.leaves, l)
	d.free = d.free.Add(l.machine.Free)
	d.fit += l.fit
}

// machineDomain is the domain of one machine.
func machineDomain(l *leaf) *domain {
	return &domain{
		level:   LevelMachine,
		name:    l.machine.Name,
		free:    l.machine.Free,
		fit:     l.fit,
		penalty: l.penalty,
		price:   l.machine.Price,
		leaves:  []*leaf{l},
	}
}

// leaf counts how many of a request's tasks a machine may take; nil if none.
func (r *Request) leaf(m *Machine) *leaf {
	if !r.allows(m) {
		return nil
	}
	fit := m.Free.Fit(r.Task, r.Count)
	if r.ZoneBound != nil {
		fit = min(fit, r.ZoneBound(m.Zone))
	}
	if fit < 1 {
		return nil
	}
	return &leaf{machine: m, fit: fit, penalty: r.penalty(m)}
}

// tightestZone finds the tightest zone that holds a number of tasks; nil if there is none.
func tightestZone(zones []*domain, count int) *domain {
	var best *domain
	for _, zone := range zones {
		if zone.fit >= count && (best == nil || tighter(zone, best)) {
			best = zone
		}
	}
	return best
}

// placeOverZones places a request that no zone holds: the zone that holds most of it comes first,
// the other machines follow.
func (t *Tree) placeOverZones(request Request, zones []*domain) []*Machine {
	fit := 0
	var leaves []*leaf
	for _, zone := range zones {
		fit += zone.fit
		leaves = append(leaves, zone.leaves...)
	}
	if fit < request.Count {
		return nil
	}
	most := zones[0]
	for _, zone := range zones[1:] {
		if zone.fit > most.fit || zone.fit == most.fit && tighter(zone, most) {
			most = zone
		}
	}
	return t.assign(request, leaves, most.name)
}

// tighter orders domains of which each holds a request: smaller levels first, then machines of a
// lower penalty, then the least free resources.
func tighter(a, b *domain) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	if a.penalty != b.penalty && a.level == LevelMachine {
		return a.penalty < b.penalty
	}
	if a.free != b.free {
		return a.free.Less(b.free)
	}
	if a.price != b.price {
		return a.price < b.price
	}
	return a.name < b.name
}

// assign distributes the tasks of a request over leaves, see closer; nil if they do not hold all
// of them.
func (t *Tree) assign(request Request, leaves []*leaf, preferredZone string) []*Machine {
	state := &assignment{
		request:       &request,
		leaves:        leaves,
		preferredZone: preferredZone,
		used:          map[*leaf]bool{},
		inZone:        map[string]int{},
	}
	assigned := make([]*Machine, 0, request.Count)
	for len(assigned) < request.Count {
		best, fit := state.next(request.Count - len(assigned))
		if best == nil {
			for _, m := range assigned {
				t.Give(m, request.Task)
			}
			return nil
		}
		state.used[best] = true
		state.inZone[best.machine.Zone] += fit
		for range fit {
			t.Take(best.machine, request.Task)
			assigned = append(assigned, best.machine)
		}
	}
	return assigned
}

// assignment is the state of assign.
type assignment struct {
	request       *Request
	leaves        []*leaf
	preferredZone string
	used          map[*leaf]bool
	inZone        map[string]int // tasks assigned
}

// next finds the leaf that comes next, and how many of the remaining tasks it takes; nil if no
// unused leaf takes any.
func (a *assignment) next(remaining int) (best *leaf, bestFit int) {
	for _, l := range a.leaves {
		if a.used[l] {
			continue
		}
		fit := min(l.fit, remaining)
		if a.request.ZoneBound != nil {
			fit = min(fit, a.request.ZoneBound(l.machine.Zone)-a.inZone[l.machine.Zone])
		}
		if fit < 1 {
			continue
		}
		if best == nil || closer(l, fit, best, bestFit, a.preferredZone) {
			best, bestFit = l, fit
		}
	}
	return best, bestFit
}

// closer orders leaves: those of the preferred zone first, then those of the lowest penalty, then
// the one that takes most of the remaining tasks, then the tightest. fitA and fitB are how many
// tasks they take.
func closer(a *leaf, fitA int, b *leaf, fitB int, preferredZone string) bool {
	if inA, inB := a.machine.Zone == preferredZone, b.machine.Zone == preferredZone; inA != inB {
		return inA
	}
	if a.penalty != b.penalty {
		return a.penalty < b.penalty
	}
	if fitA != fitB {
		return fitA > fitB
	}
	return compareFree(a.machine, b.machine) < 0
}
