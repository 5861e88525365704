package core

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// taskSpecOf is what a task of a job asks of a machine that is to be rented.
func taskSpecOf(j *cluster.Job, expected bool) provisioning.TaskSpec {
	return provisioning.TaskSpec{Resources: cluster.TaskSize(&j.Job), MachineTypes: strings.Join(j.MachineTypes, ","), Zone: j.Zone, AllowSpot: j.AllowSpot, Rank: j.Level, Forecast: expected}
}

// candidateTaskSpec is what a waiting task of a candidate asks of a machine. Guests' tasks
// have no dear machine rented or kept.
func (l *leader) candidateTaskSpec(c *candidate) provisioning.TaskSpec {
	spec := taskSpecOf(c.Job, false)
	if c.BestEffort {
		spec.MachineTypes = strings.Join(l.cheapTypes(&c.Job.Job), ",")
	}
	return spec
}

// binPurpose tells what room for a task is for.
func binPurpose(j *cluster.Job, expected bool) string {
	if expected {
		return "expected " + j.Class
	}
	return j.ID
}

// willBeUsable tells whether a machine is, or is about to be, of use. One that
// has just reported and will hear this term with its next report counts:
// leaving it out for that moment rented a second machine for the same work.
func (l *leader) willBeUsable(m *cluster.Machine) bool {
	if m.LastHeartbeat == 0 {
		return l.bootTimeRatio(m) <= lateBootFactor
	}
	return l.usable(m) || m.FencingToken < l.leadership.Term && l.core.now-m.LastHeartbeat < 3*l.core.heartbeatInterval()
}

// scaleOutPlan packs the tasks that found no room, and those that are expected
// while a machine boots, into the machines there are, those asked for and those
// to be rented, see package rental.
type scaleOutPlan struct {
	leader *leader
	*provisioning.Plan
	preemptible map[teamRank]topology.Resources // see preemptibleUsage
	demand      *regionDemand                   // nil if limits are not shared with other regions
}

// teamRank names the work of a team below a rank.
type teamRank struct {
	team string
	rank int
}

const (
	maxOpenScaleOuts      = 4  // rental requests without an answer
	maxMachinesPerRequest = 50 // machines in one rental request
)

// Of an array's tasks a plan rents for all that take longer together than bootsOfWorkPerSlot
// times a boot on one seat each, and for minPlannedTasks in any case: tens of thousands of
// tasks of a second or two are over before the machines for all of them are up.
const (
	bootsOfWorkPerSlot = 4
	minPlannedTasks    = 500
)

// plannedTasks is for how many of a candidate's waiting tasks a plan rents: all of a
// service or a gang, as large as the fleet may be.
func (l *leader) plannedTasks(c *candidate) int {
	pending := len(c.Pending)
	if c.Job.Shape != wire.ShapeArray || pending <= minPlannedTasks {
		return pending
	}
	boot, _, ok := l.leadTime(c.Job)
	if !ok || boot <= 0 {
		return pending
	}
	slots := math.Ceil(float64(pending) * l.runEstimate(c.Job) / (bootsOfWorkPerSlot * boot))
	return min(pending, max(minPlannedTasks, int(slots)))
}

// planScaleOut rents for the tasks that found no room, and keeps or rents some room
// for the work that goes on or is expected while a machine boots.
func (l *leader) planScaleOut(candidates []*candidate, usage map[string]topology.Resources) {
	plan := newScaleOutPlan(l)
	planned := maps.Clone(usage)
	plan.packPending(candidates, planned)
	plan.demand.finish(planned)
	plan.packDependents(planned)
	plan.packForecast()
	l.scheduler.AddEvaluations(plan.Evaluations())
	l.consolidate(plan.Bins(), candidates)
	l.fleet.keptIdle = plan.usedMachines()
	plan.logKeptMachines()
	l.requestShortfalls(plan.Shortfalls())
}

