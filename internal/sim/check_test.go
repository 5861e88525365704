package sim

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// placedTasks is where the tasks of one job are, by their number: "zone", or
// "zone spot".
type placedTasks []string

// TestCheckerJudgesPlaces has the last task of a job start beside the others. The
// checker has to find what is wrong with its place or with what its team uses, and
// nothing else.
func TestCheckerJudgesPlaces(t *testing.T) {
	const typ = "small"
	for _, tc := range []struct {
		name  string
		job   wire.Job
		on    placedTasks
		fault string // the rule that is broken; none if empty
	}{
		{name: "anywhere", job: wire.Job{Tasks: 3}, on: placedTasks{"east", "north", "north"}},
		{name: "an allowed type", job: wire.Job{Tasks: 1, Types: []string{typ}}, on: placedTasks{"east"}},
		{name: "another type", job: wire.Job{Tasks: 1, Types: []string{"large"}}, on: placedTasks{"east"}, fault: "wrong_place"},
		{name: "the job's zone", job: wire.Job{Tasks: 1, Zone: "east"}, on: placedTasks{"east"}},
		{name: "another zone", job: wire.Job{Tasks: 1, Zone: "east"}, on: placedTasks{"west"}, fault: "wrong_place"},
		{name: "a spot machine", job: wire.Job{Tasks: 1, Spot: true}, on: placedTasks{"east spot"}},
		{name: "a spot machine that the job does not take", job: wire.Job{Tasks: 1}, on: placedTasks{"east spot"}, fault: "wrong_place"},
		{name: "half of the tasks in a zone, rounded up", job: wire.Job{Tasks: 3, Spread: true}, on: placedTasks{"east", "east"}},
		{name: "more than half", job: wire.Job{Tasks: 3, Spread: true}, on: placedTasks{"east", "east", "east"}, fault: "wrong_place"},
		{name: "all in one zone", job: wire.Job{Tasks: 2, OneZone: true}, on: placedTasks{"east", "east"}},
		{name: "in two zones", job: wire.Job{Tasks: 2, OneZone: true}, on: placedTasks{"east", "west"}, fault: "wrong_place"},
		{name: "as many GPUs as the team may use", job: wire.Job{Tasks: 2, GPUs: 2}, on: placedTasks{"east", "east"}},
		{name: "more GPUs", job: wire.Job{Tasks: 3, GPUs: 2}, on: placedTasks{"east", "east", "east"}, fault: "quota"},
		{name: "as many CPUs as the team may use", job: wire.Job{Tasks: 2, CPUs: 4}, on: placedTasks{"east", "east"}},
		{name: "more CPUs", job: wire.Job{Tasks: 2, CPUs: 5}, on: placedTasks{"east", "east"}, fault: "quota"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := defaults()
			cfg.Deployment.Teams = []config.Team{{Name: "t", GPUsMax: 4, CPUsMax: 8}}
			w := newWorld(cfg, 1, slog.New(slog.DiscardHandler))
			tc.job.ID, tc.job.Team = "job-000001", "t"
			job := &jobTruth{Job: tc.job, done: map[int]bool{}}
			w.jobs[job.ID] = job
			for i, where := range tc.on {
				zone, spot := strings.CutSuffix(where, " spot")
				m := &machine{w: w, name: fmt.Sprintf("n-%06d", i), typ: typ, zone: zone, spot: spot, tasks: map[string]*task{}}
				w.cloud.machines[m.name] = m
				x := &task{name: fmt.Sprintf("%s/%d", job.ID, i), job: job, index: i, state: wire.TaskRunning}
				m.tasks[x.name] = x
				w.putOn(m, x)
				if i == len(tc.on)-1 {
					w.check.start(m, x)
				}
			}
			expectFault(t, w, tc.fault)
		})
	}
}

// TestCheckerJudgesGangRoom asks for how many tasks of a gang there is room, given
// the room in each zone and the tasks that it has there.
func TestCheckerJudgesGangRoom(t *testing.T) {
	for _, tc := range []struct {
		name          string
		job           wire.Job
		inZone, zones map[string]int
		want          int
	}{
		{"all zones", wire.Job{Tasks: 4}, map[string]int{"east": 2, "west": 3}, nil, 5},
		{"one zone", wire.Job{Tasks: 4, OneZone: true}, map[string]int{"east": 2, "west": 3}, nil, 3},
		{"half of the tasks in a zone", wire.Job{Tasks: 4, Spread: true}, map[string]int{"east": 1, "west": 3}, nil, 3},
		{"less those that are there", wire.Job{Tasks: 4, Spread: true}, map[string]int{"east": 1, "west": 3}, map[string]int{"west": 1}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := gangRoom(&jobTruth{Job: tc.job}, tc.inZone, tc.zones); got != tc.want {
				t.Errorf("room for %d tasks, want %d", got, tc.want)
			}
		})
	}
}

// expectFault fails unless the checker has found one fault, of a rule; none if the
// rule is empty.
func expectFault(t *testing.T, w *World, rule string) {
	t.Helper()
	found := w.check.faults
	switch {
	case rule == "" && len(found) > 0:
		t.Errorf("found %q", found)
	case rule != "" && (len(found) != 1 || !strings.HasPrefix(found[0], rule+" at ")):
		t.Errorf("found %q, want one fault of %s", found, rule)
	}
}
