package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

type pendingSubmission struct {
	requestID    uint64
	record       records.Open
	expiresAt    time.Duration
	dependencies []string // all that were named
	// unfinishedDependencies are those of them that are not over.
	unfinishedDependencies []string
	listWriter             *listWriter // for a list too long for the record; nil for others
	// withdrawn: a job that it awaits is cancelled, and so is this one.
	cancelled      bool
	ownTransaction bool // in a transaction of its own
}

// submissionTimeout is how long a submission may take before its user is asked to come
// back, and longSubmissionTimeout how long one that awaits more jobs than go into a
// transaction may. Users wait for 5 s.
const (
	submissionTimeout     = 2 * time.Second
	longSubmissionTimeout = 4 * time.Second
)

func (c *Core) onSubmission(request Request) {
	u := &c.users
	job, err := parseSubmission(request.Body)
	if err != nil {
		// A repeated submission of an accepted job is never refused, but a
		// body that names no valid job is not one.
		c.answerError(request.ID, httpstatus.BadRequest, err.Error())
		return
	}
	if f, ok := u.finalRecords[job.ID]; ok {
		c.answer(request.ID, httpstatus.OK, f.JobStatus(job.ID), 0)
		return
	}
	if u.openJobs[job.ID] != nil {
		c.answerStatus(request.ID, job.ID)
		return
	}
	if len(c.machineTypes) == 0 {
		c.answerRetry(request.ID, "machine types are not known yet")
		return
	}
	if err := c.checkFeasible(job); err != nil {
		c.rejectInfeasible(request.ID, job.ID, err)
		return
	}
	if c.shed(request.ID, len(u.submissionQueue)) {
		return
	}
	c.enqueueSubmission(c.newPendingSubmission(request.ID, job))
}

// rejectInfeasible refuses a job that can never run, unless it was accepted
// before: then it gets 200 whatever holds now.
func (c *Core) rejectInfeasible(req uint64, id string, why error) {
	c.lookupJob(id, func(f lookupResult) {
		switch {
		case f.failed:
			c.answerRetry(req, errorStoreSilent)
		case f.open == nil && f.final == nil:
			c.answerError(req, httpstatus.UnprocessableEntity, why.Error())
		default:
			c.answer(req, httpstatus.OK, c.jobStatus(id, f), 0)
		}
	})
}

// newPendingSubmission makes the submission of a job. Its record names what it awaits only
// once that is known, see recordDependencies.
func (c *Core) newPendingSubmission(req uint64, job *wire.Job) *pendingSubmission {
	s := &pendingSubmission{requestID: req, record: records.Open{Job: *job, SubmittedAt: c.wallClockMS}, dependencies: job.Dependencies, expiresAt: c.now + submissionTimeout}
	if len(s.dependencies) > c.store.MaxWrites() {
		s.expiresAt = c.now + longSubmissionTimeout
	}
	s.record.Job.Dependencies = nil
	return s
}

// enqueueSubmission has a submission recorded, after a look at the jobs that it
// awaits.
func (c *Core) enqueueSubmission(s *pendingSubmission) {
	if len(s.dependencies) > 0 {
		c.resolveDependencies(s)
		return
	}
	c.users.submissionQueue = append(c.users.submissionQueue, s)
	c.startSubmissionBatch()
}

// submissionBatch is a transaction that records many submissions.
type submissionBatch struct {
	submissions  []*pendingSubmission
	txn          wire.Txn
	writtenKeys  map[string]bool         // keys that the transaction writes
	markedNeeded map[string]records.Open // awaited jobs, as they are written
	bytes        int
}

// admits tells whether a submission may share the batch with those in it.
func (b *submissionBatch) admits(s *pendingSubmission) bool {
	return len(b.submissions) == 0 || !s.ownTransaction && !b.submissions[0].ownTransaction
}

// fits tells whether the transaction has room for what a submission adds, and
// writes none of its keys yet.
func (b *submissionBatch) fits(p submissionTxn, maxWrites, maxConds int) bool {
	if b.bytes+p.bytes > kv.MaxTxnBytes {
		return false
	}
	if len(b.txn.Writes)+len(p.writes) > maxWrites || len(b.txn.Conditions)+len(p.conditions) > maxConds {
		return false
	}
	for _, w := range p.writes {
		if b.writtenKeys[w.Put] {
			return false
		}
	}
	return true
}

func (b *submissionBatch) add(s *pendingSubmission, p submissionTxn) {
	for _, w := range p.writes {
		b.writtenKeys[w.Put] = true
	}
	for id, rec := range p.markedNeeded {
		b.markedNeeded[id] = rec
	}
	b.bytes += p.bytes
	b.submissions = append(b.submissions, s)
	b.txn.Conditions = append(b.txn.Conditions, p.conditions...)
	b.txn.Writes = append(b.txn.Writes, p.writes...)
}

// startSubmissionBatch records waiting submissions, many in one transaction. A record
// is created only if neither an open nor a final one exists.
func (c *Core) startSubmissionBatch() {
	u := &c.users
	if u.committingSubmissions || len(u.submissionQueue) == 0 {
		return
	}
	batch, unresolved := c.nextSubmissionBatch()
	if len(batch.submissions) > 0 {
		c.commitSubmissions(batch)
	}
	// Last, since they may come back here at once.
	for _, s := range unresolved {
		c.resolveDependencies(s)
	}
}

