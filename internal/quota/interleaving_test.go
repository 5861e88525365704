package quota

import (
	"flag"
	"os"
	"slices"
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
	if err := flag.Set("rapid.steps", "150"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// interleaving runs the transfer protocol step by step, in an order that rapid draws. Each message
// may arrive at any later time, repeatedly or never. Each transaction may be committed at any later
// time, with or without its result reaching the leader. A replaced leader continues to run.
type interleaving struct {
	now          time.Duration
	plan         *plan.Plan
	regions      []*stepRegion
	messages     []stepMessage
	lateTxns     []stepTxn // may be committed later, their results were lost
	incarnations uint64
	restored     bool // a ledger was replaced, so shares may not add up
	excluded     int  // index of a region that settle does not run; -1 for none
}

// stepMessage is a message in transit to the region at an index.
type stepMessage struct {
	to  int
	msg *wire.RegionMessage
}

// stepTxn is a transaction of the region at an index.
type stepTxn struct {
	region int
	txn    *wire.Txn
}

// stepRegion is a region: its records, its tasks, and its leader with the replaced ones that may
// still run.
type stepRegion struct {
	steps *interleaving
	index int
	testStore
	used    int // GPUs of running tasks
	demand  balance.Demand
	leaders []*stepLeader // the last one is the current leader
}

// stepLeader is a leader's process and its calls to the store that have no result yet.
type stepLeader struct {
	region  *stepRegion
	manager *Manager
	term    wire.Condition
	used    int // GPUs of the tasks that it counts as running
	calls   []stepCall
	ended   bool
}

// stepCall is a call to the store: a transaction, or the loading of records if txn is nil.
type stepCall struct {
	txn  *wire.Txn
	done func(kv.TxnResult)
	load func([]wire.Item)
}

const (
	stepTeam = "team-0"
	// stepLimit is the team's limit in GPUs.
	stepLimit = 12
	// maxStepMessages bounds the messages in transit, maxStepLeaders the leaders of a region.
	maxStepMessages = 60
	maxStepLeaders  = 3
)

// newInterleaving creates regions that have verified their ledgers.
func newInterleaving(regions int) *interleaving {
	s := startInterleaving(testPlan(regions, 1, stepLimit))
	s.settle()
	return s
}

// startInterleaving creates the regions of a plan and elects their first leaders.
func startInterleaving(p *plan.Plan) *interleaving {
	s := &interleaving{plan: p, excluded: -1}
	for i := range p.Regions {
		region := &stepRegion{steps: s, index: i, testStore: newTestStore()}
		s.regions = append(s.regions, region)
		region.elect()
	}
	return s
}

// advance advances the time by the minimum time between two messages.
func (s *interleaving) advance() { s.now += testInterval / minMessageGapDivisor }

// settle completes all calls and delivers all messages in order, for long enough that all regions
// verify their ledgers.
func (s *interleaving) settle() {
	for range 60 {
		s.advance()
		for _, region := range s.regions {
			if region.index != s.excluded {
				region.leader().tick()
			}
		}
		for _, message := range s.takeMessages() {
			if !s.isExcluded(message) {
				s.receive(message)
			}
		}
	}
}

// isExcluded reports whether a message is to or from the excluded region.
func (s *interleaving) isExcluded(message stepMessage) bool {
	if s.excluded < 0 {
		return false
	}
	return message.to == s.excluded || message.msg.From == s.plan.Regions[s.excluded].Name
}

// takeMessages removes and returns the messages in transit.
func (s *interleaving) takeMessages() []stepMessage {
	messages := s.messages
	s.messages = nil
	return messages
}

// receive delivers a message to the leader of its region.
func (s *interleaving) receive(message stepMessage) {
	s.regions[message.to].leader().manager.Receive(message.msg)
}

func (r *stepRegion) leader() *stepLeader { return r.leaders[len(r.leaders)-1] }

// elect starts a term with a new leader. The previous leader is not notified and continues to run.
func (r *stepRegion) elect() {
	leader := &stepLeader{region: r, term: r.beginTerm(), used: r.used}
	r.leaders = append(r.leaders, leader)
	if len(r.leaders) > maxStepLeaders {
		r.leaders = r.leaders[1:]
	}
	leader.manager = newTestManager(r.steps.plan.Regions[r.index].Name, r.steps.plan, leader, leader)
}

// tick calls the manager's Tick and completes all calls.
func (l *stepLeader) tick() {
	l.manager.Tick()
	l.answerAll()
}

// take removes the first call and returns it.
func (l *stepLeader) take() stepCall {
	call := l.calls[0]
	l.calls = slices.Clone(l.calls[1:])
	return call
}

// answer executes the first call and returns its result to the manager.
func (l *stepLeader) answer() {
	call := l.take()
	if call.load != nil {
		call.load(l.region.records())
		return
	}
	call.done(l.region.commit(call.txn))
}

// answerAll completes all calls, including those that the results cause.
func (l *stepLeader) answerAll() {
	for len(l.calls) > 0 {
		l.answer()
	}
}

// Load implements Store.
func (l *stepLeader) Load(_ string, done func([]wire.Item)) {
	l.calls = append(l.calls, stepCall{load: done})
}

// Commit implements Store.
func (l *stepLeader) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	copied := *txn
	l.calls = append(l.calls, stepCall{txn: &copied, done: done})
}

// Now implements Host.
func (l *stepLeader) Now() time.Duration { return l.region.steps.now }

// NewIncarnation implements Host.
func (l *stepLeader) NewIncarnation() uint64 {
	l.region.steps.incarnations++
	return l.region.steps.incarnations
}

// Term implements Host.
func (l *stepLeader) Term() wire.Condition { return l.term }

// SharesChanged implements Host.
func (l *stepLeader) SharesChanged() {}

// TermChanged implements Host.
func (l *stepLeader) TermChanged() { l.ended = true }

// Demand implements Host.
func (l *stepLeader) Demand(string) balance.Demand {
	demand := l.region.demand
	demand.Planned = amount.Of(0, float64(l.used))
	return demand
}

// Send implements Host.
func (l *stepLeader) Send(region string, msg *wire.RegionMessage) {
	steps := l.region.steps
	steps.messages = append(steps.messages, stepMessage{steps.plan.Index(region), msg})
	if len(steps.messages) > maxStepMessages {
		steps.messages = steps.messages[1:]
	}
}

// drawRegion draws a region.
func (s *interleaving) drawRegion(t *rapid.T) *stepRegion {
	return s.regions[rapid.IntRange(0, len(s.regions)-1).Draw(t, "region")]
}

// drawLeader draws a leader: usually the current one of its region, otherwise an earlier one.
func (s *interleaving) drawLeader(t *rapid.T) *stepLeader {
	region := s.drawRegion(t)
	if back := rapid.IntRange(0, 5).Draw(t, "leader"); back > 0 && back < len(region.leaders) {
		return region.leaders[len(region.leaders)-1-back]
	}
	return region.leader()
}

// actions are the steps that rapid draws from. rapid runs the one with an empty name after each step
// to check the state.
func (s *interleaving) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick":             s.drawTick,
		"deliver":          s.drawDelivery,
		"answer":           s.drawAnswer,
		"lose an answer":   s.drawLostAnswer,
		"late transaction": s.drawLateTxn,
		"demand":           s.drawDemand,
		"start tasks":      s.drawStart,
		"end tasks":        s.drawEnd,
		"elect":            func(t *rapid.T) { s.drawRegion(t).elect() },
		"back a ledger up": s.drawBackup,
		"":                 s.check,
	}
}

