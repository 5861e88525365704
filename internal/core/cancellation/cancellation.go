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

// Waits are the cancellations that are on record while their users are not told.
type Waits struct {
	patience time.Duration
	memory   time.Duration
	jobs     map[string]*wait
}

// wait is the cancellation of one job.
type wait struct {
	version    uint64        // of the open record with the request
	asked      time.Duration // when a user last asked
	requests   []waiting
	confirming bool
}

// waiting is a request and until when it waits.
type waiting struct {
	id    RequestID
	until time.Duration
}

// New makes an empty set. A request waits for patience before its user is to be asked to
// come back; a cancellation about which nobody asks is forgotten after memory.
func New(patience, memory time.Duration) *Waits {
	return &Waits{patience: patience, memory: memory, jobs: map[string]*wait{}}
}

// Add has a request wait for the end of a job whose open record of that version holds the
// request to cancel it.
func (w *Waits) Add(job string, version uint64, id RequestID, now time.Duration) {
	x := w.jobs[job]
	if x == nil {
		x = &wait{}
		w.jobs[job] = x
	}
	x.version, x.asked = max(x.version, version), now
	x.requests = append(x.requests, waiting{id, now + w.patience})
}

// Dismiss returns the requests about a job, which wait no longer: their users are to come
// back. There are none while a confirmation is under way.
func (w *Waits) Dismiss(job string) []RequestID {
	x := w.jobs[job]
	if x == nil || x.confirming {
		return nil
	}
	ids := x.ids()
	x.requests = nil
	return ids
}

// End forgets a job whose end is on record, and returns the requests that wait for it.
func (w *Waits) End(job string) []RequestID {
	x := w.jobs[job]
	if x == nil {
		return nil
	}
	delete(w.jobs, job)
	return x.ids()
}

// Wanted tells whether somebody waits for a job whose end is not being confirmed yet.
func (w *Waits) Wanted(job string) bool {
	x := w.jobs[job]
	return x != nil && !x.confirming && len(x.requests) > 0
}

// Version is that of the open record with the request to cancel a job; 0 for a job that
// nobody has asked about.
func (w *Waits) Version(job string) uint64 {
	if x := w.jobs[job]; x != nil {
		return x.version
	}
	return 0
}

// Confirmation is the record of a job's users being told, while it is being written.
type Confirmation struct {
	job  string
	wait *wait
}

// Confirm begins a confirmation for a job that is wanted. Its requests wait for the outcome.
func (w *Waits) Confirm(job string) *Confirmation {
	x := w.jobs[job]
	x.confirming = true
	return &Confirmation{job, x}
}

// Settle ends a confirmation. If it succeeded, the job is forgotten and the requests that
// are to be told so are returned, else those whose users are to come back. There are none
// if the job's end came on record meanwhile.
func (w *Waits) Settle(c *Confirmation, succeeded bool) []RequestID {
	c.wait.confirming = false
	if w.jobs[c.job] != c.wait {
		return nil
	}
	if succeeded {
		return w.End(c.job)
	}
	return w.Dismiss(c.job)
}

// Expire returns the requests whose wait is over, by job, and forgets the cancellations
// about which nobody has asked for long.
func (w *Waits) Expire(now time.Duration) []RequestID {
	var expired []RequestID
	for _, job := range w.Jobs() {
		x := w.jobs[job]
		for len(x.requests) > 0 && now >= x.requests[0].until && !x.confirming {
			expired = append(expired, x.requests[0].id)
			x.requests = x.requests[1:]
		}
		if len(x.requests) == 0 && now-x.asked > w.memory {
			delete(w.jobs, job)
		}
	}
	return expired
}

// Jobs lists the jobs whose cancellation is remembered, by name.
func (w *Waits) Jobs() []string {
	jobs := make([]string, 0, len(w.jobs))
	for job := range w.jobs {
		jobs = append(jobs, job)
	}
	sort.Strings(jobs)
	return jobs
}

// ids lists the requests in the order in which they came.
func (x *wait) ids() []RequestID {
	ids := make([]RequestID, 0, len(x.requests))
	for _, r := range x.requests {
		ids = append(ids, r.id)
	}
	return slices.Clip(ids)
}
