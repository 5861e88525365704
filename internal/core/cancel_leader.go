package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// The leader's part of cancellations: it stops the tasks, and says when none is left.

// recordCancellation takes in what an open record says of a cancellation.
func (l *leader) recordCancellation(job *cluster.Job, record records.Open) {
	ago := func(at int64, skew float64) time.Duration {
		return l.core.now - time.Duration(max(0, l.core.wallClockMS-at+int64(skew)))*time.Millisecond
	}
	if record.Cancelled && !job.Cancellation.Requested() {
		l.core.log.Info("job cancelled", "job", job.ID, "told", record.Acknowledged())
		l.markCancelled(job)
		if record.CancelRequestedAt != 0 {
			job.Cancellation.Request(ago(record.CancelRequestedAt, 0))
		}
		var dependencies []string
		l.dependencies.EachAwaited(job.ID, func(dependency string) { dependencies = append(dependencies, dependency) })
		l.recomputeUrgency(dependencies)
		l.cancelDependents(job.ID)
	}
	if record.Acknowledged() {
		// Not from when this leader learns of it, if that is on record.
		at := l.core.now
		if record.CancelAcknowledgedAt != 0 {
			at = ago(record.CancelAcknowledgedAt, l.core.settings.Deployment.SkewMs)
		}
		job.Cancellation.Acknowledge(at)
	}
}

// markCancelled has a job end without being done.
func (l *leader) markCancelled(j *cluster.Job) {
	j.Cancellation.Request(l.core.now)
	l.cancelledJobs[j.ID] = j
	l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, j)
	for i := range j.TaskStates {
		if j.TaskStates[i].Machine != nil {
			l.stopTask(j, i, 0, stopCancelled)
		}
	}
	l.writer.MarkDirty()
}

// handlePeerCancellations takes in the cancellations that another controller has
// recorded, and tells it what has become of the jobs.
func (l *leader) handlePeerCancellations(from string, cancellations []wire.Cancelled) {
	ends := wire.Ends{TermVersion: l.leadership.TermVersion}
	for _, cancelled := range cancellations {
		job := l.Jobs[cancelled.ID]
		if job != nil && !job.Cancellation.Requested() {
			record := job.Record
			record.Cancelled, record.CancelRequestedAt = true, l.core.wallClockMS
			l.applyOpenRecord(cancelled.ID, max(cancelled.Version, job.OpenVersion), record)
		}
		switch final, ended := l.core.users.finalRecords[cancelled.ID]; {
		case ended:
			ends.Over = append(ends.Over, wire.JobEnd{ID: cancelled.ID, Status: string(final.Status), Tasks: final.Tasks})
		case !l.recordsLoaded:
		case job == nil:
			// Never heard of, or its end not remembered: in either case no task
			// of it counts, and none can be placed on the record as it is now.
			ends.Gone = append(ends.Gone, cancelled.ID)
		case l.mayAnnounceTermination(job):
			ends.Gone = append(ends.Gone, cancelled.ID)
		case l.terminationDelayed(cancelled.ID):
			ends.Held = append(ends.Held, cancelled.ID)
		}
	}
	if len(ends.Over)+len(ends.Gone)+len(ends.Held) > 0 {
		l.core.send(from, &wire.PeerMessage{Ends: &ends})
	}
}

// mayAnnounceTermination tells whether a cancelled job has been without a task for longer
// than it takes to record its end, or cannot have it recorded.
func (l *leader) mayAnnounceTermination(j *cluster.Job) bool {
	return j.Cancellation.TerminatedFor(l.core.heartbeatInterval()/5, l.core.now) || j.Cancellation.Terminated() && !l.core.store.Available()
}

// terminationDelayed tells whether tasks of a job are on machines out of reach, so that
// their end may take a while.
func (l *leader) terminationDelayed(id string) bool {
	j := l.Jobs[id]
	if j == nil {
		return false
	}
	for i := range j.TaskStates {
		if m := j.TaskStates[i].Machine; m != nil && l.core.now-max(m.LastHeartbeat, m.LastContact) > l.heartbeatOverdueAfter() {
			return true
		}
	}
	return false
}

// tickTerminations tells the other controllers of cancelled jobs that are without a
// task and whose end the leader cannot record.
func (l *leader) tickTerminations() {
	var ends wire.Ends
	for _, id := range sortedKeys(l.cancelledJobs) {
		job := l.cancelledJobs[id]
		job.Cancellation.UpdateTasks(!job.Loaded || job.TasksPlaced > 0 || l.hasLiveDependents(id), l.core.now)
		if l.mayAnnounceTermination(job) && job.Cancellation.Announce() {
			ends.Gone = append(ends.Gone, id)
		}
	}
	l.sendJobEnds(ends)
}

func (l *leader) sendJobEnds(ends wire.Ends) {
	if len(ends.Over)+len(ends.Gone) == 0 {
		return
	}
	ends.TermVersion = l.leadership.TermVersion
	for _, peer := range l.core.settings.Peers {
		l.core.send(peer.Name, &wire.PeerMessage{Ends: &ends})
	}
}

// cancellationOverdue tells whether a task of a cancelled job that is not confirmed gone has to go
// with its machine.
func (l *leader) cancellationOverdue(j *cluster.Job) bool {
	return j.Cancellation.Overdue(l.core.now, l.core.cancelGracePeriod(), userRetryPeriod)
}
