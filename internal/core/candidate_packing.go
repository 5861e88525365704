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

// packCandidate packs a candidate's pending tasks, adds them to their team's usage and logs why
// they wait.
func (p *scaleOutPlan) packCandidate(candidate *candidate, usage map[string]topology.Resources) {
	// Tasks for which other tasks are being preempted need no new machines. They count as reserved
	// even if the placement pass ended before it reached this candidate.
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
	tasksByZone map[string]int    // number of packed tasks
	lastBin     *provisioning.Bin // where the last task was packed; nil if there is none

	limit       teamlimit.Limit
	used        topology.Resources // by the team, including the packed tasks
	preemptible topology.Resources // part of used that the limit does not count, as it may be preempted
}

// newCandidatePacking returns the packing of a candidate whose team uses the given resources so
// far.
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
		// Tasks of the team with lower priorities are preempted to stay within the limit, but only
		// once there is a machine for the candidate's tasks. It is therefore provisioned in spite
		// of the limit.
		packing.preemptible = p.preemptibleUsage(job.Team, candidate.PreemptionPriority)
	}
	return packing
}

// allows reports whether the team's limit allows a number of further tasks.
func (c *candidatePacking) allows(tasks int) bool {
	return c.limit.Allows(c.used.Sub(c.preemptible), c.spec.Resources, tasks)
}

// packTasks packs the candidate's tasks and returns why they wait; empty if no task waits.
func (c *candidatePacking) packTasks() cluster.WaitReason {
	l, demand := c.plan.leader, c.plan.demand
	wanted := l.plannedTasks(c.candidate) - c.candidate.ReservedTasks
	if demand != nil && c.candidate.Job.Shape == wire.ShapeGang && !c.allows(wanted) {
		// A gang starts only as a whole: packing part of it would claim capacity from other
		// regions without use.
		demand.recordShortfall(c.candidate, wanted)
		return l.limitReason(c.candidate.Job)
	}
	for packed := range wanted {
		if !c.allows(1) {
			demand.recordShortfall(c.candidate, wanted-packed)
			return l.limitReason(c.candidate.Job)
		}
		if !c.packNext() {
			return cluster.WaitNoOffer
		}
	}
	switch {
	case c.lastBin != nil:
		return cluster.WaitForMachines
	case c.candidate.ReservedTasks > 0:
		return cluster.WaitForPreemption
	}
	return ""
}

// packNext packs the next task and reports whether there is a machine for it.
func (c *candidatePacking) packNext() bool {
	c.lastBin = c.plan.Pack(&c.spec, c.zones, c.lastBin, c.candidate.Job.ID)
	if c.lastBin == nil {
		return false
	}
	c.tasksByZone[c.lastBin.Offer.Zone]++
	c.used = c.used.Add(c.spec.Resources)
	return true
}

// allowedZones returns the filter for the zones in which the next task may be packed, which depends
// on the number of tasks already packed in each zone. It is nil if all zones are allowed.
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

// preemptibleUsage returns the leader's preemptibleUsage, computed at most once per plan.
func (p *scaleOutPlan) preemptibleUsage(team string, level int) topology.Resources {
	key := teamLevel{team, level}
	usage, ok := p.preemptible[key]
	if !ok {
		usage = p.leader.preemptibleUsage(team, level)
		p.preemptible[key] = usage
	}
	return usage
}

// candidateTaskSpec returns what a pending task of a candidate requires of a machine. For
// best-effort tasks, no machines of expensive types are provisioned or kept.
func (l *leader) candidateTaskSpec(candidate *candidate) provisioning.TaskSpec {
	spec := taskSpec(candidate.Job)
	if candidate.BestEffort {
		spec.MachineTypes = strings.Join(l.cheapTypes(&candidate.Job.Job), ",")
	}
	return spec
}

// For an array, a plan provisions only so many task slots that each has work for
// bootTimesOfWorkPerSlot boot times, but at least minPlannedTasks: tens of thousands of tasks that
// run for a second or two are done before machines for all of them have booted.
const (
	bootTimesOfWorkPerSlot = 4
	minPlannedTasks        = 500
)

// plannedTasks returns the number of a candidate's pending tasks that a plan provisions for: all
// tasks of a service or a gang, which cannot be larger than the largest allowed fleet, and those of
// an array as described above.
func (l *leader) plannedTasks(candidate *candidate) int {
	pending := len(candidate.Pending)
	if candidate.Job.Shape != wire.ShapeArray || pending <= minPlannedTasks {
		return pending
	}
	bootS, _, ok := l.leadTime(candidate.Job)
	if !ok || bootS <= 0 {
		return pending
	}
	slots := math.Ceil(float64(pending) * l.runEstimate(candidate.Job) / (bootTimesOfWorkPerSlot * bootS))
	return min(pending, max(minPlannedTasks, int(slots)))
}
