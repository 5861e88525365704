package provisioning

import (
	"cmp"
	"slices"
)

// taskKind is what a plan has found out for tasks with equal specs.
type taskKind struct {
	indexes []searchedIndex // of the offers that they accept
	offers  []offerCost     // that they accept, the cheapest first
}

// searchedIndex is an index of bins, and what its last search for tasks of a kind has shown.
type searchedIndex struct {
	*binIndex
	// emptyAt is one more than binsAdded was when no bin had capacity for a task; 0 if that
	// has not happened.
	emptyAt int
}

// exhausted reports whether the last search found no bin. Free capacity only shrinks, so another
// one would find none either, unless a bin has been added since.
func (s *searchedIndex) exhausted() bool { return s.emptyAt == s.binsAdded+1 }

// markExhausted records that a search found no bin.
func (s *searchedIndex) markExhausted() { s.emptyAt = s.binsAdded + 1 }

// offerCost is an offer and its price for one task.
type offerCost struct {
	*OfferDetails
	tasksPerMachine int
	costPerTask     float64 // an hour
}

// taskKind finds or makes the kind of a task.
func (p *Plan) taskKind(task *TaskSpec) *taskKind {
	if kind := p.kinds[*task]; kind != nil {
		return kind
	}
	kind := &taskKind{offers: offerCosts(task, p.offers)}
	for _, index := range p.indexes {
		if task.Accepts(index.offer) {
			kind.indexes = append(kind.indexes, searchedIndex{binIndex: index})
		}
	}
	p.kinds[*task] = kind
	return kind
}

// offerCosts lists the offers that a task accepts, the cheapest for it first.
func offerCosts(task *TaskSpec, offers []*OfferDetails) []offerCost {
	var costs []offerCost
	for _, offer := range offers {
		fit := offer.Capacity.Fit(task.Resources, MaxTasksPerMachine)
		if fit > 0 && task.Accepts(offer.Offer) {
			costs = append(costs, offerCost{OfferDetails: offer, tasksPerMachine: fit, costPerTask: offer.Price / float64(fit)})
		}
	}
	slices.SortStableFunc(costs, func(a, b offerCost) int { return cmp.Compare(a.costPerTask, b.costPerTask) })
	return costs
}

// tightestBin finds the bin with the least free capacity that a task fits into, of equal ones the
// first; nil if there is none. evaluations counts the groups of bins that were evaluated.
func (k *taskKind) tightestBin(task *TaskSpec, zones ZoneFilter, evaluations *int) *Bin {
	var best *Bin
	for i := range k.indexes {
		index := &k.indexes[i]
		if index.exhausted() || !zones.allows(index.offer.Zone) {
			continue
		}
		bin := index.tightestBin(task, evaluations)
		if bin == nil {
			index.markExhausted()
			continue
		}
		if best == nil || bin.tighterThan(best) {
			best = bin
		}
	}
	return best
}
