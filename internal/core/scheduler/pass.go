package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// imagePolicy is which machines may be used, by how long the pull of the task's image takes there.
type imagePolicy int

const (
	// anyPullTime allows all machines.
	anyPullTime imagePolicy = iota
	// pullInTime allows machines that hold the image, or pull it before the wait that the
	// class allows is at risk.
	pullInTime
)

// pass is one pass over the candidates.
type pass struct {
	*Scheduler
	tree            *topology.Tree
	usage           map[string]topology.Resources // by team
	reservations    teamlimit.Reservations        // of the teams' limits
	*placement.Memo                               // what was found not to fit
	evaluationLimit int                           // of Scheduler.evaluations, at which the pass ends
	truncated       bool                          // a job's tasks were not all tried within the limit
	leaves          []*topology.Machine
	leavesByImage   map[string][]*topology.Machine // with free capacity; nil until they are needed
}

// newPass begins a pass over the machines as they are.
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

// buildTree builds the tree of the machines that may take tasks, and returns its leaves too.
// The machines become those of the pass; a leaf's Index is its machine's place among them.
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

// Place is one pass: it places the tasks of candidates, in their order, and makes room for those
// that find none. It adds what is placed to the usage, which is by team. It reports whether it has
// tried all candidates; if the pass has cost what it may before, the next one resumes there.
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

// placeCandidate places a candidate's tasks and makes room for those that no machine holds.
func (p *pass) placeCandidate(candidate *Candidate) {
	if candidate.Faulty {
		// It gets free capacity only: nothing is preempted for tasks that fail everywhere.
		p.bindFitting(candidate, anyPullTime)
		return
	}
	class := equivalenceClass(candidate)
	if p.limitsPullTime(candidate.Job.Class) {
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
func (p *pass) placeInTime(candidate *Candidate, class placement.EquivalenceClass) {
	if p.MachineMayFit(class.Requirements) {
		p.bindFitting(candidate, pullInTime)
		if p.truncated {
			return
		}
	}
	if len(candidate.Pending) > 0 && p.MayPreempt(class) {
		p.preempt(candidate, pullInTime)
	}
	if candidate.needsRoom() {
		p.rescheduleFor(candidate)
	}
}

// placeAnywhere places a candidate's tasks on any machine, and records for the rest of the pass
// what does not fit.
func (p *pass) placeAnywhere(candidate *Candidate, class placement.EquivalenceClass) {
	if !candidate.needsRoom() || !p.MayFit(class) {
		return
	}
	p.bindFitting(candidate, anyPullTime)
	if p.truncated || !candidate.needsRoom() || p.ReservedTasks(candidate.Job) > 0 {
		return
	}
	p.RecordFull(class, p.representsClass(candidate.Job))
	// Whether a spread job finds room depends on where its other tasks are; that no
	// machine has any depends on the machines alone.
	p.RecordMachineFits(class.Requirements, p.anyMachineFits(p.tree, candidate.Job))
}

// makeRoom preempts or reschedules tasks for those of a candidate that found no room.
func (p *pass) makeRoom(candidate *Candidate, class placement.EquivalenceClass) {
	if !candidate.needsRoom() || !p.MayPreempt(class) {
		return
	}
	noVictims := p.preempt(candidate, anyPullTime)
	p.defragmentFor(candidate)
	representative := p.representsClass(candidate.Job) || noVictims
	p.RecordNoVictims(class, candidate.Reserved == 0 && representative)
}

// representsClass reports whether what one job finds holds for all jobs of its equivalence
// class: not for one that has to keep away from machines or zones.
func (s *Scheduler) representsClass(job *cluster.Job) bool {
	return s.outliers.FailedMachineCount(job.ID) == 0 && !job.SpreadZones
}

// preempt preempts tasks for a candidate, see preemptFor. The part of the team's limit that
// becomes free by that is reserved from now on: less urgent work that came later in the same pass
// took it, and a gang that needs all of the limit never started.
func (p *pass) preempt(candidate *Candidate, policy imagePolicy) (noVictims bool) {
	before := candidate.Job.PreemptedWithinTeam
	noVictims = p.preemptFor(candidate, p.usage, policy)
	if candidate.Job.PreemptedWithinTeam && !before {
		p.reservations = p.LimitReservations()
	}
	return noVictims
}

// anyMachineFits reports whether any machine of a kind that a job may use has room for a task.
func (s *Scheduler) anyMachineFits(tree *topology.Tree, job *cluster.Job) bool {
	defer s.countEvaluations(tree)()
	return tree.AnyFits(cluster.TaskSize(&job.Job), func(leaf *topology.Machine) bool {
		return AllowsMachine(job, s.machines[leaf.Index])
	})
}

// countEvaluations begins to count the machines that a tree evaluates; the function that it
// returns adds them to the pass's cost.
func (s *Scheduler) countEvaluations(tree *topology.Tree) func() {
	before := tree.Evaluations()
	return func() { s.evaluations += tree.Evaluations() - before }
}
