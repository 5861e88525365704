package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
)

// storeTransport sends the requests of the key-value store's client as calls of the core.
type storeTransport struct{ core *Core }

// Now returns the monotonic time.
func (t storeTransport) Now() time.Duration { return t.core.now }

// Send makes a call to the store.
func (t storeTransport) Send(request kv.Request, done func(kv.Response)) {
	call := Call{
		Destination: DestinationStore,
		Method:      request.Method,
		Path:        request.Path,
		Body:        request.Body,
		Timeout:     request.Timeout,
		Writes:      request.Writes,
		Urgent:      request.Urgent,
		Watch:       request.Watch,
	}
	t.core.call(call, func(r Result) { done(kv.Response{StatusCode: r.Status, Body: r.Body}) })
}

// recordRejectedWrites records that the store rejected a transaction with a number of writes, and
// reports whether the same changes may be accepted in smaller transactions.
func (c *Core) recordRejectedWrites(writes int) bool {
	if !c.store.LowerMaxWrites(writes) {
		return false
	}
	c.log.Info("store rejected a transaction; reducing the maximum writes per transaction", "writes", c.store.MaxWrites())
	return true
}
