package reconcile

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestLeaseCountedFrom checks the time from which a worker's lease is counted: not from a response
// to an earlier incarnation, and not from a response after which a leader of an earlier term may have
// renewed the lease.
func TestLeaseCountedFrom(t *testing.T) {
	const answered, now = time.Minute, time.Hour
	for _, tc := range []struct {
		name                string
		incarnation         uint64
		token               uint64
		wantAnswered        time.Duration
		wantExpiries        int
		wantToken           uint64
		wantStartsForgotten bool
	}{
		{"same incarnation and term", 3, testTerm, answered, 0, testTerm, false},
		{"later incarnation", 4, testTerm, now, 1, testTerm, true},
		{"earlier token", 3, testTerm - 2, answered, 0, testTerm - 1, false},
		{"token above that of the starts", 3, testTerm + 1, answered, 0, testTerm + 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			machine := cluster.NewMachine("n-1", 0)
			machine.Incarnation, machine.FencingToken, machine.LastAnswered = 3, tc.wantToken, answered
			machine.StartToken = testTerm
			machine.UnconfirmedStarts[cluster.AttemptID{Task: "job-101/0", Attempt: 1}] = 1
			message := &wire.Heartbeat{Incarnation: tc.incarnation, Sequence: 9, FencingToken: tc.token}
			expired := RecordIncarnation(machine, message, now)
			RecordFencingToken(machine, message.FencingToken, testTokens, now)
			if machine.LastAnswered != tc.wantAnswered || machine.LeaseExpiries != tc.wantExpiries || machine.FencingToken != tc.wantToken {
				t.Errorf("last answered, lease expiries, fencing token: got %v, %d, %d; want %v, %d, %d", machine.LastAnswered,
					machine.LeaseExpiries, machine.FencingToken, tc.wantAnswered, tc.wantExpiries, tc.wantToken)
			}
			if expired != (tc.wantExpiries > 0) {
				t.Errorf("lease expired: got %v, want true for a later incarnation only", expired)
			}
			if forgotten := len(machine.UnconfirmedStarts) == 0; forgotten != tc.wantStartsForgotten {
				t.Errorf("unconfirmed starts forgotten: got %v, want %v", forgotten, tc.wantStartsForgotten)
			}
		})
	}
	t.Run("worker sees this term for the first time", func(t *testing.T) {
		machine := cluster.NewMachine("n-1", 0)
		machine.FencingToken, machine.LastAnswered = testTerm-1, answered
		RecordFencingToken(machine, testTerm, testTokens, now)
		if machine.LastAnswered != now || machine.FencingToken != testTerm {
			t.Errorf("last answered, fencing token: got %v, %d; want %v, %d", machine.LastAnswered, machine.FencingToken, now, testTerm)
		}
	})
}
