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

// The timings of these tests, in the ratios that package core uses.
const (
	workerLease       = 10 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	leaderLease       = workerLease / 5
	expiryBound       = workerLease + workerLease/20
)

// testController is package core and the election in these tests.
type testController struct {
	*Membership
	name        string
	now         time.Duration
	leads       bool
	leader      string
	leaderHeard time.Duration
	keyRead     time.Duration
}

func (c *testController) Now() time.Duration           { return c.now }
func (c *testController) IsLeader() bool               { return c.leads }
func (c *testController) Leader() string               { return c.leader }
func (c *testController) LeaderHeard() time.Duration   { return c.leaderHeard }
func (c *testController) LeaderKeyRead() time.Duration { return c.keyRead }

// region has controllers n0 and n1 in zone a, n2 in zone b, n3 in zone c.
var region = []config.Peer{{Name: "n0", Zone: "a"}, {Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}, {Name: "n3", Zone: "c"}}

// newTestController makes a controller of the region, with the others as its peers.
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

// hear makes a controller receive a digest of a peer.
func (c *testController) hear(from string, digest wire.Digest) {
	c.RecordMessage(from)
	c.RecordDigest(from, &digest)
}

// TestPeersHeard lets time pass after the only message of a peer.
func TestPeersHeard(t *testing.T) {
	for _, tc := range []struct {
		name     string
		from     string
		elapsed  time.Duration
		hears    bool
		lostAll  bool
		lostZone []string // of zones a, b, c and d, which has no controller
	}{
		{"nobody was heard", "", 0, false, false, []string{"b", "c"}},
		{"an unknown controller was heard", "n9", 0, false, false, []string{"b", "c"}},
		{"a peer was heard just now", "n2", 0, true, false, []string{"c"}},
		{"almost a leader's lease ago", "n2", leaderLease - 1, true, false, []string{"c"}},
		{"a leader's lease ago", "n2", leaderLease, false, true, []string{"b", "c"}},
		{"a peer of the same zone", "n1", 0, true, false, []string{"b", "c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			known := c.RecordMessage(tc.from)
			if want := tc.from == "n1" || tc.from == "n2"; known != want {
				t.Errorf("known %v, want %v", known, want)
			}
			c.now += tc.elapsed
			if got := c.HearsPeer(); got != tc.hears {
				t.Errorf("hears a peer: %v, want %v", got, tc.hears)
			}
			if got := c.LostAllPeers(); got != tc.lostAll {
				t.Errorf("lost all peers: %v, want %v", got, tc.lostAll)
			}
			var lost []string
			for _, zone := range []string{"a", "b", "c", "d"} {
				if c.ZoneLost(zone) {
					lost = append(lost, zone)
				}
			}
			if !slices.Equal(lost, tc.lostZone) {
				t.Errorf("lost zones %v, want %v", lost, tc.lostZone)
			}
		})
	}
}

// TestVersions raises the versions of peers, which never fall again.
func TestVersions(t *testing.T) {
	c := newTestController("n0", 1)
	for _, name := range []string{"n1", "n2"} {
		c.hear(name, wire.Digest{Version: 2})
		c.hear(name, wire.Digest{Version: 1})
	}
	if !c.PeerSupports("n1", 2) || c.PeerSupports("n1", 3) || c.PeerSupports("n3", 1) || c.PeerSupports("n9", 0) {
		t.Error("versions of single peers")
	}
	if c.AllPeersSupport(1) || !c.AllPeersSupport(0) {
		t.Error("n3 has named no version")
	}
	c.hear("n3", wire.Digest{Version: 1})
	if !c.AllPeersSupport(1) || c.AllPeersSupport(2) {
		t.Error("n3 has named version 1")
	}
}

// TestPeerReachesStore relies on a peer's statement about the store for three seconds.
func TestPeerReachesStore(t *testing.T) {
	c := newTestController("n0", 1)
	c.hear("n1", wire.Digest{})
	if c.PeerReachesStore() {
		t.Error("no peer reaches the store")
	}
	c.hear("n1", wire.Digest{StoreOK: true})
	c.now += storeStatusValidity - 1
	if !c.PeerReachesStore() {
		t.Error("n1 reaches the store")
	}
	if c.now++; c.PeerReachesStore() {
		t.Error("the statement of n1 is too old")
	}
}

