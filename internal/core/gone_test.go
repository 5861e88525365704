package core

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// TestEarlierAttemptListed has a worker list an ended attempt at a task beside
// the running one, in either order: the running one goes on counting. It once
// passed for vanished, was started elsewhere, and ran twice.
func TestEarlierAttemptListed(t *testing.T) {
	b := newHarness(t, someTypes)
	l := newLeader(b.c, electedBy(5))
	b.c.lead, l.ready = l, true
	job := wire.Job{ID: "job-000001", Class: "c", Team: "vision", Shape: wire.ShapeArray, Priority: wire.PriorityIdle, Tasks: 1, CPUs: 1, MemGB: 1}
	l.noteOpen(job.ID, 7, records.Open{Job: job, At: b.c.wall})
	j, m := l.jobs[job.ID], l.machine("n-000001")
	j.tasks[0] = task{attempt: 2, zone: "a", session: 1, recorded: true, ours: true, copied: true}
	l.bind(j, 0, m)
	j.chunks[0].dirty = true // the end of the earlier attempt is not recorded yet
	ended := wire.Task{Task: "job-000001/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseStopped}
	runs := wire.Task{Task: "job-000001/0", Attempt: 2, State: wire.TaskRunning}
	for i, rows := range [][]wire.Task{{ended, runs}, {runs, ended}, {ended, runs}} {
		r := wire.Report{Machine: "n-000001", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Session: 1, Seq: uint64(i + 1), Token: 5, Tasks: rows}
		if status, body := l.handleReport(kv.Encode(r), "n0"); status != 200 {
			t.Fatalf("report %d: %d %s", i, status, body)
		}
		if x := &j.tasks[0]; x.machine != m || x.state != wire.TaskRunning {
			t.Fatalf("after report %d the running task is taken for %q on %v", i, x.state, x.machine)
		}
	}
}
