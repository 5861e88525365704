package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestSettleStarts checks that a direct start counts as unconfirmed until its outcome is known, and
// that the outcome of a call to an earlier incarnation does not settle starts of the current one.
func TestSettleStarts(t *testing.T) {
	attempt := cluster.AttemptID{Task: "job-101/0", Attempt: 2}
	commands := []wire.Command{{Verb: wire.VerbStart, Task: attempt.Task, Attempt: attempt.Attempt}, immediateStop("job-101/1", 1)}
	for _, tc := range []struct {
		name  string
		after func(machine *cluster.Machine, call *DirectCall)
		want  int // number of unconfirmed starts of the attempt
	}{
		{"call in progress", func(*cluster.Machine, *DirectCall) {}, 1},
		{"call returned, outcome unknown", func(_ *cluster.Machine, call *DirectCall) { call.End() }, 1},
		{"starts settled", func(_ *cluster.Machine, call *DirectCall) { call.End(); call.SettleStarts() }, 0},
		{"new incarnation", func(machine *cluster.Machine, call *DirectCall) {
			RecordIncarnation(machine, &wire.Heartbeat{Incarnation: 4}, time.Hour)
		}, 0},
		{"starts settled after the same start was sent to a new incarnation", func(machine *cluster.Machine, call *DirectCall) {
			RecordIncarnation(machine, &wire.Heartbeat{Incarnation: 4}, time.Hour)
			BeginDirectCall(machine, commands)
			call.End()
			call.SettleStarts()
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.Incarnation = 3
			tc.after(machine, BeginDirectCall(machine, commands))
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

// TestCanCallDirectly checks when commands may be sent directly.
func TestCanCallDirectly(t *testing.T) {
	now := time.Hour
	for _, tc := range []struct {
		name   string
		change func(machine *cluster.Machine)
		want   bool
	}{
		{"reachable", func(*cluster.Machine) {}, true},
		{"address unknown", func(machine *cluster.Machine) { machine.Address = "" }, false},
		{"worker has not seen this term", func(machine *cluster.Machine) { machine.FencingToken = testTerm - 1 }, false},
		{"being returned", func(machine *cluster.Machine) { machine.Returning = true }, false},
		{"call in progress", func(machine *cluster.Machine) { BeginDirectCall(machine, nil) }, false},
		{"call ended", func(machine *cluster.Machine) { BeginDirectCall(machine, nil).End() }, true},
		{"call failed less than half a lease ago", func(machine *cluster.Machine) {
			call := BeginDirectCall(machine, nil)
			call.End()
			call.Fail(now-testTiming.WorkerLease/2+1, testTiming)
		}, false},
		{"call failed half a lease ago", func(machine *cluster.Machine) {
			call := BeginDirectCall(machine, nil)
			call.End()
			call.Fail(now-testTiming.WorkerLease/2, testTiming)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.Address, machine.FencingToken = "10.1.0.1:9000", testTerm
			tc.change(machine)
			if got := CanCallDirectly(machine, testTokens, now); got != tc.want {
				t.Errorf("CanCallDirectly: got %v, want %v", got, tc.want)
			}
		})
	}
}
