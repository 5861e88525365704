package core

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// TestListPages reads a machine list of two pages. A machine that is missing from it, and was last
// listed long ago, is returned, but only if both pages could be read.
func TestListPages(t *testing.T) {
	const first, last = `{"hosts":[{"nameId":"n-1"},{"nameId":"n-2"}],"truncated":true}`, `{"hosts":[{"nameId":"n-3"}]}`
	for _, tc := range []struct {
		name     string
		status   int // status of the response with the second page
		body     string
		returned bool
		nextIn   time.Duration
	}{
		{"both pages read", httpstatus.OK, last, true, 2 * time.Second},
		{"second page unanswered", httpstatus.NoAnswer, ``, false, time.Second},
		{"second page not decodable", httpstatus.OK, `{"hosts":[`, false, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			vanished := leader.getOrAddMachine("n-0")
			vanished.ListedAt = leader.core.now - 10*leader.listLag()
			leader.startListing()
			if got := lastCall(t, leader).Path; got != "/machines?limit=500" {
				t.Errorf("path of the first page: got %s, want /machines?limit=500", got)
			}
			answerLastCall(t, leader, httpstatus.OK, first)
			if got := lastCall(t, leader).Path; got != "/machines?limit=500&since=n-2" {
				t.Errorf("path of the second page: got %s, want /machines?limit=500&since=n-2", got)
			}
			answerLastCall(t, leader, tc.status, tc.body)
			if got := leader.fleet.pendingReturns["n-0"]; got != tc.returned {
				t.Errorf("unlisted machine returned: got %v, want %v", got, tc.returned)
			}
			if leader.fleet.listInFlight || leader.fleet.nextListAt != leader.core.now+tc.nextIn {
				t.Errorf("next read of the list at %v, now %v; want no read in flight and the next one after nextIn", leader.fleet.nextListAt, leader.core.now)
			}
		})
	}
}

// TestRecordListedAge checks which age the leader assumes for a listed machine.
func TestRecordListedAge(t *testing.T) {
	const ageS = 100
	for _, tc := range []struct {
		name          string
		known         bool
		lastHeartbeat time.Duration
		want          time.Duration // age afterwards; a known machine has age 0 before
	}{
		{"new", false, 0, ageS * time.Second},
		{"known by heartbeats", true, time.Second, ageS * time.Second},
		{"known from records, without a heartbeat", true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			if tc.known {
				leader.getOrAddMachine("n-1").LastHeartbeat = tc.lastHeartbeat
			}
			leader.recordListed(&wire.Machine{Name: "n-1", Addr: "10.0.0.1:1", Type: "small", Zone: "b", Spot: true, AgeS: ageS, Status: wire.MachineBooting})
			machine := leader.Machines["n-1"]
			if got := leader.core.now - machine.CreatedAt; got != tc.want {
				t.Errorf("age: got %v, want %v", got, tc.want)
			}
			if machine.Offer() != offer("small", "b", true) || machine.Address != "10.0.0.1:1" || machine.ListedAs != wire.MachineBooting {
				t.Errorf("machine: got %+v, want a booting spot machine of type small in zone b at 10.0.0.1:1", machine.Identity)
			}
		})
	}
}

// TestRecordListedReturned checks that a machine that is still listed long after its return was
// confirmed is returned again.
func TestRecordListedReturned(t *testing.T) {
	for _, tc := range []struct {
		name string
		ago  time.Duration // since the return, in excess of four list lags
		want bool
	}{
		{"the list may be old", 0, false},
		{"the list is newer", 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newForecastLeader(t)
			leader.returnedMachines["n-1"] = leader.core.now - 4*leader.listLag() - tc.ago
			leader.recordListed(&wire.Machine{Name: "n-1", Type: "small", Zone: "b"})
			if got := leader.fleet.pendingReturns["n-1"]; got != tc.want {
				t.Errorf("returned again: got %v, want %v", got, tc.want)
			}
			if leader.Machines["n-1"] != nil {
				t.Error("returned machine was added again, want it to stay unknown")
			}
		})
	}
}

// TestAgeOfKnownMachines checks that the age of a machine that a new leader knows from the records
// is taken from the cloud's list once the machine has sent a heartbeat.
func TestAgeOfKnownMachines(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	recorded, provisioned, silent := leader.getOrAddMachine("n-000001"), leader.getOrAddMachine("n-000002"), leader.getOrAddMachine("n-000004")
	recorded.LastHeartbeat, provisioned.LastHeartbeat = harness.core.now, harness.core.now
	provisioned.CreatedAt = harness.core.now - 90*time.Second
	for _, name := range []string{"n-000001", "n-000002", "n-000003", "n-000004"} {
		leader.recordListed(&wire.Machine{Name: name, Type: "small", Zone: "a", Status: "running", AgeS: 80})
	}
	for machine, want := range map[*cluster.Machine]time.Duration{
		recorded:                    80 * time.Second,
		provisioned:                 90 * time.Second,
		leader.Machines["n-000003"]: 80 * time.Second,
		silent:                      0,
	} {
		if age := harness.core.now - machine.CreatedAt; age != want {
			t.Errorf("age of %s: got %v, want %v", machine.Name, age, want)
		}
	}
	if slices.Contains(sortedKeys(leader.fleet.pendingReturns), "n-000001") {
		t.Error("n-000001 is pending return, want it kept")
	}
}
