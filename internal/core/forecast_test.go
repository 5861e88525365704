package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/wire"
)

// forecastTypes are two machine types; a task of 2 CPUs fits only the second.
var forecastTypes = map[string]*wire.MachineType{
	"small": {Name: "small", CPUs: 1, MemGB: 8, BootS: 10, PullGBPerS: 1, Price: 1, SpotPrice: 0.5, Zones: []string{"a", "b"}},
	"large": {Name: "large", CPUs: 4, MemGB: 32, BootS: 60, PullGBPerS: 0.5, Price: 3, SpotPrice: 1.5, Zones: []string{"a", "b"}},
}

// newForecastLeader makes a leader that knows forecastTypes, 1000 s after its start.
func newForecastLeader(t *testing.T) *leader {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	harness.core.machineTypes = forecastTypes
	harness.core.now = 1000 * time.Second
	return newLeader(harness.core, testLeadership(5))
}

// TestLeadTime finds the machine type that is ready first of those that may run a job.
func TestLeadTime(t *testing.T) {
	for _, tc := range []struct {
		name        string
		job         wire.Job
		usual, slow float64
		ok          bool
	}{
		{"the fastest type that is large enough", wire.Job{CPUs: 1, MemGB: 1, ImageGB: 4}, 14, 19, true},
		{"a larger task boots longer", wire.Job{CPUs: 2, MemGB: 1, ImageGB: 4}, 68, 98, true},
		{"the job's machine types", wire.Job{CPUs: 1, MemGB: 1, MachineTypes: []string{"large"}}, 60, 90, true},
		{"no type is large enough", wire.Job{CPUs: 5, MemGB: 1}, 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			usual, slow, ok := leader.leadTime(&cluster.Job{Job: tc.job})
			if ok != tc.ok || ok && (usual != tc.usual || slow != tc.slow) {
				t.Errorf("%v s, slow %v s, %v; want %v, %v, %v", usual, slow, ok, tc.usual, tc.slow, tc.ok)
			}
		})
	}
}

// TestExpectedTasks forecasts tasks from arrivals, for objectives with several shares.
func TestExpectedTasks(t *testing.T) {
	two := 2
	for _, tc := range []struct {
		name      string
		cpus      float64
		recent    int // arrivals within the window
		old       int // arrivals before it
		objective config.Objective
		warm      *int
		want      int
	}{
		{"a slow boot is soon enough", 1, 24, 0, config.Objective{WithinS: 15, Share: 0.9}, nil, 0},
		{"half an arrival a second, an even chance", 2, 60, 0, config.Objective{WithinS: 15, Share: 0.5}, nil, 30},
		{"a larger share needs more", 2, 60, 0, config.Objective{WithinS: 15, Share: 0.95}, nil, 40},
		{"a share below the lowest probability", 2, 60, 0, config.Objective{WithinS: 15, Share: 0.1}, nil, 30},
		{"a share above the highest probability", 2, 60, 0, config.Objective{WithinS: 15, Share: 1}, nil, 43},
		{"old arrivals do not count", 2, 4, 60, config.Objective{WithinS: 15, Share: 0.5}, nil, 2},
		{"at least one", 2, 0, 60, config.Objective{WithinS: 15, Share: 0.5}, nil, 1},
		{"the operators' limit", 2, 60, 0, config.Objective{WithinS: 15, Share: 0.5}, &two, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			leader.core.operatorSettings = &config.OperatorSettings{WarmMachines: tc.warm}
			arrivals := &classArrivals{lastJob: &cluster.Job{Job: wire.Job{CPUs: tc.cpus, MemGB: 1}}}
			for range tc.old {
				arrivals.Record(leader.core.now-forecast.ArrivalWindow-time.Second, leader.core.now, 1, 1)
			}
			for range tc.recent {
				arrivals.Record(leader.core.now-forecast.ArrivalWindow, leader.core.now, 1, 1)
			}
			if got := leader.expectedTasks(arrivals, tc.objective); got != tc.want {
				t.Errorf("%d tasks, want %d", got, tc.want)
			}
		})
	}
}

// TestRecordArrival records one submission and counts the arrivals that it is.
func TestRecordArrival(t *testing.T) {
	for _, tc := range []struct {
		name  string
		shape wire.Shape
		tasks int
		ageS  int64
		want  int
	}{
		{"an array is one arrival", wire.ShapeArray, 10, 0, 1},
		{"a service's tasks", wire.ShapeService, 10, 0, 10},
		{"a huge job is bounded", wire.ShapeService, 1000, 0, forecast.MaxCountedTasksPerJob},
		{"an old submission is out of the window", wire.ShapeService, 10, 121, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			leader.recordArrival(&cluster.Job{Job: wire.Job{Class: "c", Shape: tc.shape}, TaskStates: make([]cluster.Task, tc.tasks), WaitingSinceMS: leader.core.wallClockMS - tc.ageS*1000})
			if got := leader.arrivalsByClass["c"].Recent(leader.core.now); got != tc.want {
				t.Errorf("%d arrivals, want %d", got, tc.want)
			}
		})
	}
}
