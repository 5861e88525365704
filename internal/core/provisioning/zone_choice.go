package provisioning

import "math"

// All tasks of a one-zone job have to be placed in one zone. That zone is chosen for the whole job
// before its first task is packed. Chosen by the capacity for the first task alone, it was one in
// which the cloud had no machine for the last task, and a gang waited for minutes while another
// zone had capacity for all of it.

// zoneChoice is what a zone has for a one-zone job.
type zoneChoice struct {
	zone     string
	unplaced int     // tasks for which it has no capacity, nor any to be provisioned
	cost     float64 // an hour, of what has to be provisioned
	bins     int     // number of bins in the zone
}

// betterThan orders choices: capacity for the most tasks, at the least cost, in the zone with the
// fewest machines, then by name.
func (c *zoneChoice) betterThan(other *zoneChoice) bool {
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

// provision counts as many of the unplaced tasks as possible on machines of an offer.
func (c *zoneChoice) provision(offer *offerCost) {
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

// ChooseZone chooses the zone for a number of equal tasks of a one-zone job none of which is
// placed; empty if no zone has capacity for any.
func (p *Plan) ChooseZone(task *TaskSpec, count int) string {
	best := &zoneChoice{unplaced: count, cost: math.Inf(1)}
	for _, choice := range p.zoneChoices(task, count) { // in any order: betterThan is a total order
		if choice.unplaced < count && (best.zone == "" || choice.betterThan(best)) {
			best = choice
		}
	}
	return best.zone
}

// zoneChoices finds, by zone, how many of a number of equal tasks it has capacity for.
func (p *Plan) zoneChoices(task *TaskSpec, count int) map[string]*zoneChoice {
	p.reindexLastPacked()
	kind := p.taskKind(task)
	choices := map[string]*zoneChoice{}
	choiceFor := func(zone string) *zoneChoice {
		choice := choices[zone]
		if choice == nil {
			choice = &zoneChoice{zone: zone, unplaced: count, bins: p.binsByZone[zone]}
			choices[zone] = choice
		}
		return choice
	}
	for _, index := range kind.indexes {
		choice := choiceFor(index.offer.Zone)
		choice.unplaced -= index.countFitting(task, choice.unplaced, &p.evaluations)
	}
	for i := range kind.offers { // the cheapest first
		offer := &kind.offers[i]
		choiceFor(offer.Zone).provision(offer)
	}
	return choices
}
