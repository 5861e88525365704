package provisioning

import (
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// binIndex holds the bins of one offer. Those with the same room are kept together and
// looked at once.
type binIndex struct {
	offer           Offer
	groups          []*binGroup // with bins, by free room
	groupByCapacity map[binCapacity]*binGroup
	binsAdded       int  // bins that were ever added
	sorted          bool // the groups are in order: not before the first task is packed
}

// binCapacity is what bins of a group have in common.
type binCapacity struct {
	free        topology.Resources
	preemptible [Ranks]topology.Resources
}

// binGroup is bins with the same room.
type binGroup struct {
	binCapacity
	bins []*Bin // by number
}

func newBinIndex(o Offer) *binIndex {
	return &binIndex{offer: o, groupByCapacity: map[binCapacity]*binGroup{}}
}

func capacityOf(b *Bin) binCapacity { return binCapacity{b.Free, b.Preemptible} }

// positionOf finds the place of a bin in a list.
func positionOf(bins []*Bin, index int) int {
	return sort.Search(len(bins), func(i int) bool { return bins[i].index >= index })
}

// insert puts a bin on the shelf.
func (s *binIndex) insert(bin *Bin) {
	capacity := capacityOf(bin)
	group := s.groupByCapacity[capacity]
	if group == nil {
		group = &binGroup{binCapacity: capacity}
		s.groupByCapacity[capacity] = group
		at := len(s.groups)
		if s.sorted {
			at = sort.Search(len(s.groups), func(i int) bool { return capacity.free.Less(s.groups[i].free) })
		}
		s.groups = slices.Insert(s.groups, at, group)
	}
	group.bins = slices.Insert(group.bins, positionOf(group.bins, bin.index), bin)
}

// sortGroups puts the groups in order. Done once for all machines it costs less than to put
// each in its place.
func (s *binIndex) sortGroups() {
	if s.sorted {
		return
	}
	s.sorted = true
	slices.SortStableFunc(s.groups, func(a, b *binGroup) int {
		switch {
		case a.free.Less(b.free):
			return -1
		case b.free.Less(a.free):
			return 1
		}
		return 0
	})
}

// remove takes a bin off the shelf. Its room has to be as it was when it was put
// there.
func (s *binIndex) remove(bin *Bin) {
	s.sortGroups()
	group := s.groupByCapacity[capacityOf(bin)]
	at := positionOf(group.bins, bin.index)
	if at == 0 {
		group.bins = group.bins[1:] // nearly always: no other bin moves
	} else {
		group.bins = slices.Delete(group.bins, at, at+1)
	}
	if len(group.bins) > 0 {
		return
	}
	delete(s.groupByCapacity, group.binCapacity)
	first := sort.Search(len(s.groups), func(i int) bool { return !s.groups[i].free.Less(group.free) })
	for i := first; ; i++ {
		if s.groups[i] == group {
			s.groups = slices.Delete(s.groups, i, i+1)
			return
		}
	}
}

// tightestBin finds the bin with the least free room that a task fits into, of equal ones
// the first; nil if there is none. evaluations counts the groups looked at.
func (s *binIndex) tightestBin(task *TaskSpec, evaluations *int) *Bin {
	s.sortGroups()
	var best *Bin
	for _, group := range s.groups[s.searchStart(task):] {
		*evaluations++
		bin := group.bins[0]
		if best != nil && best.Free.Less(bin.Free) {
			break
		}
		if bin.availableTo(task).Holds(task.Resources) && (best == nil || bin.index < best.index) {
			best = bin
		}
	}
	return best
}

// searchStart is the first group that a task may fit into: groups are ordered by their free
// GPUs first.
func (s *binIndex) searchStart(task *TaskSpec) int {
	if task.Forecast {
		return 0
	}
	least := topology.Resources{GPUs: task.Resources.GPUs}
	return sort.Search(len(s.groups), func(i int) bool {
		return topology.Resources{GPUs: s.groups[i].free.GPUs}.Holds(least)
	})
}
