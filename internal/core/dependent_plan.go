package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// A job that waits for dependencies is known before it may start. Its machines are provisioned
// while its last dependencies run, so that they have booted once the dependencies are done.

// packDependents packs, within their teams' limits, the jobs that wait for dependencies but are
// expected to be ready before a machine provisioned now would be.
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

// startsSoon reports whether a job waits for dependencies that are expected to be done before a
// machine provisioned now would be ready for the job.
func (l *leader) startsSoon(job *cluster.Job) bool {
	if !job.AwaitingDependencies || !job.Loaded || job.Cancellation.Requested() {
		return false
	}
	leadS, _, ok := l.leadTime(job)
	if !ok {
		return false
	}
	return !l.dependencies.AnyDependency(job.ID, func(id string) bool {
		dependency := l.Jobs[id]
		return dependency != nil && l.remainingRunTime(dependency) > leadS
	})
}

// remainingRunTime returns how much longer a job is expected to run, in seconds. It is infinite
// while the job waits for dependencies or some of its tasks have no machine.
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
