package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/wire"
)

// TestCommands tells a worker what to do about one task, which counts on its machine
// or is listed by it.
func TestCommands(t *testing.T) {
	const name = "job-101/0"
	recorded := task{attempt: 2, persisted: true, placedThisTerm: true}
	running := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskRunning}
	ended := wire.TaskStatus{Task: name, Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}
	with := func(t task, change func(*task)) *task {
		change(&t)
		return &t
	}
	for _, tc := range []struct {
		name   string
		placed *task             // nil if none counts there
		listed []wire.TaskStatus // by the worker
		change func(l *leader, m *machine)
		want   []string
	}{
		{name: "a recorded start", placed: &recorded, want: []string{"run 2"}},
		{name: "a start that is not recorded", placed: with(recorded, func(t *task) { t.persisted = false })},
		{name: "a start of an earlier term", placed: with(recorded, func(t *task) { t.placedThisTerm = false })},
		{name: "a start in another session", placed: with(recorded, func(t *task) { t.incarnation = 7 })},
		{
			name:   "a start to be taken back before it was sent",
			placed: with(recorded, func(t *task) { t.stop = &stopRequest{} }),
		},
		{
			name:   "a start to be taken back of which a copy may come",
			placed: with(recorded, func(t *task) { t.startRetransmitted, t.stop = true, &stopRequest{} }),
			want:   []string{"run 2", "kill 2 in 0 s"},
		},
		{
			name:   "a task that runs",
			placed: with(recorded, func(t *task) { t.observed, t.state = true, wire.TaskRunning }),
			listed: []wire.TaskStatus{running},
		},
		{
			name:   "a task that runs and is to save",
			placed: with(recorded, func(t *task) { t.observed, t.state, t.stop = true, wire.TaskRunning, &stopRequest{gracePeriodS: 5} }),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 5 s"},
		},
		{
			name: "a task that saves",
			placed: with(recorded, func(t *task) {
				t.observed, t.state, t.stop = true, wire.TaskCheckpointing, &stopRequest{gracePeriodS: 5}
			}),
		},
		{
			name: "a task that saves for too long",
			placed: with(recorded, func(t *task) {
				t.observed, t.state, t.stop = true, wire.TaskCheckpointing, &stopRequest{gracePeriodS: 5, killed: true}
			}),
			want: []string{"kill 2 in 0 s"},
		},
		{name: "a task that counts nowhere", listed: []wire.TaskStatus{running}, want: []string{"kill 2 in 0 s"}},
		{
			name:   "another attempt than the one that counts",
			placed: with(recorded, func(t *task) { t.attempt, t.observed = 3, true }),
			listed: []wire.TaskStatus{running},
			want:   []string{"kill 2 in 0 s"},
		},
		{name: "an end that is recorded", listed: []wire.TaskStatus{ended}, want: []string{"reap 2"}},
		{
			name:   "an end that is not recorded",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].placementRecords[0].dirty = true },
		},
		{
			name:   "an end whose record is being written",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].placementRecords[0].writePending = true },
		},
		{
			name:   "an end of a job whose own end is being recorded",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].endWritePending = true },
		},
		{
			name:   "an end of an attempt of which a copy may come",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *machine) { m.unconfirmedStarts[attemptID{name, 2}] = 1 },
		},
		{
			name:   "an end on a worker that has not heard this term",
			listed: []wire.TaskStatus{ended},
			change: func(l *leader, m *machine) { m.fencingToken = l.leadership.Term - 1 },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := newLeadingHarness(t, withoutAnnouncement)
			addRecord(b, l, wire.Job{ID: "job-101"}, nil)
			j := l.jobs["job-101"]
			m := l.machineNamed("n-1")
			m.fencingToken = l.leadership.Term
			m.reportedTasks = tc.listed
			if tc.placed != nil {
				j.tasks[0] = *tc.placed
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
