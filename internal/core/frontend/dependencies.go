package frontend

import (
	"errors"

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
	switch {
	case pending.cancelled:
	case f.marksThatFit(unmarked, f.roomBesideRecord(pending)) < len(unmarked):
		// These are too many to be marked in the transaction that records the job.
		f.markDependencies(pending, unmarked[:max(1, f.marksThatFit(unmarked, f.roomInTxn()))])
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
