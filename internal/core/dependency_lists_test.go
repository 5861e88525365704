package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/dependencylist"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// longListLength is how many dependencies the tests below have: several times what a record holds
// under smallLimits.
const longListLength = 400

// smallLimits lowers the store's limits to 2 KB in a value and 5 writes in a transaction.
func smallLimits(s *config.Settings) {
	s.Deployment.Store.ValueKB, s.Deployment.Store.TxnOps = 2, 5
}

// jsonNames is a list of names as a submission holds it.
func jsonNames(names []string) string { return string(kv.Encode(names)) }

// openJobs puts open jobs on record and returns their names.
func openJobs(harness *harness, count int) []string {
	var names []string
	for n := range count {
		rec := records.Open{SubmittedAt: harness.core.wallClockMS, Job: wire.Job{
			ID: jobID(1000 + n), Class: "c", Team: "vision", Shape: wire.ShapeArray,
			Priority: wire.PriorityIdle, Tasks: 1, CPUs: 1, MemGB: 1,
		}}
		harness.write(records.OpenKey(rec.Job.ID), "", kv.Encode(rec))
		names = append(names, rec.Job.ID)
	}
	return names
}

// listKeys are the keys of the list records that exist.
func (h *harness) listKeys() (keys []string) {
	for _, key := range sortedKeys(h.store) {
		if strings.HasPrefix(key, records.PrefixDependencyList) {
			keys = append(keys, key)
		}
	}
	return keys
}

// requestWithRetry repeats a submission as users do, until it is accepted.
func (h *harness) requestWithRetry(text string) Answer {
	var a Answer
	for range 20 {
		if a = h.request("POST", "/submissions", text); a.Status != 503 {
			return a
		}
		h.run(time.Second)
	}
	return a
}

// submitLongList submits a job with longListLength dependencies.
func submitLongList(t *testing.T, harness *harness) (id string, names []string) {
	t.Helper()
	smallLimits(harness.core.settings)
	names = openJobs(harness, longListLength)
	id = jobID(9)
	if a := harness.requestWithRetry(submissionWithDependencies(9, jsonNames(names))); a.Status != 201 {
		t.Fatalf("answered %d %s", a.Status, a.Body)
	}
	return id, names
}

// TestLongListIsAccepted spreads a list over records within the store's limits, marks all
// dependencies as having dependents, and recognizes a repeated submission.
func TestLongListIsAccepted(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, names := submitLongList(t, harness)
	recorded := harness.openRecord(id).Job.Dependencies
	ref, ok := records.ParseDependencyListRef(recorded)
	if !ok {
		t.Fatalf("recorded as %q", recorded)
	}
	if keys := harness.listKeys(); !slices.Equal(keys, slices.Sorted(slices.Values(ref.Keys()))) {
		t.Errorf("list records %q, the job refers to %q", keys, ref.Keys())
	}
	var got []string
	for _, key := range ref.Keys() {
		var record dependencylist.Record
		if err := stdjson.Unmarshal(harness.store[key].Value, &record); err != nil {
			t.Fatal(err)
		}
		got = append(got, record.Names...)
	}
	if !slices.Equal(got, names) {
		t.Errorf("%d names on record, want %d", len(got), len(names))
	}
	for key, item := range harness.store {
		if len(item.Value) > 2<<10 {
			t.Errorf("%s has %d bytes", key, len(item.Value))
		}
	}
	for _, name := range names {
		if !strings.Contains(string(harness.store[records.OpenKey(name)].Value), `"nd":true`) {
			t.Fatalf("%s is not marked as having dependents", name)
		}
	}
	commits := len(harness.commits)
	if a := harness.request("POST", "/submissions", submissionWithDependencies(9, jsonNames(names))); a.Status != 200 {
		t.Errorf("the repeat is answered %d %s", a.Status, a.Body)
	}
	if len(harness.listKeys()) != ref.Records || len(harness.commits) > commits+2 {
		t.Error("the repeat writes a list of its own")
	}
}

