package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
			machine.FencingToken, machine.ReportedTasks = leader.leadership.Term, tc.listed
			if tc.placed != nil {
				job.TaskStates[0] = *tc.placed
				leader.place(job, 0, machine)
			}
			if tc.change != nil {
				tc.change(job, machine)
			}
			var got []string
			for _, c := range leader.commandsFor(machine) {
				text := fmt.Sprintf("%s %d", c.Verb, c.Attempt)
				if c.GracePeriodS != nil {
					text += fmt.Sprintf(" in %v s", *c.GracePeriodS)
				}
				got = append(got, text)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("commands: got %q, want %q", got, tc.want)
			}
		})
	}
}
