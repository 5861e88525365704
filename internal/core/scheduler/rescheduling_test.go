package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// slowPullTypes pulls an image for longer than the class chat may wait.
var slowPullTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4},
}

// rescheduleCase is a fleet of replicas, and a job whose image only full machines hold.
type rescheduleCase struct {
	name     string
	machines []cachedMachine
	running  []runningJob
	job      wire.Job
	limit    float64 // GPUs that the job's team may use; 100 if 0
	want     []string
	to       []string // where they go, in the same order
	reserved []string // machines reserved for the job
}

func TestReschedule(t *testing.T) {
	service := func(id, image string, gpus float64, tasks int) wire.Job {
		return wire.Job{ID: id, Team: "vision", Class: "chat", Shape: wire.ShapeService, Priority: wire.PriorityCritical, Tasks: tasks, GPUs: gpus, MemGB: 1, Image: image, ImageGB: 40}
	}
	with := func(j wire.Job, change func(*wire.Job)) wire.Job {
		change(&j)
		return j
	}
	settled := 60 * time.Second
	two := []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}}
	for _, tc := range []rescheduleCase{
		{
			name:     "a replica makes room where the image is",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1),
			want:     []string{"job-1/0"}, to: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "not one that has just started",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: 10 * time.Second}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "not one whose image no other machine holds",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"z"}}},
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "not one that finds no room elsewhere",
			machines: two,
			running: []runningJob{
				{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "y", 1, 1), on: []string{"n-2"}, ranFor: settled},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "not one of a higher priority",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Priority = wire.PriorityUrgent }),
		},
		{
			name:     "not a task that runs to completion",
			machines: two,
			running:  []runningJob{{Job: with(service("job-1", "y", 4, 1), func(j *wire.Job) { j.Shape = wire.ShapeArray }), on: []string{"n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "not for a gang",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Shape = wire.ShapeGang }),
		},
		{
			name:     "not for a class that may wait for the pull",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Class = "batch" }),
		},
		{
			name:     "not for a team at its limit",
			machines: two,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1), limit: 4,
		},
		{
			name:     "two where one is not enough, of two jobs and to two machines",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 2, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "z", 2, 1), on: []string{"n-1"}, ranFor: settled},
			},
			job:  service("job-9", "x", 4, 1),
			want: []string{"job-1/0", "job-2/0"}, to: []string{"n-2", "n-3"}, reserved: []string{"n-1"},
		},
		{
			name:     "one for each task, while there is room for them",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-3", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-4", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-5", "w", 3, 1), on: []string{"n-2"}, ranFor: settled},
			},
			job:  service("job-9", "x", 1, 3),
			want: []string{"job-1/0"}, to: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "not in a zone that has its share of a spread job",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "b", []string{"y"}}},
			running: []runningJob{
				{Job: with(service("job-1", "y", 4, 2), func(j *wire.Job) { j.SpreadZones = true }), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "y", 1, 1), on: []string{"n-2"}, ranFor: settled},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "not on a machine that does not hold the image",
			machines: []cachedMachine{{"n-1", "a", []string{"y"}}, {"n-2", "a", []string{"y"}}},
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), on: []string{"n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "for a spread job no more than its share of a zone",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-3", "w", 2, 1), on: []string{"n-1"}},
			},
			job:  with(service("job-9", "x", 1, 2), func(j *wire.Job) { j.SpreadZones = true }),
			want: []string{"job-1/0"}, to: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "a spread job's replica does not move to a zone that has its share",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "b", []string{"y"}}},
			running: []runningJob{
				{Job: with(service("job-1", "y", 2, 2), func(j *wire.Job) { j.SpreadZones = true }), on: []string{"n-1", "n-2"}, ranFor: settled},
				{Job: service("job-2", "w", 2, 1), on: []string{"n-1"}},
			},
			job: service("job-9", "x", 2, 1),
		},
		{
			name:     "not two replicas of one job, whose zones would have to be counted together",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"y"}}},
			running:  []runningJob{{Job: service("job-1", "y", 2, 2), on: []string{"n-1", "n-1"}, ranFor: settled}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "not two replicas to one machine, which may hold one of them only",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y", "z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 2, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "z", 2, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-3", "w", 1, 1), on: []string{"n-2"}},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "the room that a replica moves to is taken once",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"x", "y"}}, {"n-3", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 4, 2), on: []string{"n-1", "n-2"}, ranFor: settled},
			},
			job:  service("job-9", "x", 4, 2),
			want: []string{"job-1/0"}, to: []string{"n-3"}, reserved: []string{"n-1"},
		},
		{
			name:     "nothing where two are not enough",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-2", "z", 1, 1), on: []string{"n-1"}, ranFor: settled},
				{Job: service("job-3", "w", 2, 1), on: []string{"n-1"}},
			},
			job: service("job-9", "x", 4, 1),
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc *rescheduleCase) run(t *testing.T) {
	h := newHarness(t, slowPullTypes, []config.Team{{Name: "vision", GPUsMax: cmp.Or(tc.limit, 100)}},
		config.Objective{Kind: ObjectiveWait, Class: "chat", WithinS: 10, Share: 0.9})
	h.addCachedMachines(tc.machines, "g4", 40)
	running := h.addRunning(tc.running)
	job := h.addJob(tc.job)
	h.place(job)
	var to []string
	for _, r := range running {
		for i := range r.TaskStates {
			if r.TaskStates[i].Stop != nil {
				to = append(to, r.ReschedulingTargets[i].Name)
			}
		}
	}
	if stopped := stoppedTasks(running); !slices.Equal(stopped, tc.want) || !slices.Equal(to, tc.to) {
		t.Errorf("%q move to %q, want %q to %q", stopped, to, tc.want, tc.to)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved %q, want %q", reserved, tc.reserved)
	}
}
