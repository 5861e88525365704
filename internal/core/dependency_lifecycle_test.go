package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestTimesOfAWaitingJob lets a job wait for a minute: its deadline counts from its submission, its
// waiting time from the end of its last dependency, also under a leader that has only the records.
func TestTimesOfAWaitingJob(t *testing.T) {
	harness, present := newLeadingHarness(t, func(*config.Settings) {})
	due := 300.0
	addRecord(harness, present, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, present, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, func(r *records.Open) { r.Job.DeadlineS = &due })
	submitted := harness.core.wallClockMS
	harness.run(60 * time.Second)
	present.markDone(present.Jobs[jobID(1)], 0)
	harness.run(2 * time.Second)
	for name, leader := range map[string]*leader{"the leader": present, "the next": nextLeader(harness, present, "")} {
		job := leader.Jobs[jobID(2)]
		if job.AwaitingDependencies {
			t.Fatalf("%s: it waits", name)
		}
		if want := float64(submitted)/1000 + due; job.Deadline != want {
			t.Errorf("%s: due %.1f s after the submission, want %.1f", name, job.Deadline-float64(submitted)/1000, due)
		}
		if ago := job.WaitingSinceMS - submitted; ago < 60_000 || ago > 63_000 {
			t.Errorf("%s: its waiting counts from %d ms after the submission", name, ago)
		}
	}
}

// TestCancelAnsweredDone cancels a job that ends at the same moment: it is answered as done, and its
// dependent becomes ready.
func TestCancelAnsweredDone(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
	harness.request("GET", "/submissions/"+jobID(1), "") // known here
	happened := false
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		if !happened && len(txn.Writes) == 1 { // the request
			happened = true
			harness.core.leader.markDone(leader.Jobs[jobID(1)], 0)
			harness.intercept = nil
			leader.writer.MarkDirty()
			harness.step(Tick{}) // the end is recorded first
		}
		return carryOut()
	}
	a := harness.request("POST", "/submissions/"+jobID(1)+"/cancel", "")
	if !happened || a.Status != 200 || !strings.Contains(string(a.Body), `"status":"done"`) {
		t.Fatalf("answered %d %s", a.Status, a.Body)
	}
	harness.run(2 * time.Second)
	if job := leader.Jobs[jobID(2)]; job == nil || job.Cancellation.Requested() || job.AwaitingDependencies {
		t.Error("its dependent does not become ready")
	}
}

// TestChainLog checks what an operator reads of a chain of dependencies: one line for each job and
// stage, with names and reasons.
func TestChainLog(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	var out bytes.Buffer
	harness.core.log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	runInStep(harness, func() {
		addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(3), Dependencies: []string{jobID(1), jobID(2)}}, nil)
		addRecord(harness, leader, wire.Job{ID: jobID(4), Dependencies: []string{jobID(3)}}, nil)
	})
	harness.run(time.Second)
	runInStep(harness, func() { leader.markDone(leader.Jobs[jobID(1)], 0) })
	harness.run(2 * time.Second)
	runInStep(harness, func() {
		addRecord(harness, leader, wire.Job{ID: jobID(2)}, func(r *records.Open) { r.Cancelled, r.CancelRequestedAt, r.ReadyAt = true, harness.core.wallClockMS, 1 })
	})
	harness.run(2 * time.Second)
	for line, want := range map[string]int{
		`level=INFO msg="job waits for dependencies" job=job-102 count=1`:                 1,
		`level=INFO msg="job waits for dependencies" job=job-103 count=2`:                 1,
		`level=INFO msg="job waits for dependencies"`:                                     3,
		`level=DEBUG msg="job dependencies" job=job-103 dependencies="[job-101 job-102]"`: 1,
		`level=DEBUG msg="dependency ended" job=job-101 status=done`:                      1,
		`level=INFO msg="job ready" job=job-102`:                                          1,
		`level=INFO msg="job ready"`:                                                      1,
		`level=INFO msg="job cancelled" job=job-102 acknowledged=false`:                   1,
		`level=INFO msg="job cancelled" job=job-103 dependency=job-102`:                   1,
		`level=INFO msg="job cancelled" job=job-104 dependency=job-102`:                   1,
		`level=INFO msg="job cancelled"`:                                                  3,
	} {
		if n := strings.Count(out.String(), line); n != want {
			t.Errorf("%s: %d lines, want %d", line, n, want)
		}
	}
	if t.Failed() {
		t.Log(out.String())
	}
}

// TestReadyNeedsRecordedEnds makes a leader believe that a dependency is done whose open record is
// still there: the record of its dependent must not become ready.
func TestReadyNeedsRecordedEnds(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
	tried := 0
	harness.afterCommit = func() {
		tried++
		leader.Jobs[jobID(2)].DependenciesDone = false // once: it would be tried at every answer
	}
	runInStep(harness, func() { leader.dependencyEnded(jobID(1), wire.StatusDone) })
	harness.run(2 * time.Second)
	if strings.Contains(string(harness.store[records.OpenKey(jobID(2))].Value), `"ra":`) || len(leader.Jobs[jobID(2)].PendingTasks()) > 0 {
		t.Errorf("it is ready: %s", harness.store[records.OpenKey(jobID(2))].Value)
	}
	if tried == 0 {
		t.Error("nothing was written")
	}
}
