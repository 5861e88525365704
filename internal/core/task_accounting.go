package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// place makes a task count on a machine: with what it uses there, and in its team's limit.
func (l *leader) place(j *cluster.Job, i int, m *cluster.Machine) {
	t := &j.TaskStates[i]
	t.Machine = m
	m.AddTask(cluster.NewTaskReference(j, i))
	m.AdjustUsage(j, 1)
	if !l.bestEffortTeams[j.Team] {
		m.GuaranteedTasks++
	}
	l.teamUsage.add(j, 1)
	j.TasksPlaced++
}

// unplace ends the counting of a task. termination.go alone decides when it may.
func (l *leader) unplace(j *cluster.Job, i int) {
	t := &j.TaskStates[i]
	m := t.Machine
	m.RemoveTask(j, i)
	m.AdjustUsage(j, -1)
	if !l.bestEffortTeams[j.Team] {
		m.GuaranteedTasks--
		m.GuaranteedUntil = l.core.now
	}
	l.teamUsage.add(j, -1)
	if len(m.Placements) == 0 {
		m.ClearUsage()
		m.IdleSince = l.core.now
	}
	j.TasksPlaced--
	done := t.Done
	*t = cluster.Task{Done: done}
	l.writer.MarkPlacementDeferred(j, i)
	l.passes.requested = true
}

// markDone records that a task is certainly done.
func (l *leader) markDone(j *cluster.Job, i int) {
	if !j.TaskStates[i].Done {
		j.TaskStates[i].Done = true
		j.TasksDone++
		l.writer.MarkPlacementDeferred(j, i)
	}
}

// forget drops a job whose end is on record. Copies of its tasks that still count on machines
// do so until they have certainly terminated.
func (l *leader) forget(j *cluster.Job) {
	l.DropJob(j)
	delete(l.cancelledJobs, j.ID)
	delete(l.dependencyLists.unread, j.ID)
	l.outliers.ForgetJob(j.ID)
	var dependencies []string
	l.dependencies.EachDependency(j.ID, func(a string) { dependencies = append(dependencies, a) })
	l.dependencies.DropDependencies(j.ID)
	for _, id := range dependencies {
		if dependency := l.Jobs[id]; dependency != nil && dependency.Cancellation.Requested() && !l.dependencies.HasDependents(id) {
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, dependency)
			l.writer.MarkDirty()
		}
	}
	if !j.Cancellation.Requested() { // else they were updated when it was cancelled
		l.recomputeUrgency(dependencies)
	}
	l.passes.requested = true
}

// jobCounts lists the counts of unfinished jobs for the other controllers, which answer users'
// queries with them.
func (l *leader) jobCounts() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.JobsBySubmission))
	for _, j := range l.JobsBySubmission {
		if n := l.jobCount(j); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

// jobCount counts the tasks of a job that are done and running.
func (l *leader) jobCount(j *cluster.Job) wire.JobCount {
	n := wire.JobCount{ID: j.ID, Done: j.TasksDone}
	if j.TasksPlaced == 0 {
		return n
	}
	for i := range j.TaskStates {
		if j.TaskStates[i].State == wire.TaskRunning {
			n.Running++
		}
	}
	return n
}

// jobCountByID is jobCount for a job by its id; zero for one that is not known.
func (l *leader) jobCountByID(id string) wire.JobCount {
	if j := l.Jobs[id]; j != nil {
		return l.jobCount(j)
	}
	return wire.JobCount{ID: id}
}
