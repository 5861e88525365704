package persistence

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// fakeLeader is a WriterHost with jobs and a Writer. Its requests to the store are discarded.
type fakeLeader struct {
	state  cluster.State
	writer *Writer
	now    time.Duration
	// cancelled lists the jobs whose ends AddCancelledEnds adds.
	cancelled []*cluster.Job
}

func newFakeLeader(maxWrites int) *fakeLeader {
	deployment := &config.Deployment{
		Store:   config.StoreLimits{ValueKB: 16, TxnOps: maxWrites},
		Workers: config.WorkerTimings{ReportS: 1.5, LeaseS: 10},
	}
	l := &fakeLeader{state: cluster.NewState(), now: time.Second}
	store := kv.NewClient(l, deployment)
	l.writer = NewWriter(store, &l.state, l, deployment, wire.Condition{Key: "term", Version: 1}, slog.New(slog.DiscardHandler))
	return l
}

func (l *fakeLeader) Send(kv.Request, func(kv.Response)) {}

func (l *fakeLeader) Now() time.Duration         { return l.now }
func (l *fakeLeader) WallClockMS() int64         { return 1e12 }
func (l *fakeLeader) LeaderLease() time.Duration { return 2 * time.Second }
func (l *fakeLeader) SteppedDown() bool          { return false }
func (l *fakeLeader) PeersReadNamedRanges() bool { return false }

func (l *fakeLeader) AddCancelledEnds(add func(*cluster.Job) bool) {
	for _, job := range l.cancelled {
		add(job)
	}
}

func (l *fakeLeader) CancelledEndFailed(*cluster.Job)                      {}
func (l *fakeLeader) JobEnded(*cluster.Job, wire.JobEnd)                   {}
func (l *fakeLeader) JobEndAlreadyRecorded(*cluster.Job)                   {}
func (l *fakeLeader) BatchAnswered([]wire.JobEnd)                          {}
func (l *fakeLeader) OpenRecordWritten(*cluster.Job, records.Open, uint64) {}
func (l *fakeLeader) JobMayBeReady(*cluster.Job)                           {}
func (l *fakeLeader) StartTasks(*cluster.Job, []records.PlacedTask)        {}
func (l *fakeLeader) OpenRecordRead(string, uint64, records.Open)          {}
func (l *fakeLeader) PlacementRead(*cluster.Job, records.PlacedTask)       {}
func (l *fakeLeader) RejectedWrites(int) bool                              { return true }
func (l *fakeLeader) TermChanged()                                         {}

// addJob adds a job with an open record.
func (l *fakeLeader) addJob(id string, tasks int) *cluster.Job {
	version := uint64(len(l.state.Jobs) + 2)
	spec := wire.Job{ID: id, Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: tasks, CPUs: 4, MemGB: 1}
	job := cluster.NewJob(records.Open{Job: spec}, version)
	job.Loaded = true
	l.writer.InitPlacementRecords(job)
	l.state.AddJob(job)
	return job
}

// placedJob adds a job whose tasks all have a placement that is due to be recorded.
func (l *fakeLeader) placedJob(id string, tasks int) {
	job := l.addJob(id, tasks)
	for i := range tasks {
		machine := l.state.GetOrAddMachine(fmt.Sprintf("n-%s-%06d", id, i), l.now)
		job.TaskStates[i] = cluster.Task{Attempt: job.NextAttempt, Machine: machine, Zone: "a", Incarnation: 1, PlacedThisTerm: true}
		job.NextAttempt++
		job.TasksPlaced++
		machine.AddTask(cluster.NewTaskReference(job, i))
		l.writer.MarkPlacement(job, i)
	}
}

// doneJob adds a job whose end is due to be recorded.
func (l *fakeLeader) doneJob(id string) *cluster.Job {
	job := l.addJob(id, 1)
	job.TaskStates[0].Done = true
	job.TasksDone = 1
	l.writer.MarkPlacementDeferred(job, 0)
	return job
}

func jobID(n int) string { return fmt.Sprintf("job-%06d", n) }

// recordKinds returns the kind of each write of a transaction, in order.
func recordKinds(txn *wire.Txn) []string {
	kinds := []string{}
	for _, w := range txn.Writes {
		switch {
		case strings.HasPrefix(w.Delete, records.PrefixOpen):
			kinds = append(kinds, "remove open")
		case strings.HasPrefix(w.Delete, records.PrefixPlacement):
			kinds = append(kinds, "remove place")
		case strings.HasPrefix(w.Put, records.PrefixFinal):
			kinds = append(kinds, "final")
		case strings.HasPrefix(w.Put, records.PrefixOpen):
			kinds = append(kinds, "open")
		case strings.HasPrefix(w.Put, records.PrefixPlacement):
			kinds = append(kinds, "place")
		default:
			kinds = append(kinds, fmt.Sprintf("%+v", w))
		}
	}
	return kinds
}

