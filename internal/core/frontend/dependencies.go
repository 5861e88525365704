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

// A submission with dependencies is accepted by one transaction on the condition that those
// which have not ended are as they were read: so of a cancellation and a dependent that is
// accepted meanwhile, one sees the other. The transaction marks them as having dependents,
// which keeps a cancellation from being answered by a leader that cannot read new dependents.
// A record that the store no longer accepts is left unmarked: its cancellation is recorded as
// that of a job with dependents, see recordCancellation. Only what has not ended is
// recorded, since an end is final; of a list that is longer than a transaction's conditions
// the rest has been read before, and the leader reads it again. A list that does not fit into
// the open record goes into records of its own first, see package dependencylist.

// A dependencyError is a dependency that no job can have.
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

// errEvicted: a dependency was looked up, but was evicted from the cache since.
var errEvicted = errors.New("dependency evicted from the cache")

// prepare makes the conditions and writes of a submission; not ok if its dependencies have to be
// resolved again.
func (f *FrontEnd) prepare(pending *pendingSubmission) (txn submissionTxn, ok bool) {
	job := pending.record.Job.ID
	txn.conditions = []wire.Condition{{Key: records.OpenKey(job)}, {Key: records.FinalKey(job)}}
	txn.marked = map[string]records.Open{}
	if pending.cancelled {
		txn.put(records.FinalKey(job), kv.Encode(pending.finalRecord()))
		return txn, true
	}
	if pending.list != nil {
		txn.conditions = append(txn.conditions, pending.list.FirstUnchanged())
	}
	for _, dependency := range pending.unfinished {
		if !f.prepareDependency(&txn, dependency) {
			return txn, false
		}
	}
	txn.put(records.OpenKey(job), kv.Encode(pending.record))
	return txn, len(txn.writes) <= f.store.MaxWrites()
}

// prepareDependency adds the condition that a dependency is as it is known, and its mark. It
// reports whether the dependency is still known not to have ended.
func (f *FrontEnd) prepareDependency(txn *submissionTxn, dependency string) bool {
	open := f.cache.Open(dependency)
	if _, ended := f.cache.Final(dependency); ended || open == nil || open.Record.Cancelled {
		return false
	}
	if len(txn.conditions) < f.store.MaxConditions() {
		txn.conditions = append(txn.conditions, wire.Condition{Key: records.OpenKey(dependency), Version: open.Version})
	}
	if f.canMark(open) {
		txn.marked[dependency] = withDependents(open.Record)
		txn.put(records.OpenKey(dependency), kv.Encode(txn.marked[dependency]))
	}
	return true
}

// withDependents is an open record with the mark that the job has dependents.
func withDependents(record records.Open) records.Open {
	record.HasDependents = true
	return record
}

// canMark reports whether a job has yet to be marked as having dependents, and the store still
// accepts a record of that size.
func (f *FrontEnd) canMark(open *jobcache.OpenJob) bool {
	if open.Record.HasDependents || open.TooLargeToWrite {
		return false
	}
	return len(kv.Encode(withDependents(open.Record))) <= f.store.MaxValue()
}

// canRetryMarking records that the store rejected a transaction with marks, and reports whether
// smaller transactions may do, or one with fewer marks.
func (f *FrontEnd) canRetryMarking(writes int, marks map[string]records.Open) bool {
	smaller := f.host.RejectedWrites(writes)
	fewer := f.leaveLargeUnmarked(marks)
	return smaller || fewer
}

// leaveLargeUnmarked considers the large ones among rejected marks the cause of the rejection,
// and reports whether there are any.
func (f *FrontEnd) leaveLargeUnmarked(marks map[string]records.Open) bool {
	found := false
	for job, record := range marks {
		if open := f.cache.Open(job); open != nil && mayBeUnmarked(record) {
			open.TooLargeToWrite = true
			found = true
		}
	}
	return found
}

// mayBeUnmarked reports whether an open record is so large that the store may have rejected its
// mark.
func mayBeUnmarked(record records.Open) bool { return len(kv.Encode(record)) > kv.SmallValueBytes }

// cacheMarked remembers jobs that were marked.
func (f *FrontEnd) cacheMarked(marks map[string]records.Open, revision uint64) {
	for _, job := range slices.Sorted(maps.Keys(marks)) {
		f.cache.PutOpen(job, &jobcache.OpenJob{Version: revision, Record: marks[job]})
	}
}

