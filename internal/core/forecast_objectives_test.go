package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// TestCapacityForGuaranteedWork checks that machines are provisioned for future jobs of a class
// without an objective of its own, if its jobs are within the team's guarantee and there is an
// objective for guaranteed jobs. They are provisioned for whole arrays, because the objective
// measures the wait until the last task starts. Nothing is provisioned for jobs beyond the
// guarantee, for jobs that use only resources without a guarantee, or without the objective.
func TestCapacityForGuaranteedWork(t *testing.T) {
	const types = `{"hulls":[{"label":"g8","cpus":96,"accelerators":8,"memGb":768,"fetchGbPerS":1,"rate":12,"lowPrice":4,"bootS":40,"berths":["a"]}]}`
	wait := []config.Objective{{Kind: "guarantee", WithinS: 20, Share: 0.85}}
	for _, tc := range []struct {
		name       string
		objectives []config.Objective
		gpus       float64 // of a task
		tasks      int
		want       bool
	}{
		{"within the guarantee", wait, 1, 6, true},
		{"beyond the guarantee", wait, 1, 12, false},
		{"of resources without a guarantee", wait, 0, 6, false},
		{"no objective", nil, 1, 6, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, func(s *config.Settings) {
				s.Deployment.Objectives = tc.objectives
				s.Deployment.Teams = []config.Team{{Name: "vision", GPUs: 8, GPUsMax: 16}}
			})
			if !harness.core.setMachineTypes([]byte(types)) {
				t.Fatal("setMachineTypes rejected the machine types")
			}
			addRecord(harness, leader, wire.Job{
				ID: "job-1", Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
				CPUs: 1, GPUs: tc.gpus, MemGB: 1, Tasks: tc.tasks, ImageGB: 10,
			}, nil)
			leader.fleet.requests = newFleet(&leader.core.settings.Deployment, leader.leadership.Term).requests
			leader.markWithinQuota()
			leader.planScaleOut(nil, map[string]topology.Resources{})
			provisioned := 0.0
			for _, request := range leader.fleet.requests.OpenRequests() {
				provisioned += 8 * float64(request.Count)
			}
			if (provisioned > 0) != tc.want || tc.want && provisioned < 2*float64(tc.tasks) {
				t.Errorf("provisioned GPUs: got %v, want enough for two arrays of %d tasks if guaranteed with an objective, else none", provisioned, tc.tasks)
			}
		})
	}
}

// TestHugeArrayIsNotForecast checks that a huge array, as a single event, does not make the
// forecast expect arrays of its size.
func TestHugeArrayIsNotForecast(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 50 * forecast.MaxCountedTasksPerJob}, nil)
	if size := leader.arrivalsByClass["c"].AverageJobSize(); size > forecast.MaxCountedTasksPerJob {
		t.Errorf("average job size: got %v tasks, want at most MaxCountedTasksPerJob", size)
	}
}