// TestRecordBatch fills a batch with due records. It checks which records the batch contains, in
// which order, and whether the batch reports that others are left.
func TestRecordBatch(t *testing.T) {
	end := []string{"remove open", "final"}
	for _, tc := range []struct {
		name      string
		maxWrites int
		prepare   func(l *fakeLeader)
		want      []string
		more      bool
	}{
		{"nothing due", 16, func(*fakeLeader) {}, nil, false},
		{"an end ahead of an earlier job's placement", 16, func(l *fakeLeader) {
			l.placedJob(jobID(1), 1)
			l.doneJob(jobID(2))
		}, append(slices.Clone(end), "place"), false},
		{"every kind of record", 16, func(l *fakeLeader) {
			l.writer.AddOrphans(records.NumberedKey(jobID(9), 0))
			l.placedJob(jobID(1), 1)
			l.addJob(jobID(2), 1).DependenciesDone = true
			cancelled := l.addJob(jobID(3), 1)
			cancelled.Cancellation.Request(0)
			l.cancelled = []*cluster.Job{cancelled}
			l.doneJob(jobID(4))
		}, append(slices.Concat(end, end), "open", "place", "remove place"), false},
		{"as many writes as are allowed", 5, func(l *fakeLeader) {
			for n := range 5 {
				l.placedJob(jobID(n), 1)
			}
		}, slices.Repeat([]string{"place"}, 5), false},
		{"one write more", 5, func(l *fakeLeader) {
			for n := range 6 {
				l.placedJob(jobID(n), 1)
			}
		}, slices.Repeat([]string{"place"}, 5), true},
		{"an end that does not fit delays deletions", 5, func(l *fakeLeader) {
			l.writer.AddOrphans(records.NumberedKey(jobID(9), 0))
			for n := range 3 {
				l.doneJob(jobID(n))
			}
		}, slices.Repeat(end, 2), true},
		{"an end with more records than fit", 5, func(l *fakeLeader) {
			job := l.doneJob(jobID(1))
			for n := range 9 {
				job.SupersededKeys = append(job.SupersededKeys, records.NumberedKey(jobID(1), 1+n))
			}
		}, append(slices.Clone(end), slices.Repeat([]string{"remove place"}, 3)...), false},
		{"orphaned records after all else only", 5, func(l *fakeLeader) {
			l.writer.AddOrphans(records.NumberedKey(jobID(9), 0), records.NumberedKey(jobID(9), 1))
			for n := range 4 {
				l.placedJob(jobID(n), 1)
			}
		}, append(slices.Repeat([]string{"place"}, 4), "remove place"), true},
		{"one record where one of them is rejected", 16, func(l *fakeLeader) {
			l.writer.singleJobTransactions = true
			l.placedJob(jobID(1), 1)
			l.placedJob(jobID(2), 1)
		}, []string{"place"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newFakeLeader(tc.maxWrites)
			tc.prepare(l)
			b := l.writer.newBatch()
			b.fill()
			if got := recordKinds(b.txn); !slices.Equal(got, tc.want) {
				t.Errorf("writes %q, want %q", got, tc.want)
			}
			if b.moreDue() != tc.more {
				t.Errorf("more records due: %v, want %v", b.moreDue(), tc.more)
			}
			checkConditions(t, l, b.txn)
		})
	}
}

// checkConditions checks that a transaction is conditional on the term, and on the open record
// of each job whose records it puts.
func checkConditions(t *testing.T, l *fakeLeader, txn *wire.Txn) {
	t.Helper()
	if len(txn.Conditions) == 0 || txn.Conditions[0] != l.writer.termCondition {
		t.Errorf("conditions %+v, want the condition on the term first", txn.Conditions)
	}
	for _, w := range txn.Writes {
		_, rest, _ := strings.Cut(w.Put, "/")
		id, _, _ := strings.Cut(rest, "/")
		if w.Put == "" {
			continue
		}
		condition := wire.Condition{Key: records.OpenKey(id), Version: l.state.Jobs[id].OpenVersion}
		if !slices.Contains(txn.Conditions, condition) {
			t.Errorf("write of %s: want the condition %+v, which the transaction does not have", w.Put, condition)
		}
	}
}

// TestRecordBatchBytes has more bytes due than a transaction may have: the batch stays within the
// store's limit and reports that records are left.
func TestRecordBatchBytes(t *testing.T) {
	const jobs = 16
	l := newFakeLeader(16)
	for n := range jobs {
		l.placedJob(jobID(n), 100)
	}
	b := l.writer.newBatch()
	b.fill()
	total := 0
	for _, w := range b.txn.Writes {
		total += len(w.Value)
	}
	const storeMax = 64 << 10
	if total > storeMax {
		t.Errorf("%d bytes in a transaction, want at most the %d that the store accepts", total, storeMax)
	}
	if len(b.txn.Writes) == jobs || !b.moreDue() {
		t.Errorf("batch of %d bytes with %d writes, more due: %v; want fewer writes than due records, and true", total, len(b.txn.Writes), b.moreDue())
	}
}
