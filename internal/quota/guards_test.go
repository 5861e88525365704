package quota

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Each test here causes one failure that one guard of the protocol prevents, see
// docs/design-quota.md.

// limit is what a region's leader may grant, in GPUs.
func (r *stepRegion) limit() float64 {
	_, gpus := r.leader().manager.Limit(stepTeam).Units()
	return gpus
}

// owned is what a region owns by its records, in GPUs.
func (r *stepRegion) owned(t *testing.T) float64 {
	t.Helper()
	loaded, err := ledger.Load(r.records())
	if err != nil {
		t.Fatal(err)
	}
	share, _ := loaded.Share(stepTeam)
	_, gpus := share.Owned.Units()
	return gpus
}

// checkOwned checks that two regions do not own more than the limit together.
func (s *interleaving) checkOwned(t *testing.T) {
	t.Helper()
	if sum := s.regions[0].owned(t) + s.regions[1].owned(t); sum > stepLimit {
		t.Errorf("%v GPUs are owned, the limit is %d", sum, stepLimit)
	}
}

// claimAndDebit makes region 1 claim shares and region 0 debit them. The messages that carry the
// transfer are held back and returned.
func (s *interleaving) claimAndDebit(t *testing.T) []stepMessage {
	t.Helper()
	source, destination := s.regions[0], s.regions[1]
	destination.demand = balance.Demand{Shortfall: amount.Of(0, 9), Priority: 1}
	before := source.limit()
	var held []stepMessage
	for i := 0; i < 200 && len(held) < 2; i++ {
		s.advance()
		for _, region := range s.regions {
			region.leader().tick()
		}
		for _, message := range s.takeMessages() {
			if message.to == 1 && message.msg.From == "region-0" && len(message.msg.Transfers) > 0 {
				held = append(held, message)
			} else {
				s.receive(message)
			}
		}
	}
	if len(held) < 2 || source.limit() >= before {
		t.Fatal("nothing was debited")
	}
	destination.demand = balance.Demand{}
	return held
}

// deliver delivers messages and answers all calls.
func (s *interleaving) deliver(messages []stepMessage) {
	for _, message := range messages {
		s.receive(message)
		s.regions[message.to].leader().answerAll()
	}
}

// message is a message of region 1 that the leader of region 0 accepts. Its sequence follows that of
// the last one by a number.
func (s *interleaving) message(following int64, claims ...wire.RegionClaim) *wire.RegionMessage {
	receiver := s.regions[0].leader().manager
	remote := receiver.remote("region-1")
	return &wire.RegionMessage{
		Version:      wire.RegionVersion,
		From:         "region-1",
		To:           "region-0",
		Run:          remote.confirmedIncarnation,
		Sequence:     remote.newestSequence + uint64(following),
		EchoRun:      receiver.incarnation,
		EchoSequence: receiver.sequence,
		ConfirmedRun: receiver.incarnation,
		Plan:         receiver.planFingerprint,
		Epoch:        remote.epoch,
		KnownEpoch:   receiver.ledger.Epoch(),
		Claims:       claims,
	}
}

// claimOf claims a number of thousandths of a GPU.
func claimOf(gpus int64) wire.RegionClaim { return wire.RegionClaim{Team: stepTeam, NeedGPUs: gpus} }

// receiveAnswered makes the leader of region 0 receive a message and answers its calls.
func (s *interleaving) receiveAnswered(msg *wire.RegionMessage) {
	leader := s.regions[0].leader()
	leader.manager.Receive(msg)
	leader.answerAll()
}

// TestTransferOfEarlierIncarnation delivers a transfer after the sender's ledger was replaced by an
// older copy, which the others have verified: that ledger still owns the shares.
func TestTransferOfEarlierIncarnation(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	held := s.claimAndDebit(t)
	s.regions[0].restoreLedger()
	s.settle()
	if s.regions[0].limit() != 6 {
		t.Fatalf("the copy is not verified: it may grant %v", s.regions[0].limit())
	}
	s.deliver(append(held, held...))
	s.settle()
	s.checkOwned(t)
}

