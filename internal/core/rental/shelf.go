package rental

import (
	"slices"
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// shelf holds the bins of one offer. Those with the same room are kept together and
// looked at once.
type shelf struct {
	offer   Offer
	groups  []*group // with bins, by free room
	byState map[binState]*group
	had     int  // bins that were ever added
	sorted  bool // the groups are in order: not before the first task is packed
}

// binState is what bins of a group have in common.
type binState struct {
	free        topology.Resources
	preemptible [Ranks]topology.Resources
}

// group is bins with the same room.
type group struct {
	binState
	bins []*Bin // by number
}

func newShelf(o Offer) *shelf { return &shelf{offer: o, byState: map[binState]*group{}} }

func stateOf(b *Bin) binState { return binState{b.Free, b.Preemptible} }

// byNumber finds the place of a bin in a list.
func byNumber(bins []*Bin, number int) int {
	return sort.Search(len(bins), func(i int) bool { return bins[i].number >= number })
}

// put puts a bin on the shelf.
func (s *shelf) put(b *Bin) {
	st := stateOf(b)
	g := s.byState[st]
	if g == nil {
		g = &group{binState: st}
		s.byState[st] = g
		at := len(s.groups)
		if s.sorted {
			at = sort.Search(len(s.groups), func(i int) bool { return st.free.Less(s.groups[i].free) })
		}
		s.groups = slices.Insert(s.groups, at, g)
	}
	g.bins = slices.Insert(g.bins, byNumber(g.bins, b.number), b)
}

// sort puts the groups in order. Done once for all machines it costs less than to put
// each in its place.
func (s *shelf) sort() {
	if s.sorted {
		return
	}
	s.sorted = true
	slices.SortStableFunc(s.groups, func(a, b *group) int {
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
func (s *shelf) remove(b *Bin) {
	s.sort()
	g := s.byState[stateOf(b)]
	at := byNumber(g.bins, b.number)
	if at == 0 {
		g.bins = g.bins[1:] // nearly always: no other bin moves
	} else {
		g.bins = slices.Delete(g.bins, at, at+1)
	}
	if len(g.bins) > 0 {
		return
	}
	delete(s.byState, g.binState)
	first := sort.Search(len(s.groups), func(i int) bool { return !s.groups[i].free.Less(g.free) })
	for i := first; ; i++ {
		if s.groups[i] == g {
			s.groups = slices.Delete(s.groups, i, i+1)
			return
		}
	}
}

// tightest finds the bin with the least free room that a task fits into, of equal ones
// the first; nil if there is none. evaluations counts the groups looked at.
func (s *shelf) tightest(n *Need, evaluations *int) *Bin {
	s.sort()
	var best *Bin
	for _, g := range s.groups[s.first(n):] {
		*evaluations++
		b := g.bins[0]
		if best != nil && best.Free.Less(b.Free) {
			break
		}
		if b.room(n).Holds(n.Task) && (best == nil || b.number < best.number) {
			best = b
		}
	}
	return best
}

// first is the first group that a task may fit into: groups are ordered by their free
// GPUs first.
func (s *shelf) first(n *Need) int {
	if n.Expected {
		return 0
	}
	least := topology.Resources{GPUs: n.Task.GPUs}
	return sort.Search(len(s.groups), func(i int) bool {
		return topology.Resources{GPUs: s.groups[i].free.GPUs}.Holds(least)
	})
}
