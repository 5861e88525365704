package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// defragmentationCase is a fleet with fragmented room for a gang.
type defragmentationCase struct {
	name     string
	machines []cachedMachine
	running  []runningJob
	job      wire.Job
	waited   time.Duration // three minutes if 0
	offered  bool          // the cloud has machines
	limit    float64       // GPUs that the gang's team may use; 100 if 0
	want     []string      // tasks that move or stop
	reserved []string      // machines reserved for the gang
}

// A gang of whole machines never started: replicas were spread over all machines that the
// cloud had (TestOneType in package sim, seed 474).
func TestDefragmentForGang(t *testing.T) {
	service := func(id string, gpus float64, tasks int) wire.Job {
		return wire.Job{ID: id, Team: "desk", Class: "chat", Shape: wire.ShapeService, Priority: wire.PriorityCritical, Tasks: tasks, GPUs: gpus, MemGB: 1, Image: "x", ImageGB: 1}
	}
	with := func(j wire.Job, change func(*wire.Job)) wire.Job {
		change(&j)
		return j
	}
	gang := wire.Job{ID: "job-9", Team: "vision", Class: "train", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 2, GPUs: 4, MemGB: 1, OneZone: true, Image: "g", ImageGB: 1}
	idle := wire.Job{ID: "job-5", Team: "desk", Class: "sweep", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 1, GPUs: 1, MemGB: 1}
	settled := 60 * time.Second
	one := func(id, on string) runningJob {
		return runningJob{Job: service(id, 1, 1), on: []string{on}, ranFor: settled}
	}
	fixed := func(id, on string) runningJob { return runningJob{Job: service(id, 1, 1), on: []string{on}} }
	imageX := []string{"x"}
	four := []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "b", imageX}, {"n-4", "b", imageX}}
	scattered := []runningJob{one("job-1", "n-1"), one("job-2", "n-2"), one("job-3", "n-3"), one("job-4", "n-4")}
	for _, tc := range []defragmentationCase{
		{
			name: "replicas of one zone move", machines: four, running: scattered, job: gang,
			want: []string{"job-1/0", "job-2/0"}, reserved: []string{"n-1", "n-2"},
		},
		{
			name: "in the zone where the fewest have to", machines: four, job: gang,
			running: []runningJob{one("job-1", "n-1"), one("job-2", "n-2"), one("job-3", "n-3")},
			want:    []string{"job-3/0"}, reserved: []string{"n-3", "n-4"},
		},
		{name: "not before it has waited long", machines: four, running: scattered, job: gang, waited: time.Minute},
		{name: "not while machines can be provisioned", machines: four, running: scattered, job: gang, offered: true},
		{name: "not at the team's limit", machines: four, running: scattered, job: gang, limit: 7},
		{
			name: "not a replica that has just started", machines: four, job: gang,
			running: []runningJob{fixed("job-1", "n-1"), fixed("job-3", "n-3")},
		},
		{
			name: "not to a machine without the image", job: gang,
			machines: []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "b", nil}, {"n-4", "b", nil}},
			running:  []runningJob{one("job-1", "n-1"), one("job-2", "n-2"), fixed("job-3", "n-3")},
		},
		{
			name: "not to a machine that becomes free for the gang", job: gang, machines: four[:2],
			running: []runningJob{one("job-1", "n-1"), one("job-2", "n-2")},
		},
		{
			name: "nothing where only one task would find room", job: gang,
			machines: append(slices.Clone(four[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{one("job-1", "n-1"), fixed("job-2", "n-2"), fixed("job-3", "n-5")},
		},
		{
			name: "lower priorities are preempted beside them", job: gang, machines: four,
			running: []runningJob{one("job-1", "n-1"), fixed("job-3", "n-3"), fixed("job-4", "n-4"), {Job: idle, on: []string{"n-2"}}},
			want:    []string{"job-1/0", "job-5/0"}, reserved: []string{"n-1", "n-2"},
		},
		{
			name: "no more than maxMovesPerSlot for one task", job: with(gang, func(j *wire.Job) { j.Tasks, j.GPUs = 1, 8 }),
			machines: []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "a", imageX}, {"n-4", "a", imageX}, {"n-5", "a", imageX}, {"n-6", "a", imageX}},
			running: []runningJob{
				one("job-1", "n-1"), one("job-2", "n-1"), one("job-3", "n-1"), one("job-4", "n-1"), one("job-5", "n-1"),
				{Job: service("job-6", 4, 5), on: []string{"n-2", "n-3", "n-4", "n-5", "n-6"}},
			},
		},
		{
			name: "a machine takes the replicas of one job", job: gang,
			machines: append(slices.Clone(four[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{one("job-1", "n-1"), one("job-2", "n-2"), fixed("job-3", "n-5")},
		},
		{
			name: "as many of it as it has room for", job: gang,
			machines: append(slices.Clone(four[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{{Job: service("job-1", 2, 2), on: []string{"n-1", "n-2"}, ranFor: settled}, fixed("job-3", "n-5")},
		},
		{
			name: "replicas of a spread job do not meet in another zone", job: gang,
			machines: append(slices.Clone(four[:2]), cachedMachine{"n-5", "c", imageX}),
			running: []runningJob{
				{Job: with(service("job-1", 1, 3), func(j *wire.Job) { j.SpreadZones = true }), on: []string{"n-1", "n-2", "n-5"}, ranFor: settled},
			},
		},
		{
			name: "other gangs stay", job: gang, machines: four,
			running: []runningJob{
				{Job: with(gang, func(j *wire.Job) { j.ID, j.Team, j.GPUs, j.Priority = "job-7", "desk", 1, wire.PriorityCritical }), on: []string{"n-1", "n-3"}, ranFor: settled},
				fixed("job-2", "n-2"),
			},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc *defragmentationCase) run(t *testing.T) {
	machineType := wire.MachineType{Name: "g", CPUs: 16, GPUs: max(4, tc.job.GPUs), MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4}
	if tc.offered {
		machineType.Zones = []string{"a", "b"}
	}
	h := newHarness(t, map[string]*wire.MachineType{"g": &machineType},
		[]config.Team{{Name: "vision", GPUsMax: cmp.Or(tc.limit, 100)}, {Name: "desk", GPUsMax: 100}})
	h.addCachedMachines(tc.machines, "g", 1)
	running := h.addRunning(tc.running)
	job := h.addJob(tc.job)
	job.WaitingSinceMS -= cmp.Or(tc.waited, 3*time.Minute).Milliseconds()
	h.place(job)
	if stopped := stoppedTasks(running); !slices.Equal(stopped, tc.want) {
		t.Errorf("%q move or stop, want %q", stopped, tc.want)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved %q, want %q", reserved, tc.reserved)
	}
}
