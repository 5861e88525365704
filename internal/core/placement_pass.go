package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// A placement pass goes through the jobs that have tasks to place, the most urgent first
// (candidates.go). For each of them there are these phases:
//
//  1. filter and score: which machines may take the tasks, and which of them are preferred
//     (machine_filter.go);
//  2. bind: tasks are placed on machines with free capacity (binding.go);
//  3. make room for the others: replicas are rescheduled (rescheduling.go, defragmentation.go)
//     or less urgent tasks are preempted (preempt.go, team_limit.go). The machines are reserved
//     for the job, and a later pass binds its tasks there.
//
// What remains is left to scale_out_plan.go.

// passState is what the leader keeps from one placement pass to the next.
type passState struct {
	requested    bool               // there may be something to place
	earliest     time.Duration      // when the next pass may begin
	evaluations  int                // machines evaluated by all passes so far
	machines     []*cluster.Machine // those that may take tasks in this pass
	resumeFrom   *cluster.Job       // where the last pass was truncated; nil if it was not
	victimBuffer []victim           // reused by victimsOn
}

// imagePolicy says which machines may be used by how long the pull of the task's image takes
// there.
type imagePolicy int

const (
	// anyPullTime allows all machines.
	anyPullTime imagePolicy = iota
	// pullInTime allows machines that hold the image, or pull it before the wait that the
	// class allows is at risk.
	pullInTime
)

// placementPass is one pass.
type placementPass struct {
	leader          *leader
	tree            *topology.Tree
	usage           map[string]topology.Resources // by team
	reservations    teamlimit.Reservations        // of the teams' limits
	*placement.Memo                               // what was found not to fit
	evaluationLimit int                           // of passState.evaluations, at which the pass ends
	truncated       bool                          // a job's tasks were not all tried within the limit
	leaves          []*topology.Machine
	leavesByImage   map[string][]*topology.Machine // with free capacity; nil until they are needed
}

// newPlacementPass begins a pass over the machines as they are.
func (l *leader) newPlacementPass() *placementPass {
	before := l.passes.evaluations
	tree, leaves := l.buildTree()
	return &placementPass{
		leader:          l,
		tree:            tree,
		leaves:          leaves,
		usage:           l.refreshUsage(),
		reservations:    l.limitReservations(),
		Memo:            placement.NewMemo(),
		evaluationLimit: before + l.evaluationBudget(),
	}
}

// buildTree builds the tree of the machines that may take tasks, and returns its leaves too.
// The machines become those of the pass; a leaf's Index is its machine's place among them.
func (l *leader) buildTree() (*topology.Tree, []*topology.Machine) {
	leaves := make([]*topology.Machine, 0, len(l.MachinesByName))
	allocated := make([]topology.Machine, len(l.MachinesByName))
	l.passes.machines = l.passes.machines[:0]
	for _, m := range l.MachinesByName {
		total, ok := l.capacityOf(m)
		if !ok || !l.usable(m) {
			continue
		}
		leaf := &allocated[len(leaves)]
		*leaf = topology.Machine{
			Name:  m.Name,
			Zone:  m.Zone,
			Price: l.machinePrice(m),
			Free:  total.Sub(m.Used),
			Index: len(leaves),
		}
		leaves = append(leaves, leaf)
		l.passes.machines = append(l.passes.machines, m)
	}
	return topology.New(leaves), leaves
}

// runPlacementPass places tasks, makes room for those that find none, and plans to scale out
// for the rest.
func (l *leader) runPlacementPass() {
	before := l.passes.evaluations
	pass := l.newPlacementPass()
	candidates := l.candidates()
	pass.placeCandidates(l.resumeOrder(candidates))
	l.reservations.reserved = nil
	l.planScaleOut(candidates, pass.usage)
	// A pass takes no more than a third of the leader's time.
	l.passes.earliest = max(l.passes.earliest, l.core.now+2*l.evaluationsTime(l.passes.evaluations-before))
}

// placeCandidates places candidates in their order, until the pass has cost what it may. The
// next pass resumes there.
func (p *placementPass) placeCandidates(candidates []*candidate) {
	passes := &p.leader.passes
	for _, candidate := range candidates {
		if p.leader.core.now < candidate.job.RetryAt {
			continue
		}
		if passes.evaluations > p.evaluationLimit {
			passes.resumeFrom, passes.requested = candidate.job, true
			return
		}
		p.placeCandidate(candidate)
		if p.truncated {
			passes.resumeFrom, passes.requested = candidate.job, true
			return
		}
	}
}

