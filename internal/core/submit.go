package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

type submit struct {
	req    uint64
	rec    openRecord
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
	job, why := parseSubmission(r.Body)
	if job == nil {
		// A repeated submission of an accepted job is never refused, but a
		// body that names no valid job is not one.
		c.answer(r.ID, 400, errorBody(why), 0)
		return
	}
	if f, ok := u.final[job.ID]; ok {
		c.answer(r.ID, 200, f.status(job.ID), 0)
		return
	}
	if u.open[job.ID] != nil {
		c.answerKnown(r.ID, job.ID)
		return
	}
	if len(c.types) == 0 {
		c.answer(r.ID, 503, errorBody("machine types are not known yet"), 1)
		return
	}
	if why := c.possible(job); why != "" {
		// A job that was accepted before gets 200 whatever holds now.
		c.find(job.ID, func(f found) {
			switch {
			case f.failed:
				c.answer(r.ID, 503, errorBody("the state service does not answer"), 1)
			case f.open == nil && f.final == nil:
				c.answer(r.ID, 422, errorBody(why), 0)
			default:
				c.answer(r.ID, 200, c.statusOf(job.ID, f), 0)
			}
		})
		return
	}
	if c.refuse(r.ID, len(u.submits)) {
		return
	}
	s := &submit{req: r.ID, rec: openRecord{Job: *job, At: c.wall}, awaits: job.Awaits, until: c.now + submitWait}
	if len(s.awaits) > c.limits().TxnOps {
		s.until = c.now + longSubmitWait
	}
	s.rec.Job.Awaits = nil
	if len(s.awaits) > 0 {
		c.checkAwaited(s)
		return
	}
	u.submits = append(u.submits, s)
	c.pumpSubmits()
}

// pumpSubmits records waiting submissions, many in one transaction. A record
// is created only if neither an open nor a final one exists.
func (c *Core) pumpSubmits() {
	u := &c.users
	if u.submitBusy || len(u.submits) == 0 {
		return
	}
	var batch, rest, again []*submit
	txn := &wire.Txn{}
	keys := map[string]bool{} // to be written
	marks := map[string]openRecord{}
	bytes := 0
	for _, s := range u.submits {
		if len(batch) > 0 && (s.alone || batch[0].alone) {
			rest = append(rest, s)
			continue
		}
		p, ok := c.prepare(s)
		if !ok {
			again = append(again, s)
			continue
		}
		fits := bytes+p.bytes <= maxTxnBytes && len(txn.Writes)+len(p.writes) <= c.limits().TxnOps && len(txn.If)+len(p.conds) <= 4*c.limits().TxnOps
		for _, w := range p.writes {
			fits = fits && !keys[w.Put]
		}
		if !fits {
			rest = append(rest, s)
			continue
		}
		for _, w := range p.writes {
			keys[w.Put] = true
		}
		for id, rec := range p.marks {
			marks[id] = rec
		}
		bytes += p.bytes
		batch = append(batch, s)
		txn.If = append(txn.If, p.conds...)
		txn.Writes = append(txn.Writes, p.writes...)
	}
	u.submits = rest
	// Afterwards, since they may come back here at once.
	defer func() {
		for _, s := range again {
			c.checkAwaited(s)
		}
	}()
	if len(batch) == 0 {
		return
	}
	u.submitBusy = true
	c.commit(txn, c.smallTxn(len(txn.Writes)), func(r Result) {
		u.submitBusy = false
		var tr wire.TxnResult
		switch r.Status {
		case 200:
			json.Unmarshal(r.Body, &tr)
			for _, id := range sortedKeys(marks) {
				c.know(id, &known{version: tr.Revision, rec: marks[id]})
			}
			for _, s := range batch {
				id := s.rec.Job.ID
				if s.withdrawn {
					f := s.final()
					c.remember(id, f)
					c.answer(s.req, 201, f.status(id), 0)
					continue
				}
				c.know(id, &known{version: tr.Revision, rec: s.rec})
				c.answer(s.req, 201, wire.JobStatus{ID: id, Status: wire.StatusPending}, 0)
			}
		case 409:
			json.Unmarshal(r.Body, &tr)
			failed := map[string]bool{}
			for _, k := range tr.Failed {
				failed[k[2:]] = true
			}
			for _, s := range batch {
				if failed[s.rec.Job.ID] {
					c.answerKnown(s.req, s.rec.Job.ID)
					continue
				}
				if s.list != nil && slices.Contains(tr.Failed, s.list.ref.key(0)) {
					s.list = nil // cleared
					c.checkAwaited(s)
					continue
				}
				changed := false
				for _, a := range s.unfinished {
					if failed[a] {
						changed = true
						delete(u.open, a)
					}
				}
				if changed {
					c.checkAwaited(s)
				} else {
					u.submits = append(u.submits, s)
				}
			}
		case 0:
			// Carried out or not, or still to be: sent again, a record that
			// was made after all is found. With the next tick: a connection
			// that is reset gives no answer at once.
			u.submits = append(batch, u.submits...)
			return
		case 400:
			// One of them may be too large for the service. Alone it does not
			// hold up the others.
			c.refusedTxn(len(txn.Writes))
			for _, s := range batch {
				if len(batch) == 1 {
					c.answer(s.req, 503, errorBody("the state service refuses the record"), 1)
				} else {
					s.alone = true
					u.submits = append(u.submits, s)
				}
			}
		default:
			// Refused: the user comes again.
			for _, s := range batch {
				c.answer(s.req, 503, errorBody("the state service does not answer"), 1)
			}
		}
		c.pumpSubmits()
	})
}

// smallTxn tells whether a transaction is small enough to go ahead of the pace:
// less than half of the changes that one may have. The leader's records are not
// held up either, and where they have used up the rate, a submission to the
// leader would be turned away for it, though the others take them at once. Many
// submissions at a time keep to the pace.
func (c *Core) smallTxn(writes int) bool { return 2*writes < c.limits().TxnOps }
