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
	http httpwire.Client
	reqs *budget.Bucket
}

// New makes a client under the settings' limits.
func New(s *config.Settings) *Client {
	return &Client{
		http: httpwire.Client{Addr: s.External.Cloud, MaxIdle: 4},
		reqs: NewPace(s),
	}
}

// NewPace makes the budget of a controller's calls to the cloud.
func NewPace(s *config.Settings) *budget.Bucket {
	rps := s.Deployment.Cloud.RPS
	return budget.New(0.8*rps, rps)
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(k core.Call) core.Result {
	deadline := time.Now().Add(k.Timeout)
	wait, ok := c.reqs.Take(1, k.Urgent, k.Timeout/2)
	if !ok {
		return core.Result{ID: k.ID, Status: 429, NotSent: true}
	}
	time.Sleep(wait)
	r, err := c.http.Do(k.Method, k.Path, k.Body, time.Until(deadline))
	if err != nil {
		c.http.CloseIdle()
		return core.Result{ID: k.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: k.ID, Status: r.Status, Body: r.Body}
}
