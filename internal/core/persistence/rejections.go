package persistence

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file handles records that the store no longer accepts: its limits may fall at any moment,
// without notice and below what the settings say. What it holds stays readable, but a record that
// is too large cannot be written again, and in a transaction with others it would block these for
// ever.

// maxBackoffDoublings bounds the time between two attempts to write a job's records.
const maxBackoffDoublings = 8

// onRejected handles a transaction that the store found malformed. Either it has too many
// writes, or a value is too large: of two writes, which any store takes, it can only be a
// value.
func (w *Writer) onRejected(txn *wire.Txn, jobs []*cluster.Job) {
	w.AllowNamedRanges()
	switch {
	case len(txn.Writes) > 2:
		w.host.RejectedWrites(len(txn.Writes))
	case !w.store.LargeValuesRejected() && writesLargeValue(txn, records.PrefixPlacement):
		w.store.LowerMaxPlacementValue()
		w.log.Info("store takes smaller values only", "bytes", kv.SmallValueBytes)
	case len(jobs) > 1:
		w.singleJobTransactions = true
	default:
		w.singleJobTransactions = false
		for _, job := range jobs {
			w.backOff(job, txn)
		}
	}
}

// backOff delays the records of a job that the store rejected, longer each time.
func (w *Writer) backOff(job *cluster.Job, txn *wire.Txn) {
	if writesLargeValue(txn, records.PrefixOpen) && !job.OpenRecordTooLarge {
		job.OpenRecordTooLarge = true
		w.store.ResetMaxWrites()
	}
	job.Rejections++
	delay := w.host.LeaderLease() << min(job.Rejections, maxBackoffDoublings) / 8
	job.WriteBackoffUntil = w.host.Now() + delay
	w.log.Info("store rejects a job's records", "job", job.ID, "times", job.Rejections)
}

// writesLargeValue reports whether a transaction writes a large record of a kind.
func writesLargeValue(txn *wire.Txn, prefix string) bool {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Put, prefix) && len(write.Value) > kv.SmallValueBytes/2 {
			return true
		}
	}
	return false
}

// inBackoff reports whether a job's records are not to be written yet. If so, they are due
// once that is over.
func (w *Writer) inBackoff(job *cluster.Job) bool {
	if w.host.Now() >= job.WriteBackoffUntil {
		return false
	}
	w.schedule(job.WriteBackoffUntil)
	return true
}

// mayWriteOpenRecord reports whether a job's open record is to be written. One that is too large
// is left as it is, and the job continues without:
//   - that all its dependencies are done is in their final records, which never change. The
//     next leader reads them again; only the time of the last end is lost.
//   - a copy of a numbered placement record that is still under way can take effect until
//     the records that replace it are written, which they are at once: whatever was sent
//     without an answer counts as changed.
func (w *Writer) mayWriteOpenRecord(job *cluster.Job) bool {
	record := job.Record
	record.ReadyAt = max(record.ReadyAt, w.host.WallClockMS())
	if !job.OpenRecordTooLarge && len(kv.Encode(record)) <= w.store.MaxValue() {
		return !w.inBackoff(job)
	}
	if job.DependenciesDone {
		job.Record = record
		w.host.DependenciesMayBeReady(job)
	}
	if job.RewriteOpenFirst {
		job.RewriteOpenFirst, w.dirty = false, true
		w.switchToNamedRanges(job)
	}
	return false
}
