package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	stdjson "encoding/json"

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
func lowerLimits(b *harness, maxWrites, maxValue int) *int {
	rejected := new(int)
	b.intercept = func(txn *wire.Txn, carryOut func() int) int {
		if len(txn.Writes) > maxWrites || len(txn.Conditions) > 4*maxWrites || largestValueBytes(txn) > maxValue {
			*rejected++
			return 400
		}
		return carryOut()
	}
	return rejected
}

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

func withoutAnnouncement(*config.Settings) {}

// placeAndRecord places tasks of a job on machines of its own and records them.
func placeAndRecord(l *leader, j *cluster.Job, from, to int) {
	for i := from; i < to; i++ {
		j.TaskStates[i] = cluster.Task{Attempt: j.NextAttempt, Zone: "a", Incarnation: 1, PlacedThisTerm: true}
		j.NextAttempt++
		l.place(j, i, l.machineNamed(fmt.Sprintf("n-%s-%06d", j.ID, i)))
		l.writer.MarkPlacement(j, i)
	}
}

// recordedTasks counts the tasks of a job that a next leader would find placed.
func recordedTasks(b *harness, id string, tasks int) int {
	l := newLeader(b.core, election.Leadership{Term: 5, TermVersion: b.store[election.KeyTerm].Version, Lease: 1})
	l.applyOpenRecord(id, b.store[records.OpenKey(id)].Version, b.openRecord(id))
	var found []persistence.LoadedPlacement
	for _, key := range sortedKeys(b.store) {
		if r, ok := records.ParsePlacementKey(key, l.writer.TasksPerNumberedRecord()); strings.HasPrefix(key, records.PrefixPlacement) && ok && r.Job == id {
			var rec records.Placement
			if err := stdjson.Unmarshal(b.store[key].Value, &rec); err != nil {
				b.t.Fatalf("%s: %v", key, err)
			}
			found = append(found, persistence.LoadedPlacement{PlacementRange: r, Key: key, Version: b.store[key].Version, Record: rec})
		}
	}
	l.writer.Adopt(l.Jobs[id], found)
	n := 0
	for i := range tasks {
		if l.Jobs[id].TaskStates[i].Machine != nil {
			n++
		}
	}
	return n
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
			b, l := newLeadingHarness(t, tc.settings)
			for n := range 6 {
				addRecord(b, l, wire.Job{ID: jobID(n), Tasks: 300}, nil)
				j := l.Jobs[jobID(n)]
				// As an earlier version records: numbered, as large as they are now.
				j.PlacementRecords, j.Numbered = nil, true
				for from := 0; from < 300; from += 128 {
					j.PlacementRecords = append(j.PlacementRecords, cluster.PlacementRecord{Key: records.NumberedKey(j.ID, from/128), From: from, To: min(from+128, 300)})
				}
				for i := range j.PlacementRecords {
					ch := &j.PlacementRecords[i]
					placeAndRecord(l, j, ch.From, ch.To)
					body, _ := persistence.EncodePlacement(j, ch)
					b.write(ch.Key, "", body)
					ch.Version, ch.Dirty = b.store[ch.Key].Version, false
				}
				for i := range j.TaskStates {
					j.TaskStates[i].Persisted = true
				}
			}
			addRecord(b, l, wire.Job{ID: jobID(8)}, nil)
			addRecord(b, l, wire.Job{ID: jobID(9), Dependencies: []string{jobID(8)}}, nil)
			rejected := lowerLimits(b, tc.ops, tc.bytes)
			if b.core.settings.Deployment.Store.Next != nil {
				l.writer.AllowNamedRanges() // as once every controller reads them
			}
			for n := range 6 {
				j := l.Jobs[jobID(n)]
				for i := 0; i < 300; i += 7 {
					j.TaskStates[i].Attempt, j.TaskStates[i].Persisted = j.NextAttempt, false
					j.NextAttempt++
					l.writer.MarkPlacement(j, i)
				}
			}
			l.markDone(l.Jobs[jobID(8)], 0)
			b.run(20 * time.Second)
			for n := range 6 {
				j := l.Jobs[jobID(n)]
				for i := range j.TaskStates {
					if !j.TaskStates[i].Persisted {
						t.Fatalf("task %d of %s is not recorded", i, j.ID)
					}
				}
				if got := recordedTasks(b, j.ID, 300); got != 300 {
					t.Errorf("a next leader finds %d tasks of %s placed", got, j.ID)
				}
			}
			if !b.hasEnded(jobID(8)) || !strings.Contains(string(b.store[records.OpenKey(jobID(9))].Value), `"ra":`) {
				t.Error("the job that is done has not ended, or its dependent does not go on")
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
			if tc.ops == 16 && b.core.store.MaxWrites() != 16 {
				t.Errorf("transactions keep to %d writes, though only the values became smaller", b.core.store.MaxWrites())
			}
			if tc.bytes < 16384 && b.core.settings.Deployment.Store.Next == nil {
				// A controller that starts now learns it from the records.
				b.core.store = kv.NewClient(storeTransport{b.core}, &b.core.settings.Deployment)
				recordedTasks(b, jobID(0), 300)
				if b.core.store.MaxPlacementValue() != kv.SmallValue {
					t.Errorf("a next leader writes records of %d bytes", b.core.store.MaxPlacementValue())
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
			b, l := newLeadingHarness(t, tc.settings)
			addRecord(b, l, longJob(jobID(1), 40), nil)
			addRecord(b, l, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
			j := l.Jobs[jobID(1)]
			placeAndRecord(l, j, 0, 1)
			b.run(time.Second)
			rejected := lowerLimits(b, 5, 2048)
			var rec records.Open // with the request
			b.afterCommit = func() {
				if !b.hasEnded(jobID(1)) {
					rec = b.openRecord(jobID(1))
				}
			}
			b.nextReq++
			b.step(Request{ID: b.nextReq, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			b.run(3 * time.Second)
			if !rec.Cancelled || rec.Job.Tasks != 40 || rec.Job.Team != "vision" || rec.Job.CPUs != 4 || rec.Job.Class != "c" {
				t.Fatalf("recorded %+v", rec)
			}
			if !b.hasEnded(jobID(2)) {
				t.Error("its dependent has not ended")
			}
			if !b.hasEnded(jobID(1)) || b.store[records.OpenKey(jobID(1))].Key != "" {
				t.Error("the job has not ended")
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
		})
	}
}

// TestLongDescriptionGoesOn lets a job go on whose open record is larger than the store takes by
// now: its tasks are placed and recorded, and other jobs' records are not held up. So do jobs
// whose placement records change their layout.
func TestLongDescriptionGoesOn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings func(*config.Settings)
		most     int
	}{{"announced", withAnnouncedLimits(5), 0}, {"silent", withoutAnnouncement, 16}} {
		t.Run(tc.name, func(t *testing.T) {
			b, l := newLeadingHarness(t, tc.settings)
			addRecord(b, l, wire.Job{ID: jobID(1)}, nil)
			long := longJob(jobID(2), 40)
			long.Dependencies = []string{jobID(1)}
			addRecord(b, l, long, nil)
			addRecord(b, l, longJob(jobID(3), 100), nil)
			other := l.Jobs[jobID(3)]
			placeAndRecord(l, other, 0, 100)
			b.run(time.Second)
			rejected := lowerLimits(b, 5, 2048)
			if b.core.settings.Deployment.Store.Next != nil {
				l.writer.AllowNamedRanges() // as once every controller reads them
			}
			placeAndRecord(l, l.Jobs[jobID(3)], 90, 100) // again, elsewhere
			addRecord(b, l, wire.Job{ID: jobID(4)}, nil)
			l.markDone(l.Jobs[jobID(1)], 0)
			l.markDone(l.Jobs[jobID(4)], 0)
			b.run(20 * time.Second)
			if !b.hasEnded(jobID(1)) || !b.hasEnded(jobID(4)) {
				t.Fatal("the ends of other jobs are not recorded")
			}
			j := l.Jobs[jobID(2)]
			if j.Waiting || len(j.PendingTasks()) != 40 {
				t.Errorf("it does not go on: waits %v, %d tasks may be placed", j.Waiting, len(j.PendingTasks()))
			}
			for i := range other.TaskStates {
				if !other.TaskStates[i].Persisted {
					t.Fatalf("task %d is not recorded", i)
				}
			}
			if got := recordedTasks(b, jobID(3), 100); got != 100 {
				t.Errorf("a next leader finds %d tasks placed", got)
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
			// The next leader learns it by itself.
			next := nextLeader(b, l, "")
			if k := next.Jobs[jobID(2)]; k.Waiting && !k.DependenciesDone {
				t.Error("it waits again under the next leader")
			}
		})
	}
}

// TestLongDescriptionsGoOn lets many such jobs go on together. With two of them in one
// transaction, nobody can tell which one is rejected.
func TestLongDescriptionsGoOn(t *testing.T) {
	b, l := newLeadingHarness(t, withoutAnnouncement)
	addRecord(b, l, wire.Job{ID: jobID(0)}, nil)
	for n := range 9 {
		long := longJob(jobID(1+n), 1)
		if n%3 == 2 {
			long.MachineTypes = nil
		}
		long.Dependencies = []string{jobID(0)}
		addRecord(b, l, long, nil)
	}
	rejected := lowerLimits(b, 5, 2048)
	l.markDone(l.Jobs[jobID(0)], 0)
	b.run(20 * time.Second)
	for n := range 9 {
		if l.Jobs[jobID(1+n)].Waiting {
			t.Errorf("%s does not go on", jobID(1+n))
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
	b, l := newLeadingHarness(t, withoutAnnouncement)
	rejected := 0
	b.intercept = func(txn *wire.Txn, carryOut func() int) int {
		for _, w := range txn.Writes {
			if strings.Contains(w.Put+w.Delete, jobID(3)) {
				rejected++
				return 400
			}
		}
		return carryOut()
	}
	for n := range 8 {
		addRecord(b, l, wire.Job{ID: jobID(n)}, nil)
		l.markDone(l.Jobs[jobID(n)], 0)
	}
	b.run(120 * time.Second)
	for n := range 8 {
		if b.hasEnded(jobID(n)) != (n != 3) {
			t.Errorf("%s has ended: %v", jobID(n), b.hasEnded(jobID(n)))
		}
	}
	if rejected > 20 {
		t.Errorf("%d transactions rejected in 120 s", rejected)
	}
}

// TestLongDescriptionIsAwaited submits dependents of a job whose open record is larger than the
// store takes by now. They are accepted though it cannot be marked as having dependents. Its
// cancellation is recorded as that of a job with dependents, and cancels them as well.
func TestLongDescriptionIsAwaited(t *testing.T) {
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
			b, l := newLeadingHarness(t, tc.settings)
			addRecord(b, l, longJob(jobID(1), 40), nil)
			placeAndRecord(l, l.Jobs[jobID(1)], 0, 1)
			names := []string{`"` + jobID(1) + `"`}
			for n := range tc.others {
				addRecord(b, l, wire.Job{ID: jobID(10 + n)}, nil)
				names = append(names, `"`+jobID(10+n)+`"`)
			}
			b.run(time.Second)
			rejected := lowerLimits(b, 5, 2048)
			var request records.Open
			b.afterCommit = func() {
				if !b.hasEnded(jobID(1)) {
					request = b.openRecord(jobID(1))
				}
			}
			dependent := jobID(2)
			if a := b.request("POST", "/submissions", submissionAwaiting(2, "["+strings.Join(names, ",")+"]")); a.Status != 201 {
				t.Fatalf("the dependent is answered %d %s", a.Status, a.Body)
			}
			if request.HasDependents {
				t.Error("a record that is too large was written")
			}
			learn := func() {
				item, open := b.store[records.OpenKey(dependent)]
				if !open {
					t.Fatal("the dependent has no open record")
				}
				l.applyOpenRecord(dependent, item.Version, b.openRecord(dependent))
			}
			if !tc.late {
				learn()
			}
			b.nextReq++
			b.step(Request{ID: b.nextReq, Method: "POST", Path: "/submissions/" + jobID(1) + "/cancel"})
			b.run(3 * time.Second)
			if tc.late {
				learn()
				b.run(time.Second)
			}
			if !request.Cancelled || !request.HasDependents {
				t.Errorf("the cancellation is recorded as %+v", request)
			}
			for _, id := range []string{jobID(1), dependent} {
				if final := string(b.store[records.FinalKey(id)].Value); !strings.Contains(final, string(wire.StatusCancelled)) {
					t.Errorf("%s ended as %q", id, final)
				}
			}
			if *rejected > tc.most {
				t.Errorf("%d transactions rejected, want at most %d", *rejected, tc.most)
			}
		})
	}
}