// placeCandidate places a candidate's tasks and makes room for those that no machine holds.
func (p *placementPass) placeCandidate(candidate *candidate) {
	if candidate.faulty {
		// It gets free capacity only: nothing is preempted for tasks that fail everywhere.
		p.bindFitting(candidate, anyPullTime)
		return
	}
	class := equivalenceClass(candidate)
	if p.leader.core.limitsPullTime(candidate.job.Class) {
		p.placeInTime(candidate, class)
	}
	if !p.truncated {
		p.placeAnywhere(candidate, class)
	}
	if !p.truncated {
		p.makeRoom(candidate, class)
	}
}

// placeInTime places the tasks of a candidate whose class may wait only for so long: on
// machines that hold the image or pull it in time, if there is room or room can be made there.
func (p *placementPass) placeInTime(candidate *candidate, class placement.EquivalenceClass) {
	if p.MachineMayFit(class.Requirements) {
		p.bindFitting(candidate, pullInTime)
		if p.truncated {
			return
		}
	}
	if len(candidate.pending) > 0 && p.MayPreempt(class) {
		p.preempt(candidate, pullInTime)
	}
	if candidate.needsRoom() {
		p.rescheduleFor(candidate)
	}
}

// placeAnywhere places a candidate's tasks on any machine, and records for the rest of the pass
// what does not fit.
func (p *placementPass) placeAnywhere(candidate *candidate, class placement.EquivalenceClass) {
	if !candidate.needsRoom() || !p.MayFit(class) {
		return
	}
	p.bindFitting(candidate, anyPullTime)
	if p.truncated || !candidate.needsRoom() || p.leader.reservedTasks(candidate.job) > 0 {
		return
	}
	p.RecordFull(class, p.leader.representsClass(candidate.job))
	// Whether a spread job finds room depends on where its other tasks are; that no
	// machine has any depends on the machines alone.
	p.RecordMachineFits(class.Requirements, p.leader.anyMachineFits(p.tree, candidate.job))
}

// makeRoom preempts or reschedules tasks for those of a candidate that found no room.
func (p *placementPass) makeRoom(candidate *candidate, class placement.EquivalenceClass) {
	if !candidate.needsRoom() || !p.MayPreempt(class) {
		return
	}
	noVictims := p.preempt(candidate, anyPullTime)
	p.defragmentFor(candidate)
	representative := p.leader.representsClass(candidate.job) || noVictims
	p.RecordNoVictims(class, candidate.reserved == 0 && representative)
}

// representsClass reports whether what one job finds holds for all jobs of its equivalence
// class: not for one that has to keep away from machines or zones.
func (l *leader) representsClass(job *cluster.Job) bool {
	return l.outliers.FailedMachineCount(job.ID) == 0 && !job.SpreadZones
}

// preempt preempts tasks for a candidate, see leader.preempt. The part of the team's limit that
// becomes free by that is reserved from now on: less urgent work that came later in the same pass
// took it, and a gang that needs all of the limit never started.
func (p *placementPass) preempt(candidate *candidate, policy imagePolicy) (noVictims bool) {
	before := candidate.job.PreemptedWithinTeam
	noVictims = p.leader.preempt(candidate, p.usage, policy)
	if candidate.job.PreemptedWithinTeam && !before {
		p.reservations = p.leader.limitReservations()
	}
	return noVictims
}

// anyMachineFits reports whether any machine of a kind that a job may use has room for a task.
func (l *leader) anyMachineFits(tree *topology.Tree, job *cluster.Job) bool {
	defer l.countEvaluations(tree)()
	return tree.AnyFits(cluster.TaskSize(&job.Job), func(leaf *topology.Machine) bool {
		return isEligible(job, l.passes.machines[leaf.Index])
	})
}

// countEvaluations begins to count the machines that a tree evaluates; the function that it
// returns adds them to the pass's cost.
func (l *leader) countEvaluations(tree *topology.Tree) func() {
	before := tree.Evaluations()
	return func() { l.passes.evaluations += tree.Evaluations() - before }
}
