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
	keys      map[string]wire.Item
	revision  uint64
	maxWrites int                  // writes in a transaction that it takes, 0 for any number
	backup    map[string]wire.Item // an older copy of the ledger's records; nil for none
}

func newTestStore() testStore { return testStore{keys: map[string]wire.Item{}, revision: 10} }

// beginTerm begins a term and returns the condition that it holds.
func (s *testStore) beginTerm() wire.Condition {
	s.revision++
	s.keys["term"] = wire.Item{Key: "term", Version: s.revision}
	return wire.Condition{Key: "term", Version: s.revision}
}

// commit carries a transaction out if its conditions hold.
func (s *testStore) commit(txn *wire.Txn) (int, wire.TxnResult) {
	if s.maxWrites > 0 && len(txn.Writes) > s.maxWrites {
		return 400, wire.TxnResult{}
	}
	for _, c := range txn.Conditions {
		if s.keys[c.Key].Version != c.Version {
			return 409, wire.TxnResult{Conflicts: []string{c.Key}, Revision: s.revision}
		}
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, x := range txn.Writes {
		s.keys[x.Put] = wire.Item{Key: x.Put, Value: x.Value, Version: s.revision}
	}
	return 200, wire.TxnResult{Revision: s.revision}
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

// takeBackup takes a copy of the ledger's records.
func (s *testStore) takeBackup() {
	s.backup = map[string]wire.Item{}
	for _, it := range s.records() {
		s.backup[it.Key] = it
	}
}

// applyBackup puts the copy in place of the ledger's records.
func (s *testStore) applyBackup() {
	for _, it := range s.records() {
		delete(s.keys, it.Key)
	}
	for k, it := range s.backup {
		s.keys[k] = it
	}
}
