package core

import (
	"fmt"
	"math"
	"strings"
	"testing"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/persistence"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// newLeadingHarness makes a harness whose controller leads and has loaded its records.
func newLeadingHarness(t *testing.T, change func(*config.Settings)) (*harness, *leader) {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	change(harness.core.settings)
	harness.write(election.KeyTerm, "", []byte("5"))
	leader := harness.lead()
	leader.recordsLoaded = true
	return harness, leader
}

// addRecord writes a job's open record and tells the leader of it.
func addRecord(harness *harness, leader *leader, spec wire.Job, change func(*records.Open)) {
	if spec.Class == "" {
		spec.Class, spec.Team, spec.Shape, spec.Priority, spec.CPUs, spec.MemGB = "c", "vision", wire.ShapeArray, wire.PriorityIdle, 4, 1
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	rec := records.Open{Job: spec, SubmittedAt: harness.core.wallClockMS}
	if change != nil {
		change(&rec)
	}
	key := records.OpenKey(spec.ID)
	harness.write(key, "", kv.Encode(rec))
	leader.applyOpenRecord(spec.ID, harness.store[key].Version, rec)
}

// TestInheritance gives a job the highest priority of its dependents and the earliest deadline, less
// the estimates on the way, also where it runs already; what its dependents lose, it loses.
func TestInheritance(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	due := 900.0
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	machine := leader.machineNamed("n-000001")
	leader.place(leader.Jobs["job-1"], 0, machine)
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, func(r *records.Open) { r.Job.EstimatedRunS = 50 })
	addRecord(harness, leader, wire.Job{ID: "job-3", Dependencies: []string{"job-2"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
	})
	end := float64(harness.core.wallClockMS)/1000 + due
	for id, want := range map[string]float64{"job-1": end - 70, "job-2": end - 20, "job-3": end} {
		if j := leader.Jobs[id]; j.Level != cluster.PriorityLevel[wire.PriorityUrgent] || math.Abs(j.Deadline-want) > 1e-3 {
			t.Errorf("%s: level %d, deadline %.0f s before the end, want %.0f", id, j.Level, end-j.Deadline, end-want)
		}
	}
	if machine.UsedByLevel[cluster.PriorityLevel[wire.PriorityUrgent]].CPUs != 4 || machine.UsedByLevel[0].CPUs != 0 {
		t.Errorf("the machine counts %v by priority", machine.UsedByLevel)
	}
	leader.forget(leader.Jobs["job-3"])
	if j := leader.Jobs["job-1"]; j.Level != 0 || !math.IsInf(j.Deadline, 1) {
		t.Errorf("without its dependent: level %d, deadline %v", j.Level, j.Deadline)
	}
}

// TestWaitingHoldsNothing lets a job wait for a dependency: it asks for no machine and claims no part
// of its team's guarantee until its record says that it is ready.
func TestWaitingHoldsNothing(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, nil) // 4 of 8 CPUs guaranteed
	addRecord(harness, leader, wire.Job{ID: "job-3"}, nil)
	leader.markWithinQuota()
	if !leader.Jobs["job-1"].WithinQuota || leader.Jobs["job-2"].WithinQuota || !leader.Jobs["job-3"].WithinQuota {
		t.Error("within quota should be jobs 1 and 3, not the waiting one before it")
	}
	if n := len(leader.Jobs["job-2"].PendingTasks()); n != 0 {
		t.Errorf("%d tasks of a waiting job may be placed", n)
	}
	since := leader.Jobs["job-2"].WaitingSinceMS
	j := leader.Jobs["job-1"]
	j.TasksDone, j.TaskStates[0].Done = 1, true
	leader.writer.MarkDirty()
	harness.run(2e9)
	if len(leader.Jobs["job-2"].PendingTasks()) != 1 || !strings.Contains(string(harness.store[records.OpenKey("job-2")].Value), `"ra":`) {
		t.Errorf("it does not become ready: %s", harness.store[records.OpenKey("job-2")].Value)
	}
	if leader.Jobs["job-2"].WaitingSinceMS <= since {
		t.Error("its waiting time counts from its submission")
	}
}

// TestDependentsEndFirst cancels a chain and a diamond: at no moment is a job's end on record while a
// dependent is open, in however small steps.
func TestDependentsEndFirst(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.TxnOps = 2 })
	needs := map[string][]string{"job-2": {"job-1"}, "job-3": {"job-1"}, "job-4": {"job-2", "job-3"}, "job-5": {"job-4"}}
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	for _, id := range sortedKeys(needs) {
		addRecord(harness, leader, wire.Job{ID: id, Dependencies: needs[id]}, nil)
	}
	over := func(id string) bool { return harness.store[records.FinalKey(id)].Key != "" }
	harness.afterCommit = func() {
		for id, before := range needs {
			for _, a := range before {
				if over(a) && !over(id) {
					t.Errorf("%s is over before %s", a, id)
				}
			}
		}
	}
	addRecord(harness, leader, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
	harness.run(2e9)
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4", "job-5"} {
		if !over(id) || harness.store[records.OpenKey(id)].Key != "" {
			t.Errorf("%s is not over", id)
		}
	}
}

