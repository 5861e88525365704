package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// team finds a team of the deployment; nil if there is none of that name.
func (c *Core) team(name string) *config.Team {
	for i := range c.cfg.Deployment.Teams {
		if c.cfg.Deployment.Teams[i].Name == name {
			return &c.cfg.Deployment.Teams[i]
		}
	}
	return nil
}

// limitOf is a team's limit by the settings.
func (c *Core) limitOf(name string) teamlimit.Limit {
	t := c.team(name)
	if t == nil {
		return teamlimit.Unknown
	}
	return teamlimit.Of(t.CPUsMax, t.GPUsMax)
}

// limit is what a team's tasks may use now.
func (l *leader) limit(team string) teamlimit.Limit {
	if l.shares(team) {
		return l.shareLimit(team)
	}
	return l.c.limitOf(team)
}

// teamUsage is what the tasks of each team use that are not certainly gone. It
// follows every placement; now and then it is added up anew.
type teamUsage struct {
	teamlimit.Usage
	addUp time.Duration // when it is to be added up anew
}

// count takes n tasks of a job in.
func (u *teamUsage) count(j *job, n int) { u.Count(j.Team, size(&j.Job), n) }

// usage is, by team, what every task uses that is not certainly gone. It notes on each
// machine what is on its way out and which images it fetches.
func (l *leader) usage() map[string]topology.Resources {
	if !l.used.Started() || l.c.now >= l.used.addUp {
		l.addUpUsage()
	}
	for _, m := range l.byName {
		if m.reviewDue {
			m.review()
		}
	}
	return l.used.Snapshot()
}

// addUpUsage adds up what all teams use.
func (l *leader) addUpUsage() {
	l.used.addUp = l.c.now + l.c.lease()
	l.used.Restart()
	for _, m := range l.byName {
		m.reviewDue = true
		for _, p := range m.placed {
			l.used.count(p.job, 1)
		}
	}
}

// review notes what on the machine is on its way out and which images it fetches.
func (m *machine) review() {
	m.reviewDue = false
	m.stopping = topology.Resources{}
	m.reviewFetches()
	for _, p := range m.placed {
		if p.task().stop != nil {
			m.stopping = m.stopping.Add(size(&p.job.Job))
		}
	}
}

// guarantees tells whether any team has a guarantee of what a job takes.
func (c *Core) guarantees(j *wire.Job) bool {
	for _, t := range c.cfg.Deployment.Teams {
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

// teamGuarantees lists what each team is guaranteed, by name.
func (c *Core) teamGuarantees() map[string]teamlimit.Guarantee {
	out := make(map[string]teamlimit.Guarantee, len(c.cfg.Deployment.Teams))
	for i := range c.cfg.Deployment.Teams {
		t := &c.cfg.Deployment.Teams[i]
		if _, twice := out[t.Name]; !twice {
			out[t.Name] = guaranteeOf(t)
		}
	}
	return out
}

// guarantee notes which jobs fit into their team's guarantee along with the
// team's earlier unfinished jobs. A job that waits for others holds no part of it.
func (l *leader) guarantee() {
	claims := teamlimit.NewClaims(l.c.teamGuarantees())
	for _, j := range l.order {
		if j.cancellation.Requested() || j.waits {
			j.within = false
			continue
		}
		n := float64(len(j.tasks) - j.done)
		j.within = claims.Claim(j.Team, topology.Resources{CPUs: j.CPUs * n, GPUs: j.GPUs * n})
	}
}
