package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	t := c.team(name)
	if t == nil {
		return teamlimit.UnknownTeam
	}
	return teamlimit.FromSettings(t.CPUsMax, t.GPUsMax)
}

// limit is what a team's tasks may use now.
func (l *leader) limit(team string) teamlimit.Limit {
	if l.sharesLimit(team) {
		return l.shareLimit(team)
	}
	return l.core.configuredLimit(team)
}

// teamUsage is what the tasks of each team use that are not certainly gone. It
// follows every placement; now and then it is added up anew.
type teamUsage struct {
	teamlimit.Usage
	recountAt time.Duration // when it is to be added up anew
}

// add takes n tasks of a job in.
func (u *teamUsage) add(j *cluster.Job, n int) { u.Add(j.Team, cluster.TaskSize(&j.Job), n) }

// refreshUsage is, by team, what every task uses that is not certainly gone. It notes on each
// machine what is on its way out and which images it fetches.
func (l *leader) refreshUsage() map[string]topology.Resources {
	if !l.teamUsage.Started() || l.core.now >= l.teamUsage.recountAt {
		l.recountUsage()
	}
	for _, m := range l.MachinesByName {
		if m.EvaluationStale {
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
		m.EvaluationStale = true
		for _, p := range m.Placements {
			l.teamUsage.add(p.Job, 1)
		}
	}
}

// anyGuaranteeFor tells whether any team has a guarantee of what a job takes.
func (c *Core) anyGuaranteeFor(j *wire.Job) bool {
	for _, t := range c.settings.Deployment.Teams {
		if t.CPUs > 0 && j.CPUs > 0 || t.GPUs > 0 && j.GPUs > 0 {
			return true
		}
	}
	return false
}

// guaranteeOf is what a team is guaranteed.
func guaranteeOf(t *config.Team) teamlimit.Guarantee {
	return teamlimit.Guarantee{CPUs: t.CPUs, GPUs: t.GPUs}
}

// guarantees lists what each team is guaranteed, by name.
func (c *Core) guarantees() map[string]teamlimit.Guarantee {
	out := make(map[string]teamlimit.Guarantee, len(c.settings.Deployment.Teams))
	for i := range c.settings.Deployment.Teams {
		t := &c.settings.Deployment.Teams[i]
		if _, twice := out[t.Name]; !twice {
			out[t.Name] = guaranteeOf(t)
		}
	}
	return out
}

// markWithinQuota notes which jobs fit into their team's guarantee along with the
// team's earlier unfinished jobs. A job that waits for others holds no part of it.
func (l *leader) markWithinQuota() {
	claims := teamlimit.NewClaims(l.core.guarantees())
	for _, j := range l.JobsBySubmission {
		if j.Cancellation.Requested() || j.Waiting {
			j.WithinQuota = false
			continue
		}
		n := float64(len(j.TaskStates) - j.TasksDone)
		j.WithinQuota = claims.Claim(j.Team, topology.Resources{CPUs: j.CPUs * n, GPUs: j.GPUs * n})
	}
}
