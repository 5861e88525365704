package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

type submit struct {
	req    uint64
	rec    records.Open
	until  time.Duration
	awaits []string // all that were named
	// unfinished are those of them that are not over.
	unfinished []string
	list       *listWriter // for a list too long for the record; nil for others
	// withdrawn: a job that it awaits is cancelled, and so is this one.
	withdrawn bool
	alone     bool // in a transaction of its own
}

// submitWait is how long a submission may take before its user is asked to come
// back, and longSubmitWait how long one that awaits more jobs than go into a
// transaction may. Users wait for 5 s.
const (
	submitWait     = 2 * time.Second
	longSubmitWait = 4 * time.Second
)

func (c *Core) onSubmit(r Request) {
	u := &c.users
	job, err := parseSubmission(r.Body)
	if err != nil {
		// A repeated submission of an accepted job is never refused, but a
		// body that names no valid job is not one.
		c.answerError(r.ID, httpstatus.BadRequest, err.Error())
		return
	}
	if f, ok := u.final[job.ID]; ok {
		c.answer(r.ID, httpstatus.OK, f.JobStatus(job.ID), 0)
		return
	}
	if u.open[job.ID] != nil {
		c.answerKnown(r.ID, job.ID)
		return
	}
	if len(c.types) == 0 {
		c.answerRetry(r.ID, "machine types are not known yet")
		return
	}
	if err := c.checkPossible(job); err != nil {
		c.answerImpossible(r.ID, job.ID, err)
		return
	}
	if c.refuse(r.ID, len(u.submits)) {
		return
	}
	c.enqueueSubmit(c.newSubmit(r.ID, job))
}

// answerImpossible refuses a job that can never run, unless it was accepted
// before: then it gets 200 whatever holds now.
func (c *Core) answerImpossible(req uint64, id string, why error) {
	c.lookUp(id, func(f lookupResult) {
		switch {
		case f.failed:
			c.answerRetry(req, errorStoreSilent)
		case f.open == nil && f.final == nil:
			c.answerError(req, httpstatus.UnprocessableEntity, why.Error())
		default:
			c.answer(req, httpstatus.OK, c.statusOf(id, f), 0)
		}
	})
}

// newSubmit makes the submission of a job. Its record names what it awaits only
// once that is known, see placeNames.
func (c *Core) newSubmit(req uint64, job *wire.Job) *submit {
	s := &submit{req: req, rec: records.Open{Job: *job, At: c.wall}, awaits: job.Awaits, until: c.now + submitWait}
	if len(s.awaits) > c.store.MaxWrites() {
		s.until = c.now + longSubmitWait
	}
	s.rec.Job.Awaits = nil
	return s
}

// enqueueSubmit has a submission recorded, after a look at the jobs that it
// awaits.
func (c *Core) enqueueSubmit(s *submit) {
	if len(s.awaits) > 0 {
		c.checkAwaited(s)
		return
	}
	c.users.submits = append(c.users.submits, s)
	c.pumpSubmits()
}

// submitBatch is a transaction that records many submissions.
type submitBatch struct {
	submits []*submit
	txn     wire.Txn
	written map[string]bool         // keys that the transaction writes
	marks   map[string]records.Open // awaited jobs, as they are written
	bytes   int
}

// admits tells whether a submission may share the batch with those in it.
func (b *submitBatch) admits(s *submit) bool {
	return len(b.submits) == 0 || !s.alone && !b.submits[0].alone
}

// fits tells whether the transaction has room for what a submission adds, and
// writes none of its keys yet.
func (b *submitBatch) fits(p prepared, maxWrites, maxConds int) bool {
	if b.bytes+p.bytes > kv.MaxTxnBytes {
		return false
	}
	if len(b.txn.Writes)+len(p.writes) > maxWrites || len(b.txn.If)+len(p.conds) > maxConds {
		return false
	}
	for _, w := range p.writes {
		if b.written[w.Put] {
			return false
		}
	}
	return true
}

func (b *submitBatch) add(s *submit, p prepared) {
	for _, w := range p.writes {
		b.written[w.Put] = true
	}
	for id, rec := range p.marks {
		b.marks[id] = rec
	}
	b.bytes += p.bytes
	b.submits = append(b.submits, s)
	b.txn.If = append(b.txn.If, p.conds...)
	b.txn.Writes = append(b.txn.Writes, p.writes...)
}

// pumpSubmits records waiting submissions, many in one transaction. A record
// is created only if neither an open nor a final one exists.
func (c *Core) pumpSubmits() {
	u := &c.users
	if u.submitBusy || len(u.submits) == 0 {
		return
	}
	batch, again := c.gatherSubmits()
	if len(batch.submits) > 0 {
		c.commitSubmits(batch)
	}
	// Last, since they may come back here at once.
	for _, s := range again {
		c.checkAwaited(s)
	}
}

