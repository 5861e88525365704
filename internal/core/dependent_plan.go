package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// A job that waits for dependencies is known before it may start. Machines for it are provisioned
// while its last dependencies run, so that it need not wait for a boot once they are done.

// packDependents packs the jobs that wait for dependencies and are ready before a machine that is
// provisioned now would be up, within their teams' limits.
func (p *scaleOutPlan) packDependents(usage map[string]topology.Resources) {
	for _, job := range p.leader.JobsBySubmission {
		if !p.leader.startsSoon(job) {
			continue
		}
		tasks := job.UnplacedTasks()
		if limit := p.leader.core.operatorSettings.WarmMachines; limit != nil {
			tasks = tasks[:min(len(tasks), *limit)]
		}
		p.packCandidate(&candidate{Job: job, Pending: tasks}, usage)
	}
}

// startsSoon reports whether a job that waits for dependencies is expected to be ready before a
// machine that is provisioned for it now would be up.
func (l *leader) startsSoon(job *cluster.Job) bool {
	if !job.AwaitingDependencies || !job.Loaded || job.Cancellation.Requested() {
		return false
	}
	lead, _, ok := l.leadTime(job)
	if !ok {
		return false
	}
	return !l.dependencies.AnyDependency(job.ID, func(id string) bool {
		dependency := l.Jobs[id]
		return dependency != nil && l.remainingRunTime(dependency) > lead
	})
}

// remainingRunTime is how long a job is expected to run on, in seconds; infinite while it waits or
// some of its tasks have no machine.
func (l *leader) remainingRunTime(job *cluster.Job) float64 {
	if job.AwaitingDependencies || !job.Loaded || job.TasksPlaced+job.TasksDone < len(job.TaskStates) {
		return math.Inf(1)
	}
	estimate := l.runEstimate(job)
	longest := 0.0
	for i := range job.TaskStates {
		task := &job.TaskStates[i]
		if task.Done {
			continue
		}
		remaining := estimate
		if task.RunningSince != 0 {
			remaining -= (l.core.now - task.RunningSince).Seconds()
		}
		longest = max(longest, remaining)
	}
	return longest
}
