package core

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// The tests of package scheduler use a fake host. The cases below run the scheduler on a real
// leader, with its limits, offers, usage and stops.

// runningJob is a job whose tasks run on machines.
type runningJob struct {
	wire.Job
	on     []string // machines, by task
	ranFor time.Duration
}

// placementCase is a fleet that runs jobs, and a pending job that is to be placed.
type placementCase struct {
	name       string
	machines   map[string]string   // zone by machine
	images     map[string][]string // cached images by machine
	cpus       float64             // of each machine; 0 for 4
	offered    []string            // zones in which the cloud has machines
	limit      float64             // of team vision, in GPUs; 0 for 100
	sequential int                 // number of pulls that are evidence for sequential pulls
	pulls      map[string]string   // image being pulled by machine
	running    []runningJob
	job        wire.Job      // to be placed
	waited     time.Duration // by the job so far

	stopped  []string // tasks
	graceS   float64  // grace period of the stopped tasks
	to       []string // machines to which the stopped replicas move
	reserved []string // machines reserved for the job
	placed   []string // machines of the job's tasks
}

// TestLeaderPlacement runs a pass of the scheduler with a leader as its host and checks
// preemptions, moves, reservations and placements.
func TestLeaderPlacement(t *testing.T) {
	array := func(id, team string, priority wire.Priority, gpus float64) wire.Job {
		return wire.Job{ID: id, Team: team, Shape: wire.ShapeArray, Priority: priority, Tasks: 1, GPUs: gpus, MemGB: 1}
	}
	service := func(id, class, image string, gpus, imageGB float64) wire.Job {
		return wire.Job{ID: id, Team: "vision", Class: class, Shape: wire.ShapeService, Priority: wire.PriorityCritical, Tasks: 1, GPUs: gpus, MemGB: 1, Image: image, ImageGB: imageGB}
	}
	withCheckpoint := func(job wire.Job) wire.Job {
		job.CheckpointIntervalS, job.CheckpointDurationS = 10, 2
		return job
	}
	settled := 60 * time.Second
	one, two := map[string]string{"n-1": "a"}, map[string]string{"n-1": "a", "n-2": "a"}
	idle := array("job-1", "vision", wire.PriorityIdle, 4)
	idleGang := wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityIdle, Tasks: 2, GPUs: 4, MemGB: 1, OneZone: true}
	urgentGang := wire.Job{ID: "job-9", Team: "vision", Class: "train", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 2, GPUs: 4, MemGB: 1, OneZone: true, Image: "g", ImageGB: 1}
	var runningOnFour []runningJob
	for i, machine := range []string{"n-1", "n-2", "n-3", "n-4"} {
		runningOnFour = append(runningOnFour, runningJob{service(fmt.Sprintf("job-%d", i+1), "", "x", 1, 1), []string{machine}, settled})
	}
	four := map[string]string{"n-1": "a", "n-2": "a", "n-3": "b", "n-4": "b"}
	imageX := map[string][]string{"n-1": {"x"}, "n-2": {"x"}, "n-3": {"x"}, "n-4": {"x"}}
	for _, tc := range []placementCase{
		{
			name: "a task of lower priority is preempted", machines: one,
			running: []runningJob{{idle, []string{"n-1"}, 0}}, job: array("job-9", "vision", wire.PriorityNormal, 4),
			stopped: []string{"job-1/0"}, reserved: []string{"n-1"},
		},
		{
			name: "a preempted task gets a grace period for its checkpoint", machines: one,
			running: []runningJob{{withCheckpoint(idle), []string{"n-1"}, 0}}, job: array("job-9", "vision", wire.PriorityNormal, 4),
			stopped: []string{"job-1/0"}, graceS: 2, reserved: []string{"n-1"},
		},
		{
			name: "a gang stops as a whole", machines: two,
			running: []runningJob{{idleGang, []string{"n-1", "n-2"}, 0}}, job: array("job-9", "vision", wire.PriorityNormal, 4),
			stopped: []string{"job-1/0", "job-1/1"}, reserved: []string{"n-1"},
		},
		{
			name: "no preemption beyond the team's limit", machines: one, limit: 3,
			running: []runningJob{{array("job-1", "other", wire.PriorityIdle, 4), []string{"n-1"}, 0}}, job: array("job-9", "vision", wire.PriorityNormal, 4),
		},
		{
			name: "at the limit, the team's own task of lower priority is preempted even if a machine is idle", machines: two, limit: 4,
			running: []runningJob{{idle, []string{"n-1"}, 0}}, job: array("job-9", "vision", wire.PriorityNormal, 4),
			stopped: []string{"job-1/0"}, reserved: []string{"n-2"},
		},
		{
			name: "at the limit, a gang stops as a whole and frees all of its usage", limit: 5, machines: map[string]string{"n-1": "a", "n-2": "a", "n-3": "a"},
			running: []runningJob{
				{wire.Job{ID: "job-1", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityIdle, Tasks: 2, GPUs: 2, MemGB: 1}, []string{"n-1", "n-2"}, 0},
				{array("job-2", "vision", wire.PriorityIdle, 1), []string{"n-1"}, 900 * time.Second},
			},
			job:     array("job-9", "vision", wire.PriorityNormal, 4),
			stopped: []string{"job-1/0", "job-1/1"}, reserved: []string{"n-3"},
		},
		{
			name: "a replica moves away from the only machine with the pending job's image", machines: two, cpus: 16, images: map[string][]string{"n-1": {"x", "y"}, "n-2": {"y"}},
			running: []runningJob{{service("job-1", "chat", "y", 4, 40), []string{"n-1"}, settled}}, job: service("job-9", "chat", "x", 4, 40),
			stopped: []string{"job-1/0"}, to: []string{"n-2"}, reserved: []string{"n-1"},
		},
		{
			name: "no replica moves for a team at its limit", machines: two, cpus: 16, limit: 4, images: map[string][]string{"n-1": {"x", "y"}, "n-2": {"y"}},
			running: []runningJob{{service("job-1", "chat", "y", 4, 40), []string{"n-1"}, settled}}, job: service("job-9", "chat", "x", 4, 40),
		},
		{
			name: "replicas move out of one zone for a gang", machines: four, cpus: 16, images: imageX, running: runningOnFour, job: urgentGang, waited: 3 * time.Minute,
			stopped: []string{"job-1/0", "job-2/0"}, to: []string{"n-3", "n-4"}, reserved: []string{"n-1", "n-2"},
		},
		{
			name: "no replica moves for a gang while machines can be provisioned", machines: four, cpus: 16, images: imageX, offered: []string{"a", "b"}, running: runningOnFour, job: urgentGang, waited: 3 * time.Minute,
		},
		{
			name: "sequential pulls are spread over machines", machines: two, cpus: 16, sequential: 1, pulls: map[string]string{"n-1": "x"},
			running: []runningJob{{service("job-1", "chat", "x", 1, 20), []string{"n-1"}, 0}}, job: service("job-9", "chat", "y", 1, 20),
			placed: []string{"n-2"},
		},
		{
			name: "parallel pulls are not spread over machines", machines: two, cpus: 16, pulls: map[string]string{"n-1": "x"},
			running: []runningJob{{service("job-1", "chat", "x", 1, 20), []string{"n-1"}, 0}}, job: service("job-9", "chat", "y", 1, 20),
			placed: []string{"n-1"},
		},
	} {
		t.Run(tc.name, tc.run)
	}
}