// TestLongListMeetsLostAnswers loses the answer to each transaction in turn, carried out or not:
// the job is accepted once, with its whole list.
func TestLongListMeetsLostAnswers(t *testing.T) {
	for name, send := range map[string]func(carryOut func() int){
		"carried out":     func(carryOut func() int) { carryOut() },
		"not carried out": func(func() int) {},
	} {
		for lost := range 4 { // three with list records, one with the job
			t.Run(fmt.Sprintf("transaction %d/%s", lost, name), func(t *testing.T) {
				harness := newHarness(t, testMachineTypes)
				harness.core.settings.Deployment.Store.ValueKB, harness.core.settings.Deployment.Store.TxnOps = 1, 2
				names := openJobs(harness, 300)
				answersLost := loseAnswer(harness, lost, send)
				if a := harness.requestWithRetry(submissionWithDependencies(9, jsonNames(names))); a.Status != 201 && a.Status != 200 {
					t.Fatalf("answered %d %s", a.Status, a.Body)
				}
				recorded := harness.openRecord(jobID(9)).Job.Dependencies
				ref, ok := records.ParseDependencyListRef(recorded)
				for _, key := range ref.Keys() {
					if harness.store[key].Key == "" {
						t.Errorf("%s is missing", key)
					}
				}
				if !ok || *answersLost != 1 {
					t.Errorf("recorded as %q, %d answers lost", recorded, *answersLost)
				}
			})
		}
	}
}

// loseAnswer loses the answer to a transaction, counted from the first one that writes list
// records; send carries it out or not. It returns how many answers are lost so far.
func loseAnswer(harness *harness, number int, send func(carryOut func() int)) *int {
	lost, next, begun := new(int), 0, false
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		begun = begun || slices.ContainsFunc(txn.Writes, func(w wire.Write) bool {
			return strings.HasPrefix(w.Put, records.PrefixDependencyList)
		})
		if !begun {
			return carryOut()
		}
		next++
		if next-1 != number {
			return carryOut()
		}
		*lost++
		send(carryOut)
		return 0
	}
	return lost
}

// TestLongListWaitsForUpgrade asks the user to retry while a controller runs a version that cannot
// read dependency lists, and writes none.
func TestLongListWaitsForUpgrade(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	smallLimits(harness.core.settings)
	names := openJobs(harness, 150)
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersionDependencyLists - 1}}})
	harness.run(3 * time.Second)
	var a Answer
	for range 8 {
		a = harness.request("POST", "/submissions", submissionWithDependencies(9, jsonNames(names)))
		harness.run(time.Second)
	}
	if a.Status != 503 || a.RetryAfterS == 0 || len(harness.listKeys()) > 0 {
		t.Errorf("answered %d %s, %d list records", a.Status, a.Body, len(harness.listKeys()))
	}
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersionDependencyLists}}})
	if a := harness.requestWithRetry(submissionWithDependencies(9, jsonNames(names))); a.Status != 201 {
		t.Errorf("after the upgrade: %d %s", a.Status, a.Body)
	}
}

// leadWithRecords makes the core of a harness lead, with the records in the store.
func leadWithRecords(harness *harness) *leader {
	harness.write(election.KeyTerm, "", []byte("5"))
	leader := harness.lead()
	leader.loader.RetryOnNextTick(leader.loader.Load)
	harness.run(time.Second)
	return leader
}

// recordEnd records a job's end as an earlier leader would.
func (h *harness) recordEnd(id string, status wire.JobState) {
	h.write(records.FinalKey(id), records.OpenKey(id), kv.Encode(records.Final{Status: status, Tasks: 1}))
}

