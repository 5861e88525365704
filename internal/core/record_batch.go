package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Estimates of the bytes that a write takes in a transaction.
const (
	// maxBatchBytes is the size from which a batch takes no further record.
	maxBatchBytes = 44 << 10
	// jobEndBytes is what the end of a job takes.
	jobEndBytes = 400
	// recordOverhead is what a record takes beside its value.
	recordOverhead = 300
)

// jobEndWrites is the number of writes that every end of a job takes: the deletion
// of the open record and the final record.
const jobEndWrites = 2

// recordBatch collects the record writes of one transaction and what is to be
// done with its answer. Every batch is conditional on the term and on the versions
// of the open records of the jobs it writes for.
type recordBatch struct {
	leader      *leader
	txn         *wire.Txn
	maxWrites   int
	namedRanges bool // placement records name their range
	bytes       int  // estimate of the size
	incomplete  bool // records that are due were left out

	dependencyConditions int                  // conditions on awaited jobs
	writers              []*cluster.Job       // jobs whose records are written
	committedEnds        []wire.JobEnd        // ends of jobs that were committed
	deletions            int                  // left-over records that are deleted
	handlers             []func(batchOutcome) // of the answer, in the order of the writes
}

// batchOutcome tells whether a batch was committed.
type batchOutcome struct {
	committed bool
	revision  uint64 // of the records written
}

// newRecordBatch makes an empty batch under the limits that hold now.
func (l *leader) newRecordBatch() *recordBatch {
	return &recordBatch{
		leader:      l,
		txn:         &wire.Txn{Conditions: []wire.Condition{l.termCondition()}},
		maxWrites:   l.core.store.MaxWrites(),
		namedRanges: l.writesNamedRanges(),
	}
}

// fill adds the records that are due, ends of jobs ahead of placements.
func (b *recordBatch) fill() {
	b.addFinishedEnds()
	b.leader.addCancelledEnds(b.addEnd)
	b.addOpenRecords()
	b.addPlacements()
	b.addDeletions()
}

// hasRoom tells whether the batch takes a number of further writes.
func (b *recordBatch) hasRoom(writes int) bool {
	if b.leader.writer.singleJobTransactions && !b.empty() {
		return false
	}
	return len(b.txn.Writes)+writes <= b.maxWrites && b.bytes < maxBatchBytes
}

// reserve is hasRoom for a record that is due: without room, it is left out.
func (b *recordBatch) reserve(writes int) bool {
	if b.hasRoom(writes) {
		return true
	}
	b.incomplete = true
	return false
}

func (b *recordBatch) empty() bool { return len(b.txn.Writes) == 0 }

// addCondition makes the batch conditional on the version of a record; 0 is none.
func (b *recordBatch) addCondition(key string, version uint64) {
	b.txn.Conditions = append(b.txn.Conditions, wire.Condition{Key: key, Version: version})
}

// addWriter notes that the batch writes for a job whose open record is unchanged.
func (b *recordBatch) addWriter(j *cluster.Job) {
	b.addCondition(records.OpenKey(j.ID), j.OpenVersion)
	b.writers = append(b.writers, j)
}

func (b *recordBatch) put(key string, value []byte) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Put: key, Value: value})
}

func (b *recordBatch) delete(key string) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: key})
}

// onOutcome has a function called with the answer to the transaction, after those
// that were given before.
func (b *recordBatch) onOutcome(handler func(answer batchOutcome)) {
	b.handlers = append(b.handlers, handler)
}

// addFinishedEnds adds the ends of jobs that were not cancelled.
func (b *recordBatch) addFinishedEnds() {
	for _, j := range b.leader.JobsBySubmission {
		if !j.Cancellation.Requested() && b.leader.endIsRecordable(j) && !b.addEnd(j) {
			return
		}
	}
}

