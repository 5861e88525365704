package kv

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// TestParseTxn decodes answers to transactions, including malformed ones.
func TestParseTxn(t *testing.T) {
	for _, tc := range []struct {
		name       string
		statusCode int
		body       string
		want       TxnResult
	}{
		{"committed", httpstatus.OK, `{"logline":7}`, TxnResult{Status: OK, Revision: 7}},
		{"committed, not decodable", httpstatus.OK, `{"logline":`, TxnResult{Status: Failed}},
		{"conflict", httpstatus.Conflict, `{"failed":["a","b"],"logline":6}`, TxnResult{Status: Conflict, Revision: 6, Conflicts: []string{"a", "b"}}},
		{"conflict, not decodable", httpstatus.Conflict, `<`, TxnResult{Status: Conflict}},
		{"rejected", httpstatus.BadRequest, `{"error":"too large"}`, TxnResult{Status: Rejected}},
		{"throttled", httpstatus.TooManyRequests, `{}`, TxnResult{Status: Throttled}},
		{"unavailable", httpstatus.ServiceUnavailable, `{}`, TxnResult{Status: Unavailable}},
		{"unanswered", httpstatus.NoAnswer, ``, TxnResult{Status: Unanswered}},
		{"unknown status code", 599, `{}`, TxnResult{Status: Failed}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ParseTxn(Response{StatusCode: tc.statusCode, Body: []byte(tc.body)})
			if got.Status != tc.want.Status || got.Revision != tc.want.Revision || !slices.Equal(got.Conflicts, tc.want.Conflicts) {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			if got.Committed() != (tc.want.Status == OK) {
				t.Errorf("Committed: got %v, want true only for status OK", got.Committed())
			}
		})
	}
}

// fakeTransport answers each request at once with the status code and body that the test sets.
type fakeTransport struct {
	now        time.Duration
	statusCode int
	body       string
	requests   []Request
}

func (f *fakeTransport) Now() time.Duration { return f.now }

func (f *fakeTransport) Send(request Request, done func(Response)) {
	f.requests = append(f.requests, request)
	done(Response{StatusCode: f.statusCode, Body: []byte(f.body)})
}

func newTestClient() (*Client, *fakeTransport) {
	transport := &fakeTransport{now: time.Second}
	deployment := &config.Deployment{
		Store:   config.StoreLimits{ValueKB: 16, TxnOps: 16},
		Workers: config.WorkerTimings{LeaseS: 10, ReportS: 1.5},
	}
	return NewClient(transport, deployment), transport
}

