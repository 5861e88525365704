package core

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// space is room that demand is packed into: a machine, a booting one, or one
// to be rented.
type space struct {
	name string // of an existing machine
	key  offerKey
	free topology.Resources
	// soft is what work of each priority holds that higher priorities may
	// stop: it counts as room for work that is only expected.
	soft [ranks]topology.Resources
	used bool
	want bool // to be rented
}

// room is what a task of a priority finds; expected work may count on what it
// could preempt.
func (s *space) room(rank int, expected bool) topology.Resources {
	r := s.free
	if expected {
		for k := 0; k < rank; k++ {
			r = r.Add(s.soft[k])
		}
	}
	return r
}

// supply tells whether a machine is, or is about to be, of use. One that has
// just reported and will hear this term with its next report counts: leaving
// it out for that moment rented a second machine for the same work.
func (l *leader) supply(m *machine) bool {
	if m.heard == 0 {
		return l.overdue(m) <= bootLate
	}
	return l.usable(m) || m.token < l.term && l.c.now-m.heard < 3*l.c.report()
}

// plan rents for the tasks that found no room, and keeps or rents some room
// for the work that is expected while a machine boots.
func (l *leader) plan(cands []*candidate, usage map[string]topology.Resources) {
	f := &l.fleet
	var spaces []*space
	add := func(name string, k offerKey, free topology.Resources) {
		spaces = append(spaces, &space{name: name, key: k, free: free})
	}
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || m.returning || f.returns[m.name] || m.drain != "" || m.leaving != 0 {
			continue
		}
		if !l.supply(m) {
			continue
		}
		add(m.name, offerKey{m.typ, m.zone, m.spot}, total.Sub(m.used))
		spaces[len(spaces)-1].soft = m.soft
	}
	for _, r := range f.rents {
		t := l.c.types[r.req.Type]
		if t == nil {
			continue
		}
		for k := 0; k < r.req.Count; k++ {
			add("", offerKey{r.req.Type, r.req.Zone, r.req.Spot}, topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB})
		}
	}
	sum := map[string]topology.Resources{}
	for k, v := range usage {
		sum[k] = v
	}
	for _, c := range cands {
		if len(c.j.failOn) >= 3 {
			continue
		}
		// Room that is being made for it is not rented as well, also where the
		// pass did not come to it.
		c.held = max(c.held, l.heldFor(c.j))
		room := l.zoneRoom(c.j)
		added := map[string]int{}
		var last *space
		for k := c.held; k < len(c.pending) && k < 500; k++ {
			if !underLimit(l.c.team(c.j.Team), sum[c.j.Team], size(&c.j.Job), 1) {
				break
			}
			zone := func(z string) bool {
				if c.j.OneZone && k > c.held {
					return added[z] > 0
				}
				return room == nil || added[z] < room(z)
			}
			s := l.pack(&spaces, c.j, zone, false, last)
			if s == nil {
				break
			}
			last = s
			added[s.key.zone]++
			sum[c.j.Team] = sum[c.j.Team].Add(size(&c.j.Job))
		}
	}
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind != "wait" {
			continue
		}
		a := l.arrivals[o.Class]
		if a == nil || a.last == nil {
			continue
		}
		n := l.expected(a, o)
		var last *space
		for k := 0; k < n; k++ {
			if last = l.pack(&spaces, a.last, nil, true, last); last == nil {
				break
			}
		}
	}
	l.consolidate(spaces, cands)
	f.keep = map[string]bool{}
	wants := map[offerKey]int{}
	var keys []offerKey
	for _, s := range spaces {
		switch {
		case s.want:
			if wants[s.key] == 0 {
				keys = append(keys, s.key)
			}
			wants[s.key]++
		case s.used && s.name != "":
			f.keep[s.name] = true
		}
	}
	for _, k := range keys {
		// The cloud takes few calls: what is wanted gathers until the next
		// one, the most urgent first, instead of going out machine by machine.
		if l.c.now < f.rentNext || len(f.rents) >= 4 {
			l.schedule = true
			break
		}
		f.rentNext = l.c.now + time.Duration(2/l.c.cfg.Deployment.Cloud.RPS*float64(time.Second))
		f.rentSeq++
		r := &rent{req: wire.RentRequest{
			Request: "r-" + strconv.FormatUint(l.term, 10) + "-" + strconv.Itoa(f.rentSeq),
			Type:    k.typ, Zone: k.zone, Spot: k.spot, Count: min(wants[k], 50),
		}}
		f.rents = append(f.rents, r)
		l.rent(r)
	}
}

// pack finds a space for a task, or adds the cheapest machine that the cloud
// may still grant. last is the space of the job's task before: it was the
// tightest, so it still is where it has room for one more.
func (l *leader) pack(spaces *[]*space, j *job, zone func(string) bool, expected bool, last *space) *space {
	need, rank := size(&j.Job), j.rank
	var best *space
	if last != nil && last.room(rank, expected).Holds(need) && (zone == nil || zone(last.key.zone)) {
		best = last
	} else {
		l.visits += len(*spaces)
		for _, s := range *spaces {
			if !s.room(rank, expected).Holds(need) || !eligible(&j.Job, s.key.typ, s.key.zone, s.key.spot) ||
				best != nil && !s.free.Less(best.free) || zone != nil && !zone(s.key.zone) {
				continue
			}
			best = s
		}
	}
	if best == nil {
		k, ok := l.offer(*spaces, &j.Job, zone)
		if !ok {
			return nil
		}
		t := l.c.types[k.typ]
		best = &space{key: k, want: true, free: topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}}
		*spaces = append(*spaces, best)
	}
	best.free = best.free.Sub(need)
	if !expected {
		best.soft[rank] = best.soft[rank].Add(need)
	}
	best.used = true
	return best
}
