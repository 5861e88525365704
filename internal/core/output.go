package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Destination is the service that a call goes to.
type Destination int

// Destinations of calls.
const (
	DestinationStore Destination = iota
	DestinationCloud
	DestinationWorker
)

// Answer is the response to a Request.
type Answer struct {
	ID          uint64 // of the Request
	Status      int
	Body        []byte // JSON
	RetryAfterS int    // in seconds; 0 for none
}

// Call is an HTTP call to make. It ends with exactly one Result.
type Call struct {
	ID          uint64 // also the ID of its Result
	Destination Destination
	Address     string // of the worker, for DestinationWorker
	Method      string
	Path        string
	Body        []byte
	Timeout     time.Duration // after which the Result has status 0
	// Writes is the number of puts and deletes, which count toward the store's write rate.
	Writes int
	// Urgent calls take precedence over others when the rate limit is reached.
	Urgent bool
	// Watch marks a call that stays open and needs a connection of its own.
	Watch bool
}

// PeerSend is a message to send to a peer. It may be lost.
type PeerSend struct {
	To      string
	Message *wire.PeerMessage
}

// RegionSend is a message to send to any controller of another region. It may be lost.
type RegionSend struct {
	To      string
	Message *wire.RegionMessage
}

// Output is everything that a step requests. Each slice is in the order of the requests.
type Output struct {
	Answers     []Answer
	Calls       []Call
	PeerSends   []PeerSend
	RegionSends []RegionSend
}
