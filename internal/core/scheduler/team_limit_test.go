package scheduler

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// A team at its limit whose critical services waited for minutes while its own
// idle work ran: nothing of a team was stopped for the team's own work.
func TestPreemptWithinLimit(t *testing.T) {
	array := func(id, team string, priority wire.Priority, gpus float64) wire.Job {
		return wire.Job{ID: id, Team: team, Shape: wire.ShapeArray, Priority: priority, Tasks: 1, GPUs: gpus, MemGB: 1}
	}
	idle := array("job-1", "vision", wire.PriorityIdle, 4)
	for _, tc := range []preemptCase{
		{
			name:     "its own lower priority is preempted though a machine is idle",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "its own of the same priority is not",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", "vision", wire.PriorityIdle, 4), limit: 4, withinQuota: true,
		},
		{
			name:     "another team's is not",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityNormal, 4), on: []string{"n-1"}},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), on: []string{"n-2"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
		},
		{
			name:     "another team's is not either where the job's own makes room in the limit",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: idle, on: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "no more than the limit asks, the least loss first",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 10 * time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 4,
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "work that is being stopped already counts",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), on: []string{"n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), on: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 4,
			change: func(h *harness, job *cluster.Job) {
				harnessHost{h}.Preempt(h.state.Machines["n-2"].Placements[0], 1)
			},
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "nothing is stopped where no machine holds the job",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), on: []string{"n-1"}},
				{Job: array("job-2", "other", wire.PriorityNormal, 2), on: []string{"n-1"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
		},
		{
			name:     "nothing is stopped where all of the team's would not be enough",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityNormal, 2), on: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), on: []string{"n-1"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 2), limit: 3,
		},
		{
			name:     "work that does not count towards the limit is left alone",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 0), on: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 4), on: []string{"n-1"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "a gang stops as a whole, and all of it counts",
			machines: []string{"n-1 a", "n-2 a", "n-3 a"},
			running: []runningJob{
				{Job: wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityIdle, Tasks: 2, GPUs: 2, MemGB: 1}, on: []string{"n-1", "n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), on: []string{"n-1"}, ranFor: 900 * time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 5,
			want: []string{"job-1/0", "job-1/1"}, reserved: []string{"n-3"},
		},
		{
			name:     "another team's task is no help in the limit",
			machines: []string{"n-1 a", "n-2 a", "n-3 a"},
			running: []runningJob{
				{Job: idle, on: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", "other", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: time.Second},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0"}, reserved: []string{"n-3"},
		},
		{
			name:     "a victim that makes the room counts towards the limit once",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 1), on: []string{"n-1"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 1), on: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-3", "vision", wire.PriorityIdle, 1), on: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-4", "vision", wire.PriorityIdle, 1), on: []string{"n-2"}, ranFor: time.Second},
				{Job: array("job-5", "other", wire.PriorityUrgent, 1), on: []string{"n-2"}},
			},
			job: array("job-9", "vision", wire.PriorityNormal, 4), limit: 4,
			want: []string{"job-1/0", "job-2/0", "job-3/0", "job-4/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "work that is being stopped is not counted twice",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", "vision", wire.PriorityIdle, 2), on: []string{"n-2"}},
				{Job: array("job-2", "vision", wire.PriorityIdle, 2), on: []string{"n-2"}, ranFor: time.Second},
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

// A gang that needs all of its team's limit preempts less urgent work of the team. In the same pass
// other work of a lower priority took what was left of the limit, and the gang never started: found
// in a region of seed 701 of TestRegions.
func TestLimitIsReservedInTheSamePass(t *testing.T) {
	h := newHarness(t, preemptTypes, []config.Team{{Name: "vision", GPUsMax: 4}})
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		h.addMachine(name, "g4", "a")
	}
	running := h.addRunning([]runningJob{{Job: wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 1, GPUs: 2, MemGB: 1}, on: []string{"n-1"}}})
	gang := h.addJob(wire.Job{ID: "job-2", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityCritical, Tasks: 2, GPUs: 2, MemGB: 1})
	lower := h.addJob(wire.Job{ID: "job-3", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, GPUs: 2, MemGB: 1})
	p := h.newPass(h.usage())
	for _, job := range []*cluster.Job{gang, lower} {
		p.placeCandidate(candidateOf(job))
	}
	if stopped := stoppedTasks(running); len(stopped) != 1 {
		t.Errorf("stopped %q, want job-1/0", stopped)
	}
	if lower.TasksPlaced != 0 {
		t.Error("work of a lower priority took what was reserved for the gang")
	}
}