// TestTransferDuringConfirmation delivers it while the new incarnation is being confirmed.
func TestTransferDuringConfirmation(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	held := s.claimAndDebit(t)
	s.regions[0].restoreLedger()
	receiver := s.regions[1].leader()
	for i := 0; i < 200 && receiver.manager.pending == nil; i++ {
		s.advance()
		for _, region := range s.regions {
			region.leader().manager.Tick()
		}
		s.regions[0].leader().answerAll()
		for _, message := range s.takeMessages() {
			s.receive(message)
		}
	}
	if receiver.manager.pending == nil {
		t.Fatal("no incarnation was confirmed")
	}
	for _, message := range held {
		receiver.manager.Receive(message.msg)
	}
	s.settle()
	s.checkOwned(t)
}

// TestConfirmationByReplacedLeader lets a leader that does not know of its replacement answer a
// region whose ledger is an older copy: it has not seen the transfer that shows it.
func TestConfirmationByReplacedLeader(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	replaced := s.regions[1].leader()
	s.regions[1].elect()
	s.settle()
	s.deliver(s.claimAndDebit(t))
	if s.regions[1].owned(t) <= 6 {
		t.Fatal("the transfer was not credited")
	}
	s.regions[0].restoreLedger()
	leader := s.regions[0].leader()
	for range 60 {
		s.advance()
		for _, l := range []*stepLeader{leader, replaced} {
			if !l.ended {
				l.tick()
			}
		}
		for _, message := range s.takeMessages() {
			switch {
			case message.to == 0:
				leader.manager.Receive(message.msg)
			case !replaced.ended:
				replaced.manager.Receive(message.msg)
			}
		}
	}
	if got := s.regions[0].limit(); got > 1.5 {
		t.Errorf("the older copy may grant %v GPUs, its guarantee is 1.5", got)
	}
}

// TestConfirmationFromBeforeReload delivers a message that verified the ledger again after the
// ledger was reloaded, by then an older copy.
func TestConfirmationFromBeforeReload(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	s.now += 2 * testInterval
	s.regions[1].leader().manager.Tick()
	confirmations := s.takeMessages()
	s.deliver(s.claimAndDebit(t))
	s.regions[0].replaceRecords()
	leader := s.regions[0].leader()
	leader.manager.loadLedger()
	leader.answerAll()
	for _, message := range confirmations {
		leader.manager.Receive(message.msg)
	}
	if leader.manager.ledgerVerified() {
		t.Error("a message from before the reload verified the ledger")
	}
}

// TestUnverifiedLedgerMovesNothing claims shares from a region whose ledger one other region has not
// verified, and transfers some to another such region.
func TestUnverifiedLedgerMovesNothing(t *testing.T) {
	s := newInterleaving(3)
	held := s.claimAndDebit(t) // is in transit to region 1
	s.regions[0].elect()
	s.regions[1].elect()
	s.excluded = 2
	owned := []float64{s.regions[0].owned(t), s.regions[1].owned(t)}
	s.settle()
	source, destination := s.regions[0].leader(), s.regions[1].leader()
	source.manager.remote("region-1").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 1000, Rank: 1}}
	destination.manager.remote("region-0").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 1000, Rank: 1}}
	destination.manager.remote("region-0").transfers = held[0].msg.Transfers
	for _, leader := range []*stepLeader{source, destination} {
		leader.manager.startNextChange()
		leader.answerAll()
	}
	if source.manager.ledgerVerified() || destination.manager.ledgerVerified() {
		t.Fatal("a ledger is verified without region-2")
	}
	if s.regions[0].owned(t) != owned[0] || s.regions[1].owned(t) != owned[1] {
		t.Errorf("shares moved: %v and %v, were %v", s.regions[0].owned(t), s.regions[1].owned(t), owned)
	}
}

// TestEmptiedLedgerIsNotRecreated empties a region's store: the others know of its ledger, and it
// makes no other one.
func TestEmptiedLedgerIsNotRecreated(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].backup = map[string]wire.Item{}
	s.regions[0].restoreLedger()
	s.settle()
	if s.regions[0].leader().manager.ledgerComplete() || s.regions[0].limit() != 0 {
		t.Errorf("a new ledger was made, it may grant %v", s.regions[0].limit())
	}
}

