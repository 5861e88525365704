// Package dependencylist encodes and decodes lists of dependencies that are too large for the open
// record of their job.
//
// Such a list is split into list records with the keys a/JOB/TOKEN/0, a/JOB/TOKEN/1 and so on. They
// are written in transactions of bounded size before the job is accepted. Each attempt to submit
// the job has a different token, so that two attempts never share a record. The open record holds a
// reference to the list in place of the names.
//
// The first record guards the whole attempt: the other records are written, and the job is
// accepted, only on the condition that the first record is unchanged. When an abandoned attempt is
// deleted, its first record is deleted before the others or together with them. A delayed
// transaction of that attempt therefore has no effect, and an accepted job has its complete list.
//
// Versions before wire.PeerVersionDependencyLists do not support list records. They take the
// reference for the name of a job that does not exist, so they never start the job, but they also
// fail to cancel it when one of its dependencies is cancelled. Lists are therefore written only
// once every controller supports them.
//
// The package has no clock and does no I/O: it builds transactions, and encodes and decodes values.
// The keys are those of records.DependencyListRef. The front end writes lists; the leader reads
// them and deletes abandoned ones.
package dependencylist

import (
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// A Record is the value of one list record.
type Record struct {
	StartedAtMS int64    `json:"at"` // Unix time at which the attempt started
	Names       []string `json:"w"`
}

const (
	// recordOverhead is the size of a list record without its names, in bytes.
	recordOverhead = 50
	// nameOverhead is the size of a name's quotes and comma in a list record, in bytes.
	nameOverhead = 3
)

// Split splits names into records of at most maxBytes each.
func Split(names []string, startedAtMS int64, maxBytes int) []Record {
	var split []Record
	bytes := maxBytes
	for _, name := range names {
		size := len(name) + nameOverhead
		if bytes+size > maxBytes {
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
	written      int    // number of records written
	firstVersion uint64 // version of the first record; 0 before it is written
}

// NewWriter returns a writer of the records of a list, for an attempt to submit a job.
func NewWriter(job, token string, split []Record) *Writer {
	prefix := records.PrefixDependencyList + job + "/" + token + "/"
	return &Writer{ref: records.DependencyListRef{Prefix: prefix, Records: len(split)}, records: split}
}

// Ref returns the reference to the list.
func (w *Writer) Ref() records.DependencyListRef { return w.ref }

// FirstRecordUnchanged returns the condition that the first record is unchanged: the attempt has
// not been deleted.
func (w *Writer) FirstRecordUnchanged() wire.Condition {
	return wire.Condition{Key: w.ref.Key(0), Version: w.firstVersion}
}

// Complete reports whether all records have been written.
func (w *Writer) Complete() bool { return w.written == len(w.records) }

// NextTxn returns a transaction that writes as many of the remaining records as fit.
func (w *Writer) NextTxn(maxWrites int) *wire.Txn {
	txn := &wire.Txn{Conditions: []wire.Condition{w.FirstRecordUnchanged()}}
	bytes := 0
	for n := w.written; n < len(w.records) && len(txn.Writes) < maxWrites; n++ {
		value := kv.Encode(w.records[n])
		if len(txn.Writes) > 0 && bytes+len(value) > kv.MaxTxnBytes {
			break
		}
		bytes += len(value) + kv.WriteOverhead
		txn.Writes = append(txn.Writes, wire.Write{Put: w.ref.Key(n), Value: value})
	}
	return txn
}

// MarkCommitted records that a transaction from NextTxn was committed with a revision.
func (w *Writer) MarkCommitted(txn *wire.Txn, revision uint64) {
	if w.written == 0 {
		w.firstVersion = revision
	}
	w.written += len(txn.Writes)
}
