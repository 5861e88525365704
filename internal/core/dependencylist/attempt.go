package dependencylist

import (
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// An Attempt is an attempt to submit a job with a dependency list, as found in the store.
type Attempt struct {
	Ref          records.DependencyListRef // without the number of records
	Job          string
	FirstVersion uint64 // version of the first record; 0 if it is deleted or cannot be decoded
	StartedAtMS  int64  // Unix time; 0 where FirstVersion is 0
	Keys         []string
}

// AddItem adds a list record to the attempts found so far. Items must be added in the order of
// their keys. Items that are no list records are skipped.
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

// parseKey returns the attempt and the job that a list record belongs to.
func parseKey(key string) (ref records.DependencyListRef, job string, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return records.DependencyListRef{}, "", false
	}
	return records.DependencyListRef{Prefix: strings.Join(parts[:3], "/") + "/"}, parts[1], true
}

// DeletionTxn returns a transaction that deletes up to maxWrites records of the attempt. It is
// conditional on the leader's term, and on the open record and the first list record being as they
// were found: in the meantime the job may have been accepted, or the first record written.
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

// MarkDeleted records that a transaction from DeletionTxn was committed.
func (a *Attempt) MarkDeleted(txn *wire.Txn) {
	a.Keys, a.FirstVersion = a.Keys[len(txn.Writes):], 0
}
