// Package store is the client of the state service: it keeps to the budgets
// for requests and writes, and retries what was certainly not executed.
package store

import (
	"errors"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Client sends the core's calls to the state service.
type Client struct {
	http      httpwire.Client
	watchHTTP httpwire.Client
	limiter   *RateLimiter
	semaphore budget.Semaphore // of calls that are not urgent
}

// connectionsPerCall is the part of the sockets that calls which are not urgent may take: a
// state service that does not answer holds each until its deadline.
const connectionsPerCall = 48

// RateLimiter keeps calls under the service's published rates.
type RateLimiter struct{ requests, writes *budget.Bucket }

// NewRateLimiter makes a pace. A tenth of the rates is left unused, for what other
// controllers send at the same time.
func NewRateLimiter(settings *config.Settings) *RateLimiter {
	limits := settings.Deployment.Store.Strictest()
	return &RateLimiter{requests: budget.New(0.9*limits.RPS, 0.5*limits.RPS), writes: budget.New(0.9*limits.WriteRPS, 0.9*limits.WriteRPS)}
}

// Reserve returns how long a call has to wait; it is not to be made if that is
// longer than left.
func (p *RateLimiter) Reserve(now time.Time, call *core.Call, left time.Duration) (time.Duration, bool) {
	wait, ok := p.requests.ReserveAt(now, 1, call.Urgent, left)
	if ok && call.Writes > 0 {
		var writeWait time.Duration
		writeWait, ok = p.writes.ReserveAt(now, float64(call.Writes), call.Urgent, left)
		wait = max(wait, writeWait)
	}
	return wait, ok
}

// A call that the service turned away for its rate is made again after Retry,
// if Last is left until its deadline.
const (
	RetryDelay     = 60 * time.Millisecond
	MinTimeToRetry = 100 * time.Millisecond
)

// New makes a client under the settings' limits.
func New(settings *config.Settings) *Client {
	return &Client{
		http:      httpwire.Client{Addr: settings.External.Store, MaxIdle: 8},
		watchHTTP: httpwire.Client{Addr: settings.External.Store, MaxIdle: 1},
		limiter:   NewRateLimiter(settings),
		semaphore: budget.NewSemaphore(max(4, settings.Deployment.MachineLimits.MaxConnections/connectionsPerCall)),
	}
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	if call.Watch {
		return execute(call, &c.watchHTTP, deadline)
	}
	if !call.Urgent {
		if !c.semaphore.Acquire(call.Timeout) {
			return core.Result{ID: call.ID, NotSent: true, Status: 429}
		}
		defer c.semaphore.Release()
	}
	for {
		wait, ok := c.limiter.Reserve(time.Now(), &call, time.Until(deadline))
		if !ok {
			return core.Result{ID: call.ID, NotSent: true, Status: 429}
		}
		time.Sleep(wait)
		response := execute(call, &c.http, deadline)
		if response.Status != 429 || time.Until(deadline) < MinTimeToRetry {
			return response
		}
		time.Sleep(RetryDelay)
	}
}

func execute(call core.Call, client *httpwire.Client, deadline time.Time) core.Result {
	response, err := client.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	if err != nil && call.Method == "GET" && !call.Watch && time.Until(deadline) > 0 {
		// A kept connection may have been reset; a read can be repeated.
		client.CloseIdle()
		response, err = client.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	}
	if err != nil {
		client.CloseIdle()
		return core.Result{ID: call.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: call.ID, Status: response.Status, Body: response.Body}
}
