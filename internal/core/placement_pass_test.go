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

// tasksOfMachine is how many tasks each machine of a busy fleet runs, in these
// benchmarks.
const tasksOfMachine = 29

// busyFleet makes a leader of a fleet whose machines have room for three more tasks
// each.
func busyFleet(b testing.TB, machines int) *leader {
	harness := newHarness(b, testMachineTypes)
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

// makeAllIdle makes all work of the fleet that of the lowest priority.
func makeAllIdle(l *leader) {
	l.passes.machines = l.MachinesByName
	for _, j := range l.JobsBySubmission {
		j.Level = 0
		m := j.TaskStates[0].Machine
		m.UsedByLevel[0], m.UsedByLevel[3] = m.UsedByLevel[3], m.UsedByLevel[0]
	}
}

// addJob adds a job that waits.
func addJob(l *leader, spec wire.Job) *cluster.Job {
	spec.Team, spec.Image = "vision", "img"
	j := cluster.NewJob(records.Open{Job: spec}, uint64(len(l.JobsBySubmission)+1))
	j.Loaded = true
	l.Jobs[j.ID] = j
	l.JobsBySubmission = append(l.JobsBySubmission, j)
	return j
}

// TestPassCostCountsTasks makes room for a job on a fleet full of work of a lower priority.
// What a pass costs there grows with the tasks that may be stopped: counted by machines
// alone, passes after the loss of a zone took more than a second of a leader's time.
func TestPassCostCountsTasks(t *testing.T) {
	const machines = 50
	l := busyFleet(t, machines)
	makeAllIdle(l)
	j := addJob(l, wire.Job{ID: "job-999999", Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 20, MemGB: 1, Tasks: 1})
	before := l.passes.evaluations
	l.findSlots(&candidate{job: j, pending: []int{0}, preemptionPriority: j.Level}, 1, "", anyPullTime)
	if got := l.passes.evaluations - before; got < machines*tasksOfMachine {
		t.Errorf("%d evaluations for %d tasks", got, machines*tasksOfMachine)
	}
}

// BenchmarkPass is a placement pass with its rental plan over a busy fleet in which
// nothing waits: what every pass costs.
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

// BenchmarkGang places a gang of 512 tasks in one zone of a busy fleet.
func BenchmarkGang(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			l := busyFleet(b, machines)
			j := addJob(l, wire.Job{ID: "job-999999", Class: "train", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, CPUs: 1, GPUs: 1, MemGB: 1, Tasks: 512, OneZone: true})
			tasks := j.UnplacedTasks()
			for b.Loop() {
				tree, _ := l.buildTree()
				tree.Place(l.placementRequest(j, tasks, anyPullTime))
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

// BenchmarkPreemptions looks through a fleet full of work of a lower priority for room
// for eight tasks; it also tells what that takes for each task that is weighed.
func BenchmarkPreemptions(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			l := busyFleet(b, machines)
			makeAllIdle(l)
			j := addJob(l, wire.Job{ID: "job-999999", Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 20, MemGB: 1, Tasks: 8})
			c := &candidate{job: j, pending: j.UnplacedTasks(), preemptionPriority: j.Level}
			for b.Loop() {
				l.findSlots(c, 8, "", anyPullTime)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines*tasksOfMachine), "ns/task")
		})
	}
}
