package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// This file is the leader's part of cancellations: it stops the tasks, and notifies the other
// controllers when all have terminated.

// recordCancellation applies the cancellation in a job's open record, if there is one.
func (l *leader) recordCancellation(job *cluster.Job, record records.Open) {
	if record.Cancelled && !job.Cancellation.Requested() {
		l.core.log.Info("job cancelled", "job", job.ID, "acknowledged", record.CancelAcknowledged())
		l.markCancelled(job)
		if record.CancelRequestedAt != 0 {
			job.Cancellation.Request(l.monotonicTimeOf(record.CancelRequestedAt, 0))
		}
		l.recomputeUrgency(l.dependencies.Dependencies(job.ID))
		l.cancelDependents(job.ID)
	}
	if record.CancelAcknowledged() {
		// cancel_s counts from the recorded time of the acknowledgement, if there is one, not
		// from the time at which this leader receives it.
		acknowledgedAt := l.core.now
		if record.CancelAcknowledgedAt != 0 {
			acknowledgedAt = l.monotonicTimeOf(record.CancelAcknowledgedAt, l.core.settings.Deployment.SkewMs)
		}
		job.Cancellation.Acknowledge(acknowledgedAt)
	}
}

// monotonicTimeOf converts a wall-clock time, in ms, that another controller recorded to this
// controller's monotonic time. The other clock may be ahead by up to skewMS: the result is the
// earliest possible time.
func (l *leader) monotonicTimeOf(wallClockMS int64, skewMS float64) time.Duration {
	elapsedMS := max(0, l.core.wallClockMS-wallClockMS+int64(skewMS))
	return l.core.now - time.Duration(elapsedMS)*time.Millisecond
}

// markCancelled marks a job as cancelled, and stops its tasks.
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
// replies with the states of the jobs.
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

// applyPeerCancellation cancels a job that another controller has recorded as cancelled. version is
// that of its open record, which this leader may not have read yet.
func (l *leader) applyPeerCancellation(job *cluster.Job, version uint64) {
	record := job.Record
	record.Cancelled, record.CancelRequestedAt = true, l.core.wallClockMS
	l.applyOpenRecord(job.ID, max(version, job.OpenVersion), record)
}

// appendJobEnd appends the state of a cancelled job, if there is one to report: its end is
// recorded, its tasks have terminated, or their termination is delayed. job is nil for an unknown
// job.
func (l *leader) appendJobEnd(ends *wire.Ends, id string, job *cluster.Job) {
	final, ended := l.core.jobCache.Final(id)
	switch {
	case ended:
		ends.Over = append(ends.Over, wire.JobEnd{ID: id, Status: string(final.Status), Tasks: final.Tasks})
	case !l.recordsLoaded:
	case job == nil:
		// The job is unknown, or its end is no longer cached. In both cases none of its tasks
		// is placed, and the cancellation in its record prevents new placements.
		ends.Gone = append(ends.Gone, id)
	case l.mayAnnounceTermination(job):
		ends.Gone = append(ends.Gone, id)
	case l.terminationDelayed(id):
		ends.Held = append(ends.Held, id)
	}
}

// mayAnnounceTermination reports whether the other controllers are to be notified that a cancelled
// job's tasks have terminated, before the job's end is recorded: recording it takes longer than
// usual, or is impossible because the store is unavailable.
func (l *leader) mayAnnounceTermination(job *cluster.Job) bool {
	return job.Cancellation.TerminatedFor(l.core.heartbeatInterval()/5, l.core.now) ||
		job.Cancellation.Terminated() && !l.core.store.Available()
}

// terminationDelayed reports whether a job has tasks on machines whose heartbeats are overdue, so
// that confirmation of their termination may take longer.
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

// tickTerminations notifies the other controllers of cancelled jobs whose tasks have terminated but
// whose ends are not recorded yet, see mayAnnounceTermination.
func (l *leader) tickTerminations() {
	var ends wire.Ends
	for _, id := range sortedKeys(l.cancelledJobs) {
		job := l.cancelledJobs[id]
		tasksLeft := !job.Loaded || job.TasksPlaced > 0 || l.hasUnfinishedDependents(id)
		job.Cancellation.UpdateTasks(tasksLeft, l.core.now)
		if l.mayAnnounceTermination(job) && job.Cancellation.AnnounceOnce() {
			ends.Gone = append(ends.Gone, id)
		}
	}
	l.sendJobEnds(ends)
}

// sendJobEnds notifies all other controllers of jobs that have ended or whose tasks have
// terminated.
func (l *leader) sendJobEnds(ends wire.Ends) {
	if len(ends.Over)+len(ends.Gone) == 0 {
		return
	}
	ends.TermVersion = l.leadership.TermVersion
	for _, peer := range l.core.settings.Peers {
		l.core.send(peer.Name, &wire.PeerMessage{Ends: &ends})
	}
}

// cancellationOverdue reports whether a cancelled job's tasks whose termination is not confirmed
// have to be terminated by returning their machines to the cloud.
func (l *leader) cancellationOverdue(job *cluster.Job) bool {
	return job.Cancellation.Overdue(l.core.now, l.core.cancelGracePeriod(), frontend.UserRetryPeriod)
}

// cancelGracePeriod returns cancel_s: how long tasks may run after their cancellation is
// acknowledged.
func (c *Core) cancelGracePeriod() time.Duration {
	return c.settings.Deployment.Workers.CancelTime()
}
