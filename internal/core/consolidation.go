package core

import (
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// machinesPerConsolidation is how many machines a fleet has for each one that is emptied at a
// time, so that a larger fleet shrinks as fast.
const machinesPerConsolidation = 400

// consolidate empties a machine all of whose replicas fit on other machines that are up and hold
// their images, so that it can be returned. A replica that moves is away for the time of a stop
// and a start. One machine is emptied at a time, and only while no task waits for capacity.
func (l *leader) consolidate(bins []*provisioning.Bin, candidates []*candidate) {
	if !l.mayConsolidate(bins, candidates) {
		return
	}
	fleet := &l.fleet
	sources, targets := l.consolidationSources(bins), l.consolidationTargets(bins)
	// Whether all replicas fit changes slowly, and finding out costs an evaluation of many
	// machines for each source.
	fleet.nextConsolidationAt = l.core.now + l.core.heartbeatInterval()
	limit := l.scheduler.Evaluations() + l.scheduler.EvaluationBudget()
	first := slices.IndexFunc(sources, func(machine *cluster.Machine) bool { return machine.Name == fleet.consolidateFrom })
	fleet.consolidateFrom = ""
	for _, source := range sources[max(first, 0):] {
		if l.scheduler.Evaluations() > limit {
			fleet.consolidateFrom = source.Name // the next call resumes there
			return
		}
		if destinations := l.consolidationPlan(source, targets); destinations != nil {
			l.evacuate(source, destinations)
			fleet.nextConsolidationAt = l.core.now + l.consolidationInterval()
			return
		}
	}
}

// mayConsolidate reports whether it is time to empty a machine: no task waits and nothing is to
// be provisioned.
func (l *leader) mayConsolidate(bins []*provisioning.Bin, candidates []*candidate) bool {
	if l.core.now < l.fleet.nextConsolidationAt || l.core.now-l.recordsLoadedAt < l.core.workerLease() {
		return false
	}
	if anyPending(candidates) {
		return false
	}
	return !slices.ContainsFunc(bins, func(b *provisioning.Bin) bool { return b.ToProvision })
}

// anyPending reports whether tasks wait for capacity, other than those that fail on every machine.
func anyPending(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool { return len(c.Pending) > 0 && !c.Faulty })
}

// consolidationTarget is a machine that replicas may move to.
type consolidationTarget struct {
	*provisioning.Bin
	machine *cluster.Machine
}

// consolidationTargets lists the machines with free capacity that replicas may move to, by the
// images that they hold.
func (l *leader) consolidationTargets(bins []*provisioning.Bin) map[string][]consolidationTarget {
	targets := map[string][]consolidationTarget{}
	for _, b := range bins {
		machine := l.Machines[b.Machine]
		if machine == nil || b.Free.CPUs <= 0 && b.Free.GPUs <= 0 || !l.usable(machine) {
			continue
		}
		for _, image := range machine.CachedImages {
			targets[image.Name] = append(targets[image.Name], consolidationTarget{b, machine})
		}
	}
	return targets
}

// consolidationSources lists the machines that may be emptied: first those that are cordoned and
// run replicas only, then the most expensive ones.
func (l *leader) consolidationSources(bins []*provisioning.Bin) []*cluster.Machine {
	var sources []*cluster.Machine
	for _, b := range bins {
		machine := l.Machines[b.Machine]
		if machine != nil && l.usable(machine) && !b.Used && l.core.now-machine.CreatedAt > minBilledTime && machine.RunsReplicasOnly() {
			sources = append(sources, machine)
		}
	}
	for _, machine := range l.MachinesByName {
		if machine.DrainReason != "" && !machine.Evicting && !machine.Returning && machine.RunsReplicasOnly() {
			sources = append(sources, machine)
		}
	}
	sort.SliceStable(sources, func(i, j int) bool { return l.consolidatesBefore(sources[i], sources[j]) })
	return sources
}

// consolidatesBefore orders the machines that may be emptied.
func (l *leader) consolidatesBefore(a, b *cluster.Machine) bool {
	if cordonedA, cordonedB := a.DrainReason != "", b.DrainReason != ""; cordonedA != cordonedB {
		return cordonedA
	}
	if priceA, priceB := l.machinePrice(a), l.machinePrice(b); priceA != priceB {
		return priceA > priceB
	}
	return len(a.Placements) < len(b.Placements)
}

