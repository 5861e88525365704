package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// TestExtendLease checks when a lease may be extended.
func TestExtendLease(t *testing.T) {
	for _, tc := range []struct {
		name      string
		token     uint64
		noContact time.Duration // since the last contact with the leader
		want      bool
	}{
		{"no contact with the leader for one lease", 5, workerLease, true},
		{"worker has not seen any term", 0, workerLease, false},
		{"no contact for just less than the maximum time", 5, maxExtensionLeases*workerLease - 1, true},
		{"no contact for the maximum time", 5, maxExtensionLeases * workerLease, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.leaderLastContact = c.now - tc.noContact
			if got := c.ExtendLease("m", tc.token); got != tc.want {
				t.Errorf("ExtendLease: got %v, want %v", got, tc.want)
			}
			if got := len(c.extendedLeases()) == 1; got != tc.want {
				t.Errorf("extension listed in digests: got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestAcknowledgement checks that an extension is listed until the digest of a leader shows that the
// leader has received it.
func TestAcknowledgement(t *testing.T) {
	extendedAt := time.Minute
	later := int64(extendedAt + 1)
	for _, tc := range []struct {
		name    string
		digest  wire.Digest
		elapsed time.Duration // since the extension
		listed  bool
	}{
		{"leader has received a later digest", wire.Digest{Term: 5, EchoBoot: 1, Echo: later}, 2*workerLease + 1, false},
		{"leader has received no later digest", wire.Digest{Term: 5, EchoBoot: 1, Echo: later - 1}, 2*workerLease + 1, true},
		{"leader has received one of an earlier incarnation", wire.Digest{Term: 5, EchoBoot: 9, Echo: later}, 2*workerLease + 1, true},
		{"leader's term earlier than the worker's", wire.Digest{Term: 4, EchoBoot: 1, Echo: later}, 2*workerLease + 1, true},
		{"leader's term later than the worker's", wire.Digest{Term: 6, EchoBoot: 1, Echo: later}, 2*workerLease + 1, false},
		{"extension exactly two leases ago", wire.Digest{Term: 5, EchoBoot: 1, Echo: later}, 2 * workerLease, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.ExtendLease("m", 5)
			c.now += tc.elapsed
			c.RecordAcknowledgement(&tc.digest)
			if got := len(c.extendedLeases()) == 1; got != tc.listed {
				t.Errorf("extension listed in digests: got %v, want %v", got, tc.listed)
			}
		})
	}
}

// TestAcknowledgementOfNextTerm checks that acknowledgements by the leader of an earlier term are
// ignored once a later term is known.
func TestAcknowledgementOfNextTerm(t *testing.T) {
	c := newTestController("n0", 1)
	c.ExtendLease("m", 5)
	c.now += 2*workerLease + 1
	c.RecordAcknowledgement(&wire.Digest{Term: 4, EchoBoot: 1, Echo: int64(c.now)})
	c.RecordAcknowledgement(&wire.Digest{Term: 6, EchoBoot: 1, Echo: 0})
	if len(c.extendedLeases()) != 1 {
		t.Error("extension before the leader of term 6 has received it: got not listed, want listed")
	}
	c.RecordAcknowledgement(&wire.Digest{Term: 5, EchoBoot: 1, Echo: int64(c.now)})
	if len(c.extendedLeases()) != 1 {
		t.Error("extension after an acknowledgement by a replaced leader: got not listed, want listed")
	}
}

// TestLeaseExpired checks when the leader n0 finds a worker's lease expired. The leader last renewed
// it at the time zero.
func TestLeaseExpired(t *testing.T) {
	zero := time.Minute
	report := func(incarnation uint64, until time.Duration) wire.Digest {
		return wire.Digest{Boot: incarnation, EchoBoot: 1, Echo: int64(until)}
	}
	for _, tc := range []struct {
		name string
		// later delivers the digests of n3 after zero; those of n1 and n2 report all extensions.
		later   func(c *testController)
		elapsed time.Duration // since zero
		want    bool
	}{
		{"all peers report", func(c *testController) { c.receive("n3", report(3, c.now)) }, 2 * workerLease, true},
		{"bound not exceeded", func(c *testController) { c.receive("n3", report(3, c.now)) }, expiryBound, false},
		{"one peer reports until just before the bound", func(c *testController) { c.receive("n3", report(3, zero+expiryBound-1)) }, 2 * workerLease, false},
		{"one peer reports until the bound", func(c *testController) { c.receive("n3", report(3, zero+expiryBound)) }, 2 * workerLease, true},
		{"one peer sends nothing", func(*testController) {}, 2 * workerLease, false},
		{"one peer echoes an earlier incarnation", func(c *testController) {
			digest := report(3, c.now)
			digest.EchoBoot = 9
			c.receive("n3", digest)
		}, 2 * workerLease, false},
		{"one peer has restarted", func(c *testController) { c.receive("n3", report(4, c.now)) }, 2 * workerLease, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.leads = true
			for i, name := range []string{"n1", "n2", "n3"} {
				c.now = zero - time.Second
				c.receive(name, wire.Digest{Boot: uint64(i + 1)})
			}
			c.now = zero + tc.elapsed
			c.receive("n1", report(1, c.now))
			c.receive("n2", report(2, c.now))
			tc.later(c)
			if got := c.LeaseExpired(zero, expiryBound); got != tc.want {
				t.Errorf("LeaseExpired: got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestMissingIncarnation checks that the digests of a peer that does not report its incarnation are
// not sufficient for lease expiry: restarts of the peer would not be detected.
func TestMissingIncarnation(t *testing.T) {
	c := newTestController("n0", 1)
	c.leads = true
	lastRenewal := c.now
	c.now += time.Hour
	for incarnation, name := range []string{"n3", "n1", "n2"} {
		c.receive(name, wire.Digest{Boot: uint64(incarnation), EchoBoot: 1, Echo: int64(c.now)})
	}
	// These digests are the first of n1 and n2; the next ones follow two leases later.
	c.now += 2 * workerLease
	for incarnation, name := range []string{"n3", "n1", "n2"} {
		c.receive(name, wire.Digest{Boot: uint64(incarnation), EchoBoot: 1, Echo: int64(c.now)})
	}
	if c.LeaseExpired(lastRenewal, expiryBound) {
		t.Error("LeaseExpired while n3 reports no incarnation: got true, want false")
	}
	c.receive("n3", wire.Digest{Boot: 3})
	c.now += 2 * workerLease
	for incarnation, name := range map[uint64]string{1: "n1", 2: "n2", 3: "n3"} {
		c.receive(name, wire.Digest{Boot: incarnation, EchoBoot: 1, Echo: int64(c.now)})
	}
	if !c.LeaseExpired(lastRenewal, expiryBound) {
		t.Error("LeaseExpired after all peers reported their incarnations: got false, want true")
	}
}

// TestLeaseExpiryIsSafe simulates random lease extensions, lost digests and restarts. The leader must
// not find a lease expired while the worker still holds it, and has to find it expired once digests
// of all controllers arrive again.
func TestLeaseExpiryIsSafe(t *testing.T) {
	for seed := range uint64(500) {
		s := newLeaseSimulator(seed)
		for range 400 {
			s.step()
			if s.expired() && s.holdsLease {
				t.Fatalf("seed %d: lease found expired %v after an extension, while the worker still holds it", seed, s.clock-s.lastExtended)
			}
		}
		s.loss, s.restarts, s.extensions = 0, 0, 0
		for range 200 {
			s.step()
		}
		if !s.expired() {
			t.Fatalf("seed %d: lease not found expired although digests of all controllers arrive", seed)
		}
	}
}

// leaseSimulator simulates a leader n0 and three controllers that extend the lease of one worker.
type leaseSimulator struct {
	random        *rand.Rand
	clock         time.Duration
	controllers   []*testController // the first one leads
	offsets       []time.Duration   // clock offsets of the controllers
	incarnations  uint64            // number of controller processes started
	lastExtended  time.Duration     // last extension by any controller
	holdsLease    bool              // the worker's lease has not expired since the start
	knownToLeader time.Duration     // by the leader's clock: the latest extension that it knows of

	// Probabilities per step: of losing each digest, and of a restart or an extension of each
	// controller.
	loss, restarts, extensions float64
}

func newLeaseSimulator(seed uint64) *leaseSimulator {
	s := &leaseSimulator{random: rand.New(rand.NewPCG(seed, 2)), holdsLease: true, loss: 0.5, restarts: 0.005, extensions: 0.05}
	for i, p := range region {
		s.offsets = append(s.offsets, time.Duration(s.random.Int64N(int64(time.Hour))))
		s.controllers = append(s.controllers, s.newController(p.Name))
		s.controllers[i].leads = i == 0
	}
	s.knownToLeader = s.controllers[0].now
	return s
}

// newController starts a controller.
func (s *leaseSimulator) newController(name string) *testController {
	s.incarnations++
	return newTestController(name, s.incarnations)
}

// step advances the time by the interval between two digests: controllers restart, extend the lease,
// and send digests, some of which are lost.
func (s *leaseSimulator) step() {
	s.clock += leaderLease / 4
	s.holdsLease = s.holdsLease && s.clock-s.lastExtended < workerLease
	for i := range s.controllers {
		if i > 0 && s.happens(s.restarts) {
			s.controllers[i] = s.newController(s.controllers[i].name)
			s.offsets[i] = time.Duration(s.random.Int64N(int64(time.Hour)))
		}
		c := s.controllers[i]
		c.now = time.Minute + s.offsets[i] + s.clock
		c.leader, c.leaderLastContact = "n0", c.now
		if i > 0 && s.holdsLease && s.happens(s.extensions) && c.ExtendLease("m", 5) {
			s.lastExtended = s.clock
		}
	}
	s.exchangeDigests()
}

// happens reports whether an event of the given probability happens.
func (s *leaseSimulator) happens(probability float64) bool { return s.random.Float64() < probability }

// exchangeDigests sends a digest from each controller to every other one, unless it is lost.
func (s *leaseSimulator) exchangeDigests() {
	for _, from := range s.controllers {
		for _, to := range s.controllers {
			if from != to && !s.happens(s.loss) {
				s.deliver(from, to)
			}
		}
	}
}

// deliver delivers a digest from one controller to another.
func (s *leaseSimulator) deliver(from, to *testController) {
	digest := wire.Digest{Term: 5, Leader: from.leads}
	from.FillDigest(&digest)
	from.FillEcho(&digest, to.name)
	to.receive(from.name, digest)
	if from.leads {
		to.RecordAcknowledgement(&digest)
	}
	if to.leads {
		for _, kept := range digest.Kept {
			s.knownToLeader = max(s.knownToLeader, to.now-time.Duration(kept.AgeMS)*time.Millisecond)
		}
	}
}

// expired reports whether the leader finds the lease expired.
func (s *leaseSimulator) expired() bool {
	return s.controllers[0].LeaseExpired(s.knownToLeader, expiryBound)
}
