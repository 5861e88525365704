package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/depgraph"
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

// noteAwaited enters a new job into the graph.
func (l *leader) noteAwaited(j *job) {
	if j.rec.ReadyAt != 0 {
		// The end of the last one is on record: a leader that counted its waiting
		// from the submission would take it for one that waits far too long.
		j.since = j.rec.ReadyAt
	}
	if len(j.Awaits) == 0 || j.rec.ReadyAt != 0 {
		l.noteArrival(j)
		return
	}
	j.waits = true
	if ref, ok := listRefOf(j.Awaits); ok {
		j.list, j.Awaits = ref, nil
		l.readList(j)
		return
	}
	l.noteNames(j, j.Awaits)
}

// noteNames takes in which jobs a new job awaits.
func (l *leader) noteNames(j *job, names []string) {
	j.Awaits = names
	l.deps.Add(j.ID, names)
	l.c.log.Debug("job waits for", "job", j.ID, "awaited", names)
	if l.ready {
		// A leader that takes over tells how many wait with the records loaded.
		l.c.log.Info("job waits", "job", j.ID, "for", len(j.Awaits))
		l.resolve(j)
		l.inherit(j)
	}
}

// resolve finds out what has become of the jobs that a new job awaits.
func (l *leader) resolve(j *job) {
	if !j.waits || j.cancellation.Requested() {
		return
	}
	for _, a := range j.Awaits {
		switch x := l.jobs[a]; {
		case x == nil:
			l.lookAwaited(a)
		case x.cancellation.Requested() && !j.cancellation.Requested():
			// Not all that needs the cancelled one: each of them comes here.
			l.cancelWaiting([]string{j.ID}, a)
			l.cancelAfter(j.ID)
		}
	}
}

// jobLookups is what the leader keeps of its look-ups of awaited jobs.
type jobLookups struct {
	due     map[string]time.Duration // jobs that are being looked up; when next
	running int
}

// lookAwaited looks up an awaited job that is not among the open ones: its end
// is on record.
func (l *leader) lookAwaited(id string) {
	if _, ok := l.lookups.due[id]; ok || !l.deps.Needed(id) {
		return
	}
	if l.lookups.running >= l.c.maxWaiting()/8 {
		l.lookups.due[id] = l.c.now // users' questions go the same way
		return
	}
	l.lookups.running++
	l.lookups.due[id] = math.MaxInt64
	l.c.lookUp(id, func(f lookupResult) {
		l.lookups.running--
		switch {
		case l.deposed:
		case f.final != nil:
			delete(l.lookups.due, id)
			l.awaitedOver(id, f.final.Status)
		case f.open != nil:
			delete(l.lookups.due, id)
			l.noteOpen(id, f.open.version, f.open.rec)
		default:
			l.lookups.due[id] = l.c.now + l.c.ttl()/8
		}
	})
}

// tickAwaited looks again where no answer came.
func (l *leader) tickAwaited() {
	for _, id := range sortedKeys(l.lookups.due) {
		if l.c.now >= l.lookups.due[id] {
			delete(l.lookups.due, id)
			l.lookAwaited(id)
		}
	}
}

// awaitedOver takes in that a job's end is on record: its dependents go on, or
// end with it.
func (l *leader) awaitedOver(id string, status wire.JobState) {
	if l.deps.Needed(id) {
		l.c.log.Debug("awaited job over", "job", id, "status", status)
	}
	if status != wire.StatusDone {
		l.cancelAfter(id)
		return
	}
	for _, y := range l.deps.Done(id) {
		if j := l.jobs[y]; j != nil && j.waits && !j.cancellation.Requested() {
			j.awaitedDone = true
			l.records.dirty = true
		}
	}
}

// noteReady takes in what an open record says of the jobs that were awaited.
func (l *leader) noteReady(j *job) {
	if !j.waits || j.rec.ReadyAt == 0 {
		return
	}
	l.c.log.Info("job goes on", "job", j.ID)
	j.waits, j.awaitedDone = false, false
	j.since = j.rec.ReadyAt
	l.deps.Drop(j.ID)
	l.noteArrival(j)
	l.passes.requested = true
}

// cancelAfter cancels all jobs that need a cancelled one. What a job needs that
// was cancelled before is cancelled already.
func (l *leader) cancelAfter(id string) {
	l.cancelWaiting(l.deps.After(id, func(y string) bool {
		j := l.jobs[y]
		return j != nil && !j.cancellation.Requested()
	}), id)
}

