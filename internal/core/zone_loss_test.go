package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// zoneLossLeader makes a leader of a fleet that has just lost a zone: a third of the tasks of
// every job has no machine. The machines left are full; a third of the jobs and an array
// are of the lowest priority, so that they may be preempted.
func zoneLossLeader(tb testing.TB, machines int) *leader {
	tb.Helper()
	leader := busyFleet(tb, machines)
	for i, j := range leader.JobsBySubmission {
		leader.writer.InitPlacementRecords(j)
		j.SpreadZones = i%2 == 0
		if i%3 == 2 {
			setPriority(j, 0)
		}
	}
	// The tasks of a job are placed anew, so that each job has some in every zone.
	for _, j := range leader.JobsBySubmission {
		for k := range j.TaskStates {
			leader.unplace(j, k)
		}
	}
	for i, j := range leader.JobsBySubmission {
		for k := range j.TaskStates {
			m := leader.MachinesByName[(i+k*131)%machines]
			leader.place(j, k, m)
			j.TaskStates[k].State, j.TaskStates[k].Observed, j.TaskStates[k].Zone = wire.TaskRunning, true, m.Zone
		}
	}
	for _, m := range leader.MachinesByName {
		if m.Zone != "b" {
			continue
		}
		for _, p := range m.Placements {
			leader.unplace(p.Job, p.Index)
		}
		leader.dropMachine(m)
	}
	leader.fleet.partitionedAt["b"] = leader.core.now
	fillMachines(leader)
	return leader
}

// fillMachines fills all machines with tasks of the lowest priority.
func fillMachines(l *leader) {
	j := addJob(l, wire.Job{ID: "job-888888", Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, CPUs: 1, MemGB: 1, Tasks: 3 * len(l.MachinesByName), CheckpointIntervalS: 30, CheckpointDurationS: 3})
	l.writer.InitPlacementRecords(j)
	for i := range j.TaskStates {
		l.place(j, i, l.MachinesByName[i/3])
		j.TaskStates[i].State, j.TaskStates[i].Observed, j.TaskStates[i].Persisted, j.TaskStates[i].StartSent = wire.TaskRunning, true, true, true
	}
}

// BenchmarkZoneLoss is the longest of the passes after the loss of a zone.
func BenchmarkZoneLoss(b *testing.B) {
	for _, machines := range []int{300, 1000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var longest time.Duration
			for b.Loop() {
				b.StopTimer()
				l := zoneLossLeader(b, machines)
				b.StartTimer()
				for range 20 {
					start := time.Now()
					l.runPlacementPass()
					longest = max(longest, time.Since(start))
					l.core.now += l.core.heartbeatInterval() / 5
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
		})
	}
}
