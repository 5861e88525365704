package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// lostZone makes a leader of a fleet that has just lost a zone: a third of the tasks of
// every job has no machine. The machines left are full; a third of the jobs and an array
// are of the lowest priority and make way.
func lostZone(t testing.TB, machines int) *leader {
	l := busyFleet(t, machines)
	for i, j := range l.order {
		l.layOut(j)
		j.Spread = i%2 == 0
		if i%3 == 2 {
			l.setRank(j, 0)
		}
	}
	// The tasks of a job change places, so that each job has some in every zone.
	for _, j := range l.order {
		for k := range j.tasks {
			l.release(j, k)
		}
	}
	for i, j := range l.order {
		for k := range j.tasks {
			m := l.byName[(i+k*131)%machines]
			l.bind(j, k, m)
			j.tasks[k].state, j.tasks[k].seen, j.tasks[k].zone = wire.TaskRunning, true, m.zone
		}
	}
	for _, m := range l.byName {
		if m.zone != "b" {
			continue
		}
		for _, p := range m.placed {
			l.release(p.job, p.index)
		}
		l.dropMachine(m)
	}
	l.fleet.cutAt["b"] = l.c.now
	fillUp(l)
	return l
}

// fillUp has tasks of the lowest priority take the room that is left on all machines.
func fillUp(l *leader) {
	j := addJob(l, wire.Job{ID: "job-888888", Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, CPUs: 1, MemGB: 1, Tasks: 3 * len(l.byName), CheckpointS: 30, SaveS: 3})
	l.layOut(j)
	for i := range j.tasks {
		l.bind(j, i, l.byName[i/3])
		j.tasks[i].state, j.tasks[i].seen, j.tasks[i].recorded, j.tasks[i].copied = wire.TaskRunning, true, true, true
	}
}

// BenchmarkZoneLoss is the longest of the passes after the loss of a zone.
func BenchmarkZoneLoss(b *testing.B) {
	for _, machines := range []int{300, 1000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var longest time.Duration
			for b.Loop() {
				b.StopTimer()
				l := lostZone(b, machines)
				b.StartTimer()
				for range 20 {
					start := time.Now()
					l.place()
					longest = max(longest, time.Since(start))
					l.c.now += l.c.report() / 5
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
		})
	}
}
