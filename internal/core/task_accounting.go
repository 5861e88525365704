package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// place counts a task on a machine: in what is used there, and against its team's limit.
func (l *leader) place(job *cluster.Job, index int, machine *cluster.Machine) {
	t := &job.TaskStates[index]
	t.Machine = machine
	machine.AddTask(cluster.NewTaskReference(job, index))
	machine.AdjustUsage(job, 1)
	if !l.bestEffortTeams[job.Team] {
		machine.GuaranteedTasks++
	}
	l.teamUsage.add(job, 1)
	job.TasksPlaced++
}

// unplace ends the counting of a task. termination.go alone calls it for a task that may have run;
// stopTask does for one whose start was never sent.
func (l *leader) unplace(job *cluster.Job, index int) {
	task := &job.TaskStates[index]
	machine := task.Machine
	machine.RemoveTask(job, index)
	machine.AdjustUsage(job, -1)
	if !l.bestEffortTeams[job.Team] {
		machine.GuaranteedTasks--
		machine.GuaranteedUntil = l.core.now
	}
	l.teamUsage.add(job, -1)
	if len(machine.Placements) == 0 {
		machine.ClearUsage()
		machine.IdleSince = l.core.now
	}
	job.TasksPlaced--
	done := task.Done
	*task = cluster.Task{Done: done}
	l.writer.MarkPlacementDeferred(job, index)
	l.passes.requested = true
}

// markDone records that a task is certainly done.
func (l *leader) markDone(job *cluster.Job, index int) {
	if !job.TaskStates[index].Done {
		job.TaskStates[index].Done = true
		job.TasksDone++
		l.writer.MarkPlacementDeferred(job, index)
	}
}

// forgetJob drops a job whose end is on record. Copies of its tasks that still count on machines
// do so until they have certainly terminated.
func (l *leader) forgetJob(job *cluster.Job) {
	l.DropJob(job)
	delete(l.cancelledJobs, job.ID)
	delete(l.dependencyLists.unread, job.ID)
	l.outliers.ForgetJob(job.ID)
	dependencies := l.dependencies.Dependencies(job.ID)
	l.dependencies.DropDependencies(job.ID)
	for _, id := range dependencies {
		if dependency := l.Jobs[id]; dependency != nil && dependency.Cancellation.Requested() && !l.dependencies.HasDependents(id) {
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, dependency)
			l.writer.MarkDirty()
		}
	}
	if !job.Cancellation.Requested() { // else they were updated when it was cancelled
		l.recomputeUrgency(dependencies)
	}
	l.passes.requested = true
}

// jobCounts lists the counts of unfinished jobs for the other controllers, which answer users'
// queries with them.
func (l *leader) jobCounts() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.JobsBySubmission))
	for _, job := range l.JobsBySubmission {
		if n := l.jobCount(job); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

// jobCount counts the tasks of a job that are done and running.
func (l *leader) jobCount(job *cluster.Job) wire.JobCount {
	n := wire.JobCount{ID: job.ID, Done: job.TasksDone}
	if job.TasksPlaced == 0 {
		return n
	}
	for i := range job.TaskStates {
		if job.TaskStates[i].State == wire.TaskRunning {
			n.Running++
		}
	}
	return n
}

// jobCountByID is jobCount for a job by its id; zero for one that is not known.
func (l *leader) jobCountByID(id string) wire.JobCount {
	if job := l.Jobs[id]; job != nil {
		return l.jobCount(job)
	}
	return wire.JobCount{ID: id}
}
