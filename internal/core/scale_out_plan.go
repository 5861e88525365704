package core

import (
	"maps"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/core/topology"
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
	l.scheduler.AddEvaluations(plan.Evaluations())
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
	for _, request := range p.leader.fleet.requests.OpenRequests() {
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

// packPending packs the candidates' tasks, within their teams' limits, and adds them to the teams'
// usage.
func (p *scaleOutPlan) packPending(candidates []*candidate, usage map[string]topology.Resources) {
	for _, candidate := range candidates {
		if candidate.Faulty {
			p.leader.logWait(candidate.Job, cluster.WaitJobFaulty)
			continue
		}
		p.packCandidate(candidate, usage)
	}
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
