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

// leaseDuration is the duration of the leader key's lease in these tests.
const leaseDuration = 2 * time.Second

// fakeStore is a key-value store whose responses are delayed, reordered or lost.
type fakeStore struct {
	random          *rand.Rand
	now             time.Duration
	revision        uint64
	keys            map[string]wire.Item
	leases          map[uint64]time.Duration // expiry times
	pending         []func()                 // responses not delivered yet
	lossProbability float64                  // probability that a response is lost
}

// respond queues a response for deliver, or queues one without a status if the response is lost.
func (s *fakeStore) respond(done func(kv.Response), number int, v any) {
	response := kv.Response{Number: number, Body: kv.Encode(v)}
	if s.random.Float64() < s.lossProbability {
		response = kv.Response{}
	}
	s.pending = append(s.pending, func() { done(response) })
}

// deliver delivers the pending responses, in a random order.
func (s *fakeStore) deliver() {
	pending := s.pending
	s.pending = nil
	s.random.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, response := range pending {
		response()
	}
}

// advance advances the time: leases expire, and the keys attached to them are deleted.
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
	parse := func(r kv.Response) { done(kv.ParseGet(r)) }
	if item, ok := s.keys[key]; ok {
		s.respond(parse, http.StatusOK, item)
		return
	}
	s.respond(parse, http.StatusNotFound, struct{}{})
}

func (s *fakeStore) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	parse := func(r kv.Response) { done(kv.ParseTxn(r)) }
	for _, condition := range txn.Conditions {
		if s.keys[condition.Key].Version != condition.Version {
			s.respond(parse, http.StatusConflict, struct{}{})
			return
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.keys[write.Put] = wire.Item{Key: write.Put, Value: write.Value, Version: s.revision, Lease: write.Lease}
	}
	s.respond(parse, http.StatusOK, wire.TxnResult{Revision: s.revision})
}

func (s *fakeStore) Grant(duration time.Duration, done func(kv.GrantResult)) {
	s.revision++
	s.leases[s.revision] = s.now + duration
	s.respond(func(r kv.Response) { done(kv.ParseGrant(r)) }, http.StatusOK, wire.Grant{Lease: s.revision})
}

func (s *fakeStore) Renew(lease uint64, _ time.Duration, done func(kv.Status)) {
	parse := func(r kv.Response) { done(kv.StatusOf(r.Number)) }
	if _, ok := s.leases[lease]; !ok {
		s.respond(parse, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[lease] = s.now + leaseDuration
	s.respond(parse, http.StatusOK, struct{}{})
}

// controller is a controller process that takes part in elections.
type controller struct {
	*Election
	store          *fakeStore
	name           string
	leadership     *Leadership
	stepDowns      []StepDownReason
	leaderLost     bool // returned by LeaderLost
	hasPeerContact bool // returned by HasPeerContact
	crashed        bool
	restarts       int
}

func newController(s *fakeStore, name string) *controller {
	c := &controller{store: s, name: name, hasPeerContact: true}
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

func (c *controller) StartLeading(won Leadership) { c.leadership = &won }

func (c *controller) StepDown(reason StepDownReason) {
	c.leadership = nil
	c.stepDowns = append(c.stepDowns, reason)
	c.SteppedDown()
}

func (c *controller) ObserveStore(kv.Status) {}

func (c *controller) HasPeerContact() bool { return c.hasPeerContact }

func (c *controller) LeaderLost() bool { return c.leaderLost }

func (c *controller) LeaderObserved() {}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, 1)), keys: map[string]wire.Item{}, leases: map[uint64]time.Duration{}}
}

// newControllers creates controllers a, b and c.
func newControllers(s *fakeStore) []*controller {
	return []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
}

// run simulates a period in which all running controllers tick.
func run(s *fakeStore, duration time.Duration, controllers ...*controller) {
	const step = 100 * time.Millisecond
	for end := s.now + duration; s.now < end; {
		s.advance(step)
		for _, c := range controllers {
			if !c.crashed {
				c.Tick()
			}
		}
		s.deliver()
	}
}

// leaders lists the running controllers that lead.
func leaders(controllers []*controller) []*controller {
	var leading []*controller
	for _, c := range controllers {
		if c.leadership != nil && !c.crashed {
			leading = append(leading, c)
		}
	}
	return leading
}

