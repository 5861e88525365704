package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// candidate is a job with tasks to place, and what orders it.
type candidate struct {
	j          *job
	guaranteed bool
	slack      float64
	work       float64
	pending    []int
}

// pendingTasks lists the tasks that may be placed now. A gang is placed as a
// whole, once nothing of its last attempt is left.
func (j *job) pendingTasks() []int {
	if !j.loaded || j.cancelled || j.final || j.ended || j.stale || j.done == len(j.tasks) {
		return nil
	}
	if j.Shape == wire.ShapeGang && j.placed > 0 {
		return nil
	}
	var out []int
	for i := range j.tasks {
		if t := &j.tasks[i]; t.m == nil && !t.done {
			out = append(out, i)
		}
	}
	return out
}

// candidates lists the jobs with work to place: within a guarantee first, then
// by priority, deadline slack and submission.
func (l *leader) candidates() []*candidate {
	in := l.guaranteed()
	l.within = in
	var out []*candidate
	for _, j := range l.order {
		p := j.pendingTasks()
		if len(p) == 0 {
			continue
		}
		out = append(out, &candidate{j: j, guaranteed: in[j], slack: l.slack(j), work: l.work(j, len(p)), pending: p})
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.guaranteed != y.guaranteed {
			return x.guaranteed
		}
		if p, q := priorityRank[x.j.Priority], priorityRank[y.j.Priority]; p != q {
			return p > q
		}
		if x.slack != y.slack {
			return x.slack < y.slack
		}
		if x.work != y.work {
			return x.work < y.work
		}
		return x.j.order < y.j.order
	})
	return out
}

// noDeadline is the slack of a job without a deadline: behind all others.
const noDeadline = 1e9

// slack is how long a job can still wait, in seconds.
func (l *leader) slack(j *job) float64 {
	if j.DeadlineS == nil {
		return noDeadline
	}
	return *j.DeadlineS - float64(l.c.wall-j.at)/1000 - l.runEstimate(j)
}

// mustBegin is half the time within which the protocol has the largest jobs
// begin.
const mustBegin = 120 * time.Second

// work is what a job of a class that is to be finished within a time still has
// to run, in seconds of a task. When not all can be done in time, the least
// work first gets the most jobs done; one that has waited long without a
// beginning goes ahead, so that large jobs begin too.
func (l *leader) work(j *job, pending int) float64 {
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind == "finished" && o.Class == j.Class {
			if j.done+j.placed == 0 && time.Duration(l.c.wall-j.at)*time.Millisecond > mustBegin {
				return 0
			}
			return float64(pending) * l.runEstimate(j)
		}
	}
	return 0
}

// zoneRoom returns how many more tasks of a job each zone may take, counting
// every task that is not certainly gone; nil if nothing bounds it.
func (l *leader) zoneRoom(j *job) func(string) int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	in := map[string]int{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.m != nil {
			in[t.zone]++
		}
	}
	cap := (len(j.tasks) + 1) / 2
	return func(zone string) int {
		if j.OneZone && len(in) > 0 && in[zone] == 0 {
			return 0
		}
		if j.Spread {
			return max(0, cap-in[zone])
		}
		return len(j.tasks)
	}
}

// eligible tells whether a job's tasks may be on a machine of this kind.
func eligible(j *wire.Job, typ, zone string, spot bool) bool {
	return allowed(j.Types, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.Spot)
}

// place starts what fits.
func (l *leader) place() {
	var leaves []*topology.Machine
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || !l.usable(m) {
			continue
		}
		leaves = append(leaves, &topology.Machine{Name: m.name, Zone: m.zone, Price: l.price(m.typ, m.spot), Free: total.Sub(m.used)})
	}
	tree := topology.New(leaves)
	usage := l.usage()
	cands := l.candidates()
	for _, c := range cands {
		j := c.j
		if l.c.now < j.retryAt {
			continue
		}
		team := l.c.team(j.Team)
		if j.Shape == wire.ShapeGang {
			if !underLimit(team, usage[j.Team], size(&j.Job), len(c.pending)) {
				continue
			}
			if l.placeTasks(tree, c, c.pending) {
				usage[j.Team] = usage[j.Team].Add(times(size(&j.Job), len(c.pending)))
				c.pending = nil
			}
		} else {
			for len(c.pending) > 0 && underLimit(team, usage[j.Team], size(&j.Job), 1) {
				if !l.placeTasks(tree, c, c.pending[:1]) {
					break
				}
				usage[j.Team] = usage[j.Team].Add(size(&j.Job))
				c.pending = c.pending[1:]
			}
		}
		if len(c.pending) > 0 {
			l.preempt(c, usage)
		}
	}
	l.plan(cands, usage)
}

func times(r topology.Resources, n int) topology.Resources {
	f := float64(n)
	return topology.Resources{CPUs: r.CPUs * f, GPUs: r.GPUs * f, MemGB: r.MemGB * f}
}

