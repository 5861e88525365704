package persistence

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A Writer writes the records of a leader during one term. It has at most one transaction in
// flight. Each is conditional on the term, so that a replaced leader writes nothing, and on the
// versions of the jobs' open records, so that only one of a concurrent cancellation and start
// takes effect.
type Writer struct {
	store         *kv.Client
	state         *cluster.State
	host          WriterHost
	deployment    *config.Deployment
	termCondition wire.Condition
	log           *slog.Logger

	dirty           bool          // some records may be due
	deferredUntil   time.Duration // earliest time at which deferred records are due; 0 for none
	transactionOpen bool          // a transaction is in flight
	retryAt         time.Duration // earliest time of the next transaction after a failed one
	orphans         []string      // keys to delete, of records whose jobs have ended

	namedRangesAllowed    bool // see AllowNamedRanges
	singleJobTransactions bool // one job per transaction, to find the job whose record is rejected
}

// NewWriter returns a writer whose transactions are conditional on a term.
func NewWriter(store *kv.Client, state *cluster.State, host WriterHost, deployment *config.Deployment, term wire.Condition, log *slog.Logger) *Writer {
	return &Writer{store: store, state: state, host: host, deployment: deployment, termCondition: term, log: log}
}

// MarkDirty makes the next Write check all records for changes.
func (w *Writer) MarkDirty() { w.dirty = true }

// MarkPlacement marks a task's placement record as due immediately.
func (w *Writer) MarkPlacement(job *cluster.Job, task int) {
	w.markDue(job.PlacementRecordOf(task), w.host.Now())
	w.dirty = true
}

// deferralHeartbeats is the delay of a deferred placement record, in heartbeat intervals.
const deferralHeartbeats = 2

// MarkPlacementDeferred marks a task's placement record as due after a delay, so that it is
// written together with later changes. It is for changes that only record the end of the task: if
// the write is lost, the worker still reports the end, until it is recorded. Without the delay,
// the ends of array tasks used most of the store's write rate, and the last of these writes were
// useless, since the end of the job deletes the record.
func (w *Writer) MarkPlacementDeferred(job *cluster.Job, task int) {
	record := job.PlacementRecordOf(task)
	w.markDue(record, w.host.Now()+deferralHeartbeats*w.deployment.Workers.HeartbeatInterval())
	if job.IsCompleted() || job.IsTerminated() {
		w.dirty = true
		return
	}
	w.scheduleWrite(record.DueAt)
}

// markDue marks a record as due at a time, unless it is already due earlier.
func (w *Writer) markDue(record *cluster.PlacementRecord, at time.Duration) {
	if !record.Dirty || at < record.DueAt {
		record.Dirty, record.DueAt = true, at
	}
}

// scheduleWrite makes Tick check all records for due ones at a time, unless a check is scheduled
// earlier.
func (w *Writer) scheduleWrite(at time.Duration) {
	if w.deferredUntil == 0 || at < w.deferredUntil {
		w.deferredUntil = at
	}
}

// AddOrphans adds keys of records whose jobs have ended. They are deleted once all other due
// records are written.
func (w *Writer) AddOrphans(keys ...string) { w.orphans = append(w.orphans, keys...) }

// Tick makes the next Write check all records for changes if deferred ones are due.
func (w *Writer) Tick() {
	if w.deferredUntil != 0 && w.host.Now() >= w.deferredUntil {
		w.deferredUntil, w.dirty = 0, true
	}
}

// Write sends a transaction with the due records, unless one is in flight or a retry is delayed.
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

// retryLater delays the next transaction by a fraction of the leader's lease.
func (w *Writer) retryLater() { w.retryAt = w.host.Now() + w.host.LeaderLease()/20 }

// EndRecordable reports whether a job's end can be recorded now: no task is left, no write of the
// job's records is in flight or delayed, and the versions of all its records are known.
func (w *Writer) EndRecordable(job *cluster.Job) bool {
	if job.EndRecorded || job.OpenVersionUnknown || job.EndWritePending || job.OpenWritePending {
		return false
	}
	return (job.IsCompleted() || job.IsTerminated()) && !job.HasUnknownPlacementVersion() && !w.inBackoff(job)
}
