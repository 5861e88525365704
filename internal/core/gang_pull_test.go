package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// A gang is not spread over a machine that holds its image and one that fetches it for
// longer than its tasks wait for each other, if it finds machines that all fetch it.
func TestGangPullsTogether(t *testing.T) {
	for _, test := range []struct {
		name    string
		imageGB float64 // fetched at 1 GB/s; gang_wait_s is 50
		empty   int     // machines without the image
		held    int     // tasks that are placed where the image is
	}{
		{"a fetch in time", 20, 2, 1},
		{"a fetch that is too long", 60, 2, 0},
		{"nowhere else to go", 60, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, leader := bestEffortLeader(t)
			holder := idleMachine(leader, "n-1", "g4", "a")
			holder.CachedImages = []cluster.Image{{Name: "x", GB: test.imageGB}}
			for _, name := range []string{"n-2", "n-3"}[:test.empty] {
				idleMachine(leader, name, "g4", "a")
			}
			job := addArray(leader, "job-1", "vision", "train", 2, 4)
			job.Shape, job.OneZone, job.Image, job.ImageGB = wire.ShapeGang, true, "x", test.imageGB
			pass := leader.newPlacementPass()
			waiting := &candidate{job: job, pending: job.UnplacedTasks()}
			pass.bindFitting(waiting, anyPullTime)
			held := 0
			for i := range job.TaskStates {
				if m := job.TaskStates[i].Machine; m == nil {
					t.Fatalf("task %d is not placed", i)
				} else if m == holder {
					held++
				}
			}
			if held != test.held {
				t.Errorf("%d tasks where the image is, want %d", held, test.held)
			}
		})
	}
}
