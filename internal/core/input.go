package core

import "github.com/brookwalk/brookwalk/wire"

// Input is the input of a step: a Request, a Result, a PeerInput, a RegionInput or a Tick.
type Input interface {
	// apply processes the input.
	apply(c *Core)
}

// Request is an HTTP request from a user, a worker or a load balancer's health check. It is
// answered with exactly one Answer, in the same step or a later one.
type Request struct {
	ID     uint64 // also the ID of its Answer
	Method string
	Path   string
	Body   []byte
}

// apply routes the request.
func (r Request) apply(c *Core) { c.onRequest(r) }

// Result is the result of a Call.
type Result struct {
	ID      uint64 // of the call
	Status  int    // HTTP status; 0 if no response arrived in time
	Body    []byte
	NotSent bool // the call was not executed and never will be
}

// apply passes the result to the call's handler. The result of a call that is no longer pending is
// dropped.
func (r Result) apply(c *Core) {
	handle, pending := c.pendingCalls[r.ID]
	if !pending {
		return
	}
	delete(c.pendingCalls, r.ID)
	handle(r)
}

// PeerInput is a message from another controller of the region.
type PeerInput struct {
	Message *wire.PeerMessage
}

// apply handles the message.
func (p PeerInput) apply(c *Core) { c.onPeerMessage(p.Message) }

// Tick triggers the periodic work that is due. Ticks occur many times per heartbeat interval.
type Tick struct{}

// apply runs the periodic work.
func (Tick) apply(c *Core) { c.onTick() }
