package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file deals with records that the state service does not take any more: its
// limits may fall at any moment, without notice and below what the settings say.
// What it holds stays readable, but a record that is too large cannot be written
// again, and in a transaction with others it would hold these up for ever.

// refused takes in that the state service found a transaction malformed. Either
// it has too many operations, or a value is too large: of two changes, which any
// service takes, it can only be a value. Then all that was concluded on the number
// of operations is in doubt.
func (l *leader) refused(txn *wire.Txn, writers []*job) {
	l.records.limited = true
	switch {
	case len(txn.Writes) > 2:
		l.c.rejectedWrites(len(txn.Writes))
	case !l.c.store.SmallValues() && hasLarge(txn, records.PrefixPlace):
		l.c.store.RejectedValue()
		l.c.log.Info("the state service takes smaller values only", "bytes", kv.SmallValue)
	case len(writers) > 1:
		l.records.oneJob = true
	default:
		l.records.oneJob = false
		for _, j := range writers {
			if hasLarge(txn, records.PrefixOpen) && !j.oversize {
				j.oversize = true
				l.c.store.ForgetFewerWrites()
			}
			j.refusals++
			j.writeBackoffUntil = l.c.now + l.c.ttl()<<min(j.refusals, 8)/8
			l.c.log.Info("the state service refuses a job's records", "job", j.ID, "times", j.refusals)
		}
	}
}

// hasLarge tells whether a transaction writes a large record of a kind.
func hasLarge(txn *wire.Txn, prefix string) bool {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Put, prefix) && len(w.Value) > kv.SmallValue/2 {
			return true
		}
	}
	return false
}

// inWriteBackoff tells whether a job's records were refused a moment ago.
func (l *leader) inWriteBackoff(j *job) bool {
	if l.c.now >= j.writeBackoffUntil {
		return false
	}
	l.writeBy(j.writeBackoffUntil)
	return true
}

// mayWriteOpen tells whether a job's open record is to be written. One that is too
// large is left as it is, and the job goes on without:
//   - that all it awaited is done stands in the final records, which never change.
//     The next leader reads them again; only the time of the last end is lost.
//   - a copy of a numbered placement record that is still under way can have an
//     effect until the records that take its place are written, which they are at
//     once: whatever was sent without an answer counts as changed.
func (l *leader) mayWriteOpen(j *job) bool {
	rec := j.rec
	rec.ReadyAt = max(rec.ReadyAt, l.c.wall)
	if !j.oversize && len(kv.Encode(rec)) <= l.c.store.MaxValue() {
		return !l.inWriteBackoff(j)
	}
	if j.awaitedDone {
		j.rec = rec
		l.noteReady(j)
	}
	if j.fence {
		j.fence, l.records.dirty = false, true
		l.switchToRanges(j)
	}
	return false
}