// addEnd adds the end of a job. It is false if there is no room for it.
func (b *recordBatch) addEnd(j *cluster.Job) bool {
	keys := j.RecordKeys()
	writes := min(jobEndWrites+len(keys), b.maxWrites) // the rest is deleted afterwards
	if !b.reserve(writes) {
		return false
	}
	final := records.Final{Status: wire.StatusDone, Tasks: len(j.TaskStates)}
	if j.Cancellation.Requested() {
		final.Status = wire.StatusCancelled
	}
	b.addWriter(j)
	b.delete(records.OpenKey(j.ID))
	b.put(records.FinalKey(j.ID), kv.Encode(final))
	deleted := writes - jobEndWrites
	for _, key := range keys[:deleted] {
		b.delete(key)
	}
	b.bytes += jobEndBytes
	j.EndWritePending = true
	b.onOutcome(func(answer batchOutcome) { b.endOutcome(j, final, keys[deleted:], answer) })
	return true
}

// endOutcome takes in the answer to the end of a job. Its records that are left
// over are deleted by later batches.
func (b *recordBatch) endOutcome(j *cluster.Job, final records.Final, leftOver []string, answer batchOutcome) {
	l := b.leader
	j.EndWritePending = false
	if !answer.committed {
		if j.Cancellation.Requested() {
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, j)
		}
		return
	}
	l.core.log.Info("job over", "job", j.ID, "status", final.Status)
	j.EndRecorded = true
	l.writer.orphanedRecords = append(l.writer.orphanedRecords, leftOver...)
	l.writer.dirty = l.writer.dirty || len(l.writer.orphanedRecords) > 0
	end := wire.JobEnd{ID: j.ID, Status: string(final.Status), Tasks: final.Tasks}
	l.core.applyEnd(end)
	b.committedEnds = append(b.committedEnds, end)
	l.forget(j)
	l.dependencyEnded(j.ID, final.Status)
}

// addOpenRecords adds the open records of jobs that go on, since all that they
// awaited is done, and of those that are to be written before others.
func (b *recordBatch) addOpenRecords() {
	for _, j := range b.leader.JobsBySubmission {
		if !j.RecordsWritable() || j.Cancellation.Requested() || !j.DependenciesDone && !j.RewriteOpenFirst || !b.leader.mayWriteOpenRecord(j) {
			continue
		}
		if !b.reserve(1) {
			return
		}
		b.addOpenRecord(j)
	}
}

// addOpenRecord adds the open record of a job, for which there is room.
func (b *recordBatch) addOpenRecord(j *cluster.Job) {
	rec := j.Record
	if j.DependenciesDone {
		rec.ReadyAt = b.leader.core.wallClockMS
		b.requireDependenciesOver(j)
	}
	body := kv.Encode(rec)
	b.bytes += len(body) + recordOverhead
	b.addWriter(j)
	b.put(records.OpenKey(j.ID), body)
	j.OpenWritePending = true
	b.onOutcome(func(answer batchOutcome) { b.leader.openRecordOutcome(j, rec, answer) })
}

// requireDependenciesOver makes the batch conditional on the ends of the jobs that a job
// awaited, which took their open records away, as far as conditions are left.
func (b *recordBatch) requireDependenciesOver(j *cluster.Job) {
	for _, awaited := range j.Dependencies {
		if b.dependencyConditions >= 2*b.maxWrites-1 {
			return
		}
		b.dependencyConditions++
		b.addCondition(records.OpenKey(awaited), 0)
	}
}

// openRecordOutcome takes in the answer to the open record of a job that goes on.
func (l *leader) openRecordOutcome(j *cluster.Job, rec records.Open, answer batchOutcome) {
	j.OpenWritePending = false
	if !answer.committed {
		l.writer.dirty = true
		return
	}
	l.core.cacheOpen(j.ID, &cachedJob{version: answer.revision, record: rec})
	if j.OpenVersion < answer.revision {
		j.OpenVersion, j.Record = answer.revision, rec
	}
	l.markReady(j)
	if j.RewriteOpenFirst {
		j.RewriteOpenFirst, l.writer.dirty = false, true
		l.switchToNamedRanges(j)
	}
}

