package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// slowPullTypes is one machine type that pulls the images of 40 GB for longer than the class chat
// may wait.
var slowPullTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4},
}

// rescheduleCase is a fleet of running replicas, and a job whose image only full machines have
// cached.
type rescheduleCase struct {
	name     string
	machines []cachedMachine
	running  []runningJob
	job      wire.Job
	limit    float64  // GPUs that the job's team may use; 100 if 0
	want     []string // replicas that are rescheduled
	targets  []string // their target machines, in the same order
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
	longRun := 60 * time.Second
	twoMachines := []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}}
	for _, tc := range []rescheduleCase{
		{
			name:     "a replica moves away from a machine with the image",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1),
			want:     []string{"job-1/0"}, targets: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "a replica that has just started does not move",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: 10 * time.Second}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "a replica whose image no other machine has does not move",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"z"}}},
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "a replica that fits on no other machine does not move",
			machines: twoMachines,
			running: []runningJob{
				{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "y", 1, 1), machines: []string{"n-2"}, ranFor: longRun},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "a replica of a higher priority does not move",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Priority = wire.PriorityUrgent }),
		},
		{
			name:     "a task of an array does not move",
			machines: twoMachines,
			running:  []runningJob{{Job: with(service("job-1", "y", 4, 1), func(j *wire.Job) { j.Shape = wire.ShapeArray }), machines: []string{"n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "nothing moves for a gang",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Shape = wire.ShapeGang }),
		},
		{
			name:     "nothing moves for a class without a wait objective",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      with(service("job-9", "x", 4, 1), func(j *wire.Job) { j.Class = "batch" }),
		},
		{
			name:     "nothing moves for a team at its limit",
			machines: twoMachines,
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1), limit: 4,
		},
		{
			name:     "two replicas of two jobs move to two machines if one is not enough",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 2, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "z", 2, 1), machines: []string{"n-1"}, ranFor: longRun},
			},
			job:  service("job-9", "x", 4, 1),
			want: []string{"job-1/0", "job-2/0"}, targets: []string{"n-2", "n-3"}, reserved: []string{"n-1"},
		},
		{
			name:     "one replica moves for each task, as long as replicas fit elsewhere",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-3", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-4", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-5", "w", 3, 1), machines: []string{"n-2"}, ranFor: longRun},
			},
			job:  service("job-9", "x", 1, 3),
			want: []string{"job-1/0"}, targets: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "a spread job's replica does not move to a zone where it does not fit",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "b", []string{"y"}}},
			running: []runningJob{
				{Job: with(service("job-1", "y", 4, 2), func(j *wire.Job) { j.SpreadZones = true }), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "y", 1, 1), machines: []string{"n-2"}, ranFor: longRun},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "nothing moves away from a machine without the image",
			machines: []cachedMachine{{"n-1", "a", []string{"y"}}, {"n-2", "a", []string{"y"}}},
			running:  []runningJob{{Job: service("job-1", "y", 4, 1), machines: []string{"n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "room for a spread job is made only up to the zone bound",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-3", "w", 2, 1), machines: []string{"n-1"}},
			},
			job:  with(service("job-9", "x", 1, 2), func(j *wire.Job) { j.SpreadZones = true }),
			want: []string{"job-1/0"}, targets: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name:     "a spread job's replica does not move to a zone at the zone bound",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "b", []string{"y"}}},
			running: []runningJob{
				{Job: with(service("job-1", "y", 2, 2), func(j *wire.Job) { j.SpreadZones = true }), machines: []string{"n-1", "n-2"}, ranFor: longRun},
				{Job: service("job-2", "w", 2, 1), machines: []string{"n-1"}},
			},
			job: service("job-9", "x", 2, 1),
		},
		{
			name:     "two replicas of one job do not both move, as they would count together against the zone bound",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"y"}}},
			running:  []runningJob{{Job: service("job-1", "y", 2, 2), machines: []string{"n-1", "n-1"}, ranFor: longRun}},
			job:      service("job-9", "x", 4, 1),
		},
		{
			name:     "two replicas do not move to the same machine, which may have capacity for only one",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y", "z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 2, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "z", 2, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-3", "w", 1, 1), machines: []string{"n-2"}},
			},
			job: service("job-9", "x", 4, 1),
		},
		{
			name:     "free capacity on a target is used only once",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y"}}, {"n-2", "a", []string{"x", "y"}}, {"n-3", "a", []string{"y"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 4, 2), machines: []string{"n-1", "n-2"}, ranFor: longRun},
			},
			job:  service("job-9", "x", 4, 2),
			want: []string{"job-1/0"}, targets: []string{"n-3"}, reserved: []string{"n-1"},
		},
		{
			name:     "nothing moves if two replicas are not enough",
			machines: []cachedMachine{{"n-1", "a", []string{"x", "y", "z"}}, {"n-2", "a", []string{"y"}}, {"n-3", "a", []string{"z"}}},
			running: []runningJob{
				{Job: service("job-1", "y", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-2", "z", 1, 1), machines: []string{"n-1"}, ranFor: longRun},
				{Job: service("job-3", "w", 2, 1), machines: []string{"n-1"}},
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
	var targets []string
	for _, r := range running {
		for i := range r.TaskStates {
			if r.TaskStates[i].Stop != nil {
				targets = append(targets, r.ReschedulingTargets[i].Name)
			}
		}
	}
	if stopped := stoppedTasks(running); !slices.Equal(stopped, tc.want) || !slices.Equal(targets, tc.targets) {
		t.Errorf("rescheduled replicas: got %q to %q, want %q to %q", stopped, targets, tc.want, tc.targets)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved machines: got %q, want %q", reserved, tc.reserved)
	}
}
