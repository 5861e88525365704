package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// newZoneLossLeader returns the leader of a fleet that has just lost a zone: a third of the tasks
// of every job have no machine. The remaining machines are full. A third of the jobs and an array
// have the lowest priority, so that their tasks may be preempted.
func newZoneLossLeader(tb testing.TB, machines int) *leader {
	tb.Helper()
	leader := newBusyFleetLeader(tb, machines)
	for i, job := range leader.JobsBySubmission {
		leader.writer.InitPlacementRecords(job)
		job.SpreadZones = i%2 == 0
		if i%3 == 2 {
			setPriority(job, 0)
		}
	}
	// The tasks are placed again, so that each job has tasks in every zone.
	for _, job := range leader.JobsBySubmission {
		for k := range job.TaskStates {
			leader.unplace(job, k)
		}
	}
	for i, job := range leader.JobsBySubmission {
		for k := range job.TaskStates {
			machine := leader.MachinesByName[(i+k*131)%machines]
			leader.place(job, k, machine)
			job.TaskStates[k].State, job.TaskStates[k].Observed, job.TaskStates[k].Zone = wire.TaskRunning, true, machine.Zone
		}
	}
	for _, machine := range leader.MachinesByName {
		if machine.Zone != "b" {
			continue
		}
		for _, p := range machine.Placements {
			leader.unplace(p.Job, p.Index)
		}
		leader.dropMachine(machine)
	}
	leader.fleet.partitionedAt["b"] = leader.core.now
	fillMachines(leader)
	return leader
}

// fillMachines fills all machines with tasks of the lowest priority.
func fillMachines(leader *leader) {
	job := addJob(leader, wire.Job{ID: "job-888888", Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, CPUs: 1, MemGB: 1, Tasks: 3 * len(leader.MachinesByName), CheckpointIntervalS: 30, CheckpointDurationS: 3})
	leader.writer.InitPlacementRecords(job)
	for i := range job.TaskStates {
		leader.place(job, i, leader.MachinesByName[i/3])
		job.TaskStates[i].State, job.TaskStates[i].Observed, job.TaskStates[i].Persisted, job.TaskStates[i].StartSent = wire.TaskRunning, true, true, true
	}
}

// BenchmarkZoneLoss measures the longest placement pass after the loss of a zone.
func BenchmarkZoneLoss(b *testing.B) {
	for _, machines := range []int{300, 1000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			var longest time.Duration
			for b.Loop() {
				b.StopTimer()
				leader := newZoneLossLeader(b, machines)
				b.StartTimer()
				for range 20 {
					start := time.Now()
					leader.runPlacementPass()
					longest = max(longest, time.Since(start))
					leader.core.now += leader.core.heartbeatInterval() / 5
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest")
		})
	}
}
