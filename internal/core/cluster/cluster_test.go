package cluster

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// newTestJob makes an array of loaded tasks, each of one CPU.
func newTestJob(id string, version uint64, tasks int) *Job {
	spec := wire.Job{ID: id, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 1, Image: "image-" + id, ImageGB: 2}
	job := NewJob(records.Open{Job: spec}, version)
	job.Loaded = true
	return job
}

func jobIDs(jobs []*Job) []string {
	var ids []string
	for _, job := range jobs {
		ids = append(ids, job.ID)
	}
	return ids
}

// TestJobsBySubmission keeps jobs in the order of their submission, those of one transaction in
// the order in which they were added.
func TestJobsBySubmission(t *testing.T) {
	state := NewState()
	for _, job := range []*Job{newTestJob("c", 7, 1), newTestJob("a", 5, 1), newTestJob("d", 7, 1), newTestJob("b", 5, 1)} {
		state.AddJob(job)
	}
	if got, want := jobIDs(state.JobsBySubmission), []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("jobs %q, want %q", got, want)
	}
	before := state.JobsBySubmission
	state.DropJob(state.Jobs["c"])
	if got, want := jobIDs(state.JobsBySubmission), []string{"a", "b", "d"}; !slices.Equal(got, want) {
		t.Errorf("after c was dropped: jobs %q, want %q", got, want)
	}
	if got, want := jobIDs(before), []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("a loop that began before sees %q, want %q", got, want)
	}
	if state.Jobs["c"] != nil || len(state.Jobs) != 3 {
		t.Errorf("%d jobs are known, c: %v", len(state.Jobs), state.Jobs["c"])
	}
}

// TestMachinesByName drops a machine in a loop over all of them.
func TestMachinesByName(t *testing.T) {
	state := NewState()
	for _, name := range []string{"n-2", "n-1", "n-3", "n-2"} {
		state.MachineNamed(name, time.Second)
	}
	var visited []string
	for _, machine := range state.MachinesByName {
		visited = append(visited, machine.Name)
		if machine.Name == "n-1" {
			state.DropMachine(machine)
		}
	}
	if want := []string{"n-1", "n-2", "n-3"}; !slices.Equal(visited, want) {
		t.Errorf("visited %q, want %q", visited, want)
	}
	if len(state.MachinesByName) != 2 || state.Machines["n-1"] != nil {
		t.Errorf("%d machines left", len(state.MachinesByName))
	}
}

// TestPendingTasks lists the tasks of a job of two that may be placed.
func TestPendingTasks(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(job *Job)
		want   []int
	}{
		{"none placed", func(*Job) {}, []int{0, 1}},
		{"one done", func(job *Job) { job.TaskStates[0].Done, job.TasksDone = true, 1 }, []int{1}},
		{"one placed", func(job *Job) { job.TaskStates[1].Machine, job.TasksPlaced = NewMachine("n-1", 0), 1 }, []int{0}},
		{"one placed, of a gang", func(job *Job) {
			job.Shape = wire.ShapeGang
			job.TaskStates[1].Machine, job.TasksPlaced = NewMachine("n-1", 0), 1
		}, nil},
		{"placements not read", func(job *Job) { job.Loaded = false }, nil},
		{"dependencies not done", func(job *Job) { job.Waiting = true }, nil},
		{"cancelled", func(job *Job) { job.Cancellation.Request(0) }, nil},
		{"end being recorded", func(job *Job) { job.EndWritePending = true }, nil},
		{"end recorded", func(job *Job) { job.EndRecorded = true }, nil},
		{"open record to be read again", func(job *Job) { job.OpenVersionUnknown = true }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := newTestJob("a", 1, 2)
			tc.change(job)
			if got := job.PendingTasks(); !slices.Equal(got, tc.want) {
				t.Errorf("tasks %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPlacementRecordOf finds the record that covers each task.
func TestPlacementRecordOf(t *testing.T) {
	job := newTestJob("a", 1, 5)
	job.PlacementRecords = []PlacementRecord{{Key: "first", To: 2}, {Key: "second", From: 2, To: 3}, {Key: "third", From: 3, To: 5}}
	for task, want := range []string{"first", "first", "second", "third", "third"} {
		if got := job.PlacementRecordOf(task).Key; got != want {
			t.Errorf("task %d is covered by the %s record, want the %s", task, got, want)
		}
	}
}

// TestReportedAttempt distinguishes an attempt from an earlier one that is listed as well.
func TestReportedAttempt(t *testing.T) {
	machine := NewMachine("n-1", 0)
	machine.ReportedTasks = []wire.TaskStatus{
		{Task: "a/0", Attempt: 1, State: wire.TaskExited},
		{Task: "a/0", Attempt: 2, State: wire.TaskRunning},
	}
	if status, listed := machine.ReportedAttempt("a/0", 2); !listed || status.State != wire.TaskRunning {
		t.Errorf("attempt 2: %+v, %v", status, listed)
	}
	if _, listed := machine.ReportedAttempt("a/0", 3); listed {
		t.Error("attempt 3 is listed")
	}
}

// TestUsage adds tasks to a machine and removes them in a loop over its placements.
func TestUsage(t *testing.T) {
	machine := NewMachine("n-1", 0)
	job := newTestJob("a", 1, 3)
	for _, index := range []int{2, 0, 1} {
		machine.AddTask(NewTaskReference(job, index))
		machine.AdjustUsage(job, 1)
	}
	if machine.Used.CPUs != 3 || machine.UsedByLevel[job.Level].CPUs != 3 {
		t.Errorf("used %+v, by level %+v", machine.Used, machine.UsedByLevel)
	}
	var visited []string
	for _, placement := range machine.Placements {
		visited = append(visited, placement.Name)
		machine.RemoveTask(job, placement.Index)
		machine.AdjustUsage(job, -1)
	}
	if want := []string{"a/0", "a/1", "a/2"}; !slices.Equal(visited, want) {
		t.Errorf("visited %q, want %q", visited, want)
	}
	if len(machine.Placements) != 0 || machine.Used != (topology.Resources{}) {
		t.Errorf("%d placements left, used %+v", len(machine.Placements), machine.Used)
	}
}

// TestRefreshPulls keeps the pulls that tasks wait for: not of a cached image, and not for tasks
// that are being stopped.
func TestRefreshPulls(t *testing.T) {
	machine := NewMachine("n-1", 0)
	waiting, cached, stopping := newTestJob("a", 1, 1), newTestJob("b", 2, 1), newTestJob("c", 3, 1)
	for _, job := range []*Job{waiting, cached, stopping} {
		machine.AddTask(NewTaskReference(job, 0))
		machine.BeginPull(job.Image, job.ImageGB, time.Second)
	}
	if ahead := machine.PullsAhead("another image"); ahead != 3 {
		t.Errorf("%d pulls ahead, want 3", ahead)
	}
	machine.CachedImages = []Image{{Name: cached.Image, GB: 2}}
	stopping.TaskStates[0].Stop = &StopRequest{}
	machine.Refresh()
	if len(machine.Pulls) != 1 || machine.Pulls[0].Name != waiting.Image {
		t.Errorf("pulls %+v, want that of %s", machine.Pulls, waiting.Image)
	}
	if machine.StoppingUse.CPUs != 1 {
		t.Errorf("tasks being stopped use %+v, want one CPU", machine.StoppingUse)
	}
}
