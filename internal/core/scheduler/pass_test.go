package scheduler

import (
	"fmt"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// tasksPerMachine is how many tasks each machine of a busy fleet runs.
const tasksPerMachine = 29

// newBusyFleet creates machines that run services of a priority and have capacity for three more
// tasks of one CPU each.
func newBusyFleet(tb testing.TB, machines int, priority wire.Priority) *harness {
	tb.Helper()
	zones := []string{"a", "b", "c"}
	h := newHarness(tb, map[string]*wire.MachineType{
		"plain": {Name: "plain", CPUs: tasksPerMachine + 3, GPUs: 8, MemGB: 1000, PullGBPerS: 10, Price: 1, BootS: 10, Zones: zones},
	}, []config.Team{{Name: "vision", CPUs: 1e6, GPUs: 1e6}})
	for i := range machines {
		m := h.addMachine(fmt.Sprintf("n-%06d", i), "plain", zones[i%3])
		job := h.addJob(wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Team: "vision", Image: "img", Class: "gate",
			Shape: wire.ShapeService, Priority: priority, CPUs: 1, MemGB: 1, Tasks: tasksPerMachine,
		})
		for k := range job.TaskStates {
			harnessHost{h}.PlaceTask(job, k, m)
			job.TaskStates[k].State, job.TaskStates[k].Observed = wire.TaskRunning, true
		}
	}
	h.machines = h.state.MachinesByName
	return h
}

// addUrgentService adds a service whose tasks fit on no machine without preemption.
func (h *harness) addUrgentService(tasks int) *cluster.Job {
	return h.addJob(wire.Job{
		ID: "job-999999", Team: "vision", Image: "img", Class: "gate", Shape: wire.ShapeService,
		Priority: wire.PriorityCritical, CPUs: 20, MemGB: 1, Tasks: tasks,
	})
}

// TestPassCostCountsTasks checks that the cost of a search for victims grows with the tasks that may
// be preempted. When only machines were counted, passes after the loss of a zone took more than a
// second of the leader's time.
func TestPassCostCountsTasks(t *testing.T) {
	const machines = 50
	h := newBusyFleet(t, machines, wire.PriorityIdle)
	job := h.addUrgentService(1)
	before := h.Evaluations()
	h.findSlots(candidateOf(job), 1, "", anyPullTime)
	if got := h.Evaluations() - before; got < machines*tasksPerMachine {
		t.Errorf("evaluations: got %d, want at least %d, one for each task", got, machines*tasksPerMachine)
	}
}

// BenchmarkGang places a gang of 512 tasks in one zone of a busy fleet.
func BenchmarkGang(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			h := newBusyFleet(b, machines, wire.PriorityCritical)
			gang := h.addJob(wire.Job{
				ID: "job-999999", Team: "vision", Image: "img", Class: "train", Shape: wire.ShapeGang,
				Priority: wire.PriorityUrgent, CPUs: 1, GPUs: 1, MemGB: 1, Tasks: 512, OneZone: true,
			})
			tasks := gang.UnplacedTasks()
			for b.Loop() {
				tree, _ := h.buildTree()
				tree.Place(h.placementRequest(gang, tasks, anyPullTime))
			}
		})
	}
}

// BenchmarkPreemptions searches a fleet full of less urgent tasks for slots for eight tasks. It also
// reports the time for each task that is evaluated as a victim.
func BenchmarkPreemptions(b *testing.B) {
	for _, machines := range []int{300, 1000, 2000, 4200} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			h := newBusyFleet(b, machines, wire.PriorityIdle)
			candidate := candidateOf(h.addUrgentService(8))
			for b.Loop() {
				h.findSlots(candidate, 8, "", anyPullTime)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines*tasksPerMachine), "ns/task")
		})
	}
}
