package core

import (
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Estimates of the bytes that a write takes in a transaction.
const (
	// maxBatchBytes is the size from which a batch takes no further record.
	maxBatchBytes = 44 << 10
	// endBytes is what the end of a job takes.
	endBytes = 400
	// recordOverhead is what a record takes beside its value.
	recordOverhead = 300
)

// endWrites is the number of writes that every end of a job takes: the deletion
// of the open record and the final record.
const endWrites = 2

// recordBatch collects the record writes of one transaction and what is to be
// done with its answer. Every batch is conditional on the term and on the versions
// of the open records of the jobs it writes for.
type recordBatch struct {
	leader     *leader
	txn        *wire.Txn
	maxWrites  int
	ranges     bool // placement records name their range
	bytes      int  // estimate of the size
	incomplete bool // records that are due were left out

	awaitedConds int                  // conditions on awaited jobs
	writers      []*job               // jobs whose records are written
	ends         []wire.JobEnd        // ends of jobs that were committed
	deletions    int                  // left-over records that are deleted
	handlers     []func(batchOutcome) // of the answer, in the order of the writes
}

// batchOutcome tells whether a batch was committed.
type batchOutcome struct {
	committed bool
	version   uint64 // of the records written
}

// newRecordBatch makes an empty batch under the limits that hold now.
func (l *leader) newRecordBatch() *recordBatch {
	return &recordBatch{
		leader:    l,
		txn:       &wire.Txn{If: []wire.Cond{l.termCond()}},
		maxWrites: l.c.store.MaxWrites(),
		ranges:    l.ranges(),
	}
}

// fill adds the records that are due, ends of jobs ahead of placements.
func (b *recordBatch) fill() {
	b.addFinishedEnds()
	b.leader.endCancelled(b.addEnd)
	b.addOpenRecords()
	b.addPlacements()
	b.addDeletions()
}

// hasRoom tells whether the batch takes a number of further writes.
func (b *recordBatch) hasRoom(writes int) bool {
	if b.leader.records.oneJob && !b.empty() {
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

// require makes the batch conditional on the version of a record; 0 is none.
func (b *recordBatch) require(key string, version uint64) {
	b.txn.If = append(b.txn.If, wire.Cond{Key: key, Version: version})
}

// addWriter notes that the batch writes for a job whose open record is unchanged.
func (b *recordBatch) addWriter(j *job) {
	b.require(records.OpenKey(j.ID), j.version)
	b.writers = append(b.writers, j)
}

func (b *recordBatch) put(key string, value []byte) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Put: key, Value: value})
}

func (b *recordBatch) remove(key string) {
	b.txn.Writes = append(b.txn.Writes, wire.Write{Delete: key})
}

// onAnswer has a function called with the answer to the transaction, after those
// that were given before.
func (b *recordBatch) onAnswer(handler func(answer batchOutcome)) {
	b.handlers = append(b.handlers, handler)
}

// addFinishedEnds adds the ends of jobs that were not cancelled.
func (b *recordBatch) addFinishedEnds() {
	for _, j := range b.leader.order {
		if !j.cancellation.Requested() && b.leader.mayEnd(j) && !b.addEnd(j) {
			return
		}
	}
}

// addEnd adds the end of a job. It is false if there is no room for it.
func (b *recordBatch) addEnd(j *job) bool {
	keys := j.recordKeys()
	writes := min(endWrites+len(keys), b.maxWrites) // the rest is deleted afterwards
	if !b.reserve(writes) {
		return false
	}
	final := records.Final{Status: wire.StatusDone, Tasks: len(j.tasks)}
	if j.cancellation.Requested() {
		final.Status = wire.StatusCancelled
	}
	b.addWriter(j)
	b.remove(records.OpenKey(j.ID))
	b.put(records.FinalKey(j.ID), kv.Encode(final))
	deleted := writes - endWrites
	for _, key := range keys[:deleted] {
		b.remove(key)
	}
	b.bytes += endBytes
	j.endPending = true
	b.onAnswer(func(answer batchOutcome) { b.endAnswered(j, final, keys[deleted:], answer) })
	return true
}

// endAnswered takes in the answer to the end of a job. Its records that are left
// over are deleted by later batches.
func (b *recordBatch) endAnswered(j *job, final records.Final, leftOver []string, answer batchOutcome) {
	l := b.leader
	j.endPending = false
	if !answer.committed {
		if j.cancellation.Requested() {
			l.ending = append(l.ending, j)
		}
		return
	}
	l.c.log.Info("job over", "job", j.ID, "status", final.Status)
	j.ended = true
	l.records.leftOver = append(l.records.leftOver, leftOver...)
	l.records.dirty = l.records.dirty || len(l.records.leftOver) > 0
	end := wire.JobEnd{ID: j.ID, Status: string(final.Status), Tasks: final.Tasks}
	l.c.noteEnd(end)
	b.ends = append(b.ends, end)
	l.forget(j)
	l.awaitedOver(j.ID, final.Status)
}

// addOpenRecords adds the open records of jobs that go on, since all that they
// awaited is done, and of those that are to be written before others.
func (b *recordBatch) addOpenRecords() {
	for _, j := range b.leader.order {
		if !j.writable() || j.cancellation.Requested() || !j.awaitedDone && !j.fence || !b.leader.mayWriteOpen(j) {
			continue
		}
		if !b.reserve(1) {
			return
		}
		b.addOpenRecord(j)
	}
}

