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

// team finds a team of the deployment; nil if there is none of that name.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Deployment.Teams {
		if c.settings.Deployment.Teams[i].Name == name {
			return &c.settings.Deployment.Teams[i]
		}
	}
	return nil
}

// configuredLimit is a team's limit by the settings.
func (c *Core) configuredLimit(name string) teamlimit.Limit {
	team := c.team(name)
	if team == nil {
		return teamlimit.UnknownTeamLimit
	}
	return teamlimit.FromSettings(team.CPUsMax, team.GPUsMax)
}

// limit is what a team's tasks may use in this region now.
func (l *leader) limit(team string) teamlimit.Limit {
	if l.sharesLimit(team) {
		return l.shareLimit(team)
	}
	return l.core.configuredLimit(team)
}

// teamUsage is what the tasks of each team use that have not certainly terminated. It follows
// every placement and is recounted from time to time.
type teamUsage struct {
	teamlimit.Usage
	recountAt time.Duration
}

// add adds a number of a job's tasks; a negative number subtracts them.
func (u *teamUsage) add(job *cluster.Job, tasks int) {
	u.Add(job.Team, cluster.TaskSize(&job.Job), tasks)
}

// refreshUsage brings what machines and teams use up to date, and returns the latter by team.
func (l *leader) refreshUsage() map[string]topology.Resources {
	if !l.teamUsage.IsCounting() || l.core.now >= l.teamUsage.recountAt {
		l.recountUsage()
	}
	for _, m := range l.MachinesByName {
		if m.NeedsRefresh {
			m.Refresh()
		}
	}
	return l.teamUsage.Snapshot()
}

// recountUsage adds up what all teams use.
func (l *leader) recountUsage() {
	l.teamUsage.recountAt = l.core.now + l.core.workerLease()
	l.teamUsage.Reset()
	for _, m := range l.MachinesByName {
		m.NeedsRefresh = true
		for _, ref := range m.Placements {
			l.teamUsage.add(ref.Job, 1)
		}
	}
}

// anyGuaranteeFor reports whether any team has a guarantee of a resource that a job uses.
func (c *Core) anyGuaranteeFor(job *wire.Job) bool {
	return scheduler.AnyGuaranteeFor(c.settings.Deployment.Teams, job)
}
