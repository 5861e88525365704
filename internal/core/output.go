package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Destination names who a call goes to.
type Destination int

// The destinations of calls.
const (
	DestinationStore Destination = iota
	DestinationCloud
	DestinationWorker
)

// Answer is the response to a Request.
type Answer struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
}

// Call asks for an HTTP call.
type Call struct {
	ID          uint64
	Destination Destination
	Addr        string // of a worker
	Method      string
	Path        string
	Body        []byte
	Timeout     time.Duration
	// Writes is the number of puts and deletes, for the write budget.
	Writes int
	// Urgent calls go ahead of others when the budget is short.
	Urgent bool
	// Watch marks a call that stays open and needs its own connection.
	Watch bool
}

// Send hands a message to a peer.
type Send struct {
	To      string
	Message *wire.PeerMessage
}

// RegionSend hands a message to any controller of another region.
type RegionSend struct {
	To      string
	Message *wire.RegionMessage
}

// Output is all that a step asks for.
type Output struct {
	Answers   []Answer
	Calls     []Call
	PeerSends []Send

	RegionSends []RegionSend
}
