// Package worker is the client for direct commands to workers. It owns one connection to each
// recently called worker, within a share of the controller's connections. Package node calls it.
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

// connectionsPerCall is the ratio of the controller's connection limit to the number of concurrent
// direct commands.
const connectionsPerCall = 8

// Client keeps a connection to each recently called worker. One limit covers the connections in use
// and the idle ones.
type Client struct {
	semaphore budget.Semaphore

	mu           sync.Mutex
	connections  map[string]*list.Element // of *connection, by address
	recentlyUsed *list.List               // of *connection, most recently used first
}

// connection is the connection to one worker. activeCalls is guarded by Client.mu.
type connection struct {
	addr        string
	http        httpwire.Client
	activeCalls int
}

// New creates a client that uses at most its share of the settings' connection limit.
func New(settings *config.Settings) *Client {
	calls := max(1, settings.Deployment.MachineLimits.MaxConnections/connectionsPerCall)
	return &Client{
		semaphore:    budget.NewSemaphore(calls),
		connections:  map[string]*list.Element{},
		recentlyUsed: list.New(),
	}
}

// Do makes a call and blocks until it ends. A call that gets no connection within its timeout is
// reported as not sent.
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

// acquire returns the connection to an address for one call, and creates it if there is none.
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

// evictIdle closes the least recently used idle connection if the limit is reached, so that one
// more can be opened. It keeps the others: commands to many workers at once would otherwise dial
// each worker again.
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

// connectionOf returns the connection in an element of Client.recentlyUsed.
func connectionOf(element *list.Element) *connection { return element.Value.(*connection) }
