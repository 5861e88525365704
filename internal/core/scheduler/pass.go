package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// pullTimePolicy selects machines by how long the pull of the task's image takes there.
type pullTimePolicy int

const (
	// anyPullTime allows all machines.
	anyPullTime pullTimePolicy = iota
	// pullInTime allows only machines that have the image cached or pull it within the time
	// that the wait objective of the class leaves, see maxPullTime.
	pullInTime
)

// pass is one pass over the candidates.
type pass struct {
	*Scheduler
	tree            *topology.Tree
	usage           map[string]topology.Resources // by team
	reservations    teamlimit.Reservations        // within the teams' limits
	*placement.Memo                               // searches that found no fit
	evaluationLimit int                           // value of Scheduler.evaluations at which the pass ends
	truncated       bool                          // not all tasks of a job were tried within the limit
	leaves          []*topology.Machine
	leavesByImage   map[string][]*topology.Machine // those with free capacity; nil until needed
}

// newPass begins a pass on the current machines.
func (s *Scheduler) newPass(usage map[string]topology.Resources) *pass {
	tree, leaves := s.buildTree()
	return &pass{
		Scheduler:       s,
		tree:            tree,
		leaves:          leaves,
		usage:           usage,
		reservations:    s.LimitReservations(),
		Memo:            placement.NewMemo(),
		evaluationLimit: s.evaluations + s.EvaluationBudget(),
	}
}

// buildTree builds the tree of the machines that may take tasks, and also returns its leaves. It
// sets s.machines to these machines; the Index of a leaf is the index of its machine there.
func (s *Scheduler) buildTree() (*topology.Tree, []*topology.Machine) {
	leaves := make([]*topology.Machine, 0, len(s.state.MachinesByName))
	allocated := make([]topology.Machine, len(s.state.MachinesByName))
	s.machines = s.machines[:0]
	for _, machine := range s.state.MachinesByName {
		total, ok := s.capacityOf(machine)
		if !ok || !s.host.Usable(machine) {
			continue
		}
		leaf := &allocated[len(leaves)]
		*leaf = topology.Machine{
			Name:  machine.Name,
			Zone:  machine.Zone,
			Price: s.host.MachinePrice(machine),
			Free:  total.Sub(machine.Used),
			Index: len(leaves),
		}
		leaves = append(leaves, leaf)
		s.machines = append(s.machines, machine)
	}
	return topology.New(leaves), leaves
}

// Place runs one pass: it places the tasks of candidates, in their order, and makes room for tasks
// that fit on no machine. It adds what it places to usage, which is by team. It reports whether it
// has tried all candidates; if the evaluation budget is used up before, the next pass resumes at the
// first candidate that was not finished.
func (s *Scheduler) Place(candidates []*Candidate, usage map[string]topology.Resources) (complete bool) {
	p := s.newPass(usage)
	for _, candidate := range s.resumeOrder(candidates) {
		if s.host.Now() < candidate.Job.RetryAt {
			continue
		}
		if s.evaluations > p.evaluationLimit {
			s.resumeFrom = candidate.Job
			return false
		}
		p.placeCandidate(candidate)
		if p.truncated {
			s.resumeFrom = candidate.Job
			return false
		}
	}
	return true
}

// placeCandidate places a candidate's tasks and makes room for those that fit on no machine.
func (p *pass) placeCandidate(candidate *Candidate) {
	if candidate.Faulty {
		// Only free capacity is used: nothing is preempted for tasks that fail on every
		// machine.
		p.bindFitting(candidate, anyPullTime)
		return
	}
	class := equivalenceClass(candidate)
	if p.limitsPullTime(candidate.Job.Class) {
		p.placeWithTimelyPull(candidate, class)
	}
	if !p.truncated {
		p.placeAnywhere(candidate, class)
	}
	if !p.truncated {
		p.makeRoom(candidate, class)
	}
}

// placeWithTimelyPull places the tasks of a candidate whose class has a wait objective on machines
// that have the image cached or pull it in time. Where these have no free capacity, it preempts or
// reschedules tasks there.
func (p *pass) placeWithTimelyPull(candidate *Candidate, class placement.EquivalenceClass) {
	if p.AnyMachineMayFit(class.Requirements) {
		p.bindFitting(candidate, pullInTime)
		if p.truncated {
			return
		}
	}
	if len(candidate.Pending) > 0 && p.MayPreempt(class) {
		p.preempt(candidate, pullInTime)
	}
	if candidate.hasUnreservedTasks() {
		p.rescheduleFor(candidate)
	}
}

// placeAnywhere places a candidate's tasks on any machine, and records for the rest of the pass
// what does not fit.
func (p *pass) placeAnywhere(candidate *Candidate, class placement.EquivalenceClass) {
	if !candidate.hasUnreservedTasks() || !p.MayFit(class) {
		return
	}
	p.bindFitting(candidate, anyPullTime)
	if p.truncated || !candidate.hasUnreservedTasks() || p.ReservedTasks(candidate.Job) > 0 {
		return
	}
	p.RecordDoesNotFit(class, p.representsClass(candidate.Job))
	// Whether a spread job fits depends on where its other tasks run, so its result does not
	// hold for its class. Whether a task fits on any machine depends on the machines alone.
	p.RecordAnyMachineFits(class.Requirements, p.anyMachineFits(p.tree, candidate.Job))
}

// makeRoom preempts or reschedules tasks for those tasks of a candidate that fit on no machine.
func (p *pass) makeRoom(candidate *Candidate, class placement.EquivalenceClass) {
	if !candidate.hasUnreservedTasks() || !p.MayPreempt(class) {
		return
	}
	noVictims := p.preempt(candidate, anyPullTime)
	p.defragmentFor(candidate)
	representative := p.representsClass(candidate.Job) || noVictims
	p.RecordNoVictims(class, candidate.ReservedTasks == 0 && representative)
}

// representsClass reports whether the result of a search for a job holds for all jobs of its
// equivalence class. It does not if the job is kept off machines on which it failed, or is spread
// over zones.
func (s *Scheduler) representsClass(job *cluster.Job) bool {
	return s.outliers.FailedMachineCount(job.ID) == 0 && !job.SpreadZones
}

// preempt preempts tasks for a candidate, see preemptFor. It reserves the part of the team's limit
// that this frees for the rest of the pass too: otherwise less urgent jobs later in the same pass
// would take it, and a gang that needs all of the limit would never start.
func (p *pass) preempt(candidate *Candidate, policy pullTimePolicy) (noVictims bool) {
	before := candidate.Job.PreemptedWithinTeam
	noVictims = p.preemptFor(candidate, p.usage, policy)
	if candidate.Job.PreemptedWithinTeam && !before {
		p.reservations = p.LimitReservations()
	}
	return noVictims
}

// anyMachineFits reports whether a task of a job fits on any machine that the job may use, see
// AllowsMachine.
func (s *Scheduler) anyMachineFits(tree *topology.Tree, job *cluster.Job) bool {
	defer s.countEvaluations(tree)()
	return tree.AnyFits(cluster.TaskSize(&job.Job), func(leaf *topology.Machine) bool {
		return AllowsMachine(job, s.machines[leaf.Index])
	})
}

// countEvaluations starts to count the machines that a tree evaluates. The returned function adds
// the count to the scheduler's evaluations.
func (s *Scheduler) countEvaluations(tree *topology.Tree) func() {
	before := tree.Evaluations()
	return func() { s.evaluations += tree.Evaluations() - before }
}
