package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// defragmentationCase is a fleet whose free capacity is fragmented, and a gang that does not fit.
type defragmentationCase struct {
	name     string
	machines []cachedMachine
	running  []runningJob
	job      wire.Job
	waited   time.Duration // three minutes if 0
	offered  bool          // the cloud offers machines
	limit    float64       // GPUs that the gang's team may use; 100 if 0
	want     []string      // tasks that are moved or stopped
	reserved []string      // machines reserved for the gang
}

// TestDefragmentForGang guards against a gang that needs whole machines and never starts, because
// replicas are spread over all machines that the cloud has (TestOneType in package sim, seed 474).
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
	longRun := 60 * time.Second
	movable := func(id, on string) runningJob {
		return runningJob{Job: service(id, 1, 1), machines: []string{on}, ranFor: longRun}
	}
	justStarted := func(id, on string) runningJob { return runningJob{Job: service(id, 1, 1), machines: []string{on}} }
	imageX := []string{"x"}
	fourMachines := []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "b", imageX}, {"n-4", "b", imageX}}
	oneReplicaEach := []runningJob{movable("job-1", "n-1"), movable("job-2", "n-2"), movable("job-3", "n-3"), movable("job-4", "n-4")}
	for _, tc := range []defragmentationCase{
		{
			name: "replicas move out of one zone", machines: fourMachines, running: oneReplicaEach, job: gang,
			want: []string{"job-1/0", "job-2/0"}, reserved: []string{"n-1", "n-2"},
		},
		{
			name: "the zone where the fewest replicas have to move", machines: fourMachines, job: gang,
			running: []runningJob{movable("job-1", "n-1"), movable("job-2", "n-2"), movable("job-3", "n-3")},
			want:    []string{"job-3/0"}, reserved: []string{"n-3", "n-4"},
		},
		{name: "no moves before the start is overdue", machines: fourMachines, running: oneReplicaEach, job: gang, waited: time.Minute},
		{name: "no moves while machines can be provisioned", machines: fourMachines, running: oneReplicaEach, job: gang, offered: true},
		{name: "no moves if the team's limit does not allow the gang", machines: fourMachines, running: oneReplicaEach, job: gang, limit: 7},
		{
			name: "replicas that have just started do not move", machines: fourMachines, job: gang,
			running: []runningJob{justStarted("job-1", "n-1"), justStarted("job-3", "n-3")},
		},
		{
			name: "no moves to a machine without the image", job: gang,
			machines: []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "b", nil}, {"n-4", "b", nil}},
			running:  []runningJob{movable("job-1", "n-1"), movable("job-2", "n-2"), justStarted("job-3", "n-3")},
		},
		{
			name: "no moves to a machine that is freed for the gang", job: gang, machines: fourMachines[:2],
			running: []runningJob{movable("job-1", "n-1"), movable("job-2", "n-2")},
		},
		{
			name: "no moves if only one task of the gang would fit", job: gang,
			machines: append(slices.Clone(fourMachines[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{movable("job-1", "n-1"), justStarted("job-2", "n-2"), justStarted("job-3", "n-5")},
		},
		{
			name: "lower priorities are preempted in addition to moves", job: gang, machines: fourMachines,
			running: []runningJob{movable("job-1", "n-1"), justStarted("job-3", "n-3"), justStarted("job-4", "n-4"), {Job: idle, machines: []string{"n-2"}}},
			want:    []string{"job-1/0", "job-5/0"}, reserved: []string{"n-1", "n-2"},
		},
		{
			name: "no more than maxMovesPerSlot for one task", job: with(gang, func(j *wire.Job) { j.Tasks, j.GPUs = 1, 8 }),
			machines: []cachedMachine{{"n-1", "a", imageX}, {"n-2", "a", imageX}, {"n-3", "a", imageX}, {"n-4", "a", imageX}, {"n-5", "a", imageX}, {"n-6", "a", imageX}},
			running: []runningJob{
				movable("job-1", "n-1"), movable("job-2", "n-1"), movable("job-3", "n-1"), movable("job-4", "n-1"), movable("job-5", "n-1"),
				{Job: service("job-6", 4, 5), machines: []string{"n-2", "n-3", "n-4", "n-5", "n-6"}},
			},
		},
		{
			name: "a machine takes the replicas of one job only", job: gang,
			machines: append(slices.Clone(fourMachines[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{movable("job-1", "n-1"), movable("job-2", "n-2"), justStarted("job-3", "n-5")},
		},
		{
			name: "a machine takes only as many replicas of a job as fit", job: gang,
			machines: append(slices.Clone(fourMachines[:2]), cachedMachine{"n-5", "c", imageX}),
			running:  []runningJob{{Job: service("job-1", 2, 2), machines: []string{"n-1", "n-2"}, ranFor: longRun}, justStarted("job-3", "n-5")},
		},
		{
			name: "at most one replica of a spread job moves to another zone", job: gang,
			machines: append(slices.Clone(fourMachines[:2]), cachedMachine{"n-5", "c", imageX}),
			running: []runningJob{
				{Job: with(service("job-1", 1, 3), func(j *wire.Job) { j.SpreadZones = true }), machines: []string{"n-1", "n-2", "n-5"}, ranFor: longRun},
			},
		},
		{
			name: "other gangs are not moved", job: gang, machines: fourMachines,
			running: []runningJob{
				{Job: with(gang, func(j *wire.Job) { j.ID, j.Team, j.GPUs, j.Priority = "job-7", "desk", 1, wire.PriorityCritical }), machines: []string{"n-1", "n-3"}, ranFor: longRun},
				justStarted("job-2", "n-2"),
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
		t.Errorf("moved or stopped tasks: got %q, want %q", stopped, tc.want)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved machines: got %q, want %q", reserved, tc.reserved)
	}
}
