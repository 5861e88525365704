package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/persistence"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// lowerStoreLimits lowers the store's limits to a number of writes per transaction and a size of
// values in bytes. It returns a counter of the transactions rejected from now on.
func lowerStoreLimits(harness *harness, maxWrites, maxValue int) *int {
	rejected := new(int)
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		if len(txn.Writes) > maxWrites || len(txn.Conditions) > 4*maxWrites || largestValueBytes(txn) > maxValue {
			*rejected++
			return 400
		}
		return carryOut()
	}
	return rejected
}

// largestValueBytes returns the size of the largest value that a transaction writes.
func largestValueBytes(txn *wire.Txn) int {
	n := 0
	for _, w := range txn.Writes {
		n = max(n, len(w.Value))
	}
	return n
}

// withAnnouncedLimits announces lower store limits in the settings (state.next): 2 KB per value,
// and a number of writes per transaction.
func withAnnouncedLimits(maxWrites int) func(*config.Settings) {
	return func(s *config.Settings) {
		s.Deployment.Store.Next = &config.StoreLimits{TxnOps: maxWrites, ValueKB: 2}
	}
}

// withoutAnnouncedLimits does not change the settings.
func withoutAnnouncedLimits(*config.Settings) {}

// placeAndRecord places a range of a job's tasks, each on a machine that runs no other job, and
// marks their placement records for writing.
func placeAndRecord(leader *leader, job *cluster.Job, from, to int) {
	for i := from; i < to; i++ {
		job.TaskStates[i] = cluster.Task{Attempt: job.NextAttempt, Zone: "a", Incarnation: 1, PlacedThisTerm: true}
		job.NextAttempt++
		leader.place(job, i, leader.getOrAddMachine(fmt.Sprintf("n-%s-%06d", job.ID, i)))
		leader.writer.MarkPlacement(job, i)
	}
}

// recordedTasks returns the number of a job's tasks that the next leader would restore as placed.
func recordedTasks(harness *harness, id string, tasks int) int {
	leader := newLeader(harness.core, election.Leadership{FirstToken: 5, Term: 5 + testTokensPerTerm, TermVersion: harness.store[election.KeyTerm].Version, Lease: 1})
	leader.applyOpenRecord(id, harness.store[records.OpenKey(id)].Version, harness.openRecord(id))
	leader.writer.RestorePlacements(leader.Jobs[id], loadPlacements(harness, leader, id))
	n := 0
	for i := range tasks {
		if leader.Jobs[id].TaskStates[i].Machine != nil {
			n++
		}
	}
	return n
}

// addNumberedJob adds a job whose tasks are all placed, with numbered placement records as an
// earlier version writes them, of the size that this version uses by default.
func addNumberedJob(harness *harness, leader *leader, id string, tasks int) {
	const tasksPerRecord = 128
	addRecord(harness, leader, wire.Job{ID: id, Tasks: tasks}, nil)
	job := leader.Jobs[id]
	job.PlacementRecords, job.NumberedKeys = nil, true
	for from := 0; from < tasks; from += tasksPerRecord {
		job.PlacementRecords = append(job.PlacementRecords, cluster.PlacementRecord{
			Key: records.NumberedKey(job.ID, from/tasksPerRecord), From: from, To: min(from+tasksPerRecord, tasks),
		})
	}
	for i := range job.PlacementRecords {
		record := &job.PlacementRecords[i]
		placeAndRecord(leader, job, record.From, record.To)
		body, _ := persistence.EncodePlacement(job, record)
		harness.write(record.Key, "", body)
		record.Version, record.Dirty = harness.store[record.Key].Version, false
	}
	for i := range job.TaskStates {
		job.TaskStates[i].Persisted = true
	}
}

// changeAttempts changes the attempt of every seventh task of a job, so that all its placement
// records have to be rewritten.
func changeAttempts(leader *leader, job *cluster.Job) {
	for i := 0; i < len(job.TaskStates); i += 7 {
		job.TaskStates[i].Attempt, job.TaskStates[i].Persisted = job.NextAttempt, false
		job.NextAttempt++
		leader.writer.MarkPlacement(job, i)
	}
}