// TestDifferentRegionsFiles starts regions with files that divide the limits in different ways: no
// ledger is made.
func TestDifferentRegionsFiles(t *testing.T) {
	s := startInterleaving(testPlan(2, 1, stepLimit))
	s.regions[1].leader().manager.planFingerprint++
	s.settle()
	if s.regions[0].leader().manager.ledgerComplete() {
		t.Error("a ledger was made from a file that the other region does not have")
	}
}

// TestNewTeamOfDifferentFiles adds a team to the file: it gets shares only if no other region has
// some from another file.
func TestNewTeamOfDifferentFiles(t *testing.T) {
	s := newInterleaving(2)
	extended := testPlan(2, 2, stepLimit)
	manager := s.regions[0].leader().manager
	for _, region := range s.regions {
		region.leader().manager.Plan, region.leader().manager.planFingerprint = extended, 77
	}
	other := manager.remote("region-1")
	other.offers = map[string]wire.RegionOffer{"team-1": {Team: "team-1", Plan: 76}}
	other.planFingerprint, other.hasOffers = 77, true
	if manager.createShares() != nil {
		t.Error("shares were made of a team of which the other region has some from another file")
	}
	other.offers = nil
	if manager.createShares() == nil {
		t.Error("no shares were made of a team that is new to all")
	}
}

// TestFencedRegionGrantsNothing restores an older copy of a region's ledger: not even the guarantee
// is granted until an operator intervenes.
func TestFencedRegionGrantsNothing(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	s.deliver(s.claimAndDebit(t))
	s.regions[0].restoreLedger()
	s.settle()
	if !s.regions[0].leader().manager.fenced() || s.regions[0].limit() != 0 {
		t.Errorf("fenced %v, may grant %v", s.regions[0].leader().manager.fenced(), s.regions[0].limit())
	}
	s.regions[0].elect()
	s.settle()
	if s.regions[0].limit() != 0 {
		t.Error("the next leader grants again")
	}
}

// TestBackupFromBeforeCredit restores the ledger of a region from before it credited a transfer.
func TestBackupFromBeforeCredit(t *testing.T) {
	s := newInterleaving(2)
	s.regions[1].takeBackup()
	s.deliver(s.claimAndDebit(t))
	s.settle()
	s.now += 10 * testInterval
	s.settle() // the transfer is acknowledged and dropped by its source
	s.regions[1].restoreLedger()
	s.settle()
	if !s.regions[1].leader().manager.fenced() {
		t.Error("the older copy was not noticed")
	}
}

// TestReplacedLedger claims shares for a region that has another ledger than at the handshake: it
// gets none.
func TestReplacedLedger(t *testing.T) {
	s := newInterleaving(2)
	msg := s.message(1, claimOf(3000))
	msg.Epoch++
	s.receiveAnswered(msg)
	if got := s.regions[0].owned(t); got != 6 {
		t.Errorf("shares were debited: %v of 6 GPUs are left", got)
	}
}

// TestStaleClaim delivers claims out of order, and again while what was debited for them is in
// transit: the newest counts, once.
func TestStaleClaim(t *testing.T) {
	s := newInterleaving(2)
	for _, step := range []struct {
		name      string
		following int64 // of the message's sequence
		need      int64
	}{
		{"a claim", 2, 1000},
		{"an older claim", -1, 3000},
		{"a claim of the same sequence", 0, 3000},
		{"the first claim in a newer message", 1, 1000},
	} {
		s.receiveAnswered(s.message(step.following, claimOf(step.need)))
		s.now += testInterval
		if got := s.regions[0].owned(t); got != 5 {
			t.Fatalf("%v of 6 GPUs are left after %s, want 5", got, step.name)
		}
	}
}

