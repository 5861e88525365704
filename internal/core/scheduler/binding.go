package scheduler

import (
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// evaluationsPerBinding is the approximate cost of binding a task, in evaluations of machines.
const evaluationsPerBinding = 10

// bindFitting places the tasks of a candidate that fit into the free capacity of machines and
// within the team's limit. A gang is placed as a whole.
func (p *pass) bindFitting(candidate *Candidate, policy pullTimePolicy) {
	job, batch := candidate.Job, 1
	if job.Shape == wire.ShapeGang {
		batch = len(candidate.Pending)
	}
	if batch == 1 && job.Interchangeable() {
		p.bindEach(candidate, policy)
		return
	}
	limit, size := p.host.Limit(job.Team), cluster.TaskSize(&job.Job)
	reserved := p.reservations.AbovePriority(job.Team, job.Level)
	for len(candidate.Pending) >= batch+candidate.ReservedTasks && len(candidate.Pending) > 0 {
		if !limit.Allows(p.usage[job.Team].Add(reserved), size, batch) {
			return
		}
		if !p.bindTogether(p.tree, candidate, batch, policy) {
			return
		}
		p.usage[job.Team] = p.usage[job.Team].Add(size.Times(batch))
		candidate.Pending = candidate.Pending[batch:]
	}
}

// bindEach places the fitting tasks of a candidate whose tasks start independently, with a single
// search.
func (p *pass) bindEach(candidate *Candidate, policy pullTimePolicy) {
	job := candidate.Job
	count := p.countWithinLimit(candidate)
	if count < 1 {
		return
	}
	// Binding the tens of thousands of tasks of a huge array at once would delay the
	// responses to heartbeats.
	if affordable := max(1, (p.evaluationLimit-p.evaluations)/evaluationsPerBinding); count > affordable {
		count, p.truncated = affordable, true
	}
	defer p.countEvaluations(p.tree)()
	leaves := p.tree.PlaceEach(p.placementRequest(job, candidate.Pending[:1], policy), count)
	size := cluster.TaskSize(&job.Job)
	for range leaves {
		p.usage[job.Team] = p.usage[job.Team].Add(size)
	}
	p.bindTasks(job, candidate.Pending[:len(leaves)], p.machinesOf(leaves))
	p.evaluations += evaluationsPerBinding * len(leaves)
	candidate.Pending = candidate.Pending[len(leaves):]
}

// countWithinLimit returns how many of a candidate's tasks without a reserved machine its team's
// limit allows.
func (p *pass) countWithinLimit(candidate *Candidate) int {
	job := candidate.Job
	limit, size := p.host.Limit(job.Team), cluster.TaskSize(&job.Job)
	used := p.usage[job.Team].Add(p.reservations.AbovePriority(job.Team, job.Level))
	return sort.Search(len(candidate.Pending)-candidate.ReservedTasks, func(n int) bool {
		return !limit.Allows(used, size, n+1)
	})
}

// bindTogether places the first count pending tasks of a candidate, which start together. It
// reports whether it found machines for all of them.
func (s *Scheduler) bindTogether(tree *topology.Tree, candidate *Candidate, count int, policy pullTimePolicy) bool {
	defer s.countEvaluations(tree)()
	job, tasks := candidate.Job, candidate.Pending[:count]
	request := s.placementRequest(job, tasks, policy)
	leaves := tree.Place(request)
	if leaves == nil {
		return false
	}
	if s.gangWaitExceeded(job, s.machinesOf(leaves)) {
		leaves = s.placeWithoutCachedImage(tree, request, job, leaves)
	}
	s.bindTasks(job, tasks, s.machinesOf(leaves))
	return true
}

// machinesOf returns the machines that leaves of the pass's tree represent.
func (s *Scheduler) machinesOf(leaves []*topology.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(leaves))
	for i, leaf := range leaves {
		machines[i] = s.machines[leaf.Index]
	}
	return machines
}

// placementRequest builds the request to the tree for tasks of a job that start together.
func (s *Scheduler) placementRequest(job *cluster.Job, tasks []int, policy pullTimePolicy) topology.Request {
	maxPullS := s.maxPullTime(job.Class)
	request := topology.Request{
		TaskSize:      cluster.TaskSize(&job.Job),
		Count:         len(tasks),
		RequiredLevel: topology.LevelRoot,
		ZoneBound:     ZoneBound(job),
		Allowed: func(leaf *topology.Machine) bool {
			return s.passesFilters(job, s.machines[leaf.Index], policy, maxPullS)
		},
		MachineBound: func(leaf *topology.Machine) int {
			return s.machines[leaf.Index].TaskRowsLeft()
		},
		Penalty: func(leaf *topology.Machine) int {
			if m := job.ReschedulingTargets[tasks[0]]; m != nil && m.Name == leaf.Name {
				return penaltyReschedulingTarget
			}
			return s.machinePenalty(job, s.machines[leaf.Index], maxPullS)
		},
	}
	if job.OneZone {
		request.RequiredLevel = topology.LevelZone
	}
	return request
}

// bindTasks places tasks on machines, one machine per task in the same order. The tasks of a gang
// share an attempt.
func (s *Scheduler) bindTasks(job *cluster.Job, tasks []int, machines []*cluster.Machine) {
	if job.Shape == wire.ShapeGang {
		for i, index := range tasks {
			s.bindTask(job, index, machines[i], job.NextAttempt)
		}
		job.NextAttempt++
		return
	}
	for i, index := range tasks {
		attempt := job.NextAttempt
		job.NextAttempt++
		s.bindTask(job, index, machines[i], attempt)
	}
}

// bindTask places a task on a machine with an attempt number.
func (s *Scheduler) bindTask(job *cluster.Job, index int, machine *cluster.Machine, attempt uint64) {
	task := &job.TaskStates[index]
	task.Attempt = attempt
	task.Zone = machine.Zone
	task.Incarnation = machine.Incarnation
	task.PlacedThisTerm = true
	task.PlacedAt = s.host.Now()
	delete(job.ReschedulingTargets, index)
	s.host.PlaceTask(job, index, machine)
	machine.BeginPull(job.Image, job.ImageGB, s.host.Now())
	if machine.ReservedFor == job {
		if machine.ReservedTasks--; machine.ReservedTasks < 1 {
			machine.ReservedFor = nil
		}
	}
	s.log.Debug("task placed", "task", cluster.TaskName(job.ID, index), "attempt", attempt,
		"machine", machine.Name, "image_cached", machine.HasImage(job.Image))
}
