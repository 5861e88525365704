package quota

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// Each test here brings about one failure that one guard of the protocol is there for.

// limit is what a region's leader may grant.
func (r *stepRegion) limit() float64 {
	_, gpus := r.leader().m.Limit(stepTeam).Units()
	return gpus
}

// claimAndDebit has region b ask a for shares and a subtract them. The messages that carry the
// transfer are kept back and returned.
func (w *interleaving) claimAndDebit(t *testing.T, a, b int) []stepMessage {
	t.Helper()
	w.regions[b].demand = balance.Demand{Shortfall: amount.Of(0, 9), Priority: 1}
	before := w.regions[a].limit()
	var held []stepMessage
	for range 200 {
		w.now += testInterval / urgentDivisor
		for _, r := range w.regions {
			r.leader().m.Tick()
			for len(r.leader().calls) > 0 {
				r.leader().answer(0)
			}
		}
		messages := w.messages
		w.messages = nil
		for _, x := range messages {
			if x.to == b && x.msg.From == w.plan.Regions[a].Name && len(x.msg.Transfers) > 0 {
				held = append(held, x)
				continue
			}
			w.regions[x.to].leader().m.Receive(x.msg)
		}
		if len(held) > 1 {
			break
		}
	}
	if len(held) < 2 || w.regions[a].limit() >= before {
		t.Fatal("nothing was given")
	}
	w.regions[b].demand = balance.Demand{}
	return held
}

// owned is what a region's records say that it owns.
func (r *stepRegion) owned() float64 {
	l, _ := ledger.Load(r.records())
	s, _ := l.Share(stepTeam)
	_, gpus := s.Owned.Units()
	return gpus
}

// deliver hands messages over and answers all calls.
func (w *interleaving) deliver(messages []stepMessage) {
	for _, x := range messages {
		l := w.regions[x.to].leader()
		l.m.Receive(x.msg)
		for len(l.calls) > 0 {
			l.answer(0)
		}
	}
}

// TestTransferOfEarlierIncarnation has a transfer arrive after its region's ledger was replaced by a
// copy from before it, and confirmed by the others: the shares are in that ledger again.
func TestTransferOfEarlierIncarnation(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].takeBackup()
	held := w.claimAndDebit(t, 0, 1)
	w.regions[0].restoreLedger()
	w.settle()
	if w.regions[0].limit() != 6 {
		t.Fatalf("the copy is not trusted: it may grant %v", w.regions[0].limit())
	}
	w.deliver(append(held, held...))
	w.settle()
	if sum := w.regions[0].owned() + w.regions[1].owned(); sum > 12 {
		t.Errorf("%v GPUs are owned, the ceiling is 12", sum)
	}
}

// TestTransferDuringConfirmation has it arrive while the new run is being confirmed.
func TestTransferDuringConfirmation(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].takeBackup()
	held := w.claimAndDebit(t, 0, 1)
	w.regions[0].restoreLedger()
	b := w.regions[1].leader()
	for range 200 {
		w.now += testInterval / urgentDivisor
		for _, r := range w.regions {
			r.leader().m.Tick()
		}
		for len(w.regions[0].leader().calls) > 0 {
			w.regions[0].leader().answer(0)
		}
		messages := w.messages
		w.messages = nil
		for _, x := range messages {
			w.regions[x.to].leader().m.Receive(x.msg)
		}
		if b.m.pending != nil {
			break
		}
	}
	if b.m.pending == nil {
		t.Fatal("no run was confirmed")
	}
	for _, x := range held {
		b.m.Receive(x.msg)
	}
	w.settle()
	if sum := w.regions[0].owned() + w.regions[1].owned(); sum > 12 {
		t.Errorf("%v GPUs are owned, the ceiling is 12", sum)
	}
}

