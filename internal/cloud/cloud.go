// Package cloud is the client of the cloud that rents machines.
package cloud

import (
	"errors"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Client sends the core's calls to the cloud under its rate.
type Client struct {
	http    httpwire.Client
	limiter *budget.Bucket
}

// New makes a client under the settings' limits.
func New(settings *config.Settings) *Client {
	return &Client{
		http:    httpwire.Client{Addr: settings.External.Cloud, MaxIdle: 4},
		limiter: NewRateLimiter(settings),
	}
}

// NewRateLimiter makes the budget of a controller's calls to the cloud.
func NewRateLimiter(settings *config.Settings) *budget.Bucket {
	rps := settings.Deployment.Cloud.RPS
	return budget.New(0.8*rps, rps)
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	wait, ok := c.limiter.Reserve(1, call.Urgent, call.Timeout/2)
	if !ok {
		return core.Result{ID: call.ID, Status: 429, NotSent: true}
	}
	time.Sleep(wait)
	response, err := c.http.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	if err != nil {
		c.http.CloseIdle()
		return core.Result{ID: call.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: call.ID, Status: response.Status, Body: response.Body}
}
