package core

import (
	"math"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// placementPasses is what the leader keeps from one placement pass to the next.
type placementPasses struct {
	requested   bool          // there is something to place
	notBefore   time.Duration // when the next pass may begin
	evaluations int           // machines evaluated by all passes so far
	leaves      []*machine    // those that may take tasks in this pass
	resume      *job          // where the last pass was cut short
	victims     []victim      // kept to be filled again, see victimsOn
}

// placementPass is one walk over the jobs that wait for room.
type placementPass struct {
	l               *leader
	tree            *topology.Tree
	usage           map[string]topology.Resources // by team
	kept            teamlimit.Reservations        // of the teams' limits
	*placement.Memo                               // what was found not to fit
	budgetEnd       int                           // of the leader's count
	cutShort        bool                          // a job's tasks did not all get their turn within the limit
	nodes           []*topology.Machine
	byImage         map[string][]*topology.Machine // with room, see relocation.go
}

// newPlacementPass begins a pass over the machines as they are.
func (l *leader) newPlacementPass() *placementPass {
	before := l.passes.evaluations
	tree, nodes := l.placementTree()
	return &placementPass{
		l: l, tree: tree, nodes: nodes, usage: l.usage(), kept: l.limitReservations(),
		Memo:      placement.NewMemo(),
		budgetEnd: before + l.passBudget(),
	}
}

// place starts what fits, makes room for what does not by preemption, and rents
// for the rest.
func (l *leader) place() {
	before := l.passes.evaluations
	p := l.newPlacementPass()
	cands := l.candidates()
	for _, c := range l.resumed(cands) {
		if l.c.now < c.job.retryAt {
			continue
		}
		if l.passes.evaluations > p.budgetEnd {
			l.passes.resume, l.passes.requested = c.job, true
			break
		}
		p.placeCandidate(c)
		if p.cutShort {
			l.passes.resume, l.passes.requested = c.job, true
			break
		}
	}
	l.reservedOf.reserved = nil
	l.plan(cands, p.usage)
	l.passes.notBefore = max(l.passes.notBefore, l.c.now+2*l.timeFor(l.passes.evaluations-before))
}

// placementTree is the tree of the machines that may take tasks, and its leaves; it
// notes the machines as the pass's leaves.
func (l *leader) placementTree() (*topology.Tree, []*topology.Machine) {
	leaves := make([]*topology.Machine, 0, len(l.byName))
	all := make([]topology.Machine, len(l.byName))
	l.passes.leaves = l.passes.leaves[:0]
	for _, m := range l.byName {
		total, ok := l.total(m)
		if !ok || !l.usable(m) {
			continue
		}
		leaf := &all[len(leaves)]
		*leaf = topology.Machine{Name: m.name, Zone: m.zone, Price: l.priceOf(m), Free: total.Sub(m.used), Key: len(leaves)}
		leaves = append(leaves, leaf)
		l.passes.leaves = append(l.passes.leaves, m)
	}
	return topology.New(leaves), leaves
}

// placeAtImage starts a candidate's tasks where its image comes in time, if there
// is room or room can be made there.
func (p *placementPass) placeAtImage(c *candidate, key placement.Shape) {
	if p.MachineMayFit(key.Needs) {
		p.fill(c, true)
		if p.cutShort {
			return
		}
	}
	if len(c.pending) > 0 && p.MayPreempt(key) {
		p.preempt(c, true)
	}
	if len(c.pending) > c.reserved {
		p.relocate(c)
	}
}

// placeCandidate starts a candidate's tasks and makes room for those that find
// none. A job whose class may wait only so long starts where its image comes in
// time, if it can.
func (p *placementPass) placeCandidate(c *candidate) {
	l, j := p.l, c.job
	key := shapeOf(c)
	if c.faulty {
		// It takes free room alone: nothing makes way for what fails everywhere.
		p.fill(c, false)
		return
	}
	plain := l.faults.Failures(j.ID) == 0 && !j.Spread
	if !math.IsInf(l.c.slowFetch(j.Class), 1) {
		p.placeAtImage(c, key)
		if p.cutShort {
			return
		}
	}
	if len(c.pending) > c.reserved && p.MayFit(key) {
		p.fill(c, false)
		if p.cutShort {
			return
		}
		if len(c.pending) > c.reserved && l.reservedFor(j) == 0 {
			p.NoteFull(key, plain)
			// Whether a spread job finds room depends on where its other
			// tasks are; that none has room, on the machines alone.
			p.NoteMachine(key.Needs, l.anyRoom(p.tree, j))
		}
	}
	if len(c.pending) > c.reserved && p.MayPreempt(key) {
		nobody := p.preempt(c, false)
		p.compactFor(c)
		p.NoteVictims(key, c.reserved == 0 && (plain || nobody))
	}
}

// preempt makes room for a candidate's tasks, see leader.preempt. What of the team's limit
// becomes free by that is kept for it from now on: work of lower ranks that came later in the
// same pass took it, and a gang that needs all of the limit never began.
func (p *placementPass) preempt(c *candidate, quick bool) (nobody bool) {
	before := c.job.madeRoomInLimit
	nobody = p.l.preempt(c, p.usage, quick)
	if c.job.madeRoomInLimit && !before {
		p.kept = p.l.limitReservations()
	}
	return nobody
}

// anyRoom tells whether any machine that a job may use has room for a task.
func (l *leader) anyRoom(tree *topology.Tree, j *job) bool {
	defer l.countEvaluations(tree)()
	return tree.Any(size(&j.Job), func(t *topology.Machine) bool {
		m := l.passes.leaves[t.Key]
		return eligible(&j.Job, m.typ, m.zone, m.spot)
	})
}

// fill places what of a job fits, a gang as a whole. quick leaves out machines
// on which the image would come too late.
func (p *placementPass) fill(c *candidate, quick bool) {
	j, n := c.job, 1
	if j.Shape == wire.ShapeGang {
		n = len(c.pending)
	}
	limit, task := p.l.limit(j.Team), size(&j.Job)
	kept := p.kept.Above(j.Team, j.rank)
	if n == 1 && j.placedAlike() {
		p.fillEach(c, quick, kept)
		return
	}
	for len(c.pending) >= n+c.reserved && len(c.pending) > 0 && limit.Allows(p.usage[j.Team].Add(kept), task, n) {
		if !p.l.placeTasks(p.tree, c, c.pending[:n], quick) {
			return
		}
		p.usage[j.Team] = p.usage[j.Team].Add(times(task, n))
		c.pending = c.pending[n:]
	}
}

// placedAlike tells whether it does not matter which of a job's tasks goes where, nor
// what the ones before took: none has room kept for it, and they need not share a zone.
func (j *job) placedAlike() bool {
	return len(j.moveTo) == 0 && len(j.reservedOn) == 0 && !j.OneZone
}

// bindEvaluations is about how many evaluations of machines take as long as binding a task.
const bindEvaluations = 10

// fillEach places what of a job of single tasks fits, all in one go.
func (p *placementPass) fillEach(c *candidate, quick bool, kept topology.Resources) {
	l, j := p.l, c.job
	limit, task := l.limit(j.Team), size(&j.Job)
	used := p.usage[j.Team].Add(kept)
	n := sort.Search(len(c.pending)-c.reserved, func(k int) bool { return !limit.Allows(used, task, k+1) })
	if n < 1 {
		return
	}
	// Binding the tens of thousands of tasks of a huge array at once would hold up
	// the workers' reports.
	if turn := max(1, (p.budgetEnd-l.passes.evaluations)/bindEvaluations); n > turn {
		n, p.cutShort = turn, true
	}
	defer l.countEvaluations(p.tree)()
	where := p.tree.PlaceEach(l.placementRequest(j, c.pending[:1], quick), n)
	for range where {
		p.usage[j.Team] = p.usage[j.Team].Add(task)
	}
	l.bindTasks(j, c.pending[:len(where)], l.machinesOf(where))
	l.passes.evaluations += bindEvaluations * len(where)
	c.pending = c.pending[len(where):]
}

// placeTasks finds machines for tasks of a job that start together and binds
// them there.
func (l *leader) placeTasks(tree *topology.Tree, c *candidate, tasks []int, quick bool) bool {
	defer l.countEvaluations(tree)()
	request := l.placementRequest(c.job, tasks, quick)
	where := tree.Place(request)
	if where == nil {
		return false
	}
	if l.gangTimesOut(c.job, l.machinesOf(where)) {
		where = l.placeFetchingTogether(tree, request, c.job, where)
	}
	l.bindTasks(c.job, tasks, l.machinesOf(where))
	return true
}

// machinesOf lists the machines that leaves of the pass's tree stand for.
func (l *leader) machinesOf(leaves []*topology.Machine) []*machine {
	machines := make([]*machine, len(leaves))
	for k, leaf := range leaves {
		machines[k] = l.passes.leaves[leaf.Key]
	}
	return machines
}

// countEvaluations begins to count the machines that a tree evaluates; the function that it returns adds them
// to the pass's cost.
func (l *leader) countEvaluations(tree *topology.Tree) func() {
	before := tree.Evaluations()
	return func() { l.passes.evaluations += tree.Evaluations() - before }
}

// placementRequest asks for room for tasks of a job that start together. quick
// leaves out machines on which the image would come too late.
func (l *leader) placementRequest(j *job, tasks []int, quick bool) topology.Request {
	wait := l.c.slowFetch(j.Class)
	req := topology.Request{
		Task: size(&j.Job), Count: len(tasks), Required: topology.LevelRoot,
		ZoneRoom: l.zoneRoom(j),
		Allowed: func(t *topology.Machine) bool {
			return l.mayPlaceOn(j, l.passes.leaves[t.Key], quick, wait)
		},
		MostOn: func(t *topology.Machine) int { return l.passes.leaves[t.Key].rowsLeft() },
		Rank: func(t *topology.Machine) int {
			if m := j.moveTo[tasks[0]]; m != nil && m.name == t.Name {
				return rankMoveTarget
			}
			return l.machineRank(j, l.passes.leaves[t.Key], wait)
		},
	}
	if j.OneZone {
		req.Required = topology.LevelZone
	}
	return req
}

// bindTasks binds tasks that start together to machines, given in their order.
// The tasks of a gang share an attempt.
func (l *leader) bindTasks(j *job, tasks []int, machines []*machine) {
	attempt := j.nextAttempt
	for k, i := range tasks {
		m, t := machines[k], &j.tasks[i]
		if j.Shape != wire.ShapeGang {
			attempt = j.nextAttempt
			j.nextAttempt++
		}
		t.attempt, t.zone, t.session, t.ours, t.placedAt = attempt, m.zone, m.session, true, l.c.now
		delete(j.moveTo, i)
		l.bind(j, i, m)
		m.beginFetch(j.Image, j.ImageGB, l.c.now)
		l.markDirty(j, i, false)
		if m.reserved == j {
			if m.reservedTasks--; m.reservedTasks < 1 {
				m.reserved = nil
			}
		}
		l.c.log.Debug("place", "task", taskName(j.ID, i), "attempt", attempt, "machine", m.name, "image", m.hasImage(j.Image))
	}
	if j.Shape == wire.ShapeGang {
		j.nextAttempt++
	}
}
