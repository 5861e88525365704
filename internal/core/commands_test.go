package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestCommandsFor checks that the commands for a worker depend on the leader's jobs and term. The
// tests of package reconcile cover all cases.
func TestCommandsFor(t *testing.T) {
	const name = "job-101/0"
	started := cluster.Task{Attempt: 2, Persisted: true, PlacedThisTerm: true}
	stopping := started
	stopping.Observed, stopping.State, stopping.Stop = true, wire.TaskRunning, &cluster.StopRequest{GracePeriodS: 5}
	running := []wire.TaskStatus{{Task: name, Attempt: 2, State: wire.TaskRunning}}
	exited := []wire.TaskStatus{{Task: name, Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}}
	for _, tc := range []struct {
		name   string
		placed *cluster.Task // nil if the task is not placed
		listed []wire.TaskStatus
		change func(job *cluster.Job, machine *cluster.Machine) // nil for no change
		want   []string
	}{
		{"a recorded start", &started, nil, nil, []string{"run 2"}},
		{"a running task to save a checkpoint", &stopping, running, nil, []string{"kill 2 in 5 s"}},
		{"a task that is not placed", nil, running, nil, []string{"kill 2 in 0 s"}},
		{"a recorded exit", nil, exited, nil, []string{"reap 2"}},
		{"an exit that is not recorded", nil, exited, func(job *cluster.Job, _ *cluster.Machine) { job.PlacementRecords[0].Dirty = true }, nil},
		{"an exit on a worker that has not seen this term", nil, exited, func(_ *cluster.Job, machine *cluster.Machine) { machine.FencingToken-- }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
			addRecord(harness, leader, wire.Job{ID: "job-101"}, nil)
			job, machine := leader.Jobs["job-101"], leader.getOrAddMachine("n-1")
			machine.FencingToken, machine.ReportedTasks = leader.leadership.FirstToken, tc.listed
			if tc.placed != nil {
				job.TaskStates[0] = *tc.placed
				leader.place(job, 0, machine)
			}
			if tc.change != nil {
				tc.change(job, machine)
			}
			if got := commandTexts(leader.commandsFor(machine)); !slices.Equal(got, tc.want) {
				t.Errorf("commands: got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestForgetWaitsForHeartbeatAnswer guards against a task that runs twice, or after its user was told
// that it is cancelled: its start is held up in the answer to a heartbeat, a direct response shows the
// attempt as stopped, and the worker forgets it before the start arrives. The leader may send the forget
// command only once the worker's next heartbeat shows that the answer has been executed or dropped.
func TestForgetWaitsForHeartbeatAnswer(t *testing.T) {
	const name, attempt = "job-101/0", 2
	for _, tc := range []struct {
		name      string
		cancelled bool
	}{{"moved", false}, {"cancelled", true}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
			addRecord(harness, leader, wire.Job{ID: "job-101"}, nil)
			job, machine := leader.Jobs["job-101"], leader.getOrAddMachine("n-1")
			job.TaskStates[0] = cluster.Task{Attempt: attempt, Incarnation: 1, Persisted: true, PlacedThisTerm: true}
			leader.place(job, 0, machine)
			sequence := uint64(0)
			status := func(rows ...wire.TaskStatus) []byte {
				sequence++
				return kv.Encode(wire.Heartbeat{
					Machine: "n-1", Addr: "10.1.0.1:9000", Type: "small", Zone: "a",
					Incarnation: 1, Sequence: sequence, FencingToken: leader.leadership.FirstToken, Tasks: rows,
				})
			}
			exited := wire.TaskStatus{Task: name, Attempt: attempt, State: wire.TaskExited, Cause: wire.CauseStopped}

			if got := commandsInAnswer(t, leader, status()); !slices.Contains(got, "run 2") {
				t.Fatalf("commands in the answer to the heartbeat: got %q, want the start", got)
			}
			leader.stopTask(job, 0, 0, stopPreempted)
			if tc.cancelled {
				leader.markCancelled(job)
			}
			leader.handleDirectStatus(machine, status(exited))
			if job.TaskStates[0].Machine != nil {
				t.Fatal("the task still occupies the machine, want it unplaced by the direct response")
			}
			job.PlacementRecords[0].Dirty = false // as if the exit had been recorded
			if tc.cancelled {
				leader.forgetJob(job)
			}
			if got := commandTexts(leader.commandsFor(machine)); len(got) != 0 {
				t.Errorf("commands while the answer may still arrive: got %q, want none", got)
			}
			if got, want := commandsInAnswer(t, leader, status(exited)), []string{"reap 2"}; !slices.Equal(got, want) {
				t.Errorf("commands in the answer to the next heartbeat: got %q, want %q", got, want)
			}
		})
	}
}

// TestTokensUsedUp checks that a leader whose term has no higher fencing token left gives way to a new
// term instead of letting a worker forget an attempt that a copy of its start could start again.
func TestTokensUsedUp(t *testing.T) {
	for _, tc := range []struct {
		name       string
		tokensLeft uint64
		wantLeader bool
	}{{"one token left", 1, true}, {"no token left", 0, false}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
			token := leader.leadership.Term - tc.tokensLeft
			status, body := leader.handleHeartbeat(kv.Encode(wire.Heartbeat{
				Machine: "n-1", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: token,
				Tasks: []wire.TaskStatus{{Task: "job-101/0", Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}},
			}), "n0")
			if leads := harness.core.leader == leader; leads != tc.wantLeader {
				t.Errorf("still leads: got %v, want %v", leads, tc.wantLeader)
			}
			if forgets := strings.Contains(string(body), `"reap"`); forgets != tc.wantLeader || (status == httpstatus.OK) != tc.wantLeader {
				t.Errorf("answer: got %d %s, want a forget command only under a higher token", status, body)
			}
		})
	}
}

// commandsInAnswer formats the commands in the leader's answer to a heartbeat.
func commandsInAnswer(t *testing.T, leader *leader, heartbeat []byte) []string {
	t.Helper()
	status, body := leader.handleHeartbeat(heartbeat, "n0")
	var answer wire.CommandList
	if err := json.Unmarshal(body, &answer); err != nil || status != httpstatus.OK {
		t.Fatalf("heartbeat: got %d %s, error %v; want 200 with commands", status, body, err)
	}
	return commandTexts(answer.Commands)
}

// commandTexts formats each command's verb, attempt and grace period.
func commandTexts(commands []wire.Command) []string {
	var texts []string
	for _, c := range commands {
		text := fmt.Sprintf("%s %d", c.Verb, c.Attempt)
		if c.GracePeriodS != nil {
			text += fmt.Sprintf(" in %v s", *c.GracePeriodS)
		}
		texts = append(texts, text)
	}
	return texts
}
