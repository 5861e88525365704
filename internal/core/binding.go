package core

import (
	"sort"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// evaluationsPerBinding is about how many evaluations of machines take as long as binding a
// task.
const evaluationsPerBinding = 10

// bindFitting places the tasks of a candidate that machines with free capacity and its team's
// limit hold, a gang as a whole.
func (p *placementPass) bindFitting(candidate *candidate, policy imagePolicy) {
	job, batch := candidate.job, 1
	if job.Shape == wire.ShapeGang {
		batch = len(candidate.pending)
	}
	if batch == 1 && job.Interchangeable() {
		p.bindEach(candidate, policy)
		return
	}
	limit, size := p.leader.limit(job.Team), cluster.TaskSize(&job.Job)
	reserved := p.reservations.AbovePriority(job.Team, job.Level)
	for len(candidate.pending) >= batch+candidate.reserved && len(candidate.pending) > 0 {
		if !limit.Allows(p.usage[job.Team].Add(reserved), size, batch) {
			return
		}
		if !p.leader.bindTogether(p.tree, candidate, batch, policy) {
			return
		}
		p.usage[job.Team] = p.usage[job.Team].Add(cluster.Scaled(size, batch))
		candidate.pending = candidate.pending[batch:]
	}
}

// bindEach places the tasks of a candidate that fit, each by itself but all in one go.
func (p *placementPass) bindEach(candidate *candidate, policy imagePolicy) {
	leader, job := p.leader, candidate.job
	count := p.countWithinLimit(candidate)
	if count < 1 {
		return
	}
	// Binding the tens of thousands of tasks of a huge array at once would delay the
	// answers to heartbeats.
	if affordable := max(1, (p.evaluationLimit-leader.passes.evaluations)/evaluationsPerBinding); count > affordable {
		count, p.truncated = affordable, true
	}
	defer leader.countEvaluations(p.tree)()
	leaves := p.tree.PlaceEach(leader.placementRequest(job, candidate.pending[:1], policy), count)
	size := cluster.TaskSize(&job.Job)
	for range leaves {
		p.usage[job.Team] = p.usage[job.Team].Add(size)
	}
	leader.bindTasks(job, candidate.pending[:len(leaves)], leader.machinesOf(leaves))
	leader.passes.evaluations += evaluationsPerBinding * len(leaves)
	candidate.pending = candidate.pending[len(leaves):]
}

// countWithinLimit is how many of a candidate's tasks its team's limit allows, beside those for
// which machines are reserved.
func (p *placementPass) countWithinLimit(candidate *candidate) int {
	job := candidate.job
	limit, size := p.leader.limit(job.Team), cluster.TaskSize(&job.Job)
	used := p.usage[job.Team].Add(p.reservations.AbovePriority(job.Team, job.Level))
	return sort.Search(len(candidate.pending)-candidate.reserved, func(n int) bool {
		return !limit.Allows(used, size, n+1)
	})
}

// bindTogether places the first tasks of a candidate, which start together. It reports whether
// machines were found for all of them.
func (l *leader) bindTogether(tree *topology.Tree, candidate *candidate, count int, policy imagePolicy) bool {
	defer l.countEvaluations(tree)()
	job, tasks := candidate.job, candidate.pending[:count]
	request := l.placementRequest(job, tasks, policy)
	leaves := tree.Place(request)
	if leaves == nil {
		return false
	}
	if l.gangWaitExceeded(job, l.machinesOf(leaves)) {
		leaves = l.placePullingTogether(tree, request, job, leaves)
	}
	l.bindTasks(job, tasks, l.machinesOf(leaves))
	return true
}

// machinesOf lists the machines that leaves of the pass's tree represent.
func (l *leader) machinesOf(leaves []*topology.Machine) []*cluster.Machine {
	machines := make([]*cluster.Machine, len(leaves))
	for i, leaf := range leaves {
		machines[i] = l.passes.machines[leaf.Index]
	}
	return machines
}

// placementRequest asks for machines for tasks of a job that start together.
func (l *leader) placementRequest(job *cluster.Job, tasks []int, policy imagePolicy) topology.Request {
	maxPullS := l.core.maxPullTime(job.Class)
	request := topology.Request{
		Task:      cluster.TaskSize(&job.Job),
		Count:     len(tasks),
		Required:  topology.LevelRoot,
		ZoneBound: l.zoneBound(job),
		Allowed: func(leaf *topology.Machine) bool {
			return l.passesFilters(job, l.passes.machines[leaf.Index], policy, maxPullS)
		},
		MachineBound: func(leaf *topology.Machine) int {
			return l.passes.machines[leaf.Index].TaskRowsLeft()
		},
		Penalty: func(leaf *topology.Machine) int {
			if m := job.ReschedulingTargets[tasks[0]]; m != nil && m.Name == leaf.Name {
				return penaltyReschedulingTarget
			}
			return l.machinePenalty(job, l.passes.machines[leaf.Index], maxPullS)
		},
	}
	if job.OneZone {
		request.Required = topology.LevelZone
	}
	return request
}

// bindTasks places tasks that start together on machines, given in their order. The tasks of a
// gang share an attempt.
func (l *leader) bindTasks(job *cluster.Job, tasks []int, machines []*cluster.Machine) {
	if job.Shape == wire.ShapeGang {
		for i, index := range tasks {
			l.bindTask(job, index, machines[i], job.NextAttempt)
		}
		job.NextAttempt++
		return
	}
	for i, index := range tasks {
		attempt := job.NextAttempt
		job.NextAttempt++
		l.bindTask(job, index, machines[i], attempt)
	}
}

// bindTask places a task on a machine for an attempt.
func (l *leader) bindTask(job *cluster.Job, index int, machine *cluster.Machine, attempt uint64) {
	task := &job.TaskStates[index]
	task.Attempt = attempt
	task.Zone = machine.Zone
	task.Incarnation = machine.Incarnation
	task.PlacedThisTerm = true
	task.PlacedAt = l.core.now
	delete(job.ReschedulingTargets, index)
	l.place(job, index, machine)
	machine.BeginPull(job.Image, job.ImageGB, l.core.now)
	l.writer.MarkPlacement(job, index)
	if machine.ReservedFor == job {
		if machine.ReservedTasks--; machine.ReservedTasks < 1 {
			machine.ReservedFor = nil
		}
	}
	l.core.log.Debug("task placed", "task", cluster.TaskName(job.ID, index), "attempt", attempt,
		"machine", machine.Name, "image_cached", machine.HasImage(job.Image))
}
