package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// This file is the leader's part of cancellations: it stops the tasks, and tells the other
// controllers when none is left.

// recordCancellation applies what an open record says of a cancellation.
func (l *leader) recordCancellation(job *cluster.Job, record records.Open) {
	if record.Cancelled && !job.Cancellation.Requested() {
		l.core.log.Info("job cancelled", "job", job.ID, "acknowledged", record.CancelAcknowledged())
		l.markCancelled(job)
		if record.CancelRequestedAt != 0 {
			job.Cancellation.Request(l.steadyTime(record.CancelRequestedAt, 0))
		}
		l.recomputeUrgency(l.dependencies.Dependencies(job.ID))
		l.cancelDependents(job.ID)
	}
	if record.CancelAcknowledged() {
		// Not from when this leader learns of it, if that is on record.
		at := l.core.now
		if record.CancelAcknowledgedAt != 0 {
			at = l.steadyTime(record.CancelAcknowledgedAt, l.core.settings.Deployment.SkewMs)
		}
		job.Cancellation.Acknowledge(at)
	}
}

// steadyTime is this controller's steady time at a time of day, in ms, that another controller
// recorded; at the earliest one whose clock is ahead by up to skewMS.
func (l *leader) steadyTime(wallClockMS int64, skewMS float64) time.Duration {
	agoMS := max(0, l.core.wallClockMS-wallClockMS+int64(skewMS))
	return l.core.now - time.Duration(agoMS)*time.Millisecond
}

// markCancelled makes a job end without being done, and stops its tasks.
func (l *leader) markCancelled(job *cluster.Job) {
	job.Cancellation.Request(l.core.now)
	l.cancelledJobs[job.ID] = job
	l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, job)
	for i := range job.TaskStates {
		if job.TaskStates[i].Machine != nil {
			l.stopTask(job, i, 0, stopCancelled)
		}
	}
	l.writer.MarkDirty()
}

// handlePeerCancellations handles the cancellations that another controller has recorded, and
// answers with the states of the jobs.
func (l *leader) handlePeerCancellations(from string, cancellations []wire.Cancelled) {
	ends := wire.Ends{TermVersion: l.leadership.TermVersion}
	for _, cancelled := range cancellations {
		job := l.Jobs[cancelled.ID]
		if job != nil && !job.Cancellation.Requested() {
			l.applyPeerCancellation(job, cancelled.Version)
		}
		l.appendJobEnd(&ends, cancelled.ID, job)
	}
	if len(ends.Over)+len(ends.Gone)+len(ends.Held) > 0 {
		l.core.send(from, &wire.PeerMessage{Ends: &ends})
	}
}

// applyPeerCancellation cancels a job that another controller has recorded as cancelled, with a
// version of the open record that this leader may not have read yet.
func (l *leader) applyPeerCancellation(job *cluster.Job, version uint64) {
	record := job.Record
	record.Cancelled, record.CancelRequestedAt = true, l.core.wallClockMS
	l.applyOpenRecord(job.ID, max(version, job.OpenVersion), record)
}

// appendJobEnd appends what has become of a cancelled job, which is nil if it is not known: its
// end is on record, its tasks have terminated, or their termination is delayed.
func (l *leader) appendJobEnd(ends *wire.Ends, id string, job *cluster.Job) {
	final, ended := l.core.jobCache.Final(id)
	switch {
	case ended:
		ends.Over = append(ends.Over, wire.JobEnd{ID: id, Status: string(final.Status), Tasks: final.Tasks})
	case !l.recordsLoaded:
	case job == nil:
		// Never heard of, or its end not remembered: in either case no task of it counts, and
		// none can be placed on the record as it is now.
		ends.Gone = append(ends.Gone, id)
	case l.mayAnnounceTermination(job):
		ends.Gone = append(ends.Gone, id)
	case l.terminationDelayed(id):
		ends.Held = append(ends.Held, id)
	}
}

// mayAnnounceTermination reports whether a cancelled job has been without a task for longer than
// it takes to record its end, or its end cannot be recorded.
func (l *leader) mayAnnounceTermination(job *cluster.Job) bool {
	return job.Cancellation.TerminatedFor(l.core.heartbeatInterval()/5, l.core.now) ||
		job.Cancellation.Terminated() && !l.core.store.Available()
}

// terminationDelayed reports whether tasks of a job are on silent machines, so that their
// termination may take a while.
func (l *leader) terminationDelayed(id string) bool {
	job := l.Jobs[id]
	if job == nil {
		return false
	}
	for i := range job.TaskStates {
		machine := job.TaskStates[i].Machine
		if machine != nil && l.core.now-max(machine.LastHeartbeat, machine.LastContact) > l.heartbeatOverdueAfter() {
			return true
		}
	}
	return false
}

// tickTerminations tells the other controllers of cancelled jobs that are without a task and
// whose end the leader cannot record.
func (l *leader) tickTerminations() {
	var ends wire.Ends
	for _, id := range sortedKeys(l.cancelledJobs) {
		job := l.cancelledJobs[id]
		tasksLeft := !job.Loaded || job.TasksPlaced > 0 || l.hasLiveDependents(id)
		job.Cancellation.UpdateTasks(tasksLeft, l.core.now)
		if l.mayAnnounceTermination(job) && job.Cancellation.AnnounceOnce() {
			ends.Gone = append(ends.Gone, id)
		}
	}
	l.sendJobEnds(ends)
}

// sendJobEnds tells all other controllers of jobs that have ended.
func (l *leader) sendJobEnds(ends wire.Ends) {
	if len(ends.Over)+len(ends.Gone) == 0 {
		return
	}
	ends.TermVersion = l.leadership.TermVersion
	for _, peer := range l.core.settings.Peers {
		l.core.send(peer.Name, &wire.PeerMessage{Ends: &ends})
	}
}

// cancellationOverdue reports whether a task of a cancelled job whose termination is not confirmed
// has to be ended along with its machine.
func (l *leader) cancellationOverdue(job *cluster.Job) bool {
	return job.Cancellation.Overdue(l.core.now, l.core.cancelGracePeriod(), frontend.UserRetryPeriod)
}

// cancelGracePeriod is cancel_s: how long tasks may run after their cancellation is acknowledged.
func (c *Core) cancelGracePeriod() time.Duration {
	return c.settings.Deployment.Workers.CancelTime()
}
