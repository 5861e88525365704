package frontend

import (
	"encoding/json"
	"fmt"
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

// fakeHost is a controller and the store's transport. It holds requests to the store until a
// test answers them.
type fakeHost struct {
	now          time.Duration
	types        map[string]*wire.MachineType
	counts       map[string]wire.JobCount
	stopDelayed  bool
	answers      map[RequestID]string // status, body
	refusals     map[RequestID]Refusal
	stopped      []string
	heldRequests []heldRequest
}

type heldRequest struct {
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
	h.stopped = append(h.stopped, job)
	return h.stopDelayed
}

func (h *fakeHost) Send(request kv.Request, done func(kv.Response)) {
	h.heldRequests = append(h.heldRequests, heldRequest{request, done})
}

// next answers the oldest request to the store and returns it.
func (h *fakeHost) next(t *testing.T, status int, body any) kv.Request {
	t.Helper()
	if len(h.heldRequests) == 0 {
		t.Fatal("nothing was sent to the store")
	}
	request := h.heldRequests[0]
	h.heldRequests = h.heldRequests[1:]
	request.done(kv.Response{StatusCode: status, Body: kv.Encode(body)})
	return request.Request
}

// newFrontEnd makes a front end of which the preload is done and found nothing.
func newFrontEnd(t *testing.T) (*FrontEnd, *fakeHost) {
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
	f := New(host, kv.NewClient(host, deployment), jobcache.New(100), deployment, 1)
	f.Tick()
	host.next(t, httpstatus.OK, wire.Page{})
	return f, host
}

func jobID(n int) string { return fmt.Sprintf("job-%d", n) }

func submissionOf(n int, dependencies ...int) []byte {
	names := []string{}
	for _, dependency := range dependencies {
		names = append(names, jobID(dependency))
	}
	return fmt.Appendf(nil, `{"nameId":%q,"jobclass":"c","crew":"vision","shape":"array","urgency":"idle","shards":1,"cpus":1,"accelerators":0,
		"memGb":1,"bundle":"i","pullGb":0,"together":false,"apart":false,"standby":false,"guessS":1,"markS":0,"stowS":0,"awaits":%s}`,
		jobID(n), kv.Encode(names))
}

func txnOf(t *testing.T, request kv.Request) wire.Txn {
	t.Helper()
	var txn wire.Txn
	if err := json.Unmarshal(request.Body, &txn); err != nil {
		t.Fatalf("%s %s: %v", request.Method, request.Path, err)
	}
	return txn
}

// TestRefusals compares the answers with the protocol between controllers and users, literally.
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
		{typesUnknown, 503, `{"error":"machine types are not known yet"}`, 1},
		{recordRejected, 503, `{"error":"the state service refuses the record"}`, 1},
		{listsNotSupported, 503, `{"error":"it awaits more jobs than controllers of an earlier version can read"}`, 1},
		{tasksStillStopping, 503, `{"error":"tasks are still being stopped"}`, 2},
		{malformed(&dependencyError{"job-1", problemService}), 400, `{"error":"it awaits job-1, a service"}`, 0},
		{infeasible(&dependencyError{"job-1", problemNeverAccepted}), 422, `{"error":"it awaits job-1, which was never accepted"}`, 0},
	} {
		body := string(kv.Encode(tc.refusal.Body()))
		if tc.refusal.Status != tc.status || body != tc.body || tc.refusal.RetryAfterS != tc.retryAfter {
			t.Errorf("%d %s, Retry-After %d; want %d %s, %d", tc.refusal.Status, body, tc.refusal.RetryAfterS, tc.status, tc.body, tc.retryAfter)
		}
	}
}

