package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// A job with dependencies that are not done is a node of the dependency graph (package
// depgraph) and nothing else: it is pending, outside its team's limit and guarantee, and none of
// its tasks may be placed. It is ready when its open record says so (ReadyAt), which is written on
// the condition that its dependencies have no open records any more, after their ends were read or
// written as done. Every placement is conditional on that record in turn, so that no start relies
// on what a leader remembers of an end.
//
// A cancellation cancels all dependents, direct or not. They have no tasks, so their ends are
// recorded at once; the end of the job itself, and with it the answer to its user, follows when no
// dependent is left. The next leader finds the job cancelled and continues where the last one
// stopped.

// dependencyLookups is the state of look-ups of dependencies whose end is on record.
type dependencyLookups struct {
	dueAt   map[string]time.Duration // jobs to look up; when next
	running int
}

// addDependencies adds a new job to the graph.
func (l *leader) addDependencies(job *cluster.Job) {
	if job.Record.ReadyAt != 0 {
		// The end of the last dependency is on record: counted from the submission, the
		// waiting time would be far too long.
		job.WaitingSinceMS = job.Record.ReadyAt
	}
	if len(job.Dependencies) == 0 || job.Record.ReadyAt != 0 {
		l.recordArrival(job)
		return
	}
	job.AwaitingDependencies = true
	if ref, ok := records.ParseDependencyListRef(job.Dependencies); ok {
		job.DependencyList, job.Dependencies = ref, nil
		l.readList(job)
		return
	}
	l.addDependencyNames(job, job.Dependencies)
}

// addDependencyNames records the dependencies of a new job.
func (l *leader) addDependencyNames(job *cluster.Job, names []string) {
	job.Dependencies = names
	l.dependencies.Add(job.ID, names)
	l.core.log.Debug("job dependencies", "job", job.ID, "dependencies", names)
	if l.recordsLoaded {
		// While records are loaded, only the number of waiting jobs is logged.
		l.core.log.Info("job waits for dependencies", "job", job.ID, "count", len(job.Dependencies))
		l.resolveDependencies(job)
		l.propagateUrgency(job)
	}
}

// resolveDependencies finds out what has become of the dependencies of a new job.
func (l *leader) resolveDependencies(job *cluster.Job) {
	if !job.AwaitingDependencies || job.Cancellation.Requested() {
		return
	}
	for _, id := range job.Dependencies {
		switch dependency := l.Jobs[id]; {
		case dependency == nil:
			l.lookUpDependency(id)
		case dependency.Cancellation.Requested() && !job.Cancellation.Requested():
			// The other dependents of the cancelled job are resolved by themselves.
			l.cancelWith([]string{job.ID}, id)
			l.cancelDependents(job.ID)
		}
	}
}

// lookUpDependency looks up a dependency that is not among the open jobs: its end is on record.
func (l *leader) lookUpDependency(id string) {
	if _, ok := l.lookups.dueAt[id]; ok || !l.dependencies.HasDependents(id) {
		return
	}
	if l.lookups.running >= l.core.frontEnd.MaxWaitingRequests()/8 {
		l.lookups.dueAt[id] = l.core.now // users' requests share the same calls
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

// applyDependencyLookup applies the result of a look-up; one without any is repeated.
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

// tickDependencies begins the look-ups that are due.
func (l *leader) tickDependencies() {
	for _, id := range sortedKeys(l.lookups.dueAt) {
		if l.core.now >= l.lookups.dueAt[id] {
			delete(l.lookups.dueAt, id)
			l.lookUpDependency(id)
		}
	}
}

// dependencyEnded applies that a job's end is on record: jobs all of whose dependencies are done
// become ready; those that depend on a job that is not done are cancelled.
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

// markReady makes a job ready once its open record says that its dependencies are done.
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

// cancelDependents cancels all jobs that depend on a cancelled one. The dependents of a job that
// was cancelled before are cancelled already.
func (l *leader) cancelDependents(id string) {
	l.cancelWith(l.dependencies.TransitiveDependents(id, func(dependent string) bool {
		job := l.Jobs[dependent]
		return job != nil && !job.Cancellation.Requested()
	}), id)
}

// cancelWith cancels jobs together with a dependency.
func (l *leader) cancelWith(ids []string, dependency string) {
	var affected []string
	for _, id := range ids {
		l.core.log.Info("job cancelled", "job", id, "dependency", dependency)
		l.markCancelled(l.Jobs[id])
		affected = append(affected, l.dependencies.Dependencies(id)...)
	}
	l.recomputeUrgency(affected)
}

// hasLiveDependents reports whether any dependent of a job has not ended, or may not have.
func (l *leader) hasLiveDependents(id string) bool {
	if job := l.Jobs[id]; job != nil && l.mayHaveUnknownDependents(job) {
		return true
	}
	return l.dependencies.AnyDependent(id, func(dependent string) bool {
		job := l.Jobs[dependent]
		return job != nil && !job.EndRecorded && !job.EndWritePending
	})
}

// mayHaveUnknownDependents reports whether a job may have dependents that are not known yet, since
// a list of dependencies is still to be read.
func (l *leader) mayHaveUnknownDependents(job *cluster.Job) bool {
	return job.Record.HasDependents && len(l.dependencyLists.unread) > 0
}
