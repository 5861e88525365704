package cancellation

import "time"

// Progress tracks the cancellation of one job on the leader. Times are of the leader's monotonic
// clock.
type Progress struct {
	requested      bool
	requestedAt    time.Duration
	acknowledged   bool // or may have been
	acknowledgedAt time.Duration
	terminatedAt   time.Duration // since when no task has been left; 0 while any is left
	announced      bool          // the other controllers have been told that no task is left
}

// Request records that the cancellation was requested, and when.
func (p *Progress) Request(at time.Duration) { p.requested, p.requestedAt = true, at }

// Requested reports whether the cancellation of the job was requested.
func (p *Progress) Requested() bool { return p.requested }

// Acknowledge records that the cancellation may have been acknowledged to the user at a time.
// Later calls have no effect: otherwise each of several successive leaders would restart the grace
// period, and tasks could run for longer than cancel_s.
func (p *Progress) Acknowledge(at time.Duration) {
	if !p.acknowledged {
		p.acknowledged, p.acknowledgedAt = true, at
	}
}

// Acknowledged reports whether the cancellation may have been acknowledged to the user.
func (p *Progress) Acknowledged() bool { return p.acknowledged }

// UpdateTasks records whether any task is left. The time of termination is set when the last task
// has terminated, and cleared when another task is found.
func (p *Progress) UpdateTasks(tasksLeft bool, now time.Duration) {
	switch {
	case tasksLeft:
		p.terminatedAt = 0
	case p.terminatedAt == 0:
		p.terminatedAt = now
	}
}

// TerminatedFor reports whether no task has been left for longer than a duration.
func (p *Progress) TerminatedFor(d, now time.Duration) bool {
	return p.terminatedAt != 0 && now-p.terminatedAt > d
}

// Terminated reports whether no task is left.
func (p *Progress) Terminated() bool { return p.terminatedAt != 0 }

// AnnounceOnce reports whether the other controllers have not been told yet that no task is left,
// and records that they are told now: it returns true once.
func (p *Progress) AnnounceOnce() bool {
	first := !p.announced
	p.announced = true
	return first
}

// Overdue reports whether a task whose termination is not confirmed has to be terminated together
// with its machine.
//
// If the cancellation was acknowledged before the tasks terminated, as controllers of earlier
// versions do, the rest of the grace period must suffice for a failover and for the cloud's answer.
// Otherwise nothing was guaranteed to the user. The machine may run other work, so it gets time to
// become reachable again for as long as the user retries, less the time for the cloud's answer.
func (p *Progress) Overdue(now, gracePeriod, userRetryPeriod time.Duration) bool {
	return p.acknowledged && now-p.acknowledgedAt > gracePeriod*3/5 ||
		p.requested && now-p.requestedAt > userRetryPeriod*4/5
}
