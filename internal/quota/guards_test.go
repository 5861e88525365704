package quota

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Each test in this file provokes one failure that a check of the protocol must prevent, see
// docs/design-quota.md.

// limit is what a region's leader may grant, in GPUs.
func (r *stepRegion) limit() float64 {
	_, gpus := r.leader().manager.Limit(stepTeam).Units()
	return gpus
}

// owned is what a region owns according to its records, in GPUs.
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

// checkOwned checks that two regions together do not own more than the limit.
func (s *interleaving) checkOwned(t *testing.T) {
	t.Helper()
	if sum := s.regions[0].owned(t) + s.regions[1].owned(t); sum > stepLimit {
		t.Errorf("owned by both regions: got %v GPUs, want at most the limit of %d", sum, stepLimit)
	}
}

// claimAndDebit makes region 1 claim shares and region 0 debit them. The messages with the transfer
// are not delivered but returned.
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
		t.Fatal("region-0 debited no shares, want a transfer to region-1")
	}
	destination.demand = balance.Demand{}
	return held
}

// deliver delivers messages and completes the calls to the store that they cause.
func (s *interleaving) deliver(messages []stepMessage) {
	for _, message := range messages {
		s.receive(message)
		s.regions[message.to].leader().answerAll()
	}
}

// message creates a message from region 1 that the leader of region 0 accepts. The offset of its
// sequence is relative to the newest message that was received.
func (s *interleaving) message(sequenceOffset int64, claims ...wire.RegionClaim) *wire.RegionMessage {
	receiver := s.regions[0].leader().manager
	remote := receiver.remote("region-1")
	return &wire.RegionMessage{
		Version:      wire.RegionVersion,
		From:         "region-1",
		To:           "region-0",
		Run:          remote.confirmedIncarnation,
		Sequence:     remote.newestSequence + uint64(sequenceOffset),
		EchoRun:      receiver.incarnation,
		EchoSequence: receiver.sequence,
		ConfirmedRun: receiver.incarnation,
		Plan:         receiver.planFingerprint,
		Epoch:        remote.epoch,
		KnownEpoch:   receiver.ledger.Epoch(),
		Claims:       claims,
	}
}

// claimOf creates a claim of a number of thousandths of a GPU.
func claimOf(gpus int64) wire.RegionClaim { return wire.RegionClaim{Team: stepTeam, NeedGPUs: gpus} }

// receiveAnswered makes the leader of region 0 receive a message and completes its calls to the
// store.
func (s *interleaving) receiveAnswered(msg *wire.RegionMessage) {
	leader := s.regions[0].leader()
	leader.manager.Receive(msg)
	leader.answerAll()
}

// TestTransferOfEarlierIncarnation delivers a transfer after the sender's ledger was replaced by an
// older copy, from before the debit, that the other region has verified. If the transfer were
// credited, both regions would own the shares.
func TestTransferOfEarlierIncarnation(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	held := s.claimAndDebit(t)
	s.regions[0].restoreLedger()
	s.settle()
	if s.regions[0].limit() != 6 {
		t.Fatalf("limit with the restored ledger: got %v, want 6 as it is verified", s.regions[0].limit())
	}
	s.deliver(append(held, held...))
	s.settle()
	s.checkOwned(t)
}

// TestTransferDuringConfirmation delivers the transfer of TestTransferOfEarlierIncarnation while the
// receiver confirms the sender's new incarnation.
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
		t.Fatal("receiver has no pending transaction, want the confirmation of the sender's new incarnation")
	}
	for _, message := range held {
		receiver.manager.Receive(message.msg)
	}
	s.settle()
	s.checkOwned(t)
}

// TestConfirmationByReplacedLeader lets a replaced leader, which has not noticed its replacement,
// respond to a region whose ledger is an older copy. It has not received the transfer that shows
// this, so its messages must not verify the ledger.
func TestConfirmationByReplacedLeader(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	replaced := s.regions[1].leader()
	s.regions[1].elect()
	s.settle()
	s.deliver(s.claimAndDebit(t))
	if s.regions[1].owned(t) <= 6 {
		t.Fatal("the transfer was not credited, want more than 6 GPUs owned by region-1")
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
		t.Errorf("limit with an older copy of the ledger: got %v GPUs, want at most the guarantee of 1.5", got)
	}
}

// TestConfirmationFromBeforeReload delivers a message that would have verified the ledger, after a
// reload that found an older copy of it.
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
		t.Error("a message from before the reload verified the reloaded ledger, want it not verified")
	}
}

// TestUnverifiedLedgerMovesNothing checks that two regions whose ledgers one other region has not
// verified neither debit shares for a claim nor credit a transfer.
func TestUnverifiedLedgerMovesNothing(t *testing.T) {
	s := newInterleaving(3)
	held := s.claimAndDebit(t) // a transfer in transit to region 1
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
		t.Fatal("a ledger is verified although region-2 sends no messages")
	}
	if s.regions[0].owned(t) != owned[0] || s.regions[1].owned(t) != owned[1] {
		t.Errorf("owned by the regions: got %v and %v, want the unchanged %v", s.regions[0].owned(t), s.regions[1].owned(t), owned)
	}
}

// TestEmptiedLedgerIsNotRecreated deletes a region's ledger. The region must not create a new one,
// since the other region has a record of the lost one.
func TestEmptiedLedgerIsNotRecreated(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].backup = map[string]wire.Item{}
	s.regions[0].restoreLedger()
	s.settle()
	if s.regions[0].leader().manager.ledgerComplete() || s.regions[0].limit() != 0 {
		t.Errorf("region with a deleted ledger: got a complete ledger or limit %v, want no ledger and limit 0", s.regions[0].limit())
	}
}

