package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

type lookupWaiter struct {
	done      func(lookupResult)
	expiresAt time.Duration
}

// lookupResult is the outcome of a lookup: unknown, open or final; failed when the
// state service gave no answer.
type lookupResult struct {
	failed bool
	open   *cachedJob
	final  *records.Final
}

// lookupJob looks a job up, so that its answer is no older than this call.
func (c *Core) lookupJob(id string, done func(lookupResult)) {
	u := &c.users
	if rec, ok := u.finalRecords[id]; ok {
		done(lookupResult{final: &rec})
		return
	}
	if len(u.lookupOrder) >= c.maxWaitingRequests() || c.storeOverdue() {
		done(lookupResult{failed: true})
		return
	}
	u.enqueueLookups(id, nil)
	u.lookups[id] = append(u.lookups[id], &lookupWaiter{done: done, expiresAt: c.now + lookupTimeout})
	c.startLookups()
}

// lookupTimeout is how long a lookup may take before it fails.
const lookupTimeout = 1500 * time.Millisecond

// maxLookupCalls is how many calls for lookups may be under way at a time.
const maxLookupCalls = 4

// startLookups confirms known jobs by one compare-only transaction for many of
// them, and reads the others. Questions of a moment are gathered: users poll
// without end, and a transaction for each would take most of the processor and
// of the state service's requests.
func (c *Core) startLookups() {
	u := &c.users
	confirm := c.now >= u.nextConfirmationAt
	for len(u.lookupOrder) > 0 && u.lookupCalls < maxLookupCalls {
		limit := 0
		if confirm {
			limit = c.store.MaxConditions()
		}
		batch, unknown := u.nextLookups(limit)
		if unknown == "" && len(batch) == 0 {
			return
		}
		if unknown != "" {
			u.lookupCalls++
			c.readRecords(unknown, u.dequeueLookups(unknown))
		}
		if len(batch) > 0 {
			c.confirmCached(batch)
		}
	}
}

// nextLookups takes out of the order known jobs, limit at most, and one that is
// not known, if there is one.
func (u *frontEnd) nextLookups(limit int) (batch []string, unknown string) {
	var rest []string
	for _, id := range u.lookupOrder {
		isKnown := u.openJobs[id] != nil
		switch {
		case isKnown && len(batch) < limit:
			batch = append(batch, id)
		case !isKnown && unknown == "":
			unknown = id
		default:
			rest = append(rest, id)
		}
	}
	u.lookupOrder = rest
	return batch, unknown
}

// confirmCached asks the state service whether the records of known jobs are as
// they were, and ends the lookups of those of which they are.
func (c *Core) confirmCached(batch []string) {
	u := &c.users
	u.nextConfirmationAt = c.now + c.heartbeatInterval()/10
	u.lookupCalls++
	txn := &wire.Txn{}
	waiting := map[string][]*lookupWaiter{}
	for _, id := range batch {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.OpenKey(id), Version: u.openJobs[id].version})
		waiting[id] = u.dequeueLookups(id)
	}
	c.store.Commit(txn, func(r kv.TxnResult) {
		u.lookupCalls--
		changed := map[string]bool{}
		if r.Status == kv.Conflict {
			changed = records.Jobs(r.Conflicts)
		}
		for _, id := range batch {
			c.finishConfirmation(id, waiting[id], r.Status, changed[id])
		}
		c.startLookups()
	})
}

// finishConfirmation ends the lookups of one known job after the transaction that
// was to confirm it; if its record has changed, it is read.
func (c *Core) finishConfirmation(id string, waiting []*lookupWaiter, status kv.Status, changed bool) {
	u := &c.users
	switch {
	case status == kv.Unanswered:
		u.enqueueLookups(id, waiting)
	case status != kv.OK && status != kv.Conflict:
		resolveLookups(waiting, lookupResult{failed: true})
	case changed || u.openJobs[id] == nil:
		delete(u.openJobs, id)
		u.lookupCalls++
		c.readRecords(id, waiting)
	default:
		resolveLookups(waiting, lookupResult{open: u.openJobs[id]})
	}
}

// enqueueLookups has lookups of a job wait (again) for their turn, ahead of later ones.
func (u *frontEnd) enqueueLookups(id string, waiters []*lookupWaiter) {
	if len(u.lookups[id]) == 0 {
		u.lookupOrder = append(u.lookupOrder, id)
	}
	u.lookups[id] = append(waiters, u.lookups[id]...)
}

func (u *frontEnd) dequeueLookups(id string) []*lookupWaiter {
	l := u.lookups[id]
	delete(u.lookups, id)
	return l
}

func resolveLookups(waiters []*lookupWaiter, result lookupResult) {
	for _, l := range waiters {
		l.done(result)
	}
}

// readRecords fetches the open record, then the final one.
func (c *Core) readRecords(id string, waiting []*lookupWaiter) {
	end := func(f lookupResult) {
		c.users.lookupCalls--
		resolveLookups(waiting, f)
		c.startLookups()
	}
	c.store.Get(records.OpenKey(id), func(r kv.GetResult) {
		c.store.Observe(r.Status)
		k := decodeOpenJob(r)
		switch {
		case k != nil:
			end(c.cacheNewer(id, k))
		case r.Status != kv.NotFound:
			end(lookupResult{failed: true})
		default:
			c.readFinalRecord(id, end)
		}
	})
}

// decodeOpenJob decodes the answer to a read of an open record; nil if it holds
// none.
func decodeOpenJob(r kv.GetResult) *cachedJob {
	if r.Status != kv.OK {
		return nil
	}
	k := &cachedJob{version: r.Item.Version}
	if json.Unmarshal(r.Item.Value, &k.record) != nil {
		return nil
	}
	return k
}

// cacheNewer takes in an open record that was read. What was learned while the
// answer was on its way is newer: a user may have been told of it here
// meanwhile.
func (c *Core) cacheNewer(id string, read *cachedJob) lookupResult {
	u := &c.users
	if f, over := u.finalRecords[id]; over {
		return lookupResult{final: &f}
	}
	if old := u.openJobs[id]; old != nil && old.version >= read.version {
		return lookupResult{open: old}
	}
	c.cacheOpen(id, read)
	return lookupResult{open: read}
}

// readFinalRecord fetches the final record of a job that has no open one.
func (c *Core) readFinalRecord(id string, end func(lookupResult)) {
	c.store.Get(records.FinalKey(id), func(r kv.GetResult) {
		c.store.Observe(r.Status)
		var f records.Final
		switch {
		case r.Status == kv.NotFound:
			delete(c.users.openJobs, id)
			end(lookupResult{})
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &f) == nil:
			c.cacheFinal(id, f)
			end(lookupResult{final: &f})
		default:
			end(lookupResult{failed: true})
		}
	})
}
