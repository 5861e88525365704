package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/wire"
)

// classArrivals is what the leader keeps of a class's submissions.
type classArrivals struct {
	forecast.Arrivals
	last *job
}

// noteArrival counts a submission, by the time of its record: a new leader
// learns from the open jobs what was lately submitted.
func (l *leader) noteArrival(j *job) {
	a := l.arrivals[j.Class]
	if a == nil {
		a = &classArrivals{}
		l.arrivals[j.Class] = a
	}
	begins := 1
	if j.Shape != wire.ShapeArray {
		begins = len(j.tasks)
	}
	at := l.c.now - time.Duration(max(0, l.c.wall-j.since))*time.Millisecond
	a.Note(at, l.c.now, len(j.tasks), begins)
	a.last = j
}

// foreseen lists what is to be ready for work to come: the waits of classes, and
// for other classes the wait of work within a guarantee, if that is what comes.
func (l *leader) foreseen() []config.Objective {
	var waits, others []config.Objective
	named := map[string]bool{}
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind == objectiveWait {
			named[o.Class] = true
			waits = append(waits, o)
		}
	}
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind != objectiveGuarantee {
			continue
		}
		for _, class := range sortedKeys(l.arrivals) {
			if j := l.arrivals[class].last; !named[class] && j != nil && j.within && l.c.guarantees(&j.Job) {
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
func (l *leader) expectedTasks(a *classArrivals, o config.Objective) int {
	lead, slowLead, ok := l.leadTime(a.last)
	if !ok || slowLead <= o.WithinS {
		return 0
	}
	n := a.Expected(l.c.now, lead, o.Share)
	if o.Kind == objectiveGuarantee && a.last.Shape == wire.ShapeArray {
		n *= int(math.Round(a.JobSize())) // begun with its last task
	}
	if limit := l.c.op.WarmMachines; limit != nil {
		n = min(n, *limit)
	}
	return n
}

// leadTime is how long a machine for a job takes to boot and to fetch the job's
// image, at its type's usual boot time and at a slow one, in seconds; not ok if
// no type of machine may run the job.
func (l *leader) leadTime(j *job) (usual, slow float64, ok bool) {
	usual, slow = math.Inf(1), math.Inf(1)
	for _, t := range l.c.types {
		if !allowed(j.Types, t.Name) || !capacity(t).Holds(size(&j.Job)) {
			continue
		}
		fetch := 0.0
		if t.FetchGBPS > 0 {
			fetch = j.ImageGB / t.FetchGBPS
		}
		usual = min(usual, t.BootS+fetch)
		slow = min(slow, bootSlow*t.BootS+fetch)
		ok = true
	}
	return usual, slow, ok
}
