// Package records defines what controllers keep in the state service: its keys and the
// values of its records. Versions share them: keys and JSON names never change, see
// compat_test.go of internal/core.
//
// An open job has one record that only its submission, its cancellation and its end
// change; a final one has a small record that never changes. Finishing moves it in one
// transaction, so a reader that looks at the open record first and the final one second
// misses nothing.
package records

import (
	"strconv"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// Prefixes of the keys of jobs, all of one length.
const (
	PrefixOpen      = "o/"
	PrefixFinal     = "f/"
	PrefixPlacement = "p/"
)

// KeyTypes holds the machine types last seen.
const KeyTypes = "types"

// OpenKey is the key of a job's open record.
func OpenKey(job string) string { return PrefixOpen + job }

// FinalKey is the key of a job's final record.
func FinalKey(job string) string { return PrefixFinal + job }

// Jobs returns the ids of the jobs that keys of records belong to.
func Jobs(keys []string) map[string]bool {
	ids := make(map[string]bool, len(keys))
	for _, key := range keys {
		ids[key[len(PrefixOpen):]] = true
	}
	return ids
}

// Open is the value of an open job's record.
type Open struct {
	Job         wire.Job `json:"j"`
	SubmittedAt int64    `json:"at"` // ms, time of day of the submission
	Cancelled   bool     `json:"c,omitempty"`
	// CancelRequestedAt is the time of day, in ms, at which the user asked to cancel: the
	// tasks are stopped, but nobody is told before they are gone.
	CancelRequestedAt int64 `json:"ak,omitempty"`
	// CancelAcknowledgedAt is the time of day, in ms, at which the user was about to be
	// told: cancel_s runs from it, whoever leads.
	CancelAcknowledgedAt int64 `json:"ca,omitempty"`
	// HasDependents tells that another job awaits this one.
	HasDependents bool `json:"nd,omitempty"`
	// ReadyAt is the time of day, in ms, at which all jobs that it awaited were
	// done; before that none of its tasks may be placed.
	ReadyAt int64 `json:"ra,omitempty"`
}

// Acknowledged tells whether the user may have been told that the job is cancelled.
func (r *Open) Acknowledged() bool {
	return r.Cancelled && (r.CancelAcknowledgedAt != 0 || r.CancelRequestedAt == 0)
}

// Reduced is an open record of a cancelled job without what only matters to one that
// is to run: so that a cancellation request can be recorded where the service has come
// to take less than the description.
func (r Open) Reduced() Open {
	j := r.Job
	if len(j.Class) > maxReducedClassName {
		j.Class = ""
	}
	r.Job = wire.Job{ID: j.ID, Class: j.Class, Team: j.Team, Shape: j.Shape, Priority: j.Priority, Tasks: j.Tasks, CPUs: j.CPUs, GPUs: j.GPUs,
		MemGB: j.MemGB, OneZone: j.OneZone, SpreadZones: j.SpreadZones, AllowSpot: j.AllowSpot, EstimatedRunS: j.EstimatedRunS, CheckpointIntervalS: j.CheckpointIntervalS,
		CheckpointDurationS: j.CheckpointDurationS, DeadlineS: j.DeadlineS}
	return r
}

// maxReducedClassName is how long a class's name may be to stay in a reduced record.
const maxReducedClassName = 64

// Final is the value of an ended job's record, which is never changed.
type Final struct {
	Status wire.JobState `json:"s"`
	Tasks  int           `json:"n"`
}

// JobStatus is what the job's user is told.
func (f Final) JobStatus(job string) wire.JobStatus {
	s := wire.JobStatus{ID: job, Status: f.Status}
	if f.Status == wire.StatusDone {
		s.Done = f.Tasks
	}
	return s
}

// Placement is the value of a placement record: which of a range of a job's tasks may be
// on which machine.
type Placement struct {
	NextAttempt uint64       `json:"n"` // the job's next attempt
	Done        []int        `json:"d,omitempty"`
	Tasks       []PlacedTask `json:"t,omitempty"`
}

// PlacedTask is a task that may be on a machine.
type PlacedTask struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
	// Zone counts for spread and one-zone jobs while a new leader has not
	// heard the machine yet.
	Zone        string `json:"z"`
	Incarnation uint64 `json:"s"`
}

// PlacementRange tells which tasks of a job a placement record covers, the last one
// exclusive, in the numbered layout or in the one that names the range.
type PlacementRange struct {
	Job      string
	From, To int
	Numbered bool
}

// NumberedKey is the key of the nth placement record of a job in the numbered layout.
func NumberedKey(job string, n int) string { return PrefixPlacement + job + "/" + strconv.Itoa(n) }

// RangeKey is the key of the placement record that names its range of tasks.
func RangeKey(job string, from, to int) string {
	return PrefixPlacement + job + "/" + strconv.Itoa(from) + "-" + strconv.Itoa(to)
}

// ParsePlacementKey tells which tasks a placement record covers; perNumber is how many a
// numbered one does. It is false for a key that is none of a placement record.
func ParsePlacementKey(key string, perNumber int) (PlacementRange, bool) {
	job, part, found := strings.Cut(strings.TrimPrefix(key, PrefixPlacement), "/")
	if !found {
		return PlacementRange{}, false
	}
	first, last, ranged := strings.Cut(part, "-")
	n, err := strconv.Atoi(first)
	if err != nil || n < 0 {
		return PlacementRange{}, false
	}
	if !ranged {
		return PlacementRange{Job: job, From: n * perNumber, To: (n + 1) * perNumber, Numbered: true}, true
	}
	to, err := strconv.Atoi(last)
	return PlacementRange{Job: job, From: n, To: to}, err == nil && to > n
}
