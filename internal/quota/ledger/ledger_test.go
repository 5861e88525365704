package ledger

import (
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/wire"
)

var testTerm = wire.Condition{Key: "term", Version: 5}

// newTestLedger creates the ledger of a region that owns 8 of a team's 16 GPUs, 2 of them
// guaranteed.
func newTestLedger() *Ledger {
	share := Share{Limit: amount.Of(0, 16), Guarantee: amount.Of(0, 2), Owned: amount.Of(0, 8)}
	return &Ledger{
		header: kv.Versioned[header]{Value: header{Epoch: 7}, Version: 1},
		shares: map[string]kv.Versioned[Share]{"vision": {Value: share, Version: 2}},
		links:  map[string]kv.Versioned[Link]{"south": {Value: Link{RemoteEpoch: 9}, Version: 3}},
	}
}

func gpus(n float64) []Part { return []Part{{Team: "vision", Amount: amount.Of(0, n)}} }

// mustDebit creates the change that transfers GPUs to region south.
func mustDebit(t *testing.T, l *Ledger, n float64) *Change {
	t.Helper()
	change, err := l.Debit(testTerm, "south", 0, gpus(n))
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// conditions lists the keys and versions that a transaction depends on.
func conditions(c *Change) map[string]uint64 {
	versions := map[string]uint64{}
	for _, condition := range c.Txn.Conditions {
		versions[condition.Key] = condition.Version
	}
	return versions
}

// TestTransfersAreConditional checks that each transaction that moves shares is conditional on the
// term and on the version of each record that it writes. Otherwise the transaction of a replaced
// leader, or a repeated one, could move shares.
func TestTransfersAreConditional(t *testing.T) {
	l := newTestLedger()
	for _, tc := range []struct {
		name   string
		change *Change
	}{
		{"debit", mustDebit(t, l, 3)},
		{"credit", l.Credit(testTerm, "south", 0, Transfer{1, gpus(3)})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := conditions(tc.change)
			for key, version := range map[string]uint64{"term": 5, "quota/s/vision": 2, "quota/r/south": 3} {
				if got[key] != version {
					t.Errorf("conditional on version %d of %s, want %d", got[key], key, version)
				}
			}
			if len(tc.change.Txn.Writes) != 2 {
				t.Errorf("got %d writes, want 2: the share and the link", len(tc.change.Txn.Writes))
			}
		})
	}
}

// TestChangesAreConditional checks that the other transactions are conditional on the term.
func TestChangesAreConditional(t *testing.T) {
	l := newTestLedger()
	for _, tc := range []struct {
		name   string
		change *Change
	}{
		{"fence", l.Fence(testTerm, "why")},
		{"handshake", l.Handshake(testTerm, "west", 4)},
		{"complete", l.Complete(testTerm, 7)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if conditions(tc.change)["term"] != 5 {
				t.Error("the transaction is not conditional on the term")
			}
		})
	}
}

// TestDebit debits amounts that may be transferred and amounts that may not.
func TestDebit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts []Part
		ok    bool
	}{
		{"all above the guarantee", gpus(6), true},
		{"a part of the guarantee", gpus(6.001), false},
		{"a negative amount", gpus(-1), false},
		{"a team without a share", []Part{{Team: "nobody", Amount: amount.Of(0, 1)}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := newTestLedger().Debit(testTerm, "south", 0, tc.parts); (err == nil) != tc.ok {
				t.Errorf("Debit: got error %v, want one only if the amount may not be debited", err)
			}
		})
	}
}

// TestCreditInOrder receives transfers repeatedly, late and early: each is credited once, in the
// order of their numbers.
func TestCreditInOrder(t *testing.T) {
	l := newTestLedger()
	for _, step := range []struct {
		number   uint64
		credited bool
	}{{2, false}, {1, true}, {1, false}, {3, false}, {2, true}, {1, false}, {2, false}, {3, true}} {
		change := l.Credit(testTerm, "south", 0, Transfer{step.number, gpus(1)})
		if (change != nil) != step.credited {
			t.Errorf("transfer %d: got credited %v, want %v", step.number, change != nil, step.credited)
		}
		if change != nil {
			change.OnCommitted(10 + step.number)
		}
	}
	if share, _ := l.Share("vision"); share.Owned != amount.Of(0, 11) {
		t.Errorf("owned: got %v, want 11 GPUs", share.Owned)
	}
}

