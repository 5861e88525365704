package frontend

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// dependency is the unfinished job 1 at a version.
func dependency(version uint64) *jobcache.OpenJob {
	return &jobcache.OpenJob{Version: version, Record: records.Open{Job: wire.Job{ID: jobID(1), Shape: wire.ShapeArray, Tasks: 1}}}
}

// TestAcceptanceConditions accepts a dependent on the condition that its dependency is as it is
// known, and marks the dependency.
func TestAcceptanceConditions(t *testing.T) {
	f, host := newFrontEnd(t)
	f.cache.PutOpen(jobID(1), dependency(5))
	f.Submit(9, submissionOf(9, 1))
	txn := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	want := []wire.Condition{{Key: "o/job-9"}, {Key: "f/job-9"}, {Key: "o/job-1", Version: 5}}
	if !slices.Equal(txn.Conditions, want) {
		t.Errorf("conditions %+v, want %+v", txn.Conditions, want)
	}
	if len(txn.Writes) != 2 || txn.Writes[0].Put != "o/job-1" || txn.Writes[1].Put != "o/job-9" {
		t.Errorf("writes %+v", txn.Writes)
	}
	if marked := f.cache.Open(jobID(1)); marked.Version != 6 || !marked.Record.HasDependents {
		t.Errorf("the dependency is known as %+v", marked)
	}
}

// TestDependencyChanged resolves the dependencies again when one has changed, and cancels the
// dependent of a cancelled one.
func TestDependencyChanged(t *testing.T) {
	f, host := newFrontEnd(t)
	f.cache.PutOpen(jobID(1), dependency(5))
	f.Submit(9, submissionOf(9, 1))
	host.next(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{"o/job-1"}})
	cancelled := dependency(6).Record
	cancelled.Cancelled, cancelled.CancelRequestedAt = true, 1
	host.next(t, httpstatus.OK, wire.Item{Version: 6, Value: kv.Encode(cancelled)})
	txn := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 7}))
	if len(txn.Writes) != 1 || txn.Writes[0].Put != "f/job-9" {
		t.Errorf("writes %+v", txn.Writes)
	}
	if got, want := host.answers[9], `201 {"nameId":"job-9","status":"withdrawn","done":0,"running":0}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
}

// storeAnswer is the store's answer to a read.
type storeAnswer struct {
	status int
	body   any
}

// TestDependencyRefusals refuses dependencies that no job can have.
func TestDependencyRefusals(t *testing.T) {
	service := dependency(5)
	service.Record.Job.Shape = wire.ShapeService
	for _, tc := range []struct {
		name    string
		answers []storeAnswer
		after   time.Duration
		want    Refusal
	}{
		{
			"a service",
			[]storeAnswer{{httpstatus.OK, wire.Item{Version: 5, Value: kv.Encode(service.Record)}}},
			0,
			Refusal{Status: 422, Reason: "it awaits job-1, a service"},
		},
		{
			"never accepted",
			[]storeAnswer{{httpstatus.NotFound, nil}, {httpstatus.NotFound, nil}},
			0,
			Refusal{Status: 422, Reason: "it awaits job-1, which was never accepted"},
		},
		{"the store does not answer", []storeAnswer{{httpstatus.NoAnswer, nil}}, 0, storeUnavailable},
		{
			"too late",
			[]storeAnswer{{httpstatus.OK, wire.Item{Version: 5, Value: kv.Encode(dependency(5).Record)}}},
			submissionTimeout, overloaded,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, host := newFrontEnd(t)
			f.Submit(9, submissionOf(9, 1))
			host.now += tc.after
			for _, answer := range tc.answers {
				host.next(t, answer.status, answer.body)
			}
			if host.refusals[9] != tc.want {
				t.Errorf("refused with %+v, want %+v", host.refusals[9], tc.want)
			}
		})
	}
}

// TestUnwritableDependency accepts a dependent of a job whose record the store no longer takes,
// without the mark; the job's cancellation is recorded as that of a job with dependents.
func TestUnwritableDependency(t *testing.T) {
	f, host := newFrontEnd(t)
	large := dependency(5)
	large.Record.Job.MachineTypes = slices.Repeat([]string{"large"}, 200)
	f.cache.PutOpen(jobID(1), large)
	f.Submit(9, submissionOf(9, 1))
	host.next(t, httpstatus.BadRequest, nil)
	txn := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	if len(txn.Writes) != 1 || txn.Writes[0].Put != "o/job-9" {
		t.Errorf("writes %+v", txn.Writes)
	}
	f.Cancel(1, jobID(1))
	host.now += f.heartbeatInterval() / 10
	f.Tick()
	host.next(t, httpstatus.OK, wire.TxnResult{})            // confirms that it is as it was
	host.next(t, httpstatus.BadRequest, nil)                 // the whole record
	reduced := host.next(t, httpstatus.OK, wire.TxnResult{}) // without what is too large
	var record records.Open
	if err := json.Unmarshal(txnOf(t, reduced).Writes[0].Value, &record); err != nil {
		t.Fatal(err)
	}
	if !record.Cancelled || !record.HasDependents || len(record.Job.MachineTypes) != 0 {
		t.Errorf("the cancellation is recorded as %+v", record)
	}
}
