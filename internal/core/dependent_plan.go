package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// A job that waits for others is known before it may start. Room for it is rented
// while the last jobs that it awaits run, so that it need not wait for a boot
// once they are done.

// packDependents packs the jobs that wait for others and go on before a machine
// rented now would be up, within their teams' limits.
func (p *scaleOutPlan) packDependents(usage map[string]topology.Resources) {
	for _, j := range p.leader.JobsBySubmission {
		if !p.leader.startsSoon(j) {
			continue
		}
		tasks := j.UnplacedTasks()
		if limit := p.leader.core.operatorSettings.WarmMachines; limit != nil {
			tasks = tasks[:min(len(tasks), *limit)]
		}
		p.packCandidate(&candidate{job: j, pending: tasks}, usage)
	}
}

// startsSoon tells whether a job that waits for others is expected to go on
// before a machine rented for it now would be up.
func (l *leader) startsSoon(job *cluster.Job) bool {
	if !job.Waiting || !job.Loaded || job.Cancellation.Requested() {
		return false
	}
	lead, _, ok := l.leadTime(job)
	if !ok {
		return false
	}
	return !l.dependencies.AnyAwaited(job.ID, func(id string) bool {
		awaited := l.Jobs[id]
		return awaited != nil && l.remainingRunTime(awaited) > lead
	})
}

// remainingRunTime is how long a job is expected to run on, in seconds; without end
// while it waits or some of its tasks have no machine.
func (l *leader) remainingRunTime(job *cluster.Job) float64 {
	if job.Waiting || !job.Loaded || job.TasksPlaced+job.TasksDone < len(job.TaskStates) {
		return math.Inf(1)
	}
	run := l.runEstimate(job)
	longest := 0.0
	for i := range job.TaskStates {
		t := &job.TaskStates[i]
		if t.Done {
			continue
		}
		left := run
		if t.RunningSince != 0 {
			left -= (l.core.now - t.RunningSince).Seconds()
		}
		longest = max(longest, left)
	}
	return longest
}
