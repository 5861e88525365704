package provisioning

import (
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// binIndex indexes the bins of one offer by their free capacity. Bins with the same capacity form a
// group, which is evaluated once.
type binIndex struct {
	offer           Offer
	groups          []*binGroup // without empty groups; ordered by free capacity if sorted is set
	groupByCapacity map[binCapacity]*binGroup
	binsAdded       int // including bins that have been removed
	sorted          bool
}

// binCapacity is the capacity that all bins of a group share.
type binCapacity struct {
	free        topology.Resources
	preemptible [PriorityLevels]topology.Resources
}

func capacityOf(bin *Bin) binCapacity { return binCapacity{bin.Free, bin.Preemptible} }

// binGroup holds the bins with the same capacity.
type binGroup struct {
	binCapacity
	bins []*Bin // ordered by index
}

// position returns the position of a bin in the group, or the one at which to insert it.
func (g *binGroup) position(bin *Bin) int {
	return sort.Search(len(g.bins), func(i int) bool { return g.bins[i].index >= bin.index })
}

func (g *binGroup) insert(bin *Bin) { g.bins = slices.Insert(g.bins, g.position(bin), bin) }

func (g *binGroup) remove(bin *Bin) {
	i := g.position(bin)
	if i == 0 {
		g.bins = g.bins[1:] // the usual case, in which no other bin is moved
		return
	}
	g.bins = slices.Delete(g.bins, i, i+1)
}

func newBinIndex(offer Offer) *binIndex {
	return &binIndex{offer: offer, groupByCapacity: map[binCapacity]*binGroup{}}
}

// insert adds a bin to the index.
func (x *binIndex) insert(bin *Bin) { x.group(capacityOf(bin)).insert(bin) }

// group returns the group of bins with a capacity and adds it if there is none.
func (x *binIndex) group(capacity binCapacity) *binGroup {
	if group := x.groupByCapacity[capacity]; group != nil {
		return group
	}
	group := &binGroup{binCapacity: capacity}
	x.groupByCapacity[capacity] = group
	i := len(x.groups)
	if x.sorted {
		i = sort.Search(len(x.groups), func(i int) bool { return capacity.free.Less(x.groups[i].free) })
	}
	x.groups = slices.Insert(x.groups, i, group)
	return group
}

// sortGroups sorts the groups before the first search. Sorting once after all machines are added is
// cheaper than inserting each new group in order.
func (x *binIndex) sortGroups() {
	if x.sorted {
		return
	}
	x.sorted = true
	slices.SortStableFunc(x.groups, func(a, b *binGroup) int {
		switch {
		case a.free.Less(b.free):
			return -1
		case b.free.Less(a.free):
			return 1
		}
		return 0
	})
}

// remove removes a bin, whose capacity must not have changed since it was inserted.
func (x *binIndex) remove(bin *Bin) {
	x.sortGroups()
	group := x.groupByCapacity[capacityOf(bin)]
	group.remove(bin)
	if len(group.bins) == 0 {
		x.removeGroup(group)
	}
}

func (x *binIndex) removeGroup(group *binGroup) {
	delete(x.groupByCapacity, group.binCapacity)
	i := sort.Search(len(x.groups), func(i int) bool { return !x.groups[i].free.Less(group.free) })
	for x.groups[i] != group {
		i++ // groups with equal free capacity differ in their preemptible capacity
	}
	x.groups = slices.Delete(x.groups, i, i+1)
}

// tightestBin returns the bin with the least free capacity that a task fits into, and among equal
// ones that with the lowest index; nil if there is none. It adds the number of groups evaluated to
// evaluations.
func (x *binIndex) tightestBin(task *TaskSpec, evaluations *int) *Bin {
	x.sortGroups()
	var best *Bin
	for _, group := range x.groups[x.searchStart(task):] {
		*evaluations++
		bin := group.bins[0]
		if best != nil && best.Free.Less(bin.Free) {
			break
		}
		if bin.fits(task) && (best == nil || bin.index < best.index) {
			best = bin
		}
	}
	return best
}

// searchStart returns the index of the first group with enough free GPUs for a task: groups are
// ordered by free GPUs first.
func (x *binIndex) searchStart(task *TaskSpec) int {
	if task.Forecast {
		return 0 // it may also use preemptible capacity
	}
	required := topology.Resources{GPUs: task.Resources.GPUs}
	return sort.Search(len(x.groups), func(i int) bool {
		return topology.Resources{GPUs: x.groups[i].free.GPUs}.Holds(required)
	})
}

// countFitting returns how many equal tasks fit into the free capacity of the bins, at most limit.
// It adds the number of groups evaluated to evaluations.
func (x *binIndex) countFitting(task *TaskSpec, limit int, evaluations *int) int {
	x.sortGroups()
	count := 0
	for _, group := range slices.Backward(x.groups) {
		if count >= limit {
			break
		}
		*evaluations++
		if perBin := group.free.Fit(task.Resources, limit-count); perBin > 0 {
			count += min(limit-count, perBin*len(group.bins))
		}
	}
	return count
}
