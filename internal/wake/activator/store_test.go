package activator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/wire"
)

// storeRequest is a request as the store received it.
type storeRequest struct{ method, target, body string }

// TestStoreRequests checks the request that each call sends against the store's protocol.
func TestStoreRequests(t *testing.T) {
	received := make(chan storeRequest, 1)
	store, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, func(r *httpwire.Request, reply func(httpserve.Response)) {
		received <- storeRequest{r.Method, httpserve.RequestTarget(r), string(r.Body)}
		reply(httpserve.Response{Status: httpstatus.ServiceUnavailable})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.CloseAll)
	server := &Server{
		config:      Config{Registry: &wake.Registry{LeaseSeconds: 10}, Log: slog.New(slog.DiscardHandler)},
		storeClient: &httpwire.Client{Addr: store.Addr(), MaxIdle: 1},
		watchClient: &httpwire.Client{Addr: store.Addr(), MaxIdle: 1},
	}
	t.Cleanup(server.storeClient.CloseIdle)
	t.Cleanup(server.watchClient.CloseIdle)
	for _, tc := range []struct {
		name string
		call func(done func(kv.Status))
		want storeRequest
	}{
		{
			"list", func(done func(kv.Status)) { server.List(wake.Prefix, func(r kv.ListResult) { done(r.Status) }) },
			storeRequest{"GET", "/store?under=wake%2F", ""},
		},
		{
			"commit", func(done func(kv.Status)) {
				txn := &wire.Txn{Writes: []wire.Write{{Put: "wake/c/a", Value: []byte(`{"r":1}`), Lease: 9}}}
				server.Commit(txn, func(r kv.TxnResult) { done(r.Status) })
			},
			storeRequest{"POST", "/commit", `{"if":null,"writes":[{"put":"wake/c/a","v":{"r":1},"permit":9}]}`},
		},
		{
			"grant", func(done func(kv.Status)) { server.Grant(4*time.Second, func(r kv.GrantResult) { done(r.Status) }) },
			storeRequest{"POST", "/grants", `{"ttlMs":4000}`},
		},
		{
			"renew", func(done func(kv.Status)) { server.Renew(9, done) },
			storeRequest{"POST", "/grants/9/extend", "{}"},
		},
		{
			"watch", func(done func(kv.Status)) {
				server.Watch(wake.Prefix, 5, func(r kv.WatchResult) { done(r.Status) })
			},
			storeRequest{"GET", "/changes?under=wake%2F&since=5&holdMs=20000", ""},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := make(chan kv.Status, 1)
			tc.call(func(s kv.Status) { status <- s })
			if got := <-received; got != tc.want {
				t.Errorf("sent %+v, want %+v", got, tc.want)
			}
			if got := <-status; got != kv.Unavailable {
				t.Errorf("got status %v, want kv.Unavailable", got)
			}
		})
	}
}
