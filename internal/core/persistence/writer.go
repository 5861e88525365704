package persistence

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A Writer writes the records of a leader, for one term. One transaction is open at a time, and
// each is conditional on the term and on the versions of the jobs' open records: a
// leader that was replaced writes nothing, and of a cancellation and a start only one takes
// effect.
type Writer struct {
	store         *kv.Client
	state         *cluster.State
	host          WriterHost
	deployment    *config.Deployment
	termCondition wire.Condition
	log           *slog.Logger

	dirty           bool          // records may be due
	deferredUntil   time.Duration // when records that were deferred are due; 0 for none
	transactionOpen bool
	retryAt         time.Duration // no transaction before, since the last one failed
	orphans         []string      // keys of records of jobs that are over, to be deleted

	namedRangesAllowed    bool // though not every peer has said that it reads them
	singleJobTransactions bool // one job a transaction, to find out whose record is rejected
}

// NewWriter makes a writer of a term.
func NewWriter(store *kv.Client, state *cluster.State, host WriterHost, deployment *config.Deployment, term wire.Condition, log *slog.Logger) *Writer {
	return &Writer{store: store, state: state, host: host, deployment: deployment, termCondition: term, log: log}
}

// MarkDirty makes the next Write check all records for changes.
func (w *Writer) MarkDirty() { w.dirty = true }

// MarkPlacement marks a task's placement record for writing at once.
func (w *Writer) MarkPlacement(job *cluster.Job, task int) {
	w.markDue(job.PlacementRecordOf(task), w.host.Now())
	w.dirty = true
}

// deferralHeartbeats is how long a placement record is deferred, in heartbeat intervals.
const deferralHeartbeats = 2

// MarkPlacementDeferred marks a task's placement record for writing where its loss would lose
// nothing but the end of the task: it is written together with later changes. The worker
// remembers an end until it is recorded. Written one by one, the ends of arrays used most of
// the store's write rate, and the writes of the last ones were wasted, since the job's own end
// deletes the record.
func (w *Writer) MarkPlacementDeferred(job *cluster.Job, task int) {
	record := job.PlacementRecordOf(task)
	w.markDue(record, w.host.Now()+deferralHeartbeats*w.deployment.Workers.HeartbeatInterval())
	if job.IsCompleted() || job.IsTerminated() {
		w.dirty = true
		return
	}
	w.schedule(record.DueAt)
}

// markDue marks a record for writing at a time, if it is not due before.
func (w *Writer) markDue(record *cluster.PlacementRecord, at time.Duration) {
	if !record.Dirty || at < record.DueAt {
		record.Dirty, record.DueAt = true, at
	}
}

// schedule makes deferred records due at a time, if they are not due before.
func (w *Writer) schedule(at time.Duration) {
	if w.deferredUntil == 0 || at < w.deferredUntil {
		w.deferredUntil = at
	}
}

// AddOrphans adds keys of records of jobs that are over. They are deleted when all else is
// written.
func (w *Writer) AddOrphans(keys ...string) { w.orphans = append(w.orphans, keys...) }

// Tick makes records due that were deferred until now.
func (w *Writer) Tick() {
	if w.deferredUntil != 0 && w.host.Now() >= w.deferredUntil {
		w.deferredUntil, w.dirty = 0, true
	}
}

// Write commits what has changed and is due.
func (w *Writer) Write() {
	if w.transactionOpen || !w.dirty || w.host.Now() < w.retryAt {
		return
	}
	batch := w.newBatch()
	batch.fill()
	w.dirty = batch.moreDue()
	if batch.empty() {
		return
	}
	w.transactionOpen = true
	w.store.CommitUrgent(batch.txn, batch.onResult)
}

// retryLater delays the next transaction for a moment.
func (w *Writer) retryLater() { w.retryAt = w.host.Now() + w.host.LeaderLease()/20 }

// EndRecordable reports whether nothing on record keeps a job's end from being recorded.
func (w *Writer) EndRecordable(job *cluster.Job) bool {
	if job.EndRecorded || job.OpenVersionUnknown || job.EndWritePending || job.OpenWritePending {
		return false
	}
	return (job.IsCompleted() || job.IsTerminated()) && !job.HasUnknownPlacementVersion() && !w.inBackoff(job)
}
