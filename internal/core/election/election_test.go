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

// service is a state service whose answers come late, in any order or not at all.
type service struct {
	rng      *rand.Rand
	now      time.Duration
	revision uint64
	keys     map[string]wire.Item
	leases   map[uint64]time.Duration // end
	pending  []func()
	lost     float64 // share of answers that do not come
}

// later gives an answer some time, or none.
func (s *service) later(done func(kv.Response), number int, v any) {
	response := kv.Response{Number: number, Body: kv.Encode(v)}
	if s.rng.Float64() < s.lost {
		response = kv.Response{}
	}
	s.pending = append(s.pending, func() { done(response) })
}

// deliver gives the answers that wait, in a random order.
func (s *service) deliver() {
	pending := s.pending
	s.pending = nil
	s.rng.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, f := range pending {
		f()
	}
}

// pass lets time pass: leases end, and the keys with them.
func (s *service) pass(d time.Duration) {
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

func (s *service) Get(key string, done func(kv.GetResult)) {
	answer := func(r kv.Response) { done(kv.ParseGet(r)) }
	if it, ok := s.keys[key]; ok {
		s.later(answer, http.StatusOK, it)
		return
	}
	s.later(answer, http.StatusNotFound, struct{}{})
}

func (s *service) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	answer := func(r kv.Response) { done(kv.ParseTxn(r)) }
	for _, c := range txn.If {
		if s.keys[c.Key].Version != c.Version {
			s.later(answer, http.StatusConflict, struct{}{})
			return
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.keys[w.Put] = wire.Item{Key: w.Put, Value: w.Value, Version: s.revision, Lease: w.Lease}
	}
	s.later(answer, http.StatusOK, wire.TxnResult{Revision: s.revision})
}

func (s *service) Grant(ttl time.Duration, done func(kv.GrantResult)) {
	s.revision++
	s.leases[s.revision] = s.now + ttl
	s.later(func(r kv.Response) { done(kv.ParseGrant(r)) }, http.StatusOK, wire.Grant{Lease: s.revision})
}

func (s *service) Renew(lease uint64, _ time.Duration, done func(kv.Status)) {
	answer := func(r kv.Response) { done(kv.StatusOf(r.Number)) }
	if _, ok := s.leases[lease]; !ok {
		s.later(answer, http.StatusNotFound, struct{}{})
		return
	}
	s.leases[lease] = s.now + ttl
	s.later(answer, http.StatusOK, struct{}{})
}

// controller takes part in elections.
type controller struct {
	*Election
	s        *service
	name     string
	mandate  *Mandate
	steps    []Reason
	lost     bool // others agree that the leader is out of reach
	hears    bool // hears a peer
	down     bool
	restarts int
}

func newController(s *service, name string) *controller {
	c := &controller{s: s, name: name, hears: true}
	c.Election = New(name, ttl, s, c, slog.New(slog.DiscardHandler))
	return c
}

func (c *controller) Now() time.Duration { return c.s.now }

func (c *controller) Leading() (Mandate, bool) {
	if c.mandate == nil {
		return Mandate{}, false
	}
	return *c.mandate, true
}

func (c *controller) Lead(m Mandate) { c.mandate = &m }

func (c *controller) StepDown(why Reason) {
	c.mandate = nil
	c.steps = append(c.steps, why)
	c.SteppedDown()
}

func (c *controller) ObserveStore(kv.Status) {}

func (c *controller) HearsPeer() bool { return c.hears }

func (c *controller) LeaderLost() bool { return c.lost }

func (c *controller) LeaderKnown() {}

func newService(seed uint64) *service {
	return &service{rng: rand.New(rand.NewPCG(seed, 1)), keys: map[string]wire.Item{}, leases: map[uint64]time.Duration{}}
}

// run plays some time in which all controllers tick.
func run(s *service, d time.Duration, cs ...*controller) {
	const step = 100 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.pass(step)
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
		if c.mandate != nil && !c.down {
			out = append(out, c)
		}
	}
	return out
}

// TestOneLeads has three controllers begin together, then ends the leader. One leads
// each time, by a higher term, and the others know it.
func TestOneLeads(t *testing.T) {
	for seed := range uint64(50) {
		s := newService(seed)
		cs := []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
		term := uint64(0)
		for len(cs) > 0 {
			run(s, 4*ttl, cs...)
			lead := leaders(cs...)
			if len(lead) != 1 || lead[0].mandate.Term <= term {
				t.Fatalf("seed %d: %d lead after term %d", seed, len(lead), term)
			}
			term = lead[0].mandate.Term
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
		s := newService(seed)
		s.lost = 0.1
		cs := []*controller{newController(s, "a"), newController(s, "b"), newController(s, "c")}
		holder := map[uint64]string{}
		for range 300 {
			run(s, ttl/4, cs...)
			for i, c := range cs {
				if m := c.mandate; m != nil {
					who := fmt.Sprint(c.name, c.restarts)
					if h, ok := holder[m.Term]; ok && h != who {
						t.Fatalf("seed %d: term %d is that of %s and %s", seed, m.Term, h, who)
					}
					holder[m.Term] = who
				}
				c.lost = s.rng.IntN(10) == 0
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
		happen func(s *service, c *controller)
		want   Reason
	}{
		{"its lease has ended", func(s *service, c *controller) { s.pass(2 * ttl) }, ReasonLeaseEnded},
		{"a peer leads by a higher term", func(_ *service, c *controller) { c.Learn(c.mandate.Term+1, "b") }, ReasonHigherTerm},
		{"hearing nobody it reads that another one leads", func(s *service, c *controller) {
			c.hears = false
			value, _ := json.Marshal(LeaderValue{"b", c.mandate.Term + 1})
			s.keys[KeyLeader] = wire.Item{Key: KeyLeader, Value: value, Version: 99}
		}, ReasonHigherTerm},
		{"nothing", func(*service, *controller) {}, ""},
		{"a peer names a lower term", func(_ *service, c *controller) { c.Learn(c.mandate.Term-1, "b") }, ""},
	} {
		s := newService(1)
		c := newController(s, "a")
		run(s, ttl, c)
		if c.mandate == nil {
			t.Fatal("nobody leads")
		}
		tc.happen(s, c)
		run(s, ttl/2, c)
		if got := fmt.Sprint(c.steps); tc.want == "" && len(c.steps) > 0 || tc.want != "" && (len(c.steps) == 0 || c.steps[0] != tc.want) {
			t.Errorf("%s: steps down for %s, want %q", tc.name, got, tc.want)
		}
	}
}

// TestTakesOver has a leader hold its key while nobody hears it. A controller whose peers
// agree takes over; one that is alone with that does not.
func TestTakesOver(t *testing.T) {
	for _, agreed := range []bool{true, false} {
		s := newService(1)
		a, b := newController(s, "a"), newController(s, "b")
		run(s, ttl, a)
		first := a.mandate.Term
		b.lost = agreed
		run(s, ttl, a, b)
		if took := b.mandate != nil && b.mandate.Term > first; took != agreed {
			t.Errorf("peers agree %v: takes over %v", agreed, took)
		}
	}
}
