package scheduler

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang is not placed both on a machine that holds its image and on one that pulls it for longer
// than its tasks wait for each other, if there are machines that all pull it.
func TestGangPullsTogether(t *testing.T) {
	for _, tc := range []struct {
		name    string
		imageGB float64 // pulled at 1 GB/s; gang_wait_s is 50
		empty   int     // machines without the image
		cached  int     // tasks that are placed where the image is
	}{
		{"a pull in time", 20, 2, 1},
		{"a pull that takes too long", 60, 2, 0},
		{"no other machines", 60, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, pullTypes, []config.Team{{Name: "vision", GPUsMax: 100}})
			holder := h.addMachine("n-1", "g4", "a")
			holder.CachedImages = []cluster.Image{{Name: "x", GB: tc.imageGB}}
			for _, name := range []string{"n-2", "n-3"}[:tc.empty] {
				h.addMachine(name, "g4", "a")
			}
			job := h.addArray("job-1", "vision", "train", 2, 4)
			job.Shape, job.OneZone, job.Image, job.ImageGB = wire.ShapeGang, true, "x", tc.imageGB
			h.newPass(h.usage()).bindFitting(candidateOf(job), anyPullTime)
			cached := 0
			for i := range job.TaskStates {
				if m := job.TaskStates[i].Machine; m == nil {
					t.Fatalf("task %d is not placed", i)
				} else if m == holder {
					cached++
				}
			}
			if cached != tc.cached {
				t.Errorf("%d tasks where the image is, want %d", cached, tc.cached)
			}
		})
	}
}