// TestSubmissionsShareTransactions records the submissions that come during a transaction in
// the next one.
func TestSubmissionsShareTransactions(t *testing.T) {
	f, host := newFrontEnd(t)
	for n := range 4 {
		f.Submit(RequestID(n), submissionOf(n))
	}
	if len(host.heldRequests) != 1 {
		t.Fatalf("%d transactions at a time", len(host.heldRequests))
	}
	first := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 5}))
	second := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
	if len(first.Writes) != 1 || len(second.Writes) != 3 {
		t.Errorf("%d and %d writes, want 1 and 3", len(first.Writes), len(second.Writes))
	}
	for n := range 4 {
		if got, want := host.answers[RequestID(n)], fmt.Sprintf(`201 {"nameId":"job-%d","status":"pending","done":0,"running":0}`, n); got != want {
			t.Errorf("answered %s, want %s", got, want)
		}
	}
}

// TestSubmissionOutcomes answers the user by what becomes of the transaction.
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
			f, host := newFrontEnd(t)
			f.Submit(1, submissionOf(1))
			host.next(t, tc.status, wire.TxnResult{})
			if host.refusals[1] != tc.want {
				t.Errorf("refused with %+v, want %+v", host.refusals[1], tc.want)
			}
		})
	}
	t.Run("unanswered", func(t *testing.T) {
		f, host := newFrontEnd(t)
		f.Submit(1, submissionOf(1))
		host.next(t, httpstatus.NoAnswer, nil)
		if len(host.heldRequests) != 0 {
			t.Error("retried at once")
		}
		f.Tick()
		host.next(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(1))}})
		host.next(t, httpstatus.OK, wire.Item{Key: records.OpenKey(jobID(1)), Version: 5, Value: kv.Encode(records.Open{Job: wire.Job{ID: jobID(1)}})})
		if got := host.answers[1]; !strings.HasPrefix(got, `200 {"nameId":"job-1","status":"pending"`) {
			t.Errorf("answered %q", got)
		}
	})
}

// TestLoadShedding refuses what cannot be served in time, at once.
func TestLoadShedding(t *testing.T) {
	f, host := newFrontEnd(t)
	f.Submit(0, submissionOf(0)) // its transaction is under way
	for n := 1; n <= 9; n++ {
		f.Submit(RequestID(n), submissionOf(n))
	}
	if _, refused := host.refusals[8]; refused {
		t.Error("refused though the queue is not full")
	}
	if host.refusals[9] != overloaded {
		t.Errorf("the queue is full: refused with %+v", host.refusals[9])
	}
	host.now += submissionTimeout
	f.Tick()
	for n := 1; n <= 8; n++ {
		if host.refusals[RequestID(n)] != overloaded {
			t.Errorf("waited too long: refused with %+v", host.refusals[RequestID(n)])
		}
	}
}

// TestStoreOverdue refuses requests once the store has been unavailable for a while.
func TestStoreOverdue(t *testing.T) {
	f, host := newFrontEnd(t)
	f.Query(1, jobID(1))
	host.next(t, httpstatus.ServiceUnavailable, nil)
	if host.refusals[1] != storeUnavailable {
		t.Errorf("refused with %+v", host.refusals[1])
	}
	f.Query(2, jobID(1))
	if len(host.heldRequests) != 1 {
		t.Fatal("no lookup was sent")
	}
	host.next(t, httpstatus.ServiceUnavailable, nil)
	host.now += 600 * time.Millisecond // more than a quarter of a call's timeout
	f.Query(3, jobID(1))
	f.Submit(4, submissionOf(4))
	if len(host.heldRequests) != 0 || host.refusals[3] != storeUnavailable || host.refusals[4] != overloaded {
		t.Errorf("%d calls, refused with %+v and %+v", len(host.heldRequests), host.refusals[3], host.refusals[4])
	}
}

