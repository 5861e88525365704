package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/depgraph"
)

// A dependency inherits the highest priority of its dependents, and the deadline by which it has
// to be done so that the rest of the chain can be, where they are more urgent than its own: users
// set both on the last job only.

// propagateUrgency lets the dependencies of jobs inherit their urgency. A dependency is handled
// after all of its dependents that change, and so once: followed along each path, a job of a
// layered graph would be handled as often as there are paths.
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

// recomputeUrgency works out the urgency of jobs, and of their dependencies, after a dependent of
// theirs has ended or was cancelled.
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

// hasOwnUrgency reports whether a job has inherited nothing.
func hasOwnUrgency(job *cluster.Job) bool {
	return job.Level == cluster.PriorityLevel[job.Priority] && job.Deadline == cluster.OwnDeadline(&job.Record)
}

// queueDependency queues a dependency of a job that has changed.
func (l *leader) queueDependency(changed *depgraph.Worklist, id, dependency string) {
	if level := l.dependencies.Level(dependency); level < l.dependencies.Level(id) {
		changed.Add(dependency, level)
	}
}

// inheritedUrgency returns the priority level and the deadline of a job, of its own and those of
// its dependents. The deadline is a time of day in seconds.
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

// setPriority changes a job's priority level, and what its machines count by level.
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
