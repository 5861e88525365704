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
	pace    *Pace
	slots   budget.Slots // of calls that are not urgent
}

// share is the part of the sockets that calls which are not urgent may take: a
// state service that does not answer holds each until its deadline.
const share = 48

// Pace keeps calls under the service's published rates.
type Pace struct{ reqs, writes *budget.Bucket }

// NewPace makes a pace. A tenth of the rates is left unused, for what other
// controllers send at the same time.
func NewPace(s *config.Settings) *Pace {
	d := s.Deployment.State.Bound()
	return &Pace{reqs: budget.New(0.9*d.RPS, 0.5*d.RPS), writes: budget.New(0.9*d.WriteRPS, 0.9*d.WriteRPS)}
}

// Take returns how long a call has to wait; it is not to be made if that is
// longer than left.
func (p *Pace) Take(now time.Time, k *core.Call, left time.Duration) (time.Duration, bool) {
	wait, ok := p.reqs.TakeAt(now, 1, k.Urgent, left)
	if ok && k.Writes > 0 {
		var w time.Duration
		w, ok = p.writes.TakeAt(now, float64(k.Writes), k.Urgent, left)
		wait = max(wait, w)
	}
	return wait, ok
}

// A call that the service turned away for its rate is made again after Retry,
// if Last is left until its deadline.
const (
	Retry = 60 * time.Millisecond
	Last  = 100 * time.Millisecond
)

// New makes a client under the settings' limits.
func New(s *config.Settings) *Client {
	return &Client{
		http:    httpwire.Client{Addr: s.External.State, MaxIdle: 8},
		watches: httpwire.Client{Addr: s.External.State, MaxIdle: 1},
		pace:    NewPace(s),
		slots:   budget.NewSlots(max(4, s.Deployment.Limits.MaxConnections/share)),
	}
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(k core.Call) core.Result {
	deadline := time.Now().Add(k.Timeout)
	if k.Watch {
		return result(k, &c.watches, deadline)
	}
	if !k.Urgent {
		if !c.slots.Take(k.Timeout) {
			return core.Result{ID: k.ID, NotSent: true, Status: 429}
		}
		defer c.slots.Free()
	}
	for {
		wait, ok := c.pace.Take(time.Now(), &k, time.Until(deadline))
		if !ok {
			return core.Result{ID: k.ID, NotSent: true, Status: 429}
		}
		time.Sleep(wait)
		r := result(k, &c.http, deadline)
		if r.Status != 429 || time.Until(deadline) < Last {
			return r
		}
		time.Sleep(Retry)
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
