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

// TestWaitingJobTimes checks that the deadline of a job that waited for a dependency counts from
// its submission, and its waiting time from the end of its last dependency, also under a new leader
// that has only the records.
func TestWaitingJobTimes(t *testing.T) {
	harness, current := newLeadingHarness(t, func(*config.Settings) {})
	due := 300.0
	addRecord(harness, current, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, current, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, func(r *records.Open) { r.Job.DeadlineS = &due })
	submitted := harness.core.wallClockMS
	harness.run(60 * time.Second)
	current.markDone(current.Jobs[jobID(1)], 0)
	harness.run(2 * time.Second)
	for name, leader := range map[string]*leader{"current leader": current, "next leader": startNextLeader(harness, current, "")} {
		job := leader.Jobs[jobID(2)]
		if job.AwaitingDependencies {
			t.Fatalf("%s: job waits although its dependency is done", name)
		}
		if want := float64(submitted)/1000 + due; job.Deadline != want {
			t.Errorf("%s: deadline: got %.1f s after the submission, want %.1f", name, job.Deadline-float64(submitted)/1000, due)
		}
		if ago := job.WaitingSinceMS - submitted; ago < 60_000 || ago > 63_000 {
			t.Errorf("%s: start of the waiting time: got %d ms after the submission, want 60000 to 63000", name, ago)
		}
	}
}

// TestCancelOfCompletingJob cancels a job that is recorded as done just before the cancellation is
// recorded. The request is answered with the status done, and the job's dependent becomes ready.
func TestCancelOfCompletingJob(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
	harness.request("GET", "/submissions/"+jobID(1), "") // fills the cache
	ended := false
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		if !ended && len(txn.Writes) == 1 { // the transaction with the cancellation
			ended = true
			harness.core.leader.markDone(leader.Jobs[jobID(1)], 0)
			harness.intercept = nil
			leader.writer.MarkDirty()
			harness.step(Tick{}) // the end is recorded first
		}
		return carryOut()
	}
	a := harness.request("POST", "/submissions/"+jobID(1)+"/cancel", "")
	if !ended || a.Status != 200 || !strings.Contains(string(a.Body), `"status":"done"`) {
		t.Fatalf("cancellation of a job whose end is recorded first: got %d %s, want 200 done", a.Status, a.Body)
	}
	harness.run(2 * time.Second)
	if job := leader.Jobs[jobID(2)]; job == nil || job.Cancellation.Requested() || job.AwaitingDependencies {
		t.Error("the dependent is not ready after its dependency is done")
	}
}

// TestDependencyChainLog checks the log lines for a chain of dependencies: one line for each job
// and stage, with job IDs and reasons.
func TestDependencyChainLog(t *testing.T) {
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
			t.Errorf("lines with %s: got %d, want %d", line, n, want)
		}
	}
	if t.Failed() {
		t.Log(out.String())
	}
}

// TestReadyRequiresRecordedEnds gives a leader the wrong state that a dependency is done, although
// its open record still exists. The dependent's ReadyAt must not be written.
func TestReadyRequiresRecordedEnds(t *testing.T) {
	harness, leader := newLeadingHarness(t, func(*config.Settings) {})
	addRecord(harness, leader, wire.Job{ID: jobID(1)}, nil)
	addRecord(harness, leader, wire.Job{ID: jobID(2), Dependencies: []string{jobID(1)}}, nil)
	tried := 0
	harness.afterCommit = func() {
		tried++
		leader.Jobs[jobID(2)].DependenciesDone = false // otherwise the write would be retried after every response
	}
	runInStep(harness, func() { leader.dependencyEnded(jobID(1), wire.StatusDone) })
	harness.run(2 * time.Second)
	if strings.Contains(string(harness.store[records.OpenKey(jobID(2))].Value), `"ra":`) || len(leader.Jobs[jobID(2)].PendingTasks()) > 0 {
		t.Errorf("the dependent is ready although its dependency has an open record: %s", harness.store[records.OpenKey(jobID(2))].Value)
	}
	if tried == 0 {
		t.Error("no transaction was sent")
	}
}
