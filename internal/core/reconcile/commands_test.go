package reconcile

import (
	"fmt"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

const testTerm = 5

// testTokens are the fencing tokens of the term that begins with testTerm.
var testTokens = TokenRange{First: testTerm, Last: testTerm + 10}

// newTestJob creates a job with one task and a placement record that covers it.
func newTestJob(id string) *cluster.Job {
	job := cluster.NewJob(records.Open{Job: wire.Job{ID: id, Tasks: 1}}, 1)
	job.PlacementRecords = []cluster.PlacementRecord{{To: 1}}
	return job
}

// placeTask places a job's only task, in the given state, on a machine.
func placeTask(machine *cluster.Machine, job *cluster.Job, task cluster.Task) cluster.TaskReference {
	task.Machine = machine
	job.TaskStates[0] = task
	machine.AddTask(cluster.NewTaskReference(job, 0))
	return machine.Placements[0]
}

// TestCommands checks the commands for one task that occupies the worker's machine or is listed by
// the worker.
func TestCommands(t *testing.T) {
	const name = "job-101/0"
	persisted := cluster.Task{Attempt: 2, Persisted: true, PlacedThisTerm: true}
	running := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskRunning}
	exited := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}
	with := func(t cluster.Task, change func(*cluster.Task)) *cluster.Task {
		change(&t)
		return &t
	}
	for _, tc := range []struct {
		name   string
		placed *cluster.Task     // nil if no task occupies the machine
		listed []wire.TaskStatus // tasks that the worker lists
		change func(job *cluster.Job, machine *cluster.Machine)
		want   []string
	}{
		{name: "persisted placement", placed: &persisted, want: []string{"run 2"}},
		{name: "placement not persisted", placed: with(persisted, func(t *cluster.Task) { t.Persisted = false })},
		{name: "placed in an earlier term", placed: with(persisted, func(t *cluster.Task) { t.PlacedThisTerm = false })},
		{name: "placed for another incarnation", placed: with(persisted, func(t *cluster.Task) { t.Incarnation = 7 })},
		{
			name:   "stop requested before the start was sent",
			placed: with(persisted, func(t *cluster.Task) { t.Stop = &cluster.StopRequest{} }),
		},
		{
			name:   "stop requested while a duplicate of the start may arrive",
			placed: with(persisted, func(t *cluster.Task) { t.StartSent, t.Stop = true, &cluster.StopRequest{} }),
			want:   []string{"run 2", "kill 2 in 0 s"},
		},
		{
			name:   "running task",
			placed: with(persisted, func(t *cluster.Task) { t.Observed, t.State = true, wire.TaskRunning }),
			listed: []wire.TaskStatus{running},
		},
		{
			name: "stop of a running task with a grace period",
			placed: with(persisted, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskRunning, &cluster.StopRequest{GracePeriodS: 5}
			}),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 5 s"},
		},
		{
			name: "task saving a checkpoint",
			placed: with(persisted, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskCheckpointing, &cluster.StopRequest{GracePeriodS: 5}
			}),
		},
		{
			name: "task that takes too long to save a checkpoint",
			placed: with(persisted, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskCheckpointing, &cluster.StopRequest{GracePeriodS: 5, Killed: true}
			}),
			want: []string{"kill 2 in 0 s"},
		},
		{name: "listed task without a placement", listed: []wire.TaskStatus{running}, want: []string{"kill 2 in 0 s"}},
		{
			name:   "listed attempt other than the placed one",
			placed: with(persisted, func(t *cluster.Task) { t.Attempt, t.Observed = 3, true }),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 0 s"},
		},
		{name: "recorded exit", listed: []wire.TaskStatus{exited}, want: []string{"reap 2"}},
		{
			name:   "exit not recorded",
			listed: []wire.TaskStatus{exited},
			change: func(job *cluster.Job, machine *cluster.Machine) { job.PlacementRecords[0].Dirty = true },
		},
		{
			name:   "exit whose record is being written",
			listed: []wire.TaskStatus{exited},
			change: func(job *cluster.Job, machine *cluster.Machine) { job.PlacementRecords[0].WritePending = true },
		},
		{
			name:   "exit of a job whose end is being recorded",
			listed: []wire.TaskStatus{exited},
			change: func(job *cluster.Job, machine *cluster.Machine) { job.EndWritePending = true },
		},
		{
			name:   "exit of an attempt with an unconfirmed start",
			listed: []wire.TaskStatus{exited},
			change: func(job *cluster.Job, machine *cluster.Machine) {
				machine.UnconfirmedStarts[cluster.AttemptID{Task: name, Attempt: 2}] = 1
			},
		},
		{
			name:   "exit on a worker that has not seen this term",
			listed: []wire.TaskStatus{exited},
			change: func(job *cluster.Job, machine *cluster.Machine) { machine.FencingToken = testTerm - 1 },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job, machine := newTestJob("job-101"), cluster.NewMachine("n-1", 0)
			machine.FencingToken = testTerm
			machine.ReportedTasks = tc.listed
			if tc.placed != nil {
				placeTask(machine, job, *tc.placed)
			}
			if tc.change != nil {
				tc.change(job, machine)
			}
			var got []string
			for _, command := range Commands(machine, map[string]*cluster.Job{job.ID: job}, testTokens) {
				got = append(got, commandText(command))
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("commands: got %q, want %q", got, tc.want)
			}
		})
	}
}

// commandText formats a command's verb, attempt and grace period.
func commandText(c wire.Command) string {
	text := fmt.Sprintf("%s %d", c.Verb, c.Attempt)
	if c.GracePeriodS != nil {
		text += fmt.Sprintf(" in %v s", *c.GracePeriodS)
	}
	return text
}
