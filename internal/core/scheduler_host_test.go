package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// busyTasksPerMachine is how many tasks each machine of a busy fleet runs in the benchmarks.
const busyTasksPerMachine = 29

// newBusyFleetLeader returns the leader of a fleet whose machines each run busyTasksPerMachine
// tasks and have capacity for three more.
func newBusyFleetLeader(tb testing.TB, machines int) *leader {
	tb.Helper()
	harness := newHarness(tb, testMachineTypes)
	harness.core.machineTypes = map[string]*wire.MachineType{"plain": {Name: "plain", CPUs: busyTasksPerMachine + 3, GPUs: 8, MemGB: 1000, PullGBPerS: 10, Price: 1, BootS: 10, Zones: []string{"a", "b", "c"}}}
	harness.core.settings.Deployment.Teams = []config.Team{{Name: "vision", CPUs: 1e6, GPUs: 1e6}}
	harness.core.now = time.Hour
	leader := newLeader(harness.core, testLeadership(5))
	leader.recordsLoaded = true
	for i := range machines {
		machine := leader.getOrAddMachine(fmt.Sprintf("n-%06d", i))
		leader.describe(machine, "", "plain", []string{"a", "b", "c"}[i%3], false)
		machine.FencingToken, machine.LastHeartbeat, machine.FirstHeartbeat, machine.Incarnation = 5, harness.core.now, 1, 1
		job := addJob(leader, wire.Job{ID: fmt.Sprintf("job-%06d", i), Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 1, MemGB: 1, Tasks: busyTasksPerMachine})
		for k := range job.TaskStates {
			leader.place(job, k, machine)
			job.TaskStates[k].State, job.TaskStates[k].Observed = wire.TaskRunning, true
		}
	}
	return leader
}

// addJob adds an open job without placed tasks.
func addJob(leader *leader, spec wire.Job) *cluster.Job {
	spec.Team, spec.Image = "vision", "img"
	job := cluster.NewJob(records.Open{Job: spec}, uint64(len(leader.JobsBySubmission)+1))
	job.Loaded = true
	leader.Jobs[job.ID] = job
	leader.JobsBySubmission = append(leader.JobsBySubmission, job)
	return job
}

// BenchmarkPass measures the base cost of a pass: a placement pass with its scale-out plan over a
// busy fleet without pending tasks.
func BenchmarkPass(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			leader := newBusyFleetLeader(b, machines)
			for b.Loop() {
				leader.runPlacementPass()
			}
		})
	}
}

// BenchmarkScaleOutPlan measures a scale-out plan with three pending tasks per machine, which is
// the free capacity of the fleet.
func BenchmarkScaleOutPlan(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			leader := newBusyFleetLeader(b, machines)
			for i := range machines / 100 {
				addJob(leader, wire.Job{ID: fmt.Sprintf("job-9%05d", i), Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, CPUs: 1, MemGB: 1, Tasks: 300})
			}
			cands, usage := leader.candidates(), leader.refreshUsage()
			for b.Loop() {
				p := newScaleOutPlan(leader)
				p.packPending(cands, usage)
			}
		})
	}
}

// idleMachine adds an idle machine in zone a that has sent a heartbeat with this term's fencing
// token.
func idleMachine(leader *leader, name, machineType string) *cluster.Machine {
	machine := leader.getOrAddMachine(name)
	leader.describe(machine, "", machineType, "a", false)
	machine.LastHeartbeat, machine.FencingToken, machine.Incarnation = leader.core.now, leader.leadership.FirstToken, 1
	return machine
}

// candidates returns the jobs with tasks to place.
func (l *leader) candidates() []*candidate { return l.scheduler.Candidates() }

// bindTasks places tasks on the machines at the same indices, as a placement pass does.
func (l *leader) bindTasks(job *cluster.Job, tasks []int, machines []*cluster.Machine) {
	for i, index := range tasks {
		machine, task := machines[i], &job.TaskStates[index]
		task.Attempt, task.Zone, task.Incarnation = job.NextAttempt, machine.Zone, machine.Incarnation
		task.PlacedThisTerm, task.PlacedAt = true, l.core.now
		job.NextAttempt++
		schedulerHost{l}.PlaceTask(job, index, machine)
		machine.BeginPull(job.Image, job.ImageGB, l.core.now)
	}
}

// markWithinQuota marks the jobs that are within quota, as every placement pass does.
func (l *leader) markWithinQuota() { l.scheduler.Candidates() }
