package frontend

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A LookupResult is the outcome of a lookup. If it has neither an open nor a final record, the
// lookup failed or the job does not exist.
type LookupResult struct {
	Failed bool // no usable answer of the store in time, or refused by load shedding
	Open   *jobcache.OpenJob
	Final  *records.Final
}

// exists reports whether the job exists.
func (r LookupResult) exists() bool { return r.Open != nil || r.Final != nil }

// lookupWaiter is a caller of Lookup that waits for the result.
type lookupWaiter struct {
	done      func(LookupResult)
	expiresAt time.Duration
}

// lookups holds the lookups that have not started and limits those in progress.
type lookups struct {
	waiters  map[string][]*lookupWaiter // by job
	queue    []string                   // jobs with waiters, oldest first
	inFlight int                        // reads and confirmations in progress
	// nextConfirmationAt is the earliest time of the next confirmation: until then, lookups of
	// cached jobs wait, to be confirmed together.
	nextConfirmationAt time.Duration
}

const (
	// lookupTimeout is how long a lookup may wait in the queue before it fails.
	lookupTimeout = 1500 * time.Millisecond
	// maxLookupsInFlight limits the concurrent reads and confirmations.
	maxLookupsInFlight = 4
)

// Lookup finds the current record of a job. The result reflects the store's state at the time of
// the call or later.
func (f *FrontEnd) Lookup(job string, done func(LookupResult)) {
	if final, ended := f.cache.Final(job); ended {
		done(LookupResult{Final: &final})
		return
	}
	if f.mustShed(f.QueuedLookups()) {
		done(LookupResult{Failed: true})
		return
	}
	f.lookups.enqueue(job, nil)
	f.lookups.waiters[job] = append(f.lookups.waiters[job], &lookupWaiter{done: done, expiresAt: f.host.Now() + lookupTimeout})
	f.startLookups()
}

// QueuedLookups returns the number of jobs whose lookup has not started.
func (f *FrontEnd) QueuedLookups() int { return len(f.lookups.queue) }

// expireLookups fails the queued lookups that have timed out.
func (f *FrontEnd) expireLookups() {
	var remaining []string
	for _, job := range f.lookups.queue {
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
			remaining = append(remaining, job)
		} else {
			delete(f.lookups.waiters, job)
		}
	}
	f.lookups.queue = remaining
}

// startLookups confirms cached jobs, many in one transaction without writes, and reads the others.
// Confirmations are batched over a short interval: users poll continuously, and a transaction for
// each poll would use most of the CPU and of the store's request rate.
func (f *FrontEnd) startLookups() {
	confirm := f.host.Now() >= f.lookups.nextConfirmationAt
	for len(f.lookups.queue) > 0 && f.lookups.inFlight < maxLookupsInFlight {
		limit := 0
		if confirm {
			limit = f.store.MaxConditions()
		}
		cached, uncached := f.nextLookups(limit)
		if uncached == "" && len(cached) == 0 {
			return
		}
		if uncached != "" {
			f.readJob(uncached, f.lookups.dequeue(uncached))
		}
		if len(cached) > 0 {
			f.confirmCached(cached)
		}
	}
}

// nextLookups removes from the queue up to limit jobs that are cached, and one that is not. The
// latter is empty if there is none.
func (f *FrontEnd) nextLookups(limit int) (cached []string, uncached string) {
	var rest []string
	for _, job := range f.lookups.queue {
		isCached := f.cache.Open(job) != nil
		switch {
		case isCached && len(cached) < limit:
			cached = append(cached, job)
		case !isCached && uncached == "":
			uncached = job
		default:
			rest = append(rest, job)
		}
	}
	f.lookups.queue = rest
	return cached, uncached
}

// confirmCached checks in one transaction whether the open records of cached jobs are unchanged,
// and completes their lookups.
func (f *FrontEnd) confirmCached(jobs []string) {
	f.lookups.nextConfirmationAt = f.host.Now() + f.heartbeatInterval()/10
	f.lookups.inFlight++
	txn := &wire.Txn{}
	waiters := map[string][]*lookupWaiter{}
	for _, job := range jobs {
		txn.Conditions = append(txn.Conditions, unchangedOpen(job, f.cache.Open(job)))
		waiters[job] = f.lookups.dequeue(job)
	}
	f.store.Commit(txn, func(r kv.TxnResult) {
		f.lookups.inFlight--
		changed := map[string]bool{}
		if r.Status == kv.Conflict {
			changed = records.JobIDs(r.Conflicts)
		}
		for _, job := range jobs {
			f.handleConfirmation(job, waiters[job], r.Status, changed[job])
		}
		f.startLookups()
	})
}

// handleConfirmation completes the lookups of one cached job after the transaction that was to
// confirm it. If the record has changed, it is read; if there was no answer, the lookups are
// queued again.
func (f *FrontEnd) handleConfirmation(job string, waiters []*lookupWaiter, status kv.Status, changed bool) {
	switch {
	case status == kv.Unanswered:
		f.lookups.enqueue(job, waiters)
	case status != kv.OK && status != kv.Conflict:
		completeAll(waiters, LookupResult{Failed: true})
	case changed || f.cache.Open(job) == nil:
		f.cache.RemoveOpen(job)
		f.readJob(job, waiters)
	default:
		completeAll(waiters, LookupResult{Open: f.cache.Open(job)})
	}
}

// enqueue adds a job to the queue. Lookups that are queued again come before later lookups of the
// same job.
func (l *lookups) enqueue(job string, waiters []*lookupWaiter) {
	if len(l.waiters[job]) == 0 {
		l.queue = append(l.queue, job)
	}
	l.waiters[job] = append(waiters, l.waiters[job]...)
}

func (l *lookups) dequeue(job string) []*lookupWaiter {
	waiters := l.waiters[job]
	delete(l.waiters, job)
	return waiters
}

func completeAll(waiters []*lookupWaiter, result LookupResult) {
	for _, waiter := range waiters {
		waiter.done(result)
	}
}

// readJob reads the open record of a job, or the final one if there is no open one, and completes
// lookups of the job.
func (f *FrontEnd) readJob(job string, waiters []*lookupWaiter) {
	f.lookups.inFlight++
	done := func(result LookupResult) {
		f.lookups.inFlight--
		completeAll(waiters, result)
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

// decodeOpen decodes an open record. It returns nil if the item does not hold one.
func decodeOpen(item wire.Item) *jobcache.OpenJob {
	open := &jobcache.OpenJob{Version: item.Version}
	if json.Unmarshal(item.Value, &open.Record) != nil {
		return nil
	}
	return open
}
