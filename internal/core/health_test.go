package core

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestHealthz checks the health of a controller that cannot reach the key-value store. It is
// unhealthy if its peers reach the store or if it has no contact with them, and healthy in a
// general outage of the store.
func TestHealthz(t *testing.T) {
	for _, tc := range []struct {
		name   string
		peers  func(harness *harness) // sends the peer's digests, called several times a second
		status int
	}{
		{"the peer reaches the store", func(harness *harness) { receivePeerDigest(harness, true) }, httpstatus.ServiceUnavailable},
		{"the peer does not reach the store either", func(harness *harness) { receivePeerDigest(harness, false) }, httpstatus.OK},
		{"no contact with the peer", func(*harness) {}, httpstatus.ServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness := newHarness(t, testMachineTypes)
			setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
			receivePeerDigest(harness, true)
			harness.storeDown = true
			for end := harness.now + 2*harness.core.leaderLeaseDuration(); harness.now < end; {
				tc.peers(harness)
				harness.run(200 * time.Millisecond)
			}
			if a := harness.request("GET", "/healthz", ""); a.Status != tc.status {
				t.Errorf("without the store: got status %d, want %d", a.Status, tc.status)
			}
			harness.storeDown = false
			receivePeerDigest(harness, true)
			harness.run(harness.core.leaderLeaseDuration())
			if a := harness.request("GET", "/healthz", ""); a.Status != httpstatus.OK {
				t.Errorf("after the store has recovered: got status %d, want 200", a.Status)
			}
		})
	}
}

// receivePeerDigest delivers a digest of a peer that reaches the store or not.
func receivePeerDigest(harness *harness, storeOK bool) {
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{StoreOK: storeOK}}})
}

// TestDeadMachine checks that a machine that sends no heartbeats and does not respond to a probe is
// considered dead after the time that a worker needs to change controllers, but only if its zone is
// reachable.
func TestDeadMachine(t *testing.T) {
	for _, tc := range []struct {
		name    string
		silent  time.Duration
		probed  bool // a second ago, without a response
		reached bool // another machine of its zone has responded since
		newTerm bool // this leader has received no heartbeat from it
		answers bool // it has responded to a probe since
		want    bool
	}{
		{name: "silent for long", silent: 9 * time.Second, probed: true, reached: true, want: true},
		{name: "not probed", silent: 9 * time.Second, reached: true},
		{name: "its worker may be changing controllers", silent: 7 * time.Second, probed: true, reached: true},
		{name: "its zone may be partitioned", silent: 9 * time.Second, probed: true},
		{name: "silent since before the failover", silent: 9 * time.Second, probed: true, reached: true, newTerm: true, want: true},
		{name: "it has responded since", silent: 9 * time.Second, probed: true, reached: true, answers: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, leader := newLeadingHarness(t, func(*config.Settings) {})
			leader.core.now += 1000 * time.Second
			leader.recordsLoadedAt = leader.core.now - tc.silent
			machine := idleMachine(leader, "n-1", "g4")
			for _, name := range []string{"n-2", "n-3"} {
				idleMachine(leader, name, "g4").HeartbeatController = "n0"
			}
			machine.LastHeartbeat, machine.HeartbeatController = leader.core.now-tc.silent, "n0"
			if tc.newTerm {
				machine.LastHeartbeat, machine.HeartbeatController = 0, ""
				job := cluster.NewJob(records.Open{Job: wire.Job{ID: "job-1", Tasks: 1, GPUs: 1}}, 1)
				leader.writer.InitPlacementRecords(job)
				leader.place(job, 0, machine)
			} else {
				leader.recordsLoadedAt -= 100 * time.Second
			}
			if tc.probed {
				leader.handleProbeResult(machine, leader.core.now-time.Second, Result{Status: httpstatus.NoAnswer})
			}
			if tc.reached {
				leader.zoneReachedAt["a"] = leader.core.now
			}
			if tc.answers {
				leader.handleDirectStatus(machine, kv.Encode(wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: leader.leadership.FirstToken}))
			}
			check := leader.healthCheck()
			if got := check.IsDead(machine, check.CountSilent(leader.MachinesByName)); got != tc.want {
				t.Errorf("machine considered dead: got %v, want %v", got, tc.want)
			}
		})
	}
}
