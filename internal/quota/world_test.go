package quota

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

// The world plays managers of several regions in virtual time: leaders that end, stand still
// and go on, state services that answer late or not at all, links that lose, repeat and hold
// messages back. The checker adds up what tasks really use, outside of the code under test.

type worldEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }
func (e worldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e worldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *worldEvents) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	testEvery = 500 * time.Millisecond
	testTick  = 75 * time.Millisecond
	maxOps    = 12
)

type world struct {
	now     time.Duration
	queue   worldEvents
	seq     int
	rng     *rand.Rand
	plan    *plan.Plan
	regions []*region
	runs    uint64
	faults  []string
	restore bool // a state service was replaced: its shares need not add up any more

	// optimistic has leaders grant by gossiped counts, without a ledger: the baseline.
	optimistic bool

	cuts            map[string]time.Duration // "from>to": until when nothing passes
	loss, repeat    float64                  // shares of messages
	heldBack        float64                  // share that comes seconds to minutes late
	lostAnswers     float64                  // share of transactions without an answer, half of them late
	grants, refusal int
	messages        int
	writes          int
	most            map[string]amount.Amount // used at a time, by team
	noNewWork       bool
	learnLag        time.Duration // until a leader knows for certain that a task has ended
	load            *load         // work that comes steadily; nil for none
}

// region is a place with a state service and workers.
type region struct {
	w    *world
	name string
	testStore
	term   uint64
	outage time.Duration
	leader *process
	used   map[string]amount.Amount // by tasks that run
	want   map[string]balance.Demand
	heard  map[string]map[string]amount.Amount // of other regions' use, for the baseline
}

// process is a leader's process.
type process struct {
	r       *region
	m       *Manager
	term    wire.Cond
	over    bool // it has ended
	stalled time.Duration
	held    []func()
	used    map[string]amount.Amount // counted by this leader: placed and not certainly gone
	boot    uint64
}

func newWorld(seed uint64, p *plan.Plan) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), plan: p, learnLag: 2 * time.Second, cuts: map[string]time.Duration{}, most: map[string]amount.Amount{}}
	for _, r := range p.Regions {
		w.regions = append(w.regions, newRegion(w, r.Name))
	}
	for _, r := range w.regions {
		w.after(w.upTo(time.Second), r.elect)
	}
	return w
}

func newRegion(w *world, name string) *region {
	return &region{w: w, name: name, testStore: newTestStore(),
		used: map[string]amount.Amount{}, want: map[string]balance.Demand{}, heard: map[string]map[string]amount.Amount{}}
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, worldEvent{w.now + d, w.seq, f})
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = e.at
		e.f()
	}
	w.now = until
}

func (w *world) fault(format string, a ...any) {
	if len(w.faults) < 5 {
		w.faults = append(w.faults, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, a...))
	}
}

// checkUse holds what runs over all regions against the ceiling.
func (w *world) checkUse(team string) {
	var sum amount.Amount
	for _, r := range w.regions {
		sum = sum.Add(r.used[team])
	}
	w.most[team] = w.most[team].Max(sum)
	for i := range w.plan.Teams {
		if t := &w.plan.Teams[i]; t.Name == team && !t.Part("").Ceiling.Covers(sum) {
			w.fault("%s uses %v of %v", team, sum, t.Part("").Ceiling)
		}
	}
}

// checkSum holds the shares on record against the ceiling, to the thousandth.
func (w *world) checkSum() {
	if w.restore || w.optimistic {
		return
	}
	ledgers := map[string]*ledger.Ledger{}
	for _, r := range w.regions {
		l, err := ledger.Load(r.records())
		if err != nil || l.Epoch() == 0 {
			return
		}
		if err := l.Invariant(); err != nil {
			w.fault("%s: %v", r.name, err)
		}
		ledgers[r.name] = l
	}
	for i := range w.plan.Teams {
		t := &w.plan.Teams[i]
		var sum amount.Amount
		for _, r := range w.regions {
			l := ledgers[r.name]
			s, _ := l.Share(t.Name)
			sum = sum.Add(s.Owned)
			for _, to := range w.regions {
				for _, transfer := range l.Link(to.name).Out {
					if transfer.Number <= ledgers[to.name].Link(r.name).Received {
						continue
					}
					for _, p := range transfer.Parts {
						if p.Team == t.Name {
							sum = sum.Add(p.Amount)
						}
					}
				}
			}
		}
		if ceiling := t.Part("").Ceiling; sum.GPUs != ceiling.GPUs {
			w.fault("shares of %s add up to %v of %v", t.Name, sum, ceiling)
		}
	}
}