// expectRecorded checks that all tasks of a job are recorded, and that the next leader would
// restore them.
func expectRecorded(t *testing.T, harness *harness, job *cluster.Job) {
	t.Helper()
	tasks := len(job.TaskStates)
	for i := range job.TaskStates {
		if !job.TaskStates[i].Persisted {
			t.Fatalf("placement of task %d of %s is not recorded", i, job.ID)
		}
	}
	if got := recordedTasks(harness, job.ID, tasks); got != tasks {
		t.Errorf("next leader: got %d tasks of %s placed, want %d", got, job.ID, tasks)
	}
}

// TestLoweredStoreLimits lowers the store's limits while jobs have placement records of 10 KiB and
// open records of different sizes. All changes must be recorded in the end, with at most a few
// transactions that exceed the limits.
func TestLoweredStoreLimits(t *testing.T) {
	for _, tc := range []struct {
		name        string
		settings    func(*config.Settings)
		ops, bytes  int
		maxRejected int // transactions rejected
	}{
		{"announced", withAnnouncedLimits(5), 5, 2048, 1},
		{"announced, two writes", withAnnouncedLimits(2), 2, 2048, 1},
		{"not announced, fewer writes", withoutAnnouncedLimits, 5, 16384, 6},
		{"not announced, two writes", withoutAnnouncedLimits, 2, 16384, 8},
		{"not announced, smaller values", withoutAnnouncedLimits, 16, 2048, 12},
		{"not announced, smallest values", withoutAnnouncedLimits, 16, 1024, 12},
		{"not announced, both", withoutAnnouncedLimits, 5, 2048, 16},
		{"not announced, both lowest", withoutAnnouncedLimits, 2, 1024, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			for n := range 6 {
				addNumberedJob(harness, leader, jobID(n), 300)
			}
			addRecord(harness, leader, wire.Job{ID: jobID(8)}, nil)
			addRecord(harness, leader, wire.Job{ID: jobID(9), Dependencies: []string{jobID(8)}}, nil)
			rejected := lowerStoreLimits(harness, tc.ops, tc.bytes)
			if harness.core.settings.Deployment.Store.Next != nil {
				leader.writer.AllowNamedRanges() // as if every controller could read them
			}
			for n := range 6 {
				changeAttempts(leader, leader.Jobs[jobID(n)])
			}
			leader.markDone(leader.Jobs[jobID(8)], 0)
			harness.run(20 * time.Second)
			for n := range 6 {
				expectRecorded(t, harness, leader.Jobs[jobID(n)])
			}
			if !harness.hasEnded(jobID(8)) || !strings.Contains(string(harness.store[records.OpenKey(jobID(9))].Value), `"ra":`) {
				t.Error("the end of the job that is done is not recorded, or its dependent is not ready")
			}
			if *rejected > tc.maxRejected {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.maxRejected)
			}
			if tc.ops == 16 && harness.core.store.MaxWrites() != 16 {
				t.Errorf("maximum writes per transaction: got %d, want 16, since only the values' limit was lowered", harness.core.store.MaxWrites())
			}
			if tc.bytes < 16384 && harness.core.settings.Deployment.Store.Next == nil {
				// A controller that starts now derives the lower limit from the records.
				harness.core.store = kv.NewClient(storeTransport{harness.core}, &harness.core.settings.Deployment)
				recordedTasks(harness, jobID(0), 300)
				if harness.core.store.MaxPlacementValue() != kv.SmallValueBytes {
					t.Errorf("next leader: got maximum size of placement records %d, want kv.SmallValueBytes", harness.core.store.MaxPlacementValue())
				}
			}
		})
	}
}

// oversizedJob returns a job whose specification takes 5 KiB, more than the lowered limits allow.
func oversizedJob(id string, tasks int) wire.Job {
	var types []string
	for n := range 300 {
		types = append(types, fmt.Sprintf("type-%09d", n))
	}
	return wire.Job{
		ID: id, Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 4, MemGB: 1, MachineTypes: append(types, "small"),
	}
}

