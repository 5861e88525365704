package core

import "github.com/brookwalk/brookwalk/wire"

// Input is what a step takes: a Request, a Result, a PeerInput, a RegionInput or a Tick.
type Input interface {
	// apply makes the core act on the input.
	apply(c *Core)
}

// Request is an HTTP request of a user, a worker or a load balancer's health check. It gets one
// Answer, in the same step or a later one.
type Request struct {
	ID     uint64 // of its Answer
	Method string
	Path   string
	Body   []byte
}

// apply routes the request.
func (r Request) apply(c *Core) { c.onRequest(r) }

// Result ends a Call.
type Result struct {
	ID      uint64 // of the call
	Status  int    // HTTP status; 0 if no answer came in time
	Body    []byte
	NotSent bool // the call certainly was not, and will not be, carried out
}

// apply hands the result to whoever made the call; one of a call that has ended is dropped.
func (r Result) apply(c *Core) {
	handle, open := c.pendingCalls[r.ID]
	if !open {
		return
	}
	delete(c.pendingCalls, r.ID)
	handle(r)
}

// PeerInput is a message of another controller of the region.
type PeerInput struct {
	Message *wire.PeerMessage
}

// apply handles the message.
func (p PeerInput) apply(c *Core) { c.onPeerMessage(p.Message) }

// Tick tells the core that time has passed. Ticks come many times in a heartbeat interval.
type Tick struct{}

// apply runs the periodic work.
func (Tick) apply(c *Core) { c.onTick() }
