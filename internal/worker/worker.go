// Package worker sends direct commands to workers.
package worker

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// share is the part of the sockets that direct commands may take.
const share = 8

// Client keeps a connection to each worker that it has lately talked to, under
// one bound for those in use and those that are idle.
type Client struct {
	slots budget.Slots

	mu    sync.Mutex
	links map[string]*list.Element // of *link, by address
	order *list.List               // the latest use first
}

type link struct {
	addr string
	http httpwire.Client
	busy int // calls under way
}

// New makes a client that keeps its sockets to a share of the limit.
func New(s *config.Settings) *Client {
	return &Client{slots: budget.NewSlots(max(1, s.Deployment.Limits.MaxConnections/share)),
		links: map[string]*list.Element{}, order: list.New()}
}

// Do executes a call and blocks until it ends. A call that gets no socket in
// time was not sent.
func (c *Client) Do(k core.Call) core.Result {
	deadline := time.Now().Add(k.Timeout)
	if !c.slots.Take(k.Timeout) {
		return core.Result{ID: k.ID, NotSent: true}
	}
	defer c.slots.Free()
	l := c.take(k.Addr)
	defer c.put(l)
	r, err := l.http.Do(k.Method, k.Path, k.Body, time.Until(deadline))
	if err != nil {
		l.http.CloseIdle()
		return core.Result{ID: k.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: k.ID, Status: r.Status, Body: r.Body}
}

// take finds or makes the link to an address. Where the bound is reached the
// link that has been idle for longest makes way, never all of them: a wave of
// commands to many workers would else dial each of them anew.
func (c *Client) take(addr string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.links[addr]
	if e == nil {
		for o := c.order.Back(); o != nil && len(c.links) >= cap(c.slots); {
			old := o
			o = o.Prev()
			if l := old.Value.(*link); l.busy == 0 {
				l.http.CloseIdle()
				delete(c.links, l.addr)
				c.order.Remove(old)
			}
		}
		e = c.order.PushFront(&link{addr: addr, http: httpwire.Client{Addr: addr, MaxIdle: 1}})
		c.links[addr] = e
	}
	c.order.MoveToFront(e)
	l := e.Value.(*link)
	l.busy++
	return l
}

func (c *Client) put(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.busy--
}
