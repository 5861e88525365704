package topology

import "sort"

// domain is a subtree (a zone or a machine) that is considered for all tasks of a request.
type domain struct {
	level   Level
	name    string
	free    Resources
	fit     int // how many tasks of the request fit
	penalty int
	price   float64
	leaves  []*leaf
}

// leaf is a machine that may take tasks of a request.
type leaf struct {
	machine *Machine
	fit     int // how many tasks of the request fit
	penalty int
}

// Place chooses machines for the tasks of a request, which start together. It subtracts the tasks
// from the free resources of the machines and returns the machines in task order, or nil if the
// request does not fit now.
func (t *Tree) Place(request Request) []*Machine {
	if request.Count < 1 {
		return nil
	}
	zones, machine := t.domains(request)
	if machine != nil {
		return t.assign(request, machine.leaves, "")
	}
	if request.RequiredLevel == LevelMachine {
		return nil
	}
	if zone := bestZone(zones, request.Count); zone != nil {
		return t.assign(request, zone.leaves, "")
	}
	if request.RequiredLevel < LevelRoot {
		return nil
	}
	return t.placeOverZones(request, zones)
}

// domains counts how many tasks of a request fit into each zone and returns the zones sorted by
// name. It also returns the best machine that fits all tasks, see isBetterDomain; nil if there is
// none.
func (t *Tree) domains(request Request) (zones []*domain, machine *domain) {
	byName := map[string]*domain{}
	t.evaluations += len(t.machines)
	for _, m := range t.machines {
		leaf := request.evaluate(m)
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
		if d := machineDomain(leaf); machine == nil || isBetterDomain(d, machine) {
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

// machineDomain returns the domain of a single machine.
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

// evaluate returns the leaf of a machine with the number of the request's tasks that it may take;
// nil if it may take none.
func (r *Request) evaluate(m *Machine) *leaf {
	if !r.allows(m) {
		return nil
	}
	fit := m.Free.Fit(r.TaskSize, r.Count)
	if r.ZoneBound != nil {
		fit = min(fit, r.ZoneBound(m.Zone))
	}
	if fit < 1 {
		return nil
	}
	return &leaf{machine: m, fit: fit, penalty: r.penalty(m)}
}

// bestZone returns the best zone that fits a number of tasks, see isBetterDomain; nil if there is
// none.
func bestZone(zones []*domain, count int) *domain {
	var best *domain
	for _, zone := range zones {
		if zone.fit >= count && (best == nil || isBetterDomain(zone, best)) {
			best = zone
		}
	}
	return best
}

// placeOverZones places a request that fits in no single zone. It fills the zone that fits the
// most tasks first, then the machines of the other zones.
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
	preferred := zones[0]
	for _, zone := range zones[1:] {
		if zone.fit > preferred.fit || zone.fit == preferred.fit && isBetterDomain(zone, preferred) {
			preferred = zone
		}
	}
	return t.assign(request, leaves, preferred.name)
}

// isBetterDomain reports whether domain a is preferred to b, where both fit the request. It prefers
// the lower level, then, among machines, the lower penalty, then the least free resources (best
// fit), the lower price and the name.
func isBetterDomain(a, b *domain) bool {
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

// assign distributes the tasks of a request over leaves in the order of isBetterLeaf. It returns
// nil, and changes no free resources, if the leaves do not fit all tasks.
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
				t.Release(m, request.TaskSize)
			}
			return nil
		}
		state.used[best] = true
		state.inZone[best.machine.Zone] += fit
		for range fit {
			t.Allocate(best.machine, request.TaskSize)
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
	inZone        map[string]int // assigned tasks by zone
}

// next returns the best unused leaf and how many of the remaining tasks it takes; nil if no unused
// leaf takes any.
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
		if best == nil || isBetterLeaf(l, fit, best, bestFit, a.preferredZone) {
			best, bestFit = l, fit
		}
	}
	return best, bestFit
}

// isBetterLeaf reports whether leaf a is preferred to b. It prefers a leaf in the preferred zone,
// then the lower penalty, then the leaf that takes more of the remaining tasks, then the one with
// the least free resources. fitA and fitB are how many tasks they take.
func isBetterLeaf(a *leaf, fitA int, b *leaf, fitB int, preferredZone string) bool {
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
