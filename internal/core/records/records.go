// Package records defines the keys and values of the records that controllers store in the
// key-value store. It does no I/O and holds no state. The front end, persistence and the leader of
// package core use it. All versions of the program share the records, so their keys and JSON names
// must never change (see compat_test.go of internal/core).
//
// A job that has not ended has one open record. It is written when the job is submitted, is
// cancelled, gets its first dependent or becomes ready, and before the layout of the job's
// placement records changes. A job that has ended has a small final record that never changes. One
// transaction replaces the open record with the final record, so a reader that reads the open
// record first and the final record second always finds the job.
package records

import (
	"strconv"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// Prefixes of the keys of a job's records. All have the same length, which JobIDs relies on.
const (
	PrefixOpen      = "o/"
	PrefixFinal     = "f/"
	PrefixPlacement = "p/"
)

// KeyMachineTypes is the key of the machine types from the cloud's latest list.
const KeyMachineTypes = "types"

// OpenKey returns the key of a job's open record.
func OpenKey(job string) string { return PrefixOpen + job }

// FinalKey returns the key of a job's final record.
func FinalKey(job string) string { return PrefixFinal + job }

// JobIDs returns the set of job IDs in the keys of open or final records.
func JobIDs(keys []string) map[string]bool {
	ids := make(map[string]bool, len(keys))
	for _, key := range keys {
		ids[key[len(PrefixOpen):]] = true
	}
	return ids
}

// Open is the value of a job's open record.
type Open struct {
	Job         wire.Job `json:"j"`
	SubmittedAt int64    `json:"at"` // Unix time in ms
	Cancelled   bool     `json:"c,omitempty"`
	// CancelRequestedAt is the Unix time, in ms, at which the user requested the cancellation.
	// The tasks are stopped, and the request is acknowledged only after they have terminated.
	CancelRequestedAt int64 `json:"ak,omitempty"`
	// CancelAcknowledgedAt is the Unix time, in ms, recorded just before the cancellation is
	// acknowledged. The period cancel_s starts at this time, also for a later leader.
	CancelAcknowledgedAt int64 `json:"ca,omitempty"`
	// HasDependents is true once another job depends on this one.
	HasDependents bool `json:"nd,omitempty"`
	// ReadyAt is the Unix time, in ms, at which all dependencies were done. No task of the job
	// may be placed before that. 0 if the job still waits for them or has no dependencies.
	ReadyAt int64 `json:"ra,omitempty"`
}

// CancelAcknowledged reports whether the job's cancellation may have been acknowledged to the user.
func (r *Open) CancelAcknowledged() bool {
	return r.Cancelled && (r.CancelAcknowledgedAt != 0 || r.CancelRequestedAt == 0)
}

// Reduced returns the open record of a cancelled job without the fields that only matter to a job
// that has yet to run. It is used to record a cancellation if the store no longer accepts a value
// as large as the whole record.
func (r Open) Reduced() Open {
	j := r.Job
	if len(j.Class) > maxReducedClassBytes {
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

// maxReducedClassBytes is the maximum length of a class name in a reduced record. A longer one is
// dropped.
const maxReducedClassBytes = 64

// Final is the value of a job's final record, which never changes.
type Final struct {
	Status wire.JobState `json:"s"`
	Tasks  int           `json:"n"`
}

// JobStatus returns the status of the ended job, as it is sent to users.
func (f Final) JobStatus(job string) wire.JobStatus {
	s := wire.JobStatus{ID: job, Status: f.Status}
	if f.Status == wire.StatusDone {
		s.Done = f.Tasks
	}
	return s
}

// Placement is the value of a placement record: which tasks of a range may be running on which
// machine, and which tasks are done.
type Placement struct {
	NextAttempt uint64       `json:"n"` // number of the job's next attempt
	Done        []int        `json:"d,omitempty"`
	Tasks       []PlacedTask `json:"t,omitempty"`
}

// PlacedTask is a task that may be running on a machine.
type PlacedTask struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
	// Zone is the zone of the machine. A new leader needs it for jobs with zone constraints until
	// it receives the machine's first heartbeat.
	Zone        string `json:"z"`
	Incarnation uint64 `json:"s"`
}

// PlacementRange is the range of a job's tasks, excluding To, that a placement record covers.
// Numbered tells whether its key has a number or names the range.
type PlacementRange struct {
	Job      string
	From, To int
	Numbered bool
}

// NumberedKey returns the key of the nth placement record of a job in the numbered layout.
func NumberedKey(job string, n int) string { return PrefixPlacement + job + "/" + strconv.Itoa(n) }

// RangeKey returns the key of the placement record that names its range of tasks, excluding to.
func RangeKey(job string, from, to int) string {
	return PrefixPlacement + job + "/" + strconv.Itoa(from) + "-" + strconv.Itoa(to)
}

// ParsePlacementKey returns the range of tasks that a placement record covers, by its key. A
// numbered record covers tasksPerNumbered tasks. It returns false for any other key.
func ParsePlacementKey(key string, tasksPerNumbered int) (PlacementRange, bool) {
	job, rangePart, found := strings.Cut(strings.TrimPrefix(key, PrefixPlacement), "/")
	if !found {
		return PlacementRange{}, false
	}
	first, last, hasRange := strings.Cut(rangePart, "-")
	n, err := strconv.Atoi(first)
	if err != nil || n < 0 {
		return PlacementRange{}, false
	}
	if !hasRange {
		return PlacementRange{Job: job, From: n * tasksPerNumbered, To: (n + 1) * tasksPerNumbered, Numbered: true}, true
	}
	to, err := strconv.Atoi(last)
	return PlacementRange{Job: job, From: n, To: to}, err == nil && to > n
}
