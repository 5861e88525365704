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

// prepared is what a submission adds to a transaction.
type prepared struct {
	conds  []wire.Cond
	writes []wire.Write
	marks  map[string]records.Open // awaited jobs, as they are written
	bytes  int
}

func (s *submit) final() records.Final {
	return records.Final{Status: wire.StatusCancelled, Tasks: s.rec.Job.Tasks}
}

// prepare makes the conditions and changes of a submission; not ok if what is
// known of the jobs that it awaits has to be looked at again.
func (c *Core) prepare(s *submit) (p prepared, ok bool) {
	id := s.rec.Job.ID
	p.conds = []wire.Cond{{Key: records.OpenKey(id)}, {Key: records.FinalKey(id)}}
	p.marks = map[string]records.Open{}
	if s.withdrawn {
		p.write(records.FinalKey(id), kv.Encode(s.final()))
		return p, true
	}
	if s.list != nil {
		p.conds = append(p.conds, s.list.firstUnchanged())
	}
	for _, a := range s.unfinished {
		k := c.users.open[a]
		if _, over := c.users.final[a]; over || k == nil || k.rec.Cancelled {
			return p, false
		}
		if len(p.conds) < c.store.MaxConditions() {
			p.conds = append(p.conds, wire.Cond{Key: records.OpenKey(a), Version: k.version})
		}
		if c.canMark(k) {
			rec := k.rec
			rec.Needed = true
			p.marks[a] = rec
			p.write(records.OpenKey(a), kv.Encode(rec))
		}
	}
	p.write(records.OpenKey(id), kv.Encode(s.rec))
	return p, len(p.writes) <= c.store.MaxWrites()
}

// canMark tells whether an awaited job's open record is to be marked as needed, and
// the state service still takes a record of that size.
func (c *Core) canMark(k *openJob) bool {
	if k.rec.Needed || k.unwritable {
		return false
	}
	rec := k.rec
	rec.Needed = true
	return len(kv.Encode(rec)) <= c.store.MaxValue()
}

// mayMarkOtherwise takes in that the state service has refused a transaction with
// marks. It tells whether smaller ones may do, or one with fewer marks.
func (c *Core) mayMarkOtherwise(writes int, marks map[string]records.Open) bool {
	smaller := c.rejectedWrites(writes)
	fewer := c.noteUnwritable(marks)
	return smaller || fewer
}

// noteUnwritable takes the large ones among refused marks for the cause of the
// refusal. It tells whether there are any.
func (c *Core) noteUnwritable(marks map[string]records.Open) bool {
	found := false
	for id, rec := range marks {
		if k := c.users.open[id]; k != nil && mayBeUnmarked(rec) {
			k.unwritable, found = true, true
		}
	}
	return found
}

// mayBeUnmarked tells whether an open record is so large that the state service may
// have refused to have it marked as needed.
func mayBeUnmarked(rec records.Open) bool { return len(kv.Encode(rec)) > kv.SmallValue }

func (p *prepared) write(key string, v []byte) {
	p.writes = append(p.writes, wire.Write{Put: key, Value: v})
	p.bytes += len(v) + kv.WriteOverhead
}

// checkAwaited finds out about the jobs that a submission awaits, and has it
// recorded if they allow it.
func (c *Core) checkAwaited(s *submit) {
	u := &c.users
	if c.now >= s.until {
		c.answerRetry(s.req, errorNotNow)
		return
	}
	var ask []string
	for _, a := range s.awaits {
		if _, over := u.final[a]; !over && u.open[a] == nil {
			ask = append(ask, a)
		}
	}
	if len(ask) == 0 {
		c.takeAwaited(s)
		return
	}
	// A long list leaves room for other questions. What is found is remembered,
	// so that the next round, or the user's next try, asks for the rest.
	ask = ask[:min(len(ask), c.maxWaiting()/4)]
	left, failed, unknown := len(ask), false, ""
	for _, a := range ask {
		c.lookUp(a, func(f lookupResult) {
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
				c.answerError(s.req, httpstatus.UnprocessableEntity, "it awaits "+unknown+", which was never accepted")
			case failed:
				c.answerRetry(s.req, errorStoreSilent)
			default:
				c.checkAwaited(s)
			}
		})
	}
}

// takeAwaited has a submission recorded, all of whose awaited jobs are known.
func (c *Core) takeAwaited(s *submit) {
	u := &c.users
	s.unfinished, s.withdrawn = nil, false
	var unmarked []string
	for _, a := range s.awaits {
		if f, over := u.final[a]; over {
			s.withdrawn = s.withdrawn || f.Status != wire.StatusDone
			continue
		}
		k := u.open[a]
		switch {
		case k == nil: // forgotten again
			c.answerRetry(s.req, errorNotNow)
			return
		case k.rec.Job.Shape == wire.ShapeService:
			c.answerError(s.req, httpstatus.UnprocessableEntity, "it awaits "+a+", a service")
			return
		case k.rec.Cancelled:
			s.withdrawn = true
		default:
			s.unfinished = append(s.unfinished, a)
			if c.canMark(k) {
				unmarked = append(unmarked, a)
			}
		}
	}
	switch {
	case s.withdrawn:
	case len(unmarked) >= c.store.MaxWrites():
		// More than go into one transaction beside the job itself.
		c.markNeeded(s, unmarked[:c.store.MaxWrites()])
		return
	case !c.placeNames(s):
		return
	}
	u.submits = append(u.submits, s)
	c.pumpSubmits()
}

// placeNames puts what a submission awaits into its record: the names, or a
// reference to the list that holds them. If the list has to be written first, or
// can't be, it returns false, and the submission goes on later or is answered.
func (c *Core) placeNames(s *submit) bool {
	s.rec.Job.Awaits = s.unfinished
	if c.recordable(s.rec) {
		s.list = nil
		return true
	}
	switch {
	case s.list != nil && s.list.complete():
		// It may name jobs that are done meanwhile, but lacks none.
		s.rec.Job.Awaits = []string{s.list.ref.String()}
		return true
	case !c.allUnderstand(wire.PeerVersionLists):
		c.answerRetry(s.req, "it awaits more jobs than controllers of an earlier version can read")
		return false
	}
	c.writeList(s)
	return false
}

// markNeeded marks some of the jobs that a submission awaits.
func (c *Core) markNeeded(s *submit, ids []string) {
	txn := &wire.Txn{}
	marks := map[string]records.Open{}
	for _, id := range ids {
		k := c.users.open[id]
		rec := k.rec
		rec.Needed = true
		marks[id] = rec
		txn.If = append(txn.If, wire.Cond{Key: records.OpenKey(id), Version: k.version})
		txn.Writes = append(txn.Writes, wire.Write{Put: records.OpenKey(id), Value: kv.Encode(rec)})
	}
	c.store.Commit(txn, func(r kv.TxnResult) {
		switch r.Status {
		case kv.OK:
			for _, id := range ids {
				c.cacheOpen(id, &openJob{version: r.Revision, rec: marks[id]})
			}
		case kv.Conflict, kv.Unanswered:
			for _, id := range ids {
				delete(c.users.open, id)
			}
		default:
			if r.Status != kv.Rejected || !c.mayMarkOtherwise(len(txn.Writes), marks) {
				c.answerRetry(s.req, errorStoreSilent)
				return
			}
		}
		c.checkAwaited(s)
	})
}
