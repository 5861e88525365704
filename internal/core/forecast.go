package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// arrivals keeps the times of a class's latest submissions.
type arrivals struct {
	times []time.Duration // of each task, in order
	last  *job
	size  float64 // tasks of an array, averaged
}

// arrivalWindow is for how long a submission counts.
const arrivalWindow = 120 * time.Second

// maxArrival is how many tasks of one job count as arrivals: a huge job is one
// event, not the rate of those to come.
const maxArrival = 64

// sizeMemory is over how many arrays their size is averaged.
const sizeMemory = 8

// noteArrival counts a submission, by the time of its record: a new leader
// learns from the open jobs what was lately submitted.
func (l *leader) noteArrival(j *job) {
	a := l.arrivals[j.Class]
	if a == nil {
		a = &arrivals{}
		l.arrivals[j.Class] = a
	}
	n := 1
	if j.Shape != wire.ShapeArray {
		n = len(j.tasks)
	}
	at := l.c.now - time.Duration(max(0, l.c.wall-j.since))*time.Millisecond
	for range min(n, maxArrival) {
		a.times = append(a.times, at)
	}
	size := float64(min(len(j.tasks), maxArrival))
	if a.size == 0 {
		a.size = size
	}
	a.size += (size - a.size) / sizeMemory
	a.last = j
	for len(a.times) > 0 && l.c.now-a.times[0] > arrivalWindow {
		a.times = a.times[1:]
	}
}

// recent counts the tasks that arrived within the window before now.
func (a *arrivals) recent(now time.Duration) int {
	n := 0
	for _, at := range a.times {
		if now-at <= arrivalWindow {
			n++
		}
	}
	return n
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

// The objective's share bounds how sure a forecast is, see quantile.
const (
	minSureness = 0.5
	maxSureness = 0.99
)

// expectedTasks is how many tasks of a class may come while a machine boots and
// fetches the class's image, if a slow boot makes that longer than the class
// may wait. The share of the objective sets how sure it has to be that the
// room suffices; a class that has been seen is never without room.
func (l *leader) expectedTasks(a *arrivals, o config.Objective) int {
	lead, slowLead, ok := l.leadTime(a.last)
	if !ok || slowLead <= o.WithinS {
		return 0
	}
	mean := float64(a.recent(l.c.now)) / arrivalWindow.Seconds() * lead
	n := max(1, quantile(mean, min(max(o.Share, minSureness), maxSureness)))
	if o.Kind == objectiveGuarantee && a.last.Shape == wire.ShapeArray {
		n *= int(math.Round(a.size)) // begun with its last task
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

// quantile is the number that arrivals of a mean do not exceed with a
// probability, by the normal approximation of the Poisson distribution.
func quantile(mean, probability float64) int {
	return int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*probability-1)*math.Sqrt(mean)))
}
