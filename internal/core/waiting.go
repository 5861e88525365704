package core

import (
	"math"

	"github.com/brookwalk/brookwalk/wire"
)

// A job that awaits others holds its place in the dependency graph
// (dependencies.go) and nothing else: it is pending, outside its team's limit
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
	l.deps.add(j.ID, names)
	l.c.log.Debug("job waits", "job", j.ID, "for", names)
	if l.ready {
		l.resolve(j)
	}
}

// resolve finds out what has become of the jobs that a new job awaits.
func (l *leader) resolve(j *job) {
	if !j.waits || j.cancelled {
		return
	}
	for _, a := range j.Awaits {
		switch x := l.jobs[a]; {
		case x == nil:
			l.lookAwaited(a)
		case x.cancelled:
			l.cancelAfter(a)
		}
		l.raise(a, j)
	}
}

// lookAwaited looks up an awaited job that is not among the open ones: its end
// is on record.
func (l *leader) lookAwaited(id string) {
	if _, ok := l.looking[id]; ok || len(l.deps.dependents[id]) == 0 {
		return
	}
	if l.lookups >= l.c.maxWaiting()/8 {
		l.looking[id] = l.c.now // users' questions go the same way
		return
	}
	l.lookups++
	l.looking[id] = math.MaxInt64
	l.c.find(id, func(f found) {
		l.lookups--
		switch {
		case l.gone:
		case f.final != nil:
			delete(l.looking, id)
			l.awaitedOver(id, f.final.Status)
		case f.open != nil:
			delete(l.looking, id)
			l.noteOpen(id, f.open.version, f.open.rec)
		default:
			l.looking[id] = l.c.now + l.c.ttl()/8
		}
	})
}

// tickAwaited looks again where no answer came.
func (l *leader) tickAwaited() {
	for _, id := range sortedKeys(l.looking) {
		if l.c.now >= l.looking[id] {
			delete(l.looking, id)
			l.lookAwaited(id)
		}
	}
}

// awaitedOver takes in that a job's end is on record: its dependents go on, or
// end with it.
func (l *leader) awaitedOver(id, status string) {
	if status != wire.StatusDone {
		l.cancelAfter(id)
		return
	}
	for _, y := range l.deps.done(id) {
		if j := l.jobs[y]; j != nil && j.waits && !j.cancelled {
			j.free = true
			l.dirty = true
		}
	}
}

// noteReady takes in what an open record says of the jobs that were awaited.
func (l *leader) noteReady(j *job) {
	if !j.waits || j.rec.ReadyAt == 0 {
		return
	}
	l.c.log.Debug("job goes on", "job", j.ID)
	j.waits, j.free = false, false
	j.since = j.rec.ReadyAt
	l.deps.drop(j.ID)
	l.noteArrival(j)
	l.schedule = true
}

// cancelAfter cancels all jobs that need a cancelled one.
func (l *leader) cancelAfter(id string) {
	for _, y := range l.deps.after(id) {
		if j := l.jobs[y]; j != nil && !j.cancelled {
			l.c.log.Info("job cancelled", "job", y, "with", id)
			l.markCancelled(j)
		}
	}
}

// awaitedStill tells whether any dependent of a job is not over, or may not be.
func (l *leader) awaitedStill(id string) bool {
	if j := l.jobs[id]; j != nil && j.rec.Needed && len(l.unreadLists) > 0 {
		return true
	}
	for _, y := range l.deps.dependents[id] {
		if j := l.jobs[y]; j != nil && !j.ended && !j.final {
			return true
		}
	}
	return false
}

// ownDue is when a job's user wants it done, as a time of day in seconds.
func ownDue(rec *openRecord) float64 {
	if rec.Job.DeadlineS == nil {
		return math.Inf(1)
	}
	return float64(rec.At)/1000 + *rec.Job.DeadlineS
}

// raise gives a job the priority of one that needs it, and the time by which it
// has to be done so that the rest of the chain can be, if either is more urgent
// than its own: users name both on the last job only.
func (l *leader) raise(id string, dependent *job) {
	j := l.jobs[id]
	if j == nil {
		return
	}
	rank, due := max(j.rank, dependent.rank), min(j.due, dependent.due-l.runEstimate(dependent))
	if rank != j.rank || due != j.due {
		l.claimed(j, rank, due, func(a string) { l.raise(a, j) })
	}
}

// claim finds out what a job is left with when one that needed it is not there
// any more.
func (l *leader) claim(id string) {
	j := l.jobs[id]
	if j == nil {
		return
	}
	rank, due := priorityRank[j.Priority], ownDue(&j.rec)
	for _, y := range l.deps.dependents[id] {
		if o := l.jobs[y]; o != nil && !o.cancelled {
			rank, due = max(rank, o.rank), min(due, o.due-l.runEstimate(o))
		}
	}
	if rank != j.rank || due != j.due {
		l.claimed(j, rank, due, l.claim)
	}
}

// claimed changes a job's rank and the time by which it has to be done, and goes
// on to the jobs that it awaits.
func (l *leader) claimed(j *job, rank int, due float64, next func(string)) {
	l.setRank(j, rank)
	j.due = due
	l.schedule = true
	if j.waits {
		for _, a := range j.Awaits {
			next(a)
		}
	}
}

// setRank changes a job's rank, and with it what machines count by rank.
func (l *leader) setRank(j *job, rank int) {
	for i := range j.tasks {
		if m := j.tasks[i].m; m != nil {
			m.count(j, -1)
		}
	}
	j.rank = rank
	for i := range j.tasks {
		if m := j.tasks[i].m; m != nil {
			m.count(j, 1)
		}
	}
}
