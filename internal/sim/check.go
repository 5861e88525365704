package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// checker judges the rules on what really happens in the world.
type checker struct {
	w       *World
	faults  []string
	waiting map[string]*waitingJob // since the troubles are over
	silent  map[string]bool        // jobs reported as unanswered
}

func newChecker(w *World) *checker {
	c := &checker{w: w, waiting: map[string]*waitingJob{}, silent: map[string]bool{}}
	w.after(time.Second, c.sweep)
	return c
}

func (c *checker) broken(rule, format string, a ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%s at %.3f s: %s", rule, c.w.now.Seconds(), fmt.Sprintf(format, a...)))
}

// start judges a task that has just come onto its machine.
func (c *checker) start(m *machine, t *task) {
	inZone := c.besideOthers(m, t)
	c.place(m, t, inZone)
	c.quota(t.job.Team)
	if u := c.w.users.jobs[t.job.ID]; u != nil && u.cancelled != 0 {
		c.broken("started_cancelled", "%s on %s, %.3f s after its user was told, ordered %.3f s after", t.name, m.name,
			(c.w.now - u.cancelled).Seconds(), (t.ordered - u.cancelled).Seconds())
	}
	if id := c.awaited(t.job); id != "" {
		c.broken("too_early", "%s on %s, %s isn't done", t.name, m.name, id)
	}
	c.cancelled(m, t)
}

// besideOthers judges a task beside the others of its job, and counts those in its
// zone, itself included.
func (c *checker) besideOthers(m *machine, t *task) (inZone int) {
	on := c.w.on[t.job]
	for _, p := range on.byIndex[t.index] {
		if p.task != t {
			c.broken("ran_twice", "%s on %s and %s", t.name, m.name, p.machine.name)
		}
	}
	if t.job.OneZone && on.byZone[m.zone] < len(on.machines) {
		c.broken("wrong_place", "%s in zone %s and %d of its tasks in others", t.job.ID, m.zone, len(on.machines)-on.byZone[m.zone])
	}
	return on.byZone[m.zone]
}

// place judges where a task is, beside as many tasks of its job in the zone.
func (c *checker) place(m *machine, t *task, inZone int) {
	j := t.job
	if j.Spread && inZone > spreadLimit(j) {
		c.broken("wrong_place", "%s: %d of %d tasks in %s", j.ID, inZone, j.Tasks, m.zone)
	}
	if !j.eligible(m) {
		c.broken("wrong_place", "%s on %s (%s, %s, spot %v)", t.name, m.name, m.typ, m.zone, m.spot)
	}
}

// spreadLimit is how many tasks of a spread job may be in one zone.
func spreadLimit(j *jobTruth) int { return (j.Tasks + 1) / 2 }

// eligible tells whether a job's tasks may be on a machine of this kind.
func (j *jobTruth) eligible(m *machine) bool {
	return allowed(j.Types, m.typ) && (j.Zone == "" || j.Zone == m.zone) && (!m.spot || j.Spot)
}

// quota judges what a team's tasks use.
func (c *checker) quota(team string) {
	gpus, cpus := c.w.teamUse(team)
	if c.beyondLimit(team, gpus, cpus) {
		c.broken("quota", "%s uses %v GPUs and %v CPUs", team, gpus, cpus)
	}
	if c.w.onUse != nil {
		c.w.onUse(team)
	}
}

// amountTolerance makes up for the rounding of sums.
const amountTolerance = 1e-6

// beyondLimit tells whether amounts are more than a team may use.
func (c *checker) beyondLimit(name string, gpus, cpus float64) bool {
	for _, team := range c.w.cfg.Deployment.Teams {
		if team.Name == name {
			return team.GPUsMax > 0 && gpus > team.GPUsMax+amountTolerance ||
				team.CPUsMax > 0 && cpus > team.CPUsMax+amountTolerance
		}
	}
	return false
}

// awaited names a job that a job awaits and that isn't done.
func (c *checker) awaited(t *jobTruth) string {
	for _, id := range t.Awaits {
		if b := c.w.jobs[id]; b == nil || len(b.done) < b.Tasks {
			return id
		}
	}
	return ""
}

// cancelledBefore names a job that a job needs and whose user was told more than
// cancel_s ago that it is cancelled. For a job submitted after that, the time
// counts from its acceptance.
func (c *checker) cancelledBefore(t *jobTruth) string {
	u := c.w.users.jobs[t.ID]
	if u == nil || !u.accepted {
		return ""
	}
	for _, b := range c.w.users.before(t) {
		if b.cancelled != 0 && c.w.now-max(b.cancelled, u.known) > seconds(c.w.cfg.Deployment.Workers.CancelS) {
			return b.id
		}
	}
	return ""
}

// orphaned judges a job that is called neither done nor cancelled.
func (c *checker) orphaned(u *userJob, status wire.JobState) {
	if id := c.cancelledBefore(c.w.jobs[u.id]); id != "" && u.final == "" {
		c.broken("orphaned", "%s is %s, %.3f s after the user of %s was told that it is cancelled", u.id, status,
			(c.w.now - c.w.users.jobs[id].cancelled).Seconds(), id)
	}
}

func (c *checker) cancelled(m *machine, t *task) {
	if id := c.cancelledBefore(t.job); id != "" {
		c.broken("ran_cancelled", "%s on %s, which needs %s", t.name, m.name, id)
	}
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
	if c.w.now <= c.w.calm {
		return
	}
	var p *placed
	if int(c.w.now/time.Second)%3 == 0 {
		p = c.placed()
	}
	for _, id := range c.w.users.names() {
		if u := c.w.users.jobs[id]; u.accepted && u.final == "" {
			c.unanswered(u)
			if p != nil {
				c.leftWaiting(u, p)
			}
		}
	}
}

// unanswered judges that an accepted job is known once the troubles are over.
func (c *checker) unanswered(u *userJob) {
	if c.w.now-max(u.answered, c.w.calm) > 75*time.Second && !c.silent[u.id] {
		c.silent[u.id] = true
		c.broken("unanswered", "%s: no answer since %.3f s", u.id, u.answered.Seconds())
	}
}

// allowed tells whether a list names the value, or names none.
func allowed(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }

func (c *checker) toldDone(j *userJob) {
	t := c.w.jobs[j.id]
	if t.Shape == wire.ShapeService || len(t.done) < t.Tasks {
		c.broken("not_done", "%s: %d of %d tasks", j.id, len(t.done), t.Tasks)
	}
}

// maxBody is the most that the body of a request may have, in bytes.
const maxBody = 64 << 10

// reportSize judges that a machine holds no more tasks than its report can name.
func (c *checker) reportSize(m *machine, size int) {
	if size > maxBody {
		c.broken("limits", "%s has a report of %d bytes", m.name, size)
	}
}
