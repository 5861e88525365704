package dependencylist

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// An Attempt is what the store holds of an attempt to submit a job with a list.
type Attempt struct {
	Ref          records.DependencyListRef // without the number of records
	Job          string
	FirstVersion uint64 // of the first record; 0 if it is deleted
	StartedAtMS  int64  // time of day
	Keys         []string
}

// AddItem adds a list record to the attempts that were found before it, in the order of keys.
// Other items are skipped.
func AddItem(found []Attempt, item wire.Item) []Attempt {
	ref, job, ok := parseKey(item.Key)
	if !ok {
		return found
	}
	if n := len(found); n == 0 || found[n-1].Ref != ref {
		found = append(found, Attempt{Ref: ref, Job: job})
	}
	attempt := &found[len(found)-1]
	attempt.Keys = append(attempt.Keys, item.Key)
	var record Record
	if item.Key == ref.Key(0) && json.Unmarshal(item.Value, &record) == nil {
		attempt.FirstVersion, attempt.StartedAtMS = item.Version, record.StartedAtMS
	}
	return found
}

// parseKey returns the attempt that a list record belongs to.
func parseKey(key string) (ref records.DependencyListRef, job string, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return records.DependencyListRef{}, "", false
	}
	return records.DependencyListRef{Prefix: strings.Join(parts[:3], "/") + "/"}, parts[1], true
}

// DeletionTxn returns the transaction that deletes as many records of the attempt as it may
// have writes. It is conditional: the job may just have been accepted, or the first record just
// have been written.
func (a *Attempt) DeletionTxn(leader wire.Condition, maxWrites int) *wire.Txn {
	txn := &wire.Txn{Conditions: []wire.Condition{
		leader,
		{Key: records.OpenKey(a.Job)},
		{Key: a.Ref.Key(0), Version: a.FirstVersion},
	}}
	for _, key := range a.Keys[:min(len(a.Keys), maxWrites)] {
		txn.Writes = append(txn.Writes, wire.Write{Delete: key})
	}
	return txn
}

// Deleted records that a transaction of DeletionTxn was committed.
func (a *Attempt) Deleted(txn *wire.Txn) {
	a.Keys, a.FirstVersion = a.Keys[len(txn.Writes):], 0
}