func (s *interleaving) drawTick(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
	if leader := s.drawLeader(t); !leader.ended {
		leader.manager.Tick()
	}
}

// drawDelivery delivers a message, usually to the current leader. The message may remain in transit
// and be delivered again.
func (s *interleaving) drawDelivery(t *rapid.T) {
	if len(s.messages) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	message := s.messages[i]
	if rapid.IntRange(0, 3).Draw(t, "keep") > 0 {
		s.messages = removeAt(s.messages, i)
	}
	receiver := s.regions[message.to].leader()
	if rapid.IntRange(0, 9).Draw(t, "to an earlier leader") == 0 {
		receiver = s.regions[message.to].leaders[0]
	}
	if !receiver.ended {
		receiver.manager.Receive(message.msg)
	}
}

// removeAt returns a copy of a list without the element at an index.
func removeAt[T any](list []T, index int) []T {
	return append(slices.Clone(list[:index]), list[index+1:]...)
}

func (s *interleaving) drawAnswer(t *rapid.T) {
	if leader := s.drawLeader(t); len(leader.calls) > 0 && !leader.ended {
		leader.answer()
	}
}

// drawLostAnswer loses the result of a transaction, which is committed immediately or later.
func (s *interleaving) drawLostAnswer(t *rapid.T) {
	leader := s.drawLeader(t)
	if len(leader.calls) == 0 || leader.calls[0].txn == nil || leader.ended {
		t.Skip()
	}
	call := leader.take()
	if rapid.Bool().Draw(t, "late") {
		s.lateTxns = append(s.lateTxns, stepTxn{leader.region.index, call.txn})
	} else {
		leader.region.commit(call.txn)
	}
	call.done(kv.TxnResult{Status: kv.Unanswered})
}

