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

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	testInterval     = 500 * time.Millisecond
	testTickInterval = 75 * time.Millisecond
	testMaxWrites    = 12
)

type simulation struct {
	now          time.Duration
	queue        eventHeap
	seq          int
	rng          *rand.Rand
	plan         *plan.Plan
	regions      []*simRegion
	incarnations uint64
	violations   []string
	restored     bool // a state service was replaced: its shares need not add up any more

	// optimistic has leaders grant by gossiped counts, without a ledger: the baseline.
	optimistic bool

	cuts                 map[string]time.Duration // "from>to": until when nothing passes
	lossRate, repeatRate float64                  // shares of messages
	delayRate            float64                  // share that comes seconds to minutes late
	lostAnswerRate       float64                  // share of transactions without an answer, half of them late
	grants, rejections   int
	messages             int
	writes               int
	peakUse              map[string]amount.Amount // used at a time, by team
	noNewWork            bool
	endDetectionDelay    time.Duration // until a leader knows for certain that a task has ended
	workload             *workload     // work that comes steadily; nil for none
}

// simRegion is a place with a state service and workers.
type simRegion struct {
	w    *simulation
	name string
	testStore
	term     uint64
	outage   time.Duration
	leader   *leaderProcess
	used     map[string]amount.Amount // by tasks that run
	demands  map[string]balance.Demand
	gossiped map[string]map[string]amount.Amount // of other regions' use, for the baseline
}

// leaderProcess is a leader's process.
type leaderProcess struct {
	r           *simRegion
	m           *Manager
	term        wire.Condition
	ended       bool // it has ended
	pausedUntil time.Duration
	deferred    []func()
	used        map[string]amount.Amount // counted by this leader: placed and not certainly gone
	incarnation uint64
}

func newSimulation(seed uint64, regions *plan.Plan) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), plan: regions, endDetectionDelay: 2 * time.Second, cuts: map[string]time.Duration{}, peakUse: map[string]amount.Amount{}}
	for _, r := range regions.Regions {
		w.regions = append(w.regions, newSimRegion(w, r.Name))
	}
	for _, r := range w.regions {
		w.after(w.randomDuration(time.Second), r.elect)
	}
	return w
}

func newSimRegion(w *simulation, name string) *simRegion {
	return &simRegion{w: w, name: name, testStore: newTestStore(),
		used: map[string]amount.Amount{}, demands: map[string]balance.Demand{}, gossiped: map[string]map[string]amount.Amount{}}
}

func (w *simulation) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *simulation) violation(format string, a ...any) {
	if len(w.violations) < 5 {
		w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, a...))
	}
}

// checkUse holds what runs over all regions against the ceiling.
func (w *simulation) checkUse(team string) {
	var sum amount.Amount
	for _, r := range w.regions {
		sum = sum.Add(r.used[team])
	}
	w.peakUse[team] = w.peakUse[team].Max(sum)
	for i := range w.plan.Teams {
		if t := &w.plan.Teams[i]; t.Name == team && !t.InitialShare("").Limit.Covers(sum) {
			w.violation("%s uses %v of %v", team, sum, t.InitialShare("").Limit)
		}
	}
}