// addOpenRecord adds the open record of a job, for which there is room.
func (b *recordBatch) addOpenRecord(j *job) {
	rec := j.rec
	if j.awaitedDone {
		rec.ReadyAt = b.leader.c.wall
		b.requireAwaitedOver(j)
	}
	body := kv.Encode(rec)
	b.bytes += len(body) + recordOverhead
	b.addWriter(j)
	b.put(records.OpenKey(j.ID), body)
	j.openWritePending = true
	b.onAnswer(func(answer batchOutcome) { b.leader.openRecordAnswered(j, rec, answer) })
}

// requireAwaitedOver makes the batch conditional on the ends of the jobs that a job
// awaited, which took their open records away, as far as conditions are left.
func (b *recordBatch) requireAwaitedOver(j *job) {
	for _, awaited := range j.Awaits {
		if b.awaitedConds >= 2*b.maxWrites-1 {
			return
		}
		b.awaitedConds++
		b.require(records.OpenKey(awaited), 0)
	}
}

// openRecordAnswered takes in the answer to the open record of a job that goes on.
func (l *leader) openRecordAnswered(j *job, rec records.Open, answer batchOutcome) {
	j.openWritePending = false
	if !answer.committed {
		l.records.dirty = true
		return
	}
	l.c.cacheOpen(j.ID, &openJob{version: answer.version, rec: rec})
	if j.version < answer.version {
		j.version, j.rec = answer.version, rec
	}
	l.noteReady(j)
	if j.fence {
		j.fence, l.records.dirty = false, true
		l.switchToRanges(j)
	}
}

// addPlacements adds the placement records that have changed.
func (b *recordBatch) addPlacements() {
	for _, j := range b.leader.order {
		if !j.writable() || b.leader.inWriteBackoff(j) {
			continue
		}
		if b.ranges && !b.leader.mayWrite(j) {
			b.incomplete = true
			continue
		}
		b.addPlacementsOf(j)
	}
}

// addPlacementsOf adds the placement records of a job that are due, as far as
// there is room.
func (b *recordBatch) addPlacementsOf(j *job) {
	first := true
	for i := range j.chunks {
		ch := &j.chunks[i]
		if !ch.dirty || ch.stale || ch.busy {
			continue
		}
		if b.leader.c.now < ch.due {
			b.leader.writeBy(ch.due)
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
func (b *recordBatch) addPlacement(j *job, ch *chunk) {
	body, starts := encodeChunk(j, ch)
	b.bytes += len(body) + recordOverhead
	b.require(ch.key, ch.version)
	b.put(ch.key, body)
	ch.dirty, ch.busy, j.placementSent = false, true, true
	b.onAnswer(func(answer batchOutcome) { b.leader.placementAnswered(j, ch, starts, answer) })
}

// placementAnswered takes in the answer to a placement record: what it is the
// first to place is started now.
func (l *leader) placementAnswered(j *job, ch *chunk, starts []records.PlacedTask, answer batchOutcome) {
	ch.busy = false
	if !answer.committed {
		ch.dirty, ch.due, l.records.dirty = true, 0, true
		return
	}
	ch.version = answer.version
	for _, s := range starts {
		if t := &j.tasks[s.Task]; t.machine != nil && t.attempt == s.Attempt {
			t.recorded = true
		}
	}
	l.sendStarts(j, starts)
}

// addDeletions adds deletions of left-over placement records, if all else that is
// due has found room.
func (b *recordBatch) addDeletions() {
	for _, key := range b.leader.records.leftOver {
		if b.incomplete || !b.hasRoom(1) {
			break
		}
		b.remove(key)
		b.deletions++
	}
	if b.deletions > 0 {
		b.onAnswer(b.deletionsAnswered)
	}
}

// deletionsAnswered forgets the records that were deleted.
func (b *recordBatch) deletionsAnswered(answer batchOutcome) {
	if answer.committed {
		b.leader.records.leftOver = b.leader.records.leftOver[b.deletions:]
	}
}

// moreDue tells whether records that are due are not in the batch.
func (b *recordBatch) moreDue() bool {
	return b.incomplete || len(b.leader.records.leftOver) > b.deletions
}

// onResult takes in the answer of the state service.
func (b *recordBatch) onResult(r kv.TxnResult) {
	l := b.leader
	l.records.busy = false
	if l.deposed {
		return
	}
	answer := b.outcome(r)
	l.records.dirty = l.records.dirty || !answer.committed
	for _, handle := range b.handlers {
		handle(answer)
	}
	l.sendEnds(wire.Ends{Over: b.ends})
	l.passes.requested = true
}

// outcome tells whether the batch was committed, and deals with the causes if not.
func (b *recordBatch) outcome(r kv.TxnResult) batchOutcome {
	l := b.leader
	switch r.Status {
	case kv.OK:
		l.records.oneJob = false
		for _, j := range b.writers {
			j.refusals = 0
		}
		return batchOutcome{committed: r.Revision != 0, version: r.Revision}
	case kv.Conflict:
		l.conflict(r.Conflicts)
	case kv.Rejected:
		l.refused(b.txn, b.writers)
		l.retryRecordsLater()
	default:
		l.retryRecordsLater()
	}
	return batchOutcome{}
}

// retryRecordsLater puts the next transaction off for a moment.
func (l *leader) retryRecordsLater() { l.records.retryAt = l.c.now + l.c.ttl()/20 }
