package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// tasksOfMachine is how many tasks each machine of a busy fleet runs, in these
// benchmarks.
const tasksOfMachine = 29

// busyFleet makes a leader of a fleet whose machines have room for three more tasks
// each.
func busyFleet(b testing.TB, machines int) *leader {
	h := newHarness(b, someTypes)
	h.c.types = map[string]*wire.MachineType{"plain": {Name: "plain", CPUs: tasksOfMachine + 3, GPUs: 8, MemGB: 1000, FetchGBPS: 10, Price: 1, BootS: 10, Zones: []string{"a", "b", "c"}}}
	h.c.cfg.Deployment.Teams = []config.Team{{Name: "vision", CPUs: 1e6, GPUs: 1e6}}
	h.c.now = time.Hour
	l := newLeader(h.c, electedBy(5))
	l.ready = true
	for i := range machines {
		m := l.machine(fmt.Sprintf("n-%06d", i))
		l.describe(m, "", "plain", []string{"a", "b", "c"}[i%3], false)
		m.token, m.heard, m.firstHeard, m.session = 5, h.c.now, 1, 1
		j := addJob(l, wire.Job{ID: fmt.Sprintf("job-%06d", i), Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 1, MemGB: 1, Tasks: tasksOfMachine})
		for k := range j.tasks {
			l.bind(j, k, m)
			j.tasks[k].state, j.tasks[k].seen = wire.TaskRunning, true
		}
	}
	return l
}

// allIdle makes all work of the fleet that of the lowest priority.
func allIdle(l *leader) {
	l.passes.leaves = l.byName
	for _, j := range l.order {
		j.rank = 0
		m := j.tasks[0].machine
		m.usedByRank[0], m.usedByRank[3] = m.usedByRank[3], m.usedByRank[0]
	}
}

// addJob adds a job that waits.
func addJob(l *leader, spec wire.Job) *job {
	spec.Team, spec.Image = "vision", "img"
	j := newJob(records.Open{Job: spec}, uint64(len(l.order)+1))
	j.loaded = true
	l.jobs[j.ID] = j
	l.order = append(l.order, j)
	return j
}

// TestPassCountsTasks makes room for a job on a fleet full of work of a lower priority.
// What a pass costs there grows with the tasks that may be stopped: counted by machines
// alone, passes after the loss of a zone took more than a second of a leader's time.
func TestPassCountsTasks(t *testing.T) {
	const machines = 50
	l := busyFleet(t, machines)
	allIdle(l)
	j := addJob(l, wire.Job{ID: "job-999999", Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 20, MemGB: 1, Tasks: 1})
	before := l.passes.evaluations
	l.preemptions(&candidate{job: j, pending: []int{0}, preemptionRank: j.rank}, 1, "", false)
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
				l.place()
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
			tasks := j.unplacedTasks()
			for b.Loop() {
				tree, _ := l.placementTree()
				tree.Place(l.placementRequest(j, tasks, false))
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
			cands, usage := l.candidates(), l.usage()
			for b.Loop() {
				p := newRentalPlan(l)
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
			allIdle(l)
			j := addJob(l, wire.Job{ID: "job-999999", Class: "gate", Shape: wire.ShapeService, Priority: wire.PriorityCritical, CPUs: 20, MemGB: 1, Tasks: 8})
			c := &candidate{job: j, pending: j.unplacedTasks(), preemptionRank: j.rank}
			for b.Loop() {
				l.preemptions(c, 8, "", false)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines*tasksOfMachine), "ns/task")
		})
	}
}
