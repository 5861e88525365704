package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestAnsweredStarts checks how long a start that was sent in the answer to a heartbeat counts as
// unconfirmed. It guards against a worker that forgets an attempt while the answer is held up, and
// then starts the task a second time.
func TestAnsweredStarts(t *testing.T) {
	const incarnation, now = 3, time.Hour
	attempt := cluster.AttemptID{Task: "job-101/0", Attempt: 2}
	starts := []wire.Command{{Verb: wire.VerbStart, Task: attempt.Task, Attempt: attempt.Attempt}, immediateStop("job-101/1", 1)}
	message := func(incarnation, sequence uint64) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "n-1", Incarnation: incarnation, Sequence: sequence, FencingToken: testTerm}
	}
	heartbeat := func(machine *cluster.Machine, incarnation, sequence uint64) {
		RecordHeartbeat(machine, message(incarnation, sequence), "node-0", now, testTiming)
		RecordIncarnation(machine, message(incarnation, sequence), now)
	}
	for _, tc := range []struct {
		name  string
		after func(machine *cluster.Machine)
		want  int // number of unconfirmed starts of the attempt
	}{
		{"answer on its way", func(*cluster.Machine) {}, 1},
		{"response to a direct call or a probe", func(machine *cluster.Machine) {
			RecordDirectStatus(machine, message(incarnation, 12), now)
			RecordIncarnation(machine, message(incarnation, 12), now)
		}, 1},
		{"next heartbeat", func(machine *cluster.Machine) { heartbeat(machine, incarnation, 12) }, 0},
		{"next heartbeat, answered with the same start", func(machine *cluster.Machine) {
			heartbeat(machine, incarnation, 12)
			RecordAnswer(machine, starts, now)
		}, 1},
		{"second heartbeat after an answer without commands", func(machine *cluster.Machine) {
			heartbeat(machine, incarnation, 12)
			RecordAnswer(machine, nil, now)
			heartbeat(machine, incarnation, 13)
		}, 0},
		{"the same start executed in a direct call", func(machine *cluster.Machine) {
			call := BeginDirectCall(machine, starts)
			call.End()
			call.SettleStarts()
		}, 1},
		{"next heartbeat, the same start in a direct call without a response", func(machine *cluster.Machine) {
			BeginDirectCall(machine, starts).End()
			heartbeat(machine, incarnation, 12)
		}, 1},
		{"new incarnation", func(machine *cluster.Machine) { heartbeat(machine, incarnation+1, 1) }, 0},
		{"new incarnation in a direct response, the same start sent to it, next heartbeat", func(machine *cluster.Machine) {
			RecordIncarnation(machine, message(incarnation+1, 1), now)
			BeginDirectCall(machine, starts)
			heartbeat(machine, incarnation+1, 2)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			heartbeat(machine, incarnation, 11)
			RecordAnswer(machine, starts, now)
			tc.after(machine)
			if got := machine.UnconfirmedStarts[attempt]; got != tc.want {
				t.Errorf("unconfirmed starts of the attempt: got %d, want %d", got, tc.want)
			}
			for other := range machine.UnconfirmedStarts {
				if other != attempt {
					t.Errorf("unconfirmed starts: got one of %v, want only those of the attempt", other)
				}
			}
		})
	}
}
