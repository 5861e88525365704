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

// TestInheritance gives a job the highest priority of its dependents and the earliest deadline, less
// the estimates on the way, also where it runs already; what its dependents lose, it loses.
func TestInheritance(t *testing.T) {
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
			t.Errorf("%s: level %d, deadline %.0f s before the end, want %.0f", id, j.Level, end-j.Deadline, end-want)
		}
	}
	if machine.UsedByLevel[cluster.PriorityLevel[wire.PriorityUrgent]].CPUs != 4 || machine.UsedByLevel[0].CPUs != 0 {
		t.Errorf("the machine counts %v by priority", machine.UsedByLevel)
	}
	leader.forgetJob(leader.Jobs["job-3"])
	if j := leader.Jobs["job-1"]; j.Level != 0 || !math.IsInf(j.Deadline, 1) {
		t.Errorf("without its dependent: level %d, deadline %v", j.Level, j.Deadline)
	}
}

// TestWaitingJobUsesNothing lets a job wait for a dependency: it asks for no machine and claims no part
// of its team's guarantee until its record says that it is ready.
func TestWaitingJobUsesNothing(t *testing.T) {
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
	job := leader.Jobs["job-1"]
	job.TasksDone, job.TaskStates[0].Done = 1, true
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
	if a := harness.request("POST", "/submissions", submissionWithDependencies(9, `["`+id+`"]`)); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
	}
	setPeers(harness.core, config.Peer{Name: "n1", Zone: "b"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Digest: &wire.Digest{Term: 5, Leader: true, HearsLeader: true, StoreOK: true}}})
	harness.nextReq++
	harness.step(Request{ID: harness.nextReq, Method: "POST", Path: "/submissions/" + id + "/cancel"})
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Gone: []string{id}, TermVersion: harness.store[election.KeyTerm].Version}}})
	if a := harness.answers[harness.nextReq]; a.Status != 503 || a.RetryAfterS == 0 {
		t.Errorf("answered %d %s, want 503 and when to come back", a.Status, a.Body)
	}
	harness.step(PeerInput{Message: &wire.PeerMessage{From: "n1", Ends: &wire.Ends{Over: []wire.JobEnd{{ID: id, Status: string(wire.StatusCancelled), Tasks: 16}}}}})
	if a := harness.request("POST", "/submissions/"+id+"/cancel", ""); a.Status != 200 {
		t.Errorf("answered %d %s once its end is on record", a.Status, a.Body)
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
