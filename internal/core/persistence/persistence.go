// Package persistence keeps a leader's jobs and placements on record in the key-value store.
//
// Writer writes what has changed, many records in one transaction, and is the only owner of
// the record state of package cluster (RecordState, PlacementRecord). Loader reads all records
// for a new leader and follows changes of open jobs. The leader of package core has one of each
// for its term, and decides what a record means for scheduling, dependencies and users: they call
// it by way of Host. The package has no clock, socket or goroutine.
package persistence

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Host is the leader whose state is kept, as a writer and a loader both use it. Methods are called
// in the order in which their causes become known; none of them calls back into the same method.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// LeaderLease is the duration of the leader's lease, to which retries are ratios.
	LeaderLease() time.Duration
	// SteppedDown reports whether the leader's term is over: results that come later have no
	// effect.
	SteppedDown() bool
	// OpenRecordRead is called with an open record that was read, new or changed.
	OpenRecordRead(job string, version uint64, record records.Open)
}

// LoaderHost is the leader as its Loader uses it.
type LoaderHost interface {
	Host
	// RecordsLoaded is called when all records have been read.
	RecordsLoaded()
}

// WriterHost is the leader as its Writer uses it.
type WriterHost interface {
	Host
	// WallClockMS is the time of day, in ms.
	WallClockMS() int64
	// PeersReadNamedRanges reports whether every peer has said that it reads placement records
	// that name their range.
	PeersReadNamedRanges() bool
	// RejectedWrites records that the store rejected a transaction with a number of writes. It
	// reports whether smaller transactions may do.
	RejectedWrites(writes int) bool

	// AddCancelledEnds calls add for each cancelled job whose end may be recorded, until add
	// returns false because the transaction is full.
	AddCancelledEnds(add func(*cluster.Job) bool)
	// CancelledEndFailed is called when the end of a cancelled job was not recorded.
	CancelledEndFailed(job *cluster.Job)
	// JobEnded is called when a job's end is on record.
	JobEnded(job *cluster.Job, end wire.JobEnd)
	// JobEndedBefore is called when a job's end was found on record: the answer to the
	// transaction that recorded it was lost.
	JobEndedBefore(job *cluster.Job)
	// BatchAnswered is called when a transaction was answered, with the ends that it recorded.
	BatchAnswered(ends []wire.JobEnd)
	// OpenRecordWritten is called when the leader has changed a job's open record.
	OpenRecordWritten(job *cluster.Job, record records.Open, version uint64)
	// DependenciesMayBeReady is called when a job's open record has changed: it may say that all
	// dependencies are done.
	DependenciesMayBeReady(job *cluster.Job)
	// StartTasks starts tasks whose placements are on record now.
	StartTasks(job *cluster.Job, placed []records.PlacedTask)
	// PlacementRead is called with a task that may be on a machine, by a record of an earlier term.
	PlacementRead(job *cluster.Job, placed records.PlacedTask)
	// TermChanged is called when another leader has begun a term.
	TermChanged()
}