// TestLongListDelaysJob lets a new leader read a list from its records: the job is ready when the
// last dependency is done, no earlier, and its end deletes the list.
func TestLongListDelaysJob(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, names := submitLongList(t, harness)
	for _, name := range names[1:] {
		harness.recordEnd(name, wire.StatusDone)
	}
	harness.core.jobCache.RemoveAllOpen()
	leader := leadWithRecords(harness)
	harness.run(10 * time.Second)
	job := leader.Jobs[id]
	if job == nil || !job.AwaitingDependencies || job.Record.ReadyAt != 0 || len(job.PendingTasks()) > 0 {
		t.Fatalf("with one job not done it does not wait: %+v", job)
	}
	first := leader.Jobs[names[0]]
	leader.markDone(first, 0)
	harness.run(2 * time.Second)
	if job.AwaitingDependencies || len(job.PendingTasks()) == 0 {
		t.Fatal("with all of them done it does not become ready")
	}
	for i := range job.TaskStates {
		leader.markDone(job, i)
	}
	harness.run(5 * time.Second)
	if harness.store[records.FinalKey(id)].Key == "" || len(harness.listKeys()) > 0 {
		t.Errorf("over: %v, list records left: %q", harness.store[records.FinalKey(id)].Key != "", harness.listKeys())
	}
}

// TestLongListIsCancelled cancels a job named in the last record of a list, before
// and after the leader has begun.
func TestLongListIsCancelled(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the leader %v", before), func(t *testing.T) {
			harness := newHarness(t, testMachineTypes)
			id, names := submitLongList(t, harness)
			last := names[len(names)-1]
			harness.afterCommit = func() {
				if harness.store[records.FinalKey(last)].Key != "" && harness.store[records.OpenKey(id)].Key != "" {
					t.Error("its end is on record before that of its dependent")
				}
			}
			if before {
				harness.requestCancellation(last, harness.core.wallClockMS)
			}
			leader := leadWithRecords(harness)
			if !before {
				record := harness.requestCancellation(last, harness.core.wallClockMS)
				leader.applyOpenRecord(last, harness.store[records.OpenKey(last)].Version, record)
			}
			harness.run(5 * time.Second)
			if final := string(harness.store[records.FinalKey(id)].Value); !strings.Contains(final, string(wire.StatusCancelled)) || len(harness.listKeys()) > 0 {
				t.Errorf("ended as %q, list records left: %d", final, len(harness.listKeys()))
			}
		})
	}
}

// TestUnreadListDelaysEnds keeps a cancelled job with dependents from ending while a list is not
// read that may name it.
func TestUnreadListDelaysEnds(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, names := submitLongList(t, harness)
	leader := leadWithRecords(harness)
	leader.dependencyLists.unread[id] = noRetry
	record := harness.requestCancellation(names[0], harness.core.wallClockMS)
	leader.dependencies.DropDependencies(id)
	leader.applyOpenRecord(names[0], harness.store[records.OpenKey(names[0])].Version, record)
	harness.run(5 * time.Second)
	if harness.store[records.FinalKey(names[0])].Key != "" {
		t.Error("its end is on record while a list that may name it is not read")
	}
}

// TestAbandonedListsAreCleared deletes the records of attempts that led to no job: not of those
// that may still lead to one, nor the list of an accepted job. A transaction of such an attempt
// that is carried out late has no effect.
func TestAbandonedListsAreCleared(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, _ := submitLongList(t, harness)
	accepted := len(harness.listKeys())
	record := func(key string, age time.Duration) {
		harness.write(key, "", kv.Encode(dependencylist.Record{StartedAtMS: harness.core.wallClockMS - age.Milliseconds(), Names: []string{jobID(1000)}}))
	}
	old := time.Duration(0)
	for _, key := range []string{"a/job-7/x-1/0", "a/job-7/x-1/1", "a/job-7/x-1/10", "a/job-7/x-1/2", "a/job-7/x-1/3", "a/job-7/x-1/4", "a/job-7/x-1/5"} {
		record(key, old)
	}
	first := harness.store["a/job-7/x-1/0"].Version
	record("a/job-7/x-2/0", -harness.core.listCleanupInterval())
	record("a/job-8/y-1/3", old) // its first record is deleted
	leadWithRecords(harness)
	harness.run(harness.core.listCleanupInterval() + 5*time.Second)
	var left []string
	for _, key := range harness.listKeys() {
		if !strings.HasPrefix(key, records.PrefixDependencyList+id+"/") {
			left = append(left, key)
		}
	}
	if !slices.Equal(left, []string{"a/job-7/x-2/0"}) || len(harness.listKeys()) != accepted+1 {
		t.Errorf("left: %q, and %d records of the accepted job, want %d", left, len(harness.listKeys())-len(left), accepted)
	}
	list := dependencylist.NewWriter("job-7", "x-1", make([]dependencylist.Record, 12))
	list.MarkCommitted(list.NextTxn(11), first)
	if status, _ := harness.commit(kv.Encode(list.NextTxn(5))); status != 409 {
		t.Errorf("a late list record is answered %d, want 409", status)
	}
}

