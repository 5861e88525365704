package core

import (
	"fmt"
	"strings"
	"testing"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/persistence"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPlacementsAreDeleted checks that all placement records of a job are deleted when it ends,
// even if there are more than fit into one transaction.
func TestPlacementsAreDeleted(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Store.TxnOps, s.Deployment.Store.ValueKB = 5, 1
	})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 100}, nil)
	job := leader.Jobs["job-1"]
	for i := range job.PlacementRecords {
		harness.write(job.PlacementRecords[i].Key, "", []byte(`{"n":1}`))
		job.PlacementRecords[i].Version = harness.store[job.PlacementRecords[i].Key].Version
	}
	if len(job.PlacementRecords) < 10 {
		t.Fatalf("placement records: got %d, want at least 10", len(job.PlacementRecords))
	}
	for i := range job.TaskStates {
		leader.markDone(job, i)
	}
	harness.run(2e9)
	if harness.store[records.FinalKey("job-1")].Key == "" {
		t.Error("the job's end is not recorded")
	}
	for key := range harness.store {
		if strings.HasPrefix(key, records.PrefixPlacement) {
			t.Errorf("placement record %s is not deleted", key)
		}
	}
}

// loadPlacements reads the placement records of a job as a new leader does. The test fails if any
// placement record in the store is unreadable.
func loadPlacements(harness *harness, leader *leader, id string) []persistence.LoadedPlacement {
	harness.t.Helper()
	var found []persistence.LoadedPlacement
	for _, key := range sortedKeys(harness.store) {
		if !strings.HasPrefix(key, records.PrefixPlacement) {
			continue
		}
		placementRange, ok := records.ParsePlacementKey(key, leader.writer.TasksPerNumberedRecord())
		if !ok {
			harness.t.Fatalf("key %s is not a valid placement key", key)
		}
		if placementRange.Job != id {
			continue
		}
		loaded := persistence.LoadedPlacement{PlacementRange: placementRange, Key: key, Version: harness.store[key].Version}
		if err := stdjson.Unmarshal(harness.store[key].Value, &loaded.Record); err != nil {
			harness.t.Fatalf("%s: %v", key, err)
		}
		found = append(found, loaded)
	}
	return found
}

// TestPlacementLayoutMigration migrates a job from numbered placement records to records that name
// their range. A delayed duplicate of an earlier write of a numbered record must conflict: it would
// restore placements that the new records have replaced.
func TestPlacementLayoutMigration(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Store.Next = &config.StoreLimits{ValueKB: 1}
	})
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 100}, nil)
	job := leader.Jobs["job-1"]
	for i := range job.TaskStates[:60] {
		machine := leader.getOrAddMachine(fmt.Sprintf("n-%06d", i))
		job.TaskStates[i] = cluster.Task{Attempt: uint64(i + 1), Zone: "a", Incarnation: 1, PlacedThisTerm: true}
		job.NextAttempt = uint64(i + 2)
		leader.place(job, i, machine)
		leader.writer.MarkPlacement(job, i)
	}
	harness.run(1e9)
	late := ""
	for _, c := range harness.commits {
		if strings.Contains(c, `"put":"p/job-1/0"`) {
			late = c
		}
	}
	if late == "" || strings.Contains(strings.Join(harness.commits, "\n"), "p/job-1/0-") {
		t.Fatalf("with a peer of an earlier version: want only numbered placement records, got keys %v", sortedKeys(harness.store))
	}
	// The response to that write was lost, and the write may still take effect: as the first
	// write of the record, it is conditional on the absence of the record.
	delete(harness.store, "p/job-1/0")
	job.PlacementRecords[0].Version, job.PlacementRecords[0].Dirty, job.PlacementRecords[0].DueAt = 0, true, 0
	leader.writer.MarkDirty()
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersion}}})
	harness.run(1e9)
	if status, _ := harness.commit([]byte(late)); status != 409 {
		t.Errorf("delayed duplicate: got %d, want 409", status)
	}
	expectNamedRanges(t, harness, "job-1")
	// The next leader restores all placements.
	successor := newLeader(harness.core, election.Leadership{FirstToken: leader.leadership.Term + 1, Term: leader.leadership.Term + testTokensPerTerm, TermVersion: leader.leadership.TermVersion, Lease: 1})
	addRecord(harness, successor, wire.Job{ID: "job-1", Tasks: 100}, nil)
	found := loadPlacements(harness, leader, "job-1")
	successor.writer.RestorePlacements(successor.Jobs["job-1"], found)
	if got := successor.Jobs["job-1"]; got.TasksPlaced != 60 || got.NextAttempt != 61 || got.NumberedKeys {
		t.Errorf("next leader: got %d tasks placed, next attempt %d, numbered keys %v, want 60, 61, false", got.TasksPlaced, got.NextAttempt, got.NumberedKeys)
	}
}

// expectNamedRanges checks that a job has at least 5 placement records, each of at most 1 KB and
// with a key that names its range.
func expectNamedRanges(t *testing.T, harness *harness, id string) {
	t.Helper()
	named := 0
	for key, item := range harness.store {
		if strings.HasPrefix(key, records.PrefixPlacement+id+"/") {
			named++
			if len(item.Value) > 1024 || !strings.Contains(key, "-1") && !strings.Contains(key, "-2") && strings.Count(key, "-") < 2 {
				t.Errorf("%s: got %d bytes, want at most 1024 and a key with a range", key, len(item.Value))
			}
		}
	}
	if named < 5 {
		t.Errorf("placement records: got %d, want at least 5", named)
	}
}

// TestNamedRangesTakePrecedence restores placements from contradicting records of both layouts.
// Records that name their range take precedence over numbered ones.
func TestNamedRangesTakePrecedence(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.Next = &config.StoreLimits{ValueKB: 1} })
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 30}, nil)
	job := leader.Jobs["job-1"]
	leader.writer.RestorePlacements(job, []persistence.LoadedPlacement{
		{Key: "p/job-1/0", Version: 5, PlacementRange: records.PlacementRange{From: 0, To: 128, Numbered: true}, Record: records.Placement{NextAttempt: 40, Done: []int{3}, Tasks: []records.PlacedTask{
			{Task: 1, Attempt: 1, Machine: "n-000001", Zone: "a", Incarnation: 1}, {Task: 20, Attempt: 2, Machine: "n-000001", Zone: "a", Incarnation: 1},
		}}},
		{Key: "p/job-1/0-12", Version: 9, PlacementRange: records.PlacementRange{From: 0, To: 12}, Record: records.Placement{NextAttempt: 50, Tasks: []records.PlacedTask{
			{Task: 2, Attempt: 45, Machine: "n-000002", Zone: "b", Incarnation: 3},
		}}},
	})
	if job.TaskStates[1].Machine != nil || job.TaskStates[2].Machine == nil || job.TaskStates[2].Machine.Name != "n-000002" || job.TaskStates[20].Machine == nil || !job.TaskStates[3].Done || job.NextAttempt != 50 {
		t.Errorf("got tasks %+v, want task 1 not placed, 2 on n-000002, 3 done, 20 placed, and next attempt 50", job.TaskStates[:21])
	}
	for i := range job.TaskStates {
		if ch := job.PlacementRecordOf(i); i < ch.From || i >= ch.To || strings.Count(ch.Key, "-") != 2 {
			t.Errorf("task %d: got record %s, want one whose key names a range with the task", i, ch.Key)
		}
	}
	if keys := job.PlacementKeys(); len(keys) != 2 {
		t.Errorf("records to delete at the job's end: got %v, want both", keys)
	}
}