// TestOneLeader starts three controllers at once, and then removes one leader after the other. Each
// time exactly one controller must lead, in a higher term, and be known to the others.
func TestOneLeader(t *testing.T) {
	for seed := range uint64(50) {
		s := newFakeStore(seed)
		controllers := newControllers(s)
		term := uint64(0)
		for len(controllers) > 0 {
			run(s, 4*leaseDuration, controllers...)
			leading := leaders(controllers)
			if len(leading) != 1 || leading[0].leadership.Term <= term {
				t.Fatalf("seed %d: got %d leaders after term %d, want 1 in a higher term", seed, len(leading), term)
			}
			leader := leading[0]
			term = leader.leadership.Term
			for _, c := range controllers {
				if c.Leader() != leader.name || c.Term() != term {
					t.Errorf("seed %d: leader known to %s: got %q in term %d, want the controller that leads and its term", seed, c.name, c.Leader(), c.Term())
				}
			}
			controllers = slices.DeleteFunc(controllers, func(c *controller) bool { return c == leader })
		}
	}
}

// TestOneWinnerPerTerm simulates random crashes, restarts, lost responses and failovers. No two
// processes may win the same term.
func TestOneWinnerPerTerm(t *testing.T) {
	for seed := range uint64(100) {
		s := newFakeStore(seed)
		s.lossProbability = 0.1
		controllers := newControllers(s)
		winners := map[uint64]string{} // by term
		for range 300 {
			run(s, leaseDuration/4, controllers...)
			for i, c := range controllers {
				recordWinner(t, seed, winners, c)
				c.leaderLost = s.random.IntN(10) == 0
				controllers[i] = crashOrRestart(s, c)
			}
		}
		if len(winners) < 5 {
			t.Errorf("seed %d: terms won: got %d, want at least 5", seed, len(winners))
		}
	}
}

// recordWinner records the winner of a controller's term, and fails the test if another process has
// won that term.
func recordWinner(t *testing.T, seed uint64, winners map[uint64]string, c *controller) {
	t.Helper()
	if c.leadership == nil {
		return
	}
	term, process := c.leadership.Term, fmt.Sprint(c.name, c.restarts)
	if winner, known := winners[term]; known && winner != process {
		t.Fatalf("seed %d: term %d: got winners %s and %s, want one", seed, term, winner, process)
	}
	winners[term] = process
}

// crashOrRestart randomly crashes a controller, or restarts one that has crashed.
func crashOrRestart(s *fakeStore, c *controller) *controller {
	switch s.random.IntN(20) {
	case 0:
		c.crashed = true
	case 1, 2:
		if c.crashed {
			restarted := newController(s, c.name)
			restarted.restarts = c.restarts + 1
			return restarted
		}
	}
	return c
}

// TestStepDown checks when a leader steps down, and for which reason.
func TestStepDown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(s *fakeStore, c *controller)
		want   StepDownReason // empty if it still leads
	}{
		{"lease expired", func(s *fakeStore, _ *controller) { s.advance(2 * leaseDuration) }, ReasonLeaseExpired},
		{"peer leads in a higher term", func(_ *fakeStore, c *controller) { c.ObserveLeader(c.leadership.Term+1, "b") }, ReasonHigherTerm},
		{"no contact with peers, leader key names another controller", func(s *fakeStore, c *controller) {
			c.hasPeerContact = false
			value := kv.Encode(LeaderValue{"b", c.leadership.Term + 1})
			s.keys[KeyLeader] = wire.Item{Key: KeyLeader, Value: value, Version: 99}
		}, ReasonHigherTerm},
		{"no reason", func(*fakeStore, *controller) {}, ""},
		{"peer reports a leader of a lower term", func(_ *fakeStore, c *controller) { c.ObserveLeader(c.leadership.Term-1, "b") }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeStore(1)
			c := newController(s, "a")
			run(s, leaseDuration, c)
			if c.leadership == nil {
				t.Fatal("leader before the change: got none, want controller a")
			}
			tc.change(s, c)
			run(s, leaseDuration/2, c)
			var first StepDownReason
			if len(c.stepDowns) > 0 {
				first = c.stepDowns[0]
			}
			if first != tc.want {
				t.Errorf("reasons to step down: got %q, want %q first", c.stepDowns, tc.want)
			}
		})
	}
}

// TestFailover checks that a leader without contact with other controllers, which still renews its
// key, is replaced if another controller considers it lost, and only then.
func TestFailover(t *testing.T) {
	for _, leaderLost := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader lost %v", leaderLost), func(t *testing.T) {
			s := newFakeStore(1)
			a, b := newController(s, "a"), newController(s, "b")
			run(s, leaseDuration, a)
			first := a.leadership.Term
			b.leaderLost = leaderLost
			run(s, leaseDuration, a, b)
			if replaced := b.leadership != nil && b.leadership.Term > first; replaced != leaderLost {
				t.Errorf("leader replaced: got %v, want the opposite", replaced)
			}
		})
	}
}
