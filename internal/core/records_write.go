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
	transactionOpen       bool          // a transaction is open
	retryAt               time.Duration // no transaction before, since the last one failed
	dirty                 bool          // records may be due
	deferredUntil         time.Duration // when records that were put off are due; 0 for none
	orphanedRecords       []string      // records of jobs that are over, to be deleted
	rejectedOnce          bool          // the state service refused a transaction as malformed
	singleJobTransactions bool          // one job a transaction, to find out whose record is refused
}

// writeRecords commits what has changed: ends of jobs ahead of placements.
// One transaction is open at a time, and every one is conditional on the term
// and on the versions of the jobs' open records, so that a deposed leader
// writes nothing and a cancellation and a start cannot both win.
func (l *leader) writeRecords() {
	if l.writer.transactionOpen || !l.writer.dirty || l.core.now < l.writer.retryAt {
		return
	}
	batch := l.newRecordBatch()
	batch.fill()
	l.writer.dirty = batch.moreDue()
	if batch.empty() {
		return
	}
	l.writer.transactionOpen = true
	l.core.store.CommitUrgent(batch.txn, batch.onResult)
}

// recordsWritable tells whether a job's records may be written: its end is not, and the
// version of its open record is known and not about to change.
func (j *job) recordsWritable() bool {
	return j.loaded && !j.endRecorded && !j.openVersionUnknown && !j.endWritePending && !j.openWritePending
}

// endIsRecordable tells whether nothing on record keeps a job's end from being recorded.
func (l *leader) endIsRecordable(j *job) bool {
	return !j.endRecorded && !j.openVersionUnknown && !j.endWritePending && !j.openWritePending && (j.isFinished() || j.isOver()) && !j.hasUnknownPlacementVersion() && !l.inWriteBackoff(j)
}

// addCancelledEnds has the ends of cancelled jobs recorded as far as there is room:
// nobody is told of one before its dependents are over, so these come first. A
// chain goes into one transaction where it fits: job by job, each after the
// answer for the one before, a long one would take longer than cancel_s. A job
// with dependents is looked at again when the last of them is over.
func (l *leader) addCancelledEnds(end func(*job) bool) {
	list := l.cancelledWithoutDependents
	l.cancelledWithoutDependents = nil
	for k, j := range list {
		switch {
		case l.jobs[j.ID] != j || j.endRecorded || j.endWritePending || l.dependencies.Needed(j.ID):
		case l.mayHaveUnknownDependents(j) || !l.endIsRecordable(j):
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, j)
		case !l.addEndWithDependencies(j, end):
			l.cancelledWithoutDependents = append(l.cancelledWithoutDependents, list[k:]...)
			return
		}
	}
}

// addEndWithDependencies has the end of a cancelled job recorded, and those of cancelled
// jobs that nothing but it needs. It is false if there is no room for the job.
func (l *leader) addEndWithDependencies(j *job, end func(*job) bool) bool {
	if !end(j) {
		return false
	}
	for at := []*job{j}; len(at) > 0; at = at[1:] {
		l.dependencies.EachAwaited(at[0].ID, func(a string) {
			x := l.jobs[a]
			if x != nil && x.cancellation.Requested() && l.endIsRecordable(x) && !l.hasLiveDependents(a) && end(x) {
				at = append(at, x)
			}
		})
	}
	return true
}

// resolveConflicts reads again what a failed condition says has changed: by another
// controller's cancellation, or by a transaction of ours whose answer got
// lost.
func (l *leader) resolveConflicts(failed []string) {
	for _, key := range failed {
		switch {
		case key == election.KeyTerm:
			l.core.stepDown(stepDownTermChanged)
			return
		case strings.HasPrefix(key, records.PrefixOpen):
			if j := l.jobs[key[len(records.PrefixOpen):]]; j != nil && !j.openVersionUnknown {
				j.openVersionUnknown = true
				l.refreshOpenRecord(j)
			}
		case strings.HasPrefix(key, records.PrefixPlacement):
			j := l.jobs[jobIDOf(key[len(records.PrefixPlacement):])]
			if j == nil {
				continue
			}
			if n := slices.IndexFunc(j.placementRecords, func(ch placementRecord) bool { return ch.key == key }); n >= 0 && !j.placementRecords[n].versionUnknown {
				j.placementRecords[n].versionUnknown = true
				l.refreshPlacementRecord(j, key)
			}
		}
	}
}

func (l *leader) refreshOpenRecord(j *job) {
	l.core.store.Get(records.OpenKey(j.ID), func(r kv.GetResult) {
		if l.steppedDown {
			return
		}
		var rec records.Open
		switch {
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &rec) == nil:
			j.openVersionUnknown = false
			l.writer.dirty = true
			l.applyOpenRecord(j.ID, r.Item.Version, rec)
		case r.Status == kv.NotFound:
			// Our own end of it, recorded by a transaction whose answer was
			// lost: nobody else deletes an open record under this term.
			j.openVersionUnknown = false
			j.endRecorded = true
			l.core.log.Info("job over", "job", j.ID, "status", "recorded earlier")
			l.writer.orphanedRecords = append(l.writer.orphanedRecords, j.recordKeys()...)
			l.forget(j)
			l.lookUpDependency(j.ID)
		default:
			l.refreshOpenRecord(j)
		}
	})
}
