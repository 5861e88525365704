package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

type lookup struct {
	f     func(lookupResult)
	until time.Duration
}

// lookupResult is the outcome of a lookup: unknown, open or final; failed when the
// state service gave no answer.
type lookupResult struct {
	failed bool
	open   *openJob
	final  *records.Final
}

// lookUp looks a job up, so that its answer is no older than this call.
func (c *Core) lookUp(id string, f func(lookupResult)) {
	u := &c.users
	if rec, ok := u.final[id]; ok {
		f(lookupResult{final: &rec})
		return
	}
	if len(u.order) >= c.maxWaiting() || c.storeOverdue() {
		f(lookupResult{failed: true})
		return
	}
	u.wait(id, nil)
	u.lookups[id] = append(u.lookups[id], &lookup{f: f, until: c.now + lookupWait})
	c.pumpLookups()
}

// lookupWait is how long a lookup may take before it fails.
const lookupWait = 1500 * time.Millisecond

// maxLookupCalls is how many calls for lookups may be under way at a time.
const maxLookupCalls = 4

// pumpLookups confirms known jobs by one compare-only transaction for many of
// them, and reads the others. Questions of a moment are gathered: users poll
// without end, and a transaction for each would take most of the processor and
// of the state service's requests.
func (c *Core) pumpLookups() {
	u := &c.users
	confirm := c.now >= u.confirmAt
	for len(u.order) > 0 && u.lookupBusy < maxLookupCalls {
		limit := 0
		if confirm {
			limit = c.store.MaxConditions()
		}
		batch, unknown := u.nextLookups(limit)
		if unknown == "" && len(batch) == 0 {
			return
		}
		if unknown != "" {
			u.lookupBusy++
			c.read(unknown, u.take(unknown))
		}
		if len(batch) > 0 {
			c.confirmKnown(batch)
		}
	}
}

// nextLookups takes out of the order known jobs, limit at most, and one that is
// not known, if there is one.
func (u *users) nextLookups(limit int) (batch []string, unknown string) {
	var rest []string
	for _, id := range u.order {
		isKnown := u.open[id] != nil
		switch {
		case isKnown && len(batch) < limit:
			batch = append(batch, id)
		case !isKnown && unknown == "":
			unknown = id
		default:
			rest = append(rest, id)
		}
	}
	u.order = rest
	return batch, unknown
}

// confirmKnown asks the state service whether the records of known jobs are as
// they were, and ends the lookups of those of which they are.
func (c *Core) confirmKnown(batch []string) {
	u := &c.users
	u.confirmAt = c.now + c.report()/10
	u.lookupBusy++
	txn := &wire.Txn{}
	waiting := map[string][]*lookup{}
	for _, id := range batch {
		txn.If = append(txn.If, wire.Cond{Key: records.OpenKey(id), Version: u.open[id].version})
		waiting[id] = u.take(id)
	}
	c.store.Commit(txn, func(r kv.TxnResult) {
		u.lookupBusy--
		changed := map[string]bool{}
		if r.Status == kv.Conflict {
			changed = records.Jobs(r.Conflicts)
		}
		for _, id := range batch {
			c.endConfirmation(id, waiting[id], r.Status, changed[id])
		}
		c.pumpLookups()
	})
}

// endConfirmation ends the lookups of one known job after the transaction that
// was to confirm it; if its record has changed, it is read.
func (c *Core) endConfirmation(id string, waiting []*lookup, status kv.Status, changed bool) {
	u := &c.users
	switch {
	case status == kv.Unanswered:
		u.wait(id, waiting)
	case status != kv.OK && status != kv.Conflict:
		resolve(waiting, lookupResult{failed: true})
	case changed || u.open[id] == nil:
		delete(u.open, id)
		u.lookupBusy++
		c.read(id, waiting)
	default:
		resolve(waiting, lookupResult{open: u.open[id]})
	}
}

// wait has lookups of a job wait (again) for their turn, ahead of later ones.
func (u *users) wait(id string, ls []*lookup) {
	if len(u.lookups[id]) == 0 {
		u.order = append(u.order, id)
	}
	u.lookups[id] = append(ls, u.lookups[id]...)
}

func (u *users) take(id string) []*lookup {
	l := u.lookups[id]
	delete(u.lookups, id)
	return l
}

func resolve(ls []*lookup, f lookupResult) {
	for _, l := range ls {
		l.f(f)
	}
}

// read fetches the open record, then the final one.
func (c *Core) read(id string, waiting []*lookup) {
	end := func(f lookupResult) {
		c.users.lookupBusy--
		resolve(waiting, f)
		c.pumpLookups()
	}
	c.store.Get(records.OpenKey(id), func(r kv.GetResult) {
		c.store.Observe(r.Status)
		k := openFromItem(r)
		switch {
		case k != nil:
			end(c.newest(id, k))
		case r.Status != kv.NotFound:
			end(lookupResult{failed: true})
		default:
			c.readFinal(id, end)
		}
	})
}

// openFromItem decodes the answer to a read of an open record; nil if it holds
// none.
func openFromItem(r kv.GetResult) *openJob {
	if r.Status != kv.OK {
		return nil
	}
	k := &openJob{version: r.Item.Version}
	if json.Unmarshal(r.Item.Value, &k.rec) != nil {
		return nil
	}
	return k
}

// newest takes in an open record that was read. What was learned while the
// answer was on its way is newer: a user may have been told of it here
// meanwhile.
func (c *Core) newest(id string, read *openJob) lookupResult {
	u := &c.users
	if f, over := u.final[id]; over {
		return lookupResult{final: &f}
	}
	if old := u.open[id]; old != nil && old.version >= read.version {
		return lookupResult{open: old}
	}
	c.cacheOpen(id, read)
	return lookupResult{open: read}
}

// readFinal fetches the final record of a job that has no open one.
func (c *Core) readFinal(id string, end func(lookupResult)) {
	c.store.Get(records.FinalKey(id), func(r kv.GetResult) {
		c.store.Observe(r.Status)
		var f records.Final
		switch {
		case r.Status == kv.NotFound:
			delete(c.users.open, id)
			end(lookupResult{})
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &f) == nil:
			c.cacheFinal(id, f)
			end(lookupResult{final: &f})
		default:
			end(lookupResult{failed: true})
		}
	})
}
