// Package records defines the keys and values that controllers keep in the key-value store, and
// nothing else: it does no I/O and holds no state. The front end, persistence and the leader of
// package core use it. Versions of the program share them: keys and JSON names never change, see
// compat_test.go of internal/core.
//
// An open job has one record, which only its submission, its cancellation, its readiness and
// its end change; a job that is over has a small final record that never changes. One
// transaction replaces the first by the second, so a reader that reads the open record first
// and the final one second misses nothing.
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

// KeyTypes is the key of the machine types that the cloud last listed.
const KeyTypes = "types"

// OpenKey is the key of a job's open record.
func OpenKey(job string) string { return PrefixOpen + job }

// FinalKey is the key of a job's final record.
func FinalKey(job string) string { return PrefixFinal + job }

// Jobs returns the IDs of the jobs that keys of open or final records belong to.
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
	SubmittedAt int64    `json:"at"` // time of day, in ms
	Cancelled   bool     `json:"c,omitempty"`
	// CancelRequestedAt is the time of day, in ms, at which the user asked to cancel: the
	// tasks are stopped, but it is not acknowledged before they have terminated.
	CancelRequestedAt int64 `json:"ak,omitempty"`
	// CancelAcknowledgedAt is the time of day, in ms, at which the cancellation was about to
	// be acknowledged: cancel_s counts from it, whoever leads.
	CancelAcknowledgedAt int64 `json:"ca,omitempty"`
	// HasDependents is set once another job depends on this one.
	HasDependents bool `json:"nd,omitempty"`
	// ReadyAt is the time of day, in ms, at which all dependencies were done; before that
	// none of its tasks may be placed. 0 for a job that waits, or has no dependencies.
	ReadyAt int64 `json:"ra,omitempty"`
}

// Acknowledged reports whether the user may have been told that the job is cancelled.
func (r *Open) Acknowledged() bool {
	return r.Cancelled && (r.CancelAcknowledgedAt != 0 || r.CancelRequestedAt == 0)
}

// Reduced is the open record of a cancelled job without what only matters to one that is to run:
// so a cancellation can be recorded where the store no longer accepts the whole description.
func (r Open) Reduced() Open {
	j := r.Job
	if len(j.Class) > maxReducedClassName {
		j.Class = ""
	}
	r.Job = wire.Job{
		ID:                  j.ID,
		Class:               j.Class,
		Team:                j.Team,
		Shape:               j.Shape,
		Priority:            j.Priority,
		Tasks:               j.Tasks,
		CPUs:                j.CPUs,
		GPUs:                j.GPUs,
		MemGB:               j.MemGB,
		OneZone:             j.OneZone,
		SpreadZones:         j.SpreadZones,
		AllowSpot:           j.AllowSpot,
		EstimatedRunS:       j.EstimatedRunS,
		CheckpointIntervalS: j.CheckpointIntervalS,
		CheckpointDurationS: j.CheckpointDurationS,
		DeadlineS:           j.DeadlineS,
	}
	return r
}

// maxReducedClassName is how long a class's name may be to stay in a reduced record.
const maxReducedClassName = 64

// Final is the value of the record of a job that is over, which is never changed.
type Final struct {
	Status wire.JobState `json:"s"`
	Tasks  int           `json:"n"`
}

// JobStatus is the answer to the job's user.
func (f Final) JobStatus(job string) wire.JobStatus {
	s := wire.JobStatus{ID: job, Status: f.Status}
	if f.Status == wire.StatusDone {
		s.Done = f.Tasks
	}
	return s
}

// Placement is the value of a placement record: which tasks of a range may be on which machine,
// and which are done.
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
	// Zone counts for jobs spread over zones or bound to one, while a new leader has had no
	// heartbeat of the machine.
	Zone        string `json:"z"`
	Incarnation uint64 `json:"s"`
}

// PlacementRange is the range of a job's tasks that a placement record covers, To being
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

// ParsePlacementKey returns which tasks a placement record covers; perNumber is how many a
// numbered one does. It returns false for any other key.
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
