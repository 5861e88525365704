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

// longListLength is the number of dependencies in the tests below: several times as many as fit
// into one record under lowerSettingsLimits.
const longListLength = 400

// lowerSettingsLimits sets the store's limits to 2 KB per value and 5 writes per transaction.
func lowerSettingsLimits(s *config.Settings) {
	s.Deployment.Store.ValueKB, s.Deployment.Store.TxnOps = 2, 5
}

// encodeNames returns a list of names in the JSON form of a submission.
func encodeNames(names []string) string { return string(kv.Encode(names)) }

// addOpenRecords stores open records of a number of jobs and returns their IDs.
func addOpenRecords(harness *harness, count int) []string {
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

// listKeys returns the keys of the list records in the store.
func (h *harness) listKeys() (keys []string) {
	for _, key := range sortedKeys(h.store) {
		if strings.HasPrefix(key, records.PrefixDependencyList) {
			keys = append(keys, key)
		}
	}
	return keys
}

// requestWithRetry repeats a submission as users do, until the answer is not 503.
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
	lowerSettingsLimits(harness.core.settings)
	names = addOpenRecords(harness, longListLength)
	id = jobID(9)
	if a := harness.requestWithRetry(submissionWithDependencies(9, encodeNames(names))); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	return id, names
}

// TestLongListIsAccepted checks that a long list is split into records within the store's limits,
// that all dependencies are marked as having dependents, and that a repeated submission is
// recognized.
func TestLongListIsAccepted(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, names := submitLongList(t, harness)
	recorded := harness.openRecord(id).Job.Dependencies
	ref, ok := records.ParseDependencyListRef(recorded)
	if !ok {
		t.Fatalf("recorded dependencies: got %q, want a reference to a list", recorded)
	}
	if keys := harness.listKeys(); !slices.Equal(keys, slices.Sorted(slices.Values(ref.Keys()))) {
		t.Errorf("keys of list records: got %q, want those that the job refers to, %q", keys, ref.Keys())
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
		t.Errorf("recorded list: got %d names, want the %d submitted ones in order", len(got), len(names))
	}
	for key, item := range harness.store {
		if len(item.Value) > 2<<10 {
			t.Errorf("value of %s: got %d bytes, want at most 2048", key, len(item.Value))
		}
	}
	for _, name := range names {
		if !strings.Contains(string(harness.store[records.OpenKey(name)].Value), `"nd":true`) {
			t.Fatalf("%s is not marked as having dependents", name)
		}
	}
	commits := len(harness.commits)
	if a := harness.request("POST", "/submissions", submissionWithDependencies(9, encodeNames(names))); a.Status != 200 {
		t.Errorf("repeated submission: got %d %s, want 200", a.Status, a.Body)
	}
	if len(harness.listKeys()) != ref.Records || len(harness.commits) > commits+2 {
		t.Error("the repeated submission has written another list")
	}
}

// TestLongListSurvivesLostResponses loses the response to each transaction in turn, with the
// transaction committed or not. The job must be accepted once, with its whole list.
func TestLongListSurvivesLostResponses(t *testing.T) {
	for name, send := range map[string]func(carryOut func() int){
		"committed":     func(carryOut func() int) { carryOut() },
		"not committed": func(func() int) {},
	} {
		for lost := range 4 { // three with list records, one with the job
			t.Run(fmt.Sprintf("transaction %d/%s", lost, name), func(t *testing.T) {
				harness := newHarness(t, testMachineTypes)
				harness.core.settings.Deployment.Store.ValueKB, harness.core.settings.Deployment.Store.TxnOps = 1, 2
				names := addOpenRecords(harness, 300)
				responsesLost := loseResponse(harness, lost, send)
				if a := harness.requestWithRetry(submissionWithDependencies(9, encodeNames(names))); a.Status != 201 && a.Status != 200 {
					t.Fatalf("submission: got %d %s, want 201 or 200", a.Status, a.Body)
				}
				recorded := harness.openRecord(jobID(9)).Job.Dependencies
				ref, ok := records.ParseDependencyListRef(recorded)
				for _, key := range ref.Keys() {
					if harness.store[key].Key == "" {
						t.Errorf("list record %s is missing", key)
					}
				}
				if !ok || *responsesLost != 1 {
					t.Errorf("got dependencies %q and %d lost responses, want a reference to a list and 1", recorded, *responsesLost)
				}
			})
		}
	}
}

