package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// answerLastCall answers the core's last call with a response status and a body.
func answerLastCall(t *testing.T, leader *leader, status int, body string) {
	t.Helper()
	Result{ID: lastCall(t, leader).ID, Status: status, Body: []byte(body)}.apply(leader.core)
}

// TestReturnPendingChecksTerm checks that a machine is returned only after the store has confirmed
// the term. If the store does not answer and no peer is in contact, the check is retried.
func TestReturnPendingChecksTerm(t *testing.T) {
	for _, tc := range []struct {
		name        string
		status      int
		body        string
		returned    bool
		steppedDown bool
		retryIn     time.Duration // 0 for no retry
	}{
		{"the term holds", httpstatus.OK, `{"logline":7}`, true, false, 0},
		{"there is a higher term", httpstatus.Conflict, `{"failed":["term"],"logline":7}`, false, true, 0},
		{"unanswered", httpstatus.NoAnswer, ``, false, false, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, leader := newLeadingHarness(t, func(*config.Settings) {})
			machine := leader.getOrAddMachine("n-1")
			leader.returnMachine(machine, cluster.DrainIdle)
			leader.returnPending()
			if machine.Returning {
				t.Fatal("machine is being returned before the term was checked")
			}
			answerLastCall(t, leader, tc.status, tc.body)
			if sent := lastCall(t, leader).Path == "/machines/return"; sent != tc.returned || machine.Returning != tc.returned {
				t.Errorf("return sent: %v, machine returning: %v; want %v for both", sent, machine.Returning, tc.returned)
			}
			if leader.steppedDown != tc.steppedDown {
				t.Errorf("stepped down: got %v, want %v", leader.steppedDown, tc.steppedDown)
			}
			if tc.retryIn != 0 && leader.fleet.returnRetryAt != leader.core.now+tc.retryIn {
				t.Errorf("retry at %v, now %v; want a retry after retryIn", leader.fleet.returnRetryAt, leader.core.now)
			}
		})
	}
}

// TestSendReturns returns more machines than one request may contain. Machines whose return is
// confirmed are removed; after a failure all returns stay pending.
func TestSendReturns(t *testing.T) {
	const machines, perRequest = 101, 100
	for _, tc := range []struct {
		name    string
		status  int
		pending int
	}{
		{"done", httpstatus.OK, machines - perRequest},
		{"unavailable", httpstatus.ServiceUnavailable, machines},
		{"unanswered", httpstatus.NoAnswer, machines},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			for i := range machines {
				leader.returnMachine(leader.getOrAddMachine(fmt.Sprintf("n-%03d", i)), cluster.DrainIdle)
			}
			leader.sendReturns()
			answerLastCall(t, leader, tc.status, `{}`)
			if got := len(leader.fleet.pendingReturns); got != tc.pending {
				t.Errorf("pending returns: got %d machines, want %d", got, tc.pending)
			}
			if got := len(leader.Machines); got != tc.pending {
				t.Errorf("known machines: got %d, want %d", got, tc.pending)
			}
			if got := len(leader.returnedMachines); got != machines-tc.pending {
				t.Errorf("returned machines: got %d, want %d", got, machines-tc.pending)
			}
			if failed := tc.pending == machines; failed != (leader.fleet.returnRetryAt == leader.core.now+time.Second) {
				t.Errorf("retry at %v, now %v; want a retry in 1 s if and only if the return failed", leader.fleet.returnRetryAt, leader.core.now)
			}
		})
	}
}
