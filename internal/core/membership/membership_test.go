package membership

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// Timings of these tests, in the same ratios as in package core.
const (
	workerLease       = 10 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	leaderLease       = workerLease / 5
	expiryBound       = workerLease + workerLease/20
)

// testController stands in for package core (Host) and the election (LeaderView).
type testController struct {
	*Membership
	name              string
	now               time.Duration
	leads             bool
	leader            string
	leaderLastContact time.Duration
	keyReadAt         time.Duration
}

func (c *testController) Now() time.Duration               { return c.now }
func (c *testController) IsLeader() bool                   { return c.leads }
func (c *testController) Leader() string                   { return c.leader }
func (c *testController) LeaderLastContact() time.Duration { return c.leaderLastContact }
func (c *testController) LeaderKeyReadAt() time.Duration   { return c.keyReadAt }

// region has controllers n0 and n1 in zone a, n2 in zone b, n3 in zone c.
var region = []config.Peer{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}, {Name: "n3", Zone: "c"}}

// newTestController creates a controller of the region, with the others as its peers.
func newTestController(name string, incarnation uint64) *testController {
	c := &testController{name: name, now: time.Minute}
	settings := Config{
		Name: name, Incarnation: incarnation,
		WorkerLease: workerLease, HeartbeatInterval: heartbeatInterval, LeaderLease: leaderLease,
	}
	for _, p := range region {
		if p.Name == name {
			settings.Zone = p.Zone
		} else {
			settings.Peers = append(settings.Peers, p)
		}
	}
	c.Membership = New(settings, c, c, slog.New(slog.DiscardHandler))
	return c
}

// receive delivers a digest from a peer to the controller.
func (c *testController) receive(from string, digest wire.Digest) {
	c.RecordMessage(from)
	c.RecordDigest(from, &digest)
}

// TestPeerContact checks the contact with peers and zones some time after the only message of a peer.
func TestPeerContact(t *testing.T) {
	for _, tc := range []struct {
		name      string
		from      string        // sender of the message
		elapsed   time.Duration // since the message
		contact   bool
		lostAll   bool
		lostZones []string // of zones a, b, c and d; d has no controller
	}{
		{"no message", "", 0, false, false, []string{"b", "c"}},
		{"message from an unknown controller", "n9", 0, false, false, []string{"b", "c"}},
		{"message from a peer just now", "n2", 0, true, false, []string{"c"}},
		{"message just less than a leader's lease ago", "n2", leaderLease - 1, true, false, []string{"c"}},
		{"message a leader's lease ago", "n2", leaderLease, false, true, []string{"b", "c"}},
		{"message from a peer of the same zone", "n1", 0, true, false, []string{"b", "c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			known := c.RecordMessage(tc.from)
			if want := tc.from == "n1" || tc.from == "n2"; known != want {
				t.Errorf("sender known: got %v, want %v", known, want)
			}
			c.now += tc.elapsed
			if got := c.HasPeerContact(); got != tc.contact {
				t.Errorf("contact with a peer: got %v, want %v", got, tc.contact)
			}
			if got := c.LostAllPeers(); got != tc.lostAll {
				t.Errorf("LostAllPeers: got %v, want %v", got, tc.lostAll)
			}
			var lost []string
			for _, zone := range []string{"a", "b", "c", "d"} {
				if c.ZoneLost(zone) {
					lost = append(lost, zone)
				}
			}
			if !slices.Equal(lost, tc.lostZones) {
				t.Errorf("lost zones: got %v, want %v", lost, tc.lostZones)
			}
		})
	}
}

// TestPeerVersions checks the versions that peers report. A later report of a lower version has no
// effect.
func TestPeerVersions(t *testing.T) {
	c := newTestController("n0", 1)
	for _, name := range []string{"n1", "n2"} {
		c.receive(name, wire.Digest{Version: 2})
		c.receive(name, wire.Digest{Version: 1})
	}
	if !c.PeerSupports("n1", 2) || c.PeerSupports("n1", 3) || c.PeerSupports("n3", 1) || c.PeerSupports("n9", 0) {
		t.Error("PeerSupports: want n1 to support version 2 but not 3, n3 not 1, and the unknown n9 not 0")
	}
	if c.AllPeersSupport(1) || !c.AllPeersSupport(0) {
		t.Error("AllPeersSupport before n3 has reported a version: want true for version 0, false for 1")
	}
	c.receive("n3", wire.Digest{Version: 1})
	if !c.AllPeersSupport(1) || c.AllPeersSupport(2) {
		t.Error("AllPeersSupport after n3 has reported version 1: want true for version 1, false for 2")
	}
}

