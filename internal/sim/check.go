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
	waiting map[string]*waiting // by job, since the troubles are over
	silent  map[string]bool     // jobs reported as unanswered
}

func newChecker(w *World) *checker {
	c := &checker{w: w, waiting: map[string]*waiting{}, silent: map[string]bool{}}
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
	if !allowed(j.Types, m.typ) || j.Zone != "" && j.Zone != m.zone || m.spot && !j.Spot {
		c.broken("wrong_place", "%s on %s (%s, %s, spot %v)", t.name, m.name, m.typ, m.zone, m.spot)
	}
	for _, team := range w.cfg.Deployment.Teams {
		if team.Name == j.Team && (team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 || team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6) {
			c.broken("quota", "%s uses %v GPUs and %v CPUs", team.Name, gpus, cpus)
		}
	}
	if u := w.users.jobs[j.ID]; u != nil && u.cancelled != 0 {
		c.broken("started_cancelled", "%s on %s, %.3f s after its user was told, ordered %.3f s after", t.name, m.name,
			(w.now - u.cancelled).Seconds(), (t.ordered - u.cancelled).Seconds())
	}
	if id := c.awaited(j); id != "" {
		c.broken("too_early", "%s on %s, %s isn't done", t.name, m.name, id)
	}
	c.cancelled(m, t)
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

// placed is what the machines hold of jobs and teams.
type placed struct {
	names      []string
	gpus, cpus map[string]float64 // by team
	on         map[*jobTruth]map[int]bool
	zones      map[*jobTruth]map[string]int
}

func (c *checker) placed() *placed {
	p := &placed{names: c.w.cloud.names(), gpus: map[string]float64{}, cpus: map[string]float64{},
		on: map[*jobTruth]map[int]bool{}, zones: map[*jobTruth]map[string]int{}}
	for _, name := range p.names {
		m := c.w.cloud.machines[name]
		for _, x := range m.tasks {
			if x.state == wire.TaskExited {
				continue
			}
			if p.on[x.job] == nil {
				p.on[x.job], p.zones[x.job] = map[int]bool{}, map[string]int{}
			}
			p.gpus[x.job.Team] += x.job.GPUs
			p.cpus[x.job.Team] += x.job.CPUs
			p.on[x.job][x.index] = true
			p.zones[x.job][m.zone]++
		}
	}
	return p
}

// unanswered judges that an accepted job is known once the troubles are over.
func (c *checker) unanswered(u *userJob) {
	if c.w.now-max(u.answered, c.w.calm) > 75*time.Second && !c.silent[u.id] {
		c.silent[u.id] = true
		c.broken("unanswered", "%s: no answer since %.3f s", u.id, u.answered.Seconds())
	}
}

// waiting is a job that waits although there is room.
type waiting struct {
	missing map[int]bool             // tasks neither done nor on a machine
	since   map[string]time.Duration // by machine with room, or "" for a whole gang
	from    time.Duration            // since when there is always room on one
	told    bool
}

// leftWaiting judges that no job waits for 90 s while there is room for it: for
// one more task on some machine, or for all that a gang lacks.
// A job of which a task has begun meanwhile isn't left, nor is one that awaits
// others or is to be cancelled with one of them.
func (c *checker) leftWaiting(u *userJob, p *placed) {
	w, t := c.w, c.w.jobs[u.id]
	if w.users.calledOff(u) || t.fail || c.awaited(t) != "" {
		delete(c.waiting, u.id)
		return
	}
	missing := map[int]bool{}
	for i := range t.Tasks {
		if !t.done[i] && !p.on[t][i] {
			missing[i] = true
		}
	}
	if len(missing) == 0 {
		delete(c.waiting, u.id)
		return
	}
	gpus, cpus, zones := p.gpus[t.Team], p.cpus[t.Team], p.zones[t]
	wt := c.waiting[u.id]
	if wt == nil {
		wt = &waiting{since: map[string]time.Duration{}}
		c.waiting[u.id] = wt
	}
	for i := range wt.missing {
		if !missing[i] {
			clear(wt.since)
			wt.from = 0
		}
	}
	wt.missing = missing
	need := 1
	if t.Shape == wire.ShapeGang {
		need = len(missing)
	}
	k := float64(need)
	for _, team := range w.cfg.Deployment.Teams {
		if team.Name == t.Team && (team.GPUsMax > 0 && gpus+k*t.GPUs > team.GPUsMax+1e-6 || team.CPUsMax > 0 && cpus+k*t.CPUs > team.CPUsMax+1e-6) {
			need = 0
		}
	}
	room := map[string]bool{}
	if need > 0 {
		inZone := map[string]int{}
		for _, name := range p.names {
			m := w.cloud.machines[name]
			n := c.room(m, t)
			for z, on := range zones {
				if t.OneZone && on > 0 && z != m.zone {
					n = 0
				}
			}
			if t.Spread {
				n = min(n, (t.Tasks+1)/2-zones[m.zone])
			}
			if n > 0 {
				inZone[m.zone] += n
				room[name] = t.Shape != wire.ShapeGang
			}
		}
		if t.Shape == wire.ShapeGang {
			all, most := 0, 0
			for z, n := range inZone {
				if t.Spread {
					n = min(n, (t.Tasks+1)/2-zones[z])
				}
				all, most = all+n, max(most, n)
			}
			if t.OneZone {
				all = most
			}
			clear(room)
			room[""] = all >= need
		}
	}
	for name := range wt.since {
		if !room[name] {
			delete(wt.since, name)
		}
	}
	for name, ok := range room {
		if ok && wt.since[name] == 0 {
			wt.since[name] = w.now
		}
	}
	// Room that others take again within moments doesn't count.
	steady := false
	for name, since := range wt.since {
		steady = steady || name == "" || w.now-since >= 6*time.Second
	}
	if !steady {
		wt.from = 0
	} else if wt.from == 0 {
		wt.from = w.now
	}
	if steady && w.now-wt.from > 90*time.Second && !wt.told {
		wt.told = true
		c.broken("left_waiting", "%s lacks %d tasks, room since %.0f s: %v", u.id, len(missing), wt.from.Seconds(), wt.since)
	}
}

// room is how many tasks of the job the machine has room for.
func (c *checker) room(m *machine, t *jobTruth) int {
	w := c.w
	if m.gone || m.upAt > w.now || m.faulty || m.warning != 0 || w.now < m.hangUntil || w.now < m.muteUntil ||
		w.now-m.answered > seconds(2*w.cfg.Deployment.Workers.ReportS) ||
		!allowed(t.Types, m.typ) || t.Zone != "" && t.Zone != m.zone || m.spot && !t.Spot {
		return 0
	}
	typ := w.cloud.typ(m.typ)
	cpus, gpus, mem := typ.CPUs, typ.GPUs, typ.MemGB
	for _, o := range m.tasks {
		if o.state != wire.TaskExited {
			cpus, gpus, mem = cpus-o.job.CPUs, gpus-o.job.GPUs, mem-o.job.MemGB
		}
	}
	n := t.Tasks
	for _, r := range [][2]float64{{cpus, t.CPUs}, {gpus, t.GPUs}, {mem, t.MemGB}} {
		if r[1] > 0 {
			n = min(n, int((r[0]+1e-6)/r[1]))
		}
	}
	return n
}

// allowed tells whether a list names the value, or names none.
func allowed(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }

func (c *checker) toldDone(j *userJob) {
	t := c.w.jobs[j.id]
	if t.Shape == wire.ShapeService || len(t.done) < t.Tasks {
		c.broken("not_done", "%s: %d of %d tasks", j.id, len(t.done), t.Tasks)
	}
}