// TestDependencyEndIsNotTakenFromPeer does not rely on a leader for the end of a job with dependents:
// while the leader cannot read, it does not know of the latest of them.
func TestDependencyEndIsNotTakenFromPeer(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	harness.write(election.KeyTerm, "", []byte("5"))
	id := "job-000412"
	if a := harness.request("POST", "/submissions", body()); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	if a := harness.request("POST", "/submissions", submissionAwaiting(9, `["`+id+`"]`)); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
	harness.nextReq++
	harness.step(Request{ID: harness.nextReq, Method: "POST", Path: "/submissions/" + id + "/cancel"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: harness.store[election.KeyTerm].Version}}})
	if a := harness.answers[harness.nextReq]; a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("answered %d %s, want 503 and when to come back", a.Status, a.Body)
	}
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Over: []wire.JobEnd{{ID: id, Status: string(wire.StatusCancelled), Tasks: 16}}}}})
	if a := harness.request("POST", "/submissions/"+id+"/cancel", ""); a.Status != 200 {
		t.Errorf("answered %d %s once its end is on record", a.Status, a.Body)
	}
}

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
	for k := range harness.store {
		if strings.HasPrefix(k, records.PrefixPlacement) {
			t.Errorf("%s is left", k)
		}
	}
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
	named := 0
	for k, it := range harness.store {
		if strings.HasPrefix(k, "p/job-1/") {
			named++
			if len(it.Value) > 1024 || !strings.Contains(k, "-1") && !strings.Contains(k, "-2") && strings.Count(k, "-") < 2 {
				t.Errorf("%s: %d bytes", k, len(it.Value))
			}
		}
	}
	if named < 5 {
		t.Errorf("%d records", named)
	}
	// A next leader finds all of it.
	successor := newLeader(harness.core, election.Leadership{Term: 6, TermVersion: leader.leadership.TermVersion, Lease: 1})
	addRecord(harness, successor, wire.Job{ID: "job-1", Tasks: 100}, nil)
	var found []persistence.LoadedPlacement
	for _, k := range sortedKeys(harness.store) {
		if strings.HasPrefix(k, records.PrefixPlacement) {
			r, ok := records.ParsePlacementKey(k, leader.writer.TasksPerNumberedRecord())
			p := persistence.LoadedPlacement{PlacementRange: r, Key: k, Version: harness.store[k].Version}
			if !ok || stdjson.Unmarshal(harness.store[k].Value, &p.Record) != nil {
				t.Fatalf("%s is not read", k)
			}
			found = append(found, p)
		}
	}
	successor.writer.Adopt(successor.Jobs["job-1"], found)
	if got := successor.Jobs["job-1"]; got.TasksPlaced != 60 || got.NextAttempt != 61 || got.Numbered {
		t.Errorf("a next leader finds %d tasks placed, next attempt %d, numbered %v", got.TasksPlaced, got.NextAttempt, got.Numbered)
	}
}

// TestAdoptPrefersRanges reads records of both layouts that disagree: those that name their range take
// precedence over the numbered ones.
func TestAdoptPrefersRanges(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.Next = &config.StoreLimits{ValueKB: 1} })
	addRecord(harness, leader, wire.Job{ID: "job-1", Tasks: 30}, nil)
	job := leader.Jobs["job-1"]
	leader.writer.Adopt(job, []persistence.LoadedPlacement{
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

// TestPreemptionPriority orders a job by the priority of its dependent at once, and lets it preempt
// with that only once the chain has less time left than the job takes.
func TestPreemptionPriority(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	due := 100.0
	addRecord(harness, leader, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Job.EstimatedRunS = 30 })
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
	})
	only := func() *candidate {
		candidates := leader.candidates()
		if len(candidates) != 1 || candidates[0].Job.ID != "job-1" {
			t.Fatalf("candidates %+v, want job-1", candidates)
		}
		return candidates[0]
	}
	urgent := cluster.PriorityLevel[wire.PriorityUrgent]
	if c := only(); c.Job.Level != urgent || c.PreemptionPriority != 0 {
		t.Errorf("with 50 s to spare of 30: level %d, preempts with %d", c.Job.Level, c.PreemptionPriority)
	}
	harness.core.wallClockMS += 25_000
	if c := only(); c.PreemptionPriority != urgent {
		t.Errorf("with 25 s to spare of 30 it preempts with %d", c.PreemptionPriority)
	}
}
