package core

import (
	"math"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// packCandidate packs a candidate's tasks, adds them to their team's usage and logs why they wait.
func (p *scaleOutPlan) packCandidate(candidate *candidate, usage map[string]topology.Resources) {
	// Capacity that is being preempted for it is not provisioned as well, also where the
	// placement pass did not come to it.
	candidate.ReservedTasks = max(candidate.ReservedTasks, p.leader.reservedTasks(candidate.Job))
	packing := p.newCandidatePacking(candidate, usage[candidate.Job.Team])
	reason := packing.packTasks()
	usage[candidate.Job.Team] = packing.used
	if reason != "" {
		p.leader.logWait(candidate.Job, reason)
	}
}

// candidatePacking is the packing of one candidate's tasks.
type candidatePacking struct {
	plan        *scaleOutPlan
	candidate   *candidate
	spec        provisioning.TaskSpec
	zones       provisioning.ZoneFilter
	tasksByZone map[string]int // that were packed
	last        *provisioning.Bin

	limit       teamlimit.Limit
	used        topology.Resources // by the team, with what was packed
	preemptible topology.Resources // of it, what the team's limit does not count for this candidate
}

// newCandidatePacking prepares to pack a candidate's tasks; used is what its team uses by then.
func (p *scaleOutPlan) newCandidatePacking(candidate *candidate, used topology.Resources) *candidatePacking {
	l, job := p.leader, candidate.Job
	packing := &candidatePacking{
		plan:        p,
		candidate:   candidate,
		spec:        l.candidateTaskSpec(candidate),
		tasksByZone: map[string]int{},
		limit:       l.limit(job.Team),
		used:        used,
	}
	packing.zones = packing.allowedZones()
	if candidate.PreemptionPriority > 0 && !packing.allows(len(candidate.Pending)) {
		// Within the limit, the team's tasks of lower priorities are preempted, but only where
		// there is a machine to start on.
		packing.preemptible = p.preemptibleUsage(job.Team, candidate.PreemptionPriority)
	}
	return packing
}

// allows reports whether the team's limit allows a number of tasks more.
func (c *candidatePacking) allows(tasks int) bool {
	return c.limit.Allows(c.used.Sub(c.preemptible), c.spec.Resources, tasks)
}

// packTasks packs the candidate's tasks and returns why they wait; empty if there are none.
func (c *candidatePacking) packTasks() cluster.WaitReason {
	l, demand := c.plan.leader, c.plan.demand
	wanted := l.plannedTasks(c.candidate) - c.candidate.ReservedTasks
	if demand != nil && c.candidate.Job.Shape == wire.ShapeGang && !c.allows(wanted) {
		// A part of the gang cannot start, and would only take a share from other regions.
		demand.recordShortage(c.candidate, wanted)
		return l.limitReason(c.candidate.Job)
	}
	for packed := range wanted {
		if !c.allows(1) {
			demand.recordShortage(c.candidate, wanted-packed)
			return l.limitReason(c.candidate.Job)
		}
		if !c.packNext() {
			return cluster.WaitNoOffer
		}
	}
	switch {
	case c.last != nil:
		return cluster.WaitForMachines
	case c.candidate.ReservedTasks > 0:
		return cluster.WaitForPreemption
	}
	return ""
}

// packNext packs one task and reports whether there is a machine for it.
func (c *candidatePacking) packNext() bool {
	c.last = c.plan.Pack(&c.spec, c.zones, c.last, c.candidate.Job.ID)
	if c.last == nil {
		return false
	}
	c.tasksByZone[c.last.Offer.Zone]++
	c.used = c.used.Add(c.spec.Resources)
	return true
}

// allowedZones is the filter for the next task's zone, by how many tasks were packed in each zone.
func (c *candidatePacking) allowedZones() provisioning.ZoneFilter {
	job := c.candidate.Job
	if job.OneZone && job.TasksPlaced == 0 && c.candidate.ReservedTasks == 0 {
		only := c.plan.ChooseZone(&c.spec, len(c.candidate.Pending))
		return func(zone string) bool { return zone == only }
	}
	bound := c.plan.leader.zoneBound(job)
	if bound == nil {
		return nil
	}
	return func(zone string) bool {
		if job.OneZone && len(c.tasksByZone) > 0 {
			return c.tasksByZone[zone] > 0
		}
		return c.tasksByZone[zone] < bound(zone)
	}
}

// preemptibleUsage is the leader's preemptibleUsage, found once in a plan.
func (p *scaleOutPlan) preemptibleUsage(team string, level int) topology.Resources {
	key := teamLevel{team, level}
	usage, ok := p.preemptible[key]
	if !ok {
		usage = p.leader.preemptibleUsage(team, level)
		p.preemptible[key] = usage
	}
	return usage
}

// candidateTaskSpec is what a pending task of a candidate requires of a machine. No expensive
// machine is provisioned or kept for best-effort work.
func (l *leader) candidateTaskSpec(candidate *candidate) provisioning.TaskSpec {
	spec := taskSpec(candidate.Job)
	if candidate.BestEffort {
		spec.MachineTypes = strings.Join(l.cheapTypes(&candidate.Job.Job), ",")
	}
	return spec
}

// Of an array, a plan provisions for the tasks that together run longer than bootsOfWorkPerSlot
// boots on a slot each, and for minPlannedTasks in any case: tens of thousands of tasks of a second
// or two are done before machines for all of them have booted.
const (
	bootsOfWorkPerSlot = 4
	minPlannedTasks    = 500
)

// plannedTasks is for how many of a candidate's pending tasks a plan provisions: all of a service
// or a gang, which cannot be larger than the fleet may be.
func (l *leader) plannedTasks(candidate *candidate) int {
	pending := len(candidate.Pending)
	if candidate.Job.Shape != wire.ShapeArray || pending <= minPlannedTasks {
		return pending
	}
	bootS, _, ok := l.leadTime(candidate.Job)
	if !ok || bootS <= 0 {
		return pending
	}
	slots := math.Ceil(float64(pending) * l.runEstimate(candidate.Job) / (bootsOfWorkPerSlot * bootS))
	return min(pending, max(minPlannedTasks, int(slots)))
}
