package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// checkpointGrace returns the grace period in which a preempted job can save a checkpoint, in
// seconds. A stop without a save loses half a checkpoint interval on average; with a save, both the
// victim and the preempting job wait for it. So there is no grace period if two saves take at least
// half an interval.
func checkpointGrace(job *cluster.Job) float64 {
	if job.CheckpointIntervalS == 0 || job.CheckpointIntervalS/2 <= 2*job.CheckpointDurationS {
		return 0
	}
	return job.CheckpointDurationS
}

// preemptionGrace returns the grace period, in seconds, of a victim on a machine that is preempted
// for a job. It is 0 if the job would start in time without the grace period but not with it: when
// victims were given three seconds to save, no job that had to start within five seconds ever did.
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

// lostWork returns the work that is lost if a task is stopped, in seconds.
func (s *Scheduler) lostWork(job *cluster.Job, task *cluster.Task) float64 {
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

// victimCost returns the cost of stopping a task, or its gang: the lost work, multiplied by the
// share of the machine's capacity that the task uses, by the number of tasks that stop, by a weight
// for the priority level and by a factor that grows with how often the gang was preempted before.
// Without this factor the same cheap gang would be preempted again and again.
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
		stopped = len(job.TaskStates) // a gang is stopped as a whole
	}
	weight := float64(1 + job.Level)
	return (s.lostWork(job, task) + 1) * share * float64(stopped) * weight * weight * float64(1+job.GangPreemptions)
}
