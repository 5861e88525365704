package core

import (
	"math"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestPriorityAndDeadlineInheritance checks that a job, even one that is running, inherits the
// highest priority of its dependents and the earliest deadline, less the estimated run times along
// the path. When the dependent is gone, the job loses what it inherited.
func TestPriorityAndDeadlineInheritance(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	due := 900.0
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	machine := leader.getOrAddMachine("n-000001")
	leader.place(leader.Jobs["job-1"], 0, machine)
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, func(r *records.Open) { r.Job.EstimatedRunS = 50 })
	addRecord(harness, leader, wire.Job{ID: "job-3", Dependencies: []string{"job-2"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
	})
	end := float64(harness.core.wallClockMS)/1000 + due
	for id, want := range map[string]float64{"job-1": end - 70, "job-2": end - 20, "job-3": end} {
		if j := leader.Jobs[id]; j.Level != cluster.PriorityLevel[wire.PriorityUrgent] || math.Abs(j.Deadline-want) > 1e-3 {
			t.Errorf("%s: got level %d and deadline %.0f s before job-3's, want the urgent level and %.0f s", id, j.Level, end-j.Deadline, end-want)
		}
	}
	if machine.UsedByLevel[cluster.PriorityLevel[wire.PriorityUrgent]].CPUs != 4 || machine.UsedByLevel[0].CPUs != 0 {
		t.Errorf("usage by priority level: got %v, want 4 CPUs at the urgent level and none at level 0", machine.UsedByLevel)
	}
	leader.forgetJob(leader.Jobs["job-3"])
	if j := leader.Jobs["job-1"]; j.Level != 0 || !math.IsInf(j.Deadline, 1) {
		t.Errorf("without its dependent: got level %d, deadline %v, want level 0, no deadline", j.Level, j.Deadline)
	}
}

// TestWaitingJobClaimsNoResources checks that a job that waits for a dependency requests no machine
// and uses none of its team's guarantee until its open record has a ReadyAt.
func TestWaitingJobClaimsNoResources(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	// Each job uses 4 of the 8 guaranteed CPUs.
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, nil)
	addRecord(harness, leader, wire.Job{ID: "job-3"}, nil)
	leader.markWithinQuota()
	if !leader.Jobs["job-1"].WithinQuota || leader.Jobs["job-2"].WithinQuota || !leader.Jobs["job-3"].WithinQuota {
		t.Error("jobs within quota: want job-1 and job-3, but not job-2, which waits for a dependency")
	}
	if n := len(leader.Jobs["job-2"].PendingTasks()); n != 0 {
		t.Errorf("placeable tasks of a job that waits for a dependency: got %d, want 0", n)
	}
	since := leader.Jobs["job-2"].WaitingSinceMS
	job := leader.Jobs["job-1"]
	job.TasksDone, job.TaskStates[0].Done = 1, true
	leader.writer.MarkDirty()
	harness.run(2e9)
	if len(leader.Jobs["job-2"].PendingTasks()) != 1 || !strings.Contains(string(harness.store[records.OpenKey("job-2")].Value), `"ra":`) {
		t.Errorf("job-2 is not ready after its dependency is done: open record %s", harness.store[records.OpenKey("job-2")].Value)
	}
	if leader.Jobs["job-2"].WaitingSinceMS <= since {
		t.Error("job-2's waiting time counts from its submission, want from the end of its dependency")
	}
}

// TestDependentsEndFirst cancels a dependency graph with a diamond and a chain, with two writes per
// transaction. After each transaction, no job's end is recorded before the ends of its dependents.
func TestDependentsEndFirst(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(s *config.Settings) { s.Deployment.Store.TxnOps = 2 })
	dependencies := map[string][]string{"job-2": {"job-1"}, "job-3": {"job-1"}, "job-4": {"job-2", "job-3"}, "job-5": {"job-4"}}
	addRecord(harness, leader, wire.Job{ID: "job-1"}, nil)
	for _, id := range sortedKeys(dependencies) {
		addRecord(harness, leader, wire.Job{ID: id, Dependencies: dependencies[id]}, nil)
	}
	ended := func(id string) bool { return harness.store[records.FinalKey(id)].Key != "" }
	harness.afterCommit = func() {
		for id, before := range dependencies {
			for _, a := range before {
				if ended(a) && !ended(id) {
					t.Errorf("end of %s is recorded before that of its dependent %s", a, id)
				}
			}
		}
	}
	addRecord(harness, leader, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt = true, harness.core.wallClockMS })
	harness.run(2e9)
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4", "job-5"} {
		if !ended(id) || harness.store[records.OpenKey(id)].Key != "" {
			t.Errorf("%s: its end is not recorded, or its open record still exists", id)
		}
	}
}

// TestEndWithDependentsRequiresRecord checks that the cancellation of a job with dependents is
// acknowledged only once the job's end is recorded. A leader's report that its tasks have
// terminated is not sufficient: a leader that cannot read the store does not know the latest
// dependents.
func TestEndWithDependentsRequiresRecord(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	harness.write(election.KeyTerm, "", []byte("5"))
	id := "job-000412"
	if a := harness.request("POST", "/submissions", submissionBody()); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	if a := harness.request("POST", "/submissions", submissionWithDependencies(9, `["`+id+`"]`)); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
	harness.lastRequestID++
	harness.step(Request{ID: harness.lastRequestID, Method: "POST", Path: "/submissions/" + id + "/cancel"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: harness.store[election.KeyTerm].Version}}})
	if a := harness.answers[harness.lastRequestID]; a.Status != 503 || a.RetryAfterS == 0 {
		t.Errorf("cancellation before the end is recorded: got %d %s, want 503 with Retry-After", a.Status, a.Body)
	}
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Over: []wire.JobEnd{{ID: id, Status: string(wire.StatusCancelled), Tasks: 16}}}}})
	if a := harness.request("POST", "/submissions/"+id+"/cancel", ""); a.Status != 200 {
		t.Errorf("cancellation after the end is recorded: got %d %s, want 200", a.Status, a.Body)
	}
}

// TestPreemptionPriority checks that a job is ordered by the priority inherited from its dependent
// immediately, but preempts with that priority only once the time to spare in the chain is less
// than the job's estimated run time.
func TestPreemptionPriority(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	due := 100.0
	addRecord(harness, leader, wire.Job{ID: "job-1"}, func(r *records.Open) { r.Job.EstimatedRunS = 30 })
	addRecord(harness, leader, wire.Job{ID: "job-2", Dependencies: []string{"job-1"}}, func(r *records.Open) {
		r.Job.Priority, r.Job.DeadlineS, r.Job.EstimatedRunS = wire.PriorityUrgent, &due, 20
	})
	onlyCandidate := func() *candidate {
		candidates := leader.candidates()
		if len(candidates) != 1 || candidates[0].Job.ID != "job-1" {
			t.Fatalf("candidates: got %+v, want only job-1", candidates)
		}
		return candidates[0]
	}
	urgent := cluster.PriorityLevel[wire.PriorityUrgent]
	if c := onlyCandidate(); c.Job.Level != urgent || c.PreemptionPriority != 0 {
		t.Errorf("50 s to spare, run time 30 s: got level %d, preemption priority %d, want the urgent level, 0", c.Job.Level, c.PreemptionPriority)
	}
	harness.core.wallClockMS += 25_000
	if c := onlyCandidate(); c.PreemptionPriority != urgent {
		t.Errorf("25 s to spare, run time 30 s: got preemption priority %d, want the urgent level", c.PreemptionPriority)
	}
}
