package kv

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// A Transport sends requests to the store. It calls done once: with the answer, or with
// StatusCode 0 if none came within the request's timeout.
type Transport interface {
	// Send sends a request.
	Send(request Request, done func(Response))
	// Now returns the time of a monotonic clock.
	Now() time.Duration
}

// A Client calls the store for one controller. It tracks the limits that the store enforces and
// whether the store is available.
type Client struct {
	Limits

	transport        Transport
	workers          *config.WorkerTimings
	unavailableSince time.Duration // 0 while the store is available
}

// NewClient creates a client. The deployment's settings give the store's limits; the client's
// timeouts are fractions of the workers' lease and heartbeat interval.
func NewClient(transport Transport, deployment *config.Deployment) *Client {
	return &Client{
		Limits:    Limits{announced: &deployment.Store},
		transport: transport,
		workers:   &deployment.Workers,
	}
}

func (c *Client) workerLease() time.Duration { return c.workers.Lease() }

func (c *Client) heartbeatInterval() time.Duration { return c.workers.HeartbeatInterval() }

// Timeout bounds a call to the store. Several attempts must fit within a worker's lease.
func (c *Client) Timeout() time.Duration { return c.workerLease() / 5 }

// commitTimeout bounds a transaction. The store answers within milliseconds, occasionally within
// a few hundred; an answer that takes longer may never come. Retrying is safe: every transaction
// is conditional on the keys that it changes, so once one copy is executed, the other one has no
// effect. With the longer Timeout, a leader placed no tasks for seconds after each transaction
// without an answer, and users' queries were answered too late.
func (c *Client) commitTimeout() time.Duration { return c.heartbeatInterval() / 3 }

// listTimeout bounds the read of a page.
func (c *Client) listTimeout() time.Duration { return 2 * c.Timeout() }

// Get reads a key. It does not update Available; a caller that wants that calls Observe.
func (c *Client) Get(key string, done func(GetResult)) {
	request := getRequest(key)
	request.Timeout = c.Timeout()
	c.transport.Send(request, func(r Response) { done(ParseGet(r)) })
}

// List reads a page of the keys with a prefix, in order, starting after the given key.
func (c *Client) List(prefix, after string, done func(ListResult)) {
	c.list(listRequest(prefix, after), done)
}

// ListUrgent is List as an urgent request.
func (c *Client) ListUrgent(prefix, after string, done func(ListResult)) {
	request := listRequest(prefix, after)
	request.Urgent = true
	c.list(request, done)
}

func (c *Client) list(request Request, done func(ListResult)) {
	request.Timeout = c.listTimeout()
	c.transport.Send(request, func(r Response) {
		result := ParseList(r)
		c.Observe(result.Status)
		done(result)
	})
}

// Commit executes a transaction.
func (c *Client) Commit(txn *wire.Txn, done func(TxnResult)) {
	c.commit(commitRequest(txn), done)
}

// CommitUrgent is Commit as an urgent request.
func (c *Client) CommitUrgent(txn *wire.Txn, done func(TxnResult)) {
	request := commitRequest(txn)
	request.Urgent = true
	c.commit(request, done)
}

func (c *Client) commit(request Request, done func(TxnResult)) {
	request.Timeout = c.commitTimeout()
	c.transport.Send(request, func(r Response) {
		result := ParseTxn(r)
		c.Observe(result.Status)
		done(result)
	})
}

// Grant requests a lease.
func (c *Client) Grant(ttl time.Duration, done func(GrantResult)) {
	request := grantRequest(ttl)
	request.Urgent = true
	request.Timeout = c.Timeout()
	c.transport.Send(request, func(r Response) { done(ParseGrant(r)) })
}

// Renew renews a lease; NotFound means that it has expired.
func (c *Client) Renew(lease uint64, timeout time.Duration, done func(Status)) {
	request := renewRequest(lease)
	request.Urgent = true
	request.Timeout = timeout
	c.transport.Send(request, func(r Response) { done(StatusOf(r.StatusCode)) })
}

// Watch waits until a key with a prefix changes after a revision, or until the hold time has
// passed.
func (c *Client) Watch(prefix string, since uint64, hold time.Duration, done func(WatchResult)) {
	request := watchRequest(prefix, since, hold)
	request.Timeout = hold + c.workerLease()/2
	c.transport.Send(request, func(r Response) { done(ParseWatch(r)) })
}

// Observe updates Available from the status of a call. List and Commit call it themselves.
func (c *Client) Observe(status Status) {
	switch status {
	case Unanswered, Unavailable:
		if c.unavailableSince == 0 {
			c.unavailableSince = c.transport.Now()
		}
	case Throttled: // says nothing: the controller's own rate limit may have rejected the call
	case OK, NotFound, Conflict, Rejected, Compacted, Failed:
		c.unavailableSince = 0
	}
}

// Available reports whether the store answered the last observed call.
func (c *Client) Available() bool { return c.unavailableSince == 0 }

// UnavailableFor returns how long the store has been unavailable; 0 if it is available.
func (c *Client) UnavailableFor() time.Duration {
	if c.unavailableSince == 0 {
		return 0
	}
	return c.transport.Now() - c.unavailableSince
}