func (s *interleaving) drawLateTxn(t *rapid.T) {
	if len(s.lateTxns) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(s.lateTxns)-1).Draw(t, "transaction")
	late := s.lateTxns[i]
	s.lateTxns = removeAt(s.lateTxns, i)
	s.regions[late.region].commit(late.txn)
}

func (s *interleaving) drawDemand(t *rapid.T) {
	region := s.drawRegion(t)
	region.demand = balance.Demand{
		Shortfall: amount.Of(0, float64(rapid.IntRange(0, stepLimit).Draw(t, "shortfall"))),
		Priority:  rapid.IntRange(0, 1).Draw(t, "priority"),
	}
	region.leader().manager.DemandChanged()
}

// drawStart records a placement under the leader's term and then starts its tasks.
func (s *interleaving) drawStart(t *rapid.T) {
	leader := s.drawLeader(t)
	tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
	if leader.ended || !leader.manager.Limit(stepTeam).Covers(amount.Of(0, float64(leader.used+tasks))) {
		return
	}
	leader.used += tasks
	placement := &wire.Txn{Conditions: []wire.Condition{leader.term}}
	if leader.region.commit(placement).Committed() {
		leader.region.used += tasks
	}
}

func (s *interleaving) drawEnd(t *rapid.T) {
	region := s.drawRegion(t)
	tasks := rapid.IntRange(0, region.used).Draw(t, "tasks")
	region.used -= tasks
	region.leader().used -= tasks
}

func (s *interleaving) drawBackup(t *rapid.T) {
	region := s.drawRegion(t)
	if region.backup != nil {
		t.Skip()
	}
	region.takeBackup()
}

// drawRestore replaces a region's ledger by its backup, after all its controllers have stopped.
func (s *interleaving) drawRestore(t *rapid.T) {
	region := s.drawRegion(t)
	if region.backup == nil || rapid.IntRange(0, 2).Draw(t, "restore") > 0 {
		t.Skip()
	}
	region.restoreLedger()
	// The store that would have committed the late transactions no longer exists.
	s.lateTxns = slices.DeleteFunc(s.lateTxns, func(late stepTxn) bool { return late.region == region.index })
}

// replaceRecords replaces the ledger's records by the backup, under the current leader.
func (r *stepRegion) replaceRecords() {
	r.steps.restored = true
	r.applyBackup()
}

// restoreLedger replaces the ledger by the backup after all controllers have stopped, and elects a
// new leader.
func (r *stepRegion) restoreLedger() {
	r.replaceRecords()
	r.leaders, r.backup = nil, nil
	r.elect()
}

// check checks that running tasks do not exceed the limit, and that recorded shares add up to it.
func (s *interleaving) check(t *rapid.T) {
	used := 0
	for _, region := range s.regions {
		used += region.used
	}
	if used > stepLimit {
		t.Fatalf("in use: got %d GPUs, want at most the limit of %d", used, stepLimit)
	}
	if s.restored {
		return
	}
	ledgers := map[string]*ledger.Ledger{}
	for i, region := range s.regions {
		loaded, err := ledger.Load(region.records())
		if err != nil {
			t.Fatal(err)
		}
		if err := loaded.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
		ledgers[s.plan.Regions[i].Name] = loaded
	}
	if sum := sumOfShares(ledgers, stepTeam); sum.GPUs != amount.Of(0, stepLimit).GPUs {
		t.Fatalf("sum of shares: got %v, want %d GPUs", sum, stepLimit)
	}
}

// TestInterleavings draws interleavings of the protocol and checks the limit after each step.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newInterleaving(rapid.IntRange(2, 3).Draw(t, "regions"))
		t.Repeat(s.actions())
	})
}

// TestInterleavingsWithRestoredLedgers draws interleavings in which ledgers are replaced by older
// copies.
func TestInterleavingsWithRestoredLedgers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newInterleaving(rapid.IntRange(2, 3).Draw(t, "regions"))
		actions := s.actions()
		actions["restore"] = s.drawRestore
		t.Repeat(actions)
	})
}
