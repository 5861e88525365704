// Package cancellation keeps the requests of users who wait to be told that their job is
// cancelled, from the moment at which the request is on record until the job's tasks are
// known to be gone. It answers nobody itself: it says which requests are to be answered.
// The package does no I/O and keeps no time.
package cancellation

import (
	"slices"
	"sort"
	"time"
)

// RequestID names a request that waits for its answer.
type RequestID uint64

// Registry are the cancellations that are on record while their users are not told.
type Registry struct {
	requestTimeout time.Duration
	retention      time.Duration
	pending        map[string]*pendingCancellation
}

// pendingCancellation is the cancellation of one job.
type pendingCancellation struct {
	version         uint64        // of the open record with the request
	lastRequestedAt time.Duration // when a user last asked
	waiters         []waiter
	confirming      bool
}

// waiter is a request and until when it waits.
type waiter struct {
	id        RequestID
	expiresAt time.Duration
}

// New makes an empty set. A request waits for patience before its user is to be asked to
// come back; a cancellation about which nobody asks is forgotten after memory.
func New(requestTimeout, retention time.Duration) *Registry {
	return &Registry{requestTimeout: requestTimeout, retention: retention, pending: map[string]*pendingCancellation{}}
}

// Add has a request wait for the end of a job whose open record of that version holds the
// request to cancel it.
func (w *Registry) Add(job string, version uint64, id RequestID, now time.Duration) {
	x := w.pending[job]
	if x == nil {
		x = &pendingCancellation{}
		w.pending[job] = x
	}
	x.version, x.lastRequestedAt = max(x.version, version), now
	x.waiters = append(x.waiters, waiter{id, now + w.requestTimeout})
}

// Dismiss returns the requests about a job, which wait no longer: their users are to come
// back. There are none while a confirmation is under way.
func (w *Registry) Dismiss(job string) []RequestID {
	x := w.pending[job]
	if x == nil || x.confirming {
		return nil
	}
	ids := x.requestIDs()
	x.waiters = nil
	return ids
}

// End forgets a job whose end is on record, and returns the requests that wait for it.
func (w *Registry) End(job string) []RequestID {
	x := w.pending[job]
	if x == nil {
		return nil
	}
	delete(w.pending, job)
	return x.requestIDs()
}

// NeedsConfirmation tells whether somebody waits for a job whose end is not being confirmed yet.
func (w *Registry) NeedsConfirmation(job string) bool {
	x := w.pending[job]
	return x != nil && !x.confirming && len(x.waiters) > 0
}

// Version is that of the open record with the request to cancel a job; 0 for a job that
// nobody has asked about.
func (w *Registry) Version(job string) uint64 {
	if x := w.pending[job]; x != nil {
		return x.version
	}
	return 0
}

// Confirmation is the record of a job's users being told, while it is being written.
type Confirmation struct {
	job     string
	pending *pendingCancellation
}

// Confirm begins a confirmation for a job that is wanted. Its requests wait for the outcome.
func (w *Registry) Confirm(job string) *Confirmation {
	x := w.pending[job]
	x.confirming = true
	return &Confirmation{job, x}
}

// Settle ends a confirmation. If it succeeded, the job is forgotten and the requests that
// are to be told so are returned, else those whose users are to come back. There are none
// if the job's end came on record meanwhile.
func (w *Registry) Settle(c *Confirmation, succeeded bool) []RequestID {
	c.pending.confirming = false
	if w.pending[c.job] != c.pending {
		return nil
	}
	if succeeded {
		return w.End(c.job)
	}
	return w.Dismiss(c.job)
}

// Expire returns the requests whose wait is over, by job, and forgets the cancellations
// about which nobody has asked for long.
func (w *Registry) Expire(now time.Duration) []RequestID {
	var expired []RequestID
	for _, job := range w.Jobs() {
		x := w.pending[job]
		for len(x.waiters) > 0 && now >= x.waiters[0].expiresAt && !x.confirming {
			expired = append(expired, x.waiters[0].id)
			x.waiters = x.waiters[1:]
		}
		if len(x.waiters) == 0 && now-x.lastRequestedAt > w.retention {
			delete(w.pending, job)
		}
	}
	return expired
}

// Jobs lists the jobs whose cancellation is remembered, by name.
func (w *Registry) Jobs() []string {
	jobs := make([]string, 0, len(w.pending))
	for job := range w.pending {
		jobs = append(jobs, job)
	}
	sort.Strings(jobs)
	return jobs
}

// requestIDs lists the requests in the order in which they came.
func (x *pendingCancellation) requestIDs() []RequestID {
	ids := make([]RequestID, 0, len(x.waiters))
	for _, r := range x.waiters {
		ids = append(ids, r.id)
	}
	return slices.Clip(ids)
}