// addPlacements adds the placement records that have changed.
func (b *recordBatch) addPlacements() {
	for _, j := range b.leader.JobsBySubmission {
		if !j.RecordsWritable() || b.leader.inWriteBackoff(j) {
			continue
		}
		if b.namedRanges && !b.leader.mayWriteNamedRanges(j) {
			b.incomplete = true
			continue
		}
		b.addPlacementsOf(j)
	}
}

// addPlacementsOf adds the placement records of a job that are due, as far as
// there is room.
func (b *recordBatch) addPlacementsOf(j *cluster.Job) {
	first := true
	for i := range j.PlacementRecords {
		ch := &j.PlacementRecords[i]
		if !ch.Dirty || ch.VersionUnknown || ch.WritePending {
			continue
		}
		if b.leader.core.now < ch.DueAt {
			b.leader.scheduleWrite(ch.DueAt)
			continue
		}
		if !b.reserve(1) {
			return
		}
		if first {
			first = false
			b.addWriter(j)
		}
		b.addPlacement(j, ch)
	}
}

// addPlacement adds a placement record, for which there is room.
func (b *recordBatch) addPlacement(j *cluster.Job, ch *cluster.PlacementRecord) {
	body, starts := encodePlacementRecord(j, ch)
	b.bytes += len(body) + recordOverhead
	b.addCondition(ch.Key, ch.Version)
	b.put(ch.Key, body)
	ch.Dirty, ch.WritePending, j.PlacementSentThisTerm = false, true, true
	b.onOutcome(func(answer batchOutcome) { b.leader.placementOutcome(j, ch, starts, answer) })
}

// placementOutcome takes in the answer to a placement record: what it is the
// first to place is started now.
func (l *leader) placementOutcome(j *cluster.Job, ch *cluster.PlacementRecord, starts []records.PlacedTask, answer batchOutcome) {
	ch.WritePending = false
	if !answer.committed {
		ch.Dirty, ch.DueAt, l.writer.dirty = true, 0, true
		return
	}
	ch.Version = answer.revision
	for _, s := range starts {
		if t := &j.TaskStates[s.Task]; t.Machine != nil && t.Attempt == s.Attempt {
			t.Persisted = true
		}
	}
	l.sendStarts(j, starts)
}

// addDeletions adds deletions of left-over placement records, if all else that is
// due has found room.
func (b *recordBatch) addDeletions() {
	for _, key := range b.leader.writer.orphanedRecords {
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

// deletionsOutcome forgets the records that were deleted.
func (b *recordBatch) deletionsOutcome(answer batchOutcome) {
	if answer.committed {
		b.leader.writer.orphanedRecords = b.leader.writer.orphanedRecords[b.deletions:]
	}
}

// moreDue tells whether records that are due are not in the batch.
func (b *recordBatch) moreDue() bool {
	return b.incomplete || len(b.leader.writer.orphanedRecords) > b.deletions
}

// onResult takes in the answer of the state service.
func (b *recordBatch) onResult(r kv.TxnResult) {
	l := b.leader
	l.writer.transactionOpen = false
	if l.steppedDown {
		return
	}
	answer := b.outcome(r)
	l.writer.dirty = l.writer.dirty || !answer.committed
	for _, handle := range b.handlers {
		handle(answer)
	}
	l.sendJobEnds(wire.Ends{Over: b.committedEnds})
	l.passes.requested = true
}

// outcome tells whether the batch was committed, and deals with the causes if not.
func (b *recordBatch) outcome(r kv.TxnResult) batchOutcome {
	l := b.leader
	switch r.Status {
	case kv.OK:
		l.writer.singleJobTransactions = false
		for _, j := range b.writers {
			j.Rejections = 0
		}
		return batchOutcome{committed: r.Revision != 0, revision: r.Revision}
	case kv.Conflict:
		l.resolveConflicts(r.Conflicts)
	case kv.Rejected:
		l.onTxnRejected(b.txn, b.writers)
		l.retryRecordsLater()
	default:
		l.retryRecordsLater()
	}
	return batchOutcome{}
}

// retryRecordsLater puts the next transaction off for a moment.
func (l *leader) retryRecordsLater() { l.writer.retryAt = l.core.now + l.core.leaderLeaseDuration()/20 }