// run sets up the case, runs a placement pass and checks its results.
func (tc *placementCase) run(t *testing.T) {
	_, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUsMax: cmp.Or(tc.limit, 100)}, {Name: "other", GPUsMax: 100}}
		s.Deployment.Objectives = []config.Objective{{Kind: objectiveWait, Class: "chat", WithinS: 10, Share: 0.9}}
	})
	leader.core.machineTypes = map[string]*wire.MachineType{
		"g4": {Name: "g4", CPUs: cmp.Or(tc.cpus, 4), GPUs: 4, MemGB: 64, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 4, Zones: tc.offered},
	}
	leader.core.now = 1000 * time.Second
	leader.pullEvidence.sequential = tc.sequential
	tc.addMachines(leader)
	running := tc.addRunning(leader)
	job := cluster.NewJob(records.Open{Job: tc.job}, 9)
	job.Loaded, job.WaitingSinceMS = true, leader.core.wallClockMS-tc.waited.Milliseconds()
	leader.writer.InitPlacementRecords(job)
	leader.Jobs[job.ID], leader.JobsBySubmission = job, []*cluster.Job{job}

	leader.scheduler.Place(leader.scheduler.Candidates(), leader.refreshUsage())

	tc.checkStops(t, running)
	var reserved, placed []string
	for _, m := range leader.MachinesByName {
		if m.ReservedFor == job {
			reserved = append(reserved, m.Name)
		}
	}
	for i := range job.TaskStates {
		if m := job.TaskStates[i].Machine; m != nil {
			placed = append(placed, m.Name)
		}
	}
	if !slices.Equal(reserved, tc.reserved) || !slices.Equal(placed, tc.placed) {
		t.Errorf("got machines %q reserved and tasks on %q, want %q and %q", reserved, placed, tc.reserved, tc.placed)
	}
}

