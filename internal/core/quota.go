package core

import (
	"maps"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// quotaTolerance makes up for the rounding of sums.
const quotaTolerance = 1e-6

// team finds a team of the deployment; nil if there is none of that name.
func (c *Core) team(name string) *config.Team {
	for i := range c.cfg.Deployment.Teams {
		if c.cfg.Deployment.Teams[i].Name == name {
			return &c.cfg.Deployment.Teams[i]
		}
	}
	return nil
}

// capacity is what a machine of a type offers.
func capacity(t *wire.MachineType) topology.Resources {
	return topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// size is what a task of a job uses.
func size(j *wire.Job) topology.Resources {
	return topology.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// allowed tells whether a list names something; an empty list names all.
func allowed(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// teamUsage is what the tasks of each team use that are not certainly gone. It
// follows every placement; now and then it is added up anew, so that the rounding of
// sums does not gather.
type teamUsage struct {
	byTeam map[string]topology.Resources
	addUp  time.Duration // when it is to be added up anew
}

// count takes n tasks of a job in.
func (u *teamUsage) count(j *job, n int) {
	if u.byTeam != nil {
		u.byTeam[j.Team] = u.byTeam[j.Team].Add(times(size(&j.Job), n))
	}
}

// usage is, by team, what every task uses that is not certainly gone. It notes on each
// machine what is on its way out and which images it fetches.
func (l *leader) usage() map[string]topology.Resources {
	if l.used.byTeam == nil || l.c.now >= l.used.addUp {
		l.addUpUsage()
	}
	for _, m := range l.byName {
		if m.reviewDue {
			m.review()
		}
	}
	return maps.Clone(l.used.byTeam)
}

// addUpUsage adds up what all teams use.
func (l *leader) addUpUsage() {
	l.used.addUp = l.c.now + l.c.lease()
	l.used.byTeam = map[string]topology.Resources{}
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

// underLimit tells whether a team may use n tasks more.
func underLimit(t *config.Team, used, task topology.Resources, n int) bool {
	f := float64(n)
	if t == nil {
		return false
	}
	return (t.CPUsMax == 0 || used.CPUs+task.CPUs*f <= t.CPUsMax+quotaTolerance) &&
		(t.GPUsMax == 0 || used.GPUs+task.GPUs*f <= t.GPUsMax+quotaTolerance)
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

// guarantee notes which jobs fit into their team's guarantee along with the
// team's earlier unfinished jobs. A job that waits for others holds no part of
// it. A resource for which no team has a guarantee is not guaranteed to anybody and
// does not count; a team without any guarantee has none of the work that takes
// nothing else either. Where only GPUs are guaranteed, such a team's work without GPUs
// passed for guaranteed and went ahead of the other teams'.
func (l *leader) guarantee() {
	cpus, gpus := false, false
	for _, t := range l.c.cfg.Deployment.Teams {
		cpus = cpus || t.CPUs > 0
		gpus = gpus || t.GPUs > 0
	}
	sum := map[string]topology.Resources{}
	for _, j := range l.order {
		j.within = false
		if j.cancelled || j.waits {
			continue
		}
		t := l.c.team(j.Team)
		if t == nil || noGuarantee(t) {
			continue
		}
		n := float64(len(j.tasks) - j.done)
		s := sum[j.Team].Add(topology.Resources{CPUs: j.CPUs * n, GPUs: j.GPUs * n})
		sum[j.Team] = s
		j.within = (!cpus || s.CPUs <= t.CPUs+quotaTolerance) && (!gpus || s.GPUs <= t.GPUs+quotaTolerance)
	}
}
