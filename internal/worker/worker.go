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

// connectionsPerCall is the part of the sockets that direct commands may take.
const connectionsPerCall = 8

// Client keeps a connection to each worker that it has lately talked to, under
// one bound for those in use and those that are idle.
type Client struct {
	semaphore budget.Semaphore

	mu           sync.Mutex
	connections  map[string]*list.Element // of *link, by address
	recentlyUsed *list.List               // the latest use first
}

type connection struct {
	addr        string
	http        httpwire.Client
	activeCalls int // calls under way
}

// New makes a client that keeps its sockets to a share of the limit.
func New(settings *config.Settings) *Client {
	return &Client{semaphore: budget.NewSemaphore(max(1, settings.Deployment.MachineLimits.MaxConnections/connectionsPerCall)),
		connections: map[string]*list.Element{}, recentlyUsed: list.New()}
}

// Do executes a call and blocks until it ends. A call that gets no socket in
// time was not sent.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	if !c.semaphore.Acquire(call.Timeout) {
		return core.Result{ID: call.ID, NotSent: true}
	}
	defer c.semaphore.Release()
	conn := c.acquire(call.Addr)
	defer c.release(conn)
	response, err := conn.http.Do(call.Method, call.Path, call.Body, time.Until(deadline))
	if err != nil {
		conn.http.CloseIdle()
		return core.Result{ID: call.ID, NotSent: errors.Is(err, httpwire.ErrNotSent)}
	}
	return core.Result{ID: call.ID, Status: response.Status, Body: response.Body}
}

// acquire finds or makes the link to an address. Where the bound is reached the
// link that has been idle for longest makes way, never all of them: a wave of
// commands to many workers would else dial each of them anew.
func (c *Client) acquire(addr string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.connections[addr]
	if element == nil {
		for candidate := c.recentlyUsed.Back(); candidate != nil && len(c.connections) >= cap(c.semaphore); {
			evicted := candidate
			candidate = candidate.Prev()
			if conn := evicted.Value.(*connection); conn.activeCalls == 0 {
				conn.http.CloseIdle()
				delete(c.connections, conn.addr)
				c.recentlyUsed.Remove(evicted)
			}
		}
		element = c.recentlyUsed.PushFront(&connection{addr: addr, http: httpwire.Client{Addr: addr, MaxIdle: 1}})
		c.connections[addr] = element
	}
	c.recentlyUsed.MoveToFront(element)
	conn := element.Value.(*connection)
	conn.activeCalls++
	return conn
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.activeCalls--
}
