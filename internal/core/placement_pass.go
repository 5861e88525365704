package core

import (
	"math"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// passState is what the leader keeps from one placement pass to the next.
type passState struct {
	requested    bool               // there is something to place
	earliest     time.Duration      // when the next pass may begin
	evaluations  int                // machines evaluated by all passes so far
	machines     []*cluster.Machine // those that may take tasks in this pass
	resumeFrom   *cluster.Job       // where the last pass was cut short
	victimBuffer []victim           // kept to be filled again, see victimsOn
}

// placementPass is one walk over the jobs that wait for room.
type placementPass struct {
	leader          *leader
	tree            *topology.Tree
	usage           map[string]topology.Resources // by team
	reservations    teamlimit.Reservations        // of the teams' limits
	*placement.Memo                               // what was found not to fit
	evaluationLimit int                           // of the leader's count
	truncated       bool                          // a job's tasks did not all get their turn within the limit
	leaves          []*topology.Machine
	leavesByImage   map[string][]*topology.Machine // with room, see relocation.go
}

// newPlacementPass begins a pass over the machines as they are.
func (l *leader) newPlacementPass() *placementPass {
	before := l.passes.evaluations
	tree, nodes := l.buildTree()
	return &placementPass{
		leader: l, tree: tree, leaves: nodes, usage: l.refreshUsage(), reservations: l.limitReservations(),
		Memo:            placement.NewMemo(),
		evaluationLimit: before + l.evaluationBudget(),
	}
}

// runPlacementPass starts what fits, makes room for what does not by preemption, and rents
// for the rest.
func (l *leader) runPlacementPass() {
	before := l.passes.evaluations
	pass := l.newPlacementPass()
	cands := l.candidates()
	for _, candidate := range l.resumeOrder(cands) {
		if l.core.now < candidate.job.RetryAt {
			continue
		}
		if l.passes.evaluations > pass.evaluationLimit {
			l.passes.resumeFrom, l.passes.requested = candidate.job, true
			break
		}
		pass.placeCandidate(candidate)
		if pass.truncated {
			l.passes.resumeFrom, l.passes.requested = candidate.job, true
			break
		}
	}
	l.reservations.reserved = nil
	l.planScaleOut(cands, pass.usage)
	l.passes.earliest = max(l.passes.earliest, l.core.now+2*l.evaluationsTime(l.passes.evaluations-before))
}

// buildTree is the tree of the machines that may take tasks, and its leaves; it
// notes the machines as the pass's leaves.
func (l *leader) buildTree() (*topology.Tree, []*topology.Machine) {
	leaves := make([]*topology.Machine, 0, len(l.MachinesByName))
	all := make([]topology.Machine, len(l.MachinesByName))
	l.passes.machines = l.passes.machines[:0]
	for _, m := range l.MachinesByName {
		total, ok := l.capacityOf(m)
		if !ok || !l.usable(m) {
			continue
		}
		leaf := &all[len(leaves)]
		*leaf = topology.Machine{Name: m.Name, Zone: m.Zone, Price: l.machinePrice(m), Free: total.Sub(m.Used), Index: len(leaves)}
		leaves = append(leaves, leaf)
		l.passes.machines = append(l.passes.machines, m)
	}
	return topology.New(leaves), leaves
}

// placeNearImage starts a candidate's tasks where its image comes in time, if there
// is room or room can be made there.
func (p *placementPass) placeNearImage(candidate *candidate, key placement.EquivalenceClass) {
	if p.MachineMayFit(key.Requirements) {
		p.placeFitting(candidate, true)
		if p.truncated {
			return
		}
	}
	if len(candidate.pending) > 0 && p.MayPreempt(key) {
		p.preempt(candidate, true)
	}
	if len(candidate.pending) > candidate.reserved {
		p.rescheduleFor(candidate)
	}
}

// placeCandidate starts a candidate's tasks and makes room for those that find
// none. A job whose class may wait only so long starts where its image comes in
// time, if it can.
func (p *placementPass) placeCandidate(candidate *candidate) {
	leader, job := p.leader, candidate.job
	key := equivalenceClass(candidate)
	if candidate.faulty {
		// It takes free room alone: nothing makes way for what fails everywhere.
		p.placeFitting(candidate, false)
		return
	}
	plain := leader.outliers.FailedMachineCount(job.ID) == 0 && !job.SpreadZones
	if !math.IsInf(leader.core.maxPullTime(job.Class), 1) {
		p.placeNearImage(candidate, key)
		if p.truncated {
			return
		}
	}
	if len(candidate.pending) > candidate.reserved && p.MayFit(key) {
		p.placeFitting(candidate, false)
		if p.truncated {
			return
		}
		if len(candidate.pending) > candidate.reserved && leader.reservedTasks(job) == 0 {
			p.RecordFull(key, plain)
			// Whether a spread job finds room depends on where its other
			// tasks are; that none has room, on the machines alone.
			p.RecordMachineFits(key.Requirements, leader.anyMachineFits(p.tree, job))
		}
	}
	if len(candidate.pending) > candidate.reserved && p.MayPreempt(key) {
		nobody := p.preempt(candidate, false)
		p.defragmentFor(candidate)
		p.RecordNoVictims(key, candidate.reserved == 0 && (plain || nobody))
	}
}

// preempt makes room for a candidate's tasks, see leader.preempt. What of the team's limit
// becomes free by that is kept for it from now on: work of lower ranks that came later in the
// same pass took it, and a gang that needs all of the limit never began.
func (p *placementPass) preempt(c *candidate, quick bool) (nobody bool) {
	before := c.job.PreemptedWithinTeam
	nobody = p.leader.preempt(c, p.usage, quick)
	if c.job.PreemptedWithinTeam && !before {
		p.reservations = p.leader.limitReservations()
	}
	return nobody
}

// anyMachineFits tells whether any machine that a job may use has room for a task.
func (l *leader) anyMachineFits(tree *topology.Tree, j *cluster.Job) bool {
	defer l.countEvaluations(tree)()
	return tree.AnyFits(cluster.TaskSize(&j.Job), func(t *topology.Machine) bool {
		m := l.passes.machines[t.Index]
		return eligible(&j.Job, m.TypeName, m.Zone, m.Spot)
	})
}

// placeFitting places what of a job fits, a gang as a whole. quick leaves out machines
// on which the image would come too late.
func (p *placementPass) placeFitting(candidate *candidate, quick bool) {
	job, batch := candidate.job, 1
	if job.Shape == wire.ShapeGang {
		batch = len(candidate.pending)
	}
	limit, task := p.leader.limit(job.Team), cluster.TaskSize(&job.Job)
	kept := p.reservations.AbovePriority(job.Team, job.Level)
	if batch == 1 && job.Interchangeable() {
		p.placeEach(candidate, quick, kept)
		return
	}
	for len(candidate.pending) >= batch+candidate.reserved && len(candidate.pending) > 0 && limit.Allows(p.usage[job.Team].Add(kept), task, batch) {
		if !p.leader.placeTogether(p.tree, candidate, candidate.pending[:batch], quick) {
			return
		}
		p.usage[job.Team] = p.usage[job.Team].Add(cluster.Scaled(task, batch))
		candidate.pending = candidate.pending[batch:]
	}
}

// evaluationsPerBinding is about how many evaluations of machines take as long as binding a task.
const evaluationsPerBinding = 10

// placeEach places what of a job of single tasks fits, all in one go.
func (p *placementPass) placeEach(candidate *candidate, quick bool, kept topology.Resources) {
	leader, job := p.leader, candidate.job
	limit, task := leader.limit(job.Team), cluster.TaskSize(&job.Job)
	used := p.usage[job.Team].Add(kept)
	count := sort.Search(len(candidate.pending)-candidate.reserved, func(k int) bool { return !limit.Allows(used, task, k+1) })
	if count < 1 {
		return
	}
	// Binding the tens of thousands of tasks of a huge array at once would hold up
	// the workers' reports.
	if turn := max(1, (p.evaluationLimit-leader.passes.evaluations)/evaluationsPerBinding); count > turn {
		count, p.truncated = turn, true
	}
	defer leader.countEvaluations(p.tree)()
	where := p.tree.PlaceEach(leader.placementRequest(job, candidate.pending[:1], quick), count)
	for range where {
		p.usage[job.Team] = p.usage[job.Team].Add(task)
	}
	leader.bindTasks(job, candidate.pending[:len(where)], leader.machinesOf(where))
	leader.passes.evaluations += evaluationsPerBinding * len(where)
	candidate.pending = candidate.pending[len(where):]
}

// placeTogether finds machines for tasks of a job that start together and binds
// them there.
func (l *leader) placeTogether(tree *topology.Tree, candidate *candidate, tasks []int, quick bool) bool {
	defer l.countEvaluations(tree)()
	request := l.placementRequest(candidate.job, tasks, quick)
	where := tree.Place(request)
	if where == nil {
		return false
	}
	if l.gangWaitExceeded(candidate.job, l.machinesOf(where)) {
		where = l.placePullingTogether(tree, request, candidate.job, where)
	}
	l.bindTasks(candidate.job, tasks, l.machinesOf(where))
	return true
}

// machinesOf lists the machines that leaves of the pass's tree stand for.
func (l *leader) machinesOf(leaves []*topology.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(leaves))
	for k, leaf := range leaves {
		machines[k] = l.passes.machines[leaf.Index]
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
func (l *leader) placementRequest(job *cluster.Job, tasks []int, quick bool) topology.Request {
	wait := l.core.maxPullTime(job.Class)
	req := topology.Request{
		Task: cluster.TaskSize(&job.Job), Count: len(tasks), Required: topology.LevelRoot,
		ZoneBound: l.zoneBound(job),
		Allowed: func(t *topology.Machine) bool {
			return l.passesFilters(job, l.passes.machines[t.Index], quick, wait)
		},
		MachineBound: func(t *topology.Machine) int { return l.passes.machines[t.Index].TaskRowsLeft() },
		Penalty: func(t *topology.Machine) int {
			if m := job.ReschedulingTargets[tasks[0]]; m != nil && m.Name == t.Name {
				return penaltyMoveTarget
			}
			return l.machinePenalty(job, l.passes.machines[t.Index], wait)
		},
	}
	if job.OneZone {
		req.Required = topology.LevelZone
	}
	return req
}

// bindTasks binds tasks that start together to machines, given in their order.
// The tasks of a gang share an attempt.
func (l *leader) bindTasks(job *cluster.Job, tasks []int, machines []*cluster.Machine) {
	attempt := job.NextAttempt
	for k, i := range tasks {
		machine, task := machines[k], &job.TaskStates[i]
		if job.Shape != wire.ShapeGang {
			attempt = job.NextAttempt
			job.NextAttempt++
		}
		task.Attempt, task.Zone, task.Incarnation, task.PlacedThisTerm, task.PlacedAt = attempt, machine.Zone, machine.Incarnation, true, l.core.now
		delete(job.ReschedulingTargets, i)
		l.place(job, i, machine)
		machine.BeginPull(job.Image, job.ImageGB, l.core.now)
		l.writer.MarkPlacement(job, i)
		if machine.ReservedFor == job {
			if machine.ReservedTasks--; machine.ReservedTasks < 1 {
				machine.ReservedFor = nil
			}
		}
		l.core.log.Debug("place", "task", cluster.TaskName(job.ID, i), "attempt", attempt, "machine", machine.Name, "image", machine.HasImage(job.Image))
	}
	if job.Shape == wire.ShapeGang {
		job.NextAttempt++
	}
}
