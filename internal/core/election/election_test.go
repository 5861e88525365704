package election

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// leaseDuration of the leader key in these tests.
const leaseDuration = 2 * time.Second

// fakeStore is a key-value store whose answers come late, in any order or not at all.
type fakeStore struct {
	random      *rand.Rand
	now         time.Duration
	revision    uint64
	keys        map[string]wire.Item
	leases      map[uint64]time.Duration // when they expire
	pending     []func()                 // answers under way
	lostAnswers float64                  // probability that an answer is lost
}

// answerLater sends an answer that deliver delivers, or loses it.
func (s *fakeStore) answerLater(done func(kv.Response), number int, v any) {
	response := kv.Response{StatusCode: number, Body: kv.Encode(v)}
	if s.random.Float64() < s.lostAnswers {
		response = kv.Response{}
	}
	s.pending = append(s.pending, func() { done(response) })
}

// deliver delivers the answers under way, in a random order.
func (s *fakeStore) deliver() {
	pending := s.pending
	s.pending = nil
	s.random.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, answer := range pending {
		answer()
	}
}

// advance lets time pass: leases expire, and the keys attached to them are deleted.
func (s *fakeStore) advance(d time.Duration) {
	s.now += d
	for lease, expiry := range s.leases {
		if s.now <= expiry {
			continue
		}
		delete(s.leases, lease)
		for key, item := range s.keys {
			if item.Lease == lease {
				delete(s.keys, key)
			}
		}
	}
}

func (s *fakeStore) Get(key string, done func(kv.GetResult)) {
	answer := func(r kv.Response) { done(kv.ParseGet(r)) }
	if item, ok := s.keys[key]; ok {
		s.answerLater(answer, http.StatusOK, item)
		return
	}
	s.answerLater(answer, http.StatusNotFound, struct{}{})
}

func (s *fakeStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	answer := func(r kv.Response) { done(kv.ParseTxn(r)) }
	for _, condition := range txn.Conditions {
		if s.keys[condition.Key].Version != condition.Version {
			s.answerLater(answer, http.StatusConflict, struct{}{})
			return
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.keys[write.Put] = wire.Item{Key: write.Put, Value: write.Value, Version: s.revision, Lease: write.Lease}
	}
	s.answerLater(answer, http.StatusOK, wire.TxnResult{Revision: s.revision})
}

func (s *fakeStore) Grant(duration time.Duration, done func(kv.GrantResult)) {
	s.revision++
	s.leases[s.revision] = s.now + duration
	s.answerLater(func(r kv.Response) { done(kv.ParseGrant(r)) }, http.StatusOK, wire.Grant{Lease: s.revision})
}

func (s *fakeStore) Renew(lease uint64, _ time.Duration, done func(kv.Status)) {
	answer := func(r kv.Response) { done(kv.StatusOf(r.StatusCode)) }
	if _, ok := s.leases[lease]; !ok {
		s.answerLater(answer, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[lease] = s.now + leaseDuration
	s.answerLater(answer, http.StatusOK, struct{}{})
}

// controller takes part in elections.
type controller struct {
	*Election
	store      *fakeStore
	name       string
	leadership *Leadership
	stepDowns  []StepDownReason
	leaderLost bool // what LeaderLost returns
	hearsPeer  bool // what HearsPeer returns
	down       bool // the process has ended
	restarts   int
}

func newController(s *fakeStore, name string) *controller {
	c := &controller{store: s, name: name, hearsPeer: true}
	c.Election = New(name, leaseDuration, s, c, slog.New(slog.DiscardHandler))
	return c
}

func (c *controller) Now() time.Duration { return c.store.now }

func (c *controller) Leading() (Leadership, bool) {
	if c.leadership == nil {
		return Leadership{}, false
	}
	return *c.leadership, true
}

func (c *controller) Lead(won Leadership) { c.leadership = &won }

func (c *controller) StepDown(reason StepDownReason) {
	c.leadership = nil
	c.stepDowns = append(c.stepDowns, reason)
	c.SteppedDown()
}

func (c *controller) ObserveStore(kv.Status) {}

func (c *controller) HearsPeer() bool { return c.hearsPeer }

func (c *controller) LeaderLost() bool { return c.leaderLost }

func (c *controller) LeaderKnown() {}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, 1)), keys: map[string]wire.Item{}, leases: map[uint64]time.Duration{}}
}

// newControllers makes controllers a, b and c.
func newControllers(s *fakeStore) []*controller {
	return []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
}

// run simulates some time in which all controllers tick.
func run(s *fakeStore, duration time.Duration, controllers ...*controller) {
	const step = 100 * time.Millisecond
	for end := s.now + duration; s.now < end; {
		s.advance(step)
		for _, c := range controllers {
			if !c.down {
				c.Tick()
			}
		}
		s.deliver()
	}
}

// leaders lists the controllers that lead.
func leaders(controllers []*controller) []*controller {
	var leading []*controller
	for _, c := range controllers {
		if c.leadership != nil && !c.down {
			leading = append(leading, c)
		}
	}
	return leading
}

