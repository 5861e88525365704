// Package worker is the client for direct commands to workers. It owns one connection to each
// worker that was called recently, within a part of the controller's sockets. Package node calls it.
package worker

import (
	"container/list"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/httpcall"
)

// connectionsPerCall is how many of the controller's connections there are for each direct
// command under way.
const connectionsPerCall = 8

// Client keeps a connection to each worker that was called recently, under one bound for those in
// use and those that are idle.
type Client struct {
	semaphore budget.Semaphore

	mu           sync.Mutex
	connections  map[string]*list.Element // of *connection, by address
	recentlyUsed *list.List               // the latest use first
}

// connection is the link to one worker. activeCalls is guarded by Client.mu.
type connection struct {
	addr        string
	http        httpwire.Client
	activeCalls int
}

// New makes a client that keeps its sockets to a part of the settings' limit.
func New(settings *config.Settings) *Client {
	calls := max(1, settings.Deployment.MachineLimits.MaxConnections/connectionsPerCall)
	return &Client{
		semaphore:    budget.NewSemaphore(calls),
		connections:  map[string]*list.Element{},
		recentlyUsed: list.New(),
	}
}

// Do executes a call and blocks until it ends. A call that gets no socket in
// time was not sent.
func (c *Client) Do(call core.Call) core.Result {
	deadline := time.Now().Add(call.Timeout)
	if !c.semaphore.Acquire(call.Timeout) {
		return core.Result{ID: call.ID, NotSent: true}
	}
	defer c.semaphore.Release()
	conn := c.acquire(call.Address)
	defer c.release(conn)
	return httpcall.Do(&conn.http, &call, deadline)
}

// acquire finds or makes the connection to an address, for one call.
func (c *Client) acquire(addr string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.connections[addr]
	if element == nil {
		c.evictIdle()
		element = c.recentlyUsed.PushFront(&connection{addr: addr, http: httpwire.Client{Addr: addr, MaxIdle: 1}})
		c.connections[addr] = element
	}
	c.recentlyUsed.MoveToFront(element)
	conn := connectionOf(element)
	conn.activeCalls++
	return conn
}

// evictIdle closes the connection that has been idle for longest if the bound is reached, so that
// one more can be opened; never all of them. A wave of commands to many workers would
// otherwise dial each of them anew.
func (c *Client) evictIdle() {
	var previous *list.Element
	for element := c.recentlyUsed.Back(); element != nil && len(c.connections) >= cap(c.semaphore); element = previous {
		previous = element.Prev()
		conn := connectionOf(element)
		if conn.activeCalls > 0 {
			continue
		}
		conn.http.CloseIdle()
		delete(c.connections, conn.addr)
		c.recentlyUsed.Remove(element)
	}
}

// release ends a call on a connection.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.activeCalls--
}

// connectionOf is the connection that an element of Client.recentlyUsed holds.
func connectionOf(element *list.Element) *connection { return element.Value.(*connection) }