// placeTasks finds machines for tasks of a job that start together and binds
// them there.
func (l *leader) placeTasks(tree *topology.Tree, c *candidate, tasks []int) bool {
	j := c.j
	req := topology.Request{
		Task: size(&j.Job), Count: len(tasks), Required: topology.LevelRoot,
		ZoneRoom: l.zoneRoom(j),
		Allowed: func(t *topology.Machine) bool {
			m := l.machines[t.Name]
			return eligible(&j.Job, m.typ, m.zone, m.spot) && !l.avoid(j, m) &&
				(m.reserved == nil || m.reserved == j || l.c.now >= m.reservedUntil)
		},
		Rank: func(t *topology.Machine) int {
			if m := j.moveTo[tasks[0]]; m != nil && m.name == t.Name {
				return -1
			}
			rank := 0
			if m := l.machines[t.Name]; len(m.failed) > 0 {
				rank = 2
			}
			if !l.machines[t.Name].hasImage(j.Image) {
				rank++
			}
			return rank
		},
	}
	if j.OneZone {
		req.Required = topology.LevelZone
	}
	where := tree.Place(req)
	if where == nil {
		return false
	}
	attempt := j.next
	for k, i := range tasks {
		m := l.machines[where[k].Name]
		t := &j.tasks[i]
		if j.Shape != wire.ShapeGang {
			attempt = j.next
			j.next++
		}
		t.attempt, t.zone, t.session, t.ours, t.placedAt = attempt, m.zone, m.session, true, l.c.now
		delete(j.moveTo, i)
		l.bind(j, i, m)
		l.touch(j, i)
		if m.reserved == j {
			m.reserved = nil
		}
		l.c.log.Debug("place", "task", taskName(j.ID, i), "attempt", attempt, "machine", m.name, "image", m.hasImage(j.Image))
	}
	if j.Shape == wire.ShapeGang {
		j.next++
	}
	return true
}

// avoid keeps a job away from machines on which it failed, until it has
// failed on so many that the job is the likelier cause.
func (l *leader) avoid(j *job, m *machine) bool {
	return len(j.failOn) < 3 && j.failOn[m.name]
}

// preempt makes room for one more task of a job that found none: it stops
// work of lower priority, or work that another team runs beyond its
// guarantee when the job is within its own.
func (l *leader) preempt(c *candidate, usage map[string]topology.Resources) {
	j := c.j
	n := 1
	if j.Shape == wire.ShapeGang {
		n = len(c.pending)
		if n > 1 {
			// Room for a wide gang would need many stops at once before any
			// of it is of use; it waits for machines instead.
			return
		}
	}
	reserved := 0
	for _, m := range l.byName {
		if m.reserved == j && l.c.now < m.reservedUntil {
			reserved++
		}
	}
	room := l.zoneRoom(j)
	for k := reserved; k < len(c.pending) && k < 8; k++ {
		if !underLimit(l.c.team(j.Team), usage[j.Team], size(&j.Job), n+k) {
			return
		}
		var best *machine
		var bestVictims []ref
		bestLoss := 0.0
		for _, m := range l.byName {
			total, ok := l.total(m)
			if !ok || !l.usable(m) || !eligible(&j.Job, m.typ, m.zone, m.spot) || l.avoid(j, m) || m.reserved != nil && l.c.now < m.reservedUntil {
				continue
			}
			if room != nil && room(m.zone) < 1 {
				continue
			}
			victims, loss, ok := l.victims(c, m, total.Sub(m.used))
			if ok && (best == nil || loss < bestLoss) {
				best, bestVictims, bestLoss = m, victims, loss
			}
		}
		if best == nil {
			return
		}
		wait := 0.0
		for _, v := range bestVictims {
			grace := v.j.SaveS
			if v.j.CheckpointS == 0 {
				grace = 0
			}
			wait = max(wait, grace)
			l.c.log.Info("preempt", "task", taskName(v.j.ID, v.i), "machine", best.name, "for", j.ID)
			l.stopTask(v.j, v.i, grace, "preempted")
		}
		best.reserved = j
		best.reservedUntil = l.c.now + time.Duration(wait*float64(time.Second)) + 3*l.c.report()
	}
}

// victims picks the tasks whose stop makes room on a machine at the least
// loss, in seconds of a task's work. Gangs of several tasks are left alone.
func (l *leader) victims(c *candidate, m *machine, free topology.Resources) ([]ref, float64, bool) {
	type victim struct {
		r    ref
		loss float64
	}
	var vs []victim
	need := size(&c.j.Job)
	for _, p := range m.placed {
		t := p.task()
		if t.stop != nil {
			free = free.Add(size(&p.j.Job)) // already on its way out
			continue
		}
		if !l.mayPreempt(c, p.j) {
			continue
		}
		loss := p.j.SaveS
		if p.j.CheckpointS == 0 {
			loss = 0
			if t.upAt != 0 {
				loss = (l.c.now - t.upAt).Seconds()
			}
		}
		vs = append(vs, victim{p, loss})
	}
	sort.SliceStable(vs, func(a, b int) bool { return vs[a].loss < vs[b].loss })
	var out []ref
	sum := 0.0
	for _, v := range vs {
		if free.Holds(need) {
			break
		}
		free = free.Add(size(&v.r.j.Job))
		out = append(out, v.r)
		sum += v.loss + 1
	}
	return out, sum, free.Holds(need)
}

// preemptible tells whether single tasks of a job may be stopped for others;
// a gang of several tasks would be lost as a whole.
func (j *job) preemptible() bool { return j.Shape != wire.ShapeGang || len(j.tasks) == 1 }

// mayPreempt tells whether a task may be stopped for a job: for a higher
// priority, or, where the job is within its team's guarantee, because another
// team runs it beyond its own. In the second case only work of the same
// priority that keeps its progress is stopped; the protocol would allow any.
func (l *leader) mayPreempt(c *candidate, v *job) bool {
	if !v.preemptible() {
		return false
	}
	if v, own := priorityRank[v.Priority], priorityRank[c.j.Priority]; v != own {
		return v < own
	}
	return c.guaranteed && v.Team != c.j.Team && !l.within[v] && v.CheckpointS > 0
}
