// Package worker sends direct commands to workers.
package worker

import (
	"errors"
	"sync"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Client keeps one connection to each worker it has lately talked to.
type Client struct {
	mu      sync.Mutex
	max     int
	clients map[string]*httpwire.Client
}

// New makes a client that keeps its sockets to a share of the limit.
func New(s *config.Settings) *Client {
	return &Client{max: max(1, s.Deployment.Limits.MaxConnections/4), clients: map[string]*httpwire.Client{}}
}

// Do executes a call and blocks until it ends.
func (c *Client) Do(k core.Call) core.Result {
	h := c.client(k.Addr)
	r, err := h.Do(k.Method, k.Path, k.Body, k.Timeout)
	if err != nil {
		h.CloseIdle()
		return core.Result{ID: k.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: k.ID, Status: r.Status, Body: r.Body}
}

func (c *Client) client(addr string) *httpwire.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[addr]
	if h == nil {
		if len(c.clients) >= c.max {
			for _, old := range c.clients {
				old.CloseIdle()
			}
			c.clients = map[string]*httpwire.Client{}
		}
		h = &httpwire.Client{Addr: addr, MaxIdle: 1}
		c.clients[addr] = h
	}
	return h
}
