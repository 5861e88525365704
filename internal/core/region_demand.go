package core

import (
	"maps"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// regionDemand collects, during a scale-out plan, what teams use of this region's shares of their
// limits and what they need in addition. It is nil and records nothing if no limits are shared.
type regionDemand struct {
	leader  *leader
	byTeam  map[string]balance.Demand
	growing bool // a team's shortfall is larger than at the last plan
}

// newRegionDemand returns an empty demand for a plan; nil if no limits are shared.
func (l *leader) newRegionDemand() *regionDemand {
	if l.quota == nil {
		return nil
	}
	return &regionDemand{leader: l, byTeam: map[string]balance.Demand{}}
}

// recordShortfall records that a number of a candidate's tasks wait only because the region's share
// is used up. Only the first gang of a team counts.
func (d *regionDemand) recordShortfall(candidate *candidate, tasks int) {
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

// finish replaces the demand of the last plan with the collected one, and notifies the quota
// manager if a shortfall has grown. planned is what tasks use or are planned to use, by team.
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

// withReservations returns planned plus the resources of the tasks that machines are reserved for.
func (d *regionDemand) withReservations(planned map[string]topology.Resources) map[string]topology.Resources {
	total := maps.Clone(planned)
	for _, job := range d.leader.JobsBySubmission {
		if tasks := d.leader.reservedTasks(job); tasks > 0 {
			total[job.Team] = total[job.Team].Add(cluster.TaskSize(&job.Job).Times(tasks))
		}
	}
	return total
}
