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

// eps is the error of sums that is put up with.
const eps = 1e-6

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
	return o.CPUs <= r.CPUs+eps && o.GPUs <= r.GPUs+eps && o.MemGB <= r.MemGB+eps
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
func (r Resources) Fit(t Resources, limit int) int {
	n := limit
	one := func(have, want float64) {
		if want > 0 {
			// Compared before it is an integer: of a tiny size more fit than
			// an integer holds.
			if k := (have + eps) / want; k < float64(n) {
				n = int(k)
			}
		}
	}
	one(r.CPUs, t.CPUs)
	one(r.GPUs, t.GPUs)
	one(r.MemGB, t.MemGB)
	if n < 0 {
		return 0
	}
	return n
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
	Key   int // the caller's own mark
}

// Tree holds the machines that may take tasks.
type Tree struct {
	machines    []*Machine // by name
	byRoom      []*Machine // the least free room first, see compareRoom
	evaluations int
}

// New builds a tree over machines.
func New(machines []*Machine) *Tree {
	t := &Tree{machines: slices.Clone(machines)}
	slices.SortFunc(t.machines, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	t.byRoom = slices.Clone(t.machines)
	slices.SortFunc(t.byRoom, compareRoom)
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
	from, _ := slices.BinarySearchFunc(t.byRoom, m, compareRoom)
	m.Free = free
	rest := slices.Delete(t.byRoom, from, from+1)
	to, _ := slices.BinarySearchFunc(rest, m, compareRoom)
	t.byRoom = slices.Insert(rest, to, m)
}

// compareRoom orders machines by free room, then price and name.
func compareRoom(a, b *Machine) int {
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

// withRoom lists the machines that may have room for a task, the tightest first: those
// with too few free GPUs are left out.
func (t *Tree) withRoom(task Resources) []*Machine {
	least := Resources{GPUs: task.GPUs}
	first := sort.Search(len(t.byRoom), func(i int) bool { return Resources{GPUs: t.byRoom[i].Free.GPUs}.Holds(least) })
	return t.byRoom[first:]
}

// Any tells whether a machine has room for a task.
func (t *Tree) Any(task Resources, allowed func(*Machine) bool) bool {
	for _, m := range t.withRoom(task) {
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
	// MostOn bounds how many tasks that are placed each for itself a machine takes; nil
	// sets no bound.
	MostOn func(*Machine) int
	// ZoneRoom bounds the tasks in a zone; nil sets no bound.
	ZoneRoom func(zone string) int
	// Required is the level at or below which the whole request must be placed;
	// LevelRoot requires nothing. The preferred level is always the zone.
	Required Level
	// Rank orders machines that hold all tasks, lower first; nil ranks all alike.
	Rank func(*Machine) int
	// LeastRank is the lowest rank that any machine may have.
	LeastRank int
}

// domain is a part of the tree that may hold a whole request.
type domain struct {
	level    Level
	name     string
	free     Resources
	fit      int
	rank     int
	price    float64
	machines []*leaf
}

// leaf is a machine that may take tasks of a request.
type leaf struct {
	m    *Machine
	fit  int
	rank int
}

// Place chooses a machine for every task, lowers their room and returns the
// machines in task order; nil if the request must wait.
func (t *Tree) Place(r Request) []*Machine {
	if r.Count < 1 {
		return nil
	}
	zones, machine := t.domains(r)
	if machine != nil {
		return t.assign(r, machine.machines, "")
	}
	if r.Required == LevelMachine {
		return nil
	}
	if zone := tightestZone(zones, r.Count); zone != nil {
		return t.assign(r, zone.machines, "")
	}
	if r.Required < LevelRoot {
		return nil
	}
	return t.placeOverZones(r, zones)
}

// domains counts what of a request fits into each zone, the zones by name, and
// finds the tightest machine that holds all of it, if there is one.
func (t *Tree) domains(r Request) (zones []*domain, machine *domain) {
	byName := map[string]*domain{}
	t.evaluations += len(t.machines)
	for _, m := range t.machines {
		l := r.leaf(m)
		if l == nil {
			continue
		}
		z := byName[m.Zone]
		if z == nil {
			z = &domain{level: LevelZone, name: m.Zone}
			byName[m.Zone] = z
			zones = append(zones, z)
		}
		z.machines = append(z.machines, l)
		z.free = z.free.Add(m.Free)
		z.fit += l.fit
		if l.fit >= r.Count {
			d := &domain{level: LevelMachine, name: m.Name, free: m.Free, fit: l.fit, rank: l.rank, price: m.Price, machines: []*leaf{l}}
			if machine == nil || tighter(d, machine) {
				machine = d
			}
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].name < zones[j].name })
	if r.ZoneRoom != nil {
		for _, z := range zones {
			z.fit = min(z.fit, r.ZoneRoom(z.name))
		}
	}
	return zones, machine
}

// leaf counts how many of a request's tasks a machine may take; nil if none.
func (r *Request) leaf(m *Machine) *leaf {
	if !m.Free.Holds(r.Task) || r.Allowed != nil && !r.Allowed(m) {
		return nil
	}
	fit := m.Free.Fit(r.Task, r.Count)
	if r.ZoneRoom != nil {
		fit = min(fit, r.ZoneRoom(m.Zone))
	}
	if fit < 1 {
		return nil
	}
	l := &leaf{m: m, fit: fit}
	if r.Rank != nil {
		l.rank = r.Rank(m)
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
func (t *Tree) placeOverZones(r Request, zones []*domain) []*Machine {
	fit := 0
	var leaves []*leaf
	for _, z := range zones {
		fit += z.fit
		leaves = append(leaves, z.machines...)
	}
	if fit < r.Count {
		return nil
	}
	most := zones[0]
	for _, z := range zones[1:] {
		if z.fit > most.fit || z.fit == most.fit && tighter(z, most) {
			most = z
		}
	}
	return t.assign(r, leaves, most.name)
}

// tighter orders domains of which each holds a request: smaller levels first,
// then machines of a lower rank, then the least free room.
func tighter(a, b *domain) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	if a.rank != b.rank && a.level == LevelMachine {
		return a.rank < b.rank
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
func (t *Tree) assign(r Request, leaves []*leaf, near string) []*Machine {
	out := make([]*Machine, 0, r.Count)
	used := map[*leaf]bool{}
	inZone := map[string]int{}
	for len(out) < r.Count {
		left := r.Count - len(out)
		var best *leaf
		var bestFit int
		for _, l := range leaves {
			if used[l] {
				continue
			}
			fit := min(l.fit, left)
			if r.ZoneRoom != nil {
				fit = min(fit, r.ZoneRoom(l.m.Zone)-inZone[l.m.Zone])
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
				t.Give(m, r.Task)
			}
			return nil
		}
		used[best] = true
		inZone[best.m.Zone] += bestFit
		for range bestFit {
			t.Take(best.m, r.Task)
			out = append(out, best.m)
		}
	}
	return out
}

// closer orders leaves for assign; fa and fb are how many tasks they would take.
func closer(a *leaf, fa int, b *leaf, fb int, near string) bool {
	if na, nb := a.m.Zone == near, b.m.Zone == near; na != nb {
		return na
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if fa != fb {
		return fa > fb
	}
	return compareRoom(a.m, b.m) < 0
}

// PlaceEach chooses machines for tasks that start one by one, lowers their room and
// returns the machines in task order; of tasks that find none there is no entry. It
// chooses as Place would for one task after the other. Count and Required of the
// request do not matter; ZoneRoom bounds the tasks of the whole call, and the rank of
// a machine has to stay, or fall, when it takes a task.
func (t *Tree) PlaceEach(r Request, tasks int) []*Machine {
	out := make([]*Machine, 0, tasks)
	inZone := map[string]int{}
	// fill takes tasks for a machine; having less room than before it stays the tightest.
	fill := func(m *Machine) {
		most := tasks
		if r.MostOn != nil {
			most = r.MostOn(m)
		}
		last := len(out) + most
		for len(out) < min(tasks, last) && m.Free.Holds(r.Task) && (r.ZoneRoom == nil || inZone[m.Zone] < r.ZoneRoom(m.Zone)) {
			t.Take(m, r.Task)
			inZone[m.Zone]++
			out = append(out, m)
		}
	}
	// Each machine is looked at once. Looked for again after each that was filled, the
	// next one of a fleet of thousands cost a look at all of them.
	var later []rankedMachine
	for _, m := range slices.Clone(t.withRoom(r.Task)) {
		if len(out) == tasks {
			return out
		}
		t.evaluations++
		if !m.Free.Holds(r.Task) || r.Allowed != nil && !r.Allowed(m) {
			continue
		}
		rank := 0
		if r.Rank != nil {
			rank = r.Rank(m)
		}
		if rank <= r.LeastRank {
			fill(m)
			continue
		}
		later = append(later, rankedMachine{m, rank})
	}
	slices.SortStableFunc(later, func(a, b rankedMachine) int { return cmp.Compare(a.rank, b.rank) })
	for _, l := range later {
		fill(l.machine)
	}
	return out
}

// rankedMachine is a machine that may take a request's tasks, and its rank.
type rankedMachine struct {
	machine *Machine
	rank    int
}