// TestPeerReachesStore checks that a peer's report that it can reach the store is valid for three
// seconds.
func TestPeerReachesStore(t *testing.T) {
	c := newTestController("n0", 1)
	c.receive("n1", wire.Digest{})
	if c.PeerReachesStore() {
		t.Error("PeerReachesStore while n1 does not reach the store: got true, want false")
	}
	c.receive("n1", wire.Digest{StoreOK: true})
	c.now += storeStatusValidity - 1
	if !c.PeerReachesStore() {
		t.Error("PeerReachesStore just before the report of n1 expires: got false, want true")
	}
	if c.now++; c.PeerReachesStore() {
		t.Error("PeerReachesStore once the report of n1 has expired: got true, want false")
	}
}

// TestLeaderLost checks whether n0 considers the leader n1 lost some time after the last contact.
func TestLeaderLost(t *testing.T) {
	for _, tc := range []struct {
		name      string
		leads     bool
		noContact time.Duration   // since the last contact with n1
		peers     map[string]bool // peers with contact with n0, and whether they have contact with n1
		returned  time.Duration   // since a worker came back from n1; 0 for none
		want      bool
	}{
		{name: "this controller leads", leads: true, noContact: time.Minute, peers: map[string]bool{"n2": false}},
		{name: "contact with the leader", noContact: leaderLease - 1, peers: map[string]bool{"n2": false}},
		{name: "a peer has no contact either", noContact: leaderLease, peers: map[string]bool{"n2": false}, want: true},
		{name: "one of two peers has contact", noContact: leaderLease, peers: map[string]bool{"n2": false, "n3": true}},
		{name: "only the leader itself reports contact", noContact: leaderLease, peers: map[string]bool{"n1": true}},
		{name: "no contact with any peer", noContact: time.Hour},
		{name: "no contact with any peer, a worker came back", noContact: 2*workerLease + 1, returned: time.Second, want: true},
		{name: "a worker came back, contact within two leases", noContact: 2 * workerLease, returned: time.Second},
		{name: "a worker came back a lease ago", noContact: time.Hour, returned: workerLease},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.leads, c.leader = tc.leads, "n1"
			c.now += time.Hour
			c.leaderLastContact = c.now - tc.noContact
			for name, contact := range tc.peers {
				c.receive(name, wire.Digest{HearsLeader: contact})
			}
			if tc.returned != 0 {
				worker, _ := c.RecordHeartbeat(Heartbeat{Machine: "m", Zone: "a"})
				worker.returnedAt = c.now - tc.returned
			}
			if got := c.LeaderLost(); got != tc.want {
				t.Errorf("LeaderLost: got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRedirectToOwnZone checks when n0 redirects a worker of zone b to n2, so that the worker does
// not lose its lease during the redirection.
func TestRedirectToOwnZone(t *testing.T) {
	for _, tc := range []struct {
		name       string
		zone       string
		answered   time.Duration // since the last response; 0 for none
		redirected time.Duration // since the last redirection; 0 for none
		contact    bool          // n2 has contact with the leader
		want       string
	}{
		{"just answered", "b", heartbeatInterval, 0, true, "n2"},
		{"not answered yet", "b", 0, 0, true, ""},
		{"answered too long ago", "b", 2*heartbeatInterval + 1, 0, true, ""},
		{"redirected too recently", "b", heartbeatInterval, 6 * workerLease, true, ""},
		{"redirected long ago", "b", heartbeatInterval, 6*workerLease + 1, true, "n2"},
		{"no controller of its zone has contact with the leader", "b", heartbeatInterval, 0, false, ""},
		{"its zone has no controller", "d", heartbeatInterval, 0, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.receive("n2", wire.Digest{HearsLeader: tc.contact})
			heartbeat := Heartbeat{Machine: "m", Zone: tc.zone}
			worker, _ := c.RecordHeartbeat(heartbeat)
			if tc.answered != 0 {
				worker.lastAnswered = c.now - tc.answered
			}
			if tc.redirected != 0 {
				worker.redirectedAt = c.now - tc.redirected
			}
			if _, got := c.RecordHeartbeat(heartbeat); got != tc.want {
				t.Errorf("redirected to: got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestPreferredController checks that the machines of zone a are distributed over its two
// controllers, and that all controllers make the same choice.
func TestPreferredController(t *testing.T) {
	n0, n1, n2 := newTestController("n0", 1), newTestController("n1", 2), newTestController("n2", 3)
	for _, c := range []*testController{n0, n1, n2} {
		for _, name := range []string{"n0", "n1"} {
			c.receive(name, wire.Digest{HearsLeader: true})
		}
	}
	chosen := map[string]int{}
	for i := range 1000 {
		machine := fmt.Sprintf("n-%06d", i)
		preferred := n2.preferredController(machine, "a")
		if p0, p1 := n0.preferredController(machine, "a"), n1.preferredController(machine, "a"); p0 != preferred || p1 != preferred {
			t.Fatalf("preferred controller of %s: got %q on n0, %q on n1, %q on n2; want the same", machine, p0, p1, preferred)
		}
		chosen[preferred]++
	}
	if len(chosen) != 2 || min(chosen["n0"], chosen["n1"]) < 400 {
		t.Errorf("machines by controller: got %v, want at least 400 of 1000 on each of n0 and n1", chosen)
	}
}

// TestRedirectWithoutLeader checks where n0, without contact with the leader n1, redirects a worker.
func TestRedirectWithoutLeader(t *testing.T) {
	for _, tc := range []struct {
		name        string
		peerContact bool // n2 has contact with the leader
		keyRead     bool // the leader key was read recently
		idle        bool
		noContact   time.Duration // since the last contact with the leader
		redirected  time.Duration // since the last redirection to n1; 0 for none
		want        string
		returned    bool // counts as having come back from the leader
	}{
		{name: "a peer has contact with the leader", peerContact: true, keyRead: true, idle: true, noContact: time.Minute, want: "n2"},
		{name: "an idle worker is redirected to the leader", keyRead: true, idle: true, noContact: time.Minute, want: "n1"},
		{name: "a worker with tasks is not redirected", keyRead: true, noContact: time.Minute},
		{name: "a worker with tasks whose lease is no longer extended", keyRead: true, noContact: maxExtensionLeases * workerLease, want: "n1"},
		{name: "the leader key was not read", idle: true, noContact: time.Minute},
		{name: "the worker came back within two leases", keyRead: true, idle: true, noContact: time.Minute, redirected: 2*workerLease - 1, returned: true},
		{name: "the worker came back after two leases", keyRead: true, idle: true, noContact: time.Minute, redirected: 2 * workerLease},
		{name: "the worker may be redirected again", keyRead: true, idle: true, noContact: time.Minute, redirected: 6*workerLease + 1, want: "n1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.leader, c.leaderLastContact = "n1", c.now-tc.noContact
			if tc.keyRead {
				c.keyReadAt = c.now
			}
			c.receive("n2", wire.Digest{HearsLeader: tc.peerContact})
			worker, _ := c.RecordHeartbeat(Heartbeat{Machine: "m", Zone: "a", Idle: tc.idle})
			if tc.redirected != 0 {
				worker.redirectedAt, worker.redirectedTo = c.now-tc.redirected, "n1"
			}
			if got := c.RedirectWithoutLeader(worker); got != tc.want {
				t.Errorf("redirected to: got %q, want %q", got, tc.want)
			}
			if got := worker.returnedAt == c.now; got != tc.returned {
				t.Errorf("came back from the leader: got %v, want %v", got, tc.returned)
			}
		})
	}
}

// TestForgetSilentWorkers checks that a worker is removed after more than eight leases of silence.
func TestForgetSilentWorkers(t *testing.T) {
	c := newTestController("n0", 1)
	c.RecordHeartbeat(Heartbeat{Machine: "m"})
	c.now += 8 * workerLease
	c.ForgetSilentWorkers()
	if len(c.workers) != 1 {
		t.Error("worker after eight leases: got removed, want kept")
	}
	c.now++
	c.ForgetSilentWorkers()
	if len(c.workers) != 0 {
		t.Error("worker after more than eight leases: got kept, want removed")
	}
}
