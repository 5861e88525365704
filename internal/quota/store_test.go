package quota

import (
	"maps"
	"sort"
	"strings"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// testStore is a region's key-value store.
type testStore struct {
	items     map[string]wire.Item
	revision  uint64
	maxWrites int                  // maximum writes per transaction; 0 for any number
	backup    map[string]wire.Item // copy of the ledger's records at an earlier time; nil for none
}

func newTestStore() testStore { return testStore{items: map[string]wire.Item{}, revision: 10} }

// beginTerm starts a term and returns the condition that holds during it.
func (s *testStore) beginTerm() wire.Condition {
	s.revision++
	s.items["term"] = wire.Item{Key: "term", Version: s.revision}
	return wire.Condition{Key: "term", Version: s.revision}
}

// commit applies a transaction if its conditions hold.
func (s *testStore) commit(txn *wire.Txn) kv.TxnResult {
	if s.maxWrites > 0 && len(txn.Writes) > s.maxWrites {
		return kv.TxnResult{Status: kv.Rejected}
	}
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Version != condition.Version {
			return kv.TxnResult{Status: kv.Conflict, Revision: s.revision, Conflicts: []string{condition.Key}}
		}
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, write := range txn.Writes {
		s.items[write.Put] = wire.Item{Key: write.Put, Value: write.Value, Version: s.revision}
	}
	return kv.TxnResult{Status: kv.OK, Revision: s.revision}
}

// records lists the ledger's records, in the order of their keys.
func (s *testStore) records() []wire.Item {
	var items []wire.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, ledger.Prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// takeBackup copies the ledger's records to the backup.
func (s *testStore) takeBackup() {
	s.backup = map[string]wire.Item{}
	for _, item := range s.records() {
		s.backup[item.Key] = item
	}
}

// applyBackup replaces the ledger's records by the backup.
func (s *testStore) applyBackup() {
	for _, item := range s.records() {
		delete(s.items, item.Key)
	}
	maps.Copy(s.items, s.backup)
}