// resolveDependencies looks up the dependencies of a submission that are not known, and enqueues
// the submission if they allow it.
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
	// A long list leaves capacity for other lookups. What is found is cached, so that the next
	// round, or the user's next attempt, looks up the rest.
	unknown = unknown[:min(len(unknown), f.MaxWaiting()/4)]
	round := &dependencyLookups{remaining: len(unknown)}
	for _, job := range unknown {
		f.Lookup(job, func(result LookupResult) {
			if round.add(job, result) {
				f.finishLookups(pending, round)
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

// dependencyLookups are the lookups of some dependencies of one submission.
type dependencyLookups struct {
	remaining     int
	failed        bool
	neverAccepted string // the last job that does not exist; empty for none
}

// add adds a result, and reports whether it was the last one.
func (l *dependencyLookups) add(job string, result LookupResult) bool {
	switch {
	case result.Failed:
		l.failed = true
	case !result.found():
		l.neverAccepted = job
	}
	l.remaining--
	return l.remaining == 0
}

// finishLookups continues with a submission some of whose dependencies were looked up.
func (f *FrontEnd) finishLookups(pending *pendingSubmission, round *dependencyLookups) {
	switch {
	case round.neverAccepted != "":
		f.host.Refuse(pending.request, infeasible(&dependencyError{round.neverAccepted, problemNeverAccepted}))
	case round.failed:
		f.host.Refuse(pending.request, storeUnavailable)
	default:
		f.resolveDependencies(pending)
	}
}

// enqueueResolved enqueues a submission all of whose dependencies are known, or refuses it. If
// dependencies have to be marked or a list has to be written first, it begins with that.
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
		// More than one transaction can mark in addition to recording the job.
		f.markDependencies(pending, unmarked[:maxWrites])
		return
	case !f.recordDependencies(pending):
		return
	}
	f.queue = append(f.queue, pending)
	f.startSubmissionBatch()
}

// classifyDependencies sets which dependencies of a submission are unfinished and whether one is
// cancelled, and returns those that have to be marked. The error is a dependencyError or
// errEvicted.
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

// recordDependencies puts the unfinished dependencies of a submission into its record: the names,
// or a reference to the list that holds them. If the list has to be written first, or cannot be,
// it returns false, and the submission continues later or is refused.
func (f *FrontEnd) recordDependencies(pending *pendingSubmission) bool {
	pending.record.Job.Dependencies = pending.unfinished
	if submission.FitsRecord(pending.record, f.maxNewRecord()) {
		pending.list = nil
		return true
	}
	switch {
	case pending.list != nil && pending.list.Complete():
		// It may name jobs that have ended meanwhile, but lacks none.
		pending.record.Job.Dependencies = []string{pending.list.Ref().String()}
		return true
	case !f.host.AllPeersSupport(wire.PeerVersionLists):
		f.host.Refuse(pending.request, listsNotSupported)
		return false
	}
	f.writeList(pending)
	return false
}

// markDependencies marks some of the dependencies of a submission, and then resolves them again.
func (f *FrontEnd) markDependencies(pending *pendingSubmission, jobs []string) {
	txn := &wire.Txn{}
	marks := map[string]records.Open{}
	for _, job := range jobs {
		open := f.cache.Open(job)
		marks[job] = withDependents(open.Record)
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.OpenKey(job), Version: open.Version})
		txn.Writes = append(txn.Writes, wire.Write{Put: records.OpenKey(job), Value: kv.Encode(marks[job])})
	}
	f.store.Commit(txn, func(r kv.TxnResult) {
		if !f.marksAnswered(r, jobs, marks) {
			f.host.Refuse(pending.request, storeUnavailable)
			return
		}
		f.resolveDependencies(pending)
	})
}

// marksAnswered records what became of a transaction that marks jobs and does nothing else. It
// reports whether marking can continue, or be retried.
func (f *FrontEnd) marksAnswered(r kv.TxnResult, jobs []string, marks map[string]records.Open) bool {
	switch r.Status {
	case kv.OK:
		for _, job := range jobs {
			f.cache.PutOpen(job, &jobcache.OpenJob{Version: r.Revision, Record: marks[job]})
		}
		return true
	case kv.Conflict, kv.Unanswered:
		for _, job := range jobs {
			f.cache.ForgetOpen(job)
		}
		return true
	case kv.Rejected:
		return f.canRetryMarking(len(jobs), marks)
	default:
		return false
	}
}
