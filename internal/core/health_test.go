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
		peers  func(b *harness) // what the others' digests say, several times a second
		status int
	}{
		{"the others reach it", func(b *harness) { heardFrom(b, true) }, httpstatus.ServiceUnavailable},
		{"the others do not reach it", func(b *harness) { heardFrom(b, false) }, httpstatus.OK},
		{"the others are not heard", func(*harness) {}, httpstatus.ServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t, testMachineTypes)
			setPeers(b.core, config.Peer{Name: "n1", Zone: "b"})
			heardFrom(b, true)
			b.storeDown = true
			for end := b.now + 2*b.core.leaderLeaseDuration(); b.now < end; {
				tc.peers(b)
				b.run(200 * time.Millisecond)
			}
			if a := b.request("GET", "/healthz", ""); a.Status != tc.status {
				t.Errorf("answered %d, want %d", a.Status, tc.status)
			}
			b.storeDown = false
			heardFrom(b, true)
			b.run(b.core.leaderLeaseDuration())
			if a := b.request("GET", "/healthz", ""); a.Status != httpstatus.OK {
				t.Errorf("answered %d once the store is back, want 200", a.Status)
			}
		})
	}
}

// heardFrom makes a controller hear a digest of a peer that does or does not reach the store.
func heardFrom(b *harness, storeOK bool) {
	b.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{StoreOK: storeOK}}})
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
			_, l := newLeadingHarness(t, func(*config.Settings) {})
			l.core.now += 1000 * time.Second
			l.recordsLoadedAt = l.core.now - tc.silent
			m := idleMachine(l, "n-1", "g4")
			for _, name := range []string{"n-2", "n-3"} {
				idleMachine(l, name, "g4").HeartbeatController = "n0"
			}
			m.LastHeartbeat, m.HeartbeatController = l.core.now-tc.silent, "n0"
			if tc.newTerm {
				m.LastHeartbeat, m.HeartbeatController = 0, ""
				j := cluster.NewJob(records.Open{Job: wire.Job{ID: "job-1", Tasks: 1, GPUs: 1}}, 1)
				l.writer.InitPlacementRecords(j)
				l.place(j, 0, m)
			} else {
				l.recordsLoadedAt -= 100 * time.Second
			}
			if tc.probed {
				l.handleProbeResult(m, l.core.now-time.Second, Result{Status: httpstatus.NoAnswer})
			}
			if tc.reached {
				l.zoneReachedAt["a"] = l.core.now
			}
			if tc.answers {
				l.handleDirectStatus(m, kv.Encode(wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: l.leadership.Term}))
			}
			check := l.healthCheck()
			if got := check.IsDead(m, check.Survey(l.MachinesByName)); got != tc.want {
				t.Errorf("dead %v, want %v", got, tc.want)
			}
		})
	}
}
