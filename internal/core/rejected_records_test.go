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

// lowerLimits lowers what the store takes, to a number of writes in a transaction and of bytes in a
// value. It returns how many transactions are rejected from now on.
func lowerLimits(harness *harness, maxWrites, maxValue int) *int {
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

// largestValueBytes is the size of the largest value that a transaction writes.
func largestValueBytes(txn *wire.Txn) int {
	n := 0
	for _, w := range txn.Writes {
		n = max(n, len(w.Value))
	}
	return n
}

// withAnnouncedLimits announces lower limits in the settings: values of 2 KB, and a number of
// writes in a transaction.
func withAnnouncedLimits(maxWrites int) func(*config.Settings) {
	return func(s *config.Settings) {
		s.Deployment.Store.Next = &config.StoreLimits{TxnOps: maxWrites, ValueKB: 2}
	}
}

// withoutAnnouncement leaves the settings as they are.
func withoutAnnouncement(*config.Settings) {}

// placeAndRecord places tasks of a job on machines of its own and records them.
func placeAndRecord(leader *leader, job *cluster.Job, from, to int) {
	for i := from; i < to; i++ {
		job.TaskStates[i] = cluster.Task{Attempt: job.NextAttempt, Zone: "a", Incarnation: 1, PlacedThisTerm: true}
		job.NextAttempt++
		leader.place(job, i, leader.machineNamed(fmt.Sprintf("n-%s-%06d", job.ID, i)))
		leader.writer.MarkPlacement(job, i)
	}
}

// recordedTasks counts the tasks of a job that a next leader would find placed.
func recordedTasks(harness *harness, id string, tasks int) int {
	leader := newLeader(harness.core, election.Leadership{Term: 5, TermVersion: harness.store[election.KeyTerm].Version, Lease: 1})
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

// addNumberedJob adds a job whose tasks are all placed, with placement records as an earlier version
// writes them: numbered, as large as they are now.
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

// changeAttempts changes the attempt of every seventh task of a job, so that all of its placement
// records have to be written again.
func changeAttempts(leader *leader, job *cluster.Job) {
	for i := 0; i < len(job.TaskStates); i += 7 {
		job.TaskStates[i].Attempt, job.TaskStates[i].Persisted = job.NextAttempt, false
		job.NextAttempt++
		leader.writer.MarkPlacement(job, i)
	}
}

// expectRecorded checks that all tasks of a job are on record, where a next leader finds them.
func expectRecorded(t *testing.T, harness *harness, job *cluster.Job) {
	t.Helper()
	tasks := len(job.TaskStates)
	for i := range job.TaskStates {
		if !job.TaskStates[i].Persisted {
			t.Fatalf("task %d of %s is not recorded", i, job.ID)
		}
	}
	if got := recordedTasks(harness, job.ID, tasks); got != tasks {
		t.Errorf("a next leader finds %d tasks of %s placed, want %d", got, job.ID, tasks)
	}
}

// TestLimitsFall lowers the limits under jobs with placement records of 10 KiB and open records of
// many sizes. All is recorded in the end, and transactions beyond the limits are sent a few
// times at most.
func TestLimitsFall(t *testing.T) {
	for _, tc := range []struct {
		name       string
		settings   func(*config.Settings)
		ops, bytes int
		most       int // transactions rejected
	}{
		{"announced", withAnnouncedLimits(5), 5, 2048, 1},
		{"announced, two changes", withAnnouncedLimits(2), 2, 2048, 1},
		{"silent, fewer changes", withoutAnnouncement, 5, 16384, 6},
		{"silent, two changes", withoutAnnouncement, 2, 16384, 8},
		{"silent, smaller values", withoutAnnouncement, 16, 2048, 12},
		{"silent, smaller values yet", withoutAnnouncement, 16, 1024, 12},
		{"silent, both", withoutAnnouncement, 5, 2048, 16},
		{"silent, both lowest", withoutAnnouncement, 2, 1024, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			for n := range 6 {
				addNumberedJob(harness, leader, jobID(n), 300)
			}
			addRecord(harness, leader, wire.Job{ID: jobID(8)}, nil)
			addRecord(harness, leader, wire.Job{ID: jobID(9), Dependencies: []string{jobID(8)}}, nil)
			rejected := lowerLimits(harness, tc.ops, tc.bytes)
			if harness.core.settings.Deployment.Store.Next != nil {
				leader.writer.AllowNamedRanges() // as once every controller reads them
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
				t.Error("the job that is done has not ended, or its dependent does not become ready")
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
			if tc.ops == 16 && harness.core.store.MaxWrites() != 16 {
				t.Errorf("transactions keep to %d writes, though only the values became smaller", harness.core.store.MaxWrites())
			}
			if tc.bytes < 16384 && harness.core.settings.Deployment.Store.Next == nil {
				// A controller that starts now learns it from the records.
				harness.core.store = kv.NewClient(storeTransport{harness.core}, &harness.core.settings.Deployment)
				recordedTasks(harness, jobID(0), 300)
				if harness.core.store.MaxPlacementValue() != kv.SmallValue {
					t.Errorf("a next leader writes records of %d bytes", harness.core.store.MaxPlacementValue())
				}
			}
		})
	}
}

// longJob is a job whose description takes 5 KiB.
func longJob(id string, tasks int) wire.Job {
	var types []string
	for n := range 300 {
		types = append(types, fmt.Sprintf("type-%09d", n))
	}
	return wire.Job{
		ID: id, Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle,
		Tasks: tasks, CPUs: 4, MemGB: 1, MachineTypes: append(types, "small"),
	}
}

// TestLongDescriptionCancelled cancels a job whose open record is larger than the store takes by
// now: the request is recorded without what only a job that is to run needs, the job and its
// dependents end, and hardly a write is rejected.
func TestLongDescriptionCancelled(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings func(*config.Settings)
		most     int
	}{{"announced", withAnnouncedLimits(5), 0}, {"silent", withoutAnnouncement, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, longJob(jobID(1), 40), nil)
			addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
			job := leader.Jobs[jobID(1)]
			placeAndRecord(leader, job, 0, 1)
			harness.run(time.Second)
			rejected := lowerLimits(harness, 5, 2048)
			var request records.Open // with the request
			harness.afterCommit = func() {
				if !harness.hasEnded(jobID(1)) {
					request = harness.openRecord(jobID(1))
				}
			}
			harness.nextReq++
			harness.step(Request{ID: harness.nextReq, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			harness.run(3 * time.Second)
			if !request.Cancelled || request.Job.Tasks != 40 || request.Job.Team != "vision" || request.Job.CPUs != 4 || request.Job.Class != "c" {
				t.Fatalf("recorded %+v", request)
			}
			if !harness.hasEnded(jobID(2)) {
				t.Error("its dependent has not ended")
			}
			if !harness.hasEnded(jobID(1)) || harness.store[records.OpenKey(jobID(1))].Key != "" {
				t.Error("the job has not ended")
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
		})
	}
}

// TestLongDescriptionRuns runs a job whose open record is larger than the store takes by
// now: its tasks are placed and recorded, and other jobs' records are not held up. So do jobs
// whose placement records change their layout.
func TestLongDescriptionRuns(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings func(*config.Settings)
		most     int
	}{{"announced", withAnnouncedLimits(5), 0}, {"silent", withoutAnnouncement, 16}} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
			long := longJob(jobID(2), 40)
			long.Dependencies = []string{jobID(1)}
			addRecord(harness, leader, long, nil)
			addRecord(harness, leader, longJob(jobID(3), 100), nil)
			other := leader.Jobs[jobID(3)]
			placeAndRecord(leader, other, 0, 100)
			harness.run(time.Second)
			rejected := lowerLimits(harness, 5, 2048)
			if harness.core.settings.Deployment.Store.Next != nil {
				leader.writer.AllowNamedRanges() // as once every controller reads them
			}
			placeAndRecord(leader, leader.Jobs[jobID(3)], 90, 100) // again, elsewhere
			addRecord(harness, leader, wire.Job{ID: jobID(4)}, nil)
			leader.markDone(leader.Jobs[jobID(1)], 0)
			leader.markDone(leader.Jobs[jobID(4)], 0)
			harness.run(20 * time.Second)
			if !harness.hasEnded(jobID(1)) || !harness.hasEnded(jobID(4)) {
				t.Fatal("the ends of other jobs are not recorded")
			}
			job := leader.Jobs[jobID(2)]
			if job.AwaitingDependencies || len(job.PendingTasks()) != 40 {
				t.Errorf("it does not run: waits %v, %d tasks may be placed", job.AwaitingDependencies, len(job.PendingTasks()))
			}
			for i := range other.TaskStates {
				if !other.TaskStates[i].Persisted {
					t.Fatalf("task %d is not recorded", i)
				}
			}
			if got := recordedTasks(harness, jobID(3), 100); got != 100 {
				t.Errorf("a next leader finds %d tasks placed", got)
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
			// The next leader learns it by itself.
			next := nextLeader(harness, leader, "")
			if k := next.Jobs[jobID(2)]; k.AwaitingDependencies && !k.DependenciesDone {
				t.Error("it waits again under the next leader")
			}
		})
	}
}

