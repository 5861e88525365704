package core

import (
	"maps"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// regionDemand collects, while a provisioning plan is made, what teams use and lack of their
// shares of limits over several regions. It is nil, and records nothing, where no limits are
// shared.
type regionDemand struct {
	leader  *leader
	byTeam  map[string]balance.Demand
	growing bool // some team lacks more than at the last plan
}

// newRegionDemand begins to collect for a plan.
func (l *leader) newRegionDemand() *regionDemand {
	if l.quota == nil {
		return nil
	}
	return &regionDemand{leader: l, byTeam: map[string]balance.Demand{}}
}

// recordShortage records that a number of a candidate's tasks wait for the share alone. Of the
// gangs of a team only the first one counts.
func (d *regionDemand) recordShortage(candidate *candidate, tasks int) {
	if d == nil || tasks < 1 || !d.leader.sharesLimit(candidate.Job.Team) {
		return
	}
	job := candidate.Job
	demand := d.byTeam[job.Team]
	need := amount.OfResources(cluster.TaskSize(&job.Job).Times(tasks))
	switch {
	case job.Shape != wire.ShapeGang:
		demand.Shortfall = demand.Shortfall.Add(need)
		demand.Priority = max(demand.Priority, job.Level)
	case demand.Gang.IsZero():
		demand.Gang, demand.GangPriority = need, job.Level
	}
	d.byTeam[job.Team] = demand
}

// finish replaces the demand of the last plan by the collected one, and tells other regions if
// it grows. planned is, by team, what tasks use or are planned to use.
func (d *regionDemand) finish(planned map[string]topology.Resources) {
	if d == nil {
		return
	}
	planned = d.withReservations(planned)
	for _, team := range sortedKeys(planned) {
		demand := d.byTeam[team]
		demand.Planned = amount.OfResources(planned[team])
		d.byTeam[team] = demand
	}
	for team, demand := range d.byTeam {
		before := d.leader.regionDemands[team]
		if !before.Shortfall.Covers(demand.Shortfall) || !before.Gang.Covers(demand.Gang) {
			d.growing = true
		}
	}
	d.leader.regionDemands = d.byTeam
	if d.growing {
		d.leader.quota.DemandChanged()
	}
}

// withReservations adds to what is planned the tasks that machines are reserved for.
func (d *regionDemand) withReservations(planned map[string]topology.Resources) map[string]topology.Resources {
	total := maps.Clone(planned)
	for _, job := range d.leader.JobsBySubmission {
		if tasks := d.leader.reservedTasks(job); tasks > 0 {
			total[job.Team] = total[job.Team].Add(cluster.TaskSize(&job.Job).Times(tasks))
		}
	}
	return total
}
