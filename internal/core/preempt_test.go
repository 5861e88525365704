package core

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

// preemptTypes is one type of machine; nothing is rented beside the machines there
// are.
var preemptTypes = map[string]*wire.MachineType{
	"g4": {Name: "g4", CPUs: 4, GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, Price: 4, Zones: nil},
}

// preemptCase is a fleet full of work, and a job that finds no room.
type preemptCase struct {
	name        string
	machines    []string // name and zone
	running     []runningJob
	job         wire.Job
	withinQuota bool    // the job is within its team's guarantee
	limit       float64 // GPUs that the job's team may use; 100 if 0
	change      func(l *leader, j *cluster.Job)
	want        []string // tasks that are stopped
	reserved    []string // machines that are kept
}

// runningJob is a job whose tasks run on machines, one each.
type runningJob struct {
	wire.Job
	on          []string
	withinQuota bool
	ranFor      time.Duration
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
			name:     "lower priority makes way",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
			want:     []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "the same priority does not",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: idle, on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4),
		},
		{
			name:     "higher priority does not",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: array("job-1", wire.PriorityUrgent, 4), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityNormal, 4),
		},
		{
			name:     "within a guarantee, the same priority of another team that saves and is beyond its own",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: saving(otherTeam(idle)), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
			want: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "not what loses its work",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: otherTeam(idle), on: []string{"n-1"}}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "not what is within a guarantee itself",
			machines: []string{"n-1 a"},
			running:  []runningJob{{Job: saving(otherTeam(idle)), on: []string{"n-1"}, withinQuota: true}},
			job:      array("job-9", wire.PriorityIdle, 4), withinQuota: true,
		},
		{
			name:     "the least loss",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}, ranFor: 100 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "the least priority, for as much loss",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 4), on: []string{"n-1"}, ranFor: 10 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityUrgent, 4),
			want: []string{"job-2/0"}, reserved: []string{"n-2"},
		},
		{
			name:     "no more than has to go",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 20 * time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 10 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside it, the same priority does not",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityNormal, 2), on: []string{"n-1"}, ranFor: time.Second},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 100 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside it, higher priority does not",
			machines: []string{"n-1 a"},
			running: []runningJob{
				{Job: saving(array("job-1", wire.PriorityUrgent, 2)), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 2), on: []string{"n-1"}, ranFor: 900 * time.Second},
			},
			job:  array("job-9", wire.PriorityNormal, 2),
			want: []string{"job-2/0"}, reserved: []string{"n-1"},
		},
		{
			name:     "beside it, neither what loses its work nor what the guarantee does not reach",
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
			name:     "beyond a guarantee, nothing of the same priority",
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
			name:     "or nobody is stopped",
			machines: []string{"n-1 a", "n-2 b"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}},
			},
			job: gang("job-9", wire.PriorityNormal, 4, 2),
		},
		{
			name:     "a gang is stopped as a whole",
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
			change:   func(l *leader, j *cluster.Job) { l.core.team("vision").GPUsMax = 3 },
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
			name:     "not again while room is being made",
			machines: []string{"n-1 a", "n-2 a"},
			running: []runningJob{
				{Job: array("job-1", wire.PriorityIdle, 4), on: []string{"n-1"}},
				{Job: array("job-2", wire.PriorityIdle, 4), on: []string{"n-2"}},
			},
			job: array("job-9", wire.PriorityNormal, 4),
			change: func(l *leader, j *cluster.Job) {
				l.reserve(j, []*cluster.Machine{l.Machines["n-1"]}, 10)
			},
			reserved: []string{"n-1"},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc *preemptCase) run(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUsMax: cmp.Or(tc.limit, 100)}, {Name: "other", GPUsMax: 100}}
	})
	harness.core.machineTypes = preemptTypes
	harness.core.now = 1000 * time.Second
	for _, line := range tc.machines {
		name, zone := line[:3], line[4:]
		leader.passes.machines = append(leader.passes.machines, idleMachine(leader, name, "g4", zone))
	}
	running := bindRunning(leader, tc.running)
	job := cluster.NewJob(records.Open{Job: tc.job}, 2)
	if tc.change != nil {
		tc.change(leader, job)
	}
	c := &candidate{job: job, withinQuota: tc.withinQuota, pending: job.UnplacedTasks(), preemptionPriority: job.Level}
	leader.preempt(c, leader.refreshUsage(), anyPullTime)
	if stopped := stoppedTasks(running); !slices.Equal(stopped, tc.want) {
		t.Errorf("stopped %q, want %q", stopped, tc.want)
	}
	if reserved := reservedMachines(leader, job); !slices.Equal(reserved, tc.reserved) {
		t.Errorf("kept %q, want %q", reserved, tc.reserved)
	}
}

// bindRunning has jobs run on the machines that they name.
func bindRunning(leader *leader, jobs []runningJob) []*cluster.Job {
	var running []*cluster.Job
	for _, r := range jobs {
		j := cluster.NewJob(records.Open{Job: r.Job}, 1)
		j.WithinQuota = r.withinQuota
		leader.writer.InitPlacementRecords(j)
		for i, name := range r.on {
			m := leader.Machines[name]
			j.TaskStates[i] = cluster.Task{Attempt: 1, Zone: m.Zone, Incarnation: 1, Observed: true, Persisted: true, StartRetransmitted: true, State: wire.TaskRunning, RunningSince: leader.core.now - r.ranFor}
			leader.place(j, i, m)
		}
		running = append(running, j)
	}
	return running
}

// stoppedTasks names the tasks that are stopped.
func stoppedTasks(jobs []*cluster.Job) []string {
	var stopped []string
	for _, j := range jobs {
		for i := range j.TaskStates {
			if j.TaskStates[i].Stop != nil {
				stopped = append(stopped, cluster.TaskName(j.ID, i))
			}
		}
	}
	return stopped
}

// ReservedMachines names the machines that are kept for a job.
func reservedMachines(l *leader, j *cluster.Job) []string {
	var reserved []string
	for _, m := range l.MachinesByName {
		if m.ReservedFor == j {
			reserved = append(reserved, m.Name)
		}
	}
	return reserved
}

// idleMachine adds a machine that reports and hears the leader.
func idleMachine(l *leader, name, typ, zone string) *cluster.Machine {
	m := l.machineNamed(name)
	l.describe(m, "", typ, zone, false)
	m.LastHeartbeat, m.FencingToken, m.Incarnation = l.core.now, l.leadership.Term, 1
	return m
}
