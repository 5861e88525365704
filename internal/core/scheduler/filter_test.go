package scheduler

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// pullTypes is one machine type that pulls 1 GB/s.
var pullTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4},
}

// newPullHarness creates a harness with two empty machines.
func newPullHarness(t *testing.T) (h *harness, first, second *cluster.Machine) {
	t.Helper()
	h = newHarness(t, pullTypes, []config.Team{{Name: "vision", GPUsMax: 100}},
		config.Objective{Kind: ObjectiveWait, Class: "chat", WithinS: 10, Share: 0.9})
	return h, h.addMachine("n-1", "g4", "a"), h.addMachine("n-2", "g4", "a")
}

// addPullingReplica adds a service with one replica, whose image of 20 GB no machine has cached.
func (h *harness) addPullingReplica(id, image string) *cluster.Job {
	return h.addJob(wire.Job{
		ID: id, Team: "vision", Class: "chat", Shape: wire.ShapeService, Priority: wire.PriorityCritical,
		Tasks: 1, GPUs: 1, MemGB: 1, Image: image, ImageGB: 20,
	})
}

// TestPullsAreSpread guards against replicas of different images being packed onto one machine that
// pulls one image at a time.
func TestPullsAreSpread(t *testing.T) {
	for _, tc := range []struct {
		name       string
		sequential bool
		image      string
		stopped    bool // the task whose image is being pulled
		want       string
	}{
		{"to a machine without pulls", true, "y", false, "n-2"},
		{"to the machine that already pulls the image", true, "x", false, "n-1"},
		{"to the machine with the least free capacity if pulls are parallel", false, "y", false, "n-1"},
		{"to the machine with the least free capacity if no task waits for its pull any more", true, "y", true, "n-1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, machine, _ := newPullHarness(t)
			h.sequential = tc.sequential
			before := h.addPullingReplica("job-1", "x")
			h.bindTasks(before, []int{0}, []*cluster.Machine{machine})
			if tc.stopped {
				before.TaskStates[0].Stop = &cluster.StopRequest{}
			}
			job := h.addPullingReplica("job-2", tc.image)
			h.place(job)
			if got := job.TaskStates[0].Machine; got == nil || got.Name != tc.want {
				t.Errorf("machine of the task: got %v, want %s", got, tc.want)
			}
		})
	}
}

// TestFailingMachineComesLast checks that a machine on which tasks fail has a higher penalty than a
// machine that pulls many images.
func TestFailingMachineComesLast(t *testing.T) {
	h, pulling, failing := newPullHarness(t)
	h.sequential = true
	for _, image := range []string{"a", "b", "c", "d", "e", "f"} {
		pulling.BeginPull(image, 20, h.now)
	}
	h.outliers.RecordFailure("job-7", failing.Name)
	job := h.addPullingReplica("job-2", "y")
	maxPullS := h.maxPullTime(job.Class)
	if a, b := h.machinePenalty(job, pulling, maxPullS), h.machinePenalty(job, failing, maxPullS); a >= b {
		t.Errorf("penalty of a pulling machine is %d, want less than the %d of a machine on which tasks fail", a, b)
	}
}
