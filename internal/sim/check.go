package sim

import (
	"fmt"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// checker judges the rules on what really happens in the world.
type checker struct {
	w      *World
	faults []string
}

func newChecker(w *World) *checker {
	c := &checker{w: w}
	w.after(time.Second, c.sweep)
	return c
}

func (c *checker) broken(rule, format string, a ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%s at %.3f s: %s", rule, c.w.now.Seconds(), fmt.Sprintf(format, a...)))
}

// start judges a task that has just come onto its machine.
func (c *checker) start(m *machine, t *task) {
	w, j := c.w, t.job
	inZone, gpus, cpus := 0, 0.0, 0.0
	for _, name := range w.cloud.names() {
		o := w.cloud.machines[name]
		for _, x := range o.sorted() {
			if !x.on {
				continue
			}
			if x.job.Team == j.Team {
				gpus += x.job.GPUs
				cpus += x.job.CPUs
			}
			if x.job != j {
				continue
			}
			if x.index == t.index && x != t {
				c.broken("ran_twice", "%s on %s and %s", t.name, m.name, o.name)
			}
			if o.zone == m.zone {
				inZone++
			} else if j.OneZone {
				c.broken("wrong_place", "%s in zones %s and %s", j.ID, m.zone, o.zone)
			}
		}
	}
	if j.Spread && inZone > (j.Tasks+1)/2 {
		c.broken("wrong_place", "%s: %d of %d tasks in %s", j.ID, inZone, j.Tasks, m.zone)
	}
	in := func(list []string, v string) bool {
		for _, x := range list {
			if x == v {
				return true
			}
		}
		return len(list) == 0
	}
	if !in(j.Types, m.typ) || j.Zone != "" && j.Zone != m.zone || m.spot && !j.Spot {
		c.broken("wrong_place", "%s on %s (%s, %s, spot %v)", t.name, m.name, m.typ, m.zone, m.spot)
	}
	for _, team := range w.cfg.Deployment.Teams {
		if team.Name == j.Team && (team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 || team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6) {
			c.broken("quota", "%s uses %v GPUs and %v CPUs", team.Name, gpus, cpus)
		}
	}
	c.cancelled(m, t)
}

func (c *checker) cancelled(m *machine, t *task) {
	u := c.w.users.jobs[t.job.ID]
	if u != nil && u.cancelled != 0 && c.w.now-u.cancelled > seconds(c.w.cfg.Deployment.Workers.CancelS) {
		c.broken("ran_cancelled", "%s on %s", t.name, m.name)
	}
}

func (c *checker) sweep() {
	c.w.after(time.Second, c.sweep)
	for _, name := range c.w.cloud.names() {
		m := c.w.cloud.machines[name]
		for _, t := range m.sorted() {
			if t.on {
				c.cancelled(m, t)
			}
		}
	}
}

func (c *checker) toldDone(j *userJob) {
	t := c.w.jobs[j.id]
	if t.Shape == wire.ShapeService || len(t.done) < t.Tasks {
		c.broken("not_done", "%s: %d of %d tasks", j.id, len(t.done), t.Tasks)
	}
}
