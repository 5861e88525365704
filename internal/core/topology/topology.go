// Package topology places tasks over a tree of root, zones and machines. It
// counts bottom up how many tasks fit in each domain and takes the fitting
// domain with the least free resources. It does no I/O and keeps no time.
package topology

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// Resources are amounts of a machine's resources.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// tolerance is the error of sums that is put up with.
const tolerance = 1e-6

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemGB + o.MemGB}
}

// Sub returns r-o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemGB - o.MemGB}
}

// Holds tells whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.CPUs <= r.CPUs+tolerance && o.GPUs <= r.GPUs+tolerance && o.MemGB <= r.MemGB+tolerance
}

// Less orders amounts by the scarcest resource first.
func (r Resources) Less(o Resources) bool {
	if r.GPUs != o.GPUs {
		return r.GPUs < o.GPUs
	}
	if r.CPUs != o.CPUs {
		return r.CPUs < o.CPUs
	}
	return r.MemGB < o.MemGB
}

// Fit returns how many tasks of size t fit into r, at most limit.
func (r Resources) Fit(task Resources, limit int) int {
	count := limit
	one := func(have, want float64) {
		if want > 0 {
			// Compared before it is an integer: of a tiny size more fit than
			// an integer holds.
			if k := (have + tolerance) / want; k < float64(count) {
				count = int(k)
			}
		}
	}
	one(r.CPUs, task.CPUs)
	one(r.GPUs, task.GPUs)
	one(r.MemGB, task.MemGB)
	if count < 0 {
		return 0
	}
	return count
}

// Level is a level of the tree, from the machines up.
type Level int

// The levels of the tree.
const (
	LevelMachine Level = iota
	LevelZone
	LevelRoot
)

// Machine is a leaf of the tree. Its free room changes by Take and Give only.
type Machine struct {
	Name  string
	Zone  string
	Price float64
	Free  Resources
	Index int // the caller's own mark
}

// Tree holds the machines that may take tasks.
type Tree struct {
	machines    []*Machine // by name
	byFree      []*Machine // the least free room first, see compareFree
	evaluations int
}

