package ledger

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/wire"
)

var testTerm = wire.Condition{Key: "term", Version: 5}

// newTestLedger is one that owns 8 GPUs of a ceiling of 16, 2 of them guaranteed.
func newTestLedger() *Ledger {
	return &Ledger{
		header: versioned[header]{header{Epoch: 7}, 1},
		shares: map[string]versioned[Share]{"vision": {Share{Limit: amount.Of(0, 16), Guarantee: amount.Of(0, 2), Owned: amount.Of(0, 8)}, 2}},
		links:  map[string]versioned[Link]{"south": {Link{RemoteEpoch: 9}, 3}},
	}
}

func gpus(n float64) []Part { return []Part{{Team: "vision", Amount: amount.Of(0, n)}} }

// conditions lists the keys and versions that a transaction depends on.
func conditions(c *Change) map[string]uint64 {
	out := map[string]uint64{}
	for _, x := range c.Txn.Conditions {
		out[x.Key] = x.Version
	}
	return out
}

// TestChangesAreConditional looks at each transaction that moves shares: it depends on the term
// and on the version of each record that it writes, so that neither a deposed leader's nor a
// second copy takes effect.
func TestChangesAreConditional(t *testing.T) {
	l := newTestLedger()
	give, err := l.Debit(testTerm, "south", 0, gpus(3))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*Change{"give": give, "take": l.Credit(testTerm, "south", 0, Transfer{1, gpus(3)})} {
		have := conditions(c)
		for key, version := range map[string]uint64{"term": 5, "quota/s/vision": 2, "quota/r/south": 3} {
			if have[key] != version {
				t.Errorf("%s depends on version %d of %s, want %d", name, have[key], key, version)
			}
		}
		if len(c.Txn.Writes) != 2 {
			t.Errorf("%s writes %d records, want share and link", name, len(c.Txn.Writes))
		}
	}
	for name, c := range map[string]*Change{"fence": l.Fence(testTerm, "why"), "meet": l.Handshake(testTerm, "west", 4), "complete": l.Complete(testTerm, 7)} {
		if conditions(c)["term"] != 5 {
			t.Errorf("%s does not depend on the term", name)
		}
	}
}

// TestDebit asks for amounts that may and may not leave.
func TestDebit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts []Part
		ok    bool
	}{
		{"all above the floor", gpus(6), true},
		{"a part of the floor", gpus(6.001), false},
		{"less than nothing", gpus(-1), false},
		{"of a team without a share", []Part{{Team: "nobody", Amount: amount.Of(0, 1)}}, false},
	} {
		if _, err := newTestLedger().Debit(testTerm, "south", 0, tc.parts); (err == nil) != tc.ok {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}

// TestCreditInOrder offers transfers again, late and ahead of their turn: each is added once and
// in its turn.
func TestCreditInOrder(t *testing.T) {
	l := newTestLedger()
	for _, tc := range []struct {
		number uint64
		added  bool
	}{{2, false}, {1, true}, {1, false}, {3, false}, {2, true}, {1, false}, {2, false}, {3, true}} {
		c := l.Credit(testTerm, "south", 0, Transfer{tc.number, gpus(1)})
		if (c != nil) != tc.added {
			t.Errorf("transfer %d: added %v, want %v", tc.number, c != nil, tc.added)
		}
		if c != nil {
			c.OnCommitted(10 + tc.number)
		}
	}
	if s, _ := l.Share("vision"); s.Owned != amount.Of(0, 11) {
		t.Errorf("owned %v, want 11 GPUs", s.Owned)
	}
}

// TestAcknowledge drops what has arrived, and nothing else.
func TestAcknowledge(t *testing.T) {
	l := newTestLedger()
	for range 3 {
		c, err := l.Debit(testTerm, "south", 0, gpus(1))
		if err != nil {
			t.Fatal(err)
		}
		c.OnCommitted(20)
	}
	if c := l.Acknowledge(testTerm, "south", 0); c != nil {
		t.Error("an acknowledgement of nothing leads to a write")
	}
	l.Acknowledge(testTerm, "south", 2).OnCommitted(30)
	link := l.Link("south")
	if len(link.Unacknowledged) != 1 || link.Unacknowledged[0].Number != 3 || link.Acknowledged() != 2 {
		t.Errorf("left %+v", link)
	}
	if got := link.InTransit("vision", 0); got != amount.Of(0, 1) {
		t.Errorf("%v on their way, want 1 GPU", got)
	}
	if err := l.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// TestLoad writes records and reads them back; one that is not readable is named.
func TestLoad(t *testing.T) {
	l := newTestLedger()
	c, _ := l.Debit(testTerm, "south", 0, gpus(2))
	var items []wire.Item
	for _, w := range append(c.Txn.Writes, l.Complete(testTerm, 7).Txn.Writes...) {
		items = append(items, wire.Item{Key: w.Put, Value: w.Value, Version: 40})
	}
	read, err := Load(items)
	if err != nil || read.Epoch() != 7 || read.Link("south").Sent != 1 {
		t.Errorf("read %+v, %v", read, err)
	}
	if s, _ := read.Share("vision"); s.Owned != amount.Of(0, 6) || s.Guarantee != amount.Of(0, 2) {
		t.Errorf("share %+v", s)
	}
	items[0].Value = []byte("{")
	if _, err := Load(items); err == nil {
		t.Error("a record that is not readable was read")
	}
}