// newScaleOutPlan starts a plan with the machines that are, or are about to be,
// of use, and with those that have been asked for.
func newScaleOutPlan(l *leader) *scaleOutPlan {
	plan := &scaleOutPlan{leader: l, Plan: provisioning.New(l.availableOffers()), preemptible: map[teamRank]topology.Resources{}, demand: l.newRegionDemand()}
	late := l.provisioningLatencies.NewLateCounter(l.core.now)
	for _, m := range l.MachinesByName {
		total, ok := l.capacityOf(m)
		if !ok || m.Returning || l.fleet.pendingReturns[m.Name] || m.DrainReason != "" || m.PreemptionAt != 0 {
			continue
		}
		if !l.willBeUsable(m) && !(m.LastHeartbeat == 0 && late.Expect(m.ProvisioningKind())) {
			continue
		}
		plan.AddMachine(m.Name, m.Offer(), total.Sub(m.Used), m.UsedByLevel)
	}
	for _, r := range l.fleet.scaleOuts {
		if t := l.core.machineTypes[r.message.Type]; t != nil {
			plan.AddRequested(r.offer(), cluster.TypeCapacity(t), r.message.Count)
		}
	}
	return plan
}

// packPending packs the candidates' tasks, within their teams' limits, and adds
// them to the teams' usage.
func (p *scaleOutPlan) packPending(candidates []*candidate, usage map[string]topology.Resources) {
	for _, c := range candidates {
		if c.Faulty {
			p.leader.logWait(c.Job, cluster.WaitFaulty)
			continue
		}
		p.packCandidate(c, usage)
	}
}

// packCandidate packs a candidate's tasks and adds them to their team's usage.
func (p *scaleOutPlan) packCandidate(c *candidate, usage map[string]topology.Resources) {
	l, j := p.leader, c.Job
	// Room that is being made for it is not rented as well, also where the
	// pass did not come to it.
	c.Reserved = max(c.Reserved, l.reservedTasks(j))
	packed := map[string]int{} // by zone
	spec, purpose := l.candidateTaskSpec(c), binPurpose(j, false)
	zoneAllowed := p.allowedZones(c, &spec, packed)
	var last *provisioning.Bin
	limit := l.limit(j.Team)
	used := usage[j.Team]
	defer func() { usage[j.Team] = used }()
	var preemptible topology.Resources
	if c.PreemptionPriority > 0 && !limit.Allows(used, spec.Resources, len(c.Pending)) {
		// What its team runs of lower priorities makes way within the limit, but
		// only where there is a machine to start on.
		preemptible = p.preemptibleUsage(j.Team, c.PreemptionPriority)
	}
	wanted := l.plannedTasks(c) - c.Reserved
	if p.demand != nil && j.Shape == wire.ShapeGang && !limit.Allows(used.Sub(preemptible), spec.Resources, wanted) {
		// A part of it would keep shares from others without any use.
		p.demand.recordShortage(c, wanted)
		l.logWait(j, l.limitReason(j))
		return
	}
	for k := range wanted {
		if !limit.Allows(used.Sub(preemptible), spec.Resources, 1) {
			p.demand.recordShortage(c, wanted-k)
			l.logWait(j, l.limitReason(j))
			return
		}
		if last = p.Pack(&spec, zoneAllowed, last, purpose); last == nil {
			l.logWait(j, cluster.WaitNoOffer)
			return
		}
		packed[last.Offer.Zone]++
		used = used.Add(spec.Resources)
	}
	switch {
	case last != nil:
		l.logWait(j, cluster.WaitForMachines)
	case c.Reserved > 0:
		l.logWait(j, cluster.WaitForPreemption)
	}
}

// preemptibleUsage is the leader's, found once in a plan.
func (p *scaleOutPlan) preemptibleUsage(team string, rank int) topology.Resources {
	key := teamRank{team, rank}
	sum, ok := p.preemptible[key]
	if !ok {
		sum = p.leader.preemptibleUsage(team, rank)
		p.preemptible[key] = sum
	}
	return sum
}

// allowedZones tells in which zones the next task of a candidate may be packed, by
// how many of its tasks the plan has packed in each zone; nil for all zones.
func (p *scaleOutPlan) allowedZones(c *candidate, spec *provisioning.TaskSpec, packed map[string]int) func(string) bool {
	j := c.Job
	if j.OneZone && j.TasksPlaced == 0 && c.Reserved == 0 {
		only := p.ChooseZone(spec, len(c.Pending))
		return func(zone string) bool { return zone == only }
	}
	zoneRoom := p.leader.zoneBound(j)
	if zoneRoom == nil {
		return nil
	}
	return func(zone string) bool {
		if j.OneZone && len(packed) > 0 {
			return packed[zone] > 0
		}
		return packed[zone] < zoneRoom(zone)
	}
}

