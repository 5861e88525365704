package core

import (
	"math"
	"sort"
	"strings"
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
	held       int  // tasks for which room is being made
	cornered   bool // no machine can be rented for it just now
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
	full := map[shape]bool{} // found not to fit in this pass, in which room only shrinks
	firm := map[shape]bool{} // found nobody to stop for
	for _, c := range cands {
		j := c.j
		if l.c.now < j.retryAt {
			continue
		}
		key := shapeOf(c)
		plain := len(j.failOn) == 0 && !j.Spread
		if wait := l.c.slowFetch(j.Class); !math.IsInf(wait, 1) {
			// First where it can start in time, making room there if need be.
			l.fill(tree, c, usage, true)
			if len(c.pending) > 0 {
				l.preempt(c, usage, true)
			}
		}
		if len(c.pending) > c.held && (!plain || !full[key]) {
			l.fill(tree, c, usage, false)
			full[key] = plain && len(c.pending) > c.held && l.heldFor(j) == 0
		}
		if len(c.pending) > c.held && (!plain || !firm[key]) {
			l.preempt(c, usage, false)
			firm[key] = plain && c.held == 0
		}
	}
	l.plan(cands, usage)
}

// fill places what of a job fits, a gang as a whole. quick leaves out machines
// on which the image would come too late.
func (l *leader) fill(tree *topology.Tree, c *candidate, usage map[string]topology.Resources, quick bool) {
	j, n := c.j, 1
	if j.Shape == wire.ShapeGang {
		n = len(c.pending)
	}
	for len(c.pending) >= n+c.held && len(c.pending) > 0 && underLimit(l.c.team(j.Team), usage[j.Team], size(&j.Job), n) {
		if !l.placeTasks(tree, c, c.pending[:n], quick) {
			return
		}
		usage[j.Team] = usage[j.Team].Add(times(size(&j.Job), n))
		c.pending = c.pending[n:]
	}
}

// shape is what decides whether a job's tasks find room, apart from spread and
// failures: many jobs of a class share it.
type shape struct {
	size       topology.Resources
	types      string
	zone       string
	spot       bool
	oneZone    bool
	gang       int // tasks that start together
	rank       int
	guaranteed bool
	team       string
}

func shapeOf(c *candidate) shape {
	j := c.j
	s := shape{size: size(&j.Job), types: strings.Join(j.Types, ","), zone: j.Zone, spot: j.Spot,
		rank: priorityRank[j.Priority], guaranteed: c.guaranteed, team: j.Team}
	if j.Shape == wire.ShapeGang {
		s.gang, s.oneZone = len(c.pending), j.OneZone
	} else if j.OneZone {
		s.zone = j.ID // bound to the zone of its other tasks
	}
	return s
}

func times(r topology.Resources, n int) topology.Resources {
	f := float64(n)
	return topology.Resources{CPUs: r.CPUs * f, GPUs: r.GPUs * f, MemGB: r.MemGB * f}
}

// placeTasks finds machines for tasks of a job that start together and binds
// them there.
func (l *leader) placeTasks(tree *topology.Tree, c *candidate, tasks []int, quick bool) bool {
	j := c.j
	wait := l.c.slowFetch(j.Class)
	req := topology.Request{
		Task: size(&j.Job), Count: len(tasks), Required: topology.LevelRoot,
		ZoneRoom: l.zoneRoom(j),
		Allowed: func(t *topology.Machine) bool {
			m := l.machines[t.Name]
			return eligible(&j.Job, m.typ, m.zone, m.spot) && !l.avoid(j, m) && !(quick && l.slow(j, m, wait)) &&
				(m.reserved == nil || m.reserved == j || l.c.now >= m.reservedUntil)
		},
		Rank: func(t *topology.Machine) int {
			if m := j.moveTo[tasks[0]]; m != nil && m.name == t.Name {
				return -1
			}
			m := l.machines[t.Name]
			rank := 0
			if len(m.failed) > 0 {
				rank = 3
			}
			if !m.hasImage(j.Image) {
				rank++
				if l.slow(j, m, wait) {
					rank++
				}
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
			if m.seats--; m.seats < 1 {
				m.reserved = nil
			}
		}
		l.c.log.Debug("place", "task", taskName(j.ID, i), "attempt", attempt, "machine", m.name, "image", m.hasImage(j.Image))
	}
	if j.Shape == wire.ShapeGang {
		j.next++
	}
	return true
}

// slowFetch is how long a fetch may take, in seconds, before the class's wait
// is in danger: other fetches share the rate, which varies by a third.
func (c *Core) slowFetch(class string) float64 {
	within := math.Inf(1)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within * 2 / 3
}

// slow tells whether a job's image would come too late on a machine.
func (l *leader) slow(j *job, m *machine, wait float64) bool {
	t := l.c.types[m.typ]
	return !m.hasImage(j.Image) && t != nil && j.ImageGB > wait*t.FetchGBPS
}

// avoid keeps a job away from machines on which it failed, until it has
// failed on so many that the job is the likelier cause.
func (l *leader) avoid(j *job, m *machine) bool {
	return len(j.failOn) < 3 && j.failOn[m.name]
}
