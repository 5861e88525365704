package provisioning

import "math"

// All tasks of a one-zone job have to be placed in the same zone, which is chosen for the whole job
// before its first task is packed. When it was chosen by the capacity for the first task alone, the
// cloud had no machine for the last task there, and a gang waited for minutes while another zone had
// capacity for all of its tasks.

// zoneCandidate is a zone with the capacity that it has for a one-zone job.
type zoneCandidate struct {
	zone     string
	unplaced int     // tasks that fit neither on its machines nor on any to be provisioned
	cost     float64 // per hour, of the tasks on machines to be provisioned
	bins     int     // number of bins in the zone
}

// betterThan orders candidates by the most tasks placed, the lowest cost, the fewest bins and then
// the zone's name.
func (c *zoneCandidate) betterThan(other *zoneCandidate) bool {
	switch {
	case c.unplaced != other.unplaced:
		return c.unplaced < other.unplaced
	case c.cost != other.cost:
		return c.cost < other.cost
	case c.bins != other.bins:
		return c.bins < other.bins
	}
	return c.zone < other.zone
}

// provision places as many of the unplaced tasks as possible on new machines of an offer and adds
// their cost.
func (c *zoneCandidate) provision(offer *offerCost) {
	if c.unplaced == 0 || offer.Available < 1 {
		return
	}
	tasks := c.unplaced
	machines := (tasks + offer.tasksPerMachine - 1) / offer.tasksPerMachine
	if offer.Available < machines {
		tasks = offer.Available * offer.tasksPerMachine
	}
	c.cost += offer.costPerTask * float64(tasks)
	c.unplaced -= tasks
}

// ChooseZone returns the best zone for count equal tasks of a one-zone job that has no task placed
// yet; empty if no zone has capacity for any of them.
func (p *Plan) ChooseZone(task *TaskSpec, count int) string {
	best := &zoneCandidate{unplaced: count, cost: math.Inf(1)}
	for _, candidate := range p.zoneCandidates(task, count) { // any order: betterThan is a total order
		if candidate.unplaced < count && (best.zone == "" || candidate.betterThan(best)) {
			best = candidate
		}
	}
	return best.zone
}

// zoneCandidates returns the candidates for count equal tasks, by zone name.
func (p *Plan) zoneCandidates(task *TaskSpec, count int) map[string]*zoneCandidate {
	p.reindexLastPacked()
	state := p.packingState(task)
	candidates := map[string]*zoneCandidate{}
	candidateFor := func(zone string) *zoneCandidate {
		candidate := candidates[zone]
		if candidate == nil {
			candidate = &zoneCandidate{zone: zone, unplaced: count, bins: p.binsByZone[zone]}
			candidates[zone] = candidate
		}
		return candidate
	}
	for _, index := range state.indexes {
		candidate := candidateFor(index.offer.Zone)
		candidate.unplaced -= index.countFitting(task, candidate.unplaced, &p.evaluations)
	}
	for i := range state.offers { // the cheapest first
		offer := &state.offers[i]
		candidateFor(offer.Zone).provision(offer)
	}
	return candidates
}
