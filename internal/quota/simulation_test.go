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

// newTestManager creates a manager with the limits of the tests' stores.
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

// simulation runs the managers of several regions in virtual time. Leaders crash, pause and resume,
// stores answer late or not at all, links lose, repeat and delay messages. Its checks add up what
// running tasks use, independently of the code under test.
type simulation struct {
	now          time.Duration
	queue        eventqueue.Queue
	rng          *rand.Rand
	plan         *plan.Plan
	regions      []*simRegion
	incarnations uint64
	violations   []string // the first ones, see maxViolations
	restored     bool     // a ledger was replaced, so shares may no longer add up

	// optimistic makes leaders grant by gossiped counts instead of a ledger. This is the baseline
	// that the ledger is compared with.
	optimistic bool

	partitions           map[string]time.Duration // by "from>to": when the partition ends
	lossRate, repeatRate float64                  // of messages
	delayRate            float64                  // of messages with an additional delay of up to 90 s
	lostAnswerRate       float64                  // of transactions without an answer, half of them committed late
	grants, rejections   int                      // of placements
	messages             int
	writes               int
	peakUse              map[string]amount.Amount // by team, over all regions
	noNewWork            bool
	endDetectionDelay    time.Duration // maximum time until a leader knows that a task has ended
	workload             *workload     // tasks that arrive at a constant rate; nil for none
}

// maxViolations bounds the violations that are recorded.
const maxViolations = 5

// simRegion is a region with its store and its tasks.
type simRegion struct {
	sim  *simulation
	name string
	testStore
	term        uint64
	outageUntil time.Duration // of the store
	leader      *leaderProcess
	used        map[string]amount.Amount // by running tasks, by team
	demands     map[string]balance.Demand
	gossiped    map[string]map[string]amount.Amount // use in other regions, by region and team, for the baseline
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

// after schedules a function call after a delay.
func (s *simulation) after(delay time.Duration, f func()) {
	s.queue.Add(s.now+delay, f)
}

// randomDuration draws a duration below a bound.
func (s *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(bound)))
}

// run advances the time and runs the events that are due.
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

// checkUse checks that a team's running tasks in all regions do not exceed its limit.
func (s *simulation) checkUse(team string) {
	var sum amount.Amount
	for _, region := range s.regions {
		sum = sum.Add(region.used[team])
	}
	s.peakUse[team] = s.peakUse[team].Max(sum)
	if limit := s.teamLimit(team); !limit.Covers(sum) {
		s.addViolation("use of %s: got %v, want at most the limit of %v", team, sum, limit)
	}
}

// checkShares checks that the recorded GPU shares of each team add up exactly to its limit.
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
			s.addViolation("GPUs of the shares of %s: got a sum of %v, want the GPUs of the limit, %v", team.Name, sum, limit)
		}
	}
}

// sumOfShares adds up a team's shares that regions own and those in transit between them. It adds up
// the transfers itself, so that it does not depend on the code under test.
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

// sumOfTransfers adds up a team's amounts in the transfers that the receiver has not credited.
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

// commit applies a transaction if its conditions hold, and then checks the shares.
func (r *simRegion) commit(txn *wire.Txn) kv.TxnResult {
	if len(txn.Writes) > testMaxWrites || len(txn.Conditions) > 4*testMaxWrites {
		r.sim.addViolation("transaction of %d writes exceeds the limits of the store", len(txn.Writes))
	}
	result := r.testStore.commit(txn)
	if result.Committed() && len(txn.Writes) > 0 {
		r.sim.writes += len(txn.Writes)
		r.sim.checkShares()
	}
	return result
}

// elect starts the next term with a new leader. The previous leader is not notified and continues to
// run, unless it has crashed.
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

// crash ends the leader's process. Another leader is elected after a delay, if there is none by then.
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

// pause pauses the leader's process. Another leader is elected after half of the time.
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

// end ends tasks. The leader detects their end after a delay.
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
		// A leader that was elected after the tasks ended has never counted them.
		if r.term == term && r.leader != nil {
			r.leader.used[team] = r.leader.used[team].Sub(size)
		}
	})
}

// gossip sends this region's use to the other regions, for the baseline.
func (r *simRegion) gossip() {
	for _, other := range r.sim.regions {
		if other != r {
			used := maps.Clone(r.used)
			r.sim.deliver(r.name, other.name, func() { other.gossiped[r.name] = used })
		}
	}
}

// deliver sends a message between regions, with the simulated loss, delay and repetition.
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