// TestDifferentRegionsFiles starts regions with files that divide the limits in different ways: no
// ledger is created.
func TestDifferentRegionsFiles(t *testing.T) {
	s := startInterleaving(testPlan(2, 1, stepLimit))
	s.regions[1].leader().manager.planFingerprint++
	s.settle()
	if s.regions[0].leader().manager.ledgerComplete() {
		t.Error("a ledger was created from a regions file that the other region does not have")
	}
}

// TestNewTeamOfDifferentFiles adds a team to the regions file: initial shares of it are recorded
// only if no other region has a share of it from a different file.
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
		t.Error("initial shares created for a team of which the other region has a share from a different file")
	}
	other.offers = nil
	if manager.createShares() == nil {
		t.Error("no initial shares created for a team that is new in both regions")
	}
}

// TestFencedRegionGrantsNothing restores an older copy of a region's ledger: the region grants
// nothing, not even its guarantee, also under the next leader.
func TestFencedRegionGrantsNothing(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].takeBackup()
	s.deliver(s.claimAndDebit(t))
	s.regions[0].restoreLedger()
	s.settle()
	if !s.regions[0].leader().manager.fenced() || s.regions[0].limit() != 0 {
		t.Errorf("region with an older ledger: got fenced %v and limit %v, want true and 0", s.regions[0].leader().manager.fenced(), s.regions[0].limit())
	}
	s.regions[0].elect()
	s.settle()
	if s.regions[0].limit() != 0 {
		t.Error("the next leader of the fenced region has a limit above 0, want 0")
	}
}

// TestBackupFromBeforeCredit restores a copy of a region's ledger from before it credited a transfer
// that its source has dropped since: the region is fenced.
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
		t.Error("region with an older ledger is not fenced, want it fenced")
	}
}

// TestReplacedLedger claims shares for a region whose ledger has another epoch than at the
// handshake: nothing is debited.
func TestReplacedLedger(t *testing.T) {
	s := newInterleaving(2)
	msg := s.message(1, claimOf(3000))
	msg.Epoch++
	s.receiveAnswered(msg)
	if got := s.regions[0].owned(t); got != 6 {
		t.Errorf("owned after a claim by a region with another ledger: got %v GPUs, want 6", got)
	}
}

// TestStaleClaim delivers claims out of order, and repeats a claim while the amount that was debited
// for it is in transit: only the newest claim is granted, and only once.
func TestStaleClaim(t *testing.T) {
	s := newInterleaving(2)
	for _, step := range []struct {
		name           string
		sequenceOffset int64 // of the message's sequence
		need           int64
	}{
		{"a claim", 2, 1000},
		{"an older claim", -1, 3000},
		{"a claim of the same sequence", 0, 3000},
		{"the first claim in a newer message", 1, 1000},
	} {
		s.receiveAnswered(s.message(step.sequenceOffset, claimOf(step.need)))
		s.now += testInterval
		if got := s.regions[0].owned(t); got != 5 {
			t.Fatalf("owned: got %v GPUs after %s, want 5", got, step.name)
		}
	}
}

// TestRejectedMessages delivers a message of a newer version, one from an unknown region and one to
// another region: all are rejected.
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
		t.Errorf("rejections: got %v, want three and no change of the state of region-1", manager.loggedRejections)
	}
}

// TestDebitWithoutAnswer loses the result of a debit that is committed later: the amounts count as
// debited as long as the outcome is unknown.
func TestDebitWithoutAnswer(t *testing.T) {
	s := newInterleaving(2)
	leader := s.regions[0].leader()
	leader.manager.remote("region-1").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 3000, Rank: 1}}
	leader.manager.startNextChange()
	if len(leader.calls) != 1 {
		t.Fatalf("got %d calls to the store, want one for the debit", len(leader.calls))
	}
	call := leader.take()
	call.done(kv.TxnResult{Status: kv.Unanswered})
	if s.regions[0].limit() != 3 {
		t.Errorf("limit while the outcome of a debit is unknown: got %v GPUs, want 3 of 6", s.regions[0].limit())
	}
	s.regions[0].commit(call.txn)
	s.settle()
	if s.regions[0].limit() != 3 || s.regions[1].limit() != 9 {
		t.Errorf("limits after the transfer: got %v and %v, want 3 and 9", s.regions[0].limit(), s.regions[1].limit())
	}
}

// TestUnknownLedger receives a confirmation from a region that has recorded no epoch of this ledger,
// and one from a region that has recorded another epoch: neither verifies the ledger.
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
				t.Errorf("got verified %v and fenced %v, want not verified, and fenced only for another epoch", leader.manager.ledgerVerified(), leader.manager.fenced())
			}
		})
	}
}

// TestStoreLimitsDecrease makes the store accept fewer writes per transaction than it announced:
// transfers become smaller and continue.
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
			t.Errorf("limit of %s: got %v GPUs, want 9", team.Name, gpus)
		}
	}
}

// TestNoMessagesBeforeLedgerIsLoaded starts a term while the store does not respond: from a message
// without an epoch the other region would conclude that the ledger was replaced.
func TestNoMessagesBeforeLedgerIsLoaded(t *testing.T) {
	s := newInterleaving(2)
	s.regions[0].elect()
	s.messages = nil
	for range 10 {
		s.now += testInterval
		s.regions[0].leader().manager.Tick()
	}
	if len(s.messages) > 0 {
		t.Errorf("got %d messages before the ledger was loaded, want 0", len(s.messages))
	}
	s.settle()
	if s.regions[1].leader().manager.remote("region-0").replacementLogged {
		t.Error("region-1 logged that the ledger of region-0 was replaced, want no such log line")
	}
}
