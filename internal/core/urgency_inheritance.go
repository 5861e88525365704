package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/depgraph"
)

// A dependency inherits the highest priority of its dependents and the deadline by which it must be
// done for the rest of the chain to meet its deadline, if they are more urgent than its own. Users
// set both on the last job of a chain only.

// propagateUrgency propagates the urgency of jobs to their dependencies. A dependency is visited
// after all of its changed dependents, and therefore only once. A traversal along every path would
// visit a job of a layered graph once for each path that leads to it.
func (l *leader) propagateUrgency(dependents ...*cluster.Job) {
	var changed depgraph.Worklist
	for _, job := range dependents {
		changed.Add(job.ID, l.dependencies.Level(job.ID))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		job := l.Jobs[id]
		if job == nil || job.Cancellation.Requested() || !job.AwaitingDependencies {
			continue
		}
		deadline := job.Deadline - l.runEstimate(job)
		l.dependencies.EachDependency(id, func(other string) {
			dependency := l.Jobs[other]
			if dependency == nil || dependency.Cancellation.Requested() {
				return
			}
			if dependency.Level >= job.Level && dependency.Deadline <= deadline {
				return
			}
			l.setUrgency(dependency, max(dependency.Level, job.Level), min(dependency.Deadline, deadline))
			l.queueDependency(&changed, id, other)
		})
	}
}

// recomputeUrgency recomputes the urgency of jobs and of their dependencies, after a dependent of
// the jobs has ended or was cancelled.
func (l *leader) recomputeUrgency(ids []string) {
	var changed depgraph.Worklist
	for _, id := range ids {
		changed.Add(id, l.dependencies.Level(id))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		job := l.Jobs[id]
		if job == nil || job.Cancellation.Requested() || hasOwnUrgency(job) {
			continue
		}
		level, deadline := l.inheritedUrgency(job)
		if level == job.Level && deadline == job.Deadline {
			continue
		}
		l.setUrgency(job, level, deadline)
		l.dependencies.EachDependency(id, func(other string) { l.queueDependency(&changed, id, other) })
	}
}

// hasOwnUrgency reports whether a job has its own priority and deadline and inherits neither.
func hasOwnUrgency(job *cluster.Job) bool {
	return job.Level == cluster.PriorityLevel[job.Priority] && job.Deadline == cluster.OwnDeadline(&job.Record)
}

// queueDependency queues a dependency of a job whose urgency has changed. A dependency that is not
// on a lower level of the graph is part of a cycle, which only corrupt records contain, and is left
// out.
func (l *leader) queueDependency(changed *depgraph.Worklist, id, dependency string) {
	if level := l.dependencies.Level(dependency); level < l.dependencies.Level(id) {
		changed.Add(dependency, level)
	}
}

// inheritedUrgency returns the highest priority level and the earliest deadline that a job has by
// itself or inherits from its dependents. The deadline is a wall-clock time in seconds.
func (l *leader) inheritedUrgency(job *cluster.Job) (level int, deadline float64) {
	level, deadline = cluster.PriorityLevel[job.Priority], cluster.OwnDeadline(&job.Record)
	l.dependencies.EachDependent(job.ID, func(id string) {
		if dependent := l.Jobs[id]; dependent != nil && !dependent.Cancellation.Requested() {
			level = max(level, dependent.Level)
			deadline = min(deadline, dependent.Deadline-l.runEstimate(dependent))
		}
	})
	return level, deadline
}

// setUrgency changes a job's priority level and deadline.
func (l *leader) setUrgency(job *cluster.Job, level int, deadline float64) {
	if level != job.Level {
		setPriority(job, level)
	}
	job.Deadline = deadline
	l.passes.requested = true
}

// setPriority changes a job's priority level, and the usage by level of the job's machines.
func setPriority(job *cluster.Job, level int) {
	for i := range job.TaskStates {
		if m := job.TaskStates[i].Machine; m != nil {
			m.AdjustUsage(job, -1)
		}
	}
	job.Level = level
	for i := range job.TaskStates {
		if m := job.TaskStates[i].Machine; m != nil {
			m.AdjustUsage(job, 1)
		}
	}
}
