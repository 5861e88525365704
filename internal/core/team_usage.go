package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// team returns the deployment's team of the given name; nil if there is none.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Deployment.Teams {
		if c.settings.Deployment.Teams[i].Name == name {
			return &c.settings.Deployment.Teams[i]
		}
	}
	return nil
}

// configuredLimit returns a team's limit in the settings.
func (c *Core) configuredLimit(name string) teamlimit.Limit {
	team := c.team(name)
	if team == nil {
		return teamlimit.UnknownTeamLimit
	}
	return teamlimit.FromSettings(team.CPUsMax, team.GPUsMax)
}

// limit returns what a team's tasks may use in this region now.
func (l *leader) limit(team string) teamlimit.Limit {
	if l.sharesLimit(team) {
		return l.shareLimit(team)
	}
	return l.core.configuredLimit(team)
}

// teamUsage is what the tasks of each team use until they are confirmed to have terminated. It is
// updated with every placement and recounted once per worker lease.
type teamUsage struct {
	teamlimit.Usage
	recountAt time.Duration
}

// add adds a number of a job's tasks to the usage of its team; a negative number subtracts them.
func (u *teamUsage) add(job *cluster.Job, tasks int) {
	u.Add(job.Team, cluster.TaskSize(&job.Job), tasks)
}

// refreshUsage updates the usage of machines and teams, and returns the usage by team.
func (l *leader) refreshUsage() map[string]topology.Resources {
	if !l.teamUsage.IsCounting() || l.core.now >= l.teamUsage.recountAt {
		l.recountUsage()
	}
	for _, machine := range l.MachinesByName {
		if machine.NeedsRefresh {
			machine.Refresh()
		}
	}
	return l.teamUsage.Snapshot()
}

// recountUsage recomputes the usage of all teams from the placements.
func (l *leader) recountUsage() {
	l.teamUsage.recountAt = l.core.now + l.core.workerLease()
	l.teamUsage.Reset()
	for _, machine := range l.MachinesByName {
		machine.NeedsRefresh = true
		for _, placement := range machine.Placements {
			l.teamUsage.add(placement.Job, 1)
		}
	}
}

// anyGuaranteeFor reports whether any team has a guarantee of a resource that a job uses.
func (c *Core) anyGuaranteeFor(job *wire.Job) bool {
	return scheduler.AnyGuaranteeFor(c.settings.Deployment.Teams, job)
}