// TestOversizedRecordCancelled cancels a job whose open record exceeds the store's lowered limit.
// The cancellation is recorded without the fields that only a job still to be run needs, the job
// and its dependents end, and at most one transaction is rejected.
func TestOversizedRecordCancelled(t *testing.T) {
	for _, tc := range []struct {
		name        string
		settings    func(*config.Settings)
		maxRejected int
	}{{"announced", withAnnouncedLimits(5), 0}, {"not announced", withoutAnnouncedLimits, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, oversizedJob(jobID(1), 40), nil)
			addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
			job := leader.Jobs[jobID(1)]
			placeAndRecord(leader, job, 0, 1)
			harness.run(time.Second)
			rejected := lowerStoreLimits(harness, 5, 2048)
			var request records.Open // with the cancellation
			harness.afterCommit = func() {
				if !harness.hasEnded(jobID(1)) {
					request = harness.openRecord(jobID(1))
				}
			}
			harness.lastRequestID++
			harness.step(Request{ID: harness.lastRequestID, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			harness.run(3 * time.Second)
			if !request.Cancelled || request.Job.Tasks != 40 || request.Job.Team != "vision" || request.Job.CPUs != 4 || request.Job.Class != "c" {
				t.Fatalf("recorded cancellation: got %+v, want 40 tasks of 4 CPUs, team vision, class c", request)
			}
			if !harness.hasEnded(jobID(2)) {
				t.Error("the dependent's end is not recorded")
			}
			if !harness.hasEnded(jobID(1)) || harness.store[records.OpenKey(jobID(1))].Key != "" {
				t.Error("the job's end is not recorded, or its open record still exists")
			}
			if *rejected > tc.maxRejected {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.maxRejected)
			}
		})
	}
}

// TestOversizedRecordRuns runs a job whose open record exceeds the store's lowered limit: its tasks
// may be placed, and the records of other jobs are not delayed. The placements of another oversized
// job, whose placement records change their layout, are recorded too.
func TestOversizedRecordRuns(t *testing.T) {
	for _, tc := range []struct {
		name        string
		settings    func(*config.Settings)
		maxRejected int
	}{{"announced", withAnnouncedLimits(5), 0}, {"not announced", withoutAnnouncedLimits, 16}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
			long := oversizedJob(jobID(2), 40)
			long.Dependencies = []string{jobID(1)}
			addRecord(harness, leader, long, nil)
			addRecord(harness, leader, oversizedJob(jobID(3), 100), nil)
			other := leader.Jobs[jobID(3)]
			placeAndRecord(leader, other, 0, 100)
			harness.run(time.Second)
			rejected := lowerStoreLimits(harness, 5, 2048)
			if harness.core.settings.Deployment.Store.Next != nil {
				leader.writer.AllowNamedRanges() // as if every controller could read them
			}
			placeAndRecord(leader, leader.Jobs[jobID(3)], 90, 100) // again, with new attempts
			addRecord(harness, leader, wire.Job{ID: jobID(4)}, nil)
			leader.markDone(leader.Jobs[jobID(1)], 0)
			leader.markDone(leader.Jobs[jobID(4)], 0)
			harness.run(20 * time.Second)
			if !harness.hasEnded(jobID(1)) || !harness.hasEnded(jobID(4)) {
				t.Fatal("the ends of job-101 and job-104, which are done, are not both recorded")
			}
			job := leader.Jobs[jobID(2)]
			if job.AwaitingDependencies || len(job.PendingTasks()) != 40 {
				t.Errorf("oversized job: got waiting for dependencies %v, %d placeable tasks, want false, 40", job.AwaitingDependencies, len(job.PendingTasks()))
			}
			for i := range other.TaskStates {
				if !other.TaskStates[i].Persisted {
					t.Fatalf("placement of task %d is not recorded", i)
				}
			}
			if got := recordedTasks(harness, jobID(3), 100); got != 100 {
				t.Errorf("next leader: got %d tasks placed, want 100", got)
			}
			if *rejected > tc.maxRejected {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.maxRejected)
			}
			// The next leader determines by itself that the dependencies are done.
			next := startNextLeader(harness, leader, "")
			if k := next.Jobs[jobID(2)]; k.AwaitingDependencies && !k.DependenciesDone {
				t.Error("the oversized job waits for its dependencies again under the next leader")
			}
		})
	}
}

// TestOversizedRecordsRun runs many jobs with oversized open records together. If a transaction
// with several records is rejected, the rejection does not tell which record caused it.
func TestOversizedRecordsRun(t *testing.T) {
	harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
	addRecord(harness, leader, wire.Job{ID: jobID(0)}, nil)
	for n := range 9 {
		long := oversizedJob(jobID(1+n), 1)
		if n%3 == 2 {
			long.MachineTypes = nil
		}
		long.Dependencies = []string{jobID(0)}
		addRecord(harness, leader, long, nil)
	}
	rejected := lowerStoreLimits(harness, 5, 2048)
	leader.markDone(leader.Jobs[jobID(0)], 0)
	harness.run(20 * time.Second)
	for n := range 9 {
		if leader.Jobs[jobID(1+n)].AwaitingDependencies {
			t.Errorf("%s is not ready after its dependency is done", jobID(1+n))
		}
	}
	if *rejected > 70 {
		t.Errorf("%d transactions rejected, want at most 70", *rejected)
	}
}

