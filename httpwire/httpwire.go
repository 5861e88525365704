// Package httpwire parses and writes HTTP/1.1 messages with JSON bodies, for servers and
// clients. The parsers accept byte slices that hold only a part of a message, so they suit an event
// loop as well as a blocking reader. Only Client opens sockets. The controllers' front end
// (package node), httpserve and the clients of the key-value store, the cloud and workers use
// it instead of net/http, which would add megabytes to a controller.
package httpwire

import "errors"

// Limits of the parsers, in bytes.
const (
	// MaxHeaderBytes limits the header of a message, and an incomplete trailer line of a chunked
	// one.
	MaxHeaderBytes = 16 << 10
	// MaxRequestBodyBytes limits the body of a request.
	MaxRequestBodyBytes = 64 << 10
	// MaxResponseBodyBytes limits the body of a response.
	MaxResponseBodyBytes = 64 << 20
)

// Errors of the parsers.
var (
	// ErrIncomplete means that more bytes are needed.
	ErrIncomplete = errors.New("httpwire: incomplete message")
	// ErrMalformed means that the bytes are not a valid HTTP/1.1 message.
	ErrMalformed = errors.New("httpwire: malformed message")
	// ErrTooLarge means that the message exceeds one of the limits above.
	ErrTooLarge = errors.New("httpwire: message too large")
)

// Request is a parsed request. It shares no memory with the parsed bytes.
type Request struct {
	Method string
	// Path is the request's target without its query.
	Path string
	// Query is the part of the target after the question mark.
	Query string
	Body  []byte
	// Close means that the client wants the connection closed after the response.
	Close bool
}

// Response is a parsed response. It shares no memory with the parsed bytes.
type Response struct {
	Status int
	Body   []byte
	// Close means that the server closes the connection after the response.
	Close bool
	// RetryAfter is the value of the header of that name, as it was sent.
	RetryAfter string
}

// Reply is a response to be written.
type Reply struct {
	Status int
	// Body is JSON.
	Body []byte
	// RetryAfter is the delay before a retry, in seconds; 0 leaves the header out.
	RetryAfter int
	// Close tells the client that the connection is closed after the response.
	Close bool
}
