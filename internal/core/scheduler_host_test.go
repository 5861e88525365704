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

// tasksOfMachine is how many tasks each machine of a busy fleet runs, in these benchmarks.
const tasksOfMachine = 29

// busyFleet makes a leader of a fleet whose machines hold three more tasks each.
func busyFleet(tb testing.TB, machines int) *leader {
	tb.Helper()
	harness := newHarness(tb, testMachineTypes)
	harness.core.machineTypes = map[string]*wire.MachineType{"plain": {Name: "plain", CPUs: tasksOfMachine + 3, GPUs: 8, MemGB: 1000, PullGBPerS: 10, Price: 1, BootS: 10, Zones: []string{"a", "b", "c"}}}
	harness.core.settings.Deployment.Teams = []config.Team{{Name: "vision", CPUs: 1e6, GPUs: 1e6}}
	harness.core.now = time.Hour
	leader := newLeader(harness.core, testLeadership(5))
	leader.recordsLoaded = true
	for i := range machines {
		m := leader.machineNamed(fmt.Sprintf("n-%06d", i))
		leader.describe(m, "", "plain", []string{"a", "b", "c"}[i%3], false)
		m.FencingToken, m.LastHeartbeat, m.FirstHeartbeat, m.Incarnation = 5, harness.core.now, 1, 1
		j := addJob(leader, wire.Job{ID: fmt.Sprintf("job-%06d", i), Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 1, MemGB: 1, Tasks: tasksOfMachine})
		for k := range j.TaskStates {
			leader.place(j, k, m)
			j.TaskStates[k].State, j.TaskStates[k].Observed = wire.TaskRunning, true
		}
	}
	return leader
}

// addJob adds a job with tasks to place.
func addJob(l *leader, spec wire.Job) *cluster.Job {
	spec.Team, spec.Image = "vision", "img"
	j := cluster.NewJob(records.Open{Job: spec}, uint64(len(l.JobsBySubmission)+1))
	j.Loaded = true
	l.Jobs[j.ID] = j
	l.JobsBySubmission = append(l.JobsBySubmission, j)
	return j
}

// BenchmarkPass is a placement pass with its scale-out plan over a busy fleet in which nothing
// waits: what every pass costs.
func BenchmarkPass(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			l := busyFleet(b, machines)
			for b.Loop() {
				l.runPlacementPass()
			}
		})
	}
}

// BenchmarkRentalPlan plans for as many tasks that wait as the fleet has room for.
func BenchmarkRentalPlan(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			l := busyFleet(b, machines)
			for i := range machines / 100 {
				addJob(l, wire.Job{ID: fmt.Sprintf("job-9%05d", i), Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, CPUs: 1, MemGB: 1, Tasks: 300})
			}
			cands, usage := l.candidates(), l.refreshUsage()
			for b.Loop() {
				p := newScaleOutPlan(l)
				p.packPending(cands, usage)
			}
		})
	}
}

// idleMachine adds a machine of zone a that sends heartbeats and has heard of the term.
func idleMachine(l *leader, name, machineType string) *cluster.Machine {
	m := l.machineNamed(name)
	l.describe(m, "", machineType, "a", false)
	m.LastHeartbeat, m.FencingToken, m.Incarnation = l.core.now, l.leadership.Term, 1
	return m
}

// candidates lists the jobs with tasks to place.
func (l *leader) candidates() []*candidate { return l.scheduler.Candidates() }

// bindTasks places tasks on machines, given in their order, as a pass of the scheduler does.
func (l *leader) bindTasks(job *cluster.Job, tasks []int, machines []*cluster.Machine) {
	for i, index := range tasks {
		m, task := machines[i], &job.TaskStates[index]
		task.Attempt, task.Zone, task.Incarnation = job.NextAttempt, m.Zone, m.Incarnation
		task.PlacedThisTerm, task.PlacedAt = true, l.core.now
		job.NextAttempt++
		schedulerHost{l}.PlaceTask(job, index, m)
		m.BeginPull(job.Image, job.ImageGB, l.core.now)
	}
}

// markWithinQuota marks the jobs that are within quota, as every pass does.
func (l *leader) markWithinQuota() { l.scheduler.Candidates() }
