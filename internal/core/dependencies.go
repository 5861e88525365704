package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/depgraph"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// A job that awaits others holds its place in the dependency graph
// (package depgraph) and nothing else: it is pending, outside its team's limit
// and guarantee, and none of its tasks may be placed. It goes on when its open
// record says so (ReadyAt), which is written on the condition that the open
// records of the jobs it awaited are gone, after their ends were read or written
// as done. Every placement is conditional on that record in turn, so no start
// rests on a leader's memory of an end.
//
// A cancellation takes all dependents along, nearest or not. They have no tasks,
// so their ends are recorded at once; the end of the job itself, and with it the
// answer to its user, follows when none of them is left. A next leader finds the
// job cancelled and goes on where the last one stopped.

// addDependencies enters a new job into the graph.
func (l *leader) addDependencies(job *cluster.Job) {
	if job.Record.ReadyAt != 0 {
		// The end of the last one is on record: a leader that counted its waiting
		// from the submission would take it for one that waits far too long.
		job.WaitingSinceMS = job.Record.ReadyAt
	}
	if len(job.Dependencies) == 0 || job.Record.ReadyAt != 0 {
		l.recordArrival(job)
		return
	}
	job.Waiting = true
	if ref, ok := records.ParseDependencyListRef(job.Dependencies); ok {
		job.DependencyList, job.Dependencies = ref, nil
		l.readList(job)
		return
	}
	l.addDependencyNames(job, job.Dependencies)
}

// addDependencyNames takes in which jobs a new job awaits.
func (l *leader) addDependencyNames(j *cluster.Job, names []string) {
	j.Dependencies = names
	l.dependencies.Add(j.ID, names)
	l.core.log.Debug("job waits for", "job", j.ID, "awaited", names)
	if l.recordsLoaded {
		// A leader that takes over tells how many wait with the records loaded.
		l.core.log.Info("job waits", "job", j.ID, "for", len(j.Dependencies))
		l.resolveDependencies(j)
		l.propagateUrgency(j)
	}
}

// resolveDependencies finds out what has become of the jobs that a new job awaits.
func (l *leader) resolveDependencies(job *cluster.Job) {
	if !job.Waiting || job.Cancellation.Requested() {
		return
	}
	for _, a := range job.Dependencies {
		switch x := l.Jobs[a]; {
		case x == nil:
			l.lookUpDependency(a)
		case x.Cancellation.Requested() && !job.Cancellation.Requested():
			// Not all that needs the cancelled one: each of them comes here.
			l.cancelWith([]string{job.ID}, a)
			l.cancelDependents(job.ID)
		}
	}
}

// dependencyLookups is what the leader keeps of its look-ups of awaited jobs.
type dependencyLookups struct {
	dueAt   map[string]time.Duration // jobs that are being looked up; when next
	running int
}

// lookUpDependency looks up an awaited job that is not among the open ones: its end
// is on record.
func (l *leader) lookUpDependency(id string) {
	if _, ok := l.lookups.dueAt[id]; ok || !l.dependencies.Needed(id) {
		return
	}
	if l.lookups.running >= l.core.frontEnd.MaxWaiting()/8 {
		l.lookups.dueAt[id] = l.core.now // users' questions go the same way
		return
	}
	l.lookups.running++
	l.lookups.dueAt[id] = math.MaxInt64
	l.core.frontEnd.Lookup(id, func(result frontend.LookupResult) {
		l.lookups.running--
		switch {
		case l.steppedDown:
		case result.Final != nil:
			delete(l.lookups.dueAt, id)
			l.dependencyEnded(id, result.Final.Status)
		case result.Open != nil:
			delete(l.lookups.dueAt, id)
			l.applyOpenRecord(id, result.Open.Version, result.Open.Record)
		default:
			l.lookups.dueAt[id] = l.core.now + l.core.leaderLeaseDuration()/8
		}
	})
}

// tickDependencies looks again where no answer came.
func (l *leader) tickDependencies() {
	for _, id := range sortedKeys(l.lookups.dueAt) {
		if l.core.now >= l.lookups.dueAt[id] {
			delete(l.lookups.dueAt, id)
			l.lookUpDependency(id)
		}
	}
}

// dependencyEnded takes in that a job's end is on record: its dependents go on, or
// end with it.
func (l *leader) dependencyEnded(id string, status wire.JobState) {
	if l.dependencies.Needed(id) {
		l.core.log.Debug("awaited job over", "job", id, "status", status)
	}
	if status != wire.StatusDone {
		l.cancelDependents(id)
		return
	}
	for _, y := range l.dependencies.Done(id) {
		if j := l.Jobs[y]; j != nil && j.Waiting && !j.Cancellation.Requested() {
			j.DependenciesDone = true
			l.writer.MarkDirty()
		}
	}
}

// markReady takes in what an open record says of the jobs that were awaited.
func (l *leader) markReady(j *cluster.Job) {
	if !j.Waiting || j.Record.ReadyAt == 0 {
		return
	}
	l.core.log.Info("job goes on", "job", j.ID)
	j.Waiting, j.DependenciesDone = false, false
	j.WaitingSinceMS = j.Record.ReadyAt
	l.dependencies.Drop(j.ID)
	l.recordArrival(j)
	l.passes.requested = true
}

