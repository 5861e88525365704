package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// consolidate empties a machine whose replicas all find room on others that
// are up and hold their images, so that it can be returned. A replica that
// moves is away for the time of a stop and a start. One machine at a time, and
// only while nothing waits for room.
func (l *leader) consolidate(bins []*bin, cands []*candidate) {
	f := &l.fleet
	if l.c.now < f.moveNext || l.c.now-l.loadedAt < l.c.lease() {
		return
	}
	for _, c := range cands {
		if len(c.pending) > 0 {
			return
		}
	}
	var from []*machine
	free := map[string]topology.Resources{}
	var targets []*bin
	for _, s := range bins {
		if s.toRent {
			return
		}
		m := l.machines[s.machine]
		if m == nil || !l.usable(m) {
			continue
		}
		if !s.used && l.c.now-m.createdAt > minCharge && m.movable() {
			from = append(from, m)
		}
		targets = append(targets, s)
		free[s.machine] = s.free
	}
	for _, m := range l.byName {
		// Condemned machines come first, once their tasks are replicas alone.
		if m.drain != "" && !m.evict && !m.returning && m.movable() {
			from = append(from, m)
		}
	}
	sort.SliceStable(from, func(a, b int) bool {
		if ca, cb := from[a].drain != "", from[b].drain != ""; ca != cb {
			return ca
		}
		pa, pb := l.price(from[a].typ, from[a].spot), l.price(from[b].typ, from[b].spot)
		if pa != pb {
			return pa > pb
		}
		return len(from[a].placed) < len(from[b].placed)
	})
	// Whether all find room changes slowly, and finding out costs a walk over
	// machines times replicas.
	f.moveNext = l.c.now + l.c.report()
	for _, m := range from {
		if to := l.elsewhere(m, targets, free); to != nil {
			for k, p := range m.placed {
				p.j.moveTo[p.i] = to[k]
			}
			f.moveNext = l.c.now + l.movePace()
			l.condemn(m, "its replicas fit on other machines")
			m.evict = true
			return
		}
	}
}

// movePace is the time between two machines that are emptied. A machine that
// goes takes its images with it: while a class arrives whose image is fetched
// too slowly everywhere, they go seldom.
func (l *leader) movePace() time.Duration {
	for _, class := range sortedKeys(l.arrivals) {
		a := l.arrivals[class]
		if a.last == nil || len(a.at) == 0 || l.c.now-a.at[len(a.at)-1] > arrivalWindow {
			continue
		}
		slow, wait := true, l.c.slowFetch(class)
		for _, t := range l.c.types {
			if allowed(a.last.Types, t.Name) && capacity(t).Holds(size(&a.last.Job)) &&
				a.last.ImageGB <= wait*t.FetchGBPS {
				slow = false
			}
		}
		if slow {
			return l.c.lease()
		}
	}
	return 2 * l.c.report()
}

// movable tells whether all that a machine does is to run settled replicas.
func (m *machine) movable() bool {
	for _, p := range m.placed {
		t := &p.j.tasks[p.i]
		if p.j.Shape != wire.ShapeService || t.state != wire.TaskRunning || t.stop != nil {
			return false
		}
	}
	return len(m.placed) > 0
}

// elsewhere finds a machine for each of a machine's replicas, in their order;
// nil if not all find one.
func (l *leader) elsewhere(m *machine, targets []*bin, free map[string]topology.Resources) []*machine {
	type jobZone struct {
		j    *job
		zone string
	}
	left := map[string]topology.Resources{}
	for k, v := range free {
		left[k] = v
	}
	added := map[jobZone]int{}
	var to []*machine
	for _, p := range m.placed {
		j := p.j
		if j.OneZone {
			return nil
		}
		room := l.zoneRoom(j)
		var best *bin
		for _, s := range targets {
			o := l.machines[s.machine]
			if o == m || !left[s.machine].Holds(size(&j.Job)) || !eligible(&j.Job, o.typ, o.zone, o.spot) || !o.hasImage(j.Image) || len(o.failed) > 0 {
				continue
			}
			if room != nil {
				n := room(o.zone) - added[jobZone{j, o.zone}]
				if o.zone == m.zone {
					n++ // its own place there becomes free
				}
				if n < 1 {
					continue
				}
			}
			if best == nil || left[s.machine].Less(left[best.machine]) {
				best = s
			}
		}
		if best == nil {
			return nil
		}
		left[best.machine] = left[best.machine].Sub(size(&j.Job))
		added[jobZone{j, best.key.zone}]++
		to = append(to, l.machines[best.machine])
	}
	return to
}