// cancelWaiting cancels jobs with one that they need.
func (l *leader) cancelWaiting(ids []string, with string) {
	var before []string
	for _, id := range ids {
		l.c.log.Info("job cancelled", "job", id, "with", with)
		l.markCancelled(l.jobs[id])
		l.deps.EachAwaited(id, func(a string) { before = append(before, a) })
	}
	l.recomputeInherited(before)
}

// hasLiveDependents tells whether any dependent of a job is not over, or may not be.
func (l *leader) hasLiveDependents(id string) bool {
	if j := l.jobs[id]; j != nil && l.mayHaveUnread(j) {
		return true
	}
	return l.deps.AnyDependent(id, func(y string) bool {
		j := l.jobs[y]
		return j != nil && !j.ended && !j.endPending
	})
}

// mayHaveUnread tells whether a job may have dependents that are not known yet,
// since a list of awaited jobs is still to be read.
func (l *leader) mayHaveUnread(j *job) bool { return j.rec.Needed && len(l.lists.unread) > 0 }

// ownDue is when a job's user wants it done, as a time of day in seconds.
func ownDue(rec *records.Open) float64 {
	if rec.Job.DeadlineS == nil {
		return math.Inf(1)
	}
	return float64(rec.At)/1000 + *rec.Job.DeadlineS
}

// inherit gives the jobs that others need the highest priority among these, and the
// time by which they have to be done so that the rest of the chain can be, if
// either is more urgent than their own: users name both on the last job only. A
// job is looked at after all of its dependents that change, and so once: taken up
// by way of each path, a job of a layered graph would be looked at as often as
// there are paths.
func (l *leader) inherit(dependents ...*job) {
	var changed depgraph.Worklist
	for _, j := range dependents {
		changed.Add(j.ID, l.deps.Level(j.ID))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		j := l.jobs[id]
		if j == nil || j.cancellation.Requested() || !j.waits {
			continue
		}
		due := j.due - l.runEstimate(j)
		l.deps.EachAwaited(id, func(a string) {
			x := l.jobs[a]
			if x == nil || x.cancellation.Requested() || x.rank >= j.rank && x.due <= due {
				return
			}
			l.setInherited(x, max(x.rank, j.rank), min(x.due, due))
			l.queueAwaited(&changed, id, a)
		})
	}
}

// recomputeInherited finds out what jobs are left with when one that needed them is not
// there any more, or is cancelled.
func (l *leader) recomputeInherited(ids []string) {
	var changed depgraph.Worklist
	for _, id := range ids {
		changed.Add(id, l.deps.Level(id))
	}
	for id, ok := changed.Next(); ok; id, ok = changed.Next() {
		j := l.jobs[id]
		if j == nil || j.cancellation.Requested() || j.rank == priorityRank[j.Priority] && j.due == ownDue(&j.rec) {
			continue
		}
		rank, due := l.inherited(j)
		if rank == j.rank && due == j.due {
			continue
		}
		l.setInherited(j, rank, due)
		l.deps.EachAwaited(id, func(a string) { l.queueAwaited(&changed, id, a) })
	}
}

// queueAwaited has an awaited job looked at after a job that has changed.
func (l *leader) queueAwaited(changed *depgraph.Worklist, id, awaited string) {
	if level := l.deps.Level(awaited); level < l.deps.Level(id) {
		changed.Add(awaited, level)
	}
}

// inherited returns the rank of a job and the time by which it has to be done, as its
// user and its dependents want it.
func (l *leader) inherited(j *job) (rank int, due float64) {
	rank, due = priorityRank[j.Priority], ownDue(&j.rec)
	l.deps.EachDependent(j.ID, func(y string) {
		if o := l.jobs[y]; o != nil && !o.cancellation.Requested() {
			rank, due = max(rank, o.rank), min(due, o.due-l.runEstimate(o))
		}
	})
	return rank, due
}

// setInherited changes a job's rank and the time by which it has to be done.
func (l *leader) setInherited(j *job, rank int, due float64) {
	if rank != j.rank {
		l.setRank(j, rank)
	}
	j.due = due
	l.passes.requested = true
}

// setRank changes a job's rank, and with it what machines count by rank.
func (l *leader) setRank(j *job, rank int) {
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			m.count(j, -1)
		}
	}
	j.rank = rank
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			m.count(j, 1)
		}
	}
}
