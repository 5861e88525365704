package core

import (
	"fmt"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// TestHugeArrayInPasses checks that an array of 100,000 tasks is placed on 4,200 empty machines
// over several passes, each of which exceeds its evaluation budget by at most half, for the
// scale-out plan.
func TestHugeArrayInPasses(t *testing.T) {
	const machines, tasksPerMachine = 4200, 16
	harness, leader := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Teams = []config.Team{{Name: "vision", GPUsMax: 100}} })
	harness.core.machineTypes = pullTypes
	for i := range machines {
		idleMachine(leader, fmt.Sprintf("n-%06d", i), "g4")
	}
	job := addArray(leader, "job-1", "vision", "sweep", 100000, 0)
	passes := 0
	for ; job.TasksPlaced < machines*tasksPerMachine; passes++ {
		placed, before := job.TasksPlaced, leader.scheduler.Evaluations()
		limit := leader.scheduler.EvaluationBudget()
		leader.runPlacementPass()
		if cost := leader.scheduler.Evaluations() - before; cost > limit+limit/2 {
			t.Fatalf("pass %d placed %d tasks with %d evaluations, want at most 1.5 times the budget of %d", passes, job.TasksPlaced-placed, cost, limit)
		}
		if job.TasksPlaced == placed {
			t.Fatalf("pass %d placed no task, after %d tasks in earlier passes", passes, placed)
		}
	}
	if passes < 3 {
		t.Errorf("%d tasks placed in %d passes, want at least 3 passes", job.TasksPlaced, passes)
	}
}

// TestPlannedTasks checks that a plan provisions for all tasks of a service or a gang, however
// large, and only for so many tasks of an array that each slot has work for several boot times.
func TestPlannedTasks(t *testing.T) {
	for _, test := range []struct {
		name     string
		shape    wire.Shape
		tasks    int
		estimate float64
		want     int
	}{
		{"a service as large as the fleet", wire.ShapeService, 4200, 0, 4200},
		{"a gang as large as the fleet", wire.ShapeGang, 4200, 60, 4200},
		{"an array of long tasks", wire.ShapeArray, 100000, 300, 100000},
		{"an array of tasks of a second", wire.ShapeArray, 25000, 1, minPlannedTasks},
		{"an array of tasks of ten seconds", wire.ShapeArray, 25000, 12, 2500},
		{"a small array", wire.ShapeArray, 60, 1, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, leader := newBestEffortLeader(t) // its machines boot in 30 s
			job := addArray(leader, "job-1", "vision", "sweep", test.tasks, 0)
			job.Shape, job.EstimatedRunS = test.shape, test.estimate
			if got := leader.plannedTasks(&candidate{Job: job, Pending: job.UnplacedTasks()}); got != test.want {
				t.Errorf("planned tasks: got %d, want %d", got, test.want)
			}
		})
	}
}
