// Package topology places tasks over a tree of root, zones and machines. It counts bottom up how
// many tasks fit in each domain and takes the fitting domain with the least free resources (bin
// packing). A pass of package scheduler builds a tree of the machines as they are. The package does
// no I/O and keeps no time.
package topology

import (
	"slices"
	"sort"
	"strings"
)

// Level is a level of the tree, from the machines up.
type Level int

// The levels of the tree.
const (
	LevelMachine Level = iota
	LevelZone
	LevelRoot
)

// Machine is a leaf of the tree. Its free resources change by Take and Give only.
type Machine struct {
	Name  string
	Zone  string
	Price float64
	Free  Resources
	Index int // for the caller's use
}

// Tree holds the machines that may take tasks.
type Tree struct {
	machines    []*Machine // by name
	byFree      []*Machine // the least free resources first, see compareFree
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

// Evaluations counts the machines that were evaluated so far: what the tree cost, independent of
// any clock.
func (t *Tree) Evaluations() int { return t.evaluations }

// Take lowers a machine's free resources.
func (t *Tree) Take(m *Machine, r Resources) { t.setFree(m, m.Free.Sub(r)) }

// Give raises a machine's free resources.
func (t *Tree) Give(m *Machine, r Resources) { t.setFree(m, m.Free.Add(r)) }

// setFree changes a machine's free resources and its place in the order.
func (t *Tree) setFree(m *Machine, free Resources) {
	from, _ := slices.BinarySearchFunc(t.byFree, m, compareFree)
	m.Free = free
	rest := slices.Delete(t.byFree, from, from+1)
	to, _ := slices.BinarySearchFunc(rest, m, compareFree)
	t.byFree = slices.Insert(rest, to, m)
}

// compareFree orders machines by free resources, then price and name.
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

// mayFit lists the machines that may hold a task, those with the least free resources first:
// machines with too few free GPUs are left out.
func (t *Tree) mayFit(task Resources) []*Machine {
	least := Resources{GPUs: task.GPUs}
	first := sort.Search(len(t.byFree), func(i int) bool { return Resources{GPUs: t.byFree[i].Free.GPUs}.Holds(least) })
	return t.byFree[first:]
}

// AnyFits reports whether an allowed machine holds a task.
func (t *Tree) AnyFits(task Resources, allowed func(*Machine) bool) bool {
	for _, m := range t.mayFit(task) {
		t.evaluations++
		if m.Free.Holds(task) && allowed(m) {
			return true
		}
	}
	return false
}

// Request asks for machines for tasks.
type Request struct {
	// Task is the size of the largest task; all count as this.
	Task Resources
	// Count is the number of tasks.
	Count int
	// Allowed reports whether a machine may take the tasks; nil allows all.
	Allowed func(*Machine) bool
	// MachineBound bounds the tasks that PlaceEach places on a machine; nil sets no bound.
	MachineBound func(*Machine) int
	// ZoneBound bounds the tasks in a zone; nil sets no bound.
	ZoneBound func(zone string) int
	// Required is the level at or below which the whole request must be placed; LevelRoot
	// requires nothing. The preferred level is always the zone.
	Required Level
	// Penalty orders the allowed machines, lower first; nil for 0 on all of them.
	Penalty func(*Machine) int
}

// allows reports whether a machine may take the tasks of a request and holds at least one.
func (r *Request) allows(m *Machine) bool {
	return m.Free.Holds(r.Task) && (r.Allowed == nil || r.Allowed(m))
}

// penalty is a machine's penalty.
func (r *Request) penalty(m *Machine) int {
	if r.Penalty == nil {
		return 0
	}
	return r.Penalty(m)
}
