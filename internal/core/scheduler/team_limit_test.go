package scheduler

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPreemptWithinLimit guards against a team at its limit whose critical services wait for minutes
// while its own idle tasks run, because no task of a team was preempted for the team's own jobs.
func TestPreemptWithinLimit(t *testing.T) {
	array := func(id, team string, priority wire.Priority, gpus float64) wire.Job {
		return wire.Job{ID: id, Team: team, Shape: wire.ShapeArray, Priority: priority, Tasks: 1, GPUs: gpus, MemGB: 1}
	}
	idle := array("job-1", "vision", wire.PriorityIdle, 4)
	for _, tc := range []preemptCase{
		{
			name:     "the team's lower priority is preempted even if a machine is idle",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: idle, machines: []string{"n-1"}}},
			job:      array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "the team's same priority is not preempted",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: idle, machines: []string{"n-1"}}},
			job:      array("job-9", "vision", wire.PriorityIdle, 4), limit: 4, withinQuota: true,
		},
		{
			name:     "another team's lower priority is not preempted",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityNormal, 4), machines: []string{"n-1"}},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), machines: []string{"n-2"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
		},
		{
			name:     "another team's cheaper task is not preempted for the machine",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: idle, machines: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), machines: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "no more tasks than the limit requires, the least lost work first",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 10 * time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 4,
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "resources of tasks that are already being stopped count as free within the limit",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), machines: []string{"n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), machines: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 4,
			change: func(h *harness, job *cluster.Job) {
				harnessHost{h}.Preempt(h.state.Machines["n-2"].Placements[0], 1)
			},
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "nothing is preempted if the job fits on no machine",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), machines: []string{"n-1"}},
				{Job: array("job-2", "other", wire.PriorityNormal, 2), machines: []string{"n-1"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
		},
		{
			name:     "nothing is preempted if all victims of the team are not enough",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityNormal, 2), machines: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), machines: []string{"n-1"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 3,
		},
		{
			name:     "tasks that do not count towards the limit are not preempted",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 0), machines: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 4), machines: []string{"n-1"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "a gang is preempted as a whole, and all of its tasks count",
			machines: []string{"n-1 a", "n-2 a", "n-3 a"},
			running: []runningJob{
				{Job: wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityIdle, Tasks: 2, GPUs: 2, MemGB: 1}, machines: []string{"n-1", "n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), machines: []string{"n-1"}, ranFor: 900 * time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 5,
			want: []string{"job-1/0", "job-1/1"}, reserved: []string{"n-3"},
		},
		{
			name:     "another team's cheaper task is not preempted for the limit",
			machines: []string{"n-1 a", "n-2 a", "n-3 a"},
			running: []runningJob{
				{Job: idle, machines: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), machines: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-3"},
		},
		{
			name:     "a victim on the job's machine counts towards the limit once",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 1), machines: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), machines: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-3", "vision", wire.PriorityIdle, 1), machines: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-4", "vision", wire.PriorityIdle, 1), machines: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-5", "other", wire.PriorityUrgent, 1), machines: []string{"n-2"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0", "job-2/0", "job-3/0", "job-4/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "tasks that are already being stopped are not counted twice",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), machines: []string{"n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), machines: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			change: func(h *harness, job *cluster.Job) {
				harnessHost{h}.Preempt(h.state.Machines["n-2"].Placements[0], 1)
			},
			want: []string{"job-1/0", "job-2/0"}, reserved: []string{"n-1"},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

// TestLimitIsReservedInTheSamePass guards against a gang that never starts: it needs all of its
// team's limit and preempts less urgent tasks of the team, but in the same pass another job of a
// lower priority takes the rest of the limit (seed 701 of TestRegions, in one region).
func TestLimitIsReservedInTheSamePass(t *testing.T) {
	h := newHarness(t, preemptTypes, []config.Team{{Name: "vision", GPUsMax: 4}})
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		h.addMachine(name, "g4", "a")
	}
	running := h.addRunning([]runningJob{{Job: wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 1, GPUs: 2, MemGB: 1}, machines: []string{"n-1"}}})
	gang := h.addJob(wire.Job{ID: "job-2", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityCritical, Tasks: 2, GPUs: 2, MemGB: 1})
	lower := h.addJob(wire.Job{ID: "job-3", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, GPUs: 2, MemGB: 1})
	p := h.newPass(h.usage())
	for _, job := range []*cluster.Job{gang, lower} {
		p.placeCandidate(candidateOf(job))
	}
	if stopped := stoppedTasks(running); len(stopped) != 1 {
		t.Errorf("stopped tasks: got %q, want job-1/0", stopped)
	}
	if lower.TasksPlaced != 0 {
		t.Error("a task of the lower-priority job was placed, want none while the limit is reserved for the gang")
	}
}
