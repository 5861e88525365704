package core

import (
	"testing"
	"time"
)

// submitAndCollectCommits submits a job and returns the transactions that are sent along with it.
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
// as the leader's records do, and that many at a time keep to it. A leader that had used up the
// rate of changes for its own records once turned away the submissions that came to it.
func TestFewSubmissionsBypassPacing(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	submission := func(n int) string { return body("nameId", `"`+jobID(n)+`"`) }
	first := submitAndCollectCommits(harness, submission(1))
	if len(first) != 1 || !first[0].Urgent {
		t.Fatalf("a single submission is paced: %+v", first)
	}
	ops := harness.core.store.MaxWrites()
	for n := range ops {
		if late := submitAndCollectCommits(harness, submission(2+n)); len(late) != 0 {
			t.Fatalf("a second transaction is sent beside the first: %+v", late)
		}
	}
	out := harness.core.Step(harness.now, time.Unix(1e9, 0).Add(harness.now), Result{ID: first[0].ID, Status: 200, Body: []byte(`{"logline":2}`)})
	for _, call := range out.Calls {
		if call.Path == "/commit" && (call.Urgent || call.Writes != ops) {
			t.Fatalf("%d submissions at a time: %d changes, urgent %v", ops, call.Writes, call.Urgent)
		}
	}
	if len(out.Calls) == 0 {
		t.Fatal("the waiting submissions are not recorded")
	}
}