// commit carries a transaction out if its conditions hold.
func (r *region) commit(txn *wire.Txn) (int, wire.TxnResult) {
	if len(txn.Writes) > maxOps || len(txn.If) > 4*maxOps {
		r.w.fault("a transaction of %d writes", len(txn.Writes))
	}
	status, result := r.testStore.commit(txn)
	if status == 200 && len(txn.Writes) > 0 {
		r.w.writes += len(txn.Writes)
		r.w.checkSum()
	}
	return status, result
}

// elect begins the next term. The leader before goes on, unaware, unless it has ended.
func (r *region) elect() {
	r.term++
	r.w.runs++
	p := &process{r: r, term: r.raiseTerm(), used: map[string]amount.Amount{}, boot: r.w.runs << 32}
	for team, u := range r.used {
		p.used[team] = u
	}
	r.leader = p
	p.m = New(Config{Region: r.name, Plan: r.w.plan, Every: testEvery, MaxWrites: maxOps, MaxValue: 4096, Log: slog.New(slog.DiscardHandler)}, p, p)
	p.tick()
}

// crash ends the leader's process; another leads after a while.
func (r *region) crash(back time.Duration) {
	if r.leader == nil {
		return
	}
	r.leader.over = true
	r.leader = nil
	r.w.after(back, func() {
		if r.leader == nil {
			r.elect()
		}
	})
}

// stall has the leader stand still; another one is elected meanwhile.
func (r *region) stall(d time.Duration) {
	p := r.leader
	if p == nil {
		return
	}
	p.stalled = r.w.now + d
	r.w.after(d/2, func() {
		if r.leader == p {
			r.elect()
		}
	})
	r.w.after(d, func() {
		held := p.held
		p.held = nil
		for _, f := range held {
			p.here(f)
		}
	})
}

// here runs f in the process, once it does not stand still.
func (p *process) here(f func()) {
	switch {
	case p.over:
	case p.r.w.now < p.stalled:
		p.held = append(p.held, f)
	default:
		f()
	}
}

func (p *process) tick() {
	if p.over {
		return
	}
	p.here(func() {
		p.m.Tick()
		p.grantAll()
	})
	p.r.w.after(testTick, p.tick)
}

// taskSize is what one task of the world takes.
var taskSize = amount.Of(0, 1)

// grantAll starts the tasks that wait and fit, without any pause between them.
func (p *process) grantAll() {
	if p.r.w.noNewWork {
		return
	}
	if p.r.w.load != nil {
		p.r.w.load.grantAll(p)
		return
	}
	for _, t := range p.r.w.plan.Teams {
		for d := p.r.want[t.Name]; d.Short.Covers(taskSize) && p.allows(t.Name, taskSize); d = p.r.want[t.Name] {
			d.Short = d.Short.Sub(taskSize)
			p.r.want[t.Name] = d
			p.grant(t.Name, taskSize)
		}
		if d := p.r.want[t.Name]; !d.Gang.IsZero() && p.allows(t.Name, d.Gang) {
			p.r.want[t.Name] = balance.Demand{Short: d.Short, Rank: d.Rank}
			p.grant(t.Name, d.Gang)
		}
	}
}

// allows tells whether the team's limit has room, as this leader sees it.
func (p *process) allows(team string, size amount.Amount) bool {
	if p.r.w.optimistic {
		sum := p.used[team].Add(size)
		for _, u := range p.r.heard {
			sum = sum.Add(u[team])
		}
		i := 0
		for p.r.w.plan.Teams[i].Name != team {
			i++
		}
		return p.r.w.plan.Teams[i].Part("").Ceiling.Covers(sum)
	}
	return p.m.Limit(team).Covers(p.used[team].Add(size))
}

// grant records a placement under the leader's term and has the tasks run.
func (p *process) grant(team string, size amount.Amount) {
	w, r := p.r.w, p.r
	p.used[team] = p.used[team].Add(size)
	txn := &wire.Txn{If: []wire.Cond{p.term}}
	w.after(time.Millisecond+w.upTo(20*time.Millisecond), func() {
		if status, _ := r.commit(txn); status != 200 {
			w.refusal++
			return // deposed: nothing was started
		}
		w.grants++
		r.used[team] = r.used[team].Add(size)
		w.checkUse(team)
		runs := time.Second + w.upTo(20*time.Second)
		if w.load != nil {
			runs = w.load.runs(w)
		}
		w.after(runs, func() { r.end(team, size) })
	})
}

