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
	last  string // key of the last record read
	names []string
	count int // number of records read
}

// NewReader returns a reader for the list of an accepted job.
func NewReader(ref records.DependencyListRef) *Reader { return &Reader{ref: ref} }

// Prefix returns the common prefix of the keys of the list's records.
func (r *Reader) Prefix() string { return r.ref.Prefix }

// After returns the key after which the next page starts. It is empty for the first page.
func (r *Reader) After() string { return r.last }

// AddPage adds the records of a page. An error is always an *UnreadableError.
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

// Names returns the complete list after the last page. An error is always an *IncompleteError. The
// caller may retry the read, since all list records exist when a job is accepted.
func (r *Reader) Names() ([]string, error) {
	if r.count < r.ref.Records {
		return nil, &IncompleteError{Read: r.count, Expected: r.ref.Records}
	}
	return r.names, nil
}

// An UnreadableError reports a list record that cannot be decoded.
type UnreadableError struct {
	Key string
	Err error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("cannot decode list record %s: %v", e.Key, e.Err)
}

// Unwrap returns the decoder's error.
func (e *UnreadableError) Unwrap() error { return e.Err }

// An IncompleteError reports a list of which some records were not found.
type IncompleteError struct{ Read, Expected int }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("dependency list is incomplete: found %d of %d records", e.Read, e.Expected)
}