// cancelDependents cancels all jobs that need a cancelled one. What a job needs that
// was cancelled before is cancelled already.
func (l *leader) cancelDependents(id string) {
	l.cancelWith(l.dependencies.After(id, func(y string) bool {
		j := l.Jobs[y]
		return j != nil && !j.Cancellation.Requested()
	}), id)
}

// cancelWith cancels jobs with one that they need.
func (l *leader) cancelWith(ids []string, with string) {
	var before []string
	for _, id := range ids {
		l.core.log.Info("job cancelled", "job", id, "with", with)
		l.markCancelled(l.Jobs[id])
		l.dependencies.EachAwaited(id, func(a string) { before = append(before, a) })
	}
	l.recomputeUrgency(before)
}

// hasLiveDependents tells whether any dependent of a job is not over, or may not be.
func (l *leader) hasLiveDependents(id string) bool {
	if j := l.Jobs[id]; j != nil && l.mayHaveUnknownDependents(j) {
		return true
	}
	return l.dependencies.AnyDependent(id, func(y string) bool {
		j := l.Jobs[y]
		return j != nil && !j.EndRecorded && !j.EndWritePending
	})
}

// mayHaveUnknownDependents tells whether a job may have dependents that are not known yet,
// since a list of awaited jobs is still to be read.
func (l *leader) mayHaveUnknownDependents(j *cluster.Job) bool {
	return j.Record.HasDependents && len(l.dependencyLists.unread) > 0
}

// propagateUrgency gives the jobs that others need the highest priority among these, and the
// time by which they have to be done so that the rest of the chain can be, if
// either is more urgent than their own: users name both on the last job only. A
// job is looked at after all of its dependents that change, and so once: taken up
// by way of each path, a job of a layered graph would be looked at as often as
// there are paths.
func (l *leader) propagateUrgency(dependents ...*cluster.Job) {
	var changed depgraph.Worklist
	for _, job := range dependents {
		changed.Add(job.ID, l.dependencies.Level(job.ID))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		job := l.Jobs[id]
		if job == nil || job.Cancellation.Requested() || !job.Waiting {
			continue
		}
		due := job.Deadline - l.runEstimate(job)
		l.dependencies.EachAwaited(id, func(a string) {
			x := l.Jobs[a]
			if x == nil || x.Cancellation.Requested() || x.Level >= job.Level && x.Deadline <= due {
				return
			}
			l.setUrgency(x, max(x.Level, job.Level), min(x.Deadline, due))
			l.queueDependency(&changed, id, a)
		})
	}
}

// recomputeUrgency finds out what jobs are left with when one that needed them is not
// there any more, or is cancelled.
func (l *leader) recomputeUrgency(ids []string) {
	var changed depgraph.Worklist
	for _, id := range ids {
		changed.Add(id, l.dependencies.Level(id))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		j := l.Jobs[id]
		if j == nil || j.Cancellation.Requested() || j.Level == cluster.PriorityLevel[j.Priority] && j.Deadline == cluster.OwnDeadline(&j.Record) {
			continue
		}
		rank, due := l.inheritedUrgency(j)
		if rank == j.Level && due == j.Deadline {
			continue
		}
		l.setUrgency(j, rank, due)
		l.dependencies.EachAwaited(id, func(a string) { l.queueDependency(&changed, id, a) })
	}
}

// queueDependency has an awaited job looked at after a job that has changed.
func (l *leader) queueDependency(changed *depgraph.Worklist, id, awaited string) {
	if level := l.dependencies.Level(awaited); level < l.dependencies.Level(id) {
		changed.Add(awaited, level)
	}
}

// inheritedUrgency returns the rank of a job and the time by which it has to be done, as its
// user and its dependents want it.
func (l *leader) inheritedUrgency(j *cluster.Job) (rank int, due float64) {
	rank, due = cluster.PriorityLevel[j.Priority], cluster.OwnDeadline(&j.Record)
	l.dependencies.EachDependent(j.ID, func(y string) {
		if o := l.Jobs[y]; o != nil && !o.Cancellation.Requested() {
			rank, due = max(rank, o.Level), min(due, o.Deadline-l.runEstimate(o))
		}
	})
	return rank, due
}

// setUrgency changes a job's rank and the time by which it has to be done.
func (l *leader) setUrgency(j *cluster.Job, rank int, due float64) {
	if rank != j.Level {
		l.setPriority(j, rank)
	}
	j.Deadline = due
	l.passes.requested = true
}

// setPriority changes a job's rank, and with it what machines count by rank.
func (l *leader) setPriority(job *cluster.Job, rank int) {
	for i := range job.TaskStates {
		if m := job.TaskStates[i].Machine; m != nil {
			m.AdjustUsage(job, -1)
		}
	}
	job.Level = rank
	for i := range job.TaskStates {
		if m := job.TaskStates[i].Machine; m != nil {
			m.AdjustUsage(job, 1)
		}
	}
}
