package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// storeTimeout bounds a call to the state service. It is a ratio of the
// workers' lease: several tries must fit before a lease runs out.
func (c *Core) storeTimeout() time.Duration { return c.lease() / 5 }

// commitTimeout bounds a transaction. Its answer takes milliseconds, or the few
// hundred that the service takes now and then; one that does not come may never
// come. Every transaction here is conditional on what it changes, so it can be
// sent again: whichever copy is carried out first, the other one does nothing.
// Waiting for storeTimeout, a leader placed nothing for seconds after each
// transaction that got no answer, and users' questions were answered too late.
func (c *Core) commitTimeout() time.Duration { return c.report() / 3 }

// maxTxnBytes bounds the values of a transaction, of which the state service takes
// 64 KiB in all; writeOverhead is what a change takes beside its value, at most.
const (
	maxTxnBytes   = 48 << 10
	writeOverhead = 200
)

// limits are those of the state service that hold now and later, as far as they
// were announced or have shown.
func (c *Core) limits() config.State {
	b := c.cfg.Deployment.State.Bound()
	if c.fewerOps > 0 {
		b.TxnOps = min(b.TxnOps, c.fewerOps)
	}
	return b
}

// maxConds is how many conditions a transaction may have.
func (c *Core) maxConds() int { return 4 * c.limits().TxnOps }

// refusedTxn takes in that the service found a transaction malformed: its limits
// are lower than they were said to be. Else what does not fit would be sent again
// for ever, and hold up everything behind it. It tells whether the same changes may
// do in smaller transactions.
func (c *Core) refusedTxn(writes int) bool {
	if writes <= 2 {
		return false
	}
	c.fewerOps = max(2, writes*3/4)
	c.log.Info("the state service takes fewer changes at a time", "changes", c.fewerOps)
	return true
}

func (c *Core) get(key string, f func(Result)) {
	c.call(Call{Dest: DestStore, Method: "GET", Path: "/store/" + key, Timeout: c.storeTimeout()}, f)
}

func (c *Core) commit(t *wire.Txn, urgent bool, f func(Result)) {
	if t.If == nil {
		t.If = []wire.Cond{}
	}
	if t.Writes == nil {
		t.Writes = []wire.Write{}
	}
	c.call(Call{Dest: DestStore, Method: "POST", Path: "/commit", Body: encode(t), Timeout: c.commitTimeout(),
		Writes: len(t.Writes), Urgent: urgent}, func(r Result) {
		c.noteStore(r)
		f(r)
	})
}

// noteStore keeps track of whether the state service answers this controller.
func (c *Core) noteStore(r Result) {
	if r.Status == 0 || r.Status == 503 {
		if c.users.storeBadSince == 0 {
			c.users.storeBadSince = c.now
		}
	} else if r.Status != 429 {
		c.users.storeBadSince = 0
	}
}

func (c *Core) storeOK() bool { return c.users.storeBadSince == 0 }
