package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestCommands tells a worker what to do about one task, which counts on its machine
// or is listed by it.
func TestCommands(t *testing.T) {
	const name = "job-101/0"
	recorded := cluster.Task{Attempt: 2, Persisted: true, PlacedThisTerm: true}
	running := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskRunning}
	ended := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}
	with := func(t cluster.Task, change func(*cluster.Task)) *cluster.Task {
		change(&t)
		return &t
	}
	for _, tc := range []struct {
		name   string
		placed *cluster.Task     // nil if none counts there
		listed []wire.TaskStatus // by the worker
		change func(l *leader, m *cluster.Machine)
		want   []string
	}{
		{name: "a recorded start", placed: &recorded, want: []string{"run 2"}},
		{name: "a start that is not recorded", placed: with(recorded, func(t *cluster.Task) { t.Persisted = false })},
		{name: "a start of an earlier term", placed: with(recorded, func(t *cluster.Task) { t.PlacedThisTerm = false })},
		{name: "a start in another session", placed: with(recorded, func(t *cluster.Task) { t.Incarnation = 7 })},
		{
			name:   "a start to be taken back before it was sent",
			placed: with(recorded, func(t *cluster.Task) { t.Stop = &cluster.StopRequest{} }),
		},
		{
			name:   "a start to be taken back of which a copy may come",
			placed: with(recorded, func(t *cluster.Task) { t.StartRetransmitted, t.Stop = true, &cluster.StopRequest{} }),
			want:   []string{"run 2", "kill 2 in 0 s"},
		},
		{
			name:   "a task that runs",
			placed: with(recorded, func(t *cluster.Task) { t.Observed, t.State = true, wire.TaskRunning }),
			listed: []wire.TaskStatus{running},
		},
		{
			name: "a task that runs and is to save",
			placed: with(recorded, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskRunning, &cluster.StopRequest{GracePeriodS: 5}
			}),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 5 s"},
		},
		{
			name: "a task that saves",
			placed: with(recorded, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskCheckpointing, &cluster.StopRequest{GracePeriodS: 5}
			}),
		},
		{
			name: "a task that saves for too long",
			placed: with(recorded, func(t *cluster.Task) {
				t.Observed, t.State, t.Stop = true, wire.TaskCheckpointing, &cluster.StopRequest{GracePeriodS: 5, Killed: true}
			}),
			want: []string{"kill 2 in 0 s"},
		},
		{name: "a task that counts nowhere", listed: []wire.TaskStatus{running}, want: []string{"kill 2 in 0 s"}},
		{
			name:   "another attempt than the one that counts",
			placed: with(recorded, func(t *cluster.Task) { t.Attempt, t.Observed = 3, true }),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 0 s"},
		},
		{name: "an end that is recorded", listed: []wire.TaskStatus{ended}, want: []string{"reap 2"}},
		{
			name:   "an end that is not recorded",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *cluster.Machine) { l.Jobs["job-101"].PlacementRecords[0].Dirty = true },
		},
		{
			name:   "an end whose record is being written",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *cluster.Machine) { l.Jobs["job-101"].PlacementRecords[0].WritePending = true },
		},
		{
			name:   "an end of a job whose own end is being recorded",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *cluster.Machine) { l.Jobs["job-101"].EndWritePending = true },
		},
		{
			name:   "an end of an attempt of which a copy may come",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *cluster.Machine) {
				m.UnconfirmedStarts[cluster.AttemptID{Task: name, Attempt: 2}] = 1
			},
		},
		{
			name:   "an end on a worker that has not heard this term",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *cluster.Machine) { m.FencingToken = l.leadership.Term - 1 },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := newLeadingHarness(t, withoutAnnouncement)
			addRecord(b, l, wire.Job{ID: "job-101"}, nil)
			j := l.Jobs["job-101"]
			m := l.machineNamed("n-1")
			m.FencingToken = l.leadership.Term
			m.ReportedTasks = tc.listed
			if tc.placed != nil {
				j.TaskStates[0] = *tc.placed
				l.place(j, 0, m)
			}
			if tc.change != nil {
				tc.change(l, m)
			}
			var got []string
			for _, c := range l.commandsFor(m) {
				got = append(got, commandText(c))
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("commands %q, want %q", got, tc.want)
			}
		})
	}
}

// commandText tells a command's verb, attempt and grace.
func commandText(c wire.Command) string {
	text := fmt.Sprintf("%s %d", c.Verb, c.Attempt)
	if c.GracePeriodS != nil {
		text += fmt.Sprintf(" in %v s", *c.GracePeriodS)
	}
	return text
}
