package cluster

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
)

// newTestJob creates a loaded array job whose tasks use one CPU each.
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

// TestJobsBySubmission checks that jobs are kept in submission order, and those of one transaction
// in the order in which they were added.
func TestJobsBySubmission(t *testing.T) {
	state := NewState()
	for _, job := range []*Job{newTestJob("c", 7, 1), newTestJob("a", 5, 1), newTestJob("d", 7, 1), newTestJob("b", 5, 1)} {
		state.AddJob(job)
	}
	if got, want := jobIDs(state.JobsBySubmission), []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("jobs by submission: got %q, want %q", got, want)
	}
	before := state.JobsBySubmission
	state.DropJob(state.Jobs["c"])
	if got, want := jobIDs(state.JobsBySubmission), []string{"a", "b", "d"}; !slices.Equal(got, want) {
		t.Errorf("jobs by submission after job c was dropped: got %q, want %q", got, want)
	}
	if got, want := jobIDs(before), []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("jobs visited by a loop that began before job c was dropped: got %q, want %q", got, want)
	}
	if state.Jobs["c"] != nil || len(state.Jobs) != 3 {
		t.Errorf("jobs after job c was dropped: got %d, job c %v; want 3, job c nil", len(state.Jobs), state.Jobs["c"])
	}
}

// TestMachinesByName checks that a machine may be dropped in a loop over MachinesByName.
func TestMachinesByName(t *testing.T) {
	state := NewState()
	for _, name := range []string{"n-2", "n-1", "n-3", "n-2"} {
		state.GetOrAddMachine(name, time.Second)
	}
	var visited []string
	for _, machine := range state.MachinesByName {
		visited = append(visited, machine.Name)
		if machine.Name == "n-1" {
			state.DropMachine(machine)
		}
	}
	if want := []string{"n-1", "n-2", "n-3"}; !slices.Equal(visited, want) {
		t.Errorf("machines visited: got %q, want %q", visited, want)
	}
	if len(state.MachinesByName) != 2 || state.Machines["n-1"] != nil {
		t.Errorf("machines after n-1 was dropped: got %d, want 2 and no n-1", len(state.MachinesByName))
	}
}

// TestPendingTasks checks which tasks of a job with two tasks may be placed.
func TestPendingTasks(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(job *Job)
		want   []int
	}{
		{"none placed", func(*Job) {}, []int{0, 1}},
		{"one done", func(job *Job) { job.TaskStates[0].Done, job.TasksDone = true, 1 }, []int{1}},
		{"one placed", func(job *Job) { job.TaskStates[1].Machine, job.TasksPlaced = NewMachine("n-1", 0), 1 }, []int{0}},
		{"one of a gang placed", func(job *Job) {
			job.Shape = wire.ShapeGang
			job.TaskStates[1].Machine, job.TasksPlaced = NewMachine("n-1", 0), 1
		}, nil},
		{"placement records not read", func(job *Job) { job.Loaded = false }, nil},
		{"dependencies not done", func(job *Job) { job.AwaitingDependencies = true }, nil},
		{"cancelled", func(job *Job) { job.Cancellation.Request(0) }, nil},
		{"end being recorded", func(job *Job) { job.EndWritePending = true }, nil},
		{"end recorded", func(job *Job) { job.EndRecorded = true }, nil},
		{"version of the open record unknown", func(job *Job) { job.OpenVersionUnknown = true }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := newTestJob("a", 1, 2)
			tc.change(job)
			if got := job.PendingTasks(); !slices.Equal(got, tc.want) {
				t.Errorf("pending tasks: got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPlacementRecordOf checks which record covers each task.
func TestPlacementRecordOf(t *testing.T) {
	job := newTestJob("a", 1, 5)
	job.PlacementRecords = []PlacementRecord{{Key: "first", To: 2}, {Key: "second", From: 2, To: 3}, {Key: "third", From: 3, To: 5}}
	for task, want := range []string{"first", "first", "second", "third", "third"} {
		if got := job.PlacementRecordOf(task).Key; got != want {
			t.Errorf("record that covers task %d: got %s, want %s", task, got, want)
		}
	}
}

// TestReportedAttempt checks that an attempt is not confused with an earlier one that is also
// listed.
func TestReportedAttempt(t *testing.T) {
	machine := NewMachine("n-1", 0)
	machine.ReportedTasks = []wire.TaskStatus{
		{Task: "a/0", Attempt: 1, State: wire.TaskExited},
		{Task: "a/0", Attempt: 2, State: wire.TaskRunning},
	}
	if status, listed := machine.ReportedAttempt("a/0", 2); !listed || status.State != wire.TaskRunning {
		t.Errorf("attempt 2: got %+v, listed %v; want it listed as running", status, listed)
	}
	if _, listed := machine.ReportedAttempt("a/0", 3); listed {
		t.Error("attempt 3: got listed, want not listed")
	}
}

// TestUsage checks a machine's usage as tasks are added, and removed in a loop over its placements.
func TestUsage(t *testing.T) {
	machine := NewMachine("n-1", 0)
	job := newTestJob("a", 1, 3)
	for _, index := range []int{2, 0, 1} {
		machine.AddTask(NewTaskReference(job, index))
		machine.AdjustUsage(job, 1)
	}
	if machine.Used.CPUs != 3 || machine.UsedByLevel[job.Level].CPUs != 3 {
		t.Errorf("used by three tasks: got %+v, by level %+v; want 3 CPUs each", machine.Used, machine.UsedByLevel)
	}
	var visited []string
	for _, placement := range machine.Placements {
		visited = append(visited, placement.Name)
		machine.RemoveTask(job, placement.Index)
		machine.AdjustUsage(job, -1)
	}
	if want := []string{"a/0", "a/1", "a/2"}; !slices.Equal(visited, want) {
		t.Errorf("placements visited: got %q, want %q", visited, want)
	}
	if len(machine.Placements) != 0 || machine.Used != (topology.Resources{}) {
		t.Errorf("after all tasks were removed: got %d placements, used %+v; want none", len(machine.Placements), machine.Used)
	}
}

// TestRefreshPulls checks that only pulls that tasks wait for are kept: none of a cached image, and
// none for tasks that are being stopped.
func TestRefreshPulls(t *testing.T) {
	machine := NewMachine("n-1", 0)
	waiting, cached, stopping := newTestJob("a", 1, 1), newTestJob("b", 2, 1), newTestJob("c", 3, 1)
	for _, job := range []*Job{waiting, cached, stopping} {
		machine.AddTask(NewTaskReference(job, 0))
		machine.BeginPull(job.Image, job.ImageGB, time.Second)
	}
	if ahead := machine.PullsAhead("another image"); ahead != 3 {
		t.Errorf("pulls ahead: got %d, want 3", ahead)
	}
	machine.CachedImages = []Image{{Name: cached.Image, GB: 2}}
	stopping.TaskStates[0].Stop = &StopRequest{}
	machine.Refresh()
	if len(machine.Pulls) != 1 || machine.Pulls[0].Name != waiting.Image {
		t.Errorf("pulls: got %+v, want only that of %s", machine.Pulls, waiting.Image)
	}
	if machine.StoppingUse.CPUs != 1 {
		t.Errorf("used by tasks being stopped: got %+v, want 1 CPU", machine.StoppingUse)
	}
}