// TestRejectedMessages delivers messages of another version, and from and to other regions.
func TestRejectedMessages(t *testing.T) {
	s := newInterleaving(2)
	manager := s.regions[0].leader().manager
	before := *manager.remote("region-1")
	for _, msg := range []*wire.RegionMessage{
		{Version: wire.RegionVersion + 1, From: "region-1", To: "region-0", EchoRun: manager.incarnation, Run: 1},
		{Version: 1, From: "nowhere", To: "region-0", EchoRun: manager.incarnation},
		{Version: 1, From: "region-1", To: "region-7", EchoRun: manager.incarnation, Run: 1},
	} {
		manager.Receive(msg)
	}
	now := manager.remote("region-1")
	if now.echoIncarnation != before.echoIncarnation || now.lastResponse != before.lastResponse || len(manager.loggedRejections) != 3 {
		t.Errorf("a message was accepted: %v", manager.loggedRejections)
	}
}

// TestDebitWithoutAnswer loses the answer to the transaction of a transfer, which is carried out
// later: meanwhile its amounts count as debited.
func TestDebitWithoutAnswer(t *testing.T) {
	s := newInterleaving(2)
	leader := s.regions[0].leader()
	leader.manager.remote("region-1").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 3000, Rank: 1}}
	leader.manager.startNextChange()
	if len(leader.calls) != 1 {
		t.Fatalf("%d calls, want the transfer's", len(leader.calls))
	}
	call := leader.take()
	call.done(kv.TxnResult{Status: kv.Unanswered})
	if s.regions[0].limit() != 3 {
		t.Errorf("it may grant %v of 6 GPUs, of which 3 may be in transit", s.regions[0].limit())
	}
	s.regions[0].commit(call.txn)
	s.settle()
	if s.regions[0].limit() != 3 || s.regions[1].limit() != 9 {
		t.Errorf("in the end the limits are %v and %v, want 3 and 9", s.regions[0].limit(), s.regions[1].limit())
	}
}

// TestUnknownLedger lets a region confirm a ledger that it has not recorded, and one that differs
// from the recorded one: neither is verified.
func TestUnknownLedger(t *testing.T) {
	for _, tc := range []struct {
		name       string
		knownEpoch uint64
		fenced     bool
	}{{"not recorded", 0, false}, {"another one", 12345, true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newInterleaving(2)
			s.regions[0].elect()
			leader := s.regions[0].leader()
			leader.answerAll()
			msg := s.message(1)
			msg.Run, msg.Epoch, msg.KnownEpoch = 99, 7, tc.knownEpoch
			leader.manager.Receive(msg)
			if leader.manager.ledgerVerified() || leader.manager.fenced() != tc.fenced {
				t.Errorf("verified %v, fenced %v", leader.manager.ledgerVerified(), leader.manager.fenced())
			}
		})
	}
}

// TestStoreLimitsDecrease lets the store take fewer writes in a transaction than it announced:
// transfers become smaller and go on.
func TestStoreLimitsDecrease(t *testing.T) {
	s := startInterleaving(testPlan(2, 8, stepLimit))
	s.settle()
	s.regions[0].maxWrites = 3
	s.regions[1].demand = balance.Demand{Shortfall: amount.Of(0, 9), Priority: 1} // of every team
	s.regions[1].leader().manager.DemandChanged()
	for range 10 {
		s.settle()
	}
	for _, team := range s.plan.Teams {
		if _, gpus := s.regions[1].leader().manager.Limit(team.Name).Units(); gpus != 9 {
			t.Errorf("%s: the limit is %v, want 9", team.Name, gpus)
		}
	}
}

// TestNoMessagesBeforeLedgerIsLoaded begins a term while the store is slow: from a message without
// an epoch the other region would conclude that the ledger was lost.
func TestNoMessagesBeforeLedgerIsLoaded(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].elect()
	s.messages = nil
	for range 10 {
		s.now += testInterval
		s.regions[0].leader().manager.Tick()
	}
	if len(s.messages) > 0 {
		t.Errorf("%d messages before the ledger was loaded", len(s.messages))
	}
	s.settle()
	if s.regions[1].leader().manager.remote("region-0").replacementLogged {
		t.Error("the ledger counts as lost")
	}
}
