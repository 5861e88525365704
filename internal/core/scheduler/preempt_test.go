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

// preemptTypes is one machine type of which no more machines can be provisioned.
var preemptTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 4, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, Price: 4, Zones: nil},
}

// preemptCase is a fleet with running jobs, and a job whose tasks cannot be placed without
// preemption.
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
	withCheckpoints := func(j wire.Job) wire.Job {
		j.CheckpointIntervalS, j.CheckpointDurationS = 10, 2
		return j
	}
	ofOtherTeam := func(j wire.Job) wire.Job {
		j.Team = "other"
		return j
	}
	idle := array("job-1", wire.PriorityIdle, 4)
	for _, tc := range []preemptCase{
		{
			name:     "a lower priority is preempted",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			want:     []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "the same priority is not preempted",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4),
		},
		{
			name:     "a higher priority is not preempted",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: array("job-1", wire.PriorityUrgent, 4), machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
		},
		{
			name:     "a job within quota preempts the same priority of another team beyond its quota that saves checkpoints",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: withCheckpoints(ofOtherTeam(idle)), machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "a job within quota does not preempt the same priority without checkpoints",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: ofOtherTeam(idle), machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "a job within quota does not preempt the same priority that is within quota",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: withCheckpoints(ofOtherTeam(idle)), machines: []string{"n-1"}, withinQuota: true}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "the task with the least lost work is preempted",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), machines: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), machines: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "the lowest priority is preempted if the lost work is the same",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 4), machines: []string{"n-1"}, ranFor: 10 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), machines: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityUrgent, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "no more tasks are preempted than necessary",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 20 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "of two tasks, the lower priority is preempted and not the same one",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 2), machines: []string{"n-1"}, ranFor: time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 100 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "of two tasks, the lower priority is preempted and not a higher one",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: withCheckpoints(array("job-1", wire.PriorityUrgent, 2)), machines: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 900 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "a job within quota preempts only the task of another team beyond quota with checkpoints",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: ofOtherTeam(array("job-1", wire.PriorityIdle, 1)), machines: []string{"n-1"}},
				{Job: withCheckpoints(array("job-2", wire.PriorityIdle, 1)), machines: []string{"n-1"}},
				{Job: withCheckpoints(ofOtherTeam(array("job-3", wire.PriorityIdle, 1))), machines: []string{"n-1"}, withinQuota: true},
				{Job: withCheckpoints(ofOtherTeam(array("job-4", wire.PriorityIdle, 1))), machines: []string{"n-1"}},
			},
			job: array("job-9", wire.PriorityIdle, 1), withinQuota: true,
			want: []string{"job-4/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "a job beyond quota does not preempt the same priority",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: withCheckpoints(ofOtherTeam(array("job-1", wire.PriorityNormal, 2))), machines: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 2), machines: []string{"n-1"}, ranFor: 100 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "room for a gang is made in one zone",
			machines: []string{"n-1 a", "n-2 b", "n-3 b"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), machines: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), machines: []string{"n-2"}},
				{Job: array("job-3", wire.PriorityIdle, 4), machines: []string{"n-3"}},
			},
			job:  gang("job-9", wire.PriorityNormal, 4, 2),
			want: []string{"job-2/0", "job-3/0"}, reserved: []string{"n-2", "n-3"},
		},
		{
			name:     "nothing is preempted if no zone has room for all of a gang",
			machines: []string{"n-1 a", "n-2 b"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), machines: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), machines: []string{"n-2"}},
			},
			job: gang("job-9", wire.PriorityNormal, 4, 2),
		},
		{
			name:     "a gang is preempted as a whole",
			machines: []string{"n-1 a", "n-2 a"},
			running:  []runningJob{{Job: gang("job-1", wire.PriorityIdle, 4, 2), machines: []string{"n-1", "n-2"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			want:     []string{"job-1/0", "job-1/1"}, reserved: []string{"n-1"},
		},
		{
			name:     "nothing is preempted beyond the team's limit",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: ofOtherTeam(idle), machines: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			change:   func(h *harness, job *cluster.Job) { h.deployment.Teams[0].GPUsMax = 3 },
		},
		{
			name:     "nothing is preempted in another zone than the job's",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, machines: []string{"n-1"}}},
			job: func() wire.Job {
				j := array("job-9", wire.PriorityNormal, 4)
				j.Zone = "b"
				return j
			}(),
		},
		{
			name:     "nothing is preempted while machines are reserved for the job",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), machines: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), machines: []string{"n-2"}},
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
		t.Errorf("stopped tasks: got %q, want %q", stopped, tc.want)
	}
	if reserved := h.reservedMachines(job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("reserved machines: got %q, want %q", reserved, tc.reserved)
	}
}
