package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// TestExtendLease extends leases only where that is allowed.
func TestExtendLease(t *testing.T) {
	for _, tc := range []struct {
		name    string
		token   uint64
		unheard time.Duration // since the leader was heard
		want    bool
	}{
		{"the leader is not heard", 5, workerLease, true},
		{"the worker has seen no term", 0, workerLease, false},
		{"almost the longest time", 5, maxExtensionLeases*workerLease - 1, true},
		{"the longest time", 5, maxExtensionLeases * workerLease, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.now += time.Hour
			c.leaderHeard = c.now - tc.unheard
			if got := c.ExtendLease("m", tc.token); got != tc.want {
				t.Errorf("extended %v, want %v", got, tc.want)
			}
			if got := len(c.extendedLeases()) == 1; got != tc.want {
				t.Errorf("listed %v, want %v", got, tc.want)
			}
		})
	}
}

// TestAcknowledgement lists an extension until the digest of a leader shows that it has heard
// of it.
func TestAcknowledgement(t *testing.T) {
	extendedAt := time.Minute
	later := int64(extendedAt + 1)
	for _, tc := range []struct {
		name    string
		digest  wire.Digest
		elapsed time.Duration // since the extension
		listed  bool
	}{
		{"the leader has a later digest", wire.Digest{Term: 5, EchoBoot: 1, Echo: later}, 2*workerLease + 1, false},
		{"it has none of that time", wire.Digest{Term: 5, EchoBoot: 1, Echo: later - 1}, 2*workerLease + 1, true},
		{"it has one of an earlier incarnation", wire.Digest{Term: 5, EchoBoot: 9, Echo: later}, 2*workerLease + 1, true},
		{"its term is earlier than the worker's", wire.Digest{Term: 4, EchoBoot: 1, Echo: later}, 2*workerLease + 1, true},
		{"its term is later", wire.Digest{Term: 6, EchoBoot: 1, Echo: later}, 2*workerLease + 1, false},
		{"the extension is recent", wire.Digest{Term: 5, EchoBoot: 1, Echo: later}, 2 * workerLease, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.ExtendLease("m", 5)
			c.now += tc.elapsed
			c.RecordAcknowledgement(&tc.digest)
			if got := len(c.extendedLeases()) == 1; got != tc.listed {
				t.Errorf("listed %v, want %v", got, tc.listed)
			}
		})
	}
}

// TestAcknowledgementOfNextTerm ignores what the leader of an earlier term has acknowledged once a
// later one is known.
func TestAcknowledgementOfNextTerm(t *testing.T) {
	c := newTestController("n0", 1)
	c.ExtendLease("m", 5)
	c.now += 2*workerLease + 1
	c.RecordAcknowledgement(&wire.Digest{Term: 4, EchoBoot: 1, Echo: int64(c.now)})
	c.RecordAcknowledgement(&wire.Digest{Term: 6, EchoBoot: 1, Echo: 0})
	if len(c.extendedLeases()) != 1 {
		t.Error("the leader of term 6 has not heard of the extension")
	}
	c.RecordAcknowledgement(&wire.Digest{Term: 5, EchoBoot: 1, Echo: int64(c.now)})
	if len(c.extendedLeases()) != 1 {
		t.Error("a leader that was replaced acknowledged the extension")
	}
}

// TestLeaseExpired asks the leader n0 about a worker that it answered last at a time zero.
func TestLeaseExpired(t *testing.T) {
	zero := time.Minute
	testify := func(incarnation uint64, until time.Duration) wire.Digest {
		return wire.Digest{Boot: incarnation, EchoBoot: 1, Echo: int64(until)}
	}
	for _, tc := range []struct {
		name   string
		later  func(c *testController) // what n3 says after zero; n1 and n2 testify for all
		passed time.Duration           // at last, since zero
		want   bool
	}{
		{"all testify", func(c *testController) { c.hear("n3", testify(3, c.now)) }, 2 * workerLease, true},
		{"the bound is not over", func(c *testController) { c.hear("n3", testify(3, c.now)) }, expiryBound, false},
		{"one does not testify long enough", func(c *testController) { c.hear("n3", testify(3, zero+expiryBound-1)) }, 2 * workerLease, false},
		{"one testifies just long enough", func(c *testController) { c.hear("n3", testify(3, zero+expiryBound)) }, 2 * workerLease, true},
		{"one is not heard", func(*testController) {}, 2 * workerLease, false},
		{"one echoes an earlier incarnation", func(c *testController) {
			digest := testify(3, c.now)
			digest.EchoBoot = 9
			c.hear("n3", digest)
		}, 2 * workerLease, false},
		{"one has been restarted", func(c *testController) { c.hear("n3", testify(4, c.now)) }, 2 * workerLease, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController("n0", 1)
			c.leads = true
			for i, name := range []string{"n1", "n2", "n3"} {
				c.now = zero - time.Second
				c.hear(name, wire.Digest{Boot: uint64(i + 1)})
			}
			c.now = zero + tc.passed
			c.hear("n1", testify(1, c.now))
			c.hear("n2", testify(2, c.now))
			tc.later(c)
			if got := c.LeaseExpired(zero, expiryBound); got != tc.want {
				t.Errorf("expired %v, want %v", got, tc.want)
			}
		})
	}
}

