package quota

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// leaderProcess is a leader's process in a simulation. It places tasks within the manager's limits,
// and implements the manager's Store and Host.
type leaderProcess struct {
	region        *simRegion
	manager       *Manager
	term          wire.Condition
	ended         bool
	pausedUntil   time.Duration
	deferredCalls []func()                 // calls that arrived while it was paused
	used          map[string]amount.Amount // by team: placed tasks without a confirmed termination
	incarnation   uint64                   // of the manager's last loading of the ledger
}

// whenRunning calls f in the process, after a pause if it is paused, and never after its end.
func (p *leaderProcess) whenRunning(f func()) {
	switch {
	case p.ended:
	case p.region.sim.now < p.pausedUntil:
		p.deferredCalls = append(p.deferredCalls, f)
	default:
		f()
	}
}

// resume makes the calls that were deferred while the process was paused.
func (p *leaderProcess) resume() {
	deferred := p.deferredCalls
	p.deferredCalls = nil
	for _, f := range deferred {
		p.whenRunning(f)
	}
}

func (p *leaderProcess) tick() {
	if p.ended {
		return
	}
	p.whenRunning(func() {
		p.manager.Tick()
		p.grantAll()
	})
	p.region.sim.after(testTickInterval, p.tick)
}

// taskSize is the amount that one task of the simulation uses.
var taskSize = amount.Of(0, 1)

// grantAll places all waiting tasks and gangs that the limits allow.
func (p *leaderProcess) grantAll() {
	sim := p.region.sim
	if sim.noNewWork {
		return
	}
	if sim.workload != nil {
		sim.workload.grantAll(p)
		return
	}
	for _, team := range sim.plan.Teams {
		p.grantTasks(team.Name)
		p.grantGang(team.Name)
	}
}

func (p *leaderProcess) grantTasks(team string) {
	demands := p.region.demands
	for demands[team].Shortfall.Covers(taskSize) && p.allows(team, taskSize) {
		demand := demands[team]
		demand.Shortfall = demand.Shortfall.Sub(taskSize)
		demands[team] = demand
		p.grant(team, taskSize)
	}
}

func (p *leaderProcess) grantGang(team string) {
	demand := p.region.demands[team]
	if demand.Gang.IsZero() || !p.allows(team, demand.Gang) {
		return
	}
	p.region.demands[team] = balance.Demand{Shortfall: demand.Shortfall, Priority: demand.Priority}
	p.grant(team, demand.Gang)
}

// allows reports whether an amount fits into the team's limit, according to this leader's manager
// or, in the baseline, to the counts that it has received.
func (p *leaderProcess) allows(team string, size amount.Amount) bool {
	used := p.used[team].Add(size)
	if !p.region.sim.optimistic {
		return p.manager.Limit(team).Covers(used)
	}
	for _, elsewhere := range p.region.gossiped {
		used = used.Add(elsewhere[team])
	}
	return p.region.sim.teamLimit(team).Covers(used)
}

// grant records a placement under the leader's term and starts the tasks.
func (p *leaderProcess) grant(team string, size amount.Amount) {
	region, sim := p.region, p.region.sim
	p.used[team] = p.used[team].Add(size)
	txn := &wire.Txn{Conditions: []wire.Condition{p.term}}
	sim.after(time.Millisecond+sim.randomDuration(20*time.Millisecond), func() {
		if !region.commit(txn).Committed() {
			sim.rejections++
			return // another leader has begun a term: no task starts
		}
		sim.grants++
		region.used[team] = region.used[team].Add(size)
		sim.checkUse(team)
		runtime := time.Second + sim.randomDuration(20*time.Second)
		if sim.workload != nil {
			runtime = sim.workload.runtime(sim)
		}
		sim.after(runtime, func() { region.end(team, size) })
	})
}

// Load implements Store.
func (p *leaderProcess) Load(prefix string, done func([]wire.Item)) {
	region, sim := p.region, p.region.sim
	sim.after(time.Millisecond+sim.randomDuration(30*time.Millisecond), func() {
		if sim.now < region.outageUntil {
			p.whenRunning(func() { sim.after(200*time.Millisecond, func() { p.Load(prefix, done) }) })
			return
		}
		items := region.records()
		sim.after(sim.randomDuration(20*time.Millisecond), func() { p.whenRunning(func() { done(items) }) })
	})
}

// answerTimeout is the time after which a leader treats a transaction as unanswered.
const answerTimeout = 500 * time.Millisecond

// Commit implements Store. If the answer is lost, the transaction is committed immediately in half of
// the cases, and seconds later in the others.
func (p *leaderProcess) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	region, sim := p.region, p.region.sim
	answer := func(result kv.TxnResult) {
		sim.after(time.Millisecond+sim.randomDuration(20*time.Millisecond), func() { p.whenRunning(func() { done(result) }) })
	}
	unanswered := func() {
		sim.after(answerTimeout, func() { p.whenRunning(func() { done(kv.TxnResult{Status: kv.Unanswered}) }) })
	}
	copied := *txn
	sim.after(time.Millisecond+sim.randomDuration(20*time.Millisecond), func() {
		switch lost := sim.rng.Float64() < sim.lostAnswerRate; {
		case sim.now < region.outageUntil:
			answer(kv.TxnResult{Status: kv.Unavailable})
		case lost && sim.rng.IntN(2) == 0:
			region.commit(&copied)
			unanswered()
		case lost:
			sim.after(2*time.Second+sim.randomDuration(10*time.Second), func() { region.commit(&copied) })
			unanswered()
		default:
			answer(region.commit(&copied))
		}
	})
}

// Now implements Host.
func (p *leaderProcess) Now() time.Duration { return p.region.sim.now }

// NewIncarnation implements Host.
func (p *leaderProcess) NewIncarnation() uint64 {
	p.incarnation++
	return p.incarnation
}

// Term implements Host.
func (p *leaderProcess) Term() wire.Condition { return p.term }

// Send implements Host.
func (p *leaderProcess) Send(to string, msg *wire.RegionMessage) {
	for _, region := range p.region.sim.regions {
		if region.name != to {
			continue
		}
		p.region.sim.deliver(p.region.name, to, func() {
			if leader := region.leader; leader != nil {
				leader.whenRunning(func() { leader.manager.Receive(msg) })
			}
		})
	}
}

// Demand implements Host.
func (p *leaderProcess) Demand(team string) balance.Demand {
	demand := p.region.demands[team]
	if workload := p.region.sim.workload; workload != nil {
		demand.Shortfall = amount.Of(0, float64(len(workload.waiting[p.region.name][team])))
	}
	demand.Planned = p.used[team]
	return demand
}

// SharesChanged implements Host.
func (p *leaderProcess) SharesChanged() { p.grantAll() }

// TermChanged implements Host.
func (p *leaderProcess) TermChanged() { p.ended = true }
