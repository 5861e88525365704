package core

import (
	"maps"
	"math"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// scaleOutPlan packs the tasks that were not placed, and those that are forecast while a machine
// boots, into the machines of the fleet, those that are requested and those that may be
// provisioned, see package provisioning.
type scaleOutPlan struct {
	*provisioning.Plan
	leader      *leader
	preemptible map[teamLevel]topology.Resources // see preemptibleUsage
	demand      *regionDemand                    // nil if limits are not shared with other regions
}

// teamLevel names the work of a team below a priority level.
type teamLevel struct {
	team  string
	level int
}

// planScaleOut provisions machines for the tasks that were not placed, and keeps or provisions
// some capacity for dependent jobs and for those that are forecast while a machine boots.
func (l *leader) planScaleOut(candidates []*candidate, usage map[string]topology.Resources) {
	plan := newScaleOutPlan(l)
	planned := maps.Clone(usage)
	plan.packPending(candidates, planned)
	plan.demand.finish(planned)
	plan.packDependents(planned)
	plan.packForecast()
	l.passes.evaluations += plan.Evaluations()
	l.consolidate(plan.Bins(), candidates)
	l.fleet.keptIdle = plan.usedMachines()
	plan.logKeptMachines()
	l.requestShortfalls(plan.Shortfalls())
}

// newScaleOutPlan begins a plan with the machines that are usable or about to be, and with those
// that are requested.
func newScaleOutPlan(l *leader) *scaleOutPlan {
	plan := &scaleOutPlan{
		Plan:        provisioning.New(l.availableOffers()),
		leader:      l,
		preemptible: map[teamLevel]topology.Resources{},
		demand:      l.newRegionDemand(),
	}
	plan.addMachines()
	plan.addRequested()
	return plan
}

// addMachines adds the machines that take tasks now or soon. Of those that boot for too long, some
// are expected nevertheless, see package bootlatency.
func (p *scaleOutPlan) addMachines() {
	l := p.leader
	late := l.provisioningLatencies.NewLateCounter(l.core.now)
	for _, machine := range l.MachinesByName {
		capacity, known := l.capacityOf(machine)
		if !known || l.leavesFleet(machine) {
			continue
		}
		booting := machine.LastHeartbeat == 0
		if l.willBeUsable(machine) || booting && late.Expect(machine.ProvisioningKind()) {
			p.AddMachine(machine.Name, machine.Offer(), capacity.Sub(machine.Used), machine.UsedByLevel)
		}
	}
}

// leavesFleet reports whether a machine is cordoned, is being returned or will be preempted.
func (l *leader) leavesFleet(machine *cluster.Machine) bool {
	return machine.Returning || l.fleet.pendingReturns[machine.Name] || machine.DrainReason != "" || machine.PreemptionAt != 0
}

// addRequested adds the machines of provisioning requests without an answer.
func (p *scaleOutPlan) addRequested() {
	for _, request := range p.leader.fleet.requests.Open() {
		if machineType := p.leader.core.machineTypes[request.Type]; machineType != nil {
			p.AddRequested(request.Offer(), cluster.TypeCapacity(machineType), request.Count)
		}
	}
}

// taskSpec is what a pending task of a job requires of a machine.
func taskSpec(job *cluster.Job) provisioning.TaskSpec {
	return provisioning.TaskSpec{
		Resources:     cluster.TaskSize(&job.Job),
		MachineTypes:  strings.Join(job.MachineTypes, ","),
		Zone:          job.Zone,
		AllowSpot:     job.AllowSpot,
		PriorityLevel: job.Level,
	}
}

// forecastTaskSpec is what a task like a job's, not yet submitted, requires of a machine.
func forecastTaskSpec(job *cluster.Job) provisioning.TaskSpec {
	spec := taskSpec(job)
	spec.Forecast = true
	return spec
}

// candidateTaskSpec is what a pending task of a candidate requires of a machine. No expensive
// machine is provisioned or kept for best-effort work.
func (l *leader) candidateTaskSpec(candidate *candidate) provisioning.TaskSpec {
	spec := taskSpec(candidate.job)
	if candidate.bestEffort {
		spec.MachineTypes = strings.Join(l.cheapTypes(&candidate.job.Job), ",")
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
	pending := len(candidate.pending)
	if candidate.job.Shape != wire.ShapeArray || pending <= minPlannedTasks {
		return pending
	}
	bootS, _, ok := l.leadTime(candidate.job)
	if !ok || bootS <= 0 {
		return pending
	}
	slots := math.Ceil(float64(pending) * l.runEstimate(candidate.job) / (bootsOfWorkPerSlot * bootS))
	return min(pending, max(minPlannedTasks, int(slots)))
}

// packPending packs the candidates' tasks, within their teams' limits, and adds them to the teams'
// usage.
func (p *scaleOutPlan) packPending(candidates []*candidate, usage map[string]topology.Resources) {
	for _, candidate := range candidates {
		if candidate.faulty {
			p.leader.logWait(candidate.job, cluster.WaitFaulty)
			continue
		}
		p.packCandidate(candidate, usage)
	}
}

// packCandidate packs a candidate's tasks, adds them to their team's usage and logs why they wait.
func (p *scaleOutPlan) packCandidate(candidate *candidate, usage map[string]topology.Resources) {
	// Capacity that is being preempted for it is not provisioned as well, also where the
	// placement pass did not come to it.
	candidate.reserved = max(candidate.reserved, p.leader.reservedTasks(candidate.job))
	packing := p.newCandidatePacking(candidate, usage[candidate.job.Team])
	reason := packing.packTasks()
	usage[candidate.job.Team] = packing.used
	if reason != "" {
		p.leader.logWait(candidate.job, reason)
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

func (p *scaleOutPlan) newCandidatePacking(candidate *candidate, used topology.Resources) *candidatePacking {
	l, job := p.leader, candidate.job
	packing := &candidatePacking{
		plan:        p,
		candidate:   candidate,
		spec:        l.candidateTaskSpec(candidate),
		tasksByZone: map[string]int{},
		limit:       l.limit(job.Team),
		used:        used,
	}
	packing.zones = packing.allowedZones()
	if candidate.preemptionPriority > 0 && !packing.allows(len(candidate.pending)) {
		// Within the limit, the team's tasks of lower priorities are preempted, but only where
		// there is a machine to start on.
		packing.preemptible = p.preemptibleUsage(job.Team, candidate.preemptionPriority)
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
	wanted := l.plannedTasks(c.candidate) - c.candidate.reserved
	if demand != nil && c.candidate.job.Shape == wire.ShapeGang && !c.allows(wanted) {
		// A part of it would take a share from other regions in vain.
		demand.recordShortage(c.candidate, wanted)
		return l.limitReason(c.candidate.job)
	}
	for packed := range wanted {
		if !c.allows(1) {
			demand.recordShortage(c.candidate, wanted-packed)
			return l.limitReason(c.candidate.job)
		}
		if !c.packNext() {
			return cluster.WaitNoOffer
		}
	}
	switch {
	case c.last != nil:
		return cluster.WaitForMachines
	case c.candidate.reserved > 0:
		return cluster.WaitForPreemption
	}
	return ""
}

// packNext packs one task and reports whether there is a machine for it.
func (c *candidatePacking) packNext() bool {
	c.last = c.plan.Pack(&c.spec, c.zones, c.last, c.candidate.job.ID)
	if c.last == nil {
		return false
	}
	c.tasksByZone[c.last.Offer.Zone]++
	c.used = c.used.Add(c.spec.Resources)
	return true
}

// allowedZones is the filter for the next task's zone, by how many tasks were packed in each zone.
func (c *candidatePacking) allowedZones() provisioning.ZoneFilter {
	job := c.candidate.job
	if job.OneZone && job.TasksPlaced == 0 && c.candidate.reserved == 0 {
		only := c.plan.ChooseZone(&c.spec, len(c.candidate.pending))
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

// packForecast packs the tasks that are forecast of classes with an objective for their waiting
// time.
func (p *scaleOutPlan) packForecast() {
	for _, objective := range p.leader.forecastObjectives() {
		arrivals := p.leader.arrivalsByClass[objective.Class]
		if arrivals == nil || arrivals.lastJob == nil {
			continue
		}
		spec := forecastTaskSpec(arrivals.lastJob)
		p.packEqual(&spec, p.leader.expectedTasks(arrivals, objective), "forecast "+objective.Class)
	}
}

// packEqual packs equal tasks, until there is no machine for one.
func (p *scaleOutPlan) packEqual(spec *provisioning.TaskSpec, count int, purpose string) {
	var last *provisioning.Bin
	for range count {
		last = p.Pack(spec, nil, last, purpose)
		if last == nil {
			return
		}
	}
}

// usedMachines names the machines of the fleet that the plan uses.
func (p *scaleOutPlan) usedMachines() map[string]bool {
	used := map[string]bool{}
	for _, bin := range p.Bins() {
		if bin.Used && bin.Machine != "" {
			used[bin.Machine] = true
		}
	}
	return used
}

// logKeptMachines logs for what empty machines are kept, whenever that changes.
func (p *scaleOutPlan) logKeptMachines() {
	fleet := &p.leader.fleet
	kept := map[string]string{}
	for _, bin := range p.Bins() {
		machine := p.leader.Machines[bin.Machine]
		if machine == nil || !bin.Used || len(machine.Placements) > 0 || machine.LastHeartbeat == 0 {
			continue
		}
		kept[bin.Machine] = bin.Purpose
		if fleet.keptPurpose[bin.Machine] != bin.Purpose {
			p.leader.core.log.Debug("idle machine kept", "machine", bin.Machine, "purpose", bin.Purpose)
		}
	}
	fleet.keptPurpose = kept
}