// end has tasks end; the leader of that moment knows it for certain some time later.
func (r *region) end(team string, size amount.Amount) {
	r.used[team] = r.used[team].Sub(size)
	for _, other := range r.w.regions {
		if other != r && r.w.optimistic {
			r.gossip(other)
		}
	}
	term := r.term
	r.w.after(r.w.upTo(r.w.learnLag), func() {
		if r.w.load != nil {
			r.w.load.ended(team, size)
		}
		// A leader elected meanwhile has never counted it.
		if r.term == term && r.leader != nil {
			r.leader.used[team] = r.leader.used[team].Sub(size)
		}
	})
}

// gossip tells another region what is used here, for the baseline.
func (r *region) gossip(to *region) {
	used := map[string]amount.Amount{}
	for team, u := range r.used {
		used[team] = u
	}
	r.w.deliver(r.name, to.name, func() { to.heard[r.name] = used })
}

// deliver carries a message between regions.
func (w *world) deliver(from, to string, f func()) {
	w.messages++
	if w.cuts[from+">"+to] > w.now || w.rng.Float64() < w.loss {
		return
	}
	delay := time.Millisecond + w.upTo(60*time.Millisecond)
	if w.rng.Float64() < w.heldBack {
		delay += w.upTo(90 * time.Second)
	}
	w.after(delay, f)
	if w.rng.Float64() < w.repeat {
		w.after(delay+w.upTo(30*time.Second), f)
	}
}

// The ports of the manager.

func (p *process) Load(prefix string, done func([]wire.Item)) {
	r := p.r
	r.w.after(time.Millisecond+r.w.upTo(30*time.Millisecond), func() {
		if r.w.now < r.outage {
			p.here(func() { r.w.after(200*time.Millisecond, func() { p.Load(prefix, done) }) })
			return
		}
		items := r.records()
		r.w.after(r.w.upTo(20*time.Millisecond), func() { p.here(func() { done(items) }) })
	})
}

func (p *process) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	r := p.r
	answer := func(status int, result wire.TxnResult) {
		response := kv.Response{Number: status, Body: kv.Encode(result)}
		r.w.after(time.Millisecond+r.w.upTo(20*time.Millisecond), func() { p.here(func() { done(kv.ParseTxn(response)) }) })
	}
	copied := *txn
	r.w.after(time.Millisecond+r.w.upTo(20*time.Millisecond), func() {
		switch lost := r.w.rng.Float64() < r.w.lostAnswers; {
		case r.w.now < r.outage:
			answer(503, wire.TxnResult{})
		case lost && r.w.rng.IntN(2) == 0: // carried out, the answer is lost
			r.commit(&copied)
			r.w.after(500*time.Millisecond, func() { p.here(func() { done(kv.TxnResult{Status: kv.Unanswered}) }) })
		case lost: // carried out later
			r.w.after(2*time.Second+r.w.upTo(10*time.Second), func() { r.commit(&copied) })
			r.w.after(500*time.Millisecond, func() { p.here(func() { done(kv.TxnResult{Status: kv.Unanswered}) }) })
		default:
			status, result := r.commit(&copied)
			answer(status, result)
		}
	})
}

func (p *process) Now() time.Duration { return p.r.w.now }

func (p *process) NewRun() uint64 {
	p.boot++
	return p.boot
}

func (p *process) Term() wire.Cond { return p.term }

func (p *process) Send(to string, msg *wire.RegionMessage) {
	for _, r := range p.r.w.regions {
		if r.name != to {
			continue
		}
		p.r.w.deliver(p.r.name, to, func() {
			if l := r.leader; l != nil {
				l.here(func() { l.m.Receive(msg) })
			}
		})
	}
}

func (p *process) Demand(team string) balance.Demand {
	d := p.r.want[team]
	if p.r.w.load != nil {
		d.Short = amount.Of(0, float64(len(p.r.w.load.queues[p.r.name][team])))
	}
	d.Planned = p.used[team]
	return d
}

func (p *process) SharesChanged() { p.grantAll() }

func (p *process) TermChanged() { p.over = true }
