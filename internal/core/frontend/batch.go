package frontend

import (
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// submissionTxn holds the conditions and writes that one submission adds to a transaction.
type submissionTxn struct {
	conditions         []wire.Condition
	writes             []wire.Write
	markedDependencies map[string]records.Open // open records to write, by dependency
	bytes              int
}

func (t *submissionTxn) put(key string, value []byte) {
	t.writes = append(t.writes, wire.Write{Put: key, Value: value})
	t.bytes += len(value) + kv.WriteOverheadBytes
}

// mark writes the open record of a dependency, as it is cached, with the mark, on the condition that it is
// unchanged.
func (t *submissionTxn) mark(dependency string, open *jobcache.OpenJob) {
	marked := withDependents(open.Record)
	t.markedDependencies[dependency] = marked
	t.conditions = append(t.conditions, unchangedOpen(dependency, open))
	t.put(records.OpenKey(dependency), kv.Encode(marked))
}

// unchangedOpen returns the condition that a job's open record is still the cached one.
func unchangedOpen(job string, open *jobcache.OpenJob) wire.Condition {
	return wire.Condition{Key: records.OpenKey(job), Version: open.Version}
}

// requireUnchanged adds conditions on records that the transaction does not write, as many as it has room
// for.
func (t *submissionTxn) requireUnchanged(conditions []wire.Condition, maxConditions int) {
	room := max(0, maxConditions-len(t.conditions))
	t.conditions = append(t.conditions, conditions[:min(room, len(conditions))]...)
}

// submissionBatch is a transaction that records several submissions.
type submissionBatch struct {
	submissions        []*pendingSubmission
	txn                wire.Txn
	writtenKeys        map[string]bool
	markedDependencies map[string]records.Open // open records to write, by dependency
	bytes              int
}

func newSubmissionBatch() *submissionBatch {
	return &submissionBatch{writtenKeys: map[string]bool{}, markedDependencies: map[string]records.Open{}}
}

// jobIDs returns the IDs of the submitted jobs, separated by spaces.
func (b *submissionBatch) jobIDs() string {
	ids := make([]string, len(b.submissions))
	for i, pending := range b.submissions {
		ids[i] = pending.record.Job.ID
	}
	return strings.Join(ids, " ")
}

// mayShareTxn reports whether a submission may join the submissions in the batch.
func (b *submissionBatch) mayShareTxn(pending *pendingSubmission) bool {
	return len(b.submissions) == 0 || !pending.separateTxn && !b.submissions[0].separateTxn
}

// fits reports whether the transaction stays within the store's limits with a submission added,
// and does not write any of the submission's keys yet.
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
	for job, record := range added.markedDependencies {
		b.markedDependencies[job] = record
	}
	b.bytes += added.bytes
	b.submissions = append(b.submissions, pending)
	b.txn.Conditions = append(b.txn.Conditions, added.conditions...)
	b.txn.Writes = append(b.txn.Writes, added.writes...)
}

// startSubmissionBatch records as many queued submissions as fit into one transaction, unless such
// a transaction is already in progress. A record is created only if the job has neither an open
// nor a final one.
func (f *FrontEnd) startSubmissionBatch() {
	if f.committing || len(f.queue) == 0 {
		return
	}
	batch, unresolved := f.nextSubmissionBatch()
	if len(batch.submissions) > 0 {
		f.commitBatch(batch)
	}
	// These come last because resolveDependencies may call startSubmissionBatch again.
	for _, pending := range unresolved {
		f.resolveDependencies(pending)
	}
}

