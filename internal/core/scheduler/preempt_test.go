package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// preemptTypes is one machine type, of which the cloud has no more machines.
var preemptTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 4, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, Price: 4, Zones: nil},
}

// preemptCase is a fleet full of work, and a job for whose tasks there is no room.
type preemptCase struct {
	name        string
	machines    []string // name and zone
	running     []runningJob
	job         wire.Job
	withinQuota bool    // the job is within quota
	limit       float64 // GPUs that the job's team may use; 100 if 0
	change      func(h *harness, job *cluster.Job)
	want        []string // tasks that are stopped
	reserved    []string // machines that are reserved
}

func TestPreempt(t *testing.T) {
	array := func(id string, priority wire.Priority, gpus float64) wire.Job {
		return wire.Job{ID: id, Team: "vision", Shape: wire.ShapeArray, Priority: priority, Tasks: 1, GPUs: gpus, MemGB: 1}
	}
	gang := func(id string, priority wire.Priority, gpus float64, tasks int) wire.Job {
		j := array(id, priority, gpus)
		j.Shape, j.Tasks, j.OneZone = wire.ShapeGang, tasks, true
		return j
	}
	saving := func(j wire.Job) wire.Job {
		j.CheckpointIntervalS, j.CheckpointDurationS = 10, 2
		return j
	}
	otherTeam := func(j wire.Job) wire.Job {
		j.Team = "other"
		return j
	}
	idle := array("job-1", wire.PriorityIdle, 4)
	for _, tc := range []preemptCase{
		{
			name:     "a lower priority is preempted",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			want:     []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "the same priority is not",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4),
		},
		{
			name:     "a higher priority is not",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: array("job-1", wire.PriorityUrgent, 4), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
		},
		{
			name:     "within quota, the same priority of another team beyond its own, if it saves checkpoints",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: saving(otherTeam(idle)), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "not work that saves no checkpoints",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: otherTeam(idle), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "not work that is within quota itself",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: saving(otherTeam(idle)), on: []string{"n-1"}, withinQuota: true}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "the least loss first",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "the lowest priority, for the same loss",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 4), on: []string{"n-1"}, ranFor: 10 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityUrgent, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "no more than necessary",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 20 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside a lower priority, not the same one",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 2), on: []string{"n-1"}, ranFor: time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 100 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside a lower priority, not a higher one",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: saving(array("job-1", wire.PriorityUrgent, 2)), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 900 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside it, neither work without checkpoints nor of the same team nor within quota",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: otherTeam(array("job-1", wire.PriorityIdle, 1)), on: []string{"n-1"}},
				{Job: saving(array("job-2", wire.PriorityIdle, 1)), on: []string{"n-1"}},
				{Job: saving(otherTeam(array("job-3", wire.PriorityIdle, 1))), on: []string{"n-1"}, withinQuota: true},
				{Job: saving(otherTeam(array("job-4", wire.PriorityIdle, 1))), on: []string{"n-1"}},
			},
			job: array("job-9", wire.PriorityIdle, 1), withinQuota: true,
			want: []string{"job-4/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beyond quota, nothing of the same priority",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: saving(otherTeam(array("job-1", wire.PriorityNormal, 2))), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 100 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "a gang gets all of its room in one zone",
			machines: []string{"n-1 a", "n-2 b", "n-3 b"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}},
				{Job: array("job-3", wire.PriorityIdle, 4), on: []string{"n-3"}},
			},
			job:  gang("job-9", wire.PriorityNormal, 4, 2),
			want: []string{"job-2/0", "job-3/0"}, reserved: []string{"n-2", "n-3"},
		},
		{
			name:     "or nothing is stopped",
			machines: []string{"n-1 a", "n-2 b"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}},
			},
			job: gang("job-9", wire.PriorityNormal, 4, 2),
		},
		{
			name:     "a gang stops as a whole",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: gang("job-1", wire.PriorityIdle, 4, 2), on: []string{"n-1", "n-2"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			want:     []string{"job-1/0", "job-1/1"}, reserved: []string{"n-1"},
		},
		{
			name:     "not beyond the team's limit",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: otherTeam(idle), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			change:   func(h *harness, job *cluster.Job) { h.deployment.Teams[0].GPUsMax = 3 },
		},
		{
			name:     "not on a machine of another zone than the job's",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job: func() wire.Job {
				j := array("job-9", wire.PriorityNormal, 4)
				j.Zone = "b"
				return j
			}(),
		},
		{
			name:     "not again while machines are reserved",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}},
			},
			job: array("job-9", wire.PriorityNormal, 4),
			change: func(h *harness, job *cluster.Job) {
				h.reserve(job, []*cluster.Machine{h.state.Machines["n-1"]}, 10)
			},
			reserved: []string{"n-1"},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc *preemptCase) run(t *testing.T) {
	h := newHarness(t, preemptTypes, []config.Team{{Name: "vision", GPUsMax: cmp.Or(tc.limit, 100)}, {Name: "other", GPUsMax: 100}})
	for _, line := range tc.machines {
		name, zone := line[:3], line[4:]
		h.machines = append(h.machines, h.addMachine(name, "g4", zone))
	}
	running := h.addRunning(tc.running)
	job := cluster.NewJob(records.Open{Job: tc.job}, 2)
	if tc.change != nil {
		tc.change(h, job)
	}
	candidate := candidateOf(job)
	candidate.WithinQuota = tc.withinQuota
	h.preemptFor(candidate, h.usage(), anyPullTime)
	if stopped := stoppedTasks(running); !slices.Equal(stopped, tc.want) {
		t.Errorf("stopped %q, want %q", stopped, tc.want)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved %q, want %q", reserved, tc.reserved)
	}
}
