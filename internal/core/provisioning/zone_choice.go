package provisioning

import (
	"math"
	"slices"
)

// All tasks of a one-zone job have to find room in one zone. That zone is chosen for
// the whole job before its first task is packed. Chosen by the room for the first task
// alone, it was one in which the cloud had no machine for the last task, and a gang
// waited for minutes while another zone had room for all of it.

// zoneChoice is what a zone offers a one-zone job.
type zoneChoice struct {
	zone     string
	unplaced int     // tasks for which no room is there or may be rented
	cost     float64 // an hour, of what has to be rented
	bins     int     // in the zone
}

// betterThan orders choices: room for the most tasks, at the least cost, in the zone
// with the fewest machines, then by name.
func (a zoneChoice) betterThan(b zoneChoice) bool {
	switch {
	case a.unplaced != b.unplaced:
		return a.unplaced < b.unplaced
	case a.cost != b.cost:
		return a.cost < b.cost
	case a.bins != b.bins:
		return a.bins < b.bins
	}
	return a.zone < b.zone
}

// ChooseZone chooses the zone for a number of like tasks of a one-zone job none of
// which is placed; empty if no zone has room for any.
func (p *Plan) ChooseZone(task *TaskSpec, count int) string {
	p.reindexLastPacked()
	kind := p.taskKind(task)
	choices := map[string]*zoneChoice{}
	choice := func(zone string) *zoneChoice {
		c := choices[zone]
		if c == nil {
			c = &zoneChoice{zone: zone, unplaced: count, bins: p.binsByZone[zone]}
			choices[zone] = c
		}
		return c
	}
	for _, index := range kind.indexes {
		c := choice(index.offer.Zone)
		c.unplaced -= index.countFitting(task, c.unplaced, &p.evaluations)
	}
	for _, candidate := range kind.offers { // the cheapest first
		c := choice(candidate.details.Zone)
		if c.unplaced == 0 || candidate.details.Available < 1 {
			continue
		}
		provisioned := c.unplaced
		if candidate.details.Available < (c.unplaced+candidate.tasksPerMachine-1)/candidate.tasksPerMachine {
			provisioned = candidate.details.Available * candidate.tasksPerMachine
		}
		c.cost += candidate.costPerTask * float64(provisioned)
		c.unplaced -= provisioned
	}
	best := zoneChoice{unplaced: count, cost: math.Inf(1)}
	for _, c := range choices {
		if c.unplaced < count && (best.zone == "" || c.betterThan(best)) {
			best = *c
		}
	}
	return best.zone
}

// countFitting counts how many tasks fit into the bins on a shelf, at most limit.
func (s *binIndex) countFitting(task *TaskSpec, limit int, evaluations *int) int {
	s.sortGroups()
	fitting := 0
	for _, group := range slices.Backward(s.groups) {
		if fitting >= limit {
			break
		}
		*evaluations++
		if perBin := group.free.Fit(task.Resources, limit-fitting); perBin > 0 {
			fitting += min(limit-fitting, perBin*len(group.bins))
		}
	}
	return fitting
}
