// Package cancellation has the two halves of a cancellation.
//
// Registry keeps the requests of users who wait for the acknowledgement of a cancellation, from the
// moment at which the request is on record until the job's tasks are known to have terminated. The
// front end owns one. It answers nobody itself: it returns the requests that are to be answered.
// Progress is how far the cancellation of one job has come for the leader, which keeps one with
// each job of package cluster.
//
// The package does no I/O and keeps no time.
package cancellation

import (
	"maps"
	"slices"
	"time"
)

// RequestID names a request that waits for its answer.
type RequestID uint64

// Registry holds the cancellations that are on record and not acknowledged.
type Registry struct {
	requestTimeout time.Duration
	retention      time.Duration
	pending        map[string]*pendingCancellation // by job
}

// pendingCancellation is the cancellation of one job.
type pendingCancellation struct {
	version         uint64        // of the open record with the request
	lastRequestedAt time.Duration // by any user
	waiters         []waiter      // oldest first
	confirming      bool          // a Confirmation is under way
}

// waiter is a request that waits.
type waiter struct {
	id        RequestID
	expiresAt time.Duration
}

// New makes an empty registry. A request waits for requestTimeout before its user is to be
// asked to retry; a cancellation that nobody requests again is forgotten after retention.
func New(requestTimeout, retention time.Duration) *Registry {
	return &Registry{requestTimeout: requestTimeout, retention: retention, pending: map[string]*pendingCancellation{}}
}

// Add lets a request wait for the end of a job whose open record of that version has the request
// to cancel it.
func (r *Registry) Add(job string, version uint64, id RequestID, now time.Duration) {
	pending := r.pending[job]
	if pending == nil {
		pending = &pendingCancellation{}
		r.pending[job] = pending
	}
	pending.version, pending.lastRequestedAt = max(pending.version, version), now
	pending.waiters = append(pending.waiters, waiter{id: id, expiresAt: now + r.requestTimeout})
}

// Dismiss removes and returns the requests about a job, whose users are to retry. There are none
// while a confirmation is under way.
func (r *Registry) Dismiss(job string) []RequestID {
	pending := r.pending[job]
	if pending == nil || pending.confirming {
		return nil
	}
	ids := pending.requestIDs()
	pending.waiters = nil
	return ids
}

// End forgets a job whose end is on record, and returns the requests that wait for it.
func (r *Registry) End(job string) []RequestID {
	pending := r.pending[job]
	if pending == nil {
		return nil
	}
	delete(r.pending, job)
	return pending.requestIDs()
}

// NeedsConfirmation reports whether a request waits for a job whose end is not being confirmed
// yet.
func (r *Registry) NeedsConfirmation(job string) bool {
	pending := r.pending[job]
	return pending != nil && !pending.confirming && len(pending.waiters) > 0
}

// Version is that of the open record with the request to cancel a job; 0 for a job
// whose cancellation nobody waits for.
func (r *Registry) Version(job string) uint64 {
	if pending := r.pending[job]; pending != nil {
		return pending.version
	}
	return 0
}

// A Confirmation is under way while an acknowledgement is being recorded.
type Confirmation struct {
	job     string
	pending *pendingCancellation
}

// Confirm begins a confirmation for a job that needs one. Its requests wait for the outcome.
func (r *Registry) Confirm(job string) *Confirmation {
	pending := r.pending[job]
	pending.confirming = true
	return &Confirmation{job: job, pending: pending}
}

// Confirmed ends a confirmation that succeeded: it forgets the job and returns the requests that
// are to be acknowledged. There are none if the job's end was recorded meanwhile.
func (r *Registry) Confirmed(confirmation *Confirmation) []RequestID {
	if !r.finish(confirmation) {
		return nil
	}
	return r.End(confirmation.job)
}

// NotConfirmed ends a confirmation that failed: it removes and returns the requests, whose users
// are to retry. There are none if the job's end was recorded meanwhile.
func (r *Registry) NotConfirmed(confirmation *Confirmation) []RequestID {
	if !r.finish(confirmation) {
		return nil
	}
	return r.Dismiss(confirmation.job)
}

// finish ends a confirmation, and reports whether the cancellation is still the one that it is
// about.
func (r *Registry) finish(confirmation *Confirmation) bool {
	confirmation.pending.confirming = false
	return r.pending[confirmation.job] == confirmation.pending
}

// Expire removes and returns the requests that have waited too long, by job, and forgets the
// cancellations that nobody has requested for long.
func (r *Registry) Expire(now time.Duration) []RequestID {
	var expired []RequestID
	for _, job := range r.Jobs() {
		pending := r.pending[job]
		expired = append(expired, pending.expire(now)...)
		if len(pending.waiters) == 0 && now-pending.lastRequestedAt > r.retention {
			delete(r.pending, job)
		}
	}
	return expired
}

// Jobs lists the jobs whose cancellation is remembered, by ID.
func (r *Registry) Jobs() []string { return slices.Sorted(maps.Keys(r.pending)) }

// expire removes and returns the requests that have waited too long; none while a confirmation
// is under way.
func (p *pendingCancellation) expire(now time.Duration) []RequestID {
	var expired []RequestID
	for len(p.waiters) > 0 && now >= p.waiters[0].expiresAt && !p.confirming {
		expired = append(expired, p.waiters[0].id)
		p.waiters = p.waiters[1:]
	}
	return expired
}

// requestIDs lists the requests, oldest first.
func (p *pendingCancellation) requestIDs() []RequestID {
	ids := make([]RequestID, 0, len(p.waiters))
	for _, w := range p.waiters {
		ids = append(ids, w.id)
	}
	return ids
}