// New builds a tree over machines.
func New(machines []*Machine) *Tree {
	t := &Tree{machines: slices.Clone(machines)}
	slices.SortFunc(t.machines, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	t.byFree = slices.Clone(t.machines)
	slices.SortFunc(t.byFree, compareFree)
	return t
}

// Evaluations counts the machines that were looked at so far: what the tree cost,
// independent of any clock.
func (t *Tree) Evaluations() int { return t.evaluations }

// Take lowers a machine's free room.
func (t *Tree) Take(m *Machine, r Resources) { t.setFree(m, m.Free.Sub(r)) }

// Give raises a machine's free room.
func (t *Tree) Give(m *Machine, r Resources) { t.setFree(m, m.Free.Add(r)) }

// setFree changes a machine's free room and its place in the order.
func (t *Tree) setFree(m *Machine, free Resources) {
	from, _ := slices.BinarySearchFunc(t.byFree, m, compareFree)
	m.Free = free
	rest := slices.Delete(t.byFree, from, from+1)
	to, _ := slices.BinarySearchFunc(rest, m, compareFree)
	t.byFree = slices.Insert(rest, to, m)
}

// compareFree orders machines by free room, then price and name.
func compareFree(a, b *Machine) int {
	switch {
	case a.Free != b.Free:
		if a.Free.Less(b.Free) {
			return -1
		}
		return 1
	case a.Price < b.Price:
		return -1
	case a.Price > b.Price:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// mayFit lists the machines that may have room for a task, the tightest first: those
// with too few free GPUs are left out.
func (t *Tree) mayFit(task Resources) []*Machine {
	least := Resources{GPUs: task.GPUs}
	first := sort.Search(len(t.byFree), func(i int) bool { return Resources{GPUs: t.byFree[i].Free.GPUs}.Holds(least) })
	return t.byFree[first:]
}

// AnyFits tells whether a machine has room for a task.
func (t *Tree) AnyFits(task Resources, allowed func(*Machine) bool) bool {
	for _, m := range t.mayFit(task) {
		t.evaluations++
		if m.Free.Holds(task) && allowed(m) {
			return true
		}
	}
	return false
}

// Request asks for room for tasks that start together.
type Request struct {
	// Task is the largest task's size; all count as this.
	Task Resources
	// Count is the number of tasks.
	Count int
	// Allowed tells whether a machine may take the tasks; nil allows all.
	Allowed func(*Machine) bool
	// MachineBound bounds how many tasks that are placed each for itself a machine takes; nil
	// sets no bound.
	MachineBound func(*Machine) int
	// ZoneBound bounds the tasks in a zone; nil sets no bound.
	ZoneBound func(zone string) int
	// Required is the level at or below which the whole request must be placed;
	// LevelRoot requires nothing. The preferred level is always the zone.
	Required Level
	// Penalty orders machines that hold all tasks, lower first; nil ranks all alike.
	Penalty func(*Machine) int
	// LowestPenalty is the lowest rank that any machine may have.
	LowestPenalty int
}

// domain is a part of the tree that may hold a whole request.
type domain struct {
	level    Level
	name     string
	free     Resources
	fit      int
	penalty  int
	price    float64
	machines []*leaf
}

// leaf is a machine that may take tasks of a request.
type leaf struct {
	machine *Machine
	fit     int
	penalty int
}

// Place chooses a machine for every task, lowers their room and returns the
// machines in task order; nil if the request must wait.
func (t *Tree) Place(request Request) []*Machine {
	if request.Count < 1 {
		return nil
	}
	zones, machine := t.domains(request)
	if machine != nil {
		return t.assign(request, machine.machines, "")
	}
	if request.Required == LevelMachine {
		return nil
	}
	if zone := tightestZone(zones, request.Count); zone != nil {
		return t.assign(request, zone.machines, "")
	}
	if request.Required < LevelRoot {
		return nil
	}
	return t.placeOverZones(request, zones)
}

// domains counts what of a request fits into each zone, the zones by name, and
// finds the tightest machine that holds all of it, if there is one.
func (t *Tree) domains(request Request) (zones []*domain, machine *domain) {
	byName := map[string]*domain{}
	t.evaluations += len(t.machines)
	for _, node := range t.machines {
		l := request.leaf(node)
		if l == nil {
			continue
		}
		zone := byName[node.Zone]
		if zone == nil {
			zone = &domain{level: LevelZone, name: node.Zone}
			byName[node.Zone] = zone
			zones = append(zones, zone)
		}
		zone.machines = append(zone.machines, l)
		zone.free = zone.free.Add(node.Free)
		zone.fit += l.fit
		if l.fit >= request.Count {
			d := &domain{level: LevelMachine, name: node.Name, free: node.Free, fit: l.fit, penalty: l.penalty, price: node.Price, machines: []*leaf{l}}
			if machine == nil || tighter(d, machine) {
				machine = d
			}
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

// leaf counts how many of a request's tasks a machine may take; nil if none.
func (r *Request) leaf(machine *Machine) *leaf {
	if !machine.Free.Holds(r.Task) || r.Allowed != nil && !r.Allowed(machine) {
		return nil
	}
	fit := machine.Free.Fit(r.Task, r.Count)
	if r.ZoneBound != nil {
		fit = min(fit, r.ZoneBound(machine.Zone))
	}
	if fit < 1 {
		return nil
	}
	l := &leaf{machine: machine, fit: fit}
	if r.Penalty != nil {
		l.penalty = r.Penalty(machine)
	}
	return l
}

// tightestZone finds the tightest zone that holds a number of tasks.
func tightestZone(zones []*domain, count int) *domain {
	var best *domain
	for _, z := range zones {
		if z.fit >= count && (best == nil || tighter(z, best)) {
			best = z
		}
	}
	return best
}

// placeOverZones places a request that no zone holds: the zone that fits most
// comes first, the other machines follow by their distance from it.
func (t *Tree) placeOverZones(request Request, zones []*domain) []*Machine {
	fit := 0
	var leaves []*leaf
	for _, z := range zones {
		fit += z.fit
		leaves = append(leaves, z.machines...)
	}
	if fit < request.Count {
		return nil
	}
	most := zones[0]
	for _, z := range zones[1:] {
		if z.fit > most.fit || z.fit == most.fit && tighter(z, most) {
			most = z
		}
	}
	return t.assign(request, leaves, most.name)
}

// tighter orders domains of which each holds a request: smaller levels first,
// then machines of a lower rank, then the least free room.
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

// assign spreads the tasks over leaves: machines of the zone near come before
// the others, then those of the lowest rank, then the one that holds most of
// the tasks that are left, then the tightest.
func (t *Tree) assign(request Request, leaves []*leaf, near string) []*Machine {
	out := make([]*Machine, 0, request.Count)
	used := map[*leaf]bool{}
	inZone := map[string]int{}
	for len(out) < request.Count {
		left := request.Count - len(out)
		var best *leaf
		var bestFit int
		for _, l := range leaves {
			if used[l] {
				continue
			}
			fit := min(l.fit, left)
			if request.ZoneBound != nil {
				fit = min(fit, request.ZoneBound(l.machine.Zone)-inZone[l.machine.Zone])
			}
			if fit < 1 {
				continue
			}
			if best == nil || closer(l, fit, best, bestFit, near) {
				best, bestFit = l, fit
			}
		}
		if best == nil {
			for _, m := range out {
				t.Give(m, request.Task)
			}
			return nil
		}
		used[best] = true
		inZone[best.machine.Zone] += bestFit
		for range bestFit {
			t.Take(best.machine, request.Task)
			out = append(out, best.machine)
		}
	}
	return out
}

// closer orders leaves for assign; fa and fb are how many tasks they would take.
func closer(a *leaf, fa int, b *leaf, fb int, near string) bool {
	if na, nb := a.machine.Zone == near, b.machine.Zone == near; na != nb {
		return na
	}
	if a.penalty != b.penalty {
		return a.penalty < b.penalty
	}
	if fa != fb {
		return fa > fb
	}
	return compareFree(a.machine, b.machine) < 0
}

// PlaceEach chooses machines for tasks that start one by one, lowers their room and
// returns the machines in task order; of tasks that find none there is no entry. It
// chooses as Place would for one task after the other. Count and Required of the
// request do not matter; ZoneBound bounds the tasks of the whole call, and the rank of
// a machine has to stay, or fall, when it takes a task.
func (t *Tree) PlaceEach(request Request, tasks int) []*Machine {
	out := make([]*Machine, 0, tasks)
	inZone := map[string]int{}
	// fill takes tasks for a machine; having less room than before it stays the tightest.
	fill := func(machine *Machine) {
		most := tasks
		if request.MachineBound != nil {
			most = request.MachineBound(machine)
		}
		last := len(out) + most
		for len(out) < min(tasks, last) && machine.Free.Holds(request.Task) && (request.ZoneBound == nil || inZone[machine.Zone] < request.ZoneBound(machine.Zone)) {
			t.Take(machine, request.Task)
			inZone[machine.Zone]++
			out = append(out, machine)
		}
	}
	// Each machine is looked at once. Looked for again after each that was filled, the
	// next one of a fleet of thousands cost a look at all of them.
	var later []scoredMachine
	for _, machine := range slices.Clone(t.mayFit(request.Task)) {
		if len(out) == tasks {
			return out
		}
		t.evaluations++
		if !machine.Free.Holds(request.Task) || request.Allowed != nil && !request.Allowed(machine) {
			continue
		}
		rank := 0
		if request.Penalty != nil {
			rank = request.Penalty(machine)
		}
		if rank <= request.LowestPenalty {
			fill(machine)
			continue
		}
		later = append(later, scoredMachine{machine, rank})
	}
	slices.SortStableFunc(later, func(a, b scoredMachine) int { return cmp.Compare(a.penalty, b.penalty) })
	for _, l := range later {
		fill(l.machine)
	}
	return out
}

// scoredMachine is a machine that may take a request's tasks, and its rank.
type scoredMachine struct {
	machine *Machine
	penalty int
}
