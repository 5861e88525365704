package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// Kinds of the deployment's objectives.
const (
	objectiveWait      = "wait"
	objectiveGuarantee = "guarantee"
	objectiveFinished  = "finished"
)

// candidate is a job with tasks to place, and what orders it.
type candidate struct {
	job            *job
	guaranteed     bool
	slack          float64
	work           float64
	pending        []int
	reserved       int  // tasks for which room is being made
	noOffer        bool // no machine can be rented for it just now
	preemptionRank int  // the rank by which it may stop other work
	ownTeamOnly    bool // it may stop work of its own team only
	faulty         bool // it fails on every machine, see failures.go
	guest          bool // its team has no guarantee, and it has not waited too long
}

// pendingTasks lists the tasks that may be placed now. A gang is placed as a
// whole, once nothing of its last attempt is left.
func (j *job) pendingTasks() []int {
	if !j.loaded || j.waits || j.cancellation.Requested() || j.endPending || j.ended || j.stale || j.done == len(j.tasks) {
		return nil
	}
	if j.placed == len(j.tasks) || j.Shape == wire.ShapeGang && j.placed > 0 {
		return nil
	}
	return j.unplacedTasks()
}

// unplacedTasks lists the tasks that are not done and count on no machine.
func (j *job) unplacedTasks() []int {
	var out []int
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine == nil && !t.done {
			out = append(out, i)
		}
	}
	return out
}

// candidates lists the jobs with work to place: within a guarantee first, then by
// priority, those of teams with a guarantee first, deadline slack and submission.
func (l *leader) candidates() []*candidate {
	l.guarantee()
	var out []*candidate
	for _, j := range l.order {
		p := j.pendingTasks()
		if len(p) == 0 {
			continue
		}
		c := &candidate{job: j, guaranteed: j.within, slack: l.slack(j), work: l.work(j, len(p)), pending: p, preemptionRank: l.preemptionRank(j)}
		if l.faults.JobFaulty(j.ID) {
			if c.pending = l.tryFaulty(j, p); len(c.pending) > 0 {
				c.faulty, c.guaranteed, c.preemptionRank = true, false, 0
				out = append(out, c)
			}
			continue
		}
		c.guest = l.guests[j.Team] && (j.Shape == wire.ShapeArray || !l.mustBegin(j))
		if j.Shape == wire.ShapeArray && len(p) > 1 && l.mustBegin(j) {
			// One task makes a job begin. Where more jobs wait than there is
			// room for, all tasks of one ahead of the next kept every job of
			// a class from beginning for six minutes.
			out = append(out, &candidate{job: j, guaranteed: j.within, slack: c.slack, work: c.work - 1, pending: p[:1:1], preemptionRank: c.preemptionRank})
			c.pending = p[1:]
		}
		out = append(out, c)
	}
	placement.Sort(out, (*candidate).urgency)
	return out
}

// urgency orders a candidate among the others.
func (c *candidate) urgency() placement.Urgency {
	return placement.Urgency{Faulty: c.faulty, Guaranteed: c.guaranteed, Rank: c.job.rank, Guest: c.guest, Slack: c.slack, Work: c.work, Submitted: c.job.order}
}

// preemptionRank is the rank by which a job may stop other work. That of a dependent
// counts once the chain would be late without it.
func (l *leader) preemptionRank(j *job) int {
	if own := priorityRank[j.Priority]; j.rank > own && l.slack(j) > l.runEstimate(j) {
		return own
	}
	return j.rank
}

// noDeadline is the slack of a job without a deadline: behind all others.
const noDeadline = 1e9

// slack is how long a job can still wait, in seconds.
func (l *leader) slack(j *job) float64 {
	if math.IsInf(j.due, 1) {
		return noDeadline
	}
	return j.due - float64(l.c.wall)/1000 - l.runEstimate(j)
}

// beginWithin is half the time within which the protocol has the largest jobs
// begin.
const beginWithin = 120 * time.Second

// mustBegin tells whether a job has waited long without a beginning.
func (l *leader) mustBegin(j *job) bool {
	return j.done+j.placed == 0 && l.waited(j) > beginWithin
}

// work is what a job of a class that is to be finished within a time still has
// to run, in seconds of a task. When not all can be done in time, the least
// work first gets the most jobs done; one that has waited long without a
// beginning goes ahead, so that large jobs begin too.
func (l *leader) work(j *job, pending int) float64 {
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind == objectiveFinished && o.Class == j.Class {
			if l.mustBegin(j) {
				return 0
			}
			return float64(pending) * l.runEstimate(j)
		}
	}
	return 0
}
