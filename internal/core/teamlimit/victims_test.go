package teamlimit

import (
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func gpus(n float64) topology.Resources { return topology.Resources{GPUs: n} }

// singleTask is a victim that stops alone.
func singleTask(key string, size topology.Resources) Victim[string] {
	return Victim[string]{Key: key, TaskSize: size, Freed: size}
}

// TestChooseVictims resolves a shortage of two tasks of one GPU within a limit of four GPUs.
func TestChooseVictims(t *testing.T) {
	gang := Victim[string]{Key: "gang", TaskSize: gpus(1), Freed: gpus(3)}
	for _, tc := range []struct {
		name   string
		used   float64 // GPUs
		anyway []Victim[string]
		own    []Victim[string]
		want   []int
		ok     bool
	}{
		{"no shortage", 2, nil, []Victim[string]{singleTask("a", gpus(1))}, nil, true},
		{"as many as necessary", 4, nil, []Victim[string]{singleTask("a", gpus(1)), singleTask("b", gpus(1)), singleTask("c", gpus(1))}, []int{0, 1}, true},
		{"not enough", 4, nil, []Victim[string]{singleTask("a", gpus(1))}, []int{0}, false},
		{"others stop anyway", 4, []Victim[string]{singleTask("a", gpus(1))}, []Victim[string]{singleTask("a", gpus(1)), singleTask("b", gpus(1))}, []int{1}, true},
		{"a gang that stops anyway counts once", 5, []Victim[string]{gang, gang}, nil, nil, true},
		{"all of a gang counts", 5, nil, []Victim[string]{gang}, []int{0}, true},
		{"no task without the scarce resource", 3, nil, []Victim[string]{singleTask("a", topology.Resources{CPUs: 8}), singleTask("b", gpus(1))}, []int{1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			shortage := Shortage{Limit: FromSettings(0, 4), Used: gpus(tc.used), Task: gpus(1), Count: 2}
			got, ok := ChooseVictims(shortage, tc.anyway, tc.own)
			if !slices.Equal(got, tc.want) || ok != tc.ok {
				t.Errorf("victims %v, %v; want %v, %v", got, ok, tc.want, tc.ok)
			}
		})
	}
}

// TestClaims claims parts of guarantees, job after job.
func TestClaims(t *testing.T) {
	claims := NewClaims(map[string]Guarantee{"vision": {GPUs: 4}, "lab": {}})
	for _, step := range []struct {
		team   string
		amount topology.Resources
		want   bool
	}{
		{"vision", gpus(3), true},
		{"vision", gpus(2), false},
		{"vision", topology.Resources{CPUs: 99}, false}, // the job before it has claimed its part too
		{"lab", gpus(0), false},
		{"unknown", gpus(0), false},
	} {
		if got := claims.Claim(step.team, step.amount); got != step.want {
			t.Errorf("%+v: within quota %v", step, got)
		}
	}
}

// TestUsage counts tasks from the first Reset on.
func TestUsage(t *testing.T) {
	var usage Usage
	usage.Add("vision", gpus(1), 3)
	if usage.Started() || usage.ForTeam("vision") != gpus(0) {
		t.Errorf("counted before Reset: %+v", usage.ForTeam("vision"))
	}
	usage.Reset()
	usage.Add("vision", gpus(1), 3)
	snapshot := usage.Snapshot()
	usage.Add("vision", gpus(1), -2)
	if !usage.Started() || usage.ForTeam("vision") != gpus(1) || snapshot["vision"] != gpus(3) {
		t.Errorf("vision uses %+v, in the snapshot %+v", usage.ForTeam("vision"), snapshot["vision"])
	}
}
