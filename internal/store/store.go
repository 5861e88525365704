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
	http    httpwire.Client
	watches httpwire.Client
	reqs    *budget.Bucket
	writes  *budget.Bucket
	slots   chan struct{} // a token for each call under way that is not urgent
}

// share is the part of the sockets that calls which are not urgent may take: a
// state service that does not answer holds each until its deadline.
const share = 48

// New makes a client under the settings' limits. A tenth is left unused, for
// what other controllers send at the same time.
func New(s *config.Settings) *Client {
	d := s.Deployment.State
	return &Client{
		http:    httpwire.Client{Addr: s.External.State, MaxIdle: 8},
		watches: httpwire.Client{Addr: s.External.State, MaxIdle: 1},
		reqs:    budget.New(0.9*d.RPS, 0.5*d.RPS),
		writes:  budget.New(0.9*d.WriteRPS, 0.9*d.WriteRPS),
		slots:   make(chan struct{}, max(4, s.Deployment.Limits.MaxConnections/share)),
	}
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(k core.Call) core.Result {
	deadline := time.Now().Add(k.Timeout)
	if k.Watch {
		return result(k, &c.watches, deadline)
	}
	if !k.Urgent {
		wait := time.NewTimer(k.Timeout)
		defer wait.Stop()
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-wait.C:
			return core.Result{ID: k.ID, NotSent: true, Status: 429}
		}
	}
	for {
		left := time.Until(deadline)
		wait, ok := c.reqs.Take(1, k.Urgent, left)
		if ok && k.Writes > 0 {
			var w time.Duration
			w, ok = c.writes.Take(float64(k.Writes), k.Urgent, left)
			wait = max(wait, w)
		}
		if !ok {
			return core.Result{ID: k.ID, NotSent: true, Status: 429}
		}
		time.Sleep(wait)
		r := result(k, &c.http, deadline)
		if r.Status != 429 || time.Until(deadline) < 100*time.Millisecond {
			return r
		}
		time.Sleep(60 * time.Millisecond)
	}
}

func result(k core.Call, h *httpwire.Client, deadline time.Time) core.Result {
	r, err := h.Do(k.Method, k.Path, k.Body, time.Until(deadline))
	if err != nil && k.Method == "GET" && !k.Watch && time.Until(deadline) > 0 {
		// A kept connection may have been reset; a read can be repeated.
		h.CloseIdle()
		r, err = h.Do(k.Method, k.Path, k.Body, time.Until(deadline))
	}
	if err != nil {
		h.CloseIdle()
		return core.Result{ID: k.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: k.ID, Status: r.Status, Body: r.Body}
}
