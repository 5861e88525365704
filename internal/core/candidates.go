package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// candidate is a job with tasks to place, and what orders it among the others.
type candidate struct {
	job                *cluster.Job
	withinQuota        bool
	slack              float64 // seconds until it has to start to meet its deadline
	remainingWork      float64 // seconds of a task's work; 0 where that does not count
	pending            []int   // tasks to place, by index
	reserved           int     // of them, those for which machines are reserved
	cannotProvision    bool    // the cloud has no machine for it now
	preemptionPriority int     // priority level below which it may preempt
	ownTeamOnly        bool    // it may preempt work of its own team only
	faulty             bool    // its tasks fail on every machine, see outliers.go
	bestEffort         bool    // its team has no guarantee, and it has not waited too long
}

// needsRoom reports whether there are tasks to place without a reserved machine.
func (c *candidate) needsRoom() bool { return len(c.pending) > c.reserved }

// urgency orders a candidate among the others.
func (c *candidate) urgency() placement.Urgency {
	return placement.Urgency{
		Faulty:        c.faulty,
		WithinQuota:   c.withinQuota,
		Priority:      c.job.Level,
		BestEffort:    c.bestEffort,
		Slack:         c.slack,
		RemainingWork: c.remainingWork,
		Submission:    c.job.SubmissionOrder,
	}
}

// candidates lists the jobs with tasks to place, the most urgent first, see placement.Urgency.
func (l *leader) candidates() []*candidate {
	l.markWithinQuota()
	var list []*candidate
	for _, job := range l.JobsBySubmission {
		pending := job.PendingTasks()
		if len(pending) == 0 {
			continue
		}
		list = append(list, l.candidatesOf(job, pending)...)
	}
	placement.Sort(list, (*candidate).urgency)
	return list
}

// candidatesOf makes the candidates of a job with tasks to place.
func (l *leader) candidatesOf(job *cluster.Job, pending []int) []*candidate {
	c := &candidate{
		job:                job,
		withinQuota:        job.WithinQuota,
		slack:              l.slack(job),
		remainingWork:      l.remainingWork(job, len(pending)),
		pending:            pending,
		preemptionPriority: l.preemptionPriority(job),
	}
	if l.outliers.JobFaulty(job.ID) {
		return l.faultyCandidate(c)
	}
	overdue := l.startOverdue(job)
	c.bestEffort = l.bestEffortTeams[job.Team] && (job.Shape == wire.ShapeArray || !overdue)
	if job.Shape != wire.ShapeArray || len(pending) == 1 || !overdue {
		return []*candidate{c}
	}
	// A job has started with its first task. Where more jobs wait than there is room for, all
	// tasks of one before the next kept every job of a class from starting for six minutes.
	first := &candidate{
		job:                job,
		withinQuota:        job.WithinQuota,
		slack:              c.slack,
		remainingWork:      c.remainingWork - 1,
		pending:            pending[:1:1],
		preemptionPriority: c.preemptionPriority,
	}
	c.pending = pending[1:]
	return []*candidate{first, c}
}

// faultyCandidate restricts the candidate of a job whose tasks fail on every machine; none if no
// task of it may be tried now.
func (l *leader) faultyCandidate(c *candidate) []*candidate {
	c.pending = l.throttleFaultyJob(c.job, c.pending)
	if len(c.pending) == 0 {
		return nil
	}
	c.faulty, c.withinQuota, c.preemptionPriority = true, false, 0
	return []*candidate{c}
}

// preemptionPriority is the priority level with which a job may preempt others. That inherited
// from a dependent counts once the dependent would be late without it.
func (l *leader) preemptionPriority(job *cluster.Job) int {
	if own := cluster.PriorityLevel[job.Priority]; job.Level > own && l.slack(job) > l.runEstimate(job) {
		return own
	}
	return job.Level
}

// noDeadline is the slack of a job without a deadline: behind all others.
const noDeadline = 1e9

// slack is how long a job can still wait to be done by its deadline, in seconds.
func (l *leader) slack(job *cluster.Job) float64 {
	if math.IsInf(job.Deadline, 1) {
		return noDeadline
	}
	return job.Deadline - float64(l.core.wallClockMS)/1000 - l.runEstimate(job)
}

// maxStartWait is half the time within which the protocol wants the largest jobs to start.
const maxStartWait = 120 * time.Second

// startOverdue reports whether a job has waited long without a task placed.
func (l *leader) startOverdue(job *cluster.Job) bool {
	return job.TasksDone+job.TasksPlaced == 0 && l.waitingTime(job) > maxStartWait
}

// remainingWork is what a job still has to run, in seconds of a task, if its class is to be
// finished within some time; else 0. Where not all can be done in time, the least work first gets
// the most jobs done; a job whose start is overdue goes first, so that large jobs start too.
func (l *leader) remainingWork(job *cluster.Job, pending int) float64 {
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind == objectiveFinished && o.Class == job.Class {
			if l.startOverdue(job) {
				return 0
			}
			return float64(pending) * l.runEstimate(job)
		}
	}
	return 0
}
