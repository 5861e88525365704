package cloudapi

import (
	"slices"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// recordingTransport records the requests and answers none of them.
type recordingTransport struct{ requests []Request }

func (t *recordingTransport) Send(request Request, _ func(Response)) {
	t.requests = append(t.requests, request)
}

// TestRequests checks the request that each call sends against the cloud's protocol.
func TestRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(c *Client)
		want Request
	}{
		{
			"provision",
			func(c *Client) {
				request := wire.ProvisionRequest{ID: "r-5-1", Type: "small", Zone: "a", Spot: true, Count: 3}
				c.Provision(request, func(ProvisionResult) {})
			},
			Request{
				Method:  "POST",
				Path:    "/machines",
				Body:    []byte(`{"charter":"r-5-1","hull":"small","berth":"a","standby":true,"count":3}`),
				Timeout: 4 * time.Second,
			},
		},
		{
			"return, urgent",
			func(c *Client) { c.Return([]string{"n-1", "n-2"}, func(Status) {}) },
			Request{
				Method:  "POST",
				Path:    "/machines/return",
				Body:    []byte(`{"hosts":["n-1","n-2"]}`),
				Timeout: 4 * time.Second,
				Urgent:  true,
			},
		},
		{
			"list",
			func(c *Client) { c.ListMachines("", func(ListResult) {}) },
			Request{Method: "GET", Path: "/machines?limit=500", Timeout: 4 * time.Second},
		},
		{
			"next page",
			func(c *Client) { c.ListMachines("n-500", func(ListResult) {}) },
			Request{Method: "GET", Path: "/machines?limit=500&since=n-500", Timeout: 4 * time.Second},
		},
		{
			"machine types",
			func(c *Client) { c.MachineTypes(func(MachineTypesResult) {}) },
			Request{Method: "GET", Path: "/machine_types", Timeout: 3 * time.Second},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var transport recordingTransport
			tc.call(NewClient(&transport))
			got := transport.requests[0]
			if string(got.Body) != string(tc.want.Body) {
				t.Errorf("body %s, want %s", got.Body, tc.want.Body)
			}
			if got.Method != tc.want.Method || got.Path != tc.want.Path || got.Timeout != tc.want.Timeout || got.Urgent != tc.want.Urgent {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestParseProvision decodes answers to provisioning requests, including malformed ones.
func TestParseProvision(t *testing.T) {
	for _, tc := range []struct {
		name       string
		statusCode int
		body       string
		status     Status
		machines   []string
		malformed  bool
	}{
		{"done", httpstatus.OK, `{"hosts":["n-1","n-2"]}`, Done, []string{"n-1", "n-2"}, false},
		{"done, not decodable", httpstatus.OK, `{`, Done, nil, true},
		{"no capacity", httpstatus.ServiceUnavailable, `{"error":"no capacity"}`, NoCapacity, nil, false},
		{"another error", httpstatus.ServiceUnavailable, `{"error":"trouble"}`, Unavailable, nil, false},
		{"unavailable, not decodable", httpstatus.ServiceUnavailable, `<html>`, Unavailable, nil, false},
		{"no capacity with another status code", httpstatus.TooManyRequests, `{"error":"no capacity"}`, Throttled, nil, false},
		{"rejected", httpstatus.BadRequest, `{}`, Rejected, nil, false},
		{"unanswered", httpstatus.NoAnswer, ``, Unanswered, nil, false},
		{"unknown status code", 599, `{}`, Failed, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ParseProvision(Response{StatusCode: tc.statusCode, Body: []byte(tc.body)})
			if got.Status != tc.status || !slices.Equal(got.Machines, tc.machines) || (got.DecodeError != nil) != tc.malformed {
				t.Errorf("got %+v, want status %v, machines %v, malformed %v", got, tc.status, tc.machines, tc.malformed)
			}
		})
	}
}

// TestParseList decodes pages of the machine list, including malformed ones.
func TestParseList(t *testing.T) {
	for _, tc := range []struct {
		name       string
		statusCode int
		body       string
		status     Status
		machines   int
		more       bool
	}{
		{"a page", httpstatus.OK, `{"hosts":[{},{}],"truncated":true}`, Done, 2, true},
		{"the last page", httpstatus.OK, `{"hosts":[{}]}`, Done, 1, false},
		{"not decodable", httpstatus.OK, `{"hosts":[{}`, Failed, 0, false},
		{"unavailable", httpstatus.ServiceUnavailable, `{"hosts":[{}]}`, Unavailable, 0, false},
		{"unanswered", httpstatus.NoAnswer, ``, Unanswered, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ParseList(Response{StatusCode: tc.statusCode, Body: []byte(tc.body)})
			if got.Status != tc.status || len(got.Page.Machines) != tc.machines || got.Page.More != tc.more {
				t.Errorf("got %+v, want status %v, %d machines, more %v", got, tc.status, tc.machines, tc.more)
			}
		})
	}
}
