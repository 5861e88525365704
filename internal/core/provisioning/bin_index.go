package provisioning

import (
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// binIndex finds bins of one offer by their free capacity. Bins with the same capacity are kept in
// one group and evaluated once.
type binIndex struct {
	offer           Offer
	groups          []*binGroup // none is empty; by free capacity once sorted is set
	groupByCapacity map[binCapacity]*binGroup
	binsAdded       int // also counts those that were removed
	sorted          bool
}

// binCapacity is what bins of a group have in common.
type binCapacity struct {
	free        topology.Resources
	preemptible [PriorityLevels]topology.Resources
}

func capacityOf(bin *Bin) binCapacity { return binCapacity{bin.Free, bin.Preemptible} }

// binGroup is bins with the same capacity.
type binGroup struct {
	binCapacity
	bins []*Bin // by index
}

// position is where the group has, or would have, a bin.
func (g *binGroup) position(bin *Bin) int {
	return sort.Search(len(g.bins), func(i int) bool { return g.bins[i].index >= bin.index })
}

func (g *binGroup) insert(bin *Bin) { g.bins = slices.Insert(g.bins, g.position(bin), bin) }

func (g *binGroup) remove(bin *Bin) {
	i := g.position(bin)
	if i == 0 {
		g.bins = g.bins[1:] // nearly always: no other bin moves
		return
	}
	g.bins = slices.Delete(g.bins, i, i+1)
}

func newBinIndex(offer Offer) *binIndex {
	return &binIndex{offer: offer, groupByCapacity: map[binCapacity]*binGroup{}}
}

// insert adds a bin.
func (x *binIndex) insert(bin *Bin) { x.group(capacityOf(bin)).insert(bin) }

// group finds or makes the group of a capacity.
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

// sortGroups sorts the groups before the first search. Once for all machines it costs less than to
// insert each in its place.
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

// remove removes a bin, whose capacity must be as it was when it was inserted.
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
		i++ // groups with the same free capacity differ in what is preemptible
	}
	x.groups = slices.Delete(x.groups, i, i+1)
}

// tightestBin finds the bin with the least free capacity that a task fits into, of equal ones the
// first; nil if there is none. evaluations counts the groups that were evaluated.
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

// searchStart is the index of the first group that a task may fit into: groups are ordered by
// their free GPUs first.
func (x *binIndex) searchStart(task *TaskSpec) int {
	if task.Forecast {
		return 0 // it may use more than what is free
	}
	required := topology.Resources{GPUs: task.Resources.GPUs}
	return sort.Search(len(x.groups), func(i int) bool {
		return topology.Resources{GPUs: x.groups[i].free.GPUs}.Holds(required)
	})
}

// countFitting counts how many tasks fit into free capacity, at most limit. evaluations counts the
// groups that were evaluated.
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
