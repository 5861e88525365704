package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// A job with unfinished dependencies only has a node in the dependency graph (package depgraph): it
// is pending, does not count toward its team's limit and guarantee, and none of its tasks may be
// placed. It is ready once its open record has a ReadyAt. The leader writes ReadyAt after it has
// read or written the ends of all dependencies as done, on the condition that their open records no
// longer exist. Every placement is conditional on the version of the job's open record, so that no
// start depends on a leader's in-memory state of the dependencies.
//
// The cancellation of a job also cancels all its direct and indirect dependents. They have no
// running tasks, so their ends are recorded immediately. The end of the job itself is recorded, and
// its user is answered, when no dependent is left. The next leader reads from the record that the
// job is cancelled and continues.

// dependencyLookups is the state of the lookups of dependencies that are not among the open jobs.
type dependencyLookups struct {
	dueAt   map[string]time.Duration // by job ID; time of the next lookup
	running int                      // lookups in progress
}

// addDependencies adds a new job to the graph.
func (l *leader) addDependencies(job *cluster.Job) {
	if job.Record.ReadyAt != 0 {
		// All dependencies are done. The waiting time counts from then: the time spent waiting
		// for dependencies must not count as time spent waiting for machines.
		job.WaitingSinceMS = job.Record.ReadyAt
	}
	if len(job.Dependencies) == 0 || job.Record.ReadyAt != 0 {
		l.recordArrival(job)
		return
	}
	job.AwaitingDependencies = true
	if ref, ok := records.ParseDependencyListRef(job.Dependencies); ok {
		job.DependencyList, job.Dependencies = ref, nil
		l.readDependencyList(job)
		return
	}
	l.addDependencyNames(job, job.Dependencies)
}

// addDependencyNames adds the dependencies of a new job to the graph.
func (l *leader) addDependencyNames(job *cluster.Job, names []string) {
	job.Dependencies = names
	l.dependencies.Add(job.ID, names)
	l.core.log.Debug("job dependencies", "job", job.ID, "dependencies", names)
	if l.recordsLoaded {
		// During the load of records only the total number of waiting jobs is logged.
		l.core.log.Info("job waits for dependencies", "job", job.ID, "count", len(job.Dependencies))
		l.resolveDependencies(job)
		l.propagateUrgency(job)
	}
}

// resolveDependencies determines the states of a new job's dependencies: it looks up those that are
// not open, and cancels the job and its dependents if a dependency is cancelled.
func (l *leader) resolveDependencies(job *cluster.Job) {
	if !job.AwaitingDependencies || job.Cancellation.Requested() {
		return
	}
	for _, id := range job.Dependencies {
		switch dependency := l.Jobs[id]; {
		case dependency == nil:
			l.lookUpDependency(id)
		case dependency.Cancellation.Requested() && !job.Cancellation.Requested():
			// Only this job and its dependents are cancelled here. The dependency's other
			// dependents are handled when they are resolved.
			l.cancelWithDependency([]string{job.ID}, id)
			l.cancelDependents(job.ID)
		}
	}
}

// lookUpDependency looks up the record of a dependency that is not among the open jobs, usually
// because its end is recorded.
func (l *leader) lookUpDependency(id string) {
	if _, ok := l.lookups.dueAt[id]; ok || !l.dependencies.HasDependents(id) {
		return
	}
	if l.lookups.running >= l.core.frontEnd.MaxWaitingRequests()/8 {
		l.lookups.dueAt[id] = l.core.now // leaves lookup capacity for users' requests
		return
	}
	l.lookups.running++
	l.lookups.dueAt[id] = math.MaxInt64
	l.core.frontEnd.Lookup(id, func(result frontend.LookupResult) {
		l.lookups.running--
		if !l.steppedDown {
			l.applyDependencyLookup(id, result)
		}
	})
}

// applyDependencyLookup applies the result of a lookup. A lookup that failed or found no record is
// repeated.
func (l *leader) applyDependencyLookup(id string, result frontend.LookupResult) {
	switch {
	case result.Final != nil:
		delete(l.lookups.dueAt, id)
		l.dependencyEnded(id, result.Final.Status)
	case result.Open != nil:
		delete(l.lookups.dueAt, id)
		l.applyOpenRecord(id, result.Open.Version, result.Open.Record)
	default:
		l.lookups.dueAt[id] = l.core.now + l.core.leaderLeaseDuration()/8
	}
}

// tickDependencies starts the lookups that are due.
func (l *leader) tickDependencies() {
	for _, id := range sortedKeys(l.lookups.dueAt) {
		if l.core.now >= l.lookups.dueAt[id] {
			delete(l.lookups.dueAt, id)
			l.lookUpDependency(id)
		}
	}
}

// dependencyEnded updates the dependents of a job whose end is recorded. If the job is done, it
// marks those whose dependencies are all done, so that their ReadyAt is written. Otherwise it
// cancels all of them.
func (l *leader) dependencyEnded(id string, status wire.JobState) {
	if l.dependencies.HasDependents(id) {
		l.core.log.Debug("dependency ended", "job", id, "status", status)
	}
	if status != wire.StatusDone {
		l.cancelDependents(id)
		return
	}
	for _, dependent := range l.dependencies.MarkDone(id) {
		if job := l.Jobs[dependent]; job != nil && job.AwaitingDependencies && !job.Cancellation.Requested() {
			job.DependenciesDone = true
			l.writer.MarkDirty()
		}
	}
}

// markReady makes a job ready once its open record has a ReadyAt: all its dependencies are done.
func (l *leader) markReady(job *cluster.Job) {
	if !job.AwaitingDependencies || job.Record.ReadyAt == 0 {
		return
	}
	l.core.log.Info("job ready", "job", job.ID)
	job.AwaitingDependencies, job.DependenciesDone = false, false
	job.WaitingSinceMS = job.Record.ReadyAt
	l.dependencies.DropDependencies(job.ID)
	l.recordArrival(job)
	l.passes.requested = true
}

// cancelDependents cancels all direct and indirect dependents of a cancelled job. It does not
// follow dependents that are cancelled already, since their own dependents are too.
func (l *leader) cancelDependents(id string) {
	l.cancelWithDependency(l.dependencies.TransitiveDependents(id, func(dependent string) bool {
		job := l.Jobs[dependent]
		return job != nil && !job.Cancellation.Requested()
	}), id)
}

// cancelWithDependency cancels jobs because a dependency of theirs is cancelled.
func (l *leader) cancelWithDependency(ids []string, dependency string) {
	var affected []string
	for _, id := range ids {
		l.core.log.Info("job cancelled", "job", id, "dependency", dependency)
		l.markCancelled(l.Jobs[id])
		affected = append(affected, l.dependencies.Dependencies(id)...)
	}
	l.recomputeUrgency(affected)
}

// hasUnfinishedDependents reports whether a job has, or may have, dependents that have not ended.
func (l *leader) hasUnfinishedDependents(id string) bool {
	if job := l.Jobs[id]; job != nil && l.mayHaveUnknownDependents(job) {
		return true
	}
	return l.dependencies.AnyDependent(id, func(dependent string) bool {
		job := l.Jobs[dependent]
		return job != nil && !job.EndRecorded && !job.EndWritePending
	})
}

// mayHaveUnknownDependents reports whether a job may have dependents that are not known yet,
// because some dependency lists have not been read.
func (l *leader) mayHaveUnknownDependents(job *cluster.Job) bool {
	return job.Record.HasDependents && len(l.dependencyLists.unread) > 0
}
