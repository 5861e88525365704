package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// persistenceHost implements persistence.WriterHost and persistence.LoaderHost for a leader.
type persistenceHost struct{ leader *leader }

// Now returns the monotonic time.
func (h persistenceHost) Now() time.Duration { return h.leader.core.now }

// WallClockMS returns the wall-clock time, in ms.
func (h persistenceHost) WallClockMS() int64 { return h.leader.core.wallClockMS }

// LeaderLease returns the duration of the leader's lease.
func (h persistenceHost) LeaderLease() time.Duration { return h.leader.core.leaderLeaseDuration() }

// SteppedDown reports whether the leader's term is over.
func (h persistenceHost) SteppedDown() bool { return h.leader.steppedDown }

// PeersReadNamedRanges reports whether every peer reads placement records whose keys name a range
// of tasks.
func (h persistenceHost) PeersReadNamedRanges() bool {
	return h.leader.core.membership.AllPeersSupport(wire.PeerVersionPlacementRanges)
}

// RejectedWrites records that the store rejected a transaction with a number of writes, and reports
// whether smaller transactions may be accepted.
func (h persistenceHost) RejectedWrites(writes int) bool {
	return h.leader.core.recordRejectedWrites(writes)
}

// AddCancelledEnds adds the ends of cancelled jobs to a transaction.
func (h persistenceHost) AddCancelledEnds(add func(*cluster.Job) bool) {
	h.leader.addCancelledEnds(add)
}

// CancelledEndFailed queues a cancelled job whose end was not recorded, for the next transaction.
func (h persistenceHost) CancelledEndFailed(job *cluster.Job) {
	h.leader.cancelledWithoutDependents = append(h.leader.cancelledWithoutDependents, job)
}

// JobEnded handles a job's end that has just been recorded.
func (h persistenceHost) JobEnded(job *cluster.Job, end wire.JobEnd) {
	h.leader.core.frontEnd.JobEnded(end)
	h.leader.forgetJob(job)
	h.leader.dependencyEnded(job.ID, wire.JobState(end.Status))
}

// JobEndAlreadyRecorded handles a job whose end turned out to be recorded already.
func (h persistenceHost) JobEndAlreadyRecorded(job *cluster.Job) {
	h.leader.forgetJob(job)
	h.leader.lookUpDependency(job.ID)
}

// BatchAnswered handles the response to a transaction: it sends the job ends that have just been
// recorded to the other controllers, and requests a placement pass.
func (h persistenceHost) BatchAnswered(ends []wire.JobEnd) {
	h.leader.sendJobEnds(wire.Ends{Over: ends})
	h.leader.passes.requested = true
}

// OpenRecordWritten caches a job's open record that the leader has written.
func (h persistenceHost) OpenRecordWritten(job *cluster.Job, record records.Open, version uint64) {
	h.leader.core.jobCache.PutOpen(job.ID, &jobcache.OpenJob{Version: version, Record: record})
}

// JobMayBeReady makes a job ready if its changed open record has a ReadyAt.
func (h persistenceHost) JobMayBeReady(job *cluster.Job) { h.leader.markReady(job) }

// StartTasks starts tasks whose placements have just been recorded.
func (h persistenceHost) StartTasks(job *cluster.Job, placed []records.PlacedTask) {
	h.leader.sendStarts(placed)
}

// OpenRecordRead applies an open record that is new or has changed.
func (h persistenceHost) OpenRecordRead(job string, version uint64, record records.Open) {
	h.leader.applyOpenRecord(job, version, record)
}

// PlacementRead places a task on the machine that it may be running on, according to its placement
// record.
func (h persistenceHost) PlacementRead(job *cluster.Job, placed records.PlacedTask) {
	machine := h.leader.getOrAddMachine(placed.Machine)
	task := &job.TaskStates[placed.Task]
	task.Attempt, task.Zone, task.Incarnation = placed.Attempt, placed.Zone, placed.Incarnation
	task.Persisted, task.StartSent = true, true
	machine.Zone = placed.Zone
	h.leader.place(job, placed.Task, machine)
}

// RecordsLoaded is called when all records are loaded.
func (h persistenceHost) RecordsLoaded() { h.leader.startDeciding() }

// TermChanged ends the leadership: another leader has started a term.
func (h persistenceHost) TermChanged() { h.leader.core.stepDown(stepDownTermChanged) }

// startDeciding enables the leader's decisions, once all records are loaded.
func (l *leader) startDeciding() {
	l.recordsLoaded = true
	l.recordsLoadedAt = l.core.now
	l.dependencyLists.nextCleanupAt = l.core.now + l.core.listCleanupInterval()
	for _, job := range slices.Clone(l.JobsBySubmission) {
		job.Loaded = true
		l.resolveDependencies(job)
	}
	l.propagateUrgency(l.JobsBySubmission...)
	waiting := 0
	for _, job := range l.JobsBySubmission {
		if job.AwaitingDependencies {
			waiting++
		}
	}
	l.core.log.Info("records loaded", "term", l.leadership.Term, "revision", l.loader.Revision(), "jobs", len(l.Jobs), "waiting", waiting, "machines", len(l.Machines))
	l.startQuota()
	l.passes.requested = true
}

// applyOpenRecord applies an open record that is new or has changed.
func (l *leader) applyOpenRecord(id string, version uint64, record records.Open) {
	job := l.Jobs[id]
	if job == nil {
		if final, ok := l.core.jobCache.Final(id); ok && final.Status != "" {
			return // outdated event of a job that has ended
		}
		job = l.addJob(id, version, record)
	}
	if version < job.OpenVersion {
		return
	}
	job.OpenVersion, job.Record = version, record
	l.markReady(job)
	l.recordCancellation(job, record)
	l.passes.requested = true
}

// addJob adds a new job.
func (l *leader) addJob(id string, version uint64, record records.Open) *cluster.Job {
	job := cluster.NewJob(record, version)
	job.Loaded = l.recordsLoaded
	l.writer.InitPlacementRecords(job)
	l.AddJob(job)
	l.core.log.Debug("job added", "job", id, "class", job.Class, "team", job.Team, "shape", job.Shape, "tasks", len(job.TaskStates))
	l.addDependencies(job)
	return job
}
