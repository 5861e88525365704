package frontend

import (
	"errors"
	"maps"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/submission"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// How a submission with dependencies is accepted:
//
//   - One transaction records the job, on the condition that the open records of its unfinished
//     dependencies have not changed since they were read. If a dependency is cancelled
//     concurrently, either the cancellation or the submission thus detects the other.
//   - The transaction also marks these dependencies: it sets HasDependents in their open records.
//     A cancellation of a marked job is not acknowledged on the report of a leader that cannot
//     read the store, since that leader may not know new dependents.
//   - A dependency stays unmarked if the store would reject its larger record. Its cancellation
//     is then recorded as that of a job with dependents, see cancelledRecord.
//   - Only unfinished dependencies are recorded, since the end of a job is final.
//   - If there are more dependencies than a transaction may have conditions, some that it does not
//     mark are not part of the condition. They have been read before, and the leader reads them
//     again. No open record is written without the condition that it has not changed: the cached one
//     may be that of a job that has ended, which the write would make unfinished again.
//   - A list of dependencies that does not fit into the open record is first written to list
//     records, see package dependencylist.

// A dependencyError reports a dependency that a job cannot have.
type dependencyError struct {
	job     string
	problem string
}

func (e *dependencyError) Error() string { return "it awaits " + e.job + ", " + e.problem }

// The problems of dependencies. The texts are part of an answer and never change.
const (
	problemNeverAccepted = "which was never accepted"
	problemService       = "a service"
)

// errEvicted reports that a dependency was looked up but has since been evicted from the cache.
var errEvicted = errors.New("dependency evicted from the cache")

// prepareTxn builds the conditions and writes of a submission. ok is false if its dependencies have
// to be resolved again: one has ended, is cancelled or is no longer cached, or there are more
// writes than a transaction may have.
func (f *FrontEnd) prepareTxn(pending *pendingSubmission) (txn submissionTxn, ok bool) {
	job := pending.record.Job.ID
	txn.conditions = []wire.Condition{{Key: records.OpenKey(job)}, {Key: records.FinalKey(job)}}
	txn.markedDependencies = map[string]records.Open{}
	if pending.cancelled {
		txn.put(records.FinalKey(job), kv.Encode(pending.finalRecord()))
		return txn, true
	}
	if pending.listWriter != nil {
		txn.conditions = append(txn.conditions, pending.listWriter.FirstRecordUnchanged())
	}
	notMarked, ok := f.markInTxn(&txn, pending.unfinished)
	if !ok {
		return txn, false
	}
	txn.put(records.OpenKey(job), kv.Encode(pending.record))
	if len(txn.writes) > f.store.MaxWrites() {
		return txn, false
	}
	txn.requireUnchanged(notMarked, f.store.MaxConditions())
	return txn, true
}

// markInTxn adds to a transaction the writes that mark dependencies, each on the condition that the
// open record is unchanged, and returns the conditions for the dependencies that need no mark or cannot
// be marked. ok is false if a dependency has ended, is cancelled or is no longer cached.
func (f *FrontEnd) markInTxn(txn *submissionTxn, dependencies []string) (notMarked []wire.Condition, ok bool) {
	for _, dependency := range dependencies {
		open := f.cache.Open(dependency)
		if _, ended := f.cache.Final(dependency); ended || open == nil || open.Record.Cancelled {
			return nil, false
		}
		unchanged := wire.Condition{Key: records.OpenKey(dependency), Version: open.Version}
		if !f.canMark(open) {
			notMarked = append(notMarked, unchanged)
			continue
		}
		txn.markedDependencies[dependency] = withDependents(open.Record)
		txn.replace(unchanged, kv.Encode(txn.markedDependencies[dependency]))
	}
	return notMarked, true
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

// resolveDependencies looks up the dependencies of a submission that are not cached. Once all are
// cached, it enqueues the submission or refuses it.
func (f *FrontEnd) resolveDependencies(pending *pendingSubmission) {
	if f.host.Now() >= pending.expiresAt {
		f.host.Refuse(pending.request, overloaded)
		return
	}
	unknown := f.unknownJobs(pending.dependencies)
	if len(unknown) == 0 {
		f.enqueueResolved(pending)
		return
	}
	// A submission's lookups use at most a quarter of the waiting requests, which leaves capacity
	// for others. Results are cached, so the next round, or the user's next attempt, looks up the
	// rest.
	unknown = unknown[:min(len(unknown), f.MaxWaitingRequests()/4)]
	lookups := &dependencyLookups{remaining: len(unknown)}
	for _, job := range unknown {
		f.Lookup(job, func(result LookupResult) {
			if lookups.add(job, result) {
				f.handleDependencyLookups(pending, lookups)
			}
		})
	}
}

// unknownJobs returns those of the jobs that are not in the cache.
func (f *FrontEnd) unknownJobs(jobs []string) []string {
	var unknown []string
	for _, job := range jobs {
		if _, ended := f.cache.Final(job); !ended && f.cache.Open(job) == nil {
			unknown = append(unknown, job)
		}
	}
	return unknown
}

// dependencyLookups tracks one round of lookups of a submission's dependencies.
type dependencyLookups struct {
	remaining     int
	failed        bool
	neverAccepted string // the last job that was found not to exist; empty for none
}

// add adds a result, and reports whether it was the last one.
func (l *dependencyLookups) add(job string, result LookupResult) bool {
	switch {
	case result.Failed:
		l.failed = true
	case !result.exists():
		l.neverAccepted = job
	}
	l.remaining--
	return l.remaining == 0
}

// handleDependencyLookups continues or refuses a submission after a round of lookups.
func (f *FrontEnd) handleDependencyLookups(pending *pendingSubmission, lookups *dependencyLookups) {
	switch {
	case lookups.neverAccepted != "":
		f.host.Refuse(pending.request, infeasible(&dependencyError{lookups.neverAccepted, problemNeverAccepted}))
	case lookups.failed:
		f.host.Refuse(pending.request, storeUnavailable)
	default:
		f.resolveDependencies(pending)
	}
}

// enqueueResolved enqueues or refuses a submission all of whose dependencies are cached. If
// dependencies have to be marked or a list has to be written first, it starts that instead.
func (f *FrontEnd) enqueueResolved(pending *pendingSubmission) {
	unmarked, err := f.classifyDependencies(pending)
	switch {
	case errors.Is(err, errEvicted):
		f.host.Refuse(pending.request, overloaded)
		return
	case err != nil:
		f.host.Refuse(pending.request, infeasible(err))
		return
	}
	maxWrites := f.store.MaxWrites()
	switch {
	case pending.cancelled:
	case len(unmarked) >= maxWrites:
		// These are too many to be marked in the transaction that records the job.
		f.markDependencies(pending, unmarked[:maxWrites])
		return
	case !f.recordDependencies(pending):
		return
	}
	f.queue = append(f.queue, pending)
	f.startSubmissionBatch()
}

// classifyDependencies sets the unfinished and cancelled fields of a submission from the cached
// records of its dependencies, and returns the dependencies to mark. The error is a
// dependencyError or errEvicted.
func (f *FrontEnd) classifyDependencies(pending *pendingSubmission) (unmarked []string, err error) {
	pending.unfinished, pending.cancelled = nil, false
	for _, job := range pending.dependencies {
		if final, ended := f.cache.Final(job); ended {
			pending.cancelled = pending.cancelled || final.Status != wire.StatusDone
			continue
		}
		open := f.cache.Open(job)
		switch {
		case open == nil:
			return nil, errEvicted
		case open.Record.Job.Shape == wire.ShapeService:
			return nil, &dependencyError{job, problemService}
		case open.Record.Cancelled:
			pending.cancelled = true
		default:
			pending.unfinished = append(pending.unfinished, job)
			if f.canMark(open) {
				unmarked = append(unmarked, job)
			}
		}
	}
	return unmarked, nil
}

// recordDependencies puts the unfinished dependencies of a submission into its record: their IDs,
// or a reference to the list that holds them. It returns false if the list has to be written
// first, after which the submission continues, or if the list cannot be written and the
// submission is refused.
func (f *FrontEnd) recordDependencies(pending *pendingSubmission) bool {
	pending.record.Job.Dependencies = pending.unfinished
	if submission.FitsRecord(pending.record, f.maxNewRecordBytes()) {
		pending.listWriter = nil
		return true
	}
	switch {
	case pending.listWriter != nil && pending.listWriter.Complete():
		// The list contains every unfinished dependency. It may also contain jobs that
		// have ended since it was written.
		pending.record.Job.Dependencies = []string{pending.listWriter.Ref().String()}
		return true
	case !f.host.AllPeersSupport(wire.PeerVersionDependencyLists):
		f.host.Refuse(pending.request, listsNotSupported)
		return false
	}
	f.writeList(pending)
	return false
}

// markDependencies marks some dependencies of a submission in a transaction of their own, and then
// resolves the submission's dependencies again.
func (f *FrontEnd) markDependencies(pending *pendingSubmission, jobs []string) {
	txn := &wire.Txn{}
	marked := map[string]records.Open{}
	for _, job := range jobs {
		open := f.cache.Open(job)
		marked[job] = withDependents(open.Record)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.OpenKey(job), Version: open.Version})
		txn.Writes = append(txn.Writes, wire.Write{Put: records.OpenKey(job), Value: kv.Encode(marked[job])})
	}
	f.store.Commit(txn, func(r kv.TxnResult) {
		if !f.handleMarkResult(r, jobs, marked) {
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
		for _, job := range jobs {
			f.cache.PutOpen(job, &jobcache.OpenJob{Version: r.Revision, Record: marked[job]})
		}
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