// TestOneLeader starts three controllers at once, then ends the leader, and the next one. One
// leads each time, under a higher term, and the others know it.
func TestOneLeader(t *testing.T) {
	for seed := range uint64(50) {
		s := newFakeStore(seed)
		controllers := newControllers(s)
		term := uint64(0)
		for len(controllers) > 0 {
			run(s, 4*leaseDuration, controllers...)
			leading := leaders(controllers)
			if len(leading) != 1 || leading[0].leadership.Term <= term {
				t.Fatalf("seed %d: %d lead after term %d", seed, len(leading), term)
			}
			leader := leading[0]
			term = leader.leadership.Term
			for _, c := range controllers {
				if c.Leader() != leader.name || c.Term() != term {
					t.Errorf("seed %d: %s believes that %q leads under term %d", seed, c.name, c.Leader(), c.Term())
				}
			}
			controllers = slices.DeleteFunc(controllers, func(c *controller) bool { return c == leader })
		}
	}
}

// TestTermsAreNeverShared simulates random ends, restarts, lost answers and failovers. No two
// processes may ever win the same term.
func TestTermsAreNeverShared(t *testing.T) {
	for seed := range uint64(100) {
		s := newFakeStore(seed)
		s.lostAnswers = 0.1
		controllers := newControllers(s)
		winners := map[uint64]string{} // by term
		for range 300 {
			run(s, leaseDuration/4, controllers...)
			for i, c := range controllers {
				recordWinner(t, seed, winners, c)
				c.leaderLost = s.random.IntN(10) == 0
				controllers[i] = endOrRestart(s, c)
			}
		}
		if len(winners) < 5 {
			t.Errorf("seed %d: %d terms only", seed, len(winners))
		}
	}
}

// recordWinner records that a controller leads under its term, unless another process did.
func recordWinner(t *testing.T, seed uint64, winners map[uint64]string, c *controller) {
	t.Helper()
	if c.leadership == nil {
		return
	}
	term, process := c.leadership.Term, fmt.Sprint(c.name, c.restarts)
	if winner, known := winners[term]; known && winner != process {
		t.Fatalf("seed %d: term %d was won by %s and by %s", seed, term, winner, process)
	}
	winners[term] = process
}

// endOrRestart ends a controller now and then, and restarts one that has ended.
func endOrRestart(s *fakeStore, c *controller) *controller {
	switch s.random.IntN(20) {
	case 0:
		c.down = true
	case 1, 2:
		if c.down {
			restarted := newController(s, c.name)
			restarted.restarts = c.restarts + 1
			return restarted
		}
	}
	return c
}

// TestStepsDown gives a leader a reason to step down, or none.
func TestStepsDown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *fakeStore, c *controller)
		want   StepDownReason // empty if it still leads
	}{
		{"its lease has expired", func(s *fakeStore, _ *controller) { s.advance(2 * leaseDuration) }, ReasonLeaseExpired},
		{"a peer leads under a higher term", func(_ *fakeStore, c *controller) { c.ObserveLeader(c.leadership.Term+1, "b") }, ReasonHigherTerm},
		{"it hears nobody and reads that another one leads", func(s *fakeStore, c *controller) {
			c.hearsPeer = false
			value := kv.Encode(LeaderValue{"b", c.leadership.Term + 1})
			s.keys[KeyLeader] = wire.Item{Key: KeyLeader, Value: value, Version: 99}
		}, ReasonHigherTerm},
		{"nothing", func(*fakeStore, *controller) {}, ""},
		{"a peer names a lower term", func(_ *fakeStore, c *controller) { c.ObserveLeader(c.leadership.Term-1, "b") }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeStore(1)
			c := newController(s, "a")
			run(s, leaseDuration, c)
			if c.leadership == nil {
				t.Fatal("nobody leads")
			}
			tc.change(s, c)
			run(s, leaseDuration/2, c)
			var first StepDownReason
			if len(c.stepDowns) > 0 {
				first = c.stepDowns[0]
			}
			if first != tc.want {
				t.Errorf("stepped down for %q, want %q", c.stepDowns, tc.want)
			}
		})
	}
}

// TestFailover keeps a leader that nobody hears renewing its key. A controller whose peers
// agree replaces it; one that is alone with that does not.
func TestFailover(t *testing.T) {
	for _, peersAgree := range []bool{true, false} {
		t.Run(fmt.Sprintf("peers agree %v", peersAgree), func(t *testing.T) {
			s := newFakeStore(1)
			a, b := newController(s, "a"), newController(s, "b")
			run(s, leaseDuration, a)
			first := a.leadership.Term
			b.leaderLost = peersAgree
			run(s, leaseDuration, a, b)
			if replaced := b.leadership != nil && b.leadership.Term > first; replaced != peersAgree {
				t.Errorf("replaced the leader: %v", replaced)
			}
		})
	}
}
