package frontend

import (
	"maps"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// This file marks the dependencies of submissions: it sets HasDependents in their open records, in the
// transaction that records the submission or, if they are too many for it, before. A record is written
// only on the condition that it is still the cached one, which may be that of a job that has ended.

// markInTxn adds to a transaction the writes that mark dependencies, each on the condition that the
// open record is unchanged, and returns the conditions for the dependencies that need no mark or cannot
// be marked. ok is false if a dependency has ended, is cancelled or is no longer cached.
func (f *FrontEnd) markInTxn(txn *submissionTxn, dependencies []string) (notMarked []wire.Condition, ok bool) {
	for _, dependency := range dependencies {
		open := f.cache.Open(dependency)
		if _, ended := f.cache.Final(dependency); ended || open == nil || open.Record.Cancelled {
			return nil, false
		}
		if !f.canMark(open) {
			notMarked = append(notMarked, unchangedOpen(dependency, open))
			continue
		}
		txn.mark(dependency, open)
	}
	return notMarked, true
}

// txnRoom is the room of a transaction for marks.
type txnRoom struct {
	writes int
	bytes  int // of the values with their overhead
}

// roomInTxn returns the room of an empty transaction.
func (f *FrontEnd) roomInTxn() txnRoom {
	return txnRoom{writes: f.store.MaxWrites(), bytes: kv.MaxTxnBytes}
}

// roomBesideRecord returns the room of a transaction that records a submission.
func (f *FrontEnd) roomBesideRecord(pending *pendingSubmission) txnRoom {
	record := pending.record
	record.Job.Dependencies = pending.unfinished
	// Dependencies that do not fit into the record are listed elsewhere.
	size := min(len(kv.Encode(record)), f.maxNewRecordBytes())
	room := f.roomInTxn()
	return txnRoom{writes: room.writes - 1, bytes: room.bytes - size - kv.WriteOverheadBytes}
}

// marksThatFit returns how many of the jobs, from the first one, can be marked within the room.
func (f *FrontEnd) marksThatFit(jobs []string, room txnRoom) int {
	for i, job := range jobs {
		room.writes--
		room.bytes -= len(kv.Encode(withDependents(f.cache.Open(job).Record))) + kv.WriteOverheadBytes
		if room.writes < 0 || room.bytes < 0 {
			return i
		}
	}
	return len(jobs)
}

// withDependents returns an open record marked as that of a job with dependents.
func withDependents(record records.Open) records.Open {
	record.HasDependents = true
	return record
}

// canMark reports whether a job is not marked yet and the store accepts a record of the size that
// it has with the mark.
func (f *FrontEnd) canMark(open *jobcache.OpenJob) bool {
	if open.Record.HasDependents || open.TooLargeToWrite {
		return false
	}
	return len(kv.Encode(withDependents(open.Record))) <= f.store.MaxValue()
}

// canRetryMarking records that the store rejected a transaction that marks dependencies, and reports
// whether smaller transactions, or one that marks fewer dependencies, may be accepted.
func (f *FrontEnd) canRetryMarking(writes int, marked map[string]records.Open) bool {
	smaller := f.host.RejectedWrites(writes)
	fewer := f.excludeLargeFromMarking(marked)
	return smaller || fewer
}

// excludeLargeFromMarking takes the large records of a rejected transaction for the cause of the
// rejection: it excludes their jobs from marking, and reports whether there are any.
func (f *FrontEnd) excludeLargeFromMarking(marked map[string]records.Open) bool {
	found := false
	for job, record := range marked {
		if open := f.cache.Open(job); open != nil && mayBeTooLargeToMark(record) {
			open.TooLargeToWrite = true
			found = true
		}
	}
	return found
}

// mayBeTooLargeToMark reports whether an open record is so large that the store may have rejected
// it when the job was to be marked.
func mayBeTooLargeToMark(record records.Open) bool {
	return len(kv.Encode(record)) > kv.SmallValueBytes
}

// cacheMarkedDependencies caches the open records of jobs that were marked at a revision.
func (f *FrontEnd) cacheMarkedDependencies(marked map[string]records.Open, revision uint64) {
	for _, job := range slices.Sorted(maps.Keys(marked)) {
		f.cache.PutOpen(job, &jobcache.OpenJob{Version: revision, Record: marked[job]})
	}
}

// markDependencies marks some dependencies of a submission in a transaction of their own, and then
// resolves the submission's dependencies again.
func (f *FrontEnd) markDependencies(pending *pendingSubmission, jobs []string) {
	txn := submissionTxn{markedDependencies: map[string]records.Open{}}
	for _, job := range jobs {
		txn.mark(job, f.cache.Open(job))
	}
	f.store.Commit(&wire.Txn{Conditions: txn.conditions, Writes: txn.writes}, func(r kv.TxnResult) {
		if !f.handleMarkResult(r, jobs, txn.markedDependencies) {
			f.host.Refuse(pending.request, storeUnavailable)
			return
		}
		f.resolveDependencies(pending)
	})
}

// handleMarkResult updates the cache after a transaction that only marks jobs, and reports whether
// marking can continue or be retried.
func (f *FrontEnd) handleMarkResult(r kv.TxnResult, jobs []string, marked map[string]records.Open) bool {
	switch r.Status {
	case kv.OK:
		f.cacheMarkedDependencies(marked, r.Revision)
		return true
	case kv.Conflict, kv.Unanswered:
		for _, job := range jobs {
			f.cache.RemoveOpen(job)
		}
		return true
	case kv.Rejected:
		return f.canRetryMarking(len(jobs), marked)
	default:
		return false
	}
}