// nextSubmissionBatch removes from the queue and returns the submissions for the next transaction,
// and the submissions whose dependencies have to be resolved again.
func (f *FrontEnd) nextSubmissionBatch() (batch *submissionBatch, unresolved []*pendingSubmission) {
	batch = newSubmissionBatch()
	var rest []*pendingSubmission
	for _, pending := range f.queue {
		if !batch.mayShareTxn(pending) {
			rest = append(rest, pending)
			continue
		}
		added, ok := f.prepareTxn(pending)
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
	if f.isUrgent(&batch.txn) {
		commit = f.store.CommitUrgent
	}
	commit(&batch.txn, func(r kv.TxnResult) {
		f.committing = false
		if r.Status == kv.Unanswered {
			// The transaction may have been applied or may still be applied later. The
			// retry is safe: if the record exists, it conflicts and the record is read.
			// It waits for the next tick because a call on a connection that is reset
			// ends immediately without an answer.
			f.queue = append(batch.submissions, f.queue...)
			return
		}
		f.handleBatchResult(batch, r)
		f.startSubmissionBatch()
	})
}

// handleBatchResult handles the store's answer to a batch.
func (f *FrontEnd) handleBatchResult(batch *submissionBatch, r kv.TxnResult) {
	switch r.Status {
	case kv.OK:
		f.handleBatchCommitted(batch, r.Revision)
	case kv.Conflict:
		f.handleBatchConflict(batch, r.Conflicts)
	case kv.Rejected:
		f.handleBatchRejected(batch)
	default:
		// As far as is known, the transaction was not applied: the users are asked to retry.
		for _, pending := range batch.submissions {
			f.host.Refuse(pending.request, storeUnavailable)
		}
	}
}

// handleBatchCommitted caches the jobs of a committed batch and answers their users.
func (f *FrontEnd) handleBatchCommitted(batch *submissionBatch, revision uint64) {
	f.cacheMarkedDependencies(batch.markedDependencies, revision)
	f.log.Info("submissions accepted", "revision", revision, "jobs", batch.jobIDs())
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

// handleBatchConflict handles the submissions of a batch some of whose conditions did not hold.
// Those without a changed record or list are queued again.
func (f *FrontEnd) handleBatchConflict(batch *submissionBatch, conflicts []string) {
	changed := records.JobIDs(conflicts)
	for _, pending := range batch.submissions {
		job := pending.record.Job.ID
		switch {
		case changed[job]:
			// The job has already been accepted.
			f.answerStatus(pending.request, job, storeUnavailable)
		case pending.listWriter != nil && slices.Contains(conflicts, pending.listWriter.Ref().Key(0)):
			pending.listWriter = nil // the list was deleted as abandoned
			f.resolveDependencies(pending)
		case f.invalidateChanged(pending.unfinished, changed):
			f.resolveDependencies(pending)
		default:
			f.queue = append(f.queue, pending)
		}
	}
}

// invalidateChanged removes from the cache those of the jobs whose records have changed, and
// reports whether there are any.
func (f *FrontEnd) invalidateChanged(jobs []string, changed map[string]bool) bool {
	found := false
	for _, job := range jobs {
		if changed[job] {
			found = true
			f.cache.RemoveOpen(job)
		}
	}
	return found
}

// handleBatchRejected retries each submission of a rejected batch in a transaction of its own: one
// of them may be too large for the store and must not delay the others.
func (f *FrontEnd) handleBatchRejected(batch *submissionBatch) {
	if len(batch.submissions) == 1 {
		f.handleSubmissionRejected(batch)
		return
	}
	f.host.RejectedWrites(len(batch.txn.Writes))
	for _, pending := range batch.submissions {
		pending.separateTxn = true
		f.queue = append(f.queue, pending)
	}
}

// handleSubmissionRejected retries or refuses the only submission of a rejected batch.
func (f *FrontEnd) handleSubmissionRejected(batch *submissionBatch) {
	pending := batch.submissions[0]
	if f.canRetryMarking(len(batch.txn.Writes), batch.markedDependencies) {
		f.resolveDependencies(pending)
		return
	}
	f.host.Refuse(pending.request, recordRejected)
}

// isUrgent reports whether a transaction may be sent ahead of the rate limit, which is the case if
// it has less than half of the writes that the store permits. The leader's own records bypass the
// rate limit as well and may use it up: the leader would then refuse submissions that other
// controllers accept immediately. Large batches of submissions respect the rate limit.
func (f *FrontEnd) isUrgent(txn *wire.Txn) bool { return 2*len(txn.Writes) < f.store.MaxWrites() }
