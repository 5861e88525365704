package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// Room is kept for the work to come of a class whose work is within a guarantee
// that names a wait, though the class names none: for whole arrays, since one has
// begun with its last task. Work beyond the guarantee, or of nothing that is
// guaranteed, and a guarantee without a wait get none.
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
		{"within", wait, 1, 6, true},
		{"beyond", wait, 1, 12, false},
		{"not of what is guaranteed", wait, 0, 6, false},
		{"no wait", nil, 1, 6, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := newLeadingHarness(t, func(s *config.Settings) {
				s.Deployment.Objectives = tc.objectives
				s.Deployment.Teams = []config.Team{{Name: "vision", GPUs: 8, GPUsMax: 16}}
			})
			if !b.core.setMachineTypes([]byte(types)) {
				t.Fatal("the machine types are not read")
			}
			addRecord(b, l, wire.Job{ID: "job-1", Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
				CPUs: 1, GPUs: tc.gpus, MemGB: 1, Tasks: tc.tasks, ImageGB: 10}, nil)
			l.fleet.scaleOuts, l.fleet.nextScaleOutAt = nil, 0
			l.markWithinQuota()
			l.planScaleOut(nil, map[string]topology.Resources{})
			provisioned := 0.0
			for _, r := range l.fleet.scaleOuts {
				provisioned += 8 * float64(r.message.Count)
			}
			if (provisioned > 0) != tc.want || tc.want && provisioned < 2*float64(tc.tasks) {
				t.Errorf("room for %v GPUs is rented, two arrays of %d tasks may come", provisioned, tc.tasks)
			}
		})
	}
}

// A huge array is one event, not the size of those to come.
func TestHugeArrayIsNotForecast(t *testing.T) {
	b, l := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(b, l, wire.Job{ID: "job-1", Tasks: 50 * forecast.MaxTasksPerJob}, nil)
	if size := l.arrivalsByClass["c"].JobSize(); size > forecast.MaxTasksPerJob {
		t.Errorf("arrays of %v tasks are foreseen", size)
	}
}
