package httpcall

import (
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/loopback/loopbacktest"
)

// TestDo makes a call that is answered, one that times out, and one to an unreachable server.
func TestDo(t *testing.T) {
	server, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, func(r *httpwire.Request, reply func(httpserve.Response)) {
		if r.Path == "/answered" {
			reply(httpserve.Response{Status: httpstatus.NotFound, Body: []byte("{}")})
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.CloseAll)
	for _, tc := range []struct {
		name    string
		addr    string
		path    string
		timeout time.Duration
		status  int
		notSent bool
	}{
		{"answered", server.Addr(), "/answered", time.Minute, httpstatus.NotFound, false},
		{"no answer", server.Addr(), "/ignored", 50 * time.Millisecond, httpstatus.NoAnswer, false},
		{"unreachable", loopbacktest.Addresses(t, 1)[0], "/answered", time.Minute, httpstatus.NoAnswer, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &httpwire.Client{Addr: tc.addr, MaxIdle: 1}
			defer client.CloseIdle()
			call := &core.Call{ID: 7, Method: "GET", Path: tc.path}
			result := Do(client, call, time.Now().Add(tc.timeout))
			if result.ID != call.ID || result.Status != tc.status || result.NotSent != tc.notSent {
				t.Errorf("got %+v, want status %d, not sent %v", result, tc.status, tc.notSent)
			}
		})
	}
}
