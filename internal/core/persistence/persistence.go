// Package persistence keeps a leader's jobs and placements on record in the key-value store.
//
// Writer writes what has changed, many records in one transaction, and is the only owner of
// the record state of package cluster (RecordState, PlacementRecord). Loader reads all records
// for a new leader and follows changes of open jobs. What a record means for scheduling,
// dependencies and users is decided by the leader around them, by way of Host. The package
// has no clock, socket or goroutine.
package persistence

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Host is the leader whose state is kept. Its methods are called in the order in which their
// causes become known; none of them calls back into the same method.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// WallClockMS is the time of day, in ms.
	WallClockMS() int64
	// LeaderLease is the duration of the leader's lease, to which retries are ratios.
	LeaderLease() time.Duration
	// SteppedDown reports whether the leader's term is over: answers that come later have
	// no effect.
	SteppedDown() bool
	// PeersReadNamedRanges reports whether every peer has said that it reads placement
	// records that name their range.
	PeersReadNamedRanges() bool

	// AddCancelledEnds calls add for each cancelled job whose end may be recorded, until it
	// returns false for want of space.
	AddCancelledEnds(add func(*cluster.Job) bool)
	// CancelledEndFailed is told that the end of a cancelled job was not recorded.
	CancelledEndFailed(job *cluster.Job)
	// JobEnded is told that a job's end is on record.
	JobEnded(job *cluster.Job, end wire.JobEnd)
	// JobEndedBefore is told that a job's end was found on record: the answer to the
	// transaction that recorded it got lost.
	JobEndedBefore(job *cluster.Job)
	// BatchAnswered is told that a transaction was answered, with the ends that it recorded.
	BatchAnswered(ends []wire.JobEnd)
	// OpenRecordWritten is told that the leader has changed a job's open record.
	OpenRecordWritten(job *cluster.Job, record records.Open, version uint64)
	// DependenciesMayBeReady is told that a job's open record has changed.
	DependenciesMayBeReady(job *cluster.Job)
	// StartTasks is told of placements that are on record now and may be started.
	StartTasks(job *cluster.Job, placed []records.PlacedTask)

	// OpenRecordRead is told of an open record, new or changed.
	OpenRecordRead(job string, version uint64, record records.Open)
	// PlacementRead is told that a task may be on a machine, by a record of an earlier term.
	PlacementRead(job *cluster.Job, placed records.PlacedTask)
	// RecordsLoaded is told that all records have been read.
	RecordsLoaded()
	// TermChanged is told that another leader has begun a term.
	TermChanged()
}