// TestConfirmationByReplacedLeader has a leader that was replaced without knowing it answer a region
// whose ledger is an older copy: it has not seen the transfer that shows it.
func TestConfirmationByReplacedLeader(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].takeBackup()
	replaced := w.regions[1].leader()
	w.regions[1].elect()
	w.settle()
	held := w.claimAndDebit(t, 0, 1)
	w.deliver(held)
	if w.regions[1].owned() <= 6 {
		t.Fatal("the transfer was not added")
	}
	w.regions[0].restoreLedger()
	for range 60 {
		w.now += testInterval / urgentDivisor
		a := w.regions[0].leader()
		for _, l := range []*stepLeader{a, replaced} {
			if l.ended {
				continue
			}
			l.m.Tick()
			for len(l.calls) > 0 {
				l.answer(0)
			}
		}
		messages := w.messages
		w.messages = nil
		for _, x := range messages {
			switch {
			case x.to == 0:
				a.m.Receive(x.msg)
			case !replaced.ended:
				replaced.m.Receive(x.msg)
			}
		}
	}
	if got := w.regions[0].limit(); got > 1.5 {
		t.Errorf("the older copy may grant %v GPUs, its guaranteed part is 1.5", got)
	}
}

// TestConfirmationFromBeforeReload has a message that confirmed the ledger arrive again after the
// ledger was read anew, by then an older copy.
func TestConfirmationFromBeforeReload(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].takeBackup()
	var confirmations []stepMessage
	w.now += 2 * testInterval
	w.regions[1].leader().m.Tick()
	confirmations, w.messages = w.messages, nil
	held := w.claimAndDebit(t, 0, 1)
	w.deliver(held)
	w.regions[0].replaceRecords()
	a := w.regions[0].leader()
	a.m.load()
	for len(a.calls) > 0 {
		a.answer(0)
	}
	for _, x := range confirmations {
		a.m.Receive(x.msg)
	}
	if a.m.verified() {
		t.Error("a message from before the reading confirmed it")
	}
}

// TestUnverifiedLedgerMovesNothing has a region whose ledger one other region has not confirmed
// be asked for shares, and be sent some.
func TestUnverifiedLedgerMovesNothing(t *testing.T) {
	w := newInterleaving(3)
	held := w.claimAndDebit(t, 0, 1) // is on its way to region 1
	w.regions[0].elect()
	w.regions[1].elect()
	w.excluded = 2
	owned := []float64{w.regions[0].owned(), w.regions[1].owned()}
	w.settle()
	a, b := w.regions[0].leader(), w.regions[1].leader()
	b.m.remote("region-0").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 1000, Rank: 1}}
	b.m.remote("region-0").transfers = held[0].msg.Transfers
	for _, l := range []*stepLeader{a, b} {
		l.m.startNext()
		for len(l.calls) > 0 {
			l.answer(0)
		}
	}
	if a.m.verified() || b.m.verified() {
		t.Fatal("a ledger is trusted that region-2 has not confirmed")
	}
	if w.regions[0].owned() != owned[0] || w.regions[1].owned() != owned[1] {
		t.Errorf("shares moved: %v and %v, were %v", w.regions[0].owned(), w.regions[1].owned(), owned)
	}
}

// TestEmptiedLedgerIsNotRecreated empties a region's state service: the others know of its
// ledger, and it makes no other one.
func TestEmptiedLedgerIsNotRecreated(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].backup = map[string]wire.Item{}
	w.regions[0].restoreLedger()
	w.settle()
	if w.regions[0].leader().m.complete() || w.regions[0].limit() != 0 {
		t.Errorf("a new ledger was made, it may grant %v", w.regions[0].limit())
	}
}

// TestDifferentRegionsFiles starts regions with files that divide the ceilings in different ways: no ledger
// is made, and a team that is new to one file gets no shares.
func TestDifferentRegionsFiles(t *testing.T) {
	w := &interleaving{plan: testPlan(2, 1, 12), excluded: -1}
	for i := range 2 {
		w.regions = append(w.regions, &stepRegion{w: w, index: i, testStore: newTestStore()})
		w.regions[i].elect()
	}
	w.regions[1].leader().m.planFingerprint++
	w.settle()
	if w.regions[0].leader().m.complete() {
		t.Error("a ledger was made from a file that the other region does not have")
	}
	w = newInterleaving(2)
	a := w.regions[0].leader()
	a.m.Plan = testPlan(2, 2, 12)
	b := w.regions[1].leader()
	b.m.Plan = a.m.Plan
	a.m.planFingerprint, b.m.planFingerprint = 77, 77
	other := a.m.remote("region-1")
	other.offers = map[string]wire.RegionOffer{"team-1": {Team: "team-1", Plan: 76}}
	other.planFingerprint, other.hasOffers = 77, true
	if a.m.createShares() != nil {
		t.Error("shares were made of a team of which the other region has some from another file")
	}
	other.offers = nil
	if a.m.createShares() == nil {
		t.Error("no shares were made of a team that is new to all")
	}
}

