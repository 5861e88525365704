package persistence

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Estimates for the size of a transaction, in bytes.
const (
	// maxBatchBytes is the estimated size at which a batch accepts no further record.
	maxBatchBytes = 44 << 10
	// jobEndBytes is the size of all writes for the end of a job.
	jobEndBytes = 400
	// recordOverhead is the size of a write without the record's value.
	recordOverhead = 300
)

// jobEndWrites is the number of writes that the end of every job needs: one deletes the open
// record, one puts the final record.
const jobEndWrites = 2

// A batch collects the record writes of one transaction, and the handlers for its outcome.
type batch struct {
	*Writer
	txn         *wire.Txn
	maxWrites   int
	namedRanges bool // the keys of placement records name a range
	bytes       int  // estimated size
	incomplete  bool // due records were left out

	dependencyConditions int             // conditions on the open records of dependencies
	jobs                 []*cluster.Job  // jobs whose records are written
	ends                 []wire.JobEnd   // job ends that were committed
	deletions            int             // number of orphaned records deleted
	handlers             []func(outcome) // in the order of the writes
}

// An outcome says whether the transaction of a batch was committed.
type outcome struct {
	committed bool
	revision  uint64 // version of the written records
}

// newBatch returns an empty batch with the current limits of the store.
func (w *Writer) newBatch() *batch {
	return &batch{
		Writer:      w,
		txn:         &wire.Txn{Conditions: []wire.Condition{w.termCondition}},
		maxWrites:   w.store.MaxWrites(),
		namedRanges: w.writesNamedRanges(),
	}
}

// fill adds the due records. Ends of jobs come before placements.
func (b *batch) fill() {
	b.addFinishedEnds()
	b.host.AddCancelledEnds(b.addEnd)
	b.addOpenRecords()
	b.addPlacements()
	b.addDeletions()
}

// hasRoom reports whether the batch can take this number of further writes.
func (b *batch) hasRoom(writes int) bool {
	if b.singleJobTransactions && !b.empty() {
		return false
	}
	return len(b.txn.Writes)+writes <= b.maxWrites && b.bytes < maxBatchBytes
}

// checkRoom is hasRoom for a due record. If there is no room, it marks the batch incomplete, since
// the record is left out.
func (b *batch) checkRoom(writes int) bool {
	if b.hasRoom(writes) {
		return true
	}
	b.incomplete = true
	return false
}

func (b *batch) empty() bool { return len(b.txn.Writes) == 0 }

// moreDue reports whether due records have been left out of the batch.
func (b *batch) moreDue() bool { return b.incomplete || len(b.orphans) > b.deletions }

// addCondition makes the batch conditional on the version of a record. Version 0 means that the
// record does not exist.
func (b *batch) addCondition(key string, version uint64) {
	b.txn.Conditions = append(b.txn.Conditions, wire.Condition{Key: key, Version: version})
}

// addJob adds a job whose records the batch writes, and makes the batch conditional on the job's
// open record being unchanged.
func (b *batch) addJob(job *cluster.Job) {
	b.addCondition(records.OpenKey(job.ID), job.OpenVersion)
	b.jobs = append(b.jobs, job)
}

func (b *batch) put(key string, value []byte) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Put: key, Value: value})
}

func (b *batch) delete(key string) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: key})
}

// onOutcome registers a handler for the outcome. Handlers are called in the order of registration.
func (b *batch) onOutcome(handle func(outcome)) { b.handlers = append(b.handlers, handle) }

// addFinishedEnds adds the ends of finished jobs that were not cancelled.
func (b *batch) addFinishedEnds() {
	for _, job := range b.state.JobsBySubmission {
		if !job.Cancellation.Requested() && b.EndRecordable(job) && !b.addEnd(job) {
			return
		}
	}
}