// TestQueriesShareConfirmations confirms known jobs by one transaction without writes.
func TestQueriesShareConfirmations(t *testing.T) {
	f, host := newFrontEnd(t)
	host.counts = map[string]wire.JobCount{jobID(1): {Running: 2, Done: 1}}
	for n := range 3 {
		f.cache.PutOpen(jobID(n), &jobcache.OpenJob{Version: uint64(n + 1)})
	}
	f.Query(0, jobID(0))
	f.Query(1, jobID(1))
	f.Query(2, jobID(2))
	host.next(t, httpstatus.OK, wire.TxnResult{}) // for the first one alone
	host.now += f.heartbeatInterval() / 10
	f.Tick()
	txn := txnOf(t, host.next(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(2))}}))
	if len(txn.Writes) != 0 || len(txn.Conditions) != 2 {
		t.Errorf("%d writes, %d conditions, want none and 2", len(txn.Writes), len(txn.Conditions))
	}
	if got, want := host.answers[1], `200 {"nameId":"job-1","status":"running","done":1,"running":2}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
	// The record of the last one has changed: it is read, first the open one, then the final.
	host.next(t, httpstatus.NotFound, nil)
	host.next(t, httpstatus.OK, wire.Item{Version: 9, Value: kv.Encode(records.Final{Status: wire.StatusDone, Tasks: 4})})
	if got, want := host.answers[2], `200 {"nameId":"job-2","status":"done","done":4,"running":0}`; got != want {
		t.Errorf("answered %s, want %s", got, want)
	}
}

// TestCancellationWaits acknowledges a cancellation when the job's end is on record, and asks the
// user to retry where that takes long.
func TestCancellationWaits(t *testing.T) {
	for _, tc := range []struct {
		name    string
		delayed bool
		then    func(f *FrontEnd, host *fakeHost)
		answer  string
		refusal Refusal
	}{
		{"tasks terminated", false, func(f *FrontEnd, _ *fakeHost) {
			f.JobEnded(wire.JobEnd{ID: jobID(1), Status: string(wire.StatusCancelled), Tasks: 1})
		}, `200 {"nameId":"job-1","status":"withdrawn","done":0,"running":0}`, Refusal{}},
		{"tasks unreachable", true, func(*FrontEnd, *fakeHost) {}, "", tasksStillStopping},
		{"the leader says so", false, func(f *FrontEnd, _ *fakeHost) {
			f.HandleEnds(&wire.Ends{Held: []string{jobID(1)}})
		}, "", tasksStillStopping},
		{"timeout", false, func(f *FrontEnd, host *fakeHost) {
			host.now += f.cancellationTimeout()
			f.Tick()
		}, "", tasksStillStopping},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, host := newFrontEnd(t)
			host.stopDelayed = tc.delayed
			f.cache.PutOpen(jobID(1), &jobcache.OpenJob{Version: 5, Record: records.Open{Job: wire.Job{ID: jobID(1), Tasks: 1}}})
			f.Cancel(1, jobID(1))
			host.next(t, httpstatus.OK, wire.TxnResult{})
			txn := txnOf(t, host.next(t, httpstatus.OK, wire.TxnResult{Revision: 6}))
			if len(txn.Writes) != 1 || !strings.Contains(string(txn.Writes[0].Value), `"c":true`) {
				t.Errorf("the request is recorded by %+v", txn)
			}
			if len(host.stopped) != 1 {
				t.Errorf("the leader knows of %q", host.stopped)
			}
			tc.then(f, host)
			if host.answers[1] != tc.answer || host.refusals[1] != tc.refusal {
				t.Errorf("answered %s, refused with %+v", host.answers[1], host.refusals[1])
			}
		})
	}
}

// TestCancellationConflicts retries a cancellation a few times while others change the record.
func TestCancellationConflicts(t *testing.T) {
	f, host := newFrontEnd(t)
	open := records.Open{Job: wire.Job{ID: jobID(1), Tasks: 1}}
	f.Cancel(1, jobID(1))
	writes := 0
	for host.refusals[1] == (Refusal{}) {
		// It is read anew each time, and has changed again when it is written.
		host.next(t, httpstatus.OK, wire.Item{Version: uint64(writes), Value: kv.Encode(open)})
		if len(host.heldRequests) == 0 {
			break
		}
		host.next(t, httpstatus.Conflict, wire.TxnResult{Conflicts: []string{records.OpenKey(jobID(1))}})
		writes++
	}
	if writes != maxCancellationRetries+1 || host.refusals[1] != storeUnavailable {
		t.Errorf("%d writes, refused with %+v", writes, host.refusals[1])
	}
}