// TestPermanentlyRejectedRecord makes the store reject every transaction with a record of one job,
// for a reason that the leader does not know. These writes must be retried with backoff, and the
// records of the other jobs must be written.
func TestPermanentlyRejectedRecord(t *testing.T) {
	harness, leader := newLeadingHarness(t, withoutAnnouncedLimits)
	rejected := 0
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		for _, w := range txn.Writes {
			if strings.Contains(w.Put+w.Delete, jobID(3)) {
				rejected++
				return 400
			}
		}
		return carryOut()
	}
	for n := range 8 {
		addRecord(harness, leader, wire.Job{ID: jobID(n)}, nil)
		leader.markDone(leader.Jobs[jobID(n)], 0)
	}
	harness.run(120 * time.Second)
	for n := range 8 {
		if harness.hasEnded(jobID(n)) != (n != 3) {
			t.Errorf("end of %s recorded: got %v, want true for all but job-103", jobID(n), harness.hasEnded(jobID(n)))
		}
	}
	if rejected > 20 {
		t.Errorf("%d transactions rejected in 120 s, want at most 20", rejected)
	}
}

// TestOversizedRecordHasDependents submits a dependent of a job whose open record exceeds the
// store's lowered limit. The dependent is accepted although the job cannot be marked as having
// dependents. The job's cancellation is recorded together with that mark, and cancels the dependent
// as well.
func TestOversizedRecordHasDependents(t *testing.T) {
	for _, tc := range []struct {
		name        string
		settings    func(*config.Settings)
		others      int  // further unfinished dependencies
		late        bool // the leader receives the dependent's open record after the job's end
		maxRejected int
	}{
		{"announced", withAnnouncedLimits(5), 0, false, 0},
		{"not announced", withoutAnnouncedLimits, 0, false, 2},
		{"more dependencies than one transaction can mark", withAnnouncedLimits(5), 9, false, 0},
		{"not announced, more dependencies than one transaction can mark", withoutAnnouncedLimits, 9, false, 6},
		{"the leader receives the dependent late", withAnnouncedLimits(5), 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, oversizedJob(jobID(1), 40), nil)
			placeAndRecord(leader, leader.Jobs[jobID(1)], 0, 1)
			names := []string{`"` + jobID(1) + `"`}
			for n := range tc.others {
				addRecord(harness, leader, wire.Job{ID: jobID(10 + n)}, nil)
				names = append(names, `"`+jobID(10+n)+`"`)
			}
			harness.run(time.Second)
			rejected := lowerStoreLimits(harness, 5, 2048)
			var request records.Open
			harness.afterCommit = func() {
				if !harness.hasEnded(jobID(1)) {
					request = harness.openRecord(jobID(1))
				}
			}
			dependent := jobID(2)
			if a := harness.request("POST", "/submissions", submissionWithDependencies(2, "["+strings.Join(names, ",")+"]")); a.Status != 201 {
				t.Fatalf("submission of the dependent: got %d %s, want 201", a.Status, a.Body)
			}
			if request.HasDependents {
				t.Error("the oversized open record was rewritten with the mark")
			}
			applyDependent := func() {
				item, open := harness.store[records.OpenKey(dependent)]
				if !open {
					t.Fatal("the dependent has no open record")
				}
				leader.applyOpenRecord(dependent, item.Version, harness.openRecord(dependent))
			}
			if !tc.late {
				applyDependent()
			}
			harness.lastRequestID++
			harness.step(Request{ID: harness.lastRequestID, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			harness.run(3 * time.Second)
			if tc.late {
				applyDependent()
				harness.run(time.Second)
			}
			if !request.Cancelled || !request.HasDependents {
				t.Errorf("recorded cancellation: got %+v, want it marked as having dependents", request)
			}
			for _, id := range []string{jobID(1), dependent} {
				if final := string(harness.store[records.FinalKey(id)].Value); !strings.Contains(final, string(wire.StatusCancelled)) {
					t.Errorf("final record of %s: got %q, want a cancelled job", id, final)
				}
			}
			if *rejected > tc.maxRejected {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.maxRejected)
			}
		})
	}
}