// TestFencedRegionGrantsNothing looks at a region whose ledger went back: not even the guaranteed part
// is granted until an operator says so.
func TestFencedRegionGrantsNothing(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].takeBackup()
	w.deliver(w.claimAndDebit(t, 0, 1))
	w.regions[0].restoreLedger()
	w.settle()
	if !w.regions[0].leader().m.fenced() || w.regions[0].limit() != 0 {
		t.Errorf("fenced %v, may grant %v", w.regions[0].leader().m.fenced(), w.regions[0].limit())
	}
	w.regions[0].elect()
	w.settle()
	if w.regions[0].limit() != 0 {
		t.Error("the next leader grants again")
	}
}

// TestBackupFromBeforeCredit restores the ledger of a region from before it added a transfer.
func TestBackupFromBeforeCredit(t *testing.T) {
	w := newInterleaving(2)
	w.regions[1].takeBackup()
	w.deliver(w.claimAndDebit(t, 0, 1))
	w.settle()
	w.now += 10 * testInterval
	w.settle() // the transfer is acknowledged and forgotten by its source
	w.regions[1].restoreLedger()
	w.settle()
	if !w.regions[1].leader().m.fenced() {
		t.Error("the older copy was not noticed")
	}
}

// TestReplacedLedger has a region tell of another ledger than the one that is on record: it is
// given nothing.
func TestReplacedLedger(t *testing.T) {
	w := newInterleaving(2)
	a := w.regions[0].leader()
	p := a.m.remote("region-1")
	msg := &wire.RegionMessage{Version: 1, From: "region-1", To: "region-0", Run: p.confirmedIncarnation, Sequence: p.sequence + 1, EchoRun: a.m.incarnation,
		EchoSequence: a.m.sequence, ConfirmedRun: a.m.incarnation, Plan: a.m.planFingerprint, Epoch: p.epoch + 1, KnownEpoch: a.m.ledger.Epoch(),
		Claims: []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 3000}}}
	a.m.Receive(msg)
	for len(a.calls) > 0 {
		a.answer(0)
	}
	if w.regions[0].owned() != 6 {
		t.Errorf("it was given shares: %v of 6 GPUs are left", w.regions[0].owned())
	}
}

// TestStaleClaim has claims arrive out of order, and again while what was given for them is on
// its way: the newest counts, once.
func TestStaleClaim(t *testing.T) {
	w := newInterleaving(2)
	a := w.regions[0].leader()
	p := a.m.remote("region-1")
	say := func(sequence uint64, need int64) {
		a.m.Receive(&wire.RegionMessage{Version: 1, From: "region-1", To: "region-0", Run: p.confirmedIncarnation, Sequence: p.sequence + sequence, EchoRun: a.m.incarnation,
			EchoSequence: a.m.sequence, ConfirmedRun: a.m.incarnation, Plan: a.m.planFingerprint, Epoch: p.epoch, KnownEpoch: a.m.ledger.Epoch(),
			Claims: []wire.RegionClaim{{Team: stepTeam, NeedGPUs: need}}})
		for len(a.calls) > 0 {
			a.answer(0)
		}
		w.now += testInterval
	}
	say(2, 1000)
	if got := w.regions[0].owned(); got != 5 {
		t.Fatalf("%v of 6 GPUs are left after one was claimed", got)
	}
	p.sequence++ // the next one is older than what was heard
	say(0, 3000)
	if got := w.regions[0].owned(); got != 5 {
		t.Errorf("%v GPUs are left: an older claim was served", got)
	}
	say(1, 1000)
	if got := w.regions[0].owned(); got != 5 {
		t.Errorf("%v GPUs are left: a claim was served twice", got)
	}
}