// addEnd adds the end of a job. It returns false if there is no room for it.
func (b *batch) addEnd(job *cluster.Job) bool {
	keys := job.RecordKeys()
	writes := min(jobEndWrites+len(keys), b.maxWrites) // later batches delete the remaining records
	if !b.checkRoom(writes) {
		return false
	}
	final := records.Final{Status: wire.StatusDone, Tasks: len(job.TaskStates)}
	if job.Cancellation.Requested() {
		final.Status = wire.StatusCancelled
	}
	b.addJob(job)
	b.delete(records.OpenKey(job.ID))
	b.put(records.FinalKey(job.ID), kv.Encode(final))
	deleted := writes - jobEndWrites
	for _, key := range keys[:deleted] {
		b.delete(key)
	}
	b.bytes += jobEndBytes
	job.EndWritePending = true
	b.onOutcome(func(o outcome) { b.endOutcome(job, final, keys[deleted:], o) })
	return true
}

// endOutcome handles the outcome of recording a job's end. Later batches delete the left-over
// records.
func (b *batch) endOutcome(job *cluster.Job, final records.Final, leftOver []string, o outcome) {
	job.EndWritePending = false
	if !o.committed {
		if job.Cancellation.Requested() {
			b.host.CancelledEndFailed(job)
		}
		return
	}
	b.log.Info("job ended", "job", job.ID, "status", final.Status)
	job.EndRecorded = true
	b.AddOrphans(leftOver...)
	b.dirty = b.dirty || len(b.orphans) > 0
	end := wire.JobEnd{ID: job.ID, Status: string(final.Status), Tasks: final.Tasks}
	b.ends = append(b.ends, end)
	b.host.JobEnded(job, end)
}

// addOpenRecords adds the open records of jobs whose dependencies are all done, and of jobs whose
// open record has to be written before their placement records.
func (b *batch) addOpenRecords() {
	for _, job := range b.state.JobsBySubmission {
		if !job.RecordsWritable() || job.Cancellation.Requested() {
			continue
		}
		if !job.DependenciesDone && !job.RewriteOpenFirst || !b.mayWriteOpenRecord(job) {
			continue
		}
		if !b.checkRoom(1) {
			return
		}
		b.addOpenRecord(job)
	}
}

// addOpenRecord adds the open record of a job. The caller has checked that there is room.
func (b *batch) addOpenRecord(job *cluster.Job) {
	record := job.Record
	if job.DependenciesDone {
		record.ReadyAt = b.host.WallClockMS()
		b.requireDependenciesEnded(job)
	}
	body := kv.Encode(record)
	b.bytes += len(body) + recordOverhead
	b.addJob(job)
	b.put(records.OpenKey(job.ID), body)
	job.OpenWritePending = true
	b.onOutcome(func(o outcome) { b.openRecordOutcome(job, record, o) })
}

// requireDependenciesEnded makes the batch conditional on a job's dependencies having ended: the
// end of a job deletes its open record. The store accepts four conditions for each write that it
// allows. The term needs one and each write at most two, so 2*maxWrites-1 are left for
// dependencies. Dependencies beyond that number are not checked.
func (b *batch) requireDependenciesEnded(job *cluster.Job) {
	for _, dependency := range job.Dependencies {
		if b.dependencyConditions >= 2*b.maxWrites-1 {
			return
		}
		b.dependencyConditions++
		b.addCondition(records.OpenKey(dependency), 0)
	}
}

// openRecordOutcome handles the outcome of writing a job's open record.
func (w *Writer) openRecordOutcome(job *cluster.Job, record records.Open, o outcome) {
	job.OpenWritePending = false
	if !o.committed {
		w.dirty = true
		return
	}
	w.host.OpenRecordWritten(job, record, o.revision)
	if job.OpenVersion < o.revision {
		job.OpenVersion, job.Record = o.revision, record
	}
	w.host.JobMayBeReady(job)
	if job.RewriteOpenFirst {
		job.RewriteOpenFirst, w.dirty = false, true
		w.switchToNamedRanges(job)
	}
}

// addPlacements adds the due placement records of all jobs.
func (b *batch) addPlacements() {
	for _, job := range b.state.JobsBySubmission {
		if !job.RecordsWritable() || b.inBackoff(job) {
			continue
		}
		if b.namedRanges && !b.mayWriteNamedRanges(job) {
			b.incomplete = true
			continue
		}
		b.addPlacementsOf(job)
	}
}

