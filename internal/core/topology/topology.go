// Package topology places tasks on a tree of root, zones and machines. It counts bottom up how
// many tasks fit in each domain and chooses the domain with the least free resources that fits the
// request (best-fit bin packing). Each pass of package scheduler builds a tree of the current
// machines. The package does no I/O and reads no clock.
package topology

import (
	"slices"
	"sort"
	"strings"
)

// Level is a level of the tree; machines are the lowest.
type Level int

// The levels of the tree.
const (
	LevelMachine Level = iota
	LevelZone
	LevelRoot
)

// Machine is a leaf of the tree. Only Allocate and Release may change its free resources.
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
	byFree      []*Machine // least free resources first, see compareFree
	evaluations int
}

// New builds a tree of machines.
func New(machines []*Machine) *Tree {
	t := &Tree{machines: slices.Clone(machines)}
	slices.SortFunc(t.machines, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	t.byFree = slices.Clone(t.machines)
	slices.SortFunc(t.byFree, compareFree)
	return t
}

// Evaluations returns how many machines have been evaluated so far. It measures the cost of the
// tree's searches without a clock.
func (t *Tree) Evaluations() int { return t.evaluations }

// Allocate subtracts resources from what is free on a machine.
func (t *Tree) Allocate(m *Machine, r Resources) { t.setFree(m, m.Free.Sub(r)) }

// Release adds resources to what is free on a machine.
func (t *Tree) Release(m *Machine, r Resources) { t.setFree(m, m.Free.Add(r)) }

// setFree sets a machine's free resources and moves it to its new position in byFree.
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

// machinesWithFreeGPUs lists the machines with enough free GPUs for a task, those with the least
// free resources first. CPUs and memory may not be enough.
func (t *Tree) machinesWithFreeGPUs(task Resources) []*Machine {
	least := Resources{GPUs: task.GPUs}
	first := sort.Search(len(t.byFree), func(i int) bool { return Resources{GPUs: t.byFree[i].Free.GPUs}.Holds(least) })
	return t.byFree[first:]
}

// AnyFits reports whether a task fits on any allowed machine.
func (t *Tree) AnyFits(task Resources, allowed func(*Machine) bool) bool {
	for _, m := range t.machinesWithFreeGPUs(task) {
		t.evaluations++
		if m.Free.Holds(task) && allowed(m) {
			return true
		}
	}
	return false
}

// Request describes tasks to be placed and which machines they may use.
type Request struct {
	// TaskSize is the size of the largest task, which is used for all of them.
	TaskSize Resources
	// Count is the number of tasks.
	Count int
	// Allowed reports whether a machine may take the tasks; nil allows all.
	Allowed func(*Machine) bool
	// MachineBound bounds the tasks that PlaceEach places on a machine; nil sets no bound.
	MachineBound func(*Machine) int
	// ZoneBound bounds the tasks in a zone; nil sets no bound.
	ZoneBound func(zone string) int
	// RequiredLevel is the level of the domain that must hold all tasks of the request:
	// LevelMachine requires a single machine, LevelZone a single zone, LevelRoot nothing. Place
	// always prefers a single machine, then a single zone.
	RequiredLevel Level
	// Penalty ranks the allowed machines, the lowest first; nil means 0 for all.
	Penalty func(*Machine) int
}

// allows reports whether a machine may take the tasks of a request and at least one fits.
func (r *Request) allows(m *Machine) bool {
	return m.Free.Holds(r.TaskSize) && (r.Allowed == nil || r.Allowed(m))
}

// penalty returns a machine's penalty.
func (r *Request) penalty(m *Machine) int {
	if r.Penalty == nil {
		return 0
	}
	return r.Penalty(m)
}
