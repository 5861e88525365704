package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// recordKinds tells of each write of a transaction what it is.
func recordKinds(txn *wire.Txn) []string {
	kinds := []string{}
	for _, w := range txn.Writes {
		switch {
		case strings.HasPrefix(w.Delete, records.PrefixOpen):
			kinds = append(kinds, "remove open")
		case strings.HasPrefix(w.Delete, records.PrefixPlacement):
			kinds = append(kinds, "remove place")
		case strings.HasPrefix(w.Put, records.PrefixFinal):
			kinds = append(kinds, "final")
		case strings.HasPrefix(w.Put, records.PrefixOpen):
			kinds = append(kinds, "open")
		case strings.HasPrefix(w.Put, records.PrefixPlacement):
			kinds = append(kinds, "place")
		default:
			kinds = append(kinds, fmt.Sprintf("%+v", w))
		}
	}
	return kinds
}

// placedJob adds a job one of whose tasks has a placement to be recorded.
func placedJob(b *harness, l *leader, id string, tasks int) *cluster.Job {
	addRecord(b, l, wire.Job{ID: id, Tasks: tasks}, nil)
	j := l.Jobs[id]
	placeAndRecord(l, j, 0, tasks)
	return j
}

// doneJob adds a job whose end is to be recorded.
func doneJob(b *harness, l *leader, id string) {
	addRecord(b, l, wire.Job{ID: id}, nil)
	l.markDone(l.Jobs[id], 0)
}

// TestRecordBatch fills a batch with records that are due: which ones it takes, in
// which order, and whether it notices that others are left.
func TestRecordBatch(t *testing.T) {
	end := []string{"remove open", "final"}
	for _, tc := range []struct {
		name    string
		maxOps  int
		prepare func(b *harness, l *leader)
		want    []string
		more    bool
	}{
		{"nothing due", 16, func(*harness, *leader) {}, nil, false},
		{"an end ahead of an earlier job's placement", 16, func(b *harness, l *leader) {
			placedJob(b, l, jobID(1), 1)
			doneJob(b, l, jobID(2))
		}, append(slices.Clone(end), "place"), false},
		{"every kind of record", 16, func(b *harness, l *leader) {
			l.writer.orphanedRecords = []string{records.NumberedKey(jobID(9), 0)}
			placedJob(b, l, jobID(1), 1)
			addRecord(b, l, wire.Job{ID: jobID(2)}, nil)
			l.Jobs[jobID(2)].DependenciesDone = true
			addRecord(b, l, wire.Job{ID: jobID(3)}, nil)
			l.Jobs[jobID(3)].Cancellation.Request(0)
			l.cancelledWithoutDependents = []*cluster.Job{l.Jobs[jobID(3)]}
			doneJob(b, l, jobID(4))
		}, append(slices.Concat(end, end), "open", "place", "remove place"), false},
		{"as many writes as are allowed", 5, func(b *harness, l *leader) {
			for n := range 5 {
				placedJob(b, l, jobID(n), 1)
			}
		}, slices.Repeat([]string{"place"}, 5), false},
		{"one write more", 5, func(b *harness, l *leader) {
			for n := range 6 {
				placedJob(b, l, jobID(n), 1)
			}
		}, slices.Repeat([]string{"place"}, 5), true},
		{"an end that does not fit holds up deletions", 5, func(b *harness, l *leader) {
			l.writer.orphanedRecords = []string{records.NumberedKey(jobID(9), 0)}
			for n := range 3 {
				doneJob(b, l, jobID(n))
			}
		}, slices.Repeat(end, 2), true},
		{"an end with more records than fit", 5, func(b *harness, l *leader) {
			doneJob(b, l, jobID(1))
			for n := range 9 {
				l.Jobs[jobID(1)].SupersededKeys = append(l.Jobs[jobID(1)].SupersededKeys, records.NumberedKey(jobID(1), 1+n))
			}
		}, append(slices.Clone(end), slices.Repeat([]string{"remove place"}, 3)...), false},
		{"left-over records after all else only", 5, func(b *harness, l *leader) {
			l.writer.orphanedRecords = []string{records.NumberedKey(jobID(9), 0), records.NumberedKey(jobID(9), 1)}
			for n := range 4 {
				placedJob(b, l, jobID(n), 1)
			}
		}, append(slices.Repeat([]string{"place"}, 4), "remove place"), true},
		{"one record where one of them is refused", 16, func(b *harness, l *leader) {
			l.writer.singleJobTransactions = true
			placedJob(b, l, jobID(1), 1)
			placedJob(b, l, jobID(2), 1)
		}, []string{"place"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.TxnOps = tc.maxOps })
			tc.prepare(b, l)
			batch := l.newRecordBatch()
			batch.fill()
			if got := recordKinds(batch.txn); !slices.Equal(got, tc.want) {
				t.Errorf("writes %q, want %q", got, tc.want)
			}
			if batch.moreDue() != tc.more {
				t.Errorf("more is due: %v, want %v", batch.moreDue(), tc.more)
			}
			checkConditions(t, l, batch.txn)
		})
	}
}

// checkConditions checks that a transaction is conditional on the term, and on the
// open record of each job whose records it puts.
func checkConditions(t *testing.T, l *leader, txn *wire.Txn) {
	t.Helper()
	if len(txn.Conditions) == 0 || txn.Conditions[0] != l.termCondition() {
		t.Errorf("not conditional on the term first: %+v", txn.Conditions)
	}
	for _, w := range txn.Writes {
		_, rest, _ := strings.Cut(w.Put, "/")
		id, _, _ := strings.Cut(rest, "/")
		if w.Put == "" {
			continue
		}
		cond := wire.Condition{Key: records.OpenKey(id), Version: l.Jobs[id].OpenVersion}
		if !slices.Contains(txn.Conditions, cond) {
			t.Errorf("%s is put without the condition %+v", w.Put, cond)
		}
	}
}

// TestRecordBatchBytes fills a batch with more bytes than a transaction may have.
func TestRecordBatchBytes(t *testing.T) {
	const jobs = 16
	b, l := newLeadingHarness(t, func(*config.Settings) {})
	for n := range jobs {
		placedJob(b, l, jobID(n), 100)
	}
	batch := l.newRecordBatch()
	batch.fill()
	total := 0
	for _, w := range batch.txn.Writes {
		total += len(w.Value)
	}
	const serviceMax = 64 << 10
	if total > serviceMax {
		t.Errorf("%d bytes in a transaction, of which the state service takes %d", total, serviceMax)
	}
	if len(batch.txn.Writes) == jobs || !batch.moreDue() {
		t.Errorf("%d bytes in %d writes, more due: %v; want some left for later", total, len(batch.txn.Writes), batch.moreDue())
	}
}