// addPlacementsOf adds a job's due placement records until the batch is full.
func (b *batch) addPlacementsOf(job *cluster.Job) {
	first := true
	for i := range job.PlacementRecords {
		record := &job.PlacementRecords[i]
		if !record.Dirty || record.VersionUnknown || record.WritePending {
			continue
		}
		if b.host.Now() < record.DueAt {
			b.scheduleWrite(record.DueAt)
			continue
		}
		if !b.checkRoom(1) {
			return
		}
		if first {
			first = false
			b.addJob(job)
		}
		b.addPlacement(job, record)
	}
}

// addPlacement adds a placement record. The caller has checked that there is room.
func (b *batch) addPlacement(job *cluster.Job, record *cluster.PlacementRecord) {
	body, starts := EncodePlacement(job, record)
	b.bytes += len(body) + recordOverhead
	b.addCondition(record.Key, record.Version)
	b.put(record.Key, body)
	record.Dirty, record.WritePending, job.PlacementSentThisTerm = false, true, true
	b.onOutcome(func(o outcome) { b.placementOutcome(job, record, starts, o) })
}

// placementOutcome handles the outcome of writing a placement record: tasks whose placement it
// records for the first time are started.
func (w *Writer) placementOutcome(job *cluster.Job, record *cluster.PlacementRecord, starts []records.PlacedTask, o outcome) {
	record.WritePending = false
	if !o.committed {
		record.Dirty, record.DueAt, w.dirty = true, 0, true
		return
	}
	record.Version = o.revision
	for _, start := range starts {
		if t := &job.TaskStates[start.Task]; t.Machine != nil && t.Attempt == start.Attempt {
			t.Persisted = true
		}
	}
	w.logPlacements(record, starts)
	w.host.StartTasks(job, starts)
}

// logPlacements logs the placements that a record shows for the first time. Their tasks may start now.
func (w *Writer) logPlacements(record *cluster.PlacementRecord, starts []records.PlacedTask) {
	if len(starts) == 0 || !w.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	placements := make([]string, len(starts))
	for i, start := range starts {
		placements[i] = fmt.Sprintf("%d@%d:%s", start.Task, start.Attempt, start.Machine)
	}
	w.log.Info("placements recorded", "key", record.Key, "revision", record.Version, "placements", strings.Join(placements, " "))
}

// addDeletions adds deletions of orphaned records if the batch contains everything else due.
func (b *batch) addDeletions() {
	for _, key := range b.orphans {
		if b.incomplete || !b.hasRoom(1) {
			break
		}
		b.delete(key)
		b.deletions++
	}
	if b.deletions > 0 {
		b.onOutcome(b.deletionsOutcome)
	}
}

// deletionsOutcome removes the deleted records from the list of orphans.
func (b *batch) deletionsOutcome(o outcome) {
	if o.committed {
		b.orphans = b.orphans[b.deletions:]
	}
}

// onResult handles the store's response to the transaction.
func (b *batch) onResult(r kv.TxnResult) {
	b.transactionOpen = false
	if b.host.SteppedDown() {
		return
	}
	o := b.outcomeOf(r)
	b.dirty = b.dirty || !o.committed
	for _, handle := range b.handlers {
		handle(o)
	}
	b.host.BatchAnswered(b.ends)
}

// outcomeOf converts a result to an outcome. If the batch was not committed, it handles the cause.
func (b *batch) outcomeOf(r kv.TxnResult) outcome {
	switch r.Status {
	case kv.OK:
		b.singleJobTransactions = false
		for _, job := range b.jobs {
			job.Rejections = 0
		}
		return outcome{committed: r.Revision != 0, revision: r.Revision}
	case kv.Conflict:
		b.resolveConflicts(r.Conflicts)
	case kv.Rejected:
		b.onRejected(b.txn, b.jobs)
		b.retryLater()
	case kv.Unanswered, kv.Throttled, kv.Unavailable, kv.Failed, kv.NotFound, kv.Compacted:
		b.retryLater()
	}
	return outcome{}
}
