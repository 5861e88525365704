package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/wire"
)

// classArrivals is what the leader keeps of a class's submissions.
type classArrivals struct {
	forecast.Arrivals
	lastJob *cluster.Job // the newest one
}

// recordArrival counts a submission, by the time of its record: a new leader learns from the open
// jobs what was submitted lately.
func (l *leader) recordArrival(job *cluster.Job) {
	arrivals := l.arrivalsByClass[job.Class]
	if arrivals == nil {
		arrivals = &classArrivals{}
		l.arrivalsByClass[job.Class] = arrivals
	}
	starts := 1
	if job.Shape != wire.ShapeArray {
		starts = len(job.TaskStates)
	}
	age := time.Duration(max(0, l.core.wallClockMS-job.WaitingSinceMS)) * time.Millisecond
	arrivals.Record(l.core.now-age, l.core.now, len(job.TaskStates), starts)
	arrivals.lastJob = job
}

// forecastObjectives lists the objectives that future tasks are provisioned for: the waiting times
// of classes and, for the classes without one whose last job was within its team's quota, the
// waiting time of guaranteed work.
func (l *leader) forecastObjectives() []config.Objective {
	var waits, guarantees []config.Objective
	hasWait := map[string]bool{} // by class
	for _, objective := range l.core.settings.Deployment.Objectives {
		if objective.Kind == objectiveWait {
			hasWait[objective.Class] = true
			waits = append(waits, objective)
		}
	}
	for _, objective := range l.core.settings.Deployment.Objectives {
		if objective.Kind != objectiveGuarantee {
			continue
		}
		for _, class := range sortedKeys(l.arrivalsByClass) {
			if !hasWait[class] && l.isGuaranteed(l.arrivalsByClass[class].lastJob) {
				objective.Class = class
				guarantees = append(guarantees, objective)
			}
		}
	}
	return append(waits, guarantees...)
}

// isGuaranteed reports whether a job is within the quota of a team that has a guarantee of what the
// job uses. The job may be nil.
func (l *leader) isGuaranteed(job *cluster.Job) bool {
	return job != nil && job.WithinQuota && l.core.anyGuaranteeFor(&job.Job)
}

// expectedTasks is how many tasks of a class to provision for: as many as may be submitted while a
// machine boots and pulls the class's image, if on a slow boot that takes longer than the class may
// wait. The share of the objective sets the probability that they suffice; a class that has been
// seen always has capacity for a task.
func (l *leader) expectedTasks(arrivals *classArrivals, objective config.Objective) int {
	leadS, slowLeadS, ok := l.leadTime(arrivals.lastJob)
	if !ok || slowLeadS <= objective.WithinS {
		return 0
	}
	tasks := arrivals.Expected(l.core.now, leadS, objective.Share)
	if objective.Kind == objectiveGuarantee && arrivals.lastJob.Shape == wire.ShapeArray {
		// The objective counts an array's wait up to the start of its last task.
		tasks *= int(math.Round(arrivals.AverageJobSize()))
	}
	if limit := l.core.operatorSettings.WarmMachines; limit != nil {
		tasks = min(tasks, *limit)
	}
	return tasks
}

// leadTime is how long a machine for a job takes to boot and to pull the job's image, at its type's
// usual boot time and at a slow one, in seconds; not ok if no machine type may run the job.
func (l *leader) leadTime(job *cluster.Job) (usualS, slowS float64, ok bool) {
	usualS, slowS = math.Inf(1), math.Inf(1)
	for _, machineType := range l.core.machineTypes { // in any order: only the least counts
		if !emptyOrContains(job.MachineTypes, machineType.Name) || !cluster.TypeCapacity(machineType).Holds(cluster.TaskSize(&job.Job)) {
			continue
		}
		pullS := 0.0
		if machineType.PullGBPerS > 0 {
			pullS = job.ImageGB / machineType.PullGBPerS
		}
		usualS = min(usualS, machineType.BootS+pullS)
		slowS = min(slowS, slowBootFactor*machineType.BootS+pullS)
		ok = true
	}
	return usualS, slowS, ok
}
