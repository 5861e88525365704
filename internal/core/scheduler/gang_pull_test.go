package scheduler

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestGangAvoidsMixedPulls checks that a gang is not placed both on a machine that has its image
// cached and on one that pulls it for longer than gang_wait_s, if it fits on machines that all pull
// the image.
func TestGangAvoidsMixedPulls(t *testing.T) {
	for _, tc := range []struct {
		name    string
		imageGB float64 // pulled at 1 GB/s; gang_wait_s is 50
		empty   int     // machines without the image
		cached  int     // tasks on the machine with the image
	}{
		{"the pull is fast enough", 20, 2, 1},
		{"the pull is too slow", 60, 2, 0},
		{"the pull is too slow, but there are not enough other machines", 60, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, pullTypes, []config.Team{{Name: "vision", GPUsMax: 100}})
			withImage := h.addMachine("n-1", "g4", "a")
			withImage.CachedImages = []cluster.Image{{Name: "x", GB: tc.imageGB}}
			for _, name := range []string{"n-2", "n-3"}[:tc.empty] {
				h.addMachine(name, "g4", "a")
			}
			job := h.addArray("job-1", "vision", "train", 2, 4)
			job.Shape, job.OneZone, job.Image, job.ImageGB = wire.ShapeGang, true, "x", tc.imageGB
			h.newPass(h.usage()).bindFitting(candidateOf(job), anyPullTime)
			cached := 0
			for i := range job.TaskStates {
				if m := job.TaskStates[i].Machine; m == nil {
					t.Fatalf("task %d is not placed, want all tasks placed", i)
				} else if m == withImage {
					cached++
				}
			}
			if cached != tc.cached {
				t.Errorf("tasks on the machine with the image: got %d, want %d", cached, tc.cached)
			}
		})
	}
}
