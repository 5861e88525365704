package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestCheckPlacement checks what a message means for a task that occupies the machine.
func TestCheckPlacement(t *testing.T) {
	placed := cluster.Task{Attempt: 2, Incarnation: 3, Persisted: true, PlacedThisTerm: true}
	observed, earlierTerm, stopped := placed, placed, placed
	observed.Observed, observed.StartSent = true, true
	earlierTerm.PlacedThisTerm = false
	stopped.Stop = &cluster.StopRequest{}
	stoppedAfterSend := stopped
	stoppedAfterSend.StartSent = true
	running := wire.TaskStatus{Task: "job-101/0", Attempt: 2, State: wire.TaskRunning}
	earlierAttempt := wire.TaskStatus{Task: "job-101/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseStopped}
	for _, tc := range []struct {
		name            string
		task            cluster.Task
		incarnation     uint64
		listed          []wire.TaskStatus
		workerKnowsTerm bool
		want            Finding
	}{
		{"listed", observed, 3, []wire.TaskStatus{running}, true, Finding{Outcome: Listed, Status: running}},
		{"listed together with an earlier attempt", observed, 3, []wire.TaskStatus{earlierAttempt, running}, true, Finding{Outcome: Listed, Status: running}},
		{"listed by a later incarnation", observed, 4, []wire.TaskStatus{running}, true, Finding{Outcome: Lost, Loss: LossNewIncarnation}},
		{"a later incarnation that has not seen this term", observed, 4, nil, false, Finding{Outcome: Lost, Loss: LossNewIncarnation}},
		{"no longer listed", observed, 3, nil, true, Finding{Outcome: Lost, Loss: LossNotInHeartbeat}},
		{"only an earlier attempt is listed", observed, 3, []wire.TaskStatus{earlierAttempt}, true, Finding{Outcome: Lost, Loss: LossNotInHeartbeat}},
		{"no longer listed by a worker that has not seen this term", observed, 3, nil, false, Finding{}},
		{"never started, placed in an earlier term", earlierTerm, 3, nil, true, Finding{Outcome: Lost, Loss: LossNeverStarted}},
		{"placed in an earlier term, whose commands may still take effect", earlierTerm, 3, nil, false, Finding{}},
		{"not started yet", placed, 3, nil, true, Finding{}},
		{"stopped before the start was sent", stopped, 3, nil, true, Finding{Outcome: NeverSent}},
		{"stopped after the start was sent", stoppedAfterSend, 3, nil, true, Finding{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.Incarnation = tc.incarnation
			machine.ReportedTasks = tc.listed
			placement := placeTask(machine, newTestJob("job-101"), tc.task)
			if got := CheckPlacement(machine, placement, tc.workerKnowsTerm); got != tc.want {
				t.Errorf("CheckPlacement: got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestLeaseExpiryDue checks that only a lease that this term's leader renewed is found to expire.
func TestLeaseExpiryDue(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine)
		want   bool
	}{
		{"not answered for longer than the lease and its margin", func(*cluster.Machine) {}, true},
		{"answered within the lease and its margin", func(m *cluster.Machine) { m.LastAnswered += testTiming.LeaseExpiryBound() }, false},
		{"never answered in this term", func(m *cluster.Machine) { m.LastAnswered = 0 }, false},
		{"worker has not seen this term", func(m *cluster.Machine) { m.FencingToken = testTerm - 1 }, false},
		{"already known to have expired", func(m *cluster.Machine) { m.LeaseExpired = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.FencingToken, machine.LastAnswered = testTerm, time.Minute
			tc.change(machine)
			now := time.Minute + testTiming.LeaseExpiryBound() + time.Millisecond
			if got := LeaseExpiryDue(machine, testTokens, now, testTiming); got != tc.want {
				t.Errorf("LeaseExpiryDue: got %v, want %v", got, tc.want)
			}
		})
	}
}
