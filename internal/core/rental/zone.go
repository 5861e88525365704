package rental

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
	missing  int     // tasks for which no room is there or may be rented
	cost     float64 // an hour, of what has to be rented
	machines int     // in the zone
}

// better orders choices: room for the most tasks, at the least cost, in the zone
// with the fewest machines, then by name.
func (a zoneChoice) better(b zoneChoice) bool {
	switch {
	case a.missing != b.missing:
		return a.missing < b.missing
	case a.cost != b.cost:
		return a.cost < b.cost
	case a.machines != b.machines:
		return a.machines < b.machines
	}
	return a.zone < b.zone
}

// ChooseZone chooses the zone for a number of like tasks of a one-zone job none of
// which is placed; empty if no zone has room for any.
func (p *Plan) ChooseZone(n *Need, tasks int) string {
	p.close()
	s := p.state(n)
	choices := map[string]*zoneChoice{}
	choice := func(zone string) *zoneChoice {
		c := choices[zone]
		if c == nil {
			c = &zoneChoice{zone: zone, missing: tasks, machines: p.machines[zone]}
			choices[zone] = c
		}
		return c
	}
	for _, shelf := range s.shelves {
		c := choice(shelf.offer.Zone)
		c.missing -= shelf.fit(n, c.missing, &p.evaluations)
	}
	for _, o := range s.offers { // the cheapest first
		c := choice(o.terms.Zone)
		if c.missing == 0 || o.terms.Limit < 1 {
			continue
		}
		rented := c.missing
		if o.terms.Limit < (c.missing+o.fit-1)/o.fit {
			rented = o.terms.Limit * o.fit
		}
		c.cost += o.cost * float64(rented)
		c.missing -= rented
	}
	best := zoneChoice{missing: tasks, cost: math.Inf(1)}
	for _, c := range choices {
		if c.missing < tasks && (best.zone == "" || c.better(best)) {
			best = *c
		}
	}
	return best.zone
}

// fit counts how many tasks fit into the bins on a shelf, at most limit.
func (s *shelf) fit(n *Need, limit int, evaluations *int) int {
	s.sort()
	fit := 0
	for _, g := range slices.Backward(s.groups) {
		if fit >= limit {
			break
		}
		*evaluations++
		if one := g.free.Fit(n.Task, limit-fit); one > 0 {
			fit += min(limit-fit, one*len(g.bins))
		}
	}
	return fit
}
