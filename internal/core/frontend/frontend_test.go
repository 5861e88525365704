package frontend

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// fakeHost fakes the controller and the store's transport. Requests to the store stay pending until
// a test answers them.
type fakeHost struct {
	now             time.Duration
	types           map[string]*wire.MachineType
	counts          map[string]wire.JobCount
	stopDelayed     bool
	answers         map[RequestID]string // status, body
	refusals        map[RequestID]Refusal
	stoppedJobs     []string
	pendingRequests []pendingRequest
}

type pendingRequest struct {
	kv.Request
	done func(kv.Response)
}

func (h *fakeHost) Now() time.Duration { return h.now }

func (h *fakeHost) WallClockMS() int64 { return 1_000_000 + h.now.Milliseconds() }

func (h *fakeHost) Answer(request RequestID, status int, body any) {
	h.answers[request] = fmt.Sprintf("%d %s", status, kv.Encode(body))
}

func (h *fakeHost) Refuse(request RequestID, refusal Refusal) { h.refusals[request] = refusal }

func (h *fakeHost) MachineTypes() map[string]*wire.MachineType { return h.types }

func (h *fakeHost) TeamLimit(team string) (teamlimit.Limit, bool) {
	return teamlimit.Limit{CPUs: math.Inf(1), GPUs: math.Inf(1)}, team == "vision"
}

func (h *fakeHost) TaskCounts(job string) wire.JobCount { return h.counts[job] }

func (h *fakeHost) AllPeersSupport(int) bool { return true }

func (h *fakeHost) RejectedWrites(writes int) bool { return writes > 2 }

func (h *fakeHost) StopTasks(job string, _ *jobcache.OpenJob) bool {
	h.stoppedJobs = append(h.stoppedJobs, job)
	return h.stopDelayed
}

func (h *fakeHost) Send(request kv.Request, done func(kv.Response)) {
	h.pendingRequests = append(h.pendingRequests, pendingRequest{request, done})
}

// respondToNext answers the oldest pending request to the store and returns the request.
func (h *fakeHost) respondToNext(t *testing.T, status int, body any) kv.Request {
	t.Helper()
	if len(h.pendingRequests) == 0 {
		t.Fatal("no request to the store is pending")
	}
	request := h.pendingRequests[0]
	h.pendingRequests = h.pendingRequests[1:]
	request.done(kv.Response{StatusCode: status, Body: kv.Encode(body)})
	return request.Request
}

// newTestFrontEnd returns a front end whose preload has completed and found no jobs.
func newTestFrontEnd(t *testing.T) (*FrontEnd, *fakeHost) {
	t.Helper()
	host := &fakeHost{
		now:      time.Second,
		types:    map[string]*wire.MachineType{"large": {Name: "large", CPUs: 96, MemGB: 768, Zones: []string{"a"}}},
		answers:  map[RequestID]string{},
		refusals: map[RequestID]Refusal{},
	}
	deployment := &config.Deployment{
		Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, CancelS: 35},
		Store:         config.StoreLimits{ValueKB: 16, TxnOps: 16},
		MachineLimits: config.MachineLimits{MaxConnections: 8},
	}
	f := New(host, kv.NewClient(host, deployment), jobcache.New(100), deployment, 1, slog.New(slog.DiscardHandler))
	f.Tick()
	host.respondToNext(t, httpstatus.OK, wire.Page{})
	return f, host
}

func jobID(n int) string { return fmt.Sprintf("job-%d", n) }

func submissionBody(n int, dependencies ...int) []byte {
	names := []string{}
	for _, dependency := range dependencies {
		names = append(names, jobID(dependency))
	}
	return fmt.Appendf(nil, `{"nameId":%q,"jobclass":"c","crew":"vision","shape":"array","urgency":"idle","shards":1,"cpus":1,"accelerators":0,
		"memGb":1,"bundle":"i","pullGb":0,"together":false,"apart":false,"standby":false,"guessS":1,"markS":0,"stowS":0,"awaits":%s}`,
		jobID(n), kv.Encode(names))
}

func decodeTxn(t *testing.T, request kv.Request) wire.Txn {
	t.Helper()
	var txn wire.Txn
	if err := json.Unmarshal(request.Body, &txn); err != nil {
		t.Fatalf("%s %s: %v", request.Method, request.Path, err)
	}
	return txn
}

