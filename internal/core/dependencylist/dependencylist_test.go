package dependencylist

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestSplit checks that no record exceeds the size limit and that the records hold all names in
// order.
func TestSplit(t *testing.T) {
	var names []string
	for n := range 3000 {
		names = append(names, "job-"+strings.Repeat("7", 1+n%40))
	}
	for _, limit := range []int{300, 1848, 16184} {
		var got []string
		for _, record := range Split(names, 1_700_000_000_000, limit) {
			if size := len(kv.Encode(record)); size > limit || len(record.Names) == 0 {
				t.Errorf("limit %d: got a record of %d bytes with %d names, want no more bytes than the limit and at least 1 name", limit, size, len(record.Names))
			}
			got = append(got, record.Names...)
		}
		if !slices.Equal(got, names) {
			t.Errorf("limit %d: got %d names, want the %d original names in order", limit, len(got), len(names))
		}
	}
}

// TestRecordForm checks the JSON form of a list record, which must not change between versions.
func TestRecordForm(t *testing.T) {
	if got, want := string(kv.Encode(Record{StartedAtMS: 5, Names: []string{"job-1"}})), `{"at":5,"w":["job-1"]}`; got != want {
		t.Errorf("encoded as %s, want %s", got, want)
	}
}

// listPage returns a page of list records of job-7, numbered [from, to). Each holds one name.
func listPage(from, to int) []wire.Item {
	var items []wire.Item
	for n := from; n < to; n++ {
		value := kv.Encode(Record{Names: []string{fmt.Sprintf("job-%d", n)}})
		items = append(items, wire.Item{Key: fmt.Sprintf("a/job-7/x-1/%d", n), Value: value})
	}
	return items
}

// TestReader checks that a reader assembles a list from several pages.
func TestReader(t *testing.T) {
	r := NewReader(records.DependencyListRef{Prefix: "a/job-7/x-1/", Records: 5})
	for _, items := range [][]wire.Item{listPage(0, 2), listPage(2, 4)} {
		if err := r.AddPage(items); err != nil {
			t.Fatal(err)
		}
	}
	if r.After() != "a/job-7/x-1/3" {
		t.Errorf("start of the next page: got %q, want a/job-7/x-1/3", r.After())
	}
	if err := r.AddPage(listPage(4, 5)); err != nil {
		t.Fatal(err)
	}
	if names, err := r.Names(); err != nil || !slices.Equal(names, []string{"job-0", "job-1", "job-2", "job-3", "job-4"}) {
		t.Errorf("got names %q, error %v; want job-0 to job-4, no error", names, err)
	}
}

// TestReaderErrors checks the errors for a list with a missing and with an undecodable record.
func TestReaderErrors(t *testing.T) {
	r := NewReader(records.DependencyListRef{Prefix: "a/job-7/x-1/", Records: 5})
	if err := r.AddPage(listPage(0, 4)); err != nil {
		t.Fatal(err)
	}
	var incomplete *IncompleteError
	if _, err := r.Names(); !errors.As(err, &incomplete) || incomplete.Read != 4 || incomplete.Expected != 5 {
		t.Errorf("with a record missing: got error %v, want an IncompleteError with 4 of 5 records", err)
	}
	var unreadable *UnreadableError
	if err := r.AddPage([]wire.Item{{Key: "a/job-7/x-1/4", Value: []byte(`{`)}}); !errors.As(err, &unreadable) || unreadable.Key != "a/job-7/x-1/4" {
		t.Errorf("record that is not JSON: got error %v, want an UnreadableError for a/job-7/x-1/4", err)
	}
}

// TestWriter checks that a list is written in transactions of bounded size, each conditional on the
// first record.
func TestWriter(t *testing.T) {
	const revision = 70
	list := NewWriter("job-7", "x-1", make([]Record, 7))
	var keys []string
	for version := uint64(0); !list.Complete(); version = revision {
		txn := list.NextTxn(3)
		if want := (wire.Condition{Key: "a/job-7/x-1/0", Version: version}); len(txn.Conditions) != 1 || txn.Conditions[0] != want {
			t.Errorf("conditions %+v, want %+v", txn.Conditions, want)
		}
		if len(txn.Writes) > 3 {
			t.Errorf("transaction with %d writes, want at most 3", len(txn.Writes))
		}
		for _, write := range txn.Writes {
			keys = append(keys, write.Put)
		}
		list.MarkCommitted(txn, revision+uint64(len(keys)-len(txn.Writes)))
	}
	if !slices.Equal(keys, list.Ref().Keys()) {
		t.Errorf("wrote %q, want %q", keys, list.Ref().Keys())
	}
}

// TestAttempts checks that list records are grouped by attempt and that other items are skipped.
func TestAttempts(t *testing.T) {
	var found []Attempt
	for n, item := range []wire.Item{
		{Key: "a/job-7/x-1/0", Value: kv.Encode(Record{StartedAtMS: 5})},
		{Key: "a/job-7/x-1/1", Value: kv.Encode(Record{StartedAtMS: 5})},
		{Key: "a/job-7/x-2/3", Value: kv.Encode(Record{StartedAtMS: 6})}, // its first record is deleted
		{Key: "a/other"},
	} {
		item.Version = uint64(n + 1)
		found = AddItem(found, item)
	}
	if len(found) != 2 {
		t.Fatalf("got %d attempts, want 2: %+v", len(found), found)
	}
	first, second := found[0], found[1]
	if first.Job != "job-7" || first.FirstVersion != 1 || first.StartedAtMS != 5 || len(first.Keys) != 2 {
		t.Errorf("first attempt: got %+v, want job-7 with first version 1, started at 5, 2 keys", first)
	}
	if second.FirstVersion != 0 || !slices.Equal(second.Keys, []string{"a/job-7/x-2/3"}) {
		t.Errorf("second attempt: got %+v, want first version 0 and only the key a/job-7/x-2/3", second)
	}
}

// TestDeletion checks that an attempt is deleted in transactions of bounded size, starting with its
// first record.
func TestDeletion(t *testing.T) {
	leader := wire.Condition{Key: "term", Version: 9}
	attempt := Attempt{
		Ref: records.DependencyListRef{Prefix: "a/job-7/x-1/"}, Job: "job-7", FirstVersion: 4,
		Keys: []string{"a/job-7/x-1/0", "a/job-7/x-1/1", "a/job-7/x-1/2"},
	}
	for _, want := range []struct {
		version uint64
		deleted []string
	}{
		{4, []string{"a/job-7/x-1/0", "a/job-7/x-1/1"}},
		{0, []string{"a/job-7/x-1/2"}},
	} {
		txn := attempt.DeletionTxn(leader, 2)
		conditions := []wire.Condition{leader, {Key: "o/job-7"}, {Key: "a/job-7/x-1/0", Version: want.version}}
		if !slices.Equal(txn.Conditions, conditions) {
			t.Errorf("conditions %+v, want %+v", txn.Conditions, conditions)
		}
		var deleted []string
		for _, write := range txn.Writes {
			deleted = append(deleted, write.Delete)
		}
		if !slices.Equal(deleted, want.deleted) {
			t.Errorf("deletes %q, want %q", deleted, want.deleted)
		}
		attempt.MarkDeleted(txn)
	}
	if len(attempt.Keys) != 0 {
		t.Errorf("keys left after the last deletion: %q, want none", attempt.Keys)
	}
}