// TestUnnamedIncarnation ignores the testimony of a peer that does not name its incarnation:
// restarts of it would not be detected.
func TestUnnamedIncarnation(t *testing.T) {
	c := newTestController("n0", 1)
	c.leads = true
	lastRenewal := c.now
	c.now += time.Hour
	for incarnation, name := range []string{"n3", "n1", "n2"} {
		c.hear(name, wire.Digest{Boot: uint64(incarnation), EchoBoot: 1, Echo: int64(c.now)})
	}
	// The digests just heard are the first of n1 and n2.
	c.now += 2 * workerLease
	for incarnation, name := range []string{"n3", "n1", "n2"} {
		c.hear(name, wire.Digest{Boot: uint64(incarnation), EchoBoot: 1, Echo: int64(c.now)})
	}
	if c.LeaseExpired(lastRenewal, expiryBound) {
		t.Error("expired by the testimony of n3, which names no incarnation")
	}
	c.hear("n3", wire.Digest{Boot: 3})
	c.now += 2 * workerLease
	for incarnation, name := range map[uint64]string{1: "n1", 2: "n2", 3: "n3"} {
		c.hear(name, wire.Digest{Boot: incarnation, EchoBoot: 1, Echo: int64(c.now)})
	}
	if !c.LeaseExpired(lastRenewal, expiryBound) {
		t.Error("not expired though all testify")
	}
}

// TestExpiryIsCertain simulates random extensions, losses of digests and restarts. The leader may
// never find a lease expired that the worker still holds, and has to find it expired once all
// controllers are heard again.
func TestExpiryIsCertain(t *testing.T) {
	for seed := range uint64(500) {
		w := newExtensionWorld(seed)
		for range 400 {
			w.step()
			if w.expired() && w.holdsLease {
				t.Fatalf("seed %d: found expired %v after an extension", seed, w.clock-w.lastExtended)
			}
		}
		w.loss, w.restarts, w.extensions = 0, 0, 0
		for range 200 {
			w.step()
		}
		if !w.expired() {
			t.Fatalf("seed %d: not found expired though all controllers are heard", seed)
		}
	}
}

// extensionWorld has a leader n0 and three controllers that extend the lease of one worker.
type extensionWorld struct {
	random        *rand.Rand
	clock         time.Duration
	controllers   []*testController // the first one leads
	offsets       []time.Duration   // of their clocks
	incarnations  uint64
	lastExtended  time.Duration // by any controller
	holdsLease    bool          // the worker's lease has not expired since the beginning
	knownToLeader time.Duration // by the leader's clock: the latest extension that it knows of

	loss, restarts, extensions float64 // probabilities of a step, by controller
}

func newExtensionWorld(seed uint64) *extensionWorld {
	w := &extensionWorld{random: rand.New(rand.NewPCG(seed, 2)), holdsLease: true, loss: 0.5, restarts: 0.005, extensions: 0.05}
	for i, p := range region {
		w.offsets = append(w.offsets, time.Duration(w.random.Int64N(int64(time.Hour))))
		w.controllers = append(w.controllers, w.newController(p.Name))
		w.controllers[i].leads = i == 0
	}
	w.knownToLeader = w.controllers[0].now
	return w
}

// newController starts a controller.
func (w *extensionWorld) newController(name string) *testController {
	w.incarnations++
	return newTestController(name, w.incarnations)
}

// step lets the interval between two digests pass: controllers restart, extend the lease, and
// send digests, some of which are lost.
func (w *extensionWorld) step() {
	w.clock += leaderLease / 4
	w.holdsLease = w.holdsLease && w.clock-w.lastExtended < workerLease
	for i := range w.controllers {
		if i > 0 && w.happens(w.restarts) {
			w.controllers[i] = w.newController(w.controllers[i].name)
			w.offsets[i] = time.Duration(w.random.Int64N(int64(time.Hour)))
		}
		c := w.controllers[i]
		c.now = time.Minute + w.offsets[i] + w.clock
		c.leader, c.leaderHeard = "n0", c.now
		if i > 0 && w.holdsLease && w.happens(w.extensions) && c.ExtendLease("m", 5) {
			w.lastExtended = w.clock
		}
	}
	w.exchangeDigests()
}

// happens reports whether an event of a probability happens.
func (w *extensionWorld) happens(probability float64) bool { return w.random.Float64() < probability }

// exchangeDigests sends a digest of each controller to each other one.
func (w *extensionWorld) exchangeDigests() {
	for _, from := range w.controllers {
		for _, to := range w.controllers {
			if from != to && !w.happens(w.loss) {
				w.deliver(from, to)
			}
		}
	}
}

// deliver gives a controller the digest of another one.
func (w *extensionWorld) deliver(from, to *testController) {
	digest := wire.Digest{Term: 5, Leader: from.leads}
	from.FillDigest(&digest)
	from.FillEcho(&digest, to.name)
	to.hear(from.name, digest)
	if from.leads {
		to.RecordAcknowledgement(&digest)
	}
	if to.leads {
		for _, kept := range digest.Kept {
			w.knownToLeader = max(w.knownToLeader, to.now-time.Duration(kept.AgeMS)*time.Millisecond)
		}
	}
}

// expired reports whether the leader finds the lease expired.
func (w *extensionWorld) expired() bool {
	return w.controllers[0].LeaseExpired(w.knownToLeader, expiryBound)
}
