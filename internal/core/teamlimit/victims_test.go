package teamlimit

import (
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func gpus(n float64) topology.Resources { return topology.Resources{GPUs: n} }

// singleTask returns a victim that is stopped alone.
func singleTask(key string, size topology.Resources) Victim[string] {
	return Victim[string]{Key: key, TaskSize: size, Freed: size}
}

// TestChooseVictims adds two tasks of one GPU each within a limit of four GPUs.
func TestChooseVictims(t *testing.T) {
	gang := Victim[string]{Key: "gang", TaskSize: gpus(1), Freed: gpus(3)}
	for _, tc := range []struct {
		name          string
		used          float64 // GPUs
		alreadyChosen []Victim[string]
		candidates    []Victim[string]
		want          []int
		ok            bool
	}{
		{"no shortage", 2, nil, []Victim[string]{singleTask("a", gpus(1))}, nil, true},
		{"as many as necessary", 4, nil, []Victim[string]{singleTask("a", gpus(1)), singleTask("b", gpus(1)), singleTask("c", gpus(1))}, []int{0, 1}, true},
		{"not enough", 4, nil, []Victim[string]{singleTask("a", gpus(1))}, []int{0}, false},
		{"a victim chosen before counts", 4, []Victim[string]{singleTask("a", gpus(1))}, []Victim[string]{singleTask("a", gpus(1)), singleTask("b", gpus(1))}, []int{1}, true},
		{"a gang chosen before counts once", 5, []Victim[string]{gang, gang}, nil, nil, true},
		{"all tasks of a gang count", 5, nil, []Victim[string]{gang}, []int{0}, true},
		{"a task that uses none of the exceeded resource is not chosen", 3, nil, []Victim[string]{singleTask("a", topology.Resources{CPUs: 8}), singleTask("b", gpus(1))}, []int{1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			shortage := Shortage{Limit: FromSettings(0, 4), Used: gpus(tc.used), TaskSize: gpus(1), Count: 2}
			got, ok := ChooseVictims(shortage, tc.alreadyChosen, tc.candidates)
			if !slices.Equal(got, tc.want) || ok != tc.ok {
				t.Errorf("victims: got %v, ok %v; want %v, ok %v", got, ok, tc.want, tc.ok)
			}
		})
	}
}

// TestClaims claims parts of guarantees for one job after another.
func TestClaims(t *testing.T) {
	claims := NewClaims(map[string]Guarantee{"vision": {GPUs: 4}, "lab": {}})
	for _, step := range []struct {
		team   string
		amount topology.Resources
		want   bool
	}{
		{"vision", gpus(3), true},
		{"vision", gpus(2), false},
		{"vision", topology.Resources{CPUs: 99}, false}, // the previous claim counts though it was beyond quota
		{"lab", gpus(0), false},
		{"unknown", gpus(0), false},
	} {
		if got := claims.Claim(step.team, step.amount); got != step.want {
			t.Errorf("claim %+v: got within quota %v", step, got)
		}
	}
}

// TestUsage checks that tasks count only after the first Reset, and that a snapshot does not change.
func TestUsage(t *testing.T) {
	var usage Usage
	usage.Add("vision", gpus(1), 3)
	if usage.IsCounting() || usage.ForTeam("vision") != gpus(0) {
		t.Errorf("before Reset: usage %+v; want no usage and IsCounting false", usage.ForTeam("vision"))
	}
	usage.Reset()
	usage.Add("vision", gpus(1), 3)
	snapshot := usage.Snapshot()
	usage.Add("vision", gpus(1), -2)
	if !usage.IsCounting() || usage.ForTeam("vision") != gpus(1) || snapshot["vision"] != gpus(3) {
		t.Errorf("after Reset: usage %+v, snapshot %+v; want 1 GPU, 3 GPUs and IsCounting true", usage.ForTeam("vision"), snapshot["vision"])
	}
}
