package core

import (
	"testing"
	"time"
)

// submitAndCollectCommits submits a job and returns the transactions that are sent in the same
// step.
func submitAndCollectCommits(harness *harness, body string) []Call {
	harness.lastRequestID++
	out := harness.core.Step(harness.now, time.Unix(1e9, 0).Add(harness.now), Request{ID: harness.lastRequestID, Method: "POST", Path: "/submissions", Body: []byte(body)})
	var commits []Call
	for _, call := range out.Calls {
		if call.Destination == DestinationStore && call.Path == "/commit" {
			commits = append(commits, call)
		}
	}
	return commits
}

// TestFewSubmissionsBypassPacing checks that a few submissions bypass the pacing of transactions,
// as the leader's records do, and that many submissions at a time are paced. Otherwise a leader
// that used the whole write rate for its own records refuses the submissions that it receives.
func TestFewSubmissionsBypassPacing(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	submission := func(n int) string { return submissionBody("nameId", `"`+jobID(n)+`"`) }
	first := submitAndCollectCommits(harness, submission(1))
	if len(first) != 1 || !first[0].Urgent {
		t.Fatalf("single submission: got transactions %+v, want one that is urgent", first)
	}
	ops := harness.core.store.MaxWrites()
	for n := range ops {
		if late := submitAndCollectCommits(harness, submission(2+n)); len(late) != 0 {
			t.Fatalf("while a transaction is in progress: got transactions %+v, want none", late)
		}
	}
	out := harness.core.Step(harness.now, time.Unix(1e9, 0).Add(harness.now), Result{ID: first[0].ID, Status: 200, Body: []byte(`{"logline":2}`)})
	for _, call := range out.Calls {
		if call.Path == "/commit" && (call.Urgent || call.Writes != ops) {
			t.Fatalf("%d submissions at a time: got %d writes, urgent %v, want all in one transaction that is not urgent", ops, call.Writes, call.Urgent)
		}
	}
	if len(out.Calls) == 0 {
		t.Fatal("no transaction is sent for the waiting submissions")
	}
}