// checkSum holds the shares on record against the ceiling, to the thousandth.
func (w *simulation) checkSum() {
	if w.restored || w.optimistic {
		return
	}
	ledgers := map[string]*ledger.Ledger{}
	for _, r := range w.regions {
		l, err := ledger.Load(r.records())
		if err != nil || l.Epoch() == 0 {
			return
		}
		if err := l.CheckInvariants(); err != nil {
			w.violation("%s: %v", r.name, err)
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
				for _, transfer := range l.Link(to.name).Unacknowledged {
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
		if ceiling := t.InitialShare("").Limit; sum.GPUs != ceiling.GPUs {
			w.violation("shares of %s add up to %v of %v", t.Name, sum, ceiling)
		}
	}
}

// commit carries a transaction out if its conditions hold.
func (r *simRegion) commit(txn *wire.Txn) (int, wire.TxnResult) {
	if len(txn.Writes) > testMaxWrites || len(txn.Conditions) > 4*testMaxWrites {
		r.w.violation("a transaction of %d writes", len(txn.Writes))
	}
	status, result := r.testStore.commit(txn)
	if status == 200 && len(txn.Writes) > 0 {
		r.w.writes += len(txn.Writes)
		r.w.checkSum()
	}
	return status, result
}

// elect begins the next term. The leader before goes on, unaware, unless it has ended.
func (r *simRegion) elect() {
	r.term++
	r.w.incarnations++
	p := &leaderProcess{r: r, term: r.beginTerm(), used: map[string]amount.Amount{}, incarnation: r.w.incarnations << 32}
	for team, u := range r.used {
		p.used[team] = u
	}
	r.leader = p
	p.m = New(Config{Region: r.name, Plan: r.w.plan, MessageInterval: testInterval, MaxWrites: testMaxWrites, MaxValueBytes: 4096, Log: slog.New(slog.DiscardHandler)}, p, p)
	p.tick()
}

// crash ends the leader's process; another leads after a while.
func (r *simRegion) crash(back time.Duration) {
	if r.leader == nil {
		return
	}
	r.leader.ended = true
	r.leader = nil
	r.w.after(back, func() {
		if r.leader == nil {
			r.elect()
		}
	})
}

// pause has the leader stand still; another one is elected meanwhile.
func (r *simRegion) pause(d time.Duration) {
	paused := r.leader
	if paused == nil {
		return
	}
	paused.pausedUntil = r.w.now + d
	r.w.after(d/2, func() {
		if r.leader == paused {
			r.elect()
		}
	})
	r.w.after(d, func() {
		held := paused.deferred
		paused.deferred = nil
		for _, f := range held {
			paused.whenRunning(f)
		}
	})
}

// whenRunning runs f in the process, once it does not stand still.
func (p *leaderProcess) whenRunning(f func()) {
	switch {
	case p.ended:
	case p.r.w.now < p.pausedUntil:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

func (p *leaderProcess) tick() {
	if p.ended {
		return
	}
	p.whenRunning(func() {
		p.m.Tick()
		p.grantAll()
	})
	p.r.w.after(testTickInterval, p.tick)
}

// taskSize is what one task of the world takes.
var taskSize = amount.Of(0, 1)

// grantAll starts the tasks that wait and fit, without any pause between them.
func (p *leaderProcess) grantAll() {
	if p.r.w.noNewWork {
		return
	}
	if p.r.w.workload != nil {
		p.r.w.workload.grantAll(p)
		return
	}
	for _, t := range p.r.w.plan.Teams {
		for d := p.r.demands[t.Name]; d.Shortfall.Covers(taskSize) && p.allows(t.Name, taskSize); d = p.r.demands[t.Name] {
			d.Shortfall = d.Shortfall.Sub(taskSize)
			p.r.demands[t.Name] = d
			p.grant(t.Name, taskSize)
		}
		if d := p.r.demands[t.Name]; !d.Gang.IsZero() && p.allows(t.Name, d.Gang) {
			p.r.demands[t.Name] = balance.Demand{Shortfall: d.Shortfall, Priority: d.Priority}
			p.grant(t.Name, d.Gang)
		}
	}
}

// allows tells whether the team's limit has room, as this leader sees it.
func (p *leaderProcess) allows(team string, size amount.Amount) bool {
	if p.r.w.optimistic {
		sum := p.used[team].Add(size)
		for _, u := range p.r.gossiped {
			sum = sum.Add(u[team])
		}
		i := 0
		for p.r.w.plan.Teams[i].Name != team {
			i++
		}
		return p.r.w.plan.Teams[i].InitialShare("").Limit.Covers(sum)
	}
	return p.m.Limit(team).Covers(p.used[team].Add(size))
}

// grant records a placement under the leader's term and has the tasks run.
func (p *leaderProcess) grant(team string, size amount.Amount) {
	w, r := p.r.w, p.r
	p.used[team] = p.used[team].Add(size)
	txn := &wire.Txn{Conditions: []wire.Condition{p.term}}
	w.after(time.Millisecond+w.randomDuration(20*time.Millisecond), func() {
		if status, _ := r.commit(txn); status != 200 {
			w.rejections++
			return // deposed: nothing was started
		}
		w.grants++
		r.used[team] = r.used[team].Add(size)
		w.checkUse(team)
		runs := time.Second + w.randomDuration(20*time.Second)
		if w.workload != nil {
			runs = w.workload.runtime(w)
		}
		w.after(runs, func() { r.end(team, size) })
	})
}

// end has tasks end; the leader of that moment knows it for certain some time later.
func (r *simRegion) end(team string, size amount.Amount) {
	r.used[team] = r.used[team].Sub(size)
	for _, other := range r.w.regions {
		if other != r && r.w.optimistic {
			r.gossip(other)
		}
	}
	term := r.term
	r.w.after(r.w.randomDuration(r.w.endDetectionDelay), func() {
		if r.w.workload != nil {
			r.w.workload.ended(team, size)
		}
		// A leader elected meanwhile has never counted it.
		if r.term == term && r.leader != nil {
			r.leader.used[team] = r.leader.used[team].Sub(size)
		}
	})
}

// gossip tells another region what is used here, for the baseline.
func (r *simRegion) gossip(to *simRegion) {
	used := map[string]amount.Amount{}
	for team, u := range r.used {
		used[team] = u
	}
	r.w.deliver(r.name, to.name, func() { to.gossiped[r.name] = used })
}

// deliver carries a message between regions.
func (w *simulation) deliver(from, to string, f func()) {
	w.messages++
	if w.cuts[from+">"+to] > w.now || w.rng.Float64() < w.lossRate {
		return
	}
	delay := time.Millisecond + w.randomDuration(60*time.Millisecond)
	if w.rng.Float64() < w.delayRate {
		delay += w.randomDuration(90 * time.Second)
	}
	w.after(delay, f)
	if w.rng.Float64() < w.repeatRate {
		w.after(delay+w.randomDuration(30*time.Second), f)
	}
}

// The ports of the manager.

func (p *leaderProcess) Load(prefix string, done func([]wire.Item)) {
	r := p.r
	r.w.after(time.Millisecond+r.w.randomDuration(30*time.Millisecond), func() {
		if r.w.now < r.outage {
			p.whenRunning(func() { r.w.after(200*time.Millisecond, func() { p.Load(prefix, done) }) })
			return
		}
		items := r.records()
		r.w.after(r.w.randomDuration(20*time.Millisecond), func() { p.whenRunning(func() { done(items) }) })
	})
}

func (p *leaderProcess) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	r := p.r
	answer := func(status int, result wire.TxnResult) {
		response := kv.Response{Number: status, Body: kv.Encode(result)}
		r.w.after(time.Millisecond+r.w.randomDuration(20*time.Millisecond), func() { p.whenRunning(func() { done(kv.ParseTxn(response)) }) })
	}
	copied := *txn
	r.w.after(time.Millisecond+r.w.randomDuration(20*time.Millisecond), func() {
		switch lost := r.w.rng.Float64() < r.w.lostAnswerRate; {
		case r.w.now < r.outage:
			answer(503, wire.TxnResult{})
		case lost && r.w.rng.IntN(2) == 0: // carried out, the answer is lost
			r.commit(&copied)
			r.w.after(500*time.Millisecond, func() { p.whenRunning(func() { done(kv.TxnResult{Status: kv.Unanswered}) }) })
		case lost: // carried out later
			r.w.after(2*time.Second+r.w.randomDuration(10*time.Second), func() { r.commit(&copied) })
			r.w.after(500*time.Millisecond, func() { p.whenRunning(func() { done(kv.TxnResult{Status: kv.Unanswered}) }) })
		default:
			status, result := r.commit(&copied)
			answer(status, result)
		}
	})
}

func (p *leaderProcess) Now() time.Duration { return p.r.w.now }

func (p *leaderProcess) NewIncarnation() uint64 {
	p.incarnation++
	return p.incarnation
}

func (p *leaderProcess) Term() wire.Condition { return p.term }

func (p *leaderProcess) Send(to string, msg *wire.RegionMessage) {
	for _, r := range p.r.w.regions {
		if r.name != to {
			continue
		}
		p.r.w.deliver(p.r.name, to, func() {
			if l := r.leader; l != nil {
				l.whenRunning(func() { l.m.Receive(msg) })
			}
		})
	}
}

func (p *leaderProcess) Demand(team string) balance.Demand {
	d := p.r.demands[team]
	if p.r.w.workload != nil {
		d.Shortfall = amount.Of(0, float64(len(p.r.w.workload.waiting[p.r.name][team])))
	}
	d.Planned = p.used[team]
	return d
}

func (p *leaderProcess) SharesChanged() { p.grantAll() }

func (p *leaderProcess) TermChanged() { p.ended = true }
