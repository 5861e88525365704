package core

import (
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
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

// endIsRecordable tells whether nothing on record keeps a job's end from being recorded.
func (l *leader) endIsRecordable(j *cluster.Job) bool {
	return !j.EndRecorded && !j.OpenVersionUnknown && !j.EndWritePending && !j.OpenWritePending && (j.IsFinished() || j.IsOver()) && !j.HasUnknownPlacementVersion() && !l.inWriteBackoff(j)
}

// addCancelledEnds has the ends of cancelled jobs recorded as far as there is room:
// nobody is told of one before its dependents are over, so these come first. A
// chain goes into one transaction where it fits: job by job, each after the
// answer for the one before, a long one would take longer than cancel_s. A job
// with dependents is looked at again when the last of them is over.
func (l *leader) addCancelledEnds(end func(*cluster.Job) bool) {
	list := l.cancelledWithoutDependents
	l.cancelledWithoutDependents = nil
	for k, j := range list {
		switch {
		case l.Jobs[j.ID] != j || j.EndRecorded || j.EndWritePending || l.dependencies.Needed(j.ID):
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
func (l *leader) addEndWithDependencies(j *cluster.Job, end func(*cluster.Job) bool) bool {
	if !end(j) {
		return false
	}
	for at := []*cluster.Job{j}; len(at) > 0; at = at[1:] {
		l.dependencies.EachAwaited(at[0].ID, func(a string) {
			x := l.Jobs[a]
			if x != nil && x.Cancellation.Requested() && l.endIsRecordable(x) && !l.hasLiveDependents(a) && end(x) {
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
			if j := l.Jobs[key[len(records.PrefixOpen):]]; j != nil && !j.OpenVersionUnknown {
				j.OpenVersionUnknown = true
				l.refreshOpenRecord(j)
			}
		case strings.HasPrefix(key, records.PrefixPlacement):
			j := l.Jobs[cluster.JobIDOf(key[len(records.PrefixPlacement):])]
			if j == nil {
				continue
			}
			if n := slices.IndexFunc(j.PlacementRecords, func(ch cluster.PlacementRecord) bool { return ch.Key == key }); n >= 0 && !j.PlacementRecords[n].VersionUnknown {
				j.PlacementRecords[n].VersionUnknown = true
				l.refreshPlacementRecord(j, key)
			}
		}
	}
}

func (l *leader) refreshOpenRecord(j *cluster.Job) {
	l.core.store.Get(records.OpenKey(j.ID), func(r kv.GetResult) {
		if l.steppedDown {
			return
		}
		var rec records.Open
		switch {
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &rec) == nil:
			j.OpenVersionUnknown = false
			l.writer.dirty = true
			l.applyOpenRecord(j.ID, r.Item.Version, rec)
		case r.Status == kv.NotFound:
			// Our own end of it, recorded by a transaction whose answer was
			// lost: nobody else deletes an open record under this term.
			j.OpenVersionUnknown = false
			j.EndRecorded = true
			l.core.log.Info("job over", "job", j.ID, "status", "recorded earlier")
			l.writer.orphanedRecords = append(l.writer.orphanedRecords, j.RecordKeys()...)
			l.forget(j)
			l.lookUpDependency(j.ID)
		default:
			l.refreshOpenRecord(j)
		}
	})
}
