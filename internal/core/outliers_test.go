package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestFaultyJobPlacesOneTaskAtATime checks that tasks of a job that fails on every machine are
// placed one at a time and preempt nothing, until one has started successfully.
func TestFaultyJobPlacesOneTaskAtATime(t *testing.T) {
	_, leader := newBestEffortLeader(t)
	job := addArray(leader, "job-1", "vision", "sweep", 4, 1)
	only := idleMachine(leader, "n-9", "g4")
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		leader.outliers.RecordFailure(job.ID, name)
	}
	candidates := leader.candidates()
	if len(candidates) != 1 || len(candidates[0].Pending) != 1 || candidates[0].WithinQuota || candidates[0].PreemptionPriority != 0 || !candidates[0].Faulty {
		t.Fatalf("candidates: got %+v, want one faulty job with one pending task, not within quota and without preemption", candidates)
	}
	leader.bindTasks(job, candidates[0].Pending, []*cluster.Machine{only})
	if candidates := leader.candidates(); len(candidates) != 0 {
		t.Errorf("candidates while one task is running: got %+v, want none", candidates[0])
	}
	job.TaskStates[0].State, job.TaskStates[0].RunningSince = wire.TaskRunning, leader.core.now
	leader.core.now += healthyAfterHeartbeats * leader.core.heartbeatInterval()
	leader.recordRunning(only.Placements[0])
	if candidates := leader.candidates(); len(candidates) != 1 || len(candidates[0].Pending) != 3 || candidates[0].Faulty {
		t.Errorf("candidates after a successful start: got %+v, want one job with three pending tasks that is not faulty", candidates)
	}
}
