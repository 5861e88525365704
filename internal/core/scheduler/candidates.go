package scheduler

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// Candidate is a job with tasks to place, and what orders it among the others.
type Candidate struct {
	Job                *cluster.Job
	WithinQuota        bool
	Pending            []int // tasks to place, by index
	Reserved           int   // of them, those for which machines are reserved
	PreemptionPriority int   // priority level below which it may preempt
	Faulty             bool  // its tasks fail on every machine
	BestEffort         bool  // its team has no guarantee, and it has not waited too long

	slack           float64 // seconds until it has to start to meet its deadline
	remainingWork   float64 // seconds of a task's work; 0 where that does not count
	cannotProvision bool    // the cloud has no machine for it now
	ownTeamOnly     bool    // it may preempt work of its own team only
}

// needsRoom reports whether there are tasks to place without a reserved machine.
func (c *Candidate) needsRoom() bool { return len(c.Pending) > c.Reserved }

// urgency orders a candidate among the others.
func (c *Candidate) urgency() placement.Urgency {
	return placement.Urgency{
		Faulty:        c.Faulty,
		WithinQuota:   c.WithinQuota,
		Priority:      c.Job.Level,
		BestEffort:    c.BestEffort,
		Slack:         c.slack,
		RemainingWork: c.remainingWork,
		Submission:    c.Job.SubmissionOrder,
	}
}

// Candidates lists the jobs with tasks to place, the most urgent first, see placement.Urgency.
func (s *Scheduler) Candidates() []*Candidate {
	s.markWithinQuota()
	var list []*Candidate
	for _, job := range s.state.JobsBySubmission {
		pending := job.PendingTasks()
		if len(pending) == 0 {
			continue
		}
		list = append(list, s.candidatesOf(job, pending)...)
	}
	placement.Sort(list, (*Candidate).urgency)
	return list
}

// candidatesOf makes the candidates of a job with tasks to place.
func (s *Scheduler) candidatesOf(job *cluster.Job, pending []int) []*Candidate {
	candidate := &Candidate{
		Job:                job,
		WithinQuota:        job.WithinQuota,
		slack:              s.slack(job),
		remainingWork:      s.remainingWork(job, len(pending)),
		Pending:            pending,
		PreemptionPriority: s.preemptionPriority(job),
	}
	if s.outliers.JobFaulty(job.ID) {
		return s.faultyCandidate(candidate)
	}
	overdue := s.startOverdue(job)
	candidate.BestEffort = s.bestEffortTeams[job.Team] && (job.Shape == wire.ShapeArray || !overdue)
	if job.Shape != wire.ShapeArray || len(pending) == 1 || !overdue {
		return []*Candidate{candidate}
	}
	// A job has started with its first task. Where more jobs wait than there is room for, all
	// tasks of one before the next kept every job of a class from starting for six minutes.
	first := &Candidate{
		Job:                job,
		WithinQuota:        job.WithinQuota,
		slack:              candidate.slack,
		remainingWork:      candidate.remainingWork - 1,
		Pending:            pending[:1:1],
		PreemptionPriority: candidate.PreemptionPriority,
	}
	candidate.Pending = pending[1:]
	return []*Candidate{first, candidate}
}

// faultyCandidate restricts the candidate of a job whose tasks fail on every machine; none if no
// task of it may be tried now.
func (s *Scheduler) faultyCandidate(candidate *Candidate) []*Candidate {
	candidate.Pending = s.host.ThrottleFaultyJob(candidate.Job, candidate.Pending)
	if len(candidate.Pending) == 0 {
		return nil
	}
	candidate.Faulty, candidate.WithinQuota, candidate.PreemptionPriority = true, false, 0
	return []*Candidate{candidate}
}

// preemptionPriority is the priority level with which a job may preempt others. That inherited
// from a dependent counts once the dependent would be late without it.
func (s *Scheduler) preemptionPriority(job *cluster.Job) int {
	if own := cluster.PriorityLevel[job.Priority]; job.Level > own && s.slack(job) > s.host.RunEstimate(job) {
		return own
	}
	return job.Level
}

// noDeadline is the slack of a job without a deadline: behind all others.
const noDeadline = 1e9

// slack is how long a job can still wait to be done by its deadline, in seconds.
func (s *Scheduler) slack(job *cluster.Job) float64 {
	if math.IsInf(job.Deadline, 1) {
		return noDeadline
	}
	return job.Deadline - float64(s.host.WallClockMS())/1000 - s.host.RunEstimate(job)
}

// maxStartWait is half the time within which the protocol wants the largest jobs to start.
const maxStartWait = 120 * time.Second

// startOverdue reports whether a job has waited long without a task placed.
func (s *Scheduler) startOverdue(job *cluster.Job) bool {
	return job.TasksDone+job.TasksPlaced == 0 && s.WaitingTime(job) > maxStartWait
}

// remainingWork is what a job still has to run, in seconds of a task, if its class is to be
// finished within some time; else 0. Where not all can be done in time, the least work first gets
// the most jobs done; a job whose start is overdue goes first, so that large jobs start too.
func (s *Scheduler) remainingWork(job *cluster.Job, pending int) float64 {
	for _, o := range s.deployment.Objectives {
		if o.Kind == ObjectiveFinished && o.Class == job.Class {
			if s.startOverdue(job) {
				return 0
			}
			return float64(pending) * s.host.RunEstimate(job)
		}
	}
	return 0
}
