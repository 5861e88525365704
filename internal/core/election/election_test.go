package election

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// ttl of the leaders' leases in these tests.
const ttl = 2 * time.Second

// store is a state service whose answers come late, in any order or not at all.
type store struct {
	rng         *rand.Rand
	now         time.Duration
	revision    uint64
	keys        map[string]wire.Item
	leases      map[uint64]time.Duration // end
	pending     []func()
	lostAnswers float64 // share of answers that do not come
}

// answerLater gives an answer some time, or none.
func (s *store) answerLater(done func(kv.Response), number int, v any) {
	response := kv.Response{Number: number, Body: kv.Encode(v)}
	if s.rng.Float64() < s.lostAnswers {
		response = kv.Response{}
	}
	s.pending = append(s.pending, func() { done(response) })
}

// deliver gives the answers that wait, in a random order.
func (s *store) deliver() {
	pending := s.pending
	s.pending = nil
	s.rng.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, f := range pending {
		f()
	}
}

// advance lets time pass: leases end, and the keys with them.
func (s *store) advance(d time.Duration) {
	s.now += d
	for id, end := range s.leases {
		if s.now <= end {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.keys {
			if it.Lease == id {
				delete(s.keys, key)
			}
		}
	}
}

func (s *store) Get(key string, done func(kv.GetResult)) {
	answer := func(r kv.Response) { done(kv.ParseGet(r)) }
	if it, ok := s.keys[key]; ok {
		s.answerLater(answer, http.StatusOK, it)
		return
	}
	s.answerLater(answer, http.StatusNotFound, struct{}{})
}

func (s *store) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	answer := func(r kv.Response) { done(kv.ParseTxn(r)) }
	for _, c := range txn.Conditions {
		if s.keys[c.Key].Version != c.Version {
			s.answerLater(answer, http.StatusConflict, struct{}{})
			return
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.keys[w.Put] = wire.Item{Key: w.Put, Value: w.Value, Version: s.revision, Lease: w.Lease}
	}
	s.answerLater(answer, http.StatusOK, wire.TxnResult{Revision: s.revision})
}

func (s *store) Grant(ttl time.Duration, done func(kv.GrantResult)) {
	s.revision++
	s.leases[s.revision] = s.now + ttl
	s.answerLater(func(r kv.Response) { done(kv.ParseGrant(r)) }, http.StatusOK, wire.Grant{Lease: s.revision})
}

func (s *store) Renew(lease uint64, _ time.Duration, done func(kv.Status)) {
	answer := func(r kv.Response) { done(kv.StatusOf(r.Number)) }
	if _, ok := s.leases[lease]; !ok {
		s.answerLater(answer, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[lease] = s.now + ttl
	s.answerLater(answer, http.StatusOK, struct{}{})
}

// controller takes part in elections.
type controller struct {
	*Election
	store      *store
	name       string
	leadership *Leadership
	stepDowns  []StepDownReason
	leaderLost bool // others agree that the leader is out of reach
	hearsPeer  bool // hears a peer
	down       bool
	restarts   int
}

func newController(s *store, name string) *controller {
	c := &controller{store: s, name: name, hearsPeer: true}
	c.Election = New(name, ttl, s, c, slog.New(slog.DiscardHandler))
	return c
}

func (c *controller) Now() time.Duration { return c.store.now }

func (c *controller) Leading() (Leadership, bool) {
	if c.leadership == nil {
		return Leadership{}, false
	}
	return *c.leadership, true
}

func (c *controller) Lead(m Leadership) { c.leadership = &m }

func (c *controller) StepDown(why StepDownReason) {
	c.leadership = nil
	c.stepDowns = append(c.stepDowns, why)
	c.SteppedDown()
}

func (c *controller) ObserveStore(kv.Status) {}

func (c *controller) HearsPeer() bool { return c.hearsPeer }

func (c *controller) LeaderLost() bool { return c.leaderLost }

func (c *controller) LeaderKnown() {}

func newStore(seed uint64) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 1)), keys: map[string]wire.Item{}, leases: map[uint64]time.Duration{}}
}

// run plays some time in which all controllers tick.
func run(s *store, d time.Duration, cs ...*controller) {
	const step = 100 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.advance(step)
		for _, c := range cs {
			if !c.down {
				c.Tick()
			}
		}
		s.deliver()
	}
}