// packForecast packs the tasks that are expected of the classes which may wait
// only so long.
func (p *scaleOutPlan) packForecast() {
	l := p.leader
	for _, o := range l.forecastObjectives() {
		a := l.arrivalsByClass[o.Class]
		if a == nil || a.lastJob == nil {
			continue
		}
		need, purpose := taskSpecOf(a.lastJob, true), binPurpose(a.lastJob, true)
		var last *provisioning.Bin
		for range l.expectedTasks(a, o) {
			if last = p.Pack(&need, nil, last, purpose); last == nil {
				break
			}
		}
	}
}

// usedMachines are the existing machines that the plan has a use for.
func (p *scaleOutPlan) usedMachines() map[string]bool {
	used := map[string]bool{}
	for _, b := range p.Bins() {
		if b.Used && b.Machine != "" {
			used[b.Machine] = true
		}
	}
	return used
}

// logKeptMachines logs what empty machines are kept for, whenever that changes.
func (p *scaleOutPlan) logKeptMachines() {
	kept := map[string]string{}
	for _, b := range p.Bins() {
		if m := p.leader.Machines[b.Machine]; m != nil && b.Used && len(m.Placements) == 0 && m.LastHeartbeat != 0 {
			kept[b.Machine] = b.Purpose
			if p.leader.fleet.keptPurpose[b.Machine] != b.Purpose {
				p.leader.core.log.Debug("empty machine kept", "machine", b.Machine, "for", b.Purpose)
			}
		}
	}
	p.leader.fleet.keptPurpose = kept
}

// requestShortfalls takes over what a plan wants rented. The cloud takes few calls: what is
// wanted gathers until the next one, the most urgent first, instead of going out
// machine by machine.
func (l *leader) requestShortfalls(shortfalls []provisioning.Shortfall) {
	l.fleet.shortfalls = slices.Clone(shortfalls)
	l.sendScaleOuts()
	if len(l.fleet.shortfalls) > 0 {
		l.passes.requested = true
	}
}

// sendScaleOuts sends the rental requests that the cloud's rate allows now. What is left
// goes out as time allows, until the next plan says otherwise: plans of a large
// fleet are too far apart for one request each.
func (l *leader) sendScaleOuts() {
	f := &l.fleet
	for len(f.shortfalls) > 0 && l.core.now >= f.nextScaleOutAt && len(f.scaleOuts) < maxOpenScaleOuts {
		shortfall := &f.shortfalls[0]
		f.nextScaleOutAt = l.core.now + time.Duration(2/l.core.settings.Deployment.Cloud.RPS*float64(time.Second))
		f.scaleOutSequence++
		request := &scaleOutRequest{message: wire.ProvisionRequest{
			ID:   "r-" + strconv.FormatUint(l.leadership.Term, 10) + "-" + strconv.Itoa(f.scaleOutSequence),
			Type: shortfall.Offer.Type, Zone: shortfall.Offer.Zone, Spot: shortfall.Offer.Spot, Count: min(shortfall.Count, maxMachinesPerRequest),
		}}
		f.scaleOuts = append(f.scaleOuts, request)
		l.core.log.Info("rent", "type", request.message.Type, "zone", request.message.Zone, "spot", request.message.Spot, "count", request.message.Count, "for", shortfall.Purpose)
		if shortfall.Count -= request.message.Count; shortfall.Count == 0 {
			f.shortfalls = f.shortfalls[1:]
		}
		l.sendScaleOut(request)
	}
}

// dropShortfalls forgets what is wanted of an offer that has no more machines: the next
// plan looks elsewhere.
func (l *leader) dropShortfalls(o provisioning.Offer) {
	l.fleet.shortfalls = slices.DeleteFunc(l.fleet.shortfalls, func(w provisioning.Shortfall) bool { return w.Offer == o })
}
