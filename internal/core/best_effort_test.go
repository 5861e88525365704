package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/wire"
)

// bestEffortLeader leads a fleet of g4 machines for a team with a guarantee of GPUs and a
// best-effort team.
func bestEffortLeader(t *testing.T) (*harness, *leader) {
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

// A job that fails on every machine is tried one task at a time and preempts nothing.
func TestFaultyJobIsTriedAlone(t *testing.T) {
	_, leader := bestEffortLeader(t)
	job := addArray(leader, "job-1", "vision", "sweep", 4, 1)
	only := idleMachine(leader, "n-9", "g4")
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		leader.outliers.RecordFailure(job.ID, name)
	}
	candidates := leader.candidates()
	if len(candidates) != 1 || len(candidates[0].Pending) != 1 || candidates[0].WithinQuota || candidates[0].PreemptionPriority != 0 || !candidates[0].Faulty {
		t.Fatalf("candidates %+v", candidates)
	}
	leader.bindTasks(job, candidates[0].Pending, []*cluster.Machine{only})
	if candidates := leader.candidates(); len(candidates) != 0 {
		t.Errorf("another task is tried beside the first: %+v", candidates[0])
	}
	job.TaskStates[0].State, job.TaskStates[0].RunningSince = wire.TaskRunning, leader.core.now
	leader.core.now += healthyAfterHeartbeats * leader.core.heartbeatInterval()
	leader.recordRunning(only.Placements[0])
	if candidates := leader.candidates(); len(candidates) != 1 || len(candidates[0].Pending) != 3 || candidates[0].Faulty {
		t.Errorf("after a start without failure: %+v", candidates)
	}
}