// TestRefusals compares each refusal literally with the protocol between controllers and users.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		refusal    Refusal
		status     int
		body       string
		retryAfter int
	}{
		{NoSuchPath, 404, `{"error":"no such path"}`, 0},
		{MethodNotAllowed, 405, `{"error":"method not allowed"}`, 0},
		{NoSuchJob, 404, `{"error":"no such job"}`, 0},
		{Unhealthy, 503, `{"error":"the state service does not answer"}`, 0},
		{storeUnavailable, 503, `{"error":"the state service does not answer"}`, 1},
		{overloaded, 503, `{"error":"not now"}`, 1},
		{machineTypesUnknown, 503, `{"error":"machine types are not known yet"}`, 1},
		{recordRejected, 503, `{"error":"the state service refuses the record"}`, 1},
		{listsNotSupported, 503, `{"error":"it awaits more jobs than controllers of an earlier version can read"}`, 1},
		{tasksStillStopping, 503, `{"error":"tasks are still being stopped"}`, 2},
		{malformed(&dependencyError{"job-1", problemService}), 400, `{"error":"it awaits job-1, a service"}`, 0},
		{infeasible(&dependencyError{"job-1", problemNeverAccepted}), 422, `{"error":"it awaits job-1, which was never accepted"}`, 0},
	} {
		body := string(kv.Encode(tc.refusal.Body()))
		if tc.refusal.Status != tc.status || body != tc.body || tc.refusal.RetryAfterS != tc.retryAfter {
			t.Errorf("got %d %s with Retry-After %d, want %d %s with Retry-After %d", tc.refusal.Status, body, tc.refusal.RetryAfterS, tc.status, tc.body, tc.retryAfter)
		}
	}
}

// TestSubmissionsShareTransactions checks that submissions received while a transaction is in
// progress are recorded together in the next one.
func TestSubmissionsShareTransactions(t *testing.T) {
	f, host := newTestFrontEnd(t)
	for n := range 4 {
		f.Submit(RequestID(n), submissionBody(n))
	}
	if len(host.pendingRequests) != 1 {
		t.Fatalf("got %d concurrent transactions, want 1", len(host.pendingRequests))
	}
	first := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 5}))
	second := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	if len(first.Writes) != 1 || len(second.Writes) != 3 {
		t.Errorf("got transactions of %d and %d writes, want 1 and 3", len(first.Writes), len(second.Writes))
	}
	for n := range 4 {
		if got, want := host.answers[RequestID(n)], fmt.Sprintf(`201 {"nameId":"job-%d","status":"pending","done":0,"running":0}`, n); got != want {
			t.Errorf("answered %s, want %s", got, want)
		}
	}
}

// TestSubmissionOutcomes checks the user's answer for each outcome of the transaction.
func TestSubmissionOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int // of the store
		want   Refusal
	}{
		{"throttled", httpstatus.TooManyRequests, storeUnavailable},
		{"unavailable", httpstatus.ServiceUnavailable, storeUnavailable},
		{"rejected", httpstatus.BadRequest, recordRejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, host := newTestFrontEnd(t)
			f.Submit(1, submissionBody(1))
			host.respondToNext(t, tc.status, wire.TxnResult{})
			if host.refusals[1] != tc.want {
				t.Errorf("refused with %+v, want %+v", host.refusals[1], tc.want)
			}
		})
	}
	t.Run("unanswered", func(t *testing.T) {
		f, host := newTestFrontEnd(t)
		f.Submit(1, submissionBody(1))
		host.respondToNext(t, httpstatus.NoAnswer, nil)
		if len(host.pendingRequests) != 0 {
			t.Error("the unanswered transaction was retried immediately, want a retry with the next tick")
		}
		f.Tick()
		host.respondToNext(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(1))}})
		host.respondToNext(t, httpstatus.OK, wire.Item{Key: records.OpenKey(jobID(1)), Version: 5, Value: kv.Encode(records.Open{Job: wire.Job{ID: jobID(1)}})})
		if got := host.answers[1]; !strings.HasPrefix(got, `200 {"nameId":"job-1","status":"pending"`) {
			t.Errorf("got answer %q, want status 200 and the pending job-1", got)
		}
	})
}

// TestLoadShedding checks that submissions are refused immediately when the queue is full, and
// that queued ones are refused when they time out.
func TestLoadShedding(t *testing.T) {
	f, host := newTestFrontEnd(t)
	f.Submit(0, submissionBody(0)) // its transaction stays in progress
	for n := 1; n <= 9; n++ {
		f.Submit(RequestID(n), submissionBody(n))
	}
	if _, refused := host.refusals[8]; refused {
		t.Error("submission 8 was refused, want it queued: the queue is not full")
	}
	if host.refusals[9] != overloaded {
		t.Errorf("submission to a full queue: refused with %+v, want overloaded", host.refusals[9])
	}
	host.now += submissionTimeout
	f.Tick()
	for n := 1; n <= 8; n++ {
		if host.refusals[RequestID(n)] != overloaded {
			t.Errorf("submission past its timeout: refused with %+v, want overloaded", host.refusals[RequestID(n)])
		}
	}
}

// TestStoreUnresponsive checks that requests are refused without a call to the store once it has
// been unavailable for a while.
func TestStoreUnresponsive(t *testing.T) {
	f, host := newTestFrontEnd(t)
	f.Query(1, jobID(1))
	host.respondToNext(t, httpstatus.ServiceUnavailable, nil)
	if host.refusals[1] != storeUnavailable {
		t.Errorf("query 1: refused with %+v, want storeUnavailable", host.refusals[1])
	}
	f.Query(2, jobID(1))
	if len(host.pendingRequests) != 1 {
		t.Fatal("query 2: want one request to the store")
	}
	host.respondToNext(t, httpstatus.ServiceUnavailable, nil)
	host.now += 600 * time.Millisecond // more than a quarter of a call's timeout
	f.Query(3, jobID(1))
	f.Submit(4, submissionBody(4))
	if len(host.pendingRequests) != 0 || host.refusals[3] != storeUnavailable || host.refusals[4] != overloaded {
		t.Errorf("got %d calls, refusals %+v and %+v; want none, storeUnavailable and overloaded", len(host.pendingRequests), host.refusals[3], host.refusals[4])
	}
}

