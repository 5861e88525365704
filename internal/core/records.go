package core

import "github.com/brookwalk/brookwalk/wire"

// Keys of jobs. An open job has one record that only its submission, its
// cancellation and its end change; a final one has a small record that never
// changes. Finishing moves it in one transaction, so a reader that looks at
// the open record first and the final one second misses nothing.
const (
	prefixOpen  = "o/"
	prefixFinal = "f/"
	prefixPlace = "p/"
	// keyTypes is not of a job: it holds the machine types last seen.
	keyTypes = "types"
)

// openRecord is the value of an open job's record. Versions share the records:
// keys and JSON names never change, see compat_test.go.
type openRecord struct {
	Job       wire.Job `json:"j"`
	At        int64    `json:"at"` // ms, time of day of the submission
	Cancelled bool     `json:"c,omitempty"`
	// AskedAt is the time of day, in ms, at which the user asked to cancel: the
	// tasks are stopped, but nobody is told before they are gone, see cancel.go.
	AskedAt int64 `json:"ak,omitempty"`
	// CancelledAt is the time of day, in ms, at which the user was about to be
	// told: cancel_s runs from it, whoever leads.
	CancelledAt int64 `json:"ca,omitempty"`
	// Needed tells that another job awaits this one.
	Needed bool `json:"nd,omitempty"`
	// ReadyAt is the time of day, in ms, at which all jobs that it awaited were
	// done; before that none of its tasks may be placed.
	ReadyAt int64 `json:"ra,omitempty"`
}

// acknowledged tells whether the user may have been told that the job is cancelled.
func (r *openRecord) acknowledged() bool {
	return r.Cancelled && (r.CancelledAt != 0 || r.AskedAt == 0)
}

// finalRecord is the value of an ended job's record, which is never changed.
type finalRecord struct {
	Status wire.JobState `json:"s"`
	Tasks  int           `json:"n"`
}

func (f finalRecord) status(id string) wire.JobStatus {
	s := wire.JobStatus{ID: id, Status: f.Status}
	if f.Status == wire.StatusDone {
		s.Done = f.Tasks
	}
	return s
}

// jobsOfKeys returns the ids of the jobs that keys of records belong to. The
// prefixes of the keys are all of one length.
func jobsOfKeys(keys []string) map[string]bool {
	ids := make(map[string]bool, len(keys))
	for _, key := range keys {
		ids[key[len(prefixOpen):]] = true
	}
	return ids
}