// nextSubmissionBatch takes the submissions of the next transaction out of the queue,
// and those whose awaited jobs have to be looked at again.
func (c *Core) nextSubmissionBatch() (batch *submissionBatch, unresolved []*pendingSubmission) {
	batch = &submissionBatch{writtenKeys: map[string]bool{}, markedNeeded: map[string]records.Open{}}
	var rest []*pendingSubmission
	for _, s := range c.users.submissionQueue {
		if !batch.admits(s) {
			rest = append(rest, s)
			continue
		}
		p, ok := c.prepareSubmission(s)
		switch {
		case !ok:
			unresolved = append(unresolved, s)
		case !batch.fits(p, c.store.MaxWrites(), c.store.MaxConditions()):
			rest = append(rest, s)
		default:
			batch.add(s, p)
		}
	}
	c.users.submissionQueue = rest
	return batch, unresolved
}

func (c *Core) commitSubmissions(batch *submissionBatch) {
	u := &c.users
	u.committingSubmissions = true
	commit := c.store.Commit
	if c.isSmallTxn(len(batch.txn.Writes)) {
		commit = c.store.CommitUrgent
	}
	commit(&batch.txn, func(r kv.TxnResult) {
		u.committingSubmissions = false
		switch r.Status {
		case kv.OK:
			c.submissionsCommitted(batch, r.Revision)
		case kv.Conflict:
			c.submissionsConflicted(batch, r.Conflicts)
		case kv.Unanswered:
			// Carried out or not, or still to be: sent again, a record that
			// was made after all is found. With the next tick: a connection
			// that is reset gives no answer at once.
			u.submissionQueue = append(batch.submissions, u.submissionQueue...)
			return
		case kv.Rejected:
			c.submissionsRejected(batch)
		default:
			// Refused: the user comes again.
			for _, s := range batch.submissions {
				c.answerRetry(s.requestID, errorStoreSilent)
			}
		}
		c.startSubmissionBatch()
	})
}

// submissionsCommitted remembers the jobs of a transaction that was carried out, and
// answers their users.
func (c *Core) submissionsCommitted(batch *submissionBatch, revision uint64) {
	for _, id := range sortedKeys(batch.markedNeeded) {
		c.cacheOpen(id, &cachedJob{version: revision, record: batch.markedNeeded[id]})
	}
	for _, s := range batch.submissions {
		id := s.record.Job.ID
		if s.cancelled {
			f := s.finalRecord()
			c.cacheFinal(id, f)
			c.answer(s.requestID, httpstatus.Created, f.JobStatus(id), 0)
			continue
		}
		c.cacheOpen(id, &cachedJob{version: revision, record: s.record})
		c.answer(s.requestID, httpstatus.Created, wire.JobStatus{ID: id, Status: wire.StatusPending}, 0)
	}
}

// submissionsConflicted goes on with the submissions of a transaction of which some
// conditions did not hold.
func (c *Core) submissionsConflicted(batch *submissionBatch, conflicts []string) {
	failed := records.Jobs(conflicts)
	for _, s := range batch.submissions {
		switch {
		case failed[s.record.Job.ID]:
			// It was accepted before.
			c.answerStatus(s.requestID, s.record.Job.ID)
		case s.listWriter != nil && slices.Contains(conflicts, s.listWriter.ref.Key(0)):
			s.listWriter = nil // cleared
			c.resolveDependencies(s)
		case c.evictChanged(s.unfinishedDependencies, failed):
			c.resolveDependencies(s)
		default:
			c.users.submissionQueue = append(c.users.submissionQueue, s)
		}
	}
}

// evictChanged forgets those of the jobs whose records have changed, and tells
// whether there are any.
func (c *Core) evictChanged(ids []string, changed map[string]bool) bool {
	found := false
	for _, id := range ids {
		if changed[id] {
			found = true
			delete(c.users.openJobs, id)
		}
	}
	return found
}

// submissionsRejected has each submission of a transaction that the state service
// found malformed go alone: one of them may be too large for the service, and
// alone it does not hold up the others.
func (c *Core) submissionsRejected(batch *submissionBatch) {
	if len(batch.submissions) == 1 {
		if c.canRetryMarking(len(batch.txn.Writes), batch.markedNeeded) {
			c.resolveDependencies(batch.submissions[0])
			return
		}
		c.answerRetry(batch.submissions[0].requestID, "the state service refuses the record")
		return
	}
	c.rejectedWrites(len(batch.txn.Writes))
	for _, s := range batch.submissions {
		s.ownTransaction = true
		c.users.submissionQueue = append(c.users.submissionQueue, s)
	}
}

// isSmallTxn tells whether a transaction is small enough to go ahead of the pace:
// less than half of the changes that one may have. The leader's records are not
// held up either, and where they have used up the rate, a submission to the
// leader would be turned away for it, though the others take them at once. Many
// submissions at a time keep to the pace.
func (c *Core) isSmallTxn(writes int) bool { return 2*writes < c.store.MaxWrites() }
