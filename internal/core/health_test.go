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

// TestHealthz checks whether controllers that the key-value store does not answer accept users.
// One that is alone with that does not, be it that the others reach the store or that it hears
// none of them; in a general outage all do.
func TestHealthz(t *testing.T) {
	for _, tc := range []struct {
		name   string
		peers  func(harness *harness) // what the others' digests say, several times a second
		status int
	}{
		{"the others reach it", func(harness *harness) { heardFrom(harness, true) }, httpstatus.ServiceUnavailable},
		{"the others do not reach it", func(harness *harness) { heardFrom(harness, false) }, httpstatus.OK},
		{"the others are not heard", func(*harness) {}, httpstatus.ServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness := newHarness(t, testMachineTypes)
			setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
			heardFrom(harness, true)
			harness.storeDown = true
			for end := harness.now + 2*harness.core.leaderLeaseDuration(); harness.now < end; {
				tc.peers(harness)
				harness.run(200 * time.Millisecond)
			}
			if a := harness.request("GET", "/healthz", ""); a.Status != tc.status {
				t.Errorf("answered %d, want %d", a.Status, tc.status)
			}
			harness.storeDown = false
			heardFrom(harness, true)
			harness.run(harness.core.leaderLeaseDuration())
			if a := harness.request("GET", "/healthz", ""); a.Status != httpstatus.OK {
				t.Errorf("answered %d once the store is back, want 200", a.Status)
			}
		})
	}
}

// heardFrom makes a controller hear a digest of a peer that does or does not reach the store.
func heardFrom(harness *harness, storeOK bool) {
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{StoreOK: storeOK}}})
}

// TestDeadMachine checks that a machine that is silent and answers no probe is considered dead
// once a worker had the time to change controllers, and only if the network path to it works.
func TestDeadMachine(t *testing.T) {
	for _, tc := range []struct {
		name    string
		silent  time.Duration
		probed  bool // a second ago, without an answer
		reached bool // another machine of its zone has answered since
		newTerm bool // this leader has had no heartbeat of it
		answers bool // it has answered a probe since
		want    bool
	}{
		{name: "silent for long", silent: 9 * time.Second, probed: true, reached: true, want: true},
		{name: "not probed", silent: 9 * time.Second, reached: true},
		{name: "its worker may be changing controllers", silent: 7 * time.Second, probed: true, reached: true},
		{name: "its zone may be partitioned", silent: 9 * time.Second, probed: true},
		{name: "silent since before the failover", silent: 9 * time.Second, probed: true, reached: true, newTerm: true, want: true},
		{name: "it has answered since", silent: 9 * time.Second, probed: true, reached: true, answers: true},
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
				leader.handleDirectStatus(machine, kv.Encode(wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: leader.leadership.Term}))
			}
			check := leader.healthCheck()
			if got := check.IsDead(machine, check.CountSilent(leader.MachinesByName)); got != tc.want {
				t.Errorf("dead %v, want %v", got, tc.want)
			}
		})
	}
}
