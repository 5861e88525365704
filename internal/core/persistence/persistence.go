// Package persistence stores a leader's jobs and placements as records in the key-value store.
//
// Writer writes changed records, many in one transaction, and is the only code that changes the
// record state of package cluster (RecordState, PlacementRecord). Loader reads all records for a
// new leader and watches the open records for changes. The leader of package core has one of each
// for its term. It decides what a record means for scheduling, dependencies and users: Writer and
// Loader call it through the Host interfaces. The package has no clock, socket or goroutine.
package persistence

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// Host is the part of the leader that both Writer and Loader use. Methods are called in the order
// in which the events that cause them are received. No method is called again from within itself.
type Host interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// LeaderLease returns the duration of the leader's lease. Retry delays are derived from it.
	LeaderLease() time.Duration
	// SteppedDown reports whether the leader's term is over: results received after that are
	// ignored.
	SteppedDown() bool
	// OpenRecordRead is called with each open record that was read, whether new or changed.
	OpenRecordRead(job string, version uint64, record records.Open)
}

// LoaderHost is the part of the leader that Loader uses.
type LoaderHost interface {
	Host
	// RecordsLoaded is called when all records have been read.
	RecordsLoaded()
}

// WriterHost is the part of the leader that Writer uses.
type WriterHost interface {
	Host
	// WallClockMS returns the Unix time in ms.
	WallClockMS() int64
	// PeersReadNamedRanges reports whether every peer has announced a protocol version that reads
	// placement records whose keys name a range of tasks.
	PeersReadNamedRanges() bool
	// RejectedWrites records that the store rejected a transaction with this number of writes. It
	// reports whether transactions with fewer writes may be accepted.
	RejectedWrites(writes int) bool

	// AddCancelledEnds calls add for each cancelled job whose end may be recorded. It stops when
	// add returns false because the transaction is full.
	AddCancelledEnds(add func(*cluster.Job) bool)
	// CancelledEndFailed is called when the transaction with a cancelled job's end was not
	// committed.
	CancelledEndFailed(job *cluster.Job)
	// JobEnded is called when a job's end has been recorded.
	JobEnded(job *cluster.Job, end wire.JobEnd)
	// JobEndAlreadyRecorded is called when a job's end turns out to have been recorded by an earlier
	// transaction whose response was lost.
	JobEndAlreadyRecorded(job *cluster.Job)
	// BatchAnswered is called after each response to a transaction, committed or not, with the
	// job ends that the transaction recorded.
	BatchAnswered(ends []wire.JobEnd)
	// OpenRecordWritten is called when Writer has written a job's open record.
	OpenRecordWritten(job *cluster.Job, record records.Open, version uint64)
	// JobMayBeReady is called when a job's open record has been written, or has changed
	// but is too large to write: its ReadyAt may now show that all dependencies are done.
	JobMayBeReady(job *cluster.Job)
	// StartTasks starts tasks whose placements have just been recorded.
	StartTasks(job *cluster.Job, placed []records.PlacedTask)
	// PlacementRead is called with a task that may be running on a machine, according to a
	// placement record of an earlier term.
	PlacementRead(job *cluster.Job, placed records.PlacedTask)
	// TermChanged is called when another leader has started a term.
	TermChanged()
}