// TestLateAcceptanceOfAbandonedList delays the transaction that accepts a job until its list
// is deleted as abandoned: it is not carried out then, or the job would lack its list.
func TestLateAcceptanceOfAbandonedList(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	smallLimits(harness.core.settings)
	names := openJobs(harness, longListLength)
	var acceptance []byte
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		for _, w := range txn.Writes {
			if w.Put == records.OpenKey(jobID(9)) {
				acceptance = kv.Encode(txn)
				return 503
			}
		}
		return carryOut()
	}
	for range 20 {
		if a := harness.request("POST", "/submissions", submissionWithDependencies(9, jsonNames(names))); a.Status != 503 {
			t.Fatalf("answered %d %s", a.Status, a.Body)
		}
		if acceptance != nil {
			break
		}
		harness.run(time.Second)
	}
	if acceptance == nil || len(harness.listKeys()) == 0 {
		t.Fatal("no acceptance with a list was sent")
	}
	leadWithRecords(harness)
	harness.run(harness.core.listCleanupInterval() + harness.core.abandonedListAge())
	if left := harness.listKeys(); len(left) != 0 {
		t.Fatalf("left: %q", left)
	}
	if status, _ := harness.commit(acceptance); status != 409 {
		t.Errorf("a late acceptance is answered %d, want 409", status)
	}
}

// TestClearingIsConditional deletes by a listing that is out of date: a job has been accepted
// since, or the first record of an attempt written. Neither loses a record.
func TestClearingIsConditional(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	leader := leadWithRecords(harness)
	accepted, begun := "a/job-7/x-1/", "a/job-8/y-1/"
	for _, prefix := range []string{accepted, begun} {
		for _, n := range []string{"0", "1"} {
			harness.write(prefix+n, "", kv.Encode(dependencylist.Record{Names: []string{jobID(1000)}}))
		}
	}
	harness.write(records.OpenKey("job-7"), "", kv.Encode(records.Open{Job: wire.Job{ID: "job-7", Tasks: 1, Dependencies: []string{accepted + "2"}}}))
	leader.loader.RetryOnNextTick(func() {
		leader.deleteAbandonedLists([]dependencylist.Attempt{
			{Ref: records.DependencyListRef{Prefix: accepted}, Job: "job-7", FirstVersion: harness.store[accepted+"0"].Version, Keys: []string{accepted + "0", accepted + "1"}},
			{Ref: records.DependencyListRef{Prefix: begun}, Job: "job-8", Keys: []string{begun + "1"}},
		})
	})
	harness.run(time.Second)
	if keys := harness.listKeys(); len(keys) != 4 {
		t.Errorf("left: %q", keys)
	}
}

// TestManyUnknownNames looks up the jobs of a long list, none of which the controller remembers,
// without using all capacity for users' queries.
func TestManyUnknownNames(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	names := openJobs(harness, longListLength)
	harness.core.settings.Deployment.MachineLimits.MaxConnections = 40
	harness.core.jobCache.RemoveAllOpen()
	longest := 0
	harness.afterStep = func() { longest = max(longest, harness.core.frontEnd.QueuedLookups()) }
	if a := harness.requestWithRetry(submissionWithDependencies(9, jsonNames(names))); a.Status != 201 {
		t.Fatalf("answered %d %s", a.Status, a.Body)
	}
	if longest > 20 {
		t.Errorf("%d lookups at a time", longest)
	}
}
