package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// place assigns a task to a machine and adds the task to the usage of the machine and of its team.
func (l *leader) place(job *cluster.Job, index int, machine *cluster.Machine) {
	task := &job.TaskStates[index]
	task.Machine = machine
	machine.AddTask(cluster.NewTaskReference(job, index))
	machine.AdjustUsage(job, 1)
	if !l.bestEffortTeams[job.Team] {
		machine.GuaranteedTasks++
	}
	l.teamUsage.add(job, 1)
	job.TasksPlaced++
}

// unplace removes a task from its machine and from the usage of the machine and of its team. For a
// task that may have run, only termination.go calls it; stopTask calls it for a task whose start
// was never sent.
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

// markDone records that a task is confirmed to be done.
func (l *leader) markDone(job *cluster.Job, index int) {
	if !job.TaskStates[index].Done {
		job.TaskStates[index].Done = true
		job.TasksDone++
		l.writer.MarkPlacementDeferred(job, index)
	}
}

// forgetJob removes a job whose end is recorded. Its tasks that are still placed on machines count
// there until they are confirmed to have terminated.
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
	if !job.Cancellation.Requested() { // otherwise the urgency was recomputed when the job was cancelled
		l.recomputeUrgency(dependencies)
	}
	l.passes.requested = true
}

// jobCounts returns the task counts of unfinished jobs, for the other controllers to answer users'
// queries. Jobs without running or completed tasks are left out.
func (l *leader) jobCounts() []wire.JobCount {
	counts := make([]wire.JobCount, 0, len(l.JobsBySubmission))
	for _, job := range l.JobsBySubmission {
		if count := l.jobCount(job); count.Done+count.Running > 0 {
			counts = append(counts, count)
		}
	}
	return counts
}

// jobCount returns how many tasks of a job are done and how many are running.
func (l *leader) jobCount(job *cluster.Job) wire.JobCount {
	count := wire.JobCount{ID: job.ID, Done: job.TasksDone}
	if job.TasksPlaced == 0 {
		return count
	}
	for i := range job.TaskStates {
		if job.TaskStates[i].State == wire.TaskRunning {
			count.Running++
		}
	}
	return count
}

// jobCountByID returns the jobCount of the job with the given ID; zero counts if it is not known.
func (l *leader) jobCountByID(id string) wire.JobCount {
	if job := l.Jobs[id]; job != nil {
		return l.jobCount(job)
	}
	return wire.JobCount{ID: id}
}