// TestLeaderLost asks n0 whether the leader n1, not heard for some time, is lost.
func TestLeaderLost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		leads    bool
		unheard  time.Duration   // since n1 was heard
		peers    map[string]bool // those that are heard, and whether they hear n1
		returned time.Duration   // since a worker came back from n1; 0 for none
		want     bool
	}{
		{name: "this controller leads", leads: true, unheard: time.Minute, peers: map[string]bool{"n2": false}},
		{name: "the leader is heard", unheard: leaderLease - 1, peers: map[string]bool{"n2": false}},
		{name: "a peer agrees", unheard: leaderLease, peers: map[string]bool{"n2": false}, want: true},
		{name: "one of two peers hears the leader", unheard: leaderLease, peers: map[string]bool{"n2": false, "n3": true}},
		{name: "only the leader itself says that it leads", unheard: leaderLease, peers: map[string]bool{"n1": true}},
		{name: "no peer is heard", unheard: time.Hour},
		{name: "no peer is heard, but a worker came back", unheard: 2*workerLease + 1, returned: time.Second, want: true},
		{name: "a worker came back too early", unheard: 2 * workerLease, returned: time.Second},
		{name: "a worker came back long ago", unheard: time.Hour, returned: workerLease},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.leads, c.leader = tc.leads, "n1"
			c.now += time.Hour
			c.leaderHeard = c.now - tc.unheard
			for name, hearsLeader := range tc.peers {
				c.hear(name, wire.Digest{HearsLeader: hearsLeader})
			}
			if tc.returned != 0 {
				worker, _ := c.RecordHeartbeat(Heartbeat{Machine: "m", Zone: "a"})
				worker.returnedAt = c.now - tc.returned
			}
			if got := c.LeaderLost(); got != tc.want {
				t.Errorf("lost %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRedirectToOwnZone redirects a worker of zone b at n0 to n2, under the conditions that
// keep it from losing its lease on the way.
func TestRedirectToOwnZone(t *testing.T) {
	for _, tc := range []struct {
		name       string
		zone       string
		answered   time.Duration // since the last answer; 0 for none
		redirected time.Duration // since the last redirection; 0 for none
		hears      bool          // n2 hears the leader
		want       string
	}{
		{"just answered", "b", heartbeatInterval, 0, true, "n2"},
		{"not answered yet", "b", 0, 0, true, ""},
		{"answered too long ago", "b", 2*heartbeatInterval + 1, 0, true, ""},
		{"redirected lately", "b", heartbeatInterval, 6 * workerLease, true, ""},
		{"redirected before", "b", heartbeatInterval, 6*workerLease + 1, true, "n2"},
		{"no controller of its zone hears the leader", "b", heartbeatInterval, 0, false, ""},
		{"its zone has no controller", "d", heartbeatInterval, 0, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.hear("n2", wire.Digest{HearsLeader: tc.hears})
			heartbeat := Heartbeat{Machine: "m", Zone: tc.zone}
			worker, _ := c.RecordHeartbeat(heartbeat)
			if tc.answered != 0 {
				worker.lastAnswered = c.now - tc.answered
			}
			if tc.redirected != 0 {
				worker.redirectedAt = c.now - tc.redirected
			}
			if _, got := c.RecordHeartbeat(heartbeat); got != tc.want {
				t.Errorf("redirected to %q, want %q", got, tc.want)
			}
		})
	}
}

// TestZoneIsShared spreads the machines of zone a over its two controllers, which agree.
func TestZoneIsShared(t *testing.T) {
	n0, n1, n2 := newTestController("n0", 1), newTestController("n1", 2), newTestController("n2", 3)
	for _, c := range []*testController{n0, n1, n2} {
		for _, name := range []string{"n0", "n1"} {
			c.hear(name, wire.Digest{HearsLeader: true})
		}
	}
	chosen := map[string]int{}
	for i := range 1000 {
		machine := fmt.Sprintf("n-%06d", i)
		preferred := n2.preferredController(machine, "a")
		if p0, p1 := n0.preferredController(machine, "a"), n1.preferredController(machine, "a"); p0 != preferred || p1 != preferred {
			t.Fatalf("%s: n0 prefers %q, n1 %q, n2 %q", machine, p0, p1, preferred)
		}
		chosen[preferred]++
	}
	if len(chosen) != 2 || min(chosen["n0"], chosen["n1"]) < 400 {
		t.Errorf("machines by controller: %v", chosen)
	}
}

// TestRedirectWithoutLeader asks n0, which does not hear the leader n1, where to redirect a
// worker.
func TestRedirectWithoutLeader(t *testing.T) {
	for _, tc := range []struct {
		name       string
		peerHears  bool // n2 hears the leader
		keyRead    bool // the store has shown the leader's key lately
		idle       bool
		unheard    time.Duration // since the leader was heard
		redirected time.Duration // since the last redirection to n1; 0 for none
		want       string
		returned   bool // counts as come back from the leader
	}{
		{name: "a peer hears the leader", peerHears: true, keyRead: true, idle: true, unheard: time.Minute, want: "n2"},
		{name: "an idle worker asks the leader", keyRead: true, idle: true, unheard: time.Minute, want: "n1"},
		{name: "a worker with tasks stays", keyRead: true, unheard: time.Minute},
		{name: "a worker with tasks whose lease is not extended any more", keyRead: true, unheard: maxExtensionLeases * workerLease, want: "n1"},
		{name: "the store shows no leader", idle: true, unheard: time.Minute},
		{name: "it came back at once", keyRead: true, idle: true, unheard: time.Minute, redirected: 2*workerLease - 1, returned: true},
		{name: "it came back later", keyRead: true, idle: true, unheard: time.Minute, redirected: 2 * workerLease},
		{name: "it may ask again", keyRead: true, idle: true, unheard: time.Minute, redirected: 6*workerLease + 1, want: "n1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.leader, c.leaderHeard = "n1", c.now-tc.unheard
			if tc.keyRead {
				c.keyRead = c.now
			}
			c.hear("n2", wire.Digest{HearsLeader: tc.peerHears})
			worker, _ := c.RecordHeartbeat(Heartbeat{Machine: "m", Zone: "a", Idle: tc.idle})
			if tc.redirected != 0 {
				worker.redirectedAt, worker.redirectedTo = c.now-tc.redirected, "n1"
			}
			if got := c.RedirectWithoutLeader(worker); got != tc.want {
				t.Errorf("redirected to %q, want %q", got, tc.want)
			}
			if got := worker.returnedAt == c.now; got != tc.returned {
				t.Errorf("came back from the leader: %v, want %v", got, tc.returned)
			}
		})
	}
}

// TestForgetSilentWorkers forgets a worker after eight leases.
func TestForgetSilentWorkers(t *testing.T) {
	c := newTestController("n0", 1)
	c.RecordHeartbeat(Heartbeat{Machine: "m"})
	c.now += 8 * workerLease
	c.ForgetSilentWorkers()
	if len(c.workers) != 1 {
		t.Error("forgotten after eight leases")
	}
	c.now++
	c.ForgetSilentWorkers()
	if len(c.workers) != 0 {
		t.Error("not forgotten after more than eight leases")
	}
}