// TestLongDescriptionsRun runs many such jobs together. With two of them in one
// transaction, nobody can tell which one is rejected.
func TestLongDescriptionsRun(t *testing.T) {
	harness, leader := newLeadingHarness(t, withoutAnnouncement)
	addRecord(harness, leader, wire.Job{ID: jobID(0)}, nil)
	for n := range 9 {
		long := longJob(jobID(1+n), 1)
		if n%3 == 2 {
			long.MachineTypes = nil
		}
		long.Dependencies = []string{jobID(0)}
		addRecord(harness, leader, long, nil)
	}
	rejected := lowerLimits(harness, 5, 2048)
	leader.markDone(leader.Jobs[jobID(0)], 0)
	harness.run(20 * time.Second)
	for n := range 9 {
		if leader.Jobs[jobID(1+n)].AwaitingDependencies {
			t.Errorf("%s does not become ready", jobID(1+n))
		}
	}
	if *rejected > 70 {
		t.Errorf("%d transactions rejected", *rejected)
	}
}

// TestPoisonedRecord makes the store reject whatever concerns one job, for a reason that this
// program knows nothing of: it is retried less and less often, and the others' records are
// written.
func TestPoisonedRecord(t *testing.T) {
	harness, leader := newLeadingHarness(t, withoutAnnouncement)
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
			t.Errorf("%s has ended: %v", jobID(n), harness.hasEnded(jobID(n)))
		}
	}
	if rejected > 20 {
		t.Errorf("%d transactions rejected in 120 s", rejected)
	}
}

