package quota

import (
	"sort"
	"strings"

	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// testStore is a region's state service: keys with versions, and transactions that are carried
// out if their conditions hold.
type testStore struct {
	keys map[string]wire.Item
	rev  uint64
	most int                  // writes in a transaction that it takes, 0 for any number
	old  map[string]wire.Item // an older copy of the ledger's records; nil for none
}

func newTestStore() testStore { return testStore{keys: map[string]wire.Item{}, rev: 10} }

// raiseTerm begins a term and returns the condition that it holds.
func (s *testStore) raiseTerm() wire.Cond {
	s.rev++
	s.keys["term"] = wire.Item{Key: "term", Version: s.rev}
	return wire.Cond{Key: "term", Version: s.rev}
}

// commit carries a transaction out if its conditions hold.
func (s *testStore) commit(txn *wire.Txn) (int, wire.TxnResult) {
	if s.most > 0 && len(txn.Writes) > s.most {
		return 400, wire.TxnResult{}
	}
	for _, c := range txn.If {
		if s.keys[c.Key].Version != c.Version {
			return 409, wire.TxnResult{Failed: []string{c.Key}, Revision: s.rev}
		}
	}
	if len(txn.Writes) > 0 {
		s.rev++
	}
	for _, x := range txn.Writes {
		s.keys[x.Put] = wire.Item{Key: x.Put, Value: x.Value, Version: s.rev}
	}
	return 200, wire.TxnResult{Revision: s.rev}
}

// records lists the ledger's records.
func (s *testStore) records() []wire.Item {
	var items []wire.Item
	for k, it := range s.keys {
		if strings.HasPrefix(k, ledger.Prefix) {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// keepCopy takes a copy of the ledger's records.
func (s *testStore) keepCopy() {
	s.old = map[string]wire.Item{}
	for _, it := range s.records() {
		s.old[it.Key] = it
	}
}

// putCopy puts the copy in place of the ledger's records.
func (s *testStore) putCopy() {
	for _, it := range s.records() {
		delete(s.keys, it.Key)
	}
	for k, it := range s.old {
		s.keys[k] = it
	}
}
