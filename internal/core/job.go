package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// place makes a task count on a machine.
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

// unplace ends the counting of a task. Only gone.go decides to call it.
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
	l.markPlacementChanged(j, i, true)
	l.passes.requested = true
}

// markPlacementChanged marks a task's record for writing: at once, or, where nothing is lost
// with it but the knowledge that the task is over, gathered with what follows
// in two reports' time. The worker remembers an end until it is recorded.
// Written one by one, the ends of arrays took most of the state service's
// changes, and their last ones are written in vain, since the job's own end
// deletes the record.
func (l *leader) markPlacementChanged(j *cluster.Job, i int, deferred bool) {
	ch := j.PlacementRecordOf(i)
	at := l.core.now
	if deferred {
		at += 2 * l.core.heartbeatInterval()
	}
	if !ch.Dirty || at < ch.DueAt {
		ch.Dirty, ch.DueAt = true, at
	}
	if !deferred || j.IsFinished() || j.IsOver() {
		l.writer.dirty = true
	} else {
		l.scheduleWrite(ch.DueAt)
	}
}

// scheduleWrite has the records written at a time, if not before.
func (l *leader) scheduleWrite(at time.Duration) {
	if l.writer.deferredUntil == 0 || at < l.writer.deferredUntil {
		l.writer.deferredUntil = at
	}
}

// markDone notes that a task is done for certain.
func (l *leader) markDone(j *cluster.Job, i int) {
	if !j.TaskStates[i].Done {
		j.TaskStates[i].Done = true
		j.TasksDone++
		l.markPlacementChanged(j, i, true)
	}
}

// forget drops a job whose end is recorded. Copies of its tasks that still
// count on machines stay bound until they are certainly gone.
func (l *leader) forget(j *cluster.Job) {
	l.DropJob(j)
	delete(l.cancelledJobs, j.ID)
	delete(l.dependencyLists.unread, j.ID)
	l.outliers.ForgetJob(j.ID)
	var before []string
	l.dependencies.EachAwaited(j.ID, func(a string) { before = append(before, a) })
	l.dependencies.Drop(j.ID)
	for _, a := range before {
		if x := l.Jobs[a]; x != nil && x.Cancellation.Requested() && !l.dependencies.Needed(a) {
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, x)
			l.writer.dirty = true
		}
	}
	if !j.Cancellation.Requested() { // else they were told when it was cancelled
		l.recomputeUrgency(before)
	}
	l.passes.requested = true
}

// jobCounts lists the unfinished jobs' counts for the other controllers.
func (l *leader) jobCounts() []wire.JobCount {
	out := make([]wire.JobCount, 0, len(l.JobsBySubmission))
	for _, j := range l.JobsBySubmission {
		if n := l.jobCount(j); n.Done+n.Running > 0 {
			out = append(out, n)
		}
	}
	return out
}

// jobCount tells how many tasks of a job are done and running.
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

// jobCountByID is jobCount for a job by its name; nothing for an unknown one.
func (l *leader) jobCountByID(id string) wire.JobCount {
	if j := l.Jobs[id]; j != nil {
		return l.jobCount(j)
	}
	return wire.JobCount{ID: id}
}
