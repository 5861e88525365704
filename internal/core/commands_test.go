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
	recorded := task{attempt: 2, recorded: true, ours: true}
	running := wire.Task{Task: name, Attempt: 2, State: wire.TaskRunning}
	ended := wire.Task{Task: name, Attempt: 2, State: wire.TaskExited, Cause: wire.CauseDone}
	with := func(t task, change func(*task)) *task {
		change(&t)
		return &t
	}
	for _, tc := range []struct {
		name   string
		placed *task       // nil if none counts there
		listed []wire.Task // by the worker
		change func(l *leader, m *machine)
		want   []string
	}{
		{name: "a recorded start", placed: &recorded, want: []string{"run 2"}},
		{name: "a start that is not recorded", placed: with(recorded, func(t *task) { t.recorded = false })},
		{name: "a start of an earlier term", placed: with(recorded, func(t *task) { t.ours = false })},
		{name: "a start in another session", placed: with(recorded, func(t *task) { t.session = 7 })},
		{
			name:   "a start to be taken back before it was sent",
			placed: with(recorded, func(t *task) { t.stop = &stop{} }),
		},
		{
			name:   "a start to be taken back of which a copy may come",
			placed: with(recorded, func(t *task) { t.copied, t.stop = true, &stop{} }),
			want:   []string{"run 2", "kill 2 in 0 s"},
		},
		{
			name:   "a task that runs",
			placed: with(recorded, func(t *task) { t.seen, t.state = true, wire.TaskRunning }),
			listed: []wire.Task{running},
		},
		{
			name:   "a task that runs and is to save",
			placed: with(recorded, func(t *task) { t.seen, t.state, t.stop = true, wire.TaskRunning, &stop{grace: 5} }),
			listed: []wire.Task{running},
			want:   []string{"kill 2 in 5 s"},
		},
		{
			name:   "a task that saves",
			placed: with(recorded, func(t *task) { t.seen, t.state, t.stop = true, wire.TaskSaving, &stop{grace: 5} }),
		},
		{
			name:   "a task that saves for too long",
			placed: with(recorded, func(t *task) { t.seen, t.state, t.stop = true, wire.TaskSaving, &stop{grace: 5, hard: true} }),
			want:   []string{"kill 2 in 0 s"},
		},
		{name: "a task that counts nowhere", listed: []wire.Task{running}, want: []string{"kill 2 in 0 s"}},
		{
			name:   "another attempt than the one that counts",
			placed: with(recorded, func(t *task) { t.attempt, t.seen = 3, true }),
			listed: []wire.Task{running},
			want:   []string{"kill 2 in 0 s"},
		},
		{name: "an end that is recorded", listed: []wire.Task{ended}, want: []string{"reap 2"}},
		{
			name:   "an end that is not recorded",
			listed: []wire.Task{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].chunks[0].dirty = true },
		},
		{
			name:   "an end whose record is being written",
			listed: []wire.Task{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].chunks[0].busy = true },
		},
		{
			name:   "an end of a job whose own end is being recorded",
			listed: []wire.Task{ended},
			change: func(l *leader, m *machine) { l.jobs["job-101"].endPending = true },
		},
		{
			name:   "an end of an attempt of which a copy may come",
			listed: []wire.Task{ended},
			change: func(l *leader, m *machine) { m.directStarts[attemptID{name, 2}] = 1 },
		},
		{
			name:   "an end on a worker that has not heard this term",
			listed: []wire.Task{ended},
			change: func(l *leader, m *machine) { m.token = l.mandate.Term - 1 },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := leading(t, silent)
			record(b, l, wire.Job{ID: "job-101"}, nil)
			j := l.jobs["job-101"]
			m := l.machine("n-1")
			m.token = l.mandate.Term
			m.tasks = tc.listed
			if tc.placed != nil {
				j.tasks[0] = *tc.placed
				l.bind(j, 0, m)
			}
			if tc.change != nil {
				tc.change(l, m)
			}
			var got []string
			for _, c := range l.commands(m) {
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
	if c.GraceS != nil {
		text += fmt.Sprintf(" in %v s", *c.GraceS)
	}
	return text
}
