// Package store is the client of the key-value store. It stays within the store's rate limits for
// requests and writes, bounds the sockets in use, and retries calls that the store rejected for
// their rate. It also retries a read without an answer, once. Package node calls it; the simulation
// uses the rate limiter and the times of retries.
package store

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpcall"
)

// Bounds of a client's connections.
const (
	maxIdleConnections = 8
	// connectionsPerCall bounds concurrent non-urgent calls: one for each 48 connections that the
	// controller may have. If the store does not answer, each call holds its connection until its
	// deadline.
	connectionsPerCall = 48
	// minConcurrentCalls is the bound of concurrent non-urgent calls if connectionsPerCall gives fewer.
	minConcurrentCalls = 4
)

// A call that the store rejected for its rate is retried after RetryDelay, if at least
// MinTimeToRetry is left until its deadline.
const (
	RetryDelay     = 60 * time.Millisecond
	MinTimeToRetry = 100 * time.Millisecond
)

// Client sends the core's calls to the key-value store.
type Client struct {
	http      httpwire.Client
	watchHTTP httpwire.Client
	limiter   *RateLimiter
	semaphore budget.Semaphore // bounds concurrent non-urgent calls
}

// New creates a client within the limits of the settings.
func New(settings *config.Settings) *Client {
	calls := max(minConcurrentCalls, settings.Deployment.MachineLimits.MaxConnections/connectionsPerCall)
	return &Client{
		http:      httpwire.Client{Addr: settings.External.Store, MaxIdle: maxIdleConnections},
		watchHTTP: httpwire.Client{Addr: settings.External.Store, MaxIdle: 1},
		limiter:   NewRateLimiter(settings),
		semaphore: budget.NewSemaphore(calls),
	}
}

// Do makes a call and blocks until it ends. Watches are limited neither in rate nor in number.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	if call.Watch {
		return execute(call, &c.watchHTTP, deadline)
	}
	if !call.Urgent {
		if !c.semaphore.Acquire(call.Timeout) {
			return throttled(call)
		}
		defer c.semaphore.Release()
	}
	return c.executeLimited(call, deadline)
}

// executeLimited makes a call within the store's rate limits, and retries it while the store
// rejects it for its rate and time is left.
func (c *Client) executeLimited(call core.Call, deadline time.Time) core.Result {
	for {
		wait, ok := c.limiter.Reserve(time.Now(), &call, time.Until(deadline))
		if !ok {
			return throttled(call)
		}
		time.Sleep(wait)
		result := execute(call, &c.http, deadline)
		if result.Status != httpstatus.TooManyRequests || time.Until(deadline) < MinTimeToRetry {
			return result
		}
		time.Sleep(RetryDelay)
	}
}

// throttled is the result of a call that was not made because of the client's own limits.
func throttled(call core.Call) core.Result {
	return core.Result{ID: call.ID, NotSent: true, Status: httpstatus.TooManyRequests}
}

// execute makes a call. A read without an answer is retried once if time is left, since the idle
// connection that it reused may have been reset.
func execute(call core.Call, client *httpwire.Client, deadline time.Time) core.Result {
	result := httpcall.Do(client, &call, deadline)
	if result.Status == httpstatus.NoAnswer && call.Method == "GET" && !call.Watch && time.Until(deadline) > 0 {
		return httpcall.Do(client, &call, deadline)
	}
	return result
}