// addMachines adds the case's machines.
func (tc *placementCase) addMachines(leader *leader) {
	for _, name := range sortedKeys(tc.machines) {
		m := idleMachine(leader, name, "g4")
		leader.describe(m, "", "g4", tc.machines[name], false)
		for _, image := range tc.images[name] {
			leader.recordImageUse(m, image, tc.job.ImageGB)
		}
		if image := tc.pulls[name]; image != "" {
			m.BeginPull(image, tc.job.ImageGB, leader.core.now)
		}
	}
}

// addRunning places the running jobs of the case and returns them.
func (tc *placementCase) addRunning(leader *leader) []*cluster.Job {
	var running []*cluster.Job
	for _, r := range tc.running {
		job := cluster.NewJob(records.Open{Job: r.Job}, 1)
		leader.writer.InitPlacementRecords(job)
		for i, name := range r.on {
			m := leader.Machines[name]
			job.TaskStates[i] = cluster.Task{
				Attempt: 1, Zone: m.Zone, Incarnation: 1, Observed: true, Persisted: true, StartSent: true,
				State: wire.TaskRunning, RunningSince: leader.core.now - r.ranFor,
			}
			if tc.pulls[name] != "" {
				job.TaskStates[i].State = wire.TaskPulling
			}
			leader.place(job, i, m)
		}
		running = append(running, job)
	}
	return running
}

// checkStops checks which tasks are stopped, with which grace period, and to which machines they
// move.
func (tc *placementCase) checkStops(t *testing.T, running []*cluster.Job) {
	t.Helper()
	var stopped, to []string
	for _, job := range running {
		for i := range job.TaskStates {
			stop := job.TaskStates[i].Stop
			if stop == nil {
				continue
			}
			stopped = append(stopped, cluster.TaskName(job.ID, i))
			if stop.GracePeriodS != tc.graceS {
				t.Errorf("grace period of task %s: got %v s, want %v s", cluster.TaskName(job.ID, i), stop.GracePeriodS, tc.graceS)
			}
			if target := job.ReschedulingTargets[i]; target != nil {
				to = append(to, target.Name)
			}
		}
	}
	if !slices.Equal(stopped, tc.stopped) || !slices.Equal(to, tc.to) {
		t.Errorf("got tasks %q stopped and moved to %q, want %q and %q", stopped, to, tc.stopped, tc.to)
	}
}
