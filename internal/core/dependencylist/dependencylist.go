// Package dependencylist stores lists of dependencies that do not fit into the open record of
// their job.
//
// Such a list is spread over list records, a/JOB/TOKEN/0 and following. They are written in
// bounded transactions before the job is accepted; the token differs for each attempt, so that
// two attempts never share a record. The open record then holds a reference to the list in
// place of the names.
//
// The first record represents the whole attempt: the others are written, and the job is accepted,
// on the condition that it is unchanged. Deleting what is left of an abandoned attempt deletes the
// first record before or together with the others. So a transaction of that attempt that is carried
// out late has no effect, and a job that is accepted has its whole list.
//
// Versions before wire.PeerVersionLists do not know these records. To them the reference is
// the name of a job that does not exist: they never start the job, but do not cancel it with
// one of its dependencies either. Lists are therefore written only once every controller knows
// them.
//
// The package does no I/O and keeps no time: it makes and reads values and transactions; the
// keys are those of records.DependencyListRef.
// The front end writes lists, the leader reads them and deletes abandoned ones.
package dependencylist

import (
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A Record is the value of one list record.
type Record struct {
	StartedAtMS int64    `json:"at"` // time of day at which the attempt began
	Names       []string `json:"w"`
}

const (
	// recordOverhead is the size of a list record without its names, in bytes.
	recordOverhead = 50
	// nameOverhead is what a name takes in addition to its letters, in bytes.
	nameOverhead = 3
)

// Split spreads names over records of at most limit bytes.
func Split(names []string, startedAtMS int64, limit int) []Record {
	var split []Record
	bytes := limit
	for _, name := range names {
		size := len(name) + nameOverhead
		if bytes+size > limit {
			split = append(split, Record{StartedAtMS: startedAtMS})
			bytes = recordOverhead
		}
		last := &split[len(split)-1]
		last.Names = append(last.Names, name)
		bytes += size
	}
	return split
}

// A Writer writes the list of one attempt to submit a job.
type Writer struct {
	ref          records.DependencyListRef
	records      []Record
	written      int
	firstVersion uint64 // of the first record; 0 before it is written
}

// NewWriter makes a writer of some records for an attempt at a job.
func NewWriter(job, token string, split []Record) *Writer {
	prefix := records.PrefixDependencyList + job + "/" + token + "/"
	return &Writer{ref: records.DependencyListRef{Prefix: prefix, Records: len(split)}, records: split}
}

// Ref refers to the list that is written.
func (w *Writer) Ref() records.DependencyListRef { return w.ref }

// FirstUnchanged is the condition that the attempt has not been deleted.
func (w *Writer) FirstUnchanged() wire.Condition {
	return wire.Condition{Key: w.ref.Key(0), Version: w.firstVersion}
}

// Complete reports whether all records are written.
func (w *Writer) Complete() bool { return w.written == len(w.records) }

// NextTxn returns the transaction that writes as many further records as fit into it.
func (w *Writer) NextTxn(maxWrites int) *wire.Txn {
	txn := &wire.Txn{Conditions: []wire.Condition{w.FirstUnchanged()}}
	bytes := 0
	for n := w.written; n < len(w.records) && len(txn.Writes) < maxWrites; n++ {
		value := kv.Encode(w.records[n])
		if len(txn.Writes) > 0 && bytes+len(value) > kv.MaxTxnBytes {
			break
		}
		bytes += len(value) + kv.WriteOverheadBytes
		txn.Writes = append(txn.Writes, wire.Write{Put: w.ref.Key(n), Value: value})
	}
	return txn
}

// Committed records that a transaction of NextTxn was committed.
func (w *Writer) Committed(txn *wire.Txn, revision uint64) {
	if w.written == 0 {
		w.firstVersion = revision
	}
	w.written += len(txn.Writes)
}
