package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Destination is the service that a call goes to.
type Destination int

// The destinations of calls.
const (
	DestinationStore Destination = iota
	DestinationCloud
	DestinationWorker
)

// Answer is the response to a Request.
type Answer struct {
	ID          uint64 // of the request
	Status      int
	Body        []byte // JSON
	RetryAfterS int    // in seconds; 0 for none
}

// Call asks for an HTTP call. It ends with one Result.
type Call struct {
	ID          uint64 // of its Result
	Destination Destination
	Address     string // of the worker, for DestinationWorker
	Method      string
	Path        string
	Body        []byte
	Timeout     time.Duration // after which the result is that no answer came
	// Writes is the number of puts and deletes, for the store's write rate.
	Writes int
	// Urgent calls go ahead of others when the rate is used up.
	Urgent bool
	// Watch marks a call that stays open and needs a connection of its own.
	Watch bool
}

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      string
	Message *wire.PeerMessage
}

// RegionSend sends a message to any controller of another region. It may be lost.
type RegionSend struct {
	To      string
	Message *wire.RegionMessage
}

// Output is all that a step asks for, each kind in the order in which it came up.
type Output struct {
	Answers     []Answer
	Calls       []Call
	PeerSends   []Send
	RegionSends []RegionSend
}
