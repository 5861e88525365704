// Package cloud is the client of the cloud that provisions machines. It keeps to the cloud's rate and
// does not retry: the core repeats its requests. Package node calls it; the simulation uses the
// rate limiter.
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

// maxIdleConnections bounds how many idle connections to the cloud are kept.
const maxIdleConnections = 4

// Client sends the core's calls to the cloud.
type Client struct {
	http    httpwire.Client
	limiter *RateLimiter
}

// New makes a client under the settings' limits.
func New(settings *config.Settings) *Client {
	return &Client{
		http:    httpwire.Client{Addr: settings.External.Cloud, MaxIdle: maxIdleConnections},
		limiter: NewRateLimiter(settings),
	}
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	wait, ok := c.limiter.Reserve(time.Now(), &call)
	if !ok {
		return core.Result{ID: call.ID, Status: httpstatus.TooManyRequests, NotSent: true}
	}
	time.Sleep(wait)
	return httpcall.Do(&c.http, &call, deadline)
}

// usedShare is the part of the cloud's rate that a controller uses. The rest is for the calls of
// other controllers.
const usedShare = 0.8

// RateLimiter keeps a controller's calls under the cloud's rate.
type RateLimiter struct {
	requests *budget.Bucket
}

// NewRateLimiter makes a limiter for the settings' rate.
func NewRateLimiter(settings *config.Settings) *RateLimiter {
	rate := settings.Deployment.Cloud.RPS
	return &RateLimiter{requests: budget.New(usedShare*rate, rate)}
}

// Reserve returns how long a call has to wait. It is not to be made if that is longer than half
// of its timeout; urgent calls never wait.
func (l *RateLimiter) Reserve(now time.Time, call *core.Call) (wait time.Duration, ok bool) {
	if call.Urgent {
		l.requests.SpendAt(now, 1)
		return 0, true
	}
	return l.requests.ReserveAt(now, 1, call.Timeout/2)
}
