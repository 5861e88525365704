package quota

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/brookwalk/brookwalk/internal/eventqueue"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
)

const (
	testInterval     = 500 * time.Millisecond
	testTickInterval = 75 * time.Millisecond
	testMaxWrites    = 12
	testMaxValue     = 4096 // bytes
)

// newTestManager makes a manager with the limits of the tests' stores.
func newTestManager(region string, p *plan.Plan, store Store, host Host) *Manager {
	return New(Config{
		Region:          region,
		Plan:            p,
		MessageInterval: testInterval,
		MaxWrites:       testMaxWrites,
		MaxValueBytes:   testMaxValue,
		Log:             slog.New(slog.DiscardHandler),
	}, store, host)
}

// simulation runs managers of several regions in virtual time: leaders that crash, pause and
// resume, stores that answer late or not at all, links that lose, repeat and delay messages. The
// checks add up what tasks really use, outside of the code under test.
type simulation struct {
	now          time.Duration
	queue        eventqueue.Queue
	rng          *rand.Rand
	plan         *plan.Plan
	regions      []*simRegion
	incarnations uint64
	violations   []string // the first ones, see maxViolations
	restored     bool     // a store was replaced: its shares need not add up any more

	// optimistic makes leaders grant by gossiped counts, without a ledger: the baseline.
	optimistic bool

	partitions           map[string]time.Duration // "from>to": until when no message passes
	lossRate, repeatRate float64                  // of messages
	delayRate            float64                  // of messages that arrive seconds to minutes late
	lostAnswerRate       float64                  // of transactions without an answer, half of them late
	grants, rejections   int                      // of placements
	messages             int
	writes               int
	peakUse              map[string]amount.Amount // by team, over all regions
	noNewWork            bool
	endDetectionDelay    time.Duration // until a leader knows for certain that a task has ended
	workload             *workload     // work that arrives steadily; nil for none
}

// maxViolations bounds the violations that are kept.
const maxViolations = 5

// simRegion is a region with its store and its tasks.
type simRegion struct {
	sim  *simulation
	name string
	testStore
	term        uint64
	outageUntil time.Duration // of the store
	leader      *leaderProcess
	used        map[string]amount.Amount // by tasks that run, by team
	demands     map[string]balance.Demand
	gossiped    map[string]map[string]amount.Amount // other regions' use, for the baseline
}

func newSimulation(seed uint64, p *plan.Plan) *simulation {
	s := &simulation{
		rng:               rand.New(rand.NewPCG(seed, 7)),
		plan:              p,
		endDetectionDelay: 2 * time.Second,
		partitions:        map[string]time.Duration{},
		peakUse:           map[string]amount.Amount{},
	}
	for _, region := range p.Regions {
		s.regions = append(s.regions, newSimRegion(s, region.Name))
	}
	for _, region := range s.regions {
		s.after(s.randomDuration(time.Second), region.elect)
	}
	return s
}

func newSimRegion(s *simulation, name string) *simRegion {
	return &simRegion{
		sim:       s,
		name:      name,
		testStore: newTestStore(),
		used:      map[string]amount.Amount{},
		demands:   map[string]balance.Demand{},
		gossiped:  map[string]map[string]amount.Amount{},
	}
}

// after schedules a function.
func (s *simulation) after(delay time.Duration, f func()) {
	s.queue.Add(s.now+delay, f)
}

// randomDuration draws a duration below a bound.
func (s *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(bound)))
}

// run advances the time.
func (s *simulation) run(until time.Duration) {
	for {
		next, due := s.queue.TakeUntil(until)
		if !due {
			break
		}
		s.now = next.At
		next.Run()
	}
	s.now = until
}

