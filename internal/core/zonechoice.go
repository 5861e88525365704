package core

import "math"

// All tasks of a one-zone job have to find room in one zone. The rental plan
// chooses that zone for the whole job before it packs the first task. Chosen by the
// room for the first task alone, it was one in which the cloud had no machine for
// the last task, and a gang waited for minutes while another zone had room for all
// of it.

// zoneChoice is what a zone offers a one-zone job.
type zoneChoice struct {
	zone     string
	missing  int     // tasks for which no room is there or may be rented
	cost     float64 // an hour, of what has to be rented
	machines int     // in the zone
}

// better orders choices: room for the most tasks, at the least cost, in the zone
// with the fewest machines.
func (a zoneChoice) better(b zoneChoice) bool {
	switch {
	case a.missing != b.missing:
		return a.missing < b.missing
	case a.cost != b.cost:
		return a.cost < b.cost
	}
	return a.machines < b.machines
}

// chooseZone chooses the zone for a number of tasks of a one-zone job none of which
// is placed; empty if no zone has room for any.
func (p *rentalPlan) chooseZone(j *job, tasks int) string {
	choices := map[string]*zoneChoice{}
	choice := func(zone string) *zoneChoice {
		c := choices[zone]
		if c == nil {
			c = &zoneChoice{zone: zone, missing: tasks}
			choices[zone] = c
		}
		return c
	}
	p.l.passes.visits += len(p.bins)
	for _, b := range p.bins {
		c := choice(b.key.zone)
		c.machines++
		if c.missing > 0 && eligible(&j.Job, b.key.typ, b.key.zone, b.key.spot) {
			c.missing -= b.free.Fit(size(&j.Job), c.missing)
		}
	}
	cheapest := map[string]float64{}
	for _, o := range p.l.offers(&j.Job, nil) {
		if cost, ok := cheapest[o.key.zone]; !ok || o.cost < cost {
			cheapest[o.key.zone] = o.cost
		}
	}
	for _, zone := range sortedKeys(cheapest) {
		c := choice(zone)
		c.cost = cheapest[zone] * float64(c.missing)
		c.missing = 0
	}
	best := zoneChoice{missing: tasks, cost: math.Inf(1)}
	for _, zone := range sortedKeys(choices) {
		if c := *choices[zone]; c.missing < tasks && (best.zone == "" || c.better(best)) {
			best = c
		}
	}
	return best.zone
}

// allowedZones tells in which zones the next task of a candidate may be packed, by
// how many of its tasks the plan has packed in each zone.
func (p *rentalPlan) allowedZones(c *candidate, packed map[string]int) func(string) bool {
	j := c.job
	if j.OneZone && j.placed == 0 && c.reserved == 0 {
		only := p.chooseZone(j, min(len(c.pending), maxPlannedTasks))
		return func(zone string) bool { return zone == only }
	}
	zoneRoom := p.l.zoneRoom(j)
	return func(zone string) bool {
		if j.OneZone && len(packed) > 0 {
			return packed[zone] > 0
		}
		return zoneRoom == nil || packed[zone] < zoneRoom(zone)
	}
}