// loseResponse loses the response to the transaction with the given number, counted from 0 at the
// first one that writes list records; send commits that transaction or not. It returns a counter of
// the lost responses.
func loseResponse(harness *harness, number int, send func(carryOut func() int)) *int {
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

// TestLongListRequiresUpgradedPeers checks that the user is asked to retry, and no list is written,
// while a controller runs a version that cannot read dependency lists.
func TestLongListRequiresUpgradedPeers(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	lowerSettingsLimits(harness.core.settings)
	names := addOpenRecords(harness, 150)
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersionDependencyLists - 1}}})
	harness.run(3 * time.Second)
	var a Answer
	for range 8 {
		a = harness.request("POST", "/submissions", submissionWithDependencies(9, encodeNames(names)))
		harness.run(time.Second)
	}
	if a.Status != 503 || a.RetryAfterS == 0 || len(harness.listKeys()) > 0 {
		t.Errorf("before the upgrade: got %d %s and %d list records, want 503 with Retry-After and none", a.Status, a.Body, len(harness.listKeys()))
	}
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersionDependencyLists}}})
	if a := harness.requestWithRetry(submissionWithDependencies(9, encodeNames(names))); a.Status != 201 {
		t.Errorf("after the upgrade: got %d %s, want 201", a.Status, a.Body)
	}
}

// leadWithRecords makes the core of a harness the leader and loads the records in the store.
func leadWithRecords(harness *harness) *leader {
	harness.write(election.KeyTerm, "", []byte("5"))
	leader := harness.startLeading()
	leader.loader.RetryOnNextTick(leader.loader.Load)
	harness.run(time.Second)
	return leader
}

// recordEnd records a job's end, as an earlier leader would.
func (h *harness) recordEnd(id string, status wire.JobState) {
	h.write(records.FinalKey(id), records.OpenKey(id), kv.Encode(records.Final{Status: status, Tasks: 1}))
}

// TestLongListDelaysJob checks that a new leader reads a list from its records: the job becomes
// ready only when the last dependency is done, and its end deletes the list.
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
		t.Fatalf("with one dependency not done: got job %+v, want it to wait", job)
	}
	first := leader.Jobs[names[0]]
	leader.markDone(first, 0)
	harness.run(2 * time.Second)
	if job.AwaitingDependencies || len(job.PendingTasks()) == 0 {
		t.Fatal("job is not ready although all its dependencies are done")
	}
	for i := range job.TaskStates {
		leader.markDone(job, i)
	}
	harness.run(5 * time.Second)
	if harness.store[records.FinalKey(id)].Key == "" || len(harness.listKeys()) > 0 {
		t.Errorf("end recorded: got %v, want true; list records left: got %q, want none", harness.store[records.FinalKey(id)].Key != "", harness.listKeys())
	}
}

// TestLongListIsCancelled cancels a job named in the last record of a list, before and after the
// start of the leader. The dependent must be cancelled, and end before its dependency.
func TestLongListIsCancelled(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before the leader %v", before), func(t *testing.T) {
			harness := newHarness(t, testMachineTypes)
			id, names := submitLongList(t, harness)
			last := names[len(names)-1]
			harness.afterCommit = func() {
				if harness.store[records.FinalKey(last)].Key != "" && harness.store[records.OpenKey(id)].Key != "" {
					t.Error("the end of the dependency is recorded before that of its dependent")
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
				t.Errorf("dependent: got final record %q and %d list records left, want a cancelled job and none", final, len(harness.listKeys()))
			}
		})
	}
}

