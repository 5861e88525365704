package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// checkpointGrace is the time that a preempted job gets to save a checkpoint, in seconds. A stop
// without it loses half an interval between checkpoints on average; with it, victim and successor
// both wait for the save.
func checkpointGrace(job *cluster.Job) float64 {
	if job.CheckpointIntervalS == 0 || job.CheckpointIntervalS/2 <= 2*job.CheckpointDurationS {
		return 0
	}
	return job.CheckpointDurationS
}

// preemptionGrace is the time, in seconds, that a victim on a machine gets to save a checkpoint
// when it is preempted for a job: none if that alone makes the job start too late. Beside victims
// that save for three seconds, nothing that was to start within five ever did.
func (s *Scheduler) preemptionGrace(job *cluster.Job, machine *cluster.Machine, victim *cluster.Job) float64 {
	grace := checkpointGrace(victim)
	if grace == 0 {
		return 0
	}
	left := s.maxWait(job) - s.WaitingTime(job).Seconds()
	pull := s.pullTime(job, machine)
	if pull < left && grace+pull*slowestPullFactor+s.heartbeatInterval().Seconds() > left {
		return 0
	}
	return grace
}

// preemptionLoss is what the stop of a task loses, in seconds of its work.
func (s *Scheduler) preemptionLoss(job *cluster.Job, task *cluster.Task) float64 {
	if job.CheckpointIntervalS == 0 {
		if task.RunningSince == 0 {
			return 0
		}
		return (s.host.Now() - task.RunningSince).Seconds()
	}
	if checkpointGrace(job) == 0 {
		return job.CheckpointIntervalS / 2
	}
	return job.CheckpointDurationS
}

// victimCost weighs a stop: the work that is lost, by the share of a machine of that capacity
// which it uses, by its priority level, and by how often it was preempted before: otherwise the
// same cheap victim is stopped again and again.
func (s *Scheduler) victimCost(job *cluster.Job, task *cluster.Task, capacity topology.Resources) float64 {
	share := 0.0
	if capacity.GPUs > 0 {
		share = job.GPUs / capacity.GPUs
	}
	if capacity.CPUs > 0 {
		share = max(share, job.CPUs/capacity.CPUs)
	}
	stopped := 1
	if job.Shape == wire.ShapeGang {
		stopped = len(job.TaskStates) // it stops as a whole
	}
	weight := float64(1 + job.Level)
	return (s.preemptionLoss(job, task) + 1) * share * float64(stopped) * weight * weight * float64(1+job.GangPreemptions)
}
