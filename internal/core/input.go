package core

import "github.com/brookwalk/brookwalk/wire"

// Input is what a step takes: a Request, a Result, a PeerInput, a RegionInput or a Tick.
type Input interface {
	// apply has the core act on the input.
	apply(c *Core)
}

// Request is an HTTP request of a user, a worker or a health check.
type Request struct {
	ID     uint64
	Method string
	Path   string
	Body   []byte
}

func (r Request) apply(c *Core) { c.onRequest(r) }

// Result ends a call. Status 0 means that no answer came; NotSent that the
// call certainly was not executed.
type Result struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool
}

func (r Result) apply(c *Core) {
	end, open := c.pendingCalls[r.ID]
	if !open {
		return
	}
	delete(c.pendingCalls, r.ID)
	end(r)
}

// PeerInput is a message of another controller.
type PeerInput struct {
	Message *wire.PeerMessage
}

func (p PeerInput) apply(c *Core) { c.onPeerMessage(p.Message) }

// Tick tells the core that time has passed.
type Tick struct{}

func (Tick) apply(c *Core) { c.onTick() }
