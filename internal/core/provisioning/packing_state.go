package provisioning

import (
	"cmp"
	"slices"
)

// packingState holds what a plan computes once for all tasks with equal specs.
type packingState struct {
	indexes []searchedIndex // of the bins of offers that the tasks accept
	offers  []offerCost     // that the tasks accept, the cheapest first
}

// searchedIndex is an index of bins with the result of the last search for tasks with one spec.
type searchedIndex struct {
	*binIndex
	// exhaustedAt is binsAdded+1 as of the last search that found no bin; 0 if each search has
	// found one.
	exhaustedAt int
}

// exhausted reports whether a search found no bin and no bin has been added since. Free capacity
// only shrinks, so another search would not find a bin either.
func (s *searchedIndex) exhausted() bool { return s.exhaustedAt == s.binsAdded+1 }

// markExhausted records that a search found no bin.
func (s *searchedIndex) markExhausted() { s.exhaustedAt = s.binsAdded + 1 }

// offerCost is an offer with its price per task.
type offerCost struct {
	*OfferDetails
	tasksPerMachine int
	costPerTask     float64 // per hour
}

// packingState returns the state for tasks with a task's spec and adds it if there is none.
func (p *Plan) packingState(task *TaskSpec) *packingState {
	if state := p.stateBySpec[*task]; state != nil {
		return state
	}
	state := &packingState{offers: offerCosts(task, p.offers)}
	for _, index := range p.indexes {
		if task.Accepts(index.offer) {
			state.indexes = append(state.indexes, searchedIndex{binIndex: index})
		}
	}
	p.stateBySpec[*task] = state
	return state
}

// offerCosts returns the offers that a task accepts and fits into, by price per task.
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

// tightestBin returns the bin with the least free capacity that a task fits into, and among equal
// ones that with the lowest index; nil if there is none. It adds the number of groups evaluated to
// evaluations.
func (s *packingState) tightestBin(task *TaskSpec, zones ZoneFilter, evaluations *int) *Bin {
	var best *Bin
	for i := range s.indexes {
		index := &s.indexes[i]
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
