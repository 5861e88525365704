package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestEarlierAttemptListed checks that a running attempt is not lost when heartbeats also list an
// exited earlier attempt at the same task, in either order. Such a running task was considered
// lost, started on another machine, and ran twice.
func TestEarlierAttemptListed(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	leader := newLeader(harness.core, testLeadership(5))
	harness.core.leader, leader.recordsLoaded = leader, true
	spec := wire.Job{ID: "job-000001", Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 1, CPUs: 1, MemGB: 1}
	leader.applyOpenRecord(spec.ID, 7, records.Open{Job: spec, SubmittedAt: harness.core.wallClockMS})
	job, machine := leader.Jobs[spec.ID], leader.getOrAddMachine("n-000001")
	job.TaskStates[0] = cluster.Task{Attempt: 2, Zone: "a", Incarnation: 1, Persisted: true, PlacedThisTerm: true, StartSent: true}
	leader.place(job, 0, machine)
	job.PlacementRecords[0].Dirty = true // the exit of the earlier attempt is not recorded yet
	exited := wire.TaskStatus{Task: "job-000001/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseStopped}
	running := wire.TaskStatus{Task: "job-000001/0", Attempt: 2, State: wire.TaskRunning}
	for i, rows := range [][]wire.TaskStatus{{exited, running}, {running, exited}, {exited, running}} {
		heartbeat := wire.Heartbeat{
			Machine: "n-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "a",
			Incarnation: 1, Sequence: uint64(i + 1), FencingToken: 5, Tasks: rows,
		}
		if status, body := leader.handleHeartbeat(kv.Encode(heartbeat), "n0"); status != httpstatus.OK {
			t.Fatalf("heartbeat %d: got %d %s, want 200", i, status, body)
		}
		if task := &job.TaskStates[0]; task.Machine != machine || task.State != wire.TaskRunning {
			t.Fatalf("after heartbeat %d: got task state %q on machine %v, want running on n-000001", i, task.State, task.Machine)
		}
	}
}
