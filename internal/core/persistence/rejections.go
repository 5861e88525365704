package persistence

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file handles records that the store no longer accepts: its limits may drop at any time,
// without notice and below the values in the settings. Stored records stay readable, but a record
// that is too large cannot be written again. In a transaction with other records it would block
// them permanently.

// maxBackoffDoublings limits the exponential backoff between attempts to write a job's records.
const maxBackoffDoublings = 8

// onRejected handles a transaction that the store rejected as invalid. Either it has too many
// writes, or a value is too large. Every store accepts two writes, so with two or fewer the cause
// is a value.
func (w *Writer) onRejected(txn *wire.Txn, jobs []*cluster.Job) {
	w.AllowNamedRanges()
	switch {
	case len(txn.Writes) > 2:
		w.host.RejectedWrites(len(txn.Writes))
	case !w.store.SmallValues() && writesLargeValue(txn, records.PrefixPlacement):
		w.store.RejectedValue()
		w.log.Info("store rejected a large placement record; reducing the size of placement records", "bytes", kv.SmallValue)
	case len(jobs) > 1:
		w.singleJobTransactions = true
	default:
		w.singleJobTransactions = false
		for _, job := range jobs {
			w.backOff(job, txn)
		}
	}
}

// backOff delays writes of a job's records that the store rejected, with exponential backoff.
func (w *Writer) backOff(job *cluster.Job, txn *wire.Txn) {
	if writesLargeValue(txn, records.PrefixOpen) && !job.OpenRecordTooLarge {
		job.OpenRecordTooLarge = true
		w.store.ForgetFewerWrites()
	}
	job.Rejections++
	delay := w.host.LeaderLease() << min(job.Rejections, maxBackoffDoublings) / 8
	job.WriteBackoffUntil = w.host.Now() + delay
	w.log.Info("store rejected a job's records; delaying the next attempt", "job", job.ID, "times", job.Rejections)
}

// writesLargeValue reports whether a transaction writes a large value to a key with a prefix.
func writesLargeValue(txn *wire.Txn, prefix string) bool {
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Put, prefix) && len(write.Value) > kv.SmallValue/2 {
			return true
		}
	}
	return false
}

// inBackoff reports whether writes of a job's records are still delayed. If so, it schedules a
// write for the end of the delay.
func (w *Writer) inBackoff(job *cluster.Job) bool {
	if w.host.Now() >= job.WriteBackoffUntil {
		return false
	}
	w.scheduleWrite(job.WriteBackoffUntil)
	return true
}

// mayWriteOpenRecord reports whether a job's open record may be written now. A record that is too
// large for the store is not written, and the job continues without the write:
//   - The final records of the dependencies show that all of them are done, and never change. The
//     next leader reads them again. Only the time at which the last dependency ended is lost.
//   - A delayed copy of a write to a numbered placement record can still be applied until the
//     records that replace it are written. They are written at once, because records whose write
//     was not answered count as changed.
func (w *Writer) mayWriteOpenRecord(job *cluster.Job) bool {
	record := job.Record
	record.ReadyAt = max(record.ReadyAt, w.host.WallClockMS())
	if !job.OpenRecordTooLarge && len(kv.Encode(record)) <= w.store.MaxValue() {
		return !w.inBackoff(job)
	}
	if job.DependenciesDone {
		job.Record = record
		w.host.JobMayBeReady(job)
	}
	if job.RewriteOpenFirst {
		job.RewriteOpenFirst, w.dirty = false, true
		w.switchToNamedRanges(job)
	}
	return false
}
