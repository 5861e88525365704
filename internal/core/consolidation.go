package core

import (
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// consolidate empties a machine whose replicas all find room on others that
// are up and hold their images, so that it can be returned. A replica that
// moves is away for the time of a stop and a start. One machine at a time, and
// only while nothing waits for room.
func (l *leader) consolidate(bins []*provisioning.Bin, cands []*candidate) {
	fleet := &l.fleet
	if l.core.now < fleet.nextConsolidationAt || l.core.now-l.recordsLoadedAt < l.core.workerLease() || anyPending(cands) {
		return
	}
	if slices.ContainsFunc(bins, func(b *provisioning.Bin) bool { return b.ToProvision }) {
		return
	}
	sources, targets := l.consolidationSources(bins), l.consolidationTargets(bins)
	// Whether all find room changes slowly, and finding out costs a look at many
	// machines for each source.
	fleet.nextConsolidationAt = l.core.now + l.core.heartbeatInterval()
	limit := l.passes.evaluations + l.evaluationBudget()
	first := slices.IndexFunc(sources, func(m *cluster.Machine) bool { return m.Name == fleet.consolidateFrom })
	fleet.consolidateFrom = ""
	for _, m := range sources[max(first, 0):] {
		if l.passes.evaluations > limit {
			fleet.consolidateFrom = m.Name // goes on there
			return
		}
		if to := l.consolidationPlan(m, targets); to != nil {
			l.evacuate(m, to)
			fleet.nextConsolidationAt = l.core.now + l.consolidationInterval()
			return
		}
	}
}

// anyPending tells whether tasks wait for room, but for those that fail everywhere.
func anyPending(cands []*candidate) bool {
	return slices.ContainsFunc(cands, func(c *candidate) bool { return len(c.pending) > 0 && !c.faulty })
}

// consolidationTarget is a machine that replicas may move to.
type consolidationTarget struct {
	*provisioning.Bin
	machine *cluster.Machine
}

// consolidationTargets lists the machines that replicas may move to, by the images that they
// hold. Those without any room are left out.
func (l *leader) consolidationTargets(bins []*provisioning.Bin) map[string][]consolidationTarget {
	targets := map[string][]consolidationTarget{}
	for _, b := range bins {
		m := l.Machines[b.Machine]
		if m == nil || b.Free.CPUs <= 0 && b.Free.GPUs <= 0 || !l.usable(m) {
			continue
		}
		for _, i := range m.CachedImages {
			targets[i.Name] = append(targets[i.Name], consolidationTarget{b, m})
		}
	}
	return targets
}

// consolidationSources lists the machines that may be emptied: cordoned ones first, once
// their tasks are replicas alone, then those of the highest price.
func (l *leader) consolidationSources(bins []*provisioning.Bin) []*cluster.Machine {
	var sources []*cluster.Machine
	for _, b := range bins {
		m := l.Machines[b.Machine]
		if m != nil && l.usable(m) && !b.Used && l.core.now-m.CreatedAt > minBilledTime && m.RunsReplicasOnly() {
			sources = append(sources, m)
		}
	}
	for _, m := range l.MachinesByName {
		if m.DrainReason != "" && !m.Evicting && !m.Returning && m.RunsReplicasOnly() {
			sources = append(sources, m)
		}
	}
	sort.SliceStable(sources, func(a, b int) bool {
		x, y := sources[a], sources[b]
		if cx, cy := x.DrainReason != "", y.DrainReason != ""; cx != cy {
			return cx
		}
		if px, py := l.machinePrice(x), l.machinePrice(y); px != py {
			return px > py
		}
		return len(x.Placements) < len(y.Placements)
	})
	return sources
}

// evacuate has a machine's replicas move to others, given in their order.
func (l *leader) evacuate(m *cluster.Machine, to []*cluster.Machine) {
	for k, p := range m.Placements {
		p.Job.ReschedulingTargets[p.Index] = to[k]
	}
	l.cordon(m, cluster.DrainConsolidated)
	m.Evicting = true
}

// machinesPerConsolidation is for how many machines of a fleet one is emptied at a time, so that a
// larger one shrinks as fast.
const machinesPerConsolidation = 400

// consolidationInterval is the time between two machines that are emptied. A machine that
// goes takes its images with it: while a class arrives whose image is fetched
// too slowly everywhere, they go seldom.
func (l *leader) consolidationInterval() time.Duration {
	return l.baseConsolidationInterval() / time.Duration(max(1, len(l.MachinesByName)/machinesPerConsolidation))
}

// baseConsolidationInterval is the pace of a fleet that empties one machine at a time.
func (l *leader) baseConsolidationInterval() time.Duration {
	for _, class := range sortedKeys(l.arrivalsByClass) {
		a := l.arrivalsByClass[class]
		if a.lastJob == nil || !a.Active(l.core.now) {
			continue
		}
		if l.pullTooSlowEverywhere(a.lastJob) {
			return l.core.workerLease()
		}
	}
	return 2 * l.core.heartbeatInterval()
}

// pullTooSlowEverywhere tells whether a job's image comes too late on every type of
// machine that the job may use.
func (l *leader) pullTooSlowEverywhere(j *cluster.Job) bool {
	wait := l.core.maxPullTime(j.Class)
	for _, t := range l.core.machineTypes {
		if emptyOrContains(j.MachineTypes, t.Name) && cluster.TypeCapacity(t).Holds(cluster.TaskSize(&j.Job)) && j.ImageGB <= wait*t.PullGBPerS {
			return false
		}
	}
	return true
}

// jobZone names a job in a zone.
type jobZone struct {
	job  *cluster.Job
	zone string
}

// consolidationPlan finds a machine for each of a machine's replicas, in their
// order; nil if not all find one.
func (l *leader) consolidationPlan(source *cluster.Machine, targets map[string][]consolidationTarget) []*cluster.Machine {
	taken := map[*provisioning.Bin]topology.Resources{}
	added := map[jobZone]int{}
	var to []*cluster.Machine
	for _, p := range source.Placements {
		if p.Job.OneZone {
			return nil
		}
		best := l.tightestTarget(source, p.Job, targets[p.Job.Image], taken, added)
		if best.machine == nil {
			return nil
		}
		taken[best.Bin] = taken[best.Bin].Add(cluster.TaskSize(&p.Job.Job))
		added[jobZone{p.Job, best.Offer.Zone}]++
		to = append(to, best.machine)
	}
	return to
}

// soonReturned tells whether a bin is a machine that nothing needs and that costs no
// less than the one to be emptied: it is about to be returned itself. After a
// job's end replicas once moved from a machine that ran well to one that the
// job had left empty.
func (l *leader) soonReturned(b consolidationTarget, from *cluster.Machine) bool {
	m := b.machine
	idle := !b.Used && len(m.Placements) == 0
	return idle && from.DrainReason == "" && l.machinePrice(m) >= l.machinePrice(from)
}

// tightestTarget finds the tightest target that may take a job's replica from a
// machine, given what the moves before it take and add; one without a machine if there
// is none.
func (l *leader) tightestTarget(from *cluster.Machine, job *cluster.Job, targets []consolidationTarget, taken map[*provisioning.Bin]topology.Resources, added map[jobZone]int) consolidationTarget {
	zoneRoom := l.zoneBound(job)
	var best consolidationTarget
	var bestFree topology.Resources
	l.passes.evaluations += len(targets)
	for _, target := range targets {
		machine, free := target.machine, target.Free
		if t, ok := taken[target.Bin]; ok {
			free = free.Sub(t)
		}
		if machine == from || !free.Holds(cluster.TaskSize(&job.Job)) || !eligible(&job.Job, machine.TypeName, machine.Zone, machine.Spot) || l.outliers.HasFailures(machine.Name) || l.soonReturned(target, from) {
			continue
		}
		if zoneRoom != nil {
			n := zoneRoom(machine.Zone) - added[jobZone{job, machine.Zone}]
			if machine.Zone == from.Zone {
				n++ // its own place there becomes free
			}
			if n < 1 {
				continue
			}
		}
		if best.machine == nil || free.Less(bestFree) {
			best, bestFree = target, free
		}
	}
	return best
}
