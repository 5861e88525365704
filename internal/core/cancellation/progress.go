package cancellation

import "time"

// Progress is how far the cancellation of one job has come, as the leader sees it. Times are of
// the leader's steady clock.
type Progress struct {
	requested      bool
	requestedAt    time.Duration
	acknowledged   bool // or may have been
	acknowledgedAt time.Duration
	terminatedAt   time.Duration // no task is left since then; 0 while there are some
	announced      bool          // the other controllers know that none is left
}

// Request records that the job's user asked to cancel it.
func (p *Progress) Request(at time.Duration) { p.requested, p.requestedAt = true, at }

// Requested reports whether the job is to be cancelled.
func (p *Progress) Requested() bool { return p.requested }

// Acknowledge records that the cancellation may have been acknowledged to the user at a time. A
// later call changes nothing: each of several successive leaders would restart the clock, and
// the task would run on for longer than promised.
func (p *Progress) Acknowledge(at time.Duration) {
	if !p.acknowledged {
		p.acknowledged, p.acknowledgedAt = true, at
	}
}

// Acknowledged reports whether the cancellation may have been acknowledged to the user.
func (p *Progress) Acknowledged() bool { return p.acknowledged }

// UpdateTasks records whether tasks are left.
func (p *Progress) UpdateTasks(left bool, now time.Duration) {
	switch {
	case left:
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

// Announce reports whether the other controllers have yet to be told that no task is left, and
// records that they are told now.
func (p *Progress) Announce() bool {
	first := !p.announced
	p.announced = true
	return first
}

// Overdue reports whether a task whose termination is not confirmed has to be terminated with its
// machine. Where it was acknowledged early, as controllers of earlier versions do, what is left
// of the grace period has to suffice for a failover and for the cloud's answer. Otherwise
// nothing was promised, and a machine that runs other work is given the time to come back while
// the user still retries, less the time that the cloud's answer takes.
func (p *Progress) Overdue(now, gracePeriod, userRetryPeriod time.Duration) bool {
	return p.acknowledged && now-p.acknowledgedAt > gracePeriod*3/5 ||
		p.requested && now-p.requestedAt > userRetryPeriod*4/5
}
