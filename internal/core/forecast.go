package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/wire"
)

// classArrivals records the submissions of a class.
type classArrivals struct {
	forecast.Arrivals
	lastJob *cluster.Job // submitted last
}

// recordArrival records the arrival of a job. It uses the start of the job's waiting time, which is
// in the job's record, so that a new leader knows the recent arrivals from the open jobs.
func (l *leader) recordArrival(job *cluster.Job) {
	arrivals := l.arrivalsByClass[job.Class]
	if arrivals == nil {
		arrivals = &classArrivals{}
		l.arrivalsByClass[job.Class] = arrivals
	}
	arrivalCount := 1
	if job.Shape != wire.ShapeArray {
		arrivalCount = len(job.TaskStates)
	}
	age := time.Duration(max(0, l.core.wallClockMS-job.WaitingSinceMS)) * time.Millisecond
	arrivals.Record(l.core.now-age, l.core.now, len(job.TaskStates), arrivalCount)
	arrivals.lastJob = job
}

// forecastObjectives returns the objectives for which machines are provisioned in advance: the
// waiting-time objectives of classes and, for each class without one whose last job was guaranteed,
// the waiting-time objective of guaranteed jobs.
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

// isGuaranteed reports whether a job is within its team's quota and some team has a guarantee of a
// resource that the job uses. The job may be nil.
func (l *leader) isGuaranteed(job *cluster.Job) bool {
	return job != nil && job.WithinQuota && l.core.anyGuaranteeFor(&job.Job)
}

// expectedTasks returns the number of future tasks of a class to provision for: as many as
// may be submitted while a machine boots and pulls the class's image. The objective's share is the
// probability that the number suffices. It is 0 if no machine type can run the class's last job or
// if even a slow boot and the pull finish within the objective's waiting time; otherwise it is at
// least 1, unless the operators' limit is 0.
func (l *leader) expectedTasks(arrivals *classArrivals, objective config.Objective) int {
	leadS, slowLeadS, ok := l.leadTime(arrivals.lastJob)
	if !ok || slowLeadS <= objective.WithinS {
		return 0
	}
	tasks := arrivals.Expected(l.core.now, leadS, objective.Share)
	if objective.Kind == objectiveGuarantee && arrivals.lastJob.Shape == wire.ShapeArray {
		// The objective measures an array's wait until its last task starts.
		tasks *= int(math.Round(arrivals.AverageJobSize()))
	}
	if limit := l.core.operatorSettings.WarmMachines; limit != nil {
		tasks = min(tasks, *limit)
	}
	return tasks
}

// leadTime returns how long a machine of the fastest type for a job takes to boot and to pull the
// job's image, in seconds: with the usual boot time and with a slow one. ok is false if no machine
// type can run the job.
func (l *leader) leadTime(job *cluster.Job) (usualS, slowS float64, ok bool) {
	usualS, slowS = math.Inf(1), math.Inf(1)
	for _, machineType := range l.core.machineTypes { // map order has no effect: only the minimum counts
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