// gatherSubmits takes the submissions of the next transaction out of the queue,
// and those whose awaited jobs have to be looked at again.
func (c *Core) gatherSubmits() (batch *submitBatch, again []*submit) {
	batch = &submitBatch{written: map[string]bool{}, marks: map[string]records.Open{}}
	var rest []*submit
	for _, s := range c.users.submits {
		if !batch.admits(s) {
			rest = append(rest, s)
			continue
		}
		p, ok := c.prepare(s)
		switch {
		case !ok:
			again = append(again, s)
		case !batch.fits(p, c.store.MaxWrites(), c.store.MaxConditions()):
			rest = append(rest, s)
		default:
			batch.add(s, p)
		}
	}
	c.users.submits = rest
	return batch, again
}

func (c *Core) commitSubmits(batch *submitBatch) {
	u := &c.users
	u.submitBusy = true
	commit := c.store.Commit
	if c.smallTxn(len(batch.txn.Writes)) {
		commit = c.store.CommitUrgent
	}
	commit(&batch.txn, func(r kv.TxnResult) {
		u.submitBusy = false
		switch r.Status {
		case kv.OK:
			c.submitsRecorded(batch, r.Revision)
		case kv.Conflict:
			c.submitsConflicted(batch, r.Conflicts)
		case kv.Unanswered:
			// Carried out or not, or still to be: sent again, a record that
			// was made after all is found. With the next tick: a connection
			// that is reset gives no answer at once.
			u.submits = append(batch.submits, u.submits...)
			return
		case kv.Rejected:
			c.submitsMalformed(batch)
		default:
			// Refused: the user comes again.
			for _, s := range batch.submits {
				c.answerRetry(s.req, errorStoreSilent)
			}
		}
		c.pumpSubmits()
	})
}

// submitsRecorded remembers the jobs of a transaction that was carried out, and
// answers their users.
func (c *Core) submitsRecorded(batch *submitBatch, revision uint64) {
	for _, id := range sortedKeys(batch.marks) {
		c.cacheOpen(id, &openJob{version: revision, rec: batch.marks[id]})
	}
	for _, s := range batch.submits {
		id := s.rec.Job.ID
		if s.withdrawn {
			f := s.final()
			c.cacheFinal(id, f)
			c.answer(s.req, httpstatus.Created, f.JobStatus(id), 0)
			continue
		}
		c.cacheOpen(id, &openJob{version: revision, rec: s.rec})
		c.answer(s.req, httpstatus.Created, wire.JobStatus{ID: id, Status: wire.StatusPending}, 0)
	}
}

// submitsConflicted goes on with the submissions of a transaction of which some
// conditions did not hold.
func (c *Core) submitsConflicted(batch *submitBatch, conflicts []string) {
	failed := records.Jobs(conflicts)
	for _, s := range batch.submits {
		switch {
		case failed[s.rec.Job.ID]:
			// It was accepted before.
			c.answerKnown(s.req, s.rec.Job.ID)
		case s.list != nil && slices.Contains(conflicts, s.list.ref.key(0)):
			s.list = nil // cleared
			c.checkAwaited(s)
		case c.forgetChanged(s.unfinished, failed):
			c.checkAwaited(s)
		default:
			c.users.submits = append(c.users.submits, s)
		}
	}
}

// forgetChanged forgets those of the jobs whose records have changed, and tells
// whether there are any.
func (c *Core) forgetChanged(ids []string, changed map[string]bool) bool {
	found := false
	for _, id := range ids {
		if changed[id] {
			found = true
			delete(c.users.open, id)
		}
	}
	return found
}

// submitsMalformed has each submission of a transaction that the state service
// found malformed go alone: one of them may be too large for the service, and
// alone it does not hold up the others.
func (c *Core) submitsMalformed(batch *submitBatch) {
	if len(batch.submits) == 1 {
		if c.mayMarkOtherwise(len(batch.txn.Writes), batch.marks) {
			c.checkAwaited(batch.submits[0])
			return
		}
		c.answerRetry(batch.submits[0].req, "the state service refuses the record")
		return
	}
	c.rejectedWrites(len(batch.txn.Writes))
	for _, s := range batch.submits {
		s.alone = true
		c.users.submits = append(c.users.submits, s)
	}
}

// smallTxn tells whether a transaction is small enough to go ahead of the pace:
// less than half of the changes that one may have. The leader's records are not
// held up either, and where they have used up the rate, a submission to the
// leader would be turned away for it, though the others take them at once. Many
// submissions at a time keep to the pace.
func (c *Core) smallTxn(writes int) bool { return 2*writes < c.store.MaxWrites() }
