package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	job                *cluster.Job
	withinQuota        bool
	slack              float64
	remainingWork      float64
	pending            []int
	reserved           int  // tasks for which room is being made
	cannotRent         bool // no machine can be rented for it just now
	preemptionPriority int  // the rank by which it may stop other work
	ownTeamOnly        bool // it may stop work of its own team only
	faulty             bool // it fails on every machine, see failures.go
	bestEffort         bool // its team has no guarantee, and it has not waited too long
}

// candidates lists the jobs with work to place: within a guarantee first, then by
// priority, those of teams with a guarantee first, deadline slack and submission.
func (l *leader) candidates() []*candidate {
	l.markWithinQuota()
	var out []*candidate
	for _, job := range l.JobsBySubmission {
		pending := job.PendingTasks()
		if len(pending) == 0 {
			continue
		}
		c := &candidate{job: job, withinQuota: job.WithinQuota, slack: l.slack(job), remainingWork: l.remainingWork(job, len(pending)), pending: pending, preemptionPriority: l.preemptionPriority(job)}
		if l.outliers.JobFaulty(job.ID) {
			if c.pending = l.throttleFaultyJob(job, pending); len(c.pending) > 0 {
				c.faulty, c.withinQuota, c.preemptionPriority = true, false, 0
				out = append(out, c)
			}
			continue
		}
		c.bestEffort = l.bestEffortTeams[job.Team] && (job.Shape == wire.ShapeArray || !l.startOverdue(job))
		if job.Shape == wire.ShapeArray && len(pending) > 1 && l.startOverdue(job) {
			// One task makes a job begin. Where more jobs wait than there is
			// room for, all tasks of one ahead of the next kept every job of
			// a class from beginning for six minutes.
			out = append(out, &candidate{job: job, withinQuota: job.WithinQuota, slack: c.slack, remainingWork: c.remainingWork - 1, pending: pending[:1:1], preemptionPriority: c.preemptionPriority})
			c.pending = pending[1:]
		}
		out = append(out, c)
	}
	placement.Sort(out, (*candidate).urgency)
	return out
}

// urgency orders a candidate among the others.
func (c *candidate) urgency() placement.Urgency {
	return placement.Urgency{Faulty: c.faulty, WithinQuota: c.withinQuota, Priority: c.job.Level, BestEffort: c.bestEffort, Slack: c.slack, RemainingWork: c.remainingWork, Submission: c.job.SubmissionOrder}
}

// preemptionPriority is the rank by which a job may stop other work. That of a dependent
// counts once the chain would be late without it.
func (l *leader) preemptionPriority(j *cluster.Job) int {
	if own := cluster.PriorityLevel[j.Priority]; j.Level > own && l.slack(j) > l.runEstimate(j) {
		return own
	}
	return j.Level
}

// noDeadline is the slack of a job without a deadline: behind all others.
const noDeadline = 1e9

// slack is how long a job can still wait, in seconds.
func (l *leader) slack(j *cluster.Job) float64 {
	if math.IsInf(j.Deadline, 1) {
		return noDeadline
	}
	return j.Deadline - float64(l.core.wallClockMS)/1000 - l.runEstimate(j)
}

// maxStartWait is half the time within which the protocol has the largest jobs
// begin.
const maxStartWait = 120 * time.Second

// startOverdue tells whether a job has waited long without a beginning.
func (l *leader) startOverdue(j *cluster.Job) bool {
	return j.TasksDone+j.TasksPlaced == 0 && l.waitingTime(j) > maxStartWait
}

// remainingWork is what a job of a class that is to be finished within a time still has
// to run, in seconds of a task. When not all can be done in time, the least
// work first gets the most jobs done; one that has waited long without a
// beginning goes ahead, so that large jobs begin too.
func (l *leader) remainingWork(j *cluster.Job, pending int) float64 {
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind == objectiveFinished && o.Class == j.Class {
			if l.startOverdue(j) {
				return 0
			}
			return float64(pending) * l.runEstimate(j)
		}
	}
	return 0
}
