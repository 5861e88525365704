package quota

import (
	"flag"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

// interleaving plays the transfer protocol step by step, in any order that rapid draws: each
// message may come at any later time, again or never, each transaction may be carried out at
// any later time with its answer or without, and a leader that was replaced goes on.
type interleaving struct {
	now      time.Duration
	plan     *plan.Plan
	regions  []*stepRegion
	messages []stepMessage
	lateTxns []stepTxn // transactions that nobody waits for any more
	runs     uint64
	restored bool // a ledger was replaced: the shares need not add up
	excluded int  // region that settle leaves out, -1 for none
}

type stepMessage struct {
	to  int
	msg *wire.RegionMessage
}

type stepTxn struct {
	region int
	txn    *wire.Txn
}

// stepRegion is a region: its records, what runs, and the leaders that think they lead.
type stepRegion struct {
	w     *interleaving
	index int
	testStore
	used    int
	demand  balance.Demand
	leaders []*stepLeader // the last one leads
}

// stepLeader is a leader's process and the calls that it waits for.
type stepLeader struct {
	r     *stepRegion
	m     *Manager
	term  wire.Condition
	used  int
	calls []stepCall
	ended bool
}

// stepCall is a call to the state service: a transaction, or a reading if txn is nil.
type stepCall struct {
	txn  *wire.Txn
	done func(kv.TxnResult)
	load func([]wire.Item)
}

const stepTeam = "team-0"

func newInterleaving(regions int) *interleaving {
	w := &interleaving{plan: testPlan(regions, 1, 12), excluded: -1}
	for i := range regions {
		r := &stepRegion{w: w, index: i, testStore: newTestStore()}
		w.regions = append(w.regions, r)
		r.elect()
	}
	w.settle()
	return w
}

// settle has everything arrive in order until all regions trust their ledgers.
func (w *interleaving) settle() {
	for range 60 {
		w.now += testInterval / urgentDivisor
		for _, r := range w.regions {
			if r.index == w.excluded {
				continue
			}
			l := r.leader()
			l.m.Tick()
			for len(l.calls) > 0 {
				l.answer(0)
			}
		}
		messages := w.messages
		w.messages = nil
		for _, x := range messages {
			if away := w.plan.Regions[max(0, w.excluded)].Name; w.excluded < 0 || x.to != w.excluded && x.msg.From != away {
				w.regions[x.to].leader().m.Receive(x.msg)
			}
		}
	}
}

func (r *stepRegion) leader() *stepLeader { return r.leaders[len(r.leaders)-1] }

// elect begins a term; the leader before goes on, unaware of it.
func (r *stepRegion) elect() {
	l := &stepLeader{r: r, term: r.beginTerm(), used: r.used}
	r.leaders = append(r.leaders, l)
	if len(r.leaders) > 3 {
		r.leaders = r.leaders[1:]
	}
	l.m = New(Config{Region: r.w.plan.Regions[r.index].Name, Plan: r.w.plan, MessageInterval: testInterval, MaxWrites: testMaxWrites, MaxValueBytes: 4096, Log: slog.New(slog.DiscardHandler)}, l, l)
}

// take removes a call and returns it.
func (l *stepLeader) take(i int) stepCall {
	c := l.calls[i]
	l.calls = append(append([]stepCall{}, l.calls[:i]...), l.calls[i+1:]...)
	return c
}

// answer carries a call out and answers it.
func (l *stepLeader) answer(i int) {
	c := l.take(i)
	if c.load != nil {
		c.load(l.r.records())
		return
	}
	status, result := l.r.commit(c.txn)
	c.done(kv.ParseTxn(kv.Response{Number: status, Body: kv.Encode(result)}))
}

// The ports of the manager.

func (l *stepLeader) Load(_ string, done func([]wire.Item)) {
	l.calls = append(l.calls, stepCall{load: done})
}

func (l *stepLeader) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	copied := *txn
	l.calls = append(l.calls, stepCall{txn: &copied, done: done})
}

func (l *stepLeader) Now() time.Duration     { return l.r.w.now }
func (l *stepLeader) NewIncarnation() uint64 { l.r.w.runs++; return l.r.w.runs }
func (l *stepLeader) Term() wire.Condition   { return l.term }
func (l *stepLeader) SharesChanged()         {}
func (l *stepLeader) TermChanged()           { l.ended = true }

func (l *stepLeader) Demand(string) balance.Demand {
	d := l.r.demand
	d.Planned = amount.Of(0, float64(l.used))
	return d
}

func (l *stepLeader) Send(region string, m *wire.RegionMessage) {
	to := l.r.w.plan.Index(region)
	l.r.w.messages = append(l.r.w.messages, stepMessage{to, m})
	if len(l.r.w.messages) > 60 {
		l.r.w.messages = l.r.w.messages[1:]
	}
}

// anyRegion and anyLeader draw who acts: mostly the one that leads.
func (w *interleaving) anyRegion(t *rapid.T) *stepRegion {
	return w.regions[rapid.IntRange(0, len(w.regions)-1).Draw(t, "region")]
}

func (w *interleaving) anyLeader(t *rapid.T) *stepLeader {
	r := w.anyRegion(t)
	if back := rapid.IntRange(0, 5).Draw(t, "leader"); back > 0 && back < len(r.leaders) {
		return r.leaders[len(r.leaders)-1-back]
	}
	return r.leader()
}

