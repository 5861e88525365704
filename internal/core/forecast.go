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
	lastJob *cluster.Job
}

// recordArrival counts a submission, by the time of its record: a new leader
// learns from the open jobs what was lately submitted.
func (l *leader) recordArrival(j *cluster.Job) {
	a := l.arrivalsByClass[j.Class]
	if a == nil {
		a = &classArrivals{}
		l.arrivalsByClass[j.Class] = a
	}
	begins := 1
	if j.Shape != wire.ShapeArray {
		begins = len(j.TaskStates)
	}
	at := l.core.now - time.Duration(max(0, l.core.wallClockMS-j.WaitingSinceMS))*time.Millisecond
	a.Record(at, l.core.now, len(j.TaskStates), begins)
	a.lastJob = j
}

// forecastObjectives lists what is to be ready for work to come: the waits of classes, and
// for other classes the wait of work within a guarantee, if that is what comes.
func (l *leader) forecastObjectives() []config.Objective {
	var waits, others []config.Objective
	named := map[string]bool{}
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind == objectiveWait {
			named[o.Class] = true
			waits = append(waits, o)
		}
	}
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind != objectiveGuarantee {
			continue
		}
		for _, class := range sortedKeys(l.arrivalsByClass) {
			if j := l.arrivalsByClass[class].lastJob; !named[class] && j != nil && j.WithinQuota && l.core.anyGuaranteeFor(&j.Job) {
				o.Class = class
				others = append(others, o)
			}
		}
	}
	return append(waits, others...)
}

// expectedTasks is how many tasks of a class may come while a machine boots and
// fetches the class's image, if a slow boot makes that longer than the class
// may wait. The share of the objective sets how sure it has to be that the
// room suffices; a class that has been seen is never without room.
func (l *leader) expectedTasks(arrivals *classArrivals, objective config.Objective) int {
	lead, slowLead, ok := l.leadTime(arrivals.lastJob)
	if !ok || slowLead <= objective.WithinS {
		return 0
	}
	tasks := arrivals.Expected(l.core.now, lead, objective.Share)
	if objective.Kind == objectiveGuarantee && arrivals.lastJob.Shape == wire.ShapeArray {
		tasks *= int(math.Round(arrivals.JobSize())) // begun with its last task
	}
	if limit := l.core.operatorSettings.WarmMachines; limit != nil {
		tasks = min(tasks, *limit)
	}
	return tasks
}

// leadTime is how long a machine for a job takes to boot and to fetch the job's
// image, at its type's usual boot time and at a slow one, in seconds; not ok if
// no type of machine may run the job.
func (l *leader) leadTime(j *cluster.Job) (usual, slow float64, ok bool) {
	usual, slow = math.Inf(1), math.Inf(1)
	for _, t := range l.core.machineTypes {
		if !emptyOrContains(j.MachineTypes, t.Name) || !cluster.TypeCapacity(t).Holds(cluster.TaskSize(&j.Job)) {
			continue
		}
		fetch := 0.0
		if t.PullGBPerS > 0 {
			fetch = j.ImageGB / t.PullGBPerS
		}
		usual = min(usual, t.BootS+fetch)
		slow = min(slow, slowBootFactor*t.BootS+fetch)
		ok = true
	}
	return usual, slow, ok
}
