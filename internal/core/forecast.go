package core

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// arrivals keeps the times of a class's latest submissions.
type arrivals struct {
	at   []time.Duration
	last *job
}

const arrivalWindow = 120 * time.Second

// maxArrival is how many tasks of one job count as arrivals: a huge job is one
// event, not the rate of those to come.
const maxArrival = 64

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
		a.at = append(a.at, at)
	}
	a.last = j
	for len(a.at) > 0 && l.c.now-a.at[0] > arrivalWindow {
		a.at = a.at[1:]
	}
}

// expectedTasks is how many tasks of a class may come while a machine boots and
// fetches the class's image, if a slow boot makes that longer than the class
// may wait. The share of the objective sets how sure it has to be that the
// room suffices; a class that has been seen is never without room.
func (l *leader) expectedTasks(a *arrivals, o config.Objective) int {
	lead, slow := math.Inf(1), math.Inf(1)
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		if !allowed(a.last.Types, name) || !capacity(t).Holds(size(&a.last.Job)) {
			continue
		}
		fetch := 0.0
		if t.FetchGBPS > 0 {
			fetch = a.last.ImageGB / t.FetchGBPS
		}
		lead = min(lead, t.BootS+fetch)
		slow = min(slow, bootSlow*t.BootS+fetch)
	}
	if math.IsInf(lead, 1) || slow <= o.WithinS {
		return 0
	}
	n := 0
	for _, at := range a.at {
		if l.c.now-at <= arrivalWindow {
			n++
		}
	}
	mean := float64(n) / arrivalWindow.Seconds() * lead
	sure := min(max(o.Share, 0.5), 0.99)
	k := int(math.Ceil(mean + math.Sqrt2*math.Erfinv(2*sure-1)*math.Sqrt(mean)))
	k = max(k, 1)
	if w := l.c.op.WarmMachines; w != nil {
		k = min(k, *w)
	}
	return k
}