// TestQueriesShareConfirmations checks that several cached jobs are confirmed in one transaction
// without writes.
func TestQueriesShareConfirmations(t *testing.T) {
	f, host := newTestFrontEnd(t)
	host.counts = map[string]wire.JobCount{jobID(1): {Running: 2, Done: 1}}
	for n := range 3 {
		f.cache.PutOpen(jobID(n), &jobcache.OpenJob{Version: uint64(n + 1)})
	}
	f.Query(0, jobID(0))
	f.Query(1, jobID(1))
	f.Query(2, jobID(2))
	host.respondToNext(t, httpstatus.OK, wire.TxnResult{}) // confirms only job 0
	host.now += f.heartbeatInterval() / 10
	f.Tick()
	txn := decodeTxn(t, host.respondToNext(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(2))}}))
	if len(txn.Writes) != 0 || len(txn.Conditions) != 2 {
		t.Errorf("got a transaction of %d writes and %d conditions, want none and 2", len(txn.Writes), len(txn.Conditions))
	}
	if got, want := host.answers[1], `200 {"nameId":"job-1","status":"running","done":1,"running":2}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
	// The record of job 2 has changed: the open record is read, then the final one.
	host.respondToNext(t, httpstatus.NotFound, nil)
	host.respondToNext(t, httpstatus.OK, wire.Item{Version: 9, Value: kv.Encode(records.Final{Status: wire.StatusDone, Tasks: 4})})
	if got, want := host.answers[2], `200 {"nameId":"job-2","status":"done","done":4,"running":0}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
}

// TestCancellationWaits checks that a cancellation is acknowledged when the job's end is recorded,
// and that the user is asked to retry if that takes too long.
func TestCancellationWaits(t *testing.T) {
	for _, tc := range []struct {
		name    string
		delayed bool
		event   func(f *FrontEnd, host *fakeHost)
		answer  string
		refusal Refusal
	}{
		{"tasks terminated", false, func(f *FrontEnd, _ *fakeHost) {
			f.JobEnded(wire.JobEnd{ID: jobID(1), Status: string(wire.StatusCancelled), Tasks: 1})
		}, `200 {"nameId":"job-1","status":"withdrawn","done":0,"running":0}`, Refusal{}},
		{"tasks unreachable", true, func(*FrontEnd, *fakeHost) {}, "", tasksStillStopping},
		{"the leader reports a delay", false, func(f *FrontEnd, _ *fakeHost) {
			f.HandleEnds(&wire.Ends{Held: []string{jobID(1)}})
		}, "", tasksStillStopping},
		{"timeout", false, func(f *FrontEnd, host *fakeHost) {
			host.now += f.cancellationTimeout()
			f.Tick()
		}, "", tasksStillStopping},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, host := newTestFrontEnd(t)
			host.stopDelayed = tc.delayed
			f.cache.PutOpen(jobID(1), &jobcache.OpenJob{Version: 5, Record: records.Open{Job: wire.Job{ID: jobID(1), Tasks: 1}}})
			f.Cancel(1, jobID(1))
			host.respondToNext(t, httpstatus.OK, wire.TxnResult{})
			txn := decodeTxn(t, host.respondToNext(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
			if len(txn.Writes) != 1 || !strings.Contains(string(txn.Writes[0].Value), `"c":true`) {
				t.Errorf("got transaction %+v, want one write of a cancelled open record", txn)
			}
			if len(host.stoppedJobs) != 1 {
				t.Errorf("the leader was told to stop %q, want one job", host.stoppedJobs)
			}
			tc.event(f, host)
			if host.answers[1] != tc.answer || host.refusals[1] != tc.refusal {
				t.Errorf("got answer %s and refusal %+v, want those of the test case", host.answers[1], host.refusals[1])
			}
		})
	}
}

// TestCancellationConflicts checks that recording a cancellation is retried a limited number of
// times while other writers keep changing the record.
func TestCancellationConflicts(t *testing.T) {
	f, host := newTestFrontEnd(t)
	open := records.Open{Job: wire.Job{ID: jobID(1), Tasks: 1}}
	f.Cancel(1, jobID(1))
	writes := 0
	for host.refusals[1] == (Refusal{}) {
		// Each attempt reads the record, which has changed again before it is written.
		host.respondToNext(t, httpstatus.OK, wire.Item{Version: uint64(writes), Value: kv.Encode(open)})
		if len(host.pendingRequests) == 0 {
			break
		}
		host.respondToNext(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(1))}})
		writes++
	}
	if writes != maxCancellationRetries+1 || host.refusals[1] != storeUnavailable {
		t.Errorf("got %d writes and refusal %+v, want all retries and storeUnavailable", writes, host.refusals[1])
	}
}
