package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file deals with records that the state service does not take any more: its
// limits may fall at any moment, without notice and below what the settings say.
// What it holds stays readable, but a record that is too large cannot be written
// again, and in a transaction with others it would hold these up for ever.

// onTxnRejected takes in that the state service found a transaction malformed. Either
// it has too many operations, or a value is too large: of two changes, which any
// service takes, it can only be a value. Then all that was concluded on the number
// of operations is in doubt.
func (l *leader) onTxnRejected(txn *wire.Txn, writers []*cluster.Job) {
	l.writer.rejectedOnce = true
	switch {
	case len(txn.Writes) > 2:
		l.core.rejectedWrites(len(txn.Writes))
	case !l.core.store.SmallValues() && writesLargeValue(txn, records.PrefixPlacement):
		l.core.store.RejectedValue()
		l.core.log.Info("the state service takes smaller values only", "bytes", kv.SmallValue)
	case len(writers) > 1:
		l.writer.singleJobTransactions = true
	default:
		l.writer.singleJobTransactions = false
		for _, j := range writers {
			if writesLargeValue(txn, records.PrefixOpen) && !j.OpenRecordTooLarge {
				j.OpenRecordTooLarge = true
				l.core.store.ForgetFewerWrites()
			}
			j.Rejections++
			j.WriteBackoffUntil = l.core.now + l.core.leaderLeaseDuration()<<min(j.Rejections, 8)/8
			l.core.log.Info("the state service refuses a job's records", "job", j.ID, "times", j.Rejections)
		}
	}
}

// writesLargeValue tells whether a transaction writes a large record of a kind.
func writesLargeValue(txn *wire.Txn, prefix string) bool {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Put, prefix) && len(w.Value) > kv.SmallValue/2 {
			return true
		}
	}
	return false
}

// inWriteBackoff tells whether a job's records were refused a moment ago.
func (l *leader) inWriteBackoff(j *cluster.Job) bool {
	if l.core.now >= j.WriteBackoffUntil {
		return false
	}
	l.scheduleWrite(j.WriteBackoffUntil)
	return true
}

// mayWriteOpenRecord tells whether a job's open record is to be written. One that is too
// large is left as it is, and the job goes on without:
//   - that all it awaited is done stands in the final records, which never change.
//     The next leader reads them again; only the time of the last end is lost.
//   - a copy of a numbered placement record that is still under way can have an
//     effect until the records that take its place are written, which they are at
//     once: whatever was sent without an answer counts as changed.
func (l *leader) mayWriteOpenRecord(j *cluster.Job) bool {
	rec := j.Record
	rec.ReadyAt = max(rec.ReadyAt, l.core.wallClockMS)
	if !j.OpenRecordTooLarge && len(kv.Encode(rec)) <= l.core.store.MaxValue() {
		return !l.inWriteBackoff(j)
	}
	if j.DependenciesDone {
		j.Record = rec
		l.markReady(j)
	}
	if j.RewriteOpenFirst {
		j.RewriteOpenFirst, l.writer.dirty = false, true
		l.switchToNamedRanges(j)
	}
	return false
}
