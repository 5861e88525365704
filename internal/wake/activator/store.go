package activator

import (
	"net/url"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// The requests below differ from those of kv.Client: the timeouts are multiples of a controller's
// lease, List reads all keys in one request, and an empty list in a transaction is sent as null.

// List reads all keys with a prefix.
func (s *Server) List(prefix string, done func(kv.ListResult)) {
	path := "/store?under=" + url.QueryEscape(prefix)
	s.callStore(methodGet, path, nil, func(r kv.Response) { done(kv.ParseList(r)) })
}

// Commit executes a transaction.
func (s *Server) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	s.callStore(methodPost, "/commit", kv.Encode(txn), func(r kv.Response) { done(kv.ParseTxn(r)) })
}

// Grant requests a lease.
func (s *Server) Grant(ttl time.Duration, done func(kv.GrantResult)) {
	body := kv.Encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})
	s.callStore(methodPost, "/grants", body, func(r kv.Response) { done(kv.ParseGrant(r)) })
}

// Renew renews a lease; NotFound means that it has expired.
func (s *Server) Renew(lease uint64, done func(kv.Status)) {
	path := "/grants/" + strconv.FormatUint(lease, 10) + "/extend"
	s.callStore(methodPost, path, []byte("{}"), func(r kv.Response) { done(kv.StatusOf(r.StatusCode)) })
}

// Watch waits for changes of keys with a prefix after a revision.
func (s *Server) Watch(prefix string, since uint64, done func(kv.WatchResult)) {
	path := "/changes?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&holdMs=" + strconv.Itoa(int(s.watchHold()/time.Millisecond))
	s.call(s.watchClient, methodGet, path, nil, s.watchHold()+s.callTimeout(), func(status int, body []byte) {
		done(kv.ParseWatch(kv.Response{StatusCode: status, Body: body}))
	})
}

// watchHold is how long the store holds a watch open without changes. An activator that was
// partitioned from the store during a watch detects it when the watch times out, callTimeout
// after that time.
func (s *Server) watchHold() time.Duration { return s.leaseMultiple(2) }

// callStore sends a request other than a watch to the store.
func (s *Server) callStore(method, path string, body []byte, done func(kv.Response)) {
	s.call(s.storeClient, method, path, body, s.callTimeout(), func(status int, body []byte) {
		done(kv.Response{StatusCode: status, Body: body})
	})
}
