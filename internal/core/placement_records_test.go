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

// TestPlacementsAreDeleted ends a job that has more placement records than fit in one transaction:
// none is left.
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
		t.Fatalf("%d records", len(job.PlacementRecords))
	}
	for i := range job.TaskStates {
		leader.markDone(job, i)
	}
	harness.run(2e9)
	if harness.store[records.FinalKey("job-1")].Key == "" {
		t.Error("the job is not over")
	}
	for key := range harness.store {
		if strings.HasPrefix(key, records.PrefixPlacement) {
			t.Errorf("%s is left", key)
		}
	}
}

// loadPlacements reads the placement records of a job as a leader does. Every placement record in
// the store has to be readable.
func loadPlacements(harness *harness, leader *leader, id string) []persistence.LoadedPlacement {
	harness.t.Helper()
	var found []persistence.LoadedPlacement
	for _, key := range sortedKeys(harness.store) {
		if !strings.HasPrefix(key, records.PrefixPlacement) {
			continue
		}
		placementRange, ok := records.ParsePlacementKey(key, leader.writer.TasksPerNumberedRecord())
		if !ok {
			harness.t.Fatalf("%s is not read", key)
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

// TestLayoutChanges moves a job from numbered records to those that name their range. A copy of an
// earlier write of the numbered record, carried out late, must fail: it would restore what the new
// records have replaced.
func TestLayoutChanges(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) {
		s.Deployment.Store.Next = &config.StoreLimits{ValueKB: 1}
	})
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 100}, nil)
	job := leader.Jobs["job-1"]
	for i := range job.TaskStates[:60] {
		machine := leader.machineNamed(fmt.Sprintf("n-%06d", i))
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
		t.Fatalf("while a controller has the earlier version, its layout is written: %v", sortedKeys(harness.store))
	}
	// The answer to that write was lost, and it may still come: as a first one
	// would, on the condition that no record exists.
	delete(harness.store, "p/job-1/0")
	job.PlacementRecords[0].Version, job.PlacementRecords[0].Dirty, job.PlacementRecords[0].DueAt = 0, true, 0
	leader.writer.MarkDirty()
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Version: wire.PeerVersion}}})
	harness.run(1e9)
	if status, _ := harness.commit([]byte(late)); status != 409 {
		t.Errorf("the late copy is answered %d, want 409", status)
	}
	expectNamedRanges(t, harness, "job-1")
	// A next leader finds all of it.
	successor := newLeader(harness.core, election.Leadership{Term: 6, TermVersion: leader.leadership.TermVersion, Lease: 1})
	addRecord(harness, successor, wire.Job{ID: "job-1", Tasks: 100}, nil)
	found := loadPlacements(harness, leader, "job-1")
	successor.writer.RestorePlacements(successor.Jobs["job-1"], found)
	if got := successor.Jobs["job-1"]; got.TasksPlaced != 60 || got.NextAttempt != 61 || got.NumberedKeys {
		t.Errorf("a next leader finds %d tasks placed, next attempt %d, numbered %v", got.TasksPlaced, got.NextAttempt, got.NumberedKeys)
	}
}

// expectNamedRanges checks that a job has several placement records, each of at most 1 KB and with
// a key that names its range.
func expectNamedRanges(t *testing.T, harness *harness, id string) {
	t.Helper()
	named := 0
	for key, item := range harness.store {
		if strings.HasPrefix(key, records.PrefixPlacement+id+"/") {
			named++
			if len(item.Value) > 1024 || !strings.Contains(key, "-1") && !strings.Contains(key, "-2") && strings.Count(key, "-") < 2 {
				t.Errorf("%s: %d bytes", key, len(item.Value))
			}
		}
	}
	if named < 5 {
		t.Errorf("%d records", named)
	}
}

// TestAdoptPrefersRanges reads records of both layouts that disagree: those that name their range take
// precedence over the numbered ones.
func TestAdoptPrefersRanges(t *testing.T) {
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
		t.Errorf("read as %+v", job.TaskStates[:21])
	}
	for i := range job.TaskStates {
		if ch := job.PlacementRecordOf(i); i < ch.From || i >= ch.To || strings.Count(ch.Key, "-") != 2 {
			t.Errorf("task %d is covered by %s", i, ch.Key)
		}
	}
	if keys := job.PlacementKeys(); len(keys) != 2 {
		t.Errorf("records to delete at the end: %v", keys)
	}
}