// TestRejectedMessages hands over messages that are not for this version or region.
func TestRejectedMessages(t *testing.T) {
	w := newInterleaving(2)
	a := w.regions[0].leader()
	p := *a.m.remote("region-1")
	for _, msg := range []*wire.RegionMessage{
		{Version: wire.RegionVersion + 1, From: "region-1", To: "region-0", EchoRun: a.m.incarnation, Run: 1},
		{Version: 1, From: "nowhere", To: "region-0", EchoRun: a.m.incarnation},
		{Version: 1, From: "region-1", To: "region-7", EchoRun: a.m.incarnation, Run: 1},
	} {
		a.m.Receive(msg)
	}
	if now := a.m.remote("region-1"); now.echoIncarnation != p.echoIncarnation || now.lastHeard != p.lastHeard || len(a.m.loggedRejections) != 3 {
		t.Errorf("a message was taken: %v", a.m.loggedRejections)
	}
}

// TestDebitWithoutAnswer has the transaction of a transfer get no answer and take effect later:
// meanwhile its amounts count as gone.
func TestDebitWithoutAnswer(t *testing.T) {
	w := newInterleaving(2)
	a := w.regions[0].leader()
	a.m.remote("region-1").claims = []wire.RegionClaim{{Team: stepTeam, NeedGPUs: 3000, Rank: 1}}
	a.m.startNext()
	if len(a.calls) != 1 {
		t.Fatalf("%d calls, want the transfer's", len(a.calls))
	}
	call := a.take(0)
	call.done(kv.TxnResult{Status: kv.Unanswered})
	if w.regions[0].limit() != 3 {
		t.Errorf("it may grant %v of 6 GPUs, of which 3 may be on their way", w.regions[0].limit())
	}
	w.regions[0].commit(call.txn)
	w.settle()
	if w.regions[0].limit() != 3 || w.regions[1].limit() != 9 {
		t.Errorf("in the end the limits are %v and %v, want 3 and 9", w.regions[0].limit(), w.regions[1].limit())
	}
}

// TestUnknownLedger has a region confirm a ledger that it has not put on record, and one that
// knows another ledger: neither counts.
func TestUnknownLedger(t *testing.T) {
	for known, fenced := range map[uint64]bool{0: false, 12345: true} {
		w := newInterleaving(2)
		w.regions[0].elect()
		a := w.regions[0].leader()
		for len(a.calls) > 0 {
			a.answer(0)
		}
		a.m.Receive(&wire.RegionMessage{Version: 1, From: "region-1", To: "region-0", Run: 99, Sequence: 1, EchoRun: a.m.incarnation,
			EchoSequence: a.m.sequence, ConfirmedRun: a.m.incarnation, Plan: a.m.planFingerprint, Epoch: 7, KnownEpoch: known})
		if a.m.verified() || a.m.fenced() != fenced {
			t.Errorf("known epoch %d: trusted %v, fenced %v", known, a.m.verified(), a.m.fenced())
		}
	}
}

// TestStoreLimitsDecrease has the state service take fewer writes at a time than it was said
// to: transfers become smaller and go on.
func TestStoreLimitsDecrease(t *testing.T) {
	w := &interleaving{plan: testPlan(2, 8, 12), excluded: -1}
	for i := range 2 {
		w.regions = append(w.regions, &stepRegion{w: w, index: i, testStore: newTestStore()})
		w.regions[i].elect()
	}
	w.settle()
	w.regions[0].maxWrites = 3
	w.regions[1].demand = balance.Demand{Shortfall: amount.Of(0, 9), Priority: 1} // of every team
	w.regions[1].leader().m.DemandChanged()
	for range 10 {
		w.settle()
	}
	for _, team := range w.plan.Teams {
		if _, gpus := w.regions[1].leader().m.Limit(team.Name).Units(); gpus != 9 {
			t.Errorf("%s: the limit is %v, want 9", team.Name, gpus)
		}
	}
}

// TestNoMessagesBeforeLedgerIsLoaded has a leader begin while its state service is slow: the
// other region would take a message without an epoch for the word that the ledger is gone.
func TestNoMessagesBeforeLedgerIsLoaded(t *testing.T) {
	w := newInterleaving(2)
	w.regions[0].elect()
	w.messages = nil
	for range 10 {
		w.now += testInterval
		w.regions[0].leader().m.Tick()
	}
	if len(w.messages) > 0 {
		t.Errorf("%d messages before the ledger was read", len(w.messages))
	}
	w.settle()
	if w.regions[1].leader().m.remote("region-0").replacementLogged {
		t.Error("the ledger counts as lost")
	}
}