// actions are the steps that rapid draws from.
func (w *interleaving) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			w.now += time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
			if l := w.anyLeader(t); !l.ended {
				l.m.Tick()
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.messages) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
			x := w.messages[i]
			if rapid.IntRange(0, 3).Draw(t, "keep") > 0 {
				w.messages = append(append([]stepMessage{}, w.messages[:i]...), w.messages[i+1:]...)
			}
			l := w.regions[x.to].leader()
			if rapid.IntRange(0, 9).Draw(t, "to a leader before") == 0 {
				l = w.regions[x.to].leaders[0]
			}
			if !l.ended {
				l.m.Receive(x.msg)
			}
		},
		"answer": func(t *rapid.T) {
			if l := w.anyLeader(t); len(l.calls) > 0 && !l.ended {
				l.answer(0)
			}
		},
		"answer is lost": func(t *rapid.T) {
			l := w.anyLeader(t)
			if len(l.calls) == 0 || l.calls[0].txn == nil || l.ended {
				t.Skip()
			}
			c := l.take(0)
			if rapid.Bool().Draw(t, "late") {
				w.lateTxns = append(w.lateTxns, stepTxn{l.r.index, c.txn})
			} else {
				l.r.commit(c.txn)
			}
			c.done(kv.TxnResult{Status: kv.Unanswered})
		},
		"late transaction": func(t *rapid.T) {
			if len(w.lateTxns) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(w.lateTxns)-1).Draw(t, "transaction")
			x := w.lateTxns[i]
			w.lateTxns = append(append([]stepTxn{}, w.lateTxns[:i]...), w.lateTxns[i+1:]...)
			w.regions[x.region].commit(x.txn)
		},
		"want": func(t *rapid.T) {
			r := w.anyRegion(t)
			r.demand = balance.Demand{Shortfall: amount.Of(0, float64(rapid.IntRange(0, 12).Draw(t, "short"))), Priority: rapid.IntRange(0, 1).Draw(t, "rank")}
			r.leader().m.DemandChanged()
		},
		"start": func(t *rapid.T) {
			l := w.anyLeader(t)
			if n := rapid.IntRange(1, 4).Draw(t, "tasks"); !l.ended && l.m.Limit(stepTeam).Covers(amount.Of(0, float64(l.used+n))) {
				// Its placement is recorded under its term before anything starts.
				l.used += n
				if status, _ := l.r.commit(&wire.Txn{Conditions: []wire.Condition{l.term}}); status == 200 {
					l.r.used += n
				}
			}
		},
		"end": func(t *rapid.T) {
			r := w.anyRegion(t)
			n := rapid.IntRange(0, r.used).Draw(t, "tasks")
			r.used -= n
			r.leader().used -= n
		},
		"elect": func(t *rapid.T) { w.anyRegion(t).elect() },
		"keep a copy": func(t *rapid.T) {
			r := w.anyRegion(t)
			if r.backup != nil {
				t.Skip()
			}
			r.takeBackup()
		},
		"": w.check,
	}
}

// restore puts the copy that was kept of a region's ledger, or an empty one, in its place,
// after all its controllers have ended.
func (w *interleaving) restore(t *rapid.T) {
	r := w.anyRegion(t)
	if r.backup == nil || rapid.IntRange(0, 2).Draw(t, "restore") > 0 {
		t.Skip()
	}
	r.restoreLedger()
	var late []stepTxn
	for _, x := range w.lateTxns {
		if x.region != r.index { // the service that would have carried it out is gone
			late = append(late, x)
		}
	}
	w.lateTxns = late
}

// replaceRecords puts the copy in place of the ledger, under the leader that there is.
func (r *stepRegion) replaceRecords() {
	r.w.restored = true
	r.applyBackup()
}

// restoreLedger puts the copy in place of the ledger after all controllers have ended.
func (r *stepRegion) restoreLedger() {
	r.replaceRecords()
	r.leaders, r.backup = nil, nil
	r.elect()
}

// check holds what runs, and the shares on record, against the ceiling.
func (w *interleaving) check(t *rapid.T) {
	used := 0
	for _, r := range w.regions {
		used += r.used
	}
	if used > 12 {
		t.Fatalf("%d of 12 GPUs in use", used)
	}
	if w.restored {
		return
	}
	var sum amount.Amount
	ledgers := make([]*ledger.Ledger, len(w.regions))
	for i, r := range w.regions {
		l, err := ledger.Load(r.records())
		if err != nil {
			t.Fatal(err)
		}
		if err := l.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
		ledgers[i] = l
		s, _ := l.Share(stepTeam)
		sum = sum.Add(s.Owned)
	}
	for i, from := range ledgers {
		for k, to := range ledgers {
			received := to.Link(w.plan.Regions[i].Name).Received
			for _, x := range from.Link(w.plan.Regions[k].Name).Unacknowledged {
				if x.Number > received {
					sum = sum.Add(x.Parts[0].Amount)
				}
			}
		}
	}
	if sum.GPUs != amount.Of(0, 12).GPUs {
		t.Fatalf("shares add up to %v of 12 GPUs", sum)
	}
}

// TestInterleavings draws interleavings of the protocol.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInterleaving(rapid.IntRange(2, 3).Draw(t, "regions"))
		t.Repeat(w.actions())
	})
}

// TestInterleavingsWithRestore draws interleavings in which ledgers are replaced by older copies.
func TestInterleavingsWithRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInterleaving(rapid.IntRange(2, 3).Draw(t, "regions"))
		actions := w.actions()
		actions["restore"] = w.restore
		t.Repeat(actions)
	})
}