// TestLongDescriptionHasDependents submits dependents of a job whose open record is larger than the
// store takes by now. They are accepted though it cannot be marked as having dependents. Its
// cancellation is recorded as that of a job with dependents, and cancels them as well.
func TestLongDescriptionHasDependents(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings func(*config.Settings)
		others   int  // further unfinished dependencies
		late     bool // the leader learns of the dependent after the job's end
		most     int
	}{
		{"announced", withAnnouncedLimits(5), 0, false, 0},
		{"silent", withoutAnnouncement, 0, false, 2},
		{"among more than a transaction marks", withAnnouncedLimits(5), 9, false, 0},
		{"silent, among more than a transaction marks", withoutAnnouncement, 9, false, 6},
		{"the leader learns of the dependent late", withAnnouncedLimits(5), 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			harness, leader := newLeadingHarness(t, tc.settings)
			addRecord(harness, leader, longJob(jobID(1), 40), nil)
			placeAndRecord(leader, leader.Jobs[jobID(1)], 0, 1)
			names := []string{`"` + jobID(1) + `"`}
			for n := range tc.others {
				addRecord(harness, leader, wire.Job{ID: jobID(10 + n)}, nil)
				names = append(names, `"`+jobID(10+n)+`"`)
			}
			harness.run(time.Second)
			rejected := lowerLimits(harness, 5, 2048)
			var request records.Open
			harness.afterCommit = func() {
				if !harness.hasEnded(jobID(1)) {
					request = harness.openRecord(jobID(1))
				}
			}
			dependent := jobID(2)
			if a := harness.request("POST", "/submissions", submissionWithDependencies(2, "["+strings.Join(names, ",")+"]")); a.Status != 201 {
				t.Fatalf("the dependent is answered %d %s", a.Status, a.Body)
			}
			if request.HasDependents {
				t.Error("a record that is too large was written")
			}
			learn := func() {
				item, open := harness.store[records.OpenKey(dependent)]
				if !open {
					t.Fatal("the dependent has no open record")
				}
				leader.applyOpenRecord(dependent, item.Version, harness.openRecord(dependent))
			}
			if !tc.late {
				learn()
			}
			harness.nextReq++
			harness.step(Request{ID: harness.nextReq, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			harness.run(3 * time.Second)
			if tc.late {
				learn()
				harness.run(time.Second)
			}
			if !request.Cancelled || !request.HasDependents {
				t.Errorf("the cancellation is recorded as %+v", request)
			}
			for _, id := range []string{jobID(1), dependent} {
				if final := string(harness.store[records.FinalKey(id)].Value); !strings.Contains(final, string(wire.StatusCancelled)) {
					t.Errorf("%s ended as %q", id, final)
				}
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
		})
	}
}
