package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// lastCall is the last call that the core has made.
func lastCall(t *testing.T, leader *leader) Call {
	t.Helper()
	calls := leader.core.out.Calls
	if len(calls) == 0 {
		t.Fatal("no call")
	}
	return calls[len(calls)-1]
}

// TestProvisionResult answers a request for two machines in each way. A request that the cloud has
// decided on is closed; any other is repeated a second later. An offer that was not granted in full
// backs off.
func TestProvisionResult(t *testing.T) {
	requested := offer("large", "a", false)
	for _, tc := range []struct {
		name     string
		number   int
		body     string
		open     bool
		backoff  time.Duration // of the offer
		machines int
	}{
		{"granted", httpstatus.OK, `{"hosts":["n-1","n-2"]}`, false, 0, 2},
		{"granted in part", httpstatus.OK, `{"hosts":["n-1"]}`, false, 6 * time.Second, 1},
		{"granted, not decodable", httpstatus.OK, `{`, false, 6 * time.Second, 0},
		{"granted, one of them returned already", httpstatus.OK, `{"hosts":["n-1","n-returned"]}`, false, 0, 1},
		{"no capacity", httpstatus.ServiceUnavailable, `{"error":"no capacity"}`, false, 6 * time.Second, 0},
		{"rejected", httpstatus.BadRequest, `{}`, false, 60 * time.Second, 0},
		{"unavailable", httpstatus.ServiceUnavailable, `{"error":"trouble"}`, true, 0, 0},
		{"throttled", httpstatus.TooManyRequests, `{}`, true, 0, 0},
		{"unanswered", httpstatus.NoAnswer, ``, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			leader.returnedMachines["n-returned"] = leader.core.now
			leader.requestShortfalls([]provisioning.Shortfall{{Offer: requested, Count: 2}})
			Result{ID: lastCall(t, leader).ID, Status: tc.number, Body: []byte(tc.body)}.apply(leader.core)

			open := leader.fleet.requests.OpenRequests()
			if (len(open) > 0) != tc.open {
				t.Errorf("%d open requests", len(open))
			}
			if tc.open && (open[0].InFlight || open[0].RetryAt != leader.core.now+time.Second) {
				t.Errorf("not repeated: %+v", open[0])
			}
			availability := leader.fleet.availability
			if tc.backoff > 0 && !availability.InBackoff(requested, leader.core.now+tc.backoff-1) || availability.InBackoff(requested, leader.core.now+tc.backoff) {
				t.Errorf("backoff is not %v", tc.backoff)
			}
			if len(leader.Machines) != tc.machines {
				t.Errorf("%d machines known, want %d", len(leader.Machines), tc.machines)
			}
			for _, machine := range leader.MachinesByName {
				if machine.Offer() != requested || machine.ProvisionRequestedAt != leader.core.now {
					t.Errorf("machine %+v", machine)
				}
			}
		})
	}
}
