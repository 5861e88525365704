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

// unfinishedJob1 returns the unfinished job 1 with its open record at a version.
func unfinishedJob1(version uint64) *jobcache.OpenJob {
	return &jobcache.OpenJob{Version: version, Record: records.Open{Job: wire.Job{ID: jobID(1), Shape: wire.ShapeArray, Tasks: 1}}}
}

// TestAcceptanceConditions checks that a dependent is accepted on the condition that its
// dependency's record is unchanged, and that the dependency is marked.
func TestAcceptanceConditions(t *testing.T) {
	f, host := newTestFrontEnd(t)
	f.cache.PutOpen(jobID(1), unfinishedJob1(5))
	f.Submit(9, submissionBody(9, 1))
	txn := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	want := []wire.Condition{{Key: "o/job-9"}, {Key: "f/job-9"}, {Key: "o/job-1", Version: 5}}
	if !slices.Equal(txn.Conditions, want) {
		t.Errorf("got conditions %+v, want %+v", txn.Conditions, want)
	}
	if len(txn.Writes) != 2 || txn.Writes[0].Put != "o/job-1" || txn.Writes[1].Put != "o/job-9" {
		t.Errorf("got writes %+v, want o/job-1 and o/job-9", txn.Writes)
	}
	if marked := f.cache.Open(jobID(1)); marked.Version != 6 || !marked.Record.HasDependents {
		t.Errorf("got cached dependency %+v, want version 6 with HasDependents", marked)
	}
}

// TestDependencyChanged checks that dependencies are resolved again when one has changed, and that
// the dependent of a cancelled job is recorded as cancelled.
func TestDependencyChanged(t *testing.T) {
	f, host := newTestFrontEnd(t)
	f.cache.PutOpen(jobID(1), unfinishedJob1(5))
	f.Submit(9, submissionBody(9, 1))
	host.respondToNext(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{"o/job-1"}})
	cancelled := unfinishedJob1(6).Record
	cancelled.Cancelled, cancelled.CancelRequestedAt = true, 1
	host.respondToNext(t, httpstatus.OK, wire.Item{Version: 6, Value: kv.Encode(cancelled)})
	txn := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 7}))
	if len(txn.Writes) != 1 || txn.Writes[0].Put != "f/job-9" {
		t.Errorf("got writes %+v, want only f/job-9", txn.Writes)
	}
	if got, want := host.answers[9], `201 {"nameId":"job-9","status":"withdrawn","done":0,"running":0}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
}

// storeResponse is the store's answer to a read.
type storeResponse struct {
	status int
	body   any
}

// TestDependencyRefusals checks the refusals of submissions whose dependencies are invalid or
// cannot be resolved in time.
func TestDependencyRefusals(t *testing.T) {
	service := unfinishedJob1(5)
	service.Record.Job.Shape = wire.ShapeService
	for _, tc := range []struct {
		name      string
		responses []storeResponse
		delay     time.Duration
		want      Refusal
	}{
		{
			"a service",
			[]storeResponse{{httpstatus.OK, wire.Item{Version: 5, Value: kv.Encode(service.Record)}}},
			0,
			Refusal{Status: 422, Reason: "it awaits job-1, a service"},
		},
		{
			"never accepted",
			[]storeResponse{{httpstatus.NotFound, nil}, {httpstatus.NotFound, nil}},
			0,
			Refusal{Status: 422, Reason: "it awaits job-1, which was never accepted"},
		},
		{"the store does not answer", []storeResponse{{httpstatus.NoAnswer, nil}}, 0, storeUnavailable},
		{
			"too late",
			[]storeResponse{{httpstatus.OK, wire.Item{Version: 5, Value: kv.Encode(unfinishedJob1(5).Record)}}},
			submissionTimeout, overloaded,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, host := newTestFrontEnd(t)
			f.Submit(9, submissionBody(9, 1))
			host.now += tc.delay
			for _, response := range tc.responses {
				host.respondToNext(t, response.status, response.body)
			}
			if host.refusals[9] != tc.want {
				t.Errorf("refused with %+v, want %+v", host.refusals[9], tc.want)
			}
		})
	}
}

// TestUnwritableDependency checks a dependency whose open record the store no longer accepts: the
// dependent is accepted without marking the dependency, and a cancellation of the dependency is
// recorded as that of a job with dependents.
func TestUnwritableDependency(t *testing.T) {
	f, host := newTestFrontEnd(t)
	large := unfinishedJob1(5)
	large.Record.Job.MachineTypes = slices.Repeat([]string{"large"}, 200)
	f.cache.PutOpen(jobID(1), large)
	f.Submit(9, submissionBody(9, 1))
	host.respondToNext(t, httpstatus.BadRequest, nil)
	txn := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	if len(txn.Writes) != 1 || txn.Writes[0].Put != "o/job-9" {
		t.Errorf("got writes %+v, want only o/job-9", txn.Writes)
	}
	f.Cancel(1, jobID(1))
	host.now += f.heartbeatInterval() / 10
	f.Tick()
	host.respondToNext(t, httpstatus.OK, wire.TxnResult{})            // confirms that the record is unchanged
	host.respondToNext(t, httpstatus.BadRequest, nil)                 // rejects the whole record
	reduced := host.respondToNext(t, httpstatus.OK, wire.TxnResult{}) // accepts the reduced record
	var record records.Open
	if err := json.Unmarshal(decodeTxn(t, reduced).Writes[0].Value, &record); err != nil {
		t.Fatal(err)
	}
	if !record.Cancelled || !record.HasDependents || len(record.Job.MachineTypes) != 0 {
		t.Errorf("got record %+v, want a cancelled one with HasDependents and no machine types", record)
	}
}