// TestRequests checks the request that each call sends against the store's protocol.
func TestRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(c *Client)
		want Request
	}{
		{
			"get", func(c *Client) { c.Get("o/job-1", func(GetResult) {}) },
			Request{Method: "GET", Path: "/store/o/job-1", Timeout: 2 * time.Second},
		},
		{
			"list", func(c *Client) { c.List("o/", "", func(ListResult) {}) },
			Request{Method: "GET", Path: "/store?under=o/&limit=500", Timeout: 4 * time.Second},
		},
		{
			"next page, urgent", func(c *Client) { c.ListUrgent("o/", "o/a", func(ListResult) {}) },
			Request{Method: "GET", Path: "/store?under=o/&limit=500&since=o/a", Timeout: 4 * time.Second, Urgent: true},
		},
		{
			"commit", func(c *Client) { c.Commit(&wire.Txn{}, func(TxnResult) {}) },
			Request{Method: "POST", Path: "/commit", Body: []byte(`{"if":[],"writes":[]}`), Timeout: 500 * time.Millisecond},
		},
		{
			"commit, urgent", func(c *Client) { c.CommitUrgent(&wire.Txn{Writes: []wire.Write{{Delete: "a"}}}, func(TxnResult) {}) },
			Request{Method: "POST", Path: "/commit", Body: []byte(`{"if":[],"writes":[{"delete":"a"}]}`), Timeout: 500 * time.Millisecond, Writes: 1, Urgent: true},
		},
		{
			"grant", func(c *Client) { c.Grant(2*time.Second, func(GrantResult) {}) },
			Request{Method: "POST", Path: "/grants", Body: []byte(`{"ttlMs":2000}`), Timeout: 2 * time.Second, Urgent: true},
		},
		{
			"renew", func(c *Client) { c.Renew(9, time.Second, func(Status) {}) },
			Request{Method: "POST", Path: "/grants/9/extend", Body: []byte("{}"), Timeout: time.Second, Urgent: true},
		},
		{
			"watch", func(c *Client) { c.Watch("o/", 5, 20*time.Second, func(WatchResult) {}) },
			Request{Method: "GET", Path: "/changes?under=o/&since=5&holdMs=20000", Timeout: 25 * time.Second, Watch: true},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, transport := newTestClient()
			tc.call(client)
			got := transport.requests[0]
			if string(got.Body) != string(tc.want.Body) {
				t.Errorf("body %s, want %s", got.Body, tc.want.Body)
			}
			got.Body, tc.want.Body = nil, nil
			if got.Method != tc.want.Method || got.Path != tc.want.Path || got.Timeout != tc.want.Timeout ||
				got.Writes != tc.want.Writes || got.Urgent != tc.want.Urgent || got.Watch != tc.want.Watch {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestAvailability checks Available and UnavailableFor for a store that stops answering,
// throttles, and answers again.
func TestAvailability(t *testing.T) {
	client, transport := newTestClient()
	for _, step := range []struct {
		statusCode int
		want       time.Duration
	}{
		{httpstatus.OK, 0},
		{httpstatus.NoAnswer, 0}, // unavailable from this step on
		{httpstatus.ServiceUnavailable, time.Second},
		{httpstatus.TooManyRequests, 2 * time.Second},
		{httpstatus.Conflict, 0},
		{httpstatus.TooManyRequests, 0},
	} {
		transport.statusCode = step.statusCode
		client.Commit(&wire.Txn{}, func(TxnResult) {})
		if got := client.UnavailableFor(); got != step.want {
			t.Errorf("after status %d: unavailable for %v, want %v", step.statusCode, got, step.want)
		}
		transport.now += time.Second
	}
	transport.statusCode = httpstatus.NoAnswer
	client.Get("a", func(GetResult) {})
	if !client.Available() {
		t.Error("Available: got false after Get without an answer, want true, since Get does not update it")
	}
}

// TestLimits checks that the limits are lowered when the store rejects what they allow.
func TestLimits(t *testing.T) {
	client, _ := newTestClient()
	if client.MaxWrites() != 16 || client.MaxConditions() != 64 || client.MaxValue() != 16384 || client.ValueLimitReduced() {
		t.Errorf("announced limits: got %d writes, %d conditions, %d bytes, want 16, 64, 16384 and no lower limit for values", client.MaxWrites(), client.MaxConditions(), client.MaxValue())
	}
	if client.LowerMaxWrites(2) || client.MaxWrites() != 16 {
		t.Error("after a transaction with 2 writes was rejected: LowerMaxWrites returned true or lowered MaxWrites, want false and 16 still")
	}
	if !client.LowerMaxWrites(8) || client.MaxWrites() != 6 {
		t.Errorf("after a transaction with 8 writes was rejected: got MaxWrites %d, want 6 and LowerMaxWrites true", client.MaxWrites())
	}
	client.LowerMaxPlacementValue()
	if client.MaxWrites() != 16 || !client.ValueLimitReduced() || client.MaxPlacementValue() != SmallValueBytes || client.MaxValue() != 16384 {
		t.Errorf("after a value was rejected: got %d writes, placement records of %d bytes, want 16 writes, SmallValueBytes and other values unchanged", client.MaxWrites(), client.MaxPlacementValue())
	}
}

// TestDecode decodes a value, the value of a key that does not exist, and a malformed value.
func TestDecode(t *testing.T) {
	if v, err := Decode[int]([]byte("5"), 3); err != nil || v.Value != 5 || v.Version != 3 {
		t.Errorf("valid value: got %+v, error %v, want value 5, version 3", v, err)
	}
	if v, err := Decode[int](nil, 0); err != nil || v.Value != 0 || v.Version != 0 {
		t.Errorf("missing key: got %+v, error %v, want the zero value, version 0", v, err)
	}
	if _, err := Decode[int]([]byte("x"), 3); err == nil {
		t.Error("malformed value: got no error, want one")
	}
}
