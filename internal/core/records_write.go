package core

import (
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/segmentio/encoding/json"
)

// recordWriter is the state of the leader's transactions, one of which is open at
// a time.
type recordWriter struct {
	busy     bool          // a transaction is open
	retryAt  time.Duration // no transaction before, since the last one failed
	dirty    bool          // records may be due
	dueAt    time.Duration // when records that were put off are due; 0 for none
	leftOver []string      // records of jobs that are over, to be deleted
	limited  bool          // the state service refused a transaction as malformed
	oneJob   bool          // one job a transaction, to find out whose record is refused
}

// writeRecords commits what has changed: ends of jobs ahead of placements.
// One transaction is open at a time, and every one is conditional on the term
// and on the versions of the jobs' open records, so that a deposed leader
// writes nothing and a cancellation and a start cannot both win.
func (l *leader) writeRecords() {
	if l.records.busy || !l.records.dirty || l.c.now < l.records.retryAt {
		return
	}
	batch := l.newRecordBatch()
	batch.fill()
	l.records.dirty = batch.moreDue()
	if batch.empty() {
		return
	}
	l.records.busy = true
	l.c.store.CommitUrgent(batch.txn, batch.onResult)
}

// writable tells whether a job's records may be written: its end is not, and the
// version of its open record is known and not about to change.
func (j *job) writable() bool {
	return j.loaded && !j.ended && !j.stale && !j.endPending && !j.openWritePending
}

// mayEnd tells whether nothing on record keeps a job's end from being recorded.
func (l *leader) mayEnd(j *job) bool {
	return !j.ended && !j.stale && !j.endPending && !j.openWritePending && (j.finished() || j.over()) && !j.staleChunk() && !l.inWriteBackoff(j)
}

// endCancelled has the ends of cancelled jobs recorded as far as there is room:
// nobody is told of one before its dependents are over, so these come first. A
// chain goes into one transaction where it fits: job by job, each after the
// answer for the one before, a long one would take longer than cancel_s. A job
// with dependents is looked at again when the last of them is over.
func (l *leader) endCancelled(end func(*job) bool) {
	list := l.ending
	l.ending = nil
	for k, j := range list {
		switch {
		case l.jobs[j.ID] != j || j.ended || j.endPending || l.deps.Needed(j.ID):
		case l.mayHaveUnread(j) || !l.mayEnd(j):
			l.ending = append(l.ending, j)
		case !l.endWithAwaited(j, end):
			l.ending = append(l.ending, list[k:]...)
			return
		}
	}
}

// endWithAwaited has the end of a cancelled job recorded, and those of cancelled
// jobs that nothing but it needs. It is false if there is no room for the job.
func (l *leader) endWithAwaited(j *job, end func(*job) bool) bool {
	if !end(j) {
		return false
	}
	for at := []*job{j}; len(at) > 0; at = at[1:] {
		l.deps.EachAwaited(at[0].ID, func(a string) {
			x := l.jobs[a]
			if x != nil && x.cancellation.Requested() && l.mayEnd(x) && !l.hasLiveDependents(a) && end(x) {
				at = append(at, x)
			}
		})
	}
	return true
}

// conflict reads again what a failed condition says has changed: by another
// controller's cancellation, or by a transaction of ours whose answer got
// lost.
func (l *leader) conflict(failed []string) {
	for _, key := range failed {
		switch {
		case key == election.KeyTerm:
			l.c.stepDown(stepDownTermChanged)
			return
		case strings.HasPrefix(key, records.PrefixOpen):
			if j := l.jobs[key[len(records.PrefixOpen):]]; j != nil && !j.stale {
				j.stale = true
				l.rereadOpen(j)
			}
		case strings.HasPrefix(key, records.PrefixPlace):
			j := l.jobs[jobOf(key[len(records.PrefixPlace):])]
			if j == nil {
				continue
			}
			if n := slices.IndexFunc(j.chunks, func(ch chunk) bool { return ch.key == key }); n >= 0 && !j.chunks[n].stale {
				j.chunks[n].stale = true
				l.rereadChunk(j, key)
			}
		}
	}
}

func (l *leader) rereadOpen(j *job) {
	l.c.store.Get(records.OpenKey(j.ID), func(r kv.GetResult) {
		if l.deposed {
			return
		}
		var rec records.Open
		switch {
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &rec) == nil:
			j.stale = false
			l.records.dirty = true
			l.noteOpen(j.ID, r.Item.Version, rec)
		case r.Status == kv.NotFound:
			// Our own end of it, recorded by a transaction whose answer was
			// lost: nobody else deletes an open record under this term.
			j.stale = false
			j.ended = true
			l.c.log.Info("job over", "job", j.ID, "status", "recorded earlier")
			l.records.leftOver = append(l.records.leftOver, j.recordKeys()...)
			l.forget(j)
			l.lookAwaited(j.ID)
		default:
			l.rereadOpen(j)
		}
	})
}
