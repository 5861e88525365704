package scheduler

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/placement"
	"github.com/brookwalk/brookwalk/wire"
)

// Candidate is a job with tasks to place, and its urgency among the candidates of a pass.
type Candidate struct {
	Job                *cluster.Job
	WithinQuota        bool
	Pending            []int // tasks to place, by index
	ReservedTasks      int   // number of pending tasks for which machines are reserved
	PreemptionPriority int   // priority level below which it may preempt
	Faulty             bool  // its tasks fail on every machine
	BestEffort         bool  // its team has no guarantee, and it has not waited too long

	slack           float64 // seconds until it has to start to meet its deadline
	remainingWork   float64 // task-seconds left to run; 0 if they do not affect the order
	cannotProvision bool    // the cloud has no machine for it now
	ownTeamOnly     bool    // it may preempt tasks of its own team only
}

// hasUnreservedTasks reports whether there are pending tasks without a reserved machine.
func (c *Candidate) hasUnreservedTasks() bool { return len(c.Pending) > c.ReservedTasks }

// urgency returns the sort key of a candidate.
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

// candidatesOf returns the candidates of a job with pending tasks: usually one, none if a faulty
// job has to wait, and two for an array whose start is overdue.
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
	// A job counts as started with its first task, so the first task of an overdue array is a
	// candidate of its own. When more jobs waited than fit, placing all tasks of one job before
	// the next kept every job of a class from starting for six minutes.
	first := &Candidate{
		Job:                job,
		WithinQuota:        job.WithinQuota,
		slack:              candidate.slack,
		remainingWork:      candidate.remainingWork - 1, // sorted before the job's other tasks
		Pending:            pending[:1:1],
		PreemptionPriority: candidate.PreemptionPriority,
	}
	candidate.Pending = pending[1:]
	return []*Candidate{first, candidate}
}

// faultyCandidate restricts the candidate of a job whose tasks fail on every machine. It returns
// none if no task of the job may be tried now.
func (s *Scheduler) faultyCandidate(candidate *Candidate) []*Candidate {
	candidate.Pending = s.host.ThrottleFaultyJob(candidate.Job, candidate.Pending)
	if len(candidate.Pending) == 0 {
		return nil
	}
	candidate.Faulty, candidate.WithinQuota, candidate.PreemptionPriority = true, false, 0
	return []*Candidate{candidate}
}

// preemptionPriority returns the priority level below which a job may preempt others. A level
// inherited from a dependent counts only once the job's slack is no longer than its estimated run
// time, when the dependent is at risk of being late.
func (s *Scheduler) preemptionPriority(job *cluster.Job) int {
	if own := cluster.PriorityLevel[job.Priority]; job.Level > own && s.slack(job) > s.host.RunEstimate(job) {
		return own
	}
	return job.Level
}

// slackWithoutDeadlineS is the slack of a job without a deadline, which sorts it after all others.
const slackWithoutDeadlineS = 1e9

// slack returns how long a job can still wait and finish by its deadline, in seconds.
func (s *Scheduler) slack(job *cluster.Job) float64 {
	if math.IsInf(job.Deadline, 1) {
		return slackWithoutDeadlineS
	}
	return job.Deadline - float64(s.host.WallClockMS())/1000 - s.host.RunEstimate(job)
}

// maxStartWait is half the time within which the protocol requires the largest jobs to start.
const maxStartWait = 120 * time.Second

// startOverdue reports whether a job has waited longer than maxStartWait with no task placed or
// done.
func (s *Scheduler) startOverdue(job *cluster.Job) bool {
	return job.TasksDone+job.TasksPlaced == 0 && s.WaitingTime(job) > maxStartWait
}

// remainingWork returns the task-seconds that a job still has to run if its class has a
// "finished" objective; otherwise 0. If not all jobs can be done in time, placing those with the
// least work first finishes the most jobs. A job whose start is overdue gets 0 and so goes first, so
// that large jobs start too.
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
