package kv

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// A Transport carries requests to the store. It calls done once with the answer, or with
// Number 0 after the request's timeout.
type Transport interface {
	// Send sends a request.
	Send(request Request, done func(Response))
	// Now is the steady time.
	Now() time.Duration
}

// A Client calls the store for one controller. It keeps what the calls have shown: the
// store's limits, and since when it does not answer.
type Client struct {
	Limits

	transport        Transport
	workers          *config.WorkerTimings
	unavailableSince time.Duration // 0 while the store answers
}

// NewClient makes a client for a deployment, whose settings announce the store's limits. The
// client's timeouts are ratios to the workers' lease and to the interval of their heartbeats.
func NewClient(transport Transport, deployment *config.Deployment) *Client {
	return &Client{
		Limits:    Limits{announced: &deployment.Store},
		transport: transport,
		workers:   &deployment.Workers,
	}
}

func (c *Client) workerLease() time.Duration { return c.workers.Lease() }

func (c *Client) heartbeatInterval() time.Duration { return c.workers.HeartbeatInterval() }

// Timeout bounds a call to the store: several tries must fit before a worker's lease expires.
func (c *Client) Timeout() time.Duration { return c.workerLease() / 5 }

// commitTimeout bounds a transaction. Its answer takes milliseconds, or the few hundred that
// the store takes now and then; one that does not come may never come. Every transaction is
// conditional on what it changes, so it can be retried: whichever copy is carried out first,
// the other one does nothing. With the longer Timeout, a leader placed nothing for seconds
// after each transaction without an answer, and queries of users were answered too late.
func (c *Client) commitTimeout() time.Duration { return c.heartbeatInterval() / 3 }

// listTimeout bounds the reading of a page.
func (c *Client) listTimeout() time.Duration { return 2 * c.Timeout() }

// Get reads a key. It has no effect on Available; callers that want one call Observe.
func (c *Client) Get(key string, done func(GetResult)) {
	request := getRequest(key)
	request.Timeout = c.Timeout()
	c.transport.Send(request, func(r Response) { done(ParseGet(r)) })
}

// List reads a page of the keys below a prefix, in order, beginning after a key.
func (c *Client) List(prefix, after string, done func(ListResult)) {
	c.list(listRequest(prefix, after), done)
}

// ListUrgent is List ahead of other calls.
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

// Commit carries out a transaction.
func (c *Client) Commit(txn *wire.Txn, done func(TxnResult)) {
	c.commit(commitRequest(txn), done)
}

// CommitUrgent is Commit ahead of other calls.
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

// Grant asks for a lease.
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
	c.transport.Send(request, func(r Response) { done(StatusOf(r.Number)) })
}

// Watch waits until a key below a prefix changes after a revision, or until the hold time is
// over.
func (c *Client) Watch(prefix string, since uint64, hold time.Duration, done func(WatchResult)) {
	request := watchRequest(prefix, since, hold)
	request.Timeout = hold + c.workerLease()/2
	c.transport.Send(request, func(r Response) { done(ParseWatch(r)) })
}

// Observe keeps track of whether the store answers this controller.
func (c *Client) Observe(status Status) {
	switch status {
	case Unanswered, Unavailable:
		if c.unavailableSince == 0 {
			c.unavailableSince = c.transport.Now()
		}
	case Throttled: // shows neither
	case OK, NotFound, Conflict, Rejected, Compacted, Failed:
		c.unavailableSince = 0
	}
}

// Available reports whether the store answered this controller's last call.
func (c *Client) Available() bool { return c.unavailableSince == 0 }

// UnavailableFor is how long the store has not answered; 0 while it does.
func (c *Client) UnavailableFor() time.Duration {
	if c.unavailableSince == 0 {
		return 0
	}
	return c.transport.Now() - c.unavailableSince
}