// TestUnreadListDelaysEnds checks that the end of a cancelled job with dependents is not recorded
// while an unread dependency list may name the job.
func TestUnreadListDelaysEnds(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, names := submitLongList(t, harness)
	leader := leadWithRecords(harness)
	leader.dependencyLists.unread[id] = readInProgress
	record := harness.requestCancellation(names[0], harness.core.wallClockMS)
	leader.dependencies.DropDependencies(id)
	leader.applyOpenRecord(names[0], harness.store[records.OpenKey(names[0])].Version, record)
	harness.run(5 * time.Second)
	if harness.store[records.FinalKey(names[0])].Key != "" {
		t.Error("the end is recorded while a list that may name the job is not read")
	}
}

// TestAbandonedListsAreDeleted checks that the records of abandoned submission attempts are
// deleted, but not those of attempts that may still succeed, nor the list of an accepted job. A
// delayed transaction of a deleted attempt must conflict.
func TestAbandonedListsAreDeleted(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	id, _ := submitLongList(t, harness)
	accepted := len(harness.listKeys())
	record := func(key string, age time.Duration) {
		harness.write(key, "", kv.Encode(dependencylist.Record{StartedAtMS: harness.core.wallClockMS - age.Milliseconds(), Names: []string{jobID(1000)}}))
	}
	old := time.Duration(0) // written now: old enough by the time of the cleanup
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
		t.Errorf("left: got %q and %d records of the accepted job, want only a/job-7/x-2/0 and %d", left, len(harness.listKeys())-len(left), accepted)
	}
	list := dependencylist.NewWriter("job-7", "x-1", make([]dependencylist.Record, 12))
	list.MarkCommitted(list.NextTxn(11), first)
	if status, _ := harness.commit(kv.Encode(list.NextTxn(5))); status != 409 {
		t.Errorf("delayed transaction with a list record: got %d, want 409", status)
	}
}

// TestLateAcceptanceOfAbandonedList delays the transaction that accepts a job until its list has
// been deleted as abandoned. The transaction must conflict, or the job would lack its list.
func TestLateAcceptanceOfAbandonedList(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	lowerSettingsLimits(harness.core.settings)
	names := addOpenRecords(harness, longListLength)
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
		if a := harness.request("POST", "/submissions", submissionWithDependencies(9, encodeNames(names))); a.Status != 503 {
			t.Fatalf("submission without acceptance: got %d %s, want 503", a.Status, a.Body)
		}
		if acceptance != nil {
			break
		}
		harness.run(time.Second)
	}
	if acceptance == nil || len(harness.listKeys()) == 0 {
		t.Fatal("no list or no transaction that accepts the job was sent")
	}
	leadWithRecords(harness)
	harness.run(harness.core.listCleanupInterval() + harness.core.abandonedListAge())
	if left := harness.listKeys(); len(left) != 0 {
		t.Fatalf("list records left: got %q, want none", left)
	}
	if status, _ := harness.commit(acceptance); status != 409 {
		t.Errorf("delayed acceptance: got %d, want 409", status)
	}
}

// TestAbandonedListDeletionIsConditional deletes abandoned lists based on an outdated listing:
// since then one attempt's job was accepted, and another attempt's first record was written. No
// record of either may be deleted.
func TestAbandonedListDeletionIsConditional(t *testing.T) {
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
		t.Errorf("list records left: got %q, want all 4", keys)
	}
}

// TestDependencyLookupsAreLimited checks that lookups of the jobs in a long list, none of which is
// cached, do not use the whole lookup capacity, which they share with users' queries.
func TestDependencyLookupsAreLimited(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	names := addOpenRecords(harness, longListLength)
	harness.core.settings.Deployment.MachineLimits.MaxConnections = 40
	harness.core.jobCache.RemoveAllOpen()
	maxQueued := 0
	harness.afterStep = func() { maxQueued = max(maxQueued, harness.core.frontEnd.QueuedLookups()) }
	if a := harness.requestWithRetry(submissionWithDependencies(9, encodeNames(names))); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	if maxQueued > 20 {
		t.Errorf("queued lookups: got %d, want at most 20", maxQueued)
	}
}