// leaders lists the controllers that lead.
func leaders(cs ...*controller) []*controller {
	var out []*controller
	for _, c := range cs {
		if c.leadership != nil && !c.down {
			out = append(out, c)
		}
	}
	return out
}

// TestOneLeader has three controllers begin together, then ends the leader. One leads
// each time, by a higher term, and the others know it.
func TestOneLeader(t *testing.T) {
	for seed := range uint64(50) {
		s := newStore(seed)
		cs := []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
		term := uint64(0)
		for len(cs) > 0 {
			run(s, 4*ttl, cs...)
			lead := leaders(cs...)
			if len(lead) != 1 || lead[0].leadership.Term <= term {
				t.Fatalf("seed %d: %d lead after term %d", seed, len(lead), term)
			}
			term = lead[0].leadership.Term
			var rest []*controller
			for _, c := range cs {
				if c.Leader() != lead[0].name || c.Term() != term {
					t.Errorf("seed %d: %s takes %q for the leader of term %d", seed, c.name, c.Leader(), c.Term())
				}
				if c != lead[0] {
					rest = append(rest, c)
				}
			}
			cs = rest
		}
	}
}

// TestTermsAreNeverShared plays random ends, restarts, lost answers and take-overs. No
// two controllers may ever be given the same term.
func TestTermsAreNeverShared(t *testing.T) {
	for seed := range uint64(100) {
		s := newStore(seed)
		s.lostAnswers = 0.1
		cs := []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
		holder := map[uint64]string{}
		for range 300 {
			run(s, ttl/4, cs...)
			for i, c := range cs {
				if m := c.leadership; m != nil {
					who := fmt.Sprint(c.name, c.restarts)
					if h, ok := holder[m.Term]; ok && h != who {
						t.Fatalf("seed %d: term %d is that of %s and %s", seed, m.Term, h, who)
					}
					holder[m.Term] = who
				}
				c.leaderLost = s.rng.IntN(10) == 0
				switch s.rng.IntN(20) {
				case 0:
					c.down = true
				case 1, 2:
					if c.down {
						cs[i] = newController(s, c.name)
						cs[i].restarts = c.restarts + 1
					}
				}
			}
		}
		if len(holder) < 5 {
			t.Errorf("seed %d: %d terms only", seed, len(holder))
		}
	}
}

// TestStepsDown gives a leader a reason to step down.
func TestStepsDown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(s *store, c *controller)
		want   StepDownReason
	}{
		{"its lease has ended", func(s *store, c *controller) { s.advance(2 * ttl) }, ReasonLeaseExpired},
		{"a peer leads by a higher term", func(_ *store, c *controller) { c.ObserveLeader(c.leadership.Term+1, "b") }, ReasonHigherTerm},
		{"hearing nobody it reads that another one leads", func(s *store, c *controller) {
			c.hearsPeer = false
			value, _ := json.Marshal(LeaderValue{"b", c.leadership.Term + 1})
			s.keys[KeyLeader] = wire.Item{Key: KeyLeader, Value: value, Version: 99}
		}, ReasonHigherTerm},
		{"nothing", func(*store, *controller) {}, ""},
		{"a peer names a lower term", func(_ *store, c *controller) { c.ObserveLeader(c.leadership.Term-1, "b") }, ""},
	} {
		s := newStore(1)
		c := newController(s, "a")
		run(s, ttl, c)
		if c.leadership == nil {
			t.Fatal("nobody leads")
		}
		tc.happen(s, c)
		run(s, ttl/2, c)
		if got := fmt.Sprint(c.stepDowns); tc.want == "" && len(c.stepDowns) > 0 || tc.want != "" && (len(c.stepDowns) == 0 || c.stepDowns[0] != tc.want) {
			t.Errorf("%s: steps down for %s, want %q", tc.name, got, tc.want)
		}
	}
}

// TestFailover has a leader hold its key while nobody hears it. A controller whose peers
// agree takes over; one that is alone with that does not.
func TestFailover(t *testing.T) {
	for _, agreed := range []bool{true, false} {
		s := newStore(1)
		a, b := newController(s, "a"), newController(s, "b")
		run(s, ttl, a)
		first := a.leadership.Term
		b.leaderLost = agreed
		run(s, ttl, a, b)
		if took := b.leadership != nil && b.leadership.Term > first; took != agreed {
			t.Errorf("peers agree %v: takes over %v", agreed, took)
		}
	}
}
