package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cancellation"
	"github.com/brookwalk/brookwalk/internal/core/records"
)

// users serves the users on every controller, straight from the state
// service. What it remembers of unfinished jobs is only ever used after the
// state service has confirmed that it still holds.
type users struct {
	open       map[string]*openJob
	openOrder  []string // as they became known; some may be gone
	final      map[string]records.Final
	finalOrder []string

	submits    []*submit
	submitBusy bool
	lookups    map[string][]*lookup // by job
	order      []string             // jobs with lookups, oldest first
	lookupBusy int
	confirmAt  time.Duration // known jobs wait until then, to be confirmed together
	cancels    *cancellation.Waits
	preloaded  bool
	preloadAt  time.Duration
}

func (c *Core) initUsers() {
	u := &c.users
	u.open = map[string]*openJob{}
	u.final = map[string]records.Final{}
	u.lookups = map[string][]*lookup{}
	u.cancels = cancellation.New(c.cancelWait(), c.cancelTime())
}

// maxWaiting is how many requests may wait: each comes on a connection.
func (c *Core) maxWaiting() int { return c.cfg.Deployment.Limits.MaxConnections }

// refuse answers at once, with when to come back, what cannot be taken now.
func (c *Core) refuse(req uint64, waiting int) bool {
	if waiting >= c.maxWaiting() || c.storeOverdue() {
		c.answerRetry(req, errorNotNow)
		return true
	}
	return false
}

// storeOverdue reports whether the store has not answered for so long that a request is better
// refused than kept waiting.
func (c *Core) storeOverdue() bool { return c.store.UnavailableFor() > c.store.Timeout()/4 }

func (c *Core) answerKnown(req uint64, id string) {
	c.lookUp(id, func(f lookupResult) {
		if f.failed || f.open == nil && f.final == nil {
			c.answerRetry(req, errorStoreSilent)
			return
		}
		c.answer(req, httpstatus.OK, c.statusOf(id, f), 0)
	})
}

// tickUsers gives up on what has waited too long, at once and with word of
// when to come back.
func (c *Core) tickUsers() {
	c.expireSubmits()
	c.pumpSubmits()
	c.expireLookups()
	c.pumpLookups()
	c.answerStopping(c.users.cancels.Expire(c.now))
}

// expireSubmits answers the submissions in the queue whose time is up.
func (c *Core) expireSubmits() {
	u := &c.users
	var keep []*submit
	for _, s := range u.submits {
		if c.now >= s.until {
			c.answerRetry(s.req, errorNotNow)
		} else {
			keep = append(keep, s)
		}
	}
	u.submits = keep
}

// expireLookups fails the waiting lookups whose time is up.
func (c *Core) expireLookups() {
	u := &c.users
	var order []string
	for _, id := range u.order {
		var keep []*lookup
		for _, l := range u.lookups[id] {
			if c.now >= l.until {
				l.f(lookupResult{failed: true})
			} else {
				keep = append(keep, l)
			}
		}
		if len(keep) > 0 {
			u.lookups[id] = keep
			order = append(order, id)
		} else {
			delete(u.lookups, id)
		}
	}
	u.order = order
}

func sortUint64(s []uint64) { sort.Slice(s, func(i, j int) bool { return s[i] < s[j] }) }
