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

// machinesPerConsolidation is the number of machines in the fleet for each one that is emptied per
// baseConsolidationInterval, so that a larger fleet shrinks at the same relative rate.
const machinesPerConsolidation = 400

// consolidate empties one machine whose replicas all fit on other usable machines that have their
// images cached, so that it can be returned. A replica that moves is unavailable while it is
// stopped and started. At most one machine is emptied per consolidation interval, and only while no
// task waits for capacity.
func (l *leader) consolidate(bins []*provisioning.Bin, candidates []*candidate) {
	if !l.mayConsolidate(bins, candidates) {
		return
	}
	fleet := &l.fleet
	sources, targets := l.consolidationSources(bins), l.consolidationTargets(bins)
	// The search evaluates many machines for each source, and its result changes slowly: it is
	// repeated at most once per heartbeat interval.
	fleet.nextConsolidationAt = l.core.now + l.core.heartbeatInterval()
	limit := l.scheduler.Evaluations() + l.scheduler.EvaluationBudget()
	first := slices.IndexFunc(sources, func(machine *cluster.Machine) bool { return machine.Name == fleet.resumeConsolidationFrom })
	fleet.resumeConsolidationFrom = ""
	for _, source := range sources[max(first, 0):] {
		if l.scheduler.Evaluations() > limit {
			fleet.resumeConsolidationFrom = source.Name // the next call resumes here
			return
		}
		if destinations := l.consolidationPlan(source, targets); destinations != nil {
			l.evacuate(source, destinations)
			fleet.nextConsolidationAt = l.core.now + l.consolidationInterval()
			return
		}
	}
}

// mayConsolidate reports whether a machine may be emptied now: the next search is due, the records
// were loaded at least a worker lease ago, no task waits and no machine is to be provisioned.
func (l *leader) mayConsolidate(bins []*provisioning.Bin, candidates []*candidate) bool {
	if l.core.now < l.fleet.nextConsolidationAt || l.core.now-l.recordsLoadedAt < l.core.workerLease() {
		return false
	}
	if anyPending(candidates) {
		return false
	}
	return !slices.ContainsFunc(bins, func(b *provisioning.Bin) bool { return b.ToProvision })
}

// anyPending reports whether any tasks wait for capacity. Tasks of faulty jobs do not count.
func anyPending(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool { return len(c.Pending) > 0 && !c.Faulty })
}

// consolidationTarget is a machine that replicas may move to.
type consolidationTarget struct {
	*provisioning.Bin
	machine *cluster.Machine
}

// consolidationTargets returns the machines with free capacity that replicas may move to, by the
// name of each image in their caches.
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

// consolidationSources returns the machines that may be emptied, all of which run replicas only:
// first the cordoned ones, then the most expensive ones.
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

// consolidatesBefore reports whether machine a is to be emptied before machine b: cordoned machines
// come first, then those with a higher price, then those with fewer tasks.
func (l *leader) consolidatesBefore(a, b *cluster.Machine) bool {
	if cordonedA, cordonedB := a.DrainReason != "", b.DrainReason != ""; cordonedA != cordonedB {
		return cordonedA
	}
	if priceA, priceB := l.machinePrice(a), l.machinePrice(b); priceA != priceB {
		return priceA > priceB
	}
	return len(a.Placements) < len(b.Placements)
}

// evacuate moves a machine's replicas to the destinations, which are in the order of its
// placements.
func (l *leader) evacuate(machine *cluster.Machine, destinations []*cluster.Machine) {
	for i, replica := range machine.Placements {
		replica.Job.ReschedulingTargets[replica.Index] = destinations[i]
	}
	l.cordon(machine, cluster.DrainConsolidated)
	machine.Evicting = true
}

// consolidationInterval returns the time after which the next machine may be emptied.
func (l *leader) consolidationInterval() time.Duration {
	return l.baseConsolidationInterval() / time.Duration(max(1, len(l.MachinesByName)/machinesPerConsolidation))
}

// baseConsolidationInterval returns the consolidation interval of a small fleet. Returning a
// machine loses its cached images, so the interval is longer while there are arrivals of a class
// whose image takes too long to pull on every machine type.
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

// jobZone is a job and a zone, as a map key.
type jobZone struct {
	job  *cluster.Job
	zone string
}

// consolidationPlan returns a machine for each replica of a source, in the order of its placements;
// nil if there is none for one of them.
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

// consolidation is a plan to empty a machine.
type consolidation struct {
	leader      *leader
	source      *cluster.Machine
	planned     map[*provisioning.Bin]topology.Resources // used by planned moves
	movedToZone map[jobZone]int                          // number of a job's replicas that move to a zone
}

// chooseTarget returns the target with the least free capacity that can hold a replica of a job
// (best fit), and plans the move. The result has no machine if no target can.
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

// mayMoveTo reports whether a replica of a job may move to a target, apart from capacity and zone
// bounds.
func (p *consolidation) mayMoveTo(job *cluster.Job, target consolidationTarget) bool {
	machine := target.machine
	return machine != p.source && scheduler.AllowsMachine(job, machine) && !p.leader.outliers.HasFailures(machine.Name) && !p.aboutToBeReturned(target)
}

// zoneCapacity returns how many more replicas of a job may move to a zone within the zone's bound.
func (p *consolidation) zoneCapacity(job *cluster.Job, zone string, bound func(string) int) int {
	n := bound(zone) - p.movedToZone[jobZone{job, zone}]
	if zone == p.source.Zone {
		n++ // the moved replica no longer counts in its old zone
	}
	return n
}

// aboutToBeReturned reports whether a target is idle, unused by the plan and no cheaper than the
// source, so that it is about to be returned itself. Without this check, replicas moved from a
// machine that ran well to one left empty by a job that had ended. A cordoned source is emptied to
// any target.
func (p *consolidation) aboutToBeReturned(target consolidationTarget) bool {
	machine := target.machine
	idle := !target.Used && len(machine.Placements) == 0
	return idle && p.source.DrainReason == "" && p.leader.machinePrice(machine) >= p.leader.machinePrice(p.source)
}
