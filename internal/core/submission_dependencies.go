package core

import (
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A submission that names other jobs is accepted by one transaction on the
// condition that those which are not over are as they were read: so of a
// cancellation and a dependent that is accepted meanwhile, one sees the other.
// It marks them as needed, which keeps a cancellation from being answered on the
// word of a leader that cannot read new dependents. A record that the service has
// come to take no more is left unmarked: its cancellation is recorded as that of a
// needed job, see recordCancellation. Only what is not over goes
// on record, for an end never reverts; of a list that is longer than a
// transaction's conditions the rest has been read before, and the leader looks
// again. A list that does not fit into the open record is spread over records of
// its own first, see await_lists.go.

// submissionTxn is what a submission adds to a transaction.
type submissionTxn struct {
	conditions   []wire.Condition
	writes       []wire.Write
	markedNeeded map[string]records.Open // awaited jobs, as they are written
	bytes        int
}

func (s *pendingSubmission) finalRecord() records.Final {
	return records.Final{Status: wire.StatusCancelled, Tasks: s.record.Job.Tasks}
}

// prepareSubmission makes the conditions and changes of a submission; not ok if what is
// known of the jobs that it awaits has to be looked at again.
func (c *Core) prepareSubmission(s *pendingSubmission) (p submissionTxn, ok bool) {
	id := s.record.Job.ID
	p.conditions = []wire.Condition{{Key: records.OpenKey(id)}, {Key: records.FinalKey(id)}}
	p.markedNeeded = map[string]records.Open{}
	if s.cancelled {
		p.addWrite(records.FinalKey(id), kv.Encode(s.finalRecord()))
		return p, true
	}
	if s.listWriter != nil {
		p.conditions = append(p.conditions, s.listWriter.firstRecordUnchanged())
	}
	for _, a := range s.unfinishedDependencies {
		k := c.users.openJobs[a]
		if _, over := c.users.finalRecords[a]; over || k == nil || k.record.Cancelled {
			return p, false
		}
		if len(p.conditions) < c.store.MaxConditions() {
			p.conditions = append(p.conditions, wire.Condition{Key: records.OpenKey(a), Version: k.version})
		}
		if c.canMarkNeeded(k) {
			rec := k.record
			rec.HasDependents = true
			p.markedNeeded[a] = rec
			p.addWrite(records.OpenKey(a), kv.Encode(rec))
		}
	}
	p.addWrite(records.OpenKey(id), kv.Encode(s.record))
	return p, len(p.writes) <= c.store.MaxWrites()
}

// canMarkNeeded tells whether an awaited job's open record is to be marked as needed, and
// the state service still takes a record of that size.
func (c *Core) canMarkNeeded(k *cachedJob) bool {
	if k.record.HasDependents || k.tooLargeToWrite {
		return false
	}
	rec := k.record
	rec.HasDependents = true
	return len(kv.Encode(rec)) <= c.store.MaxValue()
}

// canRetryMarking takes in that the state service has refused a transaction with
// marks. It tells whether smaller ones may do, or one with fewer marks.
func (c *Core) canRetryMarking(writes int, marks map[string]records.Open) bool {
	smaller := c.rejectedWrites(writes)
	fewer := c.markTooLarge(marks)
	return smaller || fewer
}

// markTooLarge takes the large ones among refused marks for the cause of the
// refusal. It tells whether there are any.
func (c *Core) markTooLarge(marks map[string]records.Open) bool {
	found := false
	for id, rec := range marks {
		if k := c.users.openJobs[id]; k != nil && mayBeTooLargeToMark(rec) {
			k.tooLargeToWrite, found = true, true
		}
	}
	return found
}

// mayBeTooLargeToMark tells whether an open record is so large that the state service may
// have refused to have it marked as needed.
func mayBeTooLargeToMark(rec records.Open) bool { return len(kv.Encode(rec)) > kv.SmallValue }

func (p *submissionTxn) addWrite(key string, v []byte) {
	p.writes = append(p.writes, wire.Write{Put: key, Value: v})
	p.bytes += len(v) + kv.WriteOverhead
}

// resolveDependencies finds out about the jobs that a submission awaits, and has it
// recorded if they allow it.
func (c *Core) resolveDependencies(submission *pendingSubmission) {
	u := &c.users
	if c.now >= submission.expiresAt {
		c.answerRetry(submission.requestID, errorNotNow)
		return
	}
	var uncached []string
	for _, a := range submission.dependencies {
		if _, over := u.finalRecords[a]; !over && u.openJobs[a] == nil {
			uncached = append(uncached, a)
		}
	}
	if len(uncached) == 0 {
		c.enqueueResolved(submission)
		return
	}
	// A long list leaves room for other questions. What is found is remembered,
	// so that the next round, or the user's next try, asks for the rest.
	uncached = uncached[:min(len(uncached), c.maxWaitingRequests()/4)]
	left, failed, unknown := len(uncached), false, ""
	for _, a := range uncached {
		c.lookupJob(a, func(f lookupResult) {
			switch {
			case f.failed:
				failed = true
			case f.open == nil && f.final == nil:
				unknown = a
			}
			if left--; left > 0 {
				return
			}
			switch {
			case unknown != "":
				c.answerError(submission.requestID, httpstatus.UnprocessableEntity, "it awaits "+unknown+", which was never accepted")
			case failed:
				c.answerRetry(submission.requestID, errorStoreSilent)
			default:
				c.resolveDependencies(submission)
			}
		})
	}
}

// enqueueResolved has a submission recorded, all of whose awaited jobs are known.
func (c *Core) enqueueResolved(submission *pendingSubmission) {
	u := &c.users
	submission.unfinishedDependencies, submission.cancelled = nil, false
	var unmarked []string
	for _, a := range submission.dependencies {
		if f, over := u.finalRecords[a]; over {
			submission.cancelled = submission.cancelled || f.Status != wire.StatusDone
			continue
		}
		k := u.openJobs[a]
		switch {
		case k == nil: // forgotten again
			c.answerRetry(submission.requestID, errorNotNow)
			return
		case k.record.Job.Shape == wire.ShapeService:
			c.answerError(submission.requestID, httpstatus.UnprocessableEntity, "it awaits "+a+", a service")
			return
		case k.record.Cancelled:
			submission.cancelled = true
		default:
			submission.unfinishedDependencies = append(submission.unfinishedDependencies, a)
			if c.canMarkNeeded(k) {
				unmarked = append(unmarked, a)
			}
		}
	}
	switch {
	case submission.cancelled:
	case len(unmarked) >= c.store.MaxWrites():
		// More than go into one transaction beside the job itself.
		c.markDependenciesNeeded(submission, unmarked[:c.store.MaxWrites()])
		return
	case !c.recordDependencies(submission):
		return
	}
	u.submissionQueue = append(u.submissionQueue, submission)
	c.startSubmissionBatch()
}

// recordDependencies puts what a submission awaits into its record: the names, or a
// reference to the list that holds them. If the list has to be written first, or
// can't be, it returns false, and the submission goes on later or is answered.
func (c *Core) recordDependencies(s *pendingSubmission) bool {
	s.record.Job.Dependencies = s.unfinishedDependencies
	if c.fitsRecord(s.record) {
		s.listWriter = nil
		return true
	}
	switch {
	case s.listWriter != nil && s.listWriter.complete():
		// It may name jobs that are done meanwhile, but lacks none.
		s.record.Job.Dependencies = []string{s.listWriter.ref.String()}
		return true
	case !c.allPeersSupport(wire.PeerVersionLists):
		c.answerRetry(s.requestID, "it awaits more jobs than controllers of an earlier version can read")
		return false
	}
	c.writeList(s)
	return false
}

// markDependenciesNeeded marks some of the jobs that a submission awaits.
func (c *Core) markDependenciesNeeded(submission *pendingSubmission, ids []string) {
	txn := &wire.Txn{}
	marks := map[string]records.Open{}
	for _, id := range ids {
		k := c.users.openJobs[id]
		rec := k.record
		rec.HasDependents = true
		marks[id] = rec
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.OpenKey(id), Version: k.version})
		txn.Writes = append(txn.Writes, wire.Write{Put: records.OpenKey(id), Value: kv.Encode(rec)})
	}
	c.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			for _, id := range ids {
				c.cacheOpen(id, &cachedJob{version: r.Revision, record: marks[id]})
			}
		case kv.Conflict, kv.Unanswered:
			for _, id := range ids {
				delete(c.users.openJobs, id)
			}
		default:
			if r.Status != kv.Rejected || !c.canRetryMarking(len(txn.Writes), marks) {
				c.answerRetry(submission.requestID, errorStoreSilent)
				return
			}
		}
		c.resolveDependencies(submission)
	})
}
