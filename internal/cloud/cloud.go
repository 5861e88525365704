// Package cloud is the client of the cloud that provisions machines. It stays within the cloud's
// rate limit and does not retry, since the core retries its requests. Package node calls it; the
// simulation uses the rate limiter.
package cloud

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpcall"
)

// maxIdleConnections bounds the idle connections kept open to the cloud.
const maxIdleConnections = 4

// Client sends the core's calls to the cloud.
type Client struct {
	http    httpwire.Client
	limiter *RateLimiter
}

// New creates a client within the limits of the settings.
func New(settings *config.Settings) *Client {
	return &Client{
		http:    httpwire.Client{Addr: settings.External.Cloud, MaxIdle: maxIdleConnections},
		limiter: NewRateLimiter(settings),
	}
}

// Do makes a call and blocks until it ends.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	wait, ok := c.limiter.Reserve(time.Now(), &call)
	if !ok {
		return core.Result{ID: call.ID, Status: httpstatus.TooManyRequests, NotSent: true}
	}
	time.Sleep(wait)
	return httpcall.Do(&c.http, &call, deadline)
}

// usedShare is the share of the cloud's rate limit that a controller uses. The rest is left for
// the calls of other controllers.
const usedShare = 0.8

// RateLimiter limits the rate of a controller's calls to the cloud.
type RateLimiter struct {
	requests *budget.Bucket
}

// NewRateLimiter creates a limiter for the rate of the settings.
func NewRateLimiter(settings *config.Settings) *RateLimiter {
	rate := settings.Deployment.Cloud.RPS
	return &RateLimiter{requests: budget.New(usedShare*rate, rate)}
}

// Reserve returns how long the caller must wait before it makes a call. If that is longer than
// half of the call's timeout, ok is false and the call must not be made. Urgent calls never wait.
func (l *RateLimiter) Reserve(now time.Time, call *core.Call) (wait time.Duration, ok bool) {
	if call.Urgent {
		l.requests.SpendAt(now, 1)
		return 0, true
	}
	return l.requests.ReserveAt(now, 1, call.Timeout/2)
}
