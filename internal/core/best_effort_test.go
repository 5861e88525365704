package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/wire"
)

// newBestEffortLeader leads a fleet of g4 machines for a team with a guarantee of GPUs and a
// best-effort team.
func newBestEffortLeader(t *testing.T) (*harness, *leader) {
	t.Helper()
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Teams = []config.Team{{Name: "vision", GPUs: 4, GPUsMax: 100}, {Name: "lab"}}
		s.Deployment.Objectives = []config.Objective{
			{Kind: scheduler.ObjectiveFinished, Class: "sweep", WithinS: 300, Share: 0.9},
			{Kind: objectiveWait, Class: "train", WithinS: 5, Share: 0.9},
			{Kind: objectiveGuarantee, WithinS: 10, Share: 0.9},
		}
	})
	harness.core.machineTypes = pullTypes
	harness.core.now = 1000 * time.Second
	return harness, leader
}

// addArray adds an array to the open jobs.
func addArray(leader *leader, id, team, class string, tasks int, gpus float64) *cluster.Job {
	job := cluster.NewJob(records.Open{Job: wire.Job{
		ID: id, Team: team, Class: class, Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 1, GPUs: gpus, MemGB: 1, EstimatedRunS: 50, CheckpointIntervalS: 30, CheckpointDurationS: 3,
	}}, uint64(len(leader.JobsBySubmission)+1))
	job.Loaded, job.WaitingSinceMS = true, leader.core.wallClockMS
	leader.writer.InitPlacementRecords(job)
	leader.Jobs[id], leader.JobsBySubmission = job, append(leader.JobsBySubmission, job)
	return job
}

// newExpensiveFleetLeader leads for a best-effort team and one with a guarantee of GPUs. A task
// without GPUs costs 0.1 an hour on a small machine, 0.6 on one with GPUs.
func newExpensiveFleetLeader(t *testing.T) *leader {
	t.Helper()
	_, leader := newBestEffortLeader(t)
	leader.core.machineTypes = map[string]*wire.MachineType{
		"small": {Name: "small", CPUs: 10, MemGB: 100, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 1, SpotPrice: 0.3, Zones: []string{"a"}},
		"g4":    {Name: "g4", CPUs: 20, GPUs: 4, MemGB: 200, BootS: 30, PullGBPerS: 1, CacheGB: 200, Price: 12, SpotPrice: 3, Zones: []string{"a"}},
	}
	return leader
}

// TestCheapTypes lists the types that are not expensive for a task, of those that it fits.
func TestCheapTypes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		gpus  float64
		types []string
		want  []string
	}{
		{"one type six times as expensive as the other", 0, nil, []string{"small"}},
		{"the only type that is large enough", 1, nil, []string{"g4"}},
		{"the only allowed type", 0, []string{"g4"}, []string{"g4"}},
		{"no type is large enough", 9, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newExpensiveFleetLeader(t)
			job := addArray(leader, "job-1", "lab", "scan", 1, tc.gpus)
			job.MachineTypes = tc.types
			if got := leader.cheapTypes(&job.Job); !slices.Equal(got, tc.want) {
				t.Errorf("cheap types %v, want %v", got, tc.want)
			}
		})
	}
}

// TestBestEffortTeamsGetNoExpensiveMachine plans for pending tasks while only the expensive type is
// available: it is provisioned for the team with a guarantee alone.
func TestBestEffortTeamsGetNoExpensiveMachine(t *testing.T) {
	for _, team := range []string{"lab", "vision"} {
		leader := newExpensiveFleetLeader(t)
		refuseType(leader, "small", "a")
		addArray(leader, "job-1", team, "scan", 4, 0)
		leader.planScaleOut(leader.candidates(), leader.refreshUsage())
		if requests := len(leader.fleet.requests.OpenRequests()); (requests > 0) != (team == "vision") {
			t.Errorf("%d provisioning requests for team %s", requests, team)
		}
	}
}

// TestExpensiveMachineIsDrainedOfBestEffortWork drains an expensive machine once nothing but
// best-effort work has run on it for as long as a machine may be idle, unless forecast work needs
// it.
func TestExpensiveMachineIsDrainedOfBestEffortWork(t *testing.T) {
	for _, tc := range []struct {
		name  string
		typ   string
		alone time.Duration // since the last other task, in leases
		setUp func(leader *leader, m *cluster.Machine)
		want  bool
	}{
		{"an expensive machine", "g4", 4, nil, true},
		{"a cheap machine", "small", 4, nil, false},
		{"not long enough", "g4", 2, nil, false},
		{"needed by forecast work", "g4", 4, func(leader *leader, m *cluster.Machine) { leader.fleet.keptIdle[m.Name] = true }, false},
		{"a task of a team with a guarantee on it", "g4", 4, func(leader *leader, m *cluster.Machine) {
			leader.bindTasks(addArray(leader, "job-9", "vision", "sweep", 1, 0), []int{0}, []*cluster.Machine{m})
		}, false},
		{"best-effort work beside it that fits on no cheap machine", "g4", 4, func(leader *leader, m *cluster.Machine) {
			leader.bindTasks(addArray(leader, "job-9", "lab", "scan", 1, 1), []int{0}, []*cluster.Machine{m})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newExpensiveFleetLeader(t)
			machine := idleMachine(leader, "n-1", tc.typ)
			machine.CreatedAt -= minBilledTime
			guaranteed := addArray(leader, "job-1", "vision", "sweep", 1, 0)
			bestEffort := addArray(leader, "job-2", "lab", "scan", 3, 0)
			leader.bindTasks(guaranteed, []int{0}, []*cluster.Machine{machine})
			leader.bindTasks(bestEffort, []int{0, 1, 2}, []*cluster.Machine{machine, machine, machine})
			for i := range bestEffort.TaskStates {
				bestEffort.TaskStates[i].Persisted, bestEffort.TaskStates[i].StartSent = true, true
			}
			leader.unplace(guaranteed, 0)
			leader.core.now += tc.alone * leader.core.workerLease()
			machine.LastHeartbeat = leader.core.now
			if tc.setUp != nil {
				tc.setUp(leader, machine)
			}
			leader.releaseFromBestEffort(machine)
			leader.evictTasks(machine)
			if stopped := bestEffort.TaskStates[0].Stop != nil; machine.Evicting != tc.want || stopped != tc.want {
				t.Errorf("evicting: %v, tasks stopped: %v, want %v", machine.Evicting, stopped, tc.want)
			}
			if tc.want && bestEffort.TaskStates[0].Stop != nil && bestEffort.TaskStates[0].Stop.GracePeriodS != bestEffort.CheckpointDurationS {
				t.Errorf("grace period of %v s", bestEffort.TaskStates[0].Stop.GracePeriodS)
			}
		})
	}
}
