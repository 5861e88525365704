package frontend

import (
	"slices"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// submissionTxn is what one submission adds to a transaction.
type submissionTxn struct {
	conditions []wire.Condition
	writes     []wire.Write
	marked     map[string]records.Open // dependencies, as they are written, by job
	bytes      int
}

func (t *submissionTxn) put(key string, value []byte) {
	t.writes = append(t.writes, wire.Write{Put: key, Value: value})
	t.bytes += len(value) + kv.WriteOverheadBytes
}

// submissionBatch is a transaction that records many submissions.
type submissionBatch struct {
	submissions []*pendingSubmission
	txn         wire.Txn
	writtenKeys map[string]bool
	marked      map[string]records.Open // dependencies, as they are written, by job
	bytes       int
}

func newSubmissionBatch() *submissionBatch {
	return &submissionBatch{writtenKeys: map[string]bool{}, marked: map[string]records.Open{}}
}

// admits reports whether a submission may share the batch with those in it.
func (b *submissionBatch) admits(pending *pendingSubmission) bool {
	return len(b.submissions) == 0 || !pending.alone && !b.submissions[0].alone
}

// fits reports whether a submission fits into the transaction, and writes none of its keys yet.
func (b *submissionBatch) fits(added submissionTxn, limits *kv.Limits) bool {
	if b.bytes+added.bytes > kv.MaxTxnBytes {
		return false
	}
	if len(b.txn.Writes)+len(added.writes) > limits.MaxWrites() {
		return false
	}
	if len(b.txn.Conditions)+len(added.conditions) > limits.MaxConditions() {
		return false
	}
	return !slices.ContainsFunc(added.writes, func(w wire.Write) bool { return b.writtenKeys[w.Put] })
}

func (b *submissionBatch) add(pending *pendingSubmission, added submissionTxn) {
	for _, write := range added.writes {
		b.writtenKeys[write.Put] = true
	}
	for job, record := range added.marked {
		b.marked[job] = record
	}
	b.bytes += added.bytes
	b.submissions = append(b.submissions, pending)
	b.txn.Conditions = append(b.txn.Conditions, added.conditions...)
	b.txn.Writes = append(b.txn.Writes, added.writes...)
}

// startSubmissionBatch records waiting submissions, many in one transaction, unless one is under
// way. A record is created only if neither an open nor a final one exists.
func (f *FrontEnd) startSubmissionBatch() {
	if f.committing || len(f.queue) == 0 {
		return
	}
	batch, unresolved := f.nextSubmissionBatch()
	if len(batch.submissions) > 0 {
		f.commitBatch(batch)
	}
	// Last, since they may get here again at once.
	for _, pending := range unresolved {
		f.resolveDependencies(pending)
	}
}

// nextSubmissionBatch removes the submissions of the next transaction from the queue, and those
// whose dependencies have to be resolved again.
func (f *FrontEnd) nextSubmissionBatch() (batch *submissionBatch, unresolved []*pendingSubmission) {
	batch = newSubmissionBatch()
	var rest []*pendingSubmission
	for _, pending := range f.queue {
		if !batch.admits(pending) {
			rest = append(rest, pending)
			continue
		}
		added, ok := f.prepare(pending)
		switch {
		case !ok:
			unresolved = append(unresolved, pending)
		case !batch.fits(added, &f.store.Limits):
			rest = append(rest, pending)
		default:
			batch.add(pending, added)
		}
	}
	f.queue = rest
	return batch, unresolved
}

func (f *FrontEnd) commitBatch(batch *submissionBatch) {
	f.committing = true
	commit := f.store.Commit
	if f.isSmall(&batch.txn) {
		commit = f.store.CommitUrgent
	}
	commit(&batch.txn, func(r kv.TxnResult) {
		f.committing = false
		if r.Status == kv.Unanswered {
			// Carried out or not, or still to be: retried, a record that was made after
			// all is found. With the next tick, since a connection that is reset gives
			// no answer at once.
			f.queue = append(batch.submissions, f.queue...)
			return
		}
		f.batchAnswered(batch, r)
		f.startSubmissionBatch()
	})
}

// batchAnswered continues with the submissions of a transaction that the store has answered.
func (f *FrontEnd) batchAnswered(batch *submissionBatch, r kv.TxnResult) {
	switch r.Status {
	case kv.OK:
		f.batchCommitted(batch, r.Revision)
	case kv.Conflict:
		f.batchConflicted(batch, r.Conflicts)
	case kv.Rejected:
		f.batchRejected(batch)
	default:
		// Not carried out, as far as is known: the users retry.
		for _, pending := range batch.submissions {
			f.host.Refuse(pending.request, storeUnavailable)
		}
	}
}

// batchCommitted remembers the jobs of a transaction that was committed, and answers their
// users.
func (f *FrontEnd) batchCommitted(batch *submissionBatch, revision uint64) {
	f.cacheMarked(batch.marked, revision)
	for _, pending := range batch.submissions {
		job := pending.record.Job.ID
		if pending.cancelled {
			final := pending.finalRecord()
			f.cache.PutFinal(job, final)
			f.host.Answer(pending.request, httpstatus.Created, final.JobStatus(job))
			continue
		}
		f.cache.PutOpen(job, &jobcache.OpenJob{Version: revision, Record: pending.record})
		f.host.Answer(pending.request, httpstatus.Created, wire.JobStatus{ID: job, Status: wire.StatusPending})
	}
}

// batchConflicted continues with the submissions of a transaction of which some conditions did not
// hold.
func (f *FrontEnd) batchConflicted(batch *submissionBatch, conflicts []string) {
	changed := records.Jobs(conflicts)
	for _, pending := range batch.submissions {
		job := pending.record.Job.ID
		switch {
		case changed[job]:
			// It was accepted before.
			f.answerStatus(pending.request, job, storeUnavailable)
		case pending.list != nil && slices.Contains(conflicts, pending.list.Ref().Key(0)):
			pending.list = nil // deleted as abandoned
			f.resolveDependencies(pending)
		case f.forgetChanged(pending.unfinished, changed):
			f.resolveDependencies(pending)
		default:
			f.queue = append(f.queue, pending)
		}
	}
}

// forgetChanged forgets those of the jobs whose records have changed, and reports whether there
// are any.
func (f *FrontEnd) forgetChanged(jobs []string, changed map[string]bool) bool {
	found := false
	for _, job := range jobs {
		if changed[job] {
			found = true
			f.cache.ForgetOpen(job)
		}
	}
	return found
}

// batchRejected retries each submission of a transaction that the store rejected in one of its
// own: one of them may be too large for the store, and alone it does not delay the others.
func (f *FrontEnd) batchRejected(batch *submissionBatch) {
	if len(batch.submissions) == 1 {
		f.submissionRejected(batch)
		return
	}
	f.host.RejectedWrites(len(batch.txn.Writes))
	for _, pending := range batch.submissions {
		pending.alone = true
		f.queue = append(f.queue, pending)
	}
}

// submissionRejected continues with the only submission of a transaction that the store rejected.
func (f *FrontEnd) submissionRejected(batch *submissionBatch) {
	pending := batch.submissions[0]
	if f.canRetryMarking(len(batch.txn.Writes), batch.marked) {
		f.resolveDependencies(pending)
		return
	}
	f.host.Refuse(pending.request, recordRejected)
}

// isSmall reports whether a transaction is small enough to go ahead of the rate limit: less than
// half of the writes that one may have. The leader's records are not delayed either, and where
// they have used up the rate, a submission to the leader would be refused for it, though the
// others accept them at once. Many submissions at a time keep to the rate.
func (f *FrontEnd) isSmall(txn *wire.Txn) bool { return 2*len(txn.Writes) < f.store.MaxWrites() }