func (s *simulation) addViolation(format string, args ...any) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, fmt.Sprintf("%.3f s: ", s.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// teamLimit is a team's limit over all regions.
func (s *simulation) teamLimit(name string) amount.Amount {
	for i := range s.plan.Teams {
		if team := &s.plan.Teams[i]; team.Name == name {
			return team.InitialShare("").Limit
		}
	}
	panic("no team " + name)
}

// checkUse compares what a team's tasks use over all regions with its limit.
func (s *simulation) checkUse(team string) {
	var sum amount.Amount
	for _, region := range s.regions {
		sum = sum.Add(region.used[team])
	}
	s.peakUse[team] = s.peakUse[team].Max(sum)
	if limit := s.teamLimit(team); !limit.Covers(sum) {
		s.addViolation("%s uses %v of %v", team, sum, limit)
	}
}

// checkShares compares the recorded shares with the limits, to the thousandth.
func (s *simulation) checkShares() {
	if s.restored || s.optimistic {
		return
	}
	ledgers := map[string]*ledger.Ledger{}
	for _, region := range s.regions {
		loaded, err := ledger.Load(region.records())
		if err != nil || loaded.Epoch() == 0 {
			return
		}
		if err := loaded.CheckInvariants(); err != nil {
			s.addViolation("%s: %v", region.name, err)
		}
		ledgers[region.name] = loaded
	}
	for i := range s.plan.Teams {
		team := &s.plan.Teams[i]
		sum, limit := sumOfShares(ledgers, team.Name), team.InitialShare("").Limit
		if sum.GPUs != limit.GPUs {
			s.addViolation("shares of %s add up to %v of %v", team.Name, sum, limit)
		}
	}
}

// sumOfShares adds up what regions own of a team and what is in transit between them. It goes
// through the transfers itself, so that it does not rest on the code under test.
func sumOfShares(ledgers map[string]*ledger.Ledger, team string) amount.Amount {
	var sum amount.Amount
	for from, sender := range ledgers {
		share, _ := sender.Share(team)
		sum = sum.Add(share.Owned)
		for to, receiver := range ledgers {
			sum = sum.Add(sumOfTransfers(sender.Link(to).Unacknowledged, receiver.Link(from).Received, team))
		}
	}
	return sum
}

// sumOfTransfers adds up what transfers that the receiver has not credited carry of a team.
func sumOfTransfers(transfers []ledger.Transfer, received uint64, team string) amount.Amount {
	var sum amount.Amount
	for _, transfer := range transfers {
		if transfer.Number <= received {
			continue
		}
		for _, part := range transfer.Parts {
			if part.Team == team {
				sum = sum.Add(part.Amount)
			}
		}
	}
	return sum
}

// commit carries out a transaction if its conditions hold, and checks the shares after it.
func (r *simRegion) commit(txn *wire.Txn) kv.TxnResult {
	if len(txn.Writes) > testMaxWrites || len(txn.Conditions) > 4*testMaxWrites {
		r.sim.addViolation("a transaction of %d writes", len(txn.Writes))
	}
	result := r.testStore.commit(txn)
	if result.Committed() && len(txn.Writes) > 0 {
		r.sim.writes += len(txn.Writes)
		r.sim.checkShares()
	}
	return result
}

// elect begins the next term. The previous leader does not know and goes on, unless it crashed.
func (r *simRegion) elect() {
	r.term++
	r.sim.incarnations++
	leader := &leaderProcess{
		region:      r,
		term:        r.beginTerm(),
		used:        maps.Clone(r.used),
		incarnation: r.sim.incarnations << 32,
	}
	r.leader = leader
	leader.manager = newTestManager(r.name, r.sim.plan, leader, leader)
	leader.tick()
}

// crash ends the leader's process; another one is elected after a time.
func (r *simRegion) crash(election time.Duration) {
	if r.leader == nil {
		return
	}
	r.leader.ended = true
	r.leader = nil
	r.sim.after(election, func() {
		if r.leader == nil {
			r.elect()
		}
	})
}

// pause pauses the leader's process; another one is elected meanwhile.
func (r *simRegion) pause(duration time.Duration) {
	paused := r.leader
	if paused == nil {
		return
	}
	paused.pausedUntil = r.sim.now + duration
	r.sim.after(duration/2, func() {
		if r.leader == paused {
			r.elect()
		}
	})
	r.sim.after(duration, paused.resume)
}

// end ends tasks; the leader of that moment knows it for certain some time later.
func (r *simRegion) end(team string, size amount.Amount) {
	r.used[team] = r.used[team].Sub(size)
	if r.sim.optimistic {
		r.gossip()
	}
	term := r.term
	r.sim.after(r.sim.randomDuration(r.sim.endDetectionDelay), func() {
		if r.sim.workload != nil {
			r.sim.workload.ended(team, size)
		}
		// A leader that was elected meanwhile has never counted them.
		if r.term == term && r.leader != nil {
			r.leader.used[team] = r.leader.used[team].Sub(size)
		}
	})
}

// gossip tells the other regions what is used here, for the baseline.
func (r *simRegion) gossip() {
	for _, other := range r.sim.regions {
		if other != r {
			used := maps.Clone(r.used)
			r.sim.deliver(r.name, other.name, func() { other.gossiped[r.name] = used })
		}
	}
}

// deliver carries a message between regions.
func (s *simulation) deliver(from, to string, receive func()) {
	s.messages++
	if s.partitions[from+">"+to] > s.now || s.rng.Float64() < s.lossRate {
		return
	}
	delay := time.Millisecond + s.randomDuration(60*time.Millisecond)
	if s.rng.Float64() < s.delayRate {
		delay += s.randomDuration(90 * time.Second)
	}
	s.after(delay, receive)
	if s.rng.Float64() < s.repeatRate {
		s.after(delay+s.randomDuration(30*time.Second), receive)
	}
}
