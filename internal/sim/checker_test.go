package sim

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// taskZones lists the zones of a job's tasks: "zone", or "zone spot" for a spot machine.
type taskZones []string

// TestCheckerPlacement starts the last task of a job after the others. The checker must report a
// violation if the task's placement or the team's usage breaks a rule, and nothing else.
func TestCheckerPlacement(t *testing.T) {
	const machineType = "small"
	for _, tc := range []struct {
		name string
		job  wire.Job
		on   taskZones
		rule string // the violated rule; empty for none
	}{
		{name: "anywhere", job: wire.Job{Tasks: 3}, on: taskZones{"east", "north", "north"}},
		{name: "an allowed type", job: wire.Job{Tasks: 1, MachineTypes: []string{machineType}}, on: taskZones{"east"}},
		{name: "another type", job: wire.Job{Tasks: 1, MachineTypes: []string{"large"}}, on: taskZones{"east"}, rule: "wrong_place"},
		{name: "the job's zone", job: wire.Job{Tasks: 1, Zone: "east"}, on: taskZones{"east"}},
		{name: "another zone", job: wire.Job{Tasks: 1, Zone: "east"}, on: taskZones{"west"}, rule: "wrong_place"},
		{name: "a spot machine", job: wire.Job{Tasks: 1, AllowSpot: true}, on: taskZones{"east spot"}},
		{name: "a spot machine that the job does not take", job: wire.Job{Tasks: 1}, on: taskZones{"east spot"}, rule: "wrong_place"},
		{name: "half of the tasks in a zone, rounded up", job: wire.Job{Tasks: 3, SpreadZones: true}, on: taskZones{"east", "east"}},
		{name: "more than half", job: wire.Job{Tasks: 3, SpreadZones: true}, on: taskZones{"east", "east", "east"}, rule: "wrong_place"},
		{name: "all in one zone", job: wire.Job{Tasks: 2, OneZone: true}, on: taskZones{"east", "east"}},
		{name: "in two zones", job: wire.Job{Tasks: 2, OneZone: true}, on: taskZones{"east", "west"}, rule: "wrong_place"},
		{name: "as many GPUs as the team may use", job: wire.Job{Tasks: 2, GPUs: 2}, on: taskZones{"east", "east"}},
		{name: "more GPUs", job: wire.Job{Tasks: 3, GPUs: 2}, on: taskZones{"east", "east", "east"}, rule: "quota"},
		{name: "as many CPUs as the team may use", job: wire.Job{Tasks: 2, CPUs: 4}, on: taskZones{"east", "east"}},
		{name: "more CPUs", job: wire.Job{Tasks: 2, CPUs: 5}, on: taskZones{"east", "east"}, rule: "quota"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := defaultSettings()
			cfg.Deployment.Teams = []config.Team{{Name: "t", GPUsMax: 4, CPUsMax: 8}}
			world := newWorld(cfg, 1, slog.New(slog.DiscardHandler))
			tc.job.ID, tc.job.Team = "job-000001", "t"
			job := &groundTruth{Job: tc.job, doneTasks: map[int]bool{}}
			world.jobs[job.ID] = job
			for i, location := range tc.on {
				zone, spot := strings.CutSuffix(location, " spot")
				m := &machine{world: world, name: fmt.Sprintf("n-%06d", i), offer: offer{machineType, zone, spot}, tasks: map[string]*task{}}
				world.cloud.machines[m.name] = m
				placed := &task{name: fmt.Sprintf("%s/%d", job.ID, i), job: job, index: i, state: wire.TaskRunning}
				m.tasks[placed.name] = placed
				world.addPlacement(m, placed)
				if i == len(tc.on)-1 {
					world.checker.checkStart(m, placed)
				}
			}
			expectViolation(t, world, tc.rule)
		})
	}
}

// TestCheckerGangRoom computes for how many tasks of a gang there is room, given the room in each
// zone and the tasks that the gang has there.
func TestCheckerGangRoom(t *testing.T) {
	for _, tc := range []struct {
		name          string
		job           wire.Job
		inZone, zones map[string]int
		want          int
	}{
		{"all zones", wire.Job{Tasks: 4}, map[string]int{"east": 2, "west": 3}, nil, 5},
		{"one zone", wire.Job{Tasks: 4, OneZone: true}, map[string]int{"east": 2, "west": 3}, nil, 3},
		{"half of the tasks in a zone", wire.Job{Tasks: 4, SpreadZones: true}, map[string]int{"east": 1, "west": 3}, nil, 3},
		{"less those that are there", wire.Job{Tasks: 4, SpreadZones: true}, map[string]int{"east": 1, "west": 3}, map[string]int{"west": 1}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := gangRoom(&groundTruth{Job: tc.job}, tc.inZone, tc.zones); got != tc.want {
				t.Errorf("got room for %d tasks, want %d", got, tc.want)
			}
		})
	}
}

// expectViolation fails the test unless the checker has reported exactly one violation, of the given
// rule, or none if the rule is empty.
func expectViolation(t *testing.T, world *World, rule string) {
	t.Helper()
	found := world.checker.violations
	switch {
	case rule == "" && len(found) > 0:
		t.Errorf("got violations %q, want none", found)
	case rule != "" && (len(found) != 1 || !strings.HasPrefix(found[0], rule+" at ")):
		t.Errorf("got violations %q, want one of rule %s", found, rule)
	}
}
