package dependencylist

import (
	"fmt"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// A Reader assembles a list from the pages of its records.
type Reader struct {
	ref   records.DependencyListRef
	last  string // key of the last record that was read
	names []string
	count int
}

// NewReader makes a reader of the list of an accepted job.
func NewReader(ref records.DependencyListRef) *Reader { return &Reader{ref: ref} }

// Prefix is that of the keys of the list's records.
func (r *Reader) Prefix() string { return r.ref.Prefix }

// After is the key after which the next page begins; empty for the first page.
func (r *Reader) After() string { return r.last }

// AddPage adds the records of a page. The error is an *UnreadableError.
func (r *Reader) AddPage(items []wire.Item) error {
	for _, item := range items {
		r.last = item.Key
		var record Record
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return &UnreadableError{Key: item.Key, Err: err}
		}
		r.names = append(r.names, record.Names...)
		r.count++
	}
	return nil
}

// Names returns the whole list after the last page. The error is an *IncompleteError: since a
// job is accepted with its whole list, it is worth another attempt.
func (r *Reader) Names() ([]string, error) {
	if r.count < r.ref.Records {
		return nil, &IncompleteError{Read: r.count, Expected: r.ref.Records}
	}
	return r.names, nil
}

// An UnreadableError is a list record that cannot be decoded.
type UnreadableError struct {
	Key string
	Err error
}

func (e *UnreadableError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the decoder's error.
func (e *UnreadableError) Unwrap() error { return e.Err }

// An IncompleteError is a list some of whose records were not found.
type IncompleteError struct{ Read, Expected int }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("read %d of %d records", e.Read, e.Expected)
}
