package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// A job that waits for others is known before it may start. Room for it is rented
// while the last jobs that it awaits run, so that it need not wait for a boot
// once they are done.

// packNextStages packs the jobs that wait for others and go on before a machine
// rented now would be up, within their teams' limits.
func (p *rentalPlan) packNextStages(usage map[string]topology.Resources) {
	for _, j := range p.l.order {
		if !p.l.goesOnSoon(j) {
			continue
		}
		tasks := j.unplacedTasks()
		if limit := p.l.c.op.WarmMachines; limit != nil {
			tasks = tasks[:min(len(tasks), *limit)]
		}
		p.packCandidate(&candidate{job: j, pending: tasks}, usage)
	}
}

// goesOnSoon tells whether a job that waits for others is expected to go on
// before a machine rented for it now would be up.
func (l *leader) goesOnSoon(j *job) bool {
	if !j.waits || !j.loaded || j.cancellation.Requested() {
		return false
	}
	lead, _, ok := l.leadTime(j)
	if !ok {
		return false
	}
	return !l.deps.AnyAwaited(j.ID, func(id string) bool {
		awaited := l.jobs[id]
		return awaited != nil && l.remainingRun(awaited) > lead
	})
}

// remainingRun is how long a job is expected to run on, in seconds; without end
// while it waits or some of its tasks have no machine.
func (l *leader) remainingRun(j *job) float64 {
	if j.waits || !j.loaded || j.placed+j.done < len(j.tasks) {
		return math.Inf(1)
	}
	run := l.runEstimate(j)
	longest := 0.0
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done {
			continue
		}
		left := run
		if t.upAt != 0 {
			left -= (l.c.now - t.upAt).Seconds()
		}
		longest = max(longest, left)
	}
	return longest
}
