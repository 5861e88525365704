package core

import (
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// consolidate empties a machine whose replicas all find room on others that
// are up and hold their images, so that it can be returned. A replica that
// moves is away for the time of a stop and a start. One machine at a time, and
// only while nothing waits for room.
func (l *leader) consolidate(bins []*rental.Bin, cands []*candidate) {
	f := &l.fleet
	if l.c.now < f.moveNext || l.c.now-l.loadedAt < l.c.lease() || anyPending(cands) {
		return
	}
	if slices.ContainsFunc(bins, func(b *rental.Bin) bool { return b.ToRent }) {
		return
	}
	sources, targets := l.moveSources(bins), l.moveTargets(bins)
	// Whether all find room changes slowly, and finding out costs a look at many
	// machines for each source.
	f.moveNext = l.c.now + l.c.report()
	limit := l.passes.evaluations + l.passBudget()
	first := slices.IndexFunc(sources, func(m *machine) bool { return m.name == f.moveFrom })
	f.moveFrom = ""
	for _, m := range sources[max(first, 0):] {
		if l.passes.evaluations > limit {
			f.moveFrom = m.name // goes on there
			return
		}
		if to := l.moveDestinations(m, targets); to != nil {
			l.moveReplicas(m, to)
			f.moveNext = l.c.now + l.movePace()
			return
		}
	}
}

// anyPending tells whether tasks wait for room, but for those that fail everywhere.
func anyPending(cands []*candidate) bool {
	return slices.ContainsFunc(cands, func(c *candidate) bool { return len(c.pending) > 0 && !c.faulty })
}

// moveTarget is a machine that replicas may move to.
type moveTarget struct {
	*rental.Bin
	machine *machine
}

// moveTargets lists the machines that replicas may move to, by the images that they
// hold. Those without any room are left out.
func (l *leader) moveTargets(bins []*rental.Bin) map[string][]moveTarget {
	targets := map[string][]moveTarget{}
	for _, b := range bins {
		m := l.machines[b.Machine]
		if m == nil || b.Free.CPUs <= 0 && b.Free.GPUs <= 0 || !l.usable(m) {
			continue
		}
		for _, i := range m.images {
			targets[i.name] = append(targets[i.name], moveTarget{b, m})
		}
	}
	return targets
}

// moveSources lists the machines that may be emptied: cordoned ones first, once
// their tasks are replicas alone, then those of the highest price.
func (l *leader) moveSources(bins []*rental.Bin) []*machine {
	var sources []*machine
	for _, b := range bins {
		m := l.machines[b.Machine]
		if m != nil && l.usable(m) && !b.Used && l.c.now-m.createdAt > minCharge && m.movable() {
			sources = append(sources, m)
		}
	}
	for _, m := range l.byName {
		if m.drain != "" && !m.evict && !m.returning && m.movable() {
			sources = append(sources, m)
		}
	}
	sort.SliceStable(sources, func(a, b int) bool {
		x, y := sources[a], sources[b]
		if cx, cy := x.drain != "", y.drain != ""; cx != cy {
			return cx
		}
		if px, py := l.priceOf(x), l.priceOf(y); px != py {
			return px > py
		}
		return len(x.placed) < len(y.placed)
	})
	return sources
}

// moveReplicas has a machine's replicas move to others, given in their order.
func (l *leader) moveReplicas(m *machine, to []*machine) {
	for k, p := range m.placed {
		p.job.moveTo[p.index] = to[k]
	}
	l.cordon(m, drainConsolidated)
	m.evict = true
}

// machinesOfMove is for how many machines of a fleet one is emptied at a time, so that a
// larger one shrinks as fast.
const machinesOfMove = 400

// movePace is the time between two machines that are emptied. A machine that
// goes takes its images with it: while a class arrives whose image is fetched
// too slowly everywhere, they go seldom.
func (l *leader) movePace() time.Duration {
	return l.movePaceOfOne() / time.Duration(max(1, len(l.byName)/machinesOfMove))
}

// movePaceOfOne is the pace of a fleet that empties one machine at a time.
func (l *leader) movePaceOfOne() time.Duration {
	for _, class := range sortedKeys(l.arrivals) {
		a := l.arrivals[class]
		if a.last == nil || !a.Coming(l.c.now) {
			continue
		}
		if l.fetchedSlowly(a.last) {
			return l.c.lease()
		}
	}
	return 2 * l.c.report()
}

// fetchedSlowly tells whether a job's image comes too late on every type of
// machine that the job may use.
func (l *leader) fetchedSlowly(j *job) bool {
	wait := l.c.slowFetch(j.Class)
	for _, t := range l.c.types {
		if allowed(j.Types, t.Name) && capacity(t).Holds(size(&j.Job)) && j.ImageGB <= wait*t.FetchGBPS {
			return false
		}
	}
	return true
}

// movable tells whether all that a machine does is to run settled replicas.
func (m *machine) movable() bool {
	for _, p := range m.placed {
		t := &p.job.tasks[p.index]
		if p.job.Shape != wire.ShapeService || t.state != wire.TaskRunning || t.stop != nil {
			return false
		}
	}
	return len(m.placed) > 0
}

// jobZone names a job in a zone.
type jobZone struct {
	job  *job
	zone string
}

// moveDestinations finds a machine for each of a machine's replicas, in their
// order; nil if not all find one.
func (l *leader) moveDestinations(m *machine, targets map[string][]moveTarget) []*machine {
	taken := map[*rental.Bin]topology.Resources{}
	added := map[jobZone]int{}
	var to []*machine
	for _, p := range m.placed {
		if p.job.OneZone {
			return nil
		}
		best := l.moveTarget(m, p.job, targets[p.job.Image], taken, added)
		if best.machine == nil {
			return nil
		}
		taken[best.Bin] = taken[best.Bin].Add(size(&p.job.Job))
		added[jobZone{p.job, best.Offer.Zone}]++
		to = append(to, best.machine)
	}
	return to
}

// unneeded tells whether a bin is a machine that nothing needs and that costs no
// less than the one to be emptied: it is about to be returned itself. After a
// job's end replicas once moved from a machine that ran well to one that the
// job had left empty.
func (l *leader) unneeded(b moveTarget, from *machine) bool {
	m := b.machine
	idle := !b.Used && len(m.placed) == 0
	return idle && from.drain == "" && l.priceOf(m) >= l.priceOf(from)
}

// moveTarget finds the tightest target that may take a job's replica from a
// machine, given what the moves before it take and add; one without a machine if there
// is none.
func (l *leader) moveTarget(from *machine, j *job, targets []moveTarget, taken map[*rental.Bin]topology.Resources, added map[jobZone]int) moveTarget {
	zoneRoom := l.zoneRoom(j)
	var best moveTarget
	var bestFree topology.Resources
	l.passes.evaluations += len(targets)
	for _, b := range targets {
		m, free := b.machine, b.Free
		if t, ok := taken[b.Bin]; ok {
			free = free.Sub(t)
		}
		if m == from || !free.Holds(size(&j.Job)) || !eligible(&j.Job, m.typ, m.zone, m.spot) || l.faults.Doubtful(m.name) || l.unneeded(b, from) {
			continue
		}
		if zoneRoom != nil {
			n := zoneRoom(m.zone) - added[jobZone{j, m.zone}]
			if m.zone == from.zone {
				n++ // its own place there becomes free
			}
			if n < 1 {
				continue
			}
		}
		if best.machine == nil || free.Less(bestFree) {
			best, bestFree = b, free
		}
	}
	return best
}