// evacuate moves a machine's replicas to others, given in their order.
func (l *leader) evacuate(machine *cluster.Machine, destinations []*cluster.Machine) {
	for i, replica := range machine.Placements {
		replica.Job.ReschedulingTargets[replica.Index] = destinations[i]
	}
	l.cordon(machine, cluster.DrainConsolidated)
	machine.Evicting = true
}

// consolidationInterval is the time between two machines that are emptied.
func (l *leader) consolidationInterval() time.Duration {
	return l.baseConsolidationInterval() / time.Duration(max(1, len(l.MachinesByName)/machinesPerConsolidation))
}

// baseConsolidationInterval is that of a fleet that empties one machine at a time. A returned
// machine takes its images with it: while jobs of a class arrive whose image is pulled too slowly
// everywhere, the interval is long.
func (l *leader) baseConsolidationInterval() time.Duration {
	for _, class := range sortedKeys(l.arrivalsByClass) {
		arrivals := l.arrivalsByClass[class]
		if arrivals.lastJob == nil || !arrivals.Active(l.core.now) {
			continue
		}
		if l.scheduler.PullTooSlowEverywhere(arrivals.lastJob) {
			return l.core.workerLease()
		}
	}
	return 2 * l.core.heartbeatInterval()
}

// jobZone names a job in a zone.
type jobZone struct {
	job  *cluster.Job
	zone string
}

// consolidationPlan finds a machine for each replica of a source, in their order; nil if one of
// them fits nowhere.
func (l *leader) consolidationPlan(source *cluster.Machine, targets map[string][]consolidationTarget) []*cluster.Machine {
	plan := &consolidation{
		leader:      l,
		source:      source,
		planned:     map[*provisioning.Bin]topology.Resources{},
		movedToZone: map[jobZone]int{},
	}
	var destinations []*cluster.Machine
	for _, replica := range source.Placements {
		if replica.Job.OneZone {
			return nil
		}
		target := plan.chooseTarget(replica.Job, targets[replica.Job.Image])
		if target.machine == nil {
			return nil
		}
		destinations = append(destinations, target.machine)
	}
	return destinations
}

// consolidation is the plan to empty a machine.
type consolidation struct {
	leader      *leader
	source      *cluster.Machine
	planned     map[*provisioning.Bin]topology.Resources // used by moves that are planned
	movedToZone map[jobZone]int                          // replicas of a job that move to a zone
}

// chooseTarget finds the target with the least free capacity for a replica of a job, and plans the
// move; one without a machine if there is none.
func (p *consolidation) chooseTarget(job *cluster.Job, targets []consolidationTarget) consolidationTarget {
	size := cluster.TaskSize(&job.Job)
	zoneBound := scheduler.ZoneBound(job)
	var best consolidationTarget
	var bestFree topology.Resources
	p.leader.scheduler.AddEvaluations(len(targets))
	for _, target := range targets {
		free := target.Free
		if used, ok := p.planned[target.Bin]; ok {
			free = free.Sub(used)
		}
		if !free.Holds(size) || !p.mayMoveTo(job, target) {
			continue
		}
		if zoneBound != nil && p.zoneCapacity(job, target.machine.Zone, zoneBound) < 1 {
			continue
		}
		if best.machine == nil || free.Less(bestFree) {
			best, bestFree = target, free
		}
	}
	if best.machine != nil {
		p.planned[best.Bin] = p.planned[best.Bin].Add(size)
		p.movedToZone[jobZone{job, best.Offer.Zone}]++
	}
	return best
}

// mayMoveTo reports whether a replica of a job may move to a target, if it fits there.
func (p *consolidation) mayMoveTo(job *cluster.Job, target consolidationTarget) bool {
	machine := target.machine
	return machine != p.source && scheduler.AllowsMachine(job, machine) && !p.leader.outliers.HasFailures(machine.Name) && !p.returnedSoon(target)
}

// zoneCapacity is how many more replicas of a job may move to a zone within its bound.
func (p *consolidation) zoneCapacity(job *cluster.Job, zone string, bound func(string) int) int {
	n := bound(zone) - p.movedToZone[jobZone{job, zone}]
	if zone == p.source.Zone {
		n++ // the replica that moves no longer counts there
	}
	return n
}

// returnedSoon reports whether a target is idle, needed for nothing and no cheaper than the
// source: it is about to be returned itself. After a job's end replicas once moved from a machine
// that ran well to one that the job had left empty.
func (p *consolidation) returnedSoon(target consolidationTarget) bool {
	machine := target.machine
	idle := !target.Used && len(machine.Placements) == 0
	return idle && p.source.DrainReason == "" && p.leader.machinePrice(machine) >= p.leader.machinePrice(p.source)
}