// TestAcknowledge checks that the transfers that have been credited are dropped, and no others.
func TestAcknowledge(t *testing.T) {
	l := newTestLedger()
	for range 3 {
		mustDebit(t, l, 1).OnCommitted(20)
	}
	if change := l.Acknowledge(testTerm, "south", 0); change != nil {
		t.Error("Acknowledge up to transfer 0: got a change, want none")
	}
	l.Acknowledge(testTerm, "south", 2).OnCommitted(30)
	link := l.Link("south")
	if len(link.Unacknowledged) != 1 || link.Unacknowledged[0].Number != 3 || link.Acknowledged() != 2 {
		t.Errorf("link after transfers up to 2 were acknowledged: got %+v, want only transfer 3", link)
	}
	if got := link.InTransit("vision", 0); got != amount.Of(0, 1) {
		t.Errorf("in transit: got %v, want 1 GPU", got)
	}
	if err := l.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// recordsOf lists the records that a debit and the completion of a ledger write.
func recordsOf(t *testing.T) []wire.Item {
	t.Helper()
	l := newTestLedger()
	var items []wire.Item
	for _, write := range append(mustDebit(t, l, 2).Txn.Writes, l.Complete(testTerm, 7).Txn.Writes...) {
		items = append(items, wire.Item{Key: write.Put, Value: write.Value, Version: 40})
	}
	return items
}

// TestLoad writes records and loads them.
func TestLoad(t *testing.T) {
	loaded, err := Load(recordsOf(t))
	if err != nil || loaded.Epoch() != 7 || loaded.Link("south").Sent != 1 {
		t.Fatalf("Load: got %+v, error %v, want epoch 7 and one transfer sent to south", loaded, err)
	}
	if share, _ := loaded.Share("vision"); share.Owned != amount.Of(0, 6) || share.Guarantee != amount.Of(0, 2) {
		t.Errorf("share: got %+v, want 6 GPUs owned and 2 guaranteed", share)
	}
}

// TestLoadMalformed loads a malformed record, and one under a key that the ledger does not use: the
// error names the key.
func TestLoadMalformed(t *testing.T) {
	malformed := recordsOf(t)
	malformed[0].Value = []byte("{")
	unknown := append(recordsOf(t), wire.Item{Key: "quota/x", Value: []byte("{}"), Version: 40})
	for _, tc := range []struct {
		key   string
		items []wire.Item
	}{{malformed[0].Key, malformed}, {"quota/x", unknown}} {
		t.Run(tc.key, func(t *testing.T) {
			if _, err := Load(tc.items); err == nil || !strings.Contains(err.Error(), tc.key) {
				t.Errorf("Load: got error %v, want one that names the key", err)
			}
		})
	}
}

// TestCheckInvariants violates each invariant. The error texts are fixed, since stored records
// contain them.
func TestCheckInvariants(t *testing.T) {
	for _, tc := range []struct {
		name    string
		corrupt func(share *Share, link *Link)
		want    string
	}{
		{"negative", func(s *Share, _ *Link) { s.Owned = amount.Of(0, -1) }, "ledger: vision: owned 0 CPUs, -1 GPUs is below 0"},
		{
			"guarantee", func(s *Share, _ *Link) { s.Owned = amount.Of(0, 1) },
			"ledger: vision: owned 0 CPUs, 1 GPUs is less than the guaranteed 0 CPUs, 2 GPUs",
		},
		{
			"limit", func(s *Share, _ *Link) { s.Owned = amount.Of(0, 17) },
			"ledger: vision: owned 0 CPUs, 17 GPUs is more than the ceiling 0 CPUs, 16 GPUs",
		},
		{"order", func(_ *Share, l *Link) { l.Sent, l.Unacknowledged = 3, []Transfer{{Number: 1}} }, "ledger: south: transfer 1 out of order"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLedger()
			share, link := l.shares["vision"], l.links["south"]
			tc.corrupt(&share.Value, &link.Value)
			l.shares["vision"], l.links["south"] = share, link
			if err := l.CheckInvariants(); err == nil || err.Error() != tc.want {
				t.Errorf("got error %v, want %s", err, tc.want)
			}
		})
	}
}
