package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A LookupResult is the outcome of a lookup. Without an open or a final record, the job does not
// exist, or the lookup failed.
type LookupResult struct {
	Failed bool // the store gave no answer
	Open   *jobcache.OpenJob
	Final  *records.Final
}

// found reports whether the job exists.
func (r LookupResult) found() bool { return r.Open != nil || r.Final != nil }

// lookupWaiter is a lookup that waits for its result.
type lookupWaiter struct {
	done      func(LookupResult)
	expiresAt time.Duration
}

// lookups are the lookups that wait.
type lookups struct {
	waiters map[string][]*lookupWaiter // by job
	order   []string                   // the jobs, oldest first
	calls   int                        // to the store, under way
	// nextConfirmationAt: known jobs wait until then, to be confirmed together.
	nextConfirmationAt time.Duration
}

const (
	// lookupTimeout is how long a lookup may take before it fails.
	lookupTimeout = 1500 * time.Millisecond
	// maxLookupCalls is how many calls for lookups may be under way at a time.
	maxLookupCalls = 4
)

// Lookup looks a job up. The result is no older than the call.
func (f *FrontEnd) Lookup(job string, done func(LookupResult)) {
	if final, ended := f.cache.Final(job); ended {
		done(LookupResult{Final: &final})
		return
	}
	if f.mustShed(f.WaitingLookups()) {
		done(LookupResult{Failed: true})
		return
	}
	f.lookups.enqueue(job, nil)
	f.lookups.waiters[job] = append(f.lookups.waiters[job], &lookupWaiter{done: done, expiresAt: f.host.Now() + lookupTimeout})
	f.startLookups()
}

// WaitingLookups counts the jobs whose lookup has not begun.
func (f *FrontEnd) WaitingLookups() int { return len(f.lookups.order) }

// expireLookups fails the waiting lookups that have timed out.
func (f *FrontEnd) expireLookups() {
	var order []string
	for _, job := range f.lookups.order {
		var kept []*lookupWaiter
		for _, waiter := range f.lookups.waiters[job] {
			if f.host.Now() >= waiter.expiresAt {
				waiter.done(LookupResult{Failed: true})
			} else {
				kept = append(kept, waiter)
			}
		}
		if len(kept) > 0 {
			f.lookups.waiters[job] = kept
			order = append(order, job)
		} else {
			delete(f.lookups.waiters, job)
		}
	}
	f.lookups.order = order
}

// startLookups confirms known jobs, many of them by one transaction without writes, and reads the
// others. Lookups at about the same time are batched: users poll all the time, and a transaction
// for each would cost most of the processor and of the rate of requests to the store.
func (f *FrontEnd) startLookups() {
	confirm := f.host.Now() >= f.lookups.nextConfirmationAt
	for len(f.lookups.order) > 0 && f.lookups.calls < maxLookupCalls {
		limit := 0
		if confirm {
			limit = f.store.MaxConditions()
		}
		known, unknown := f.nextLookups(limit)
		if unknown == "" && len(known) == 0 {
			return
		}
		if unknown != "" {
			f.readJob(unknown, f.lookups.dequeue(unknown))
		}
		if len(known) > 0 {
			f.confirmKnown(known)
		}
	}
}

// nextLookups removes known jobs, limit at most, and one that is not known from the order. The
// latter is empty if there is none.
func (f *FrontEnd) nextLookups(limit int) (known []string, unknown string) {
	var rest []string
	for _, job := range f.lookups.order {
		isKnown := f.cache.Open(job) != nil
		switch {
		case isKnown && len(known) < limit:
			known = append(known, job)
		case !isKnown && unknown == "":
			unknown = job
		default:
			rest = append(rest, job)
		}
	}
	f.lookups.order = rest
	return known, unknown
}

// confirmKnown asks the store whether the records of known jobs are as they were, and ends the
// lookups of those of which they are.
func (f *FrontEnd) confirmKnown(jobs []string) {
	f.lookups.nextConfirmationAt = f.host.Now() + f.heartbeatInterval()/10
	f.lookups.calls++
	txn := &wire.Txn{}
	waiting := map[string][]*lookupWaiter{}
	for _, job := range jobs {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: records.OpenKey(job), Version: f.cache.Open(job).Version})
		waiting[job] = f.lookups.dequeue(job)
	}
	f.store.Commit(txn, func(r kv.TxnResult) {
		f.lookups.calls--
		changed := map[string]bool{}
		if r.Status == kv.Conflict {
			changed = records.JobIDs(r.Conflicts)
		}
		for _, job := range jobs {
			f.finishConfirmation(job, waiting[job], r.Status, changed[job])
		}
		f.startLookups()
	})
}

// finishConfirmation ends the lookups of one known job after the transaction that was to confirm
// it; if its record has changed, it is read.
func (f *FrontEnd) finishConfirmation(job string, waiting []*lookupWaiter, status kv.Status, changed bool) {
	switch {
	case status == kv.Unanswered:
		f.lookups.enqueue(job, waiting)
	case status != kv.OK && status != kv.Conflict:
		resolveAll(waiting, LookupResult{Failed: true})
	case changed || f.cache.Open(job) == nil:
		f.cache.RemoveOpen(job)
		f.readJob(job, waiting)
	default:
		resolveAll(waiting, LookupResult{Open: f.cache.Open(job)})
	}
}

// enqueue lets lookups of a job wait, again perhaps, ahead of later ones of that job.
func (l *lookups) enqueue(job string, waiters []*lookupWaiter) {
	if len(l.waiters[job]) == 0 {
		l.order = append(l.order, job)
	}
	l.waiters[job] = append(waiters, l.waiters[job]...)
}

func (l *lookups) dequeue(job string) []*lookupWaiter {
	waiters := l.waiters[job]
	delete(l.waiters, job)
	return waiters
}

func resolveAll(waiters []*lookupWaiter, result LookupResult) {
	for _, waiter := range waiters {
		waiter.done(result)
	}
}

// readJob reads the open record of a job, then the final one, and ends lookups of it.
func (f *FrontEnd) readJob(job string, waiting []*lookupWaiter) {
	f.lookups.calls++
	done := func(result LookupResult) {
		f.lookups.calls--
		resolveAll(waiting, result)
		f.startLookups()
	}
	f.store.Get(records.OpenKey(job), func(r kv.GetResult) {
		f.store.Observe(r.Status)
		if r.Status == kv.NotFound {
			f.readFinal(job, done)
			return
		}
		if r.Status == kv.OK {
			if read := decodeOpen(r.Item); read != nil {
				open, final := f.cache.PutIfNewer(job, read)
				done(LookupResult{Open: open, Final: final})
				return
			}
		}
		done(LookupResult{Failed: true})
	})
}

// readFinal reads the final record of a job that has no open one.
func (f *FrontEnd) readFinal(job string, done func(LookupResult)) {
	f.store.Get(records.FinalKey(job), func(r kv.GetResult) {
		f.store.Observe(r.Status)
		var final records.Final
		switch {
		case r.Status == kv.NotFound:
			f.cache.RemoveOpen(job)
			done(LookupResult{})
		case r.Status == kv.OK && json.Unmarshal(r.Item.Value, &final) == nil:
			f.cache.PutFinal(job, final)
			done(LookupResult{Final: &final})
		default:
			done(LookupResult{Failed: true})
		}
	})
}

// decodeOpen decodes an open record; nil if the item holds none.
func decodeOpen(item wire.Item) *jobcache.OpenJob {
	open := &jobcache.OpenJob{Version: item.Version}
	if json.Unmarshal(item.Value, &open.Record) != nil {
		return nil
	}
	return open
}
