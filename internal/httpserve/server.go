// Package httpserve is an HTTP server that handles the requests of a connection in sequence. It
// owns a listener, its connections and a goroutine for each. The activator (package
// wake/activator) and the simulated services of package hollow use it; the controllers' front end
// is in package node.
package httpserve

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// Response is the answer to a request.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0 for none
}

// Handler answers a request by calling reply at most once, before or after it returns.
type Handler func(r *httpwire.Request, reply func(Response))

// Server serves one address.
type Server struct {
	listener net.Listener
	handler  Handler
	traffic  *Traffic

	mu    sync.Mutex
	conns map[net.Conn]bool // open connections; nil after CloseAll
}

// Listen starts a server on an address; port 0 selects a free one. Requests are counted in traffic.
func Listen(addr string, traffic *Traffic, handler Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := newServer(listener, traffic, handler)
	go s.accept()
	return s, nil
}

func newServer(listener net.Listener, traffic *Traffic, handler Handler) *Server {
	return &Server{listener: listener, handler: handler, traffic: traffic, conns: map[net.Conn]bool{}}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections; open ones are still served.
func (s *Server) Close() error { return s.listener.Close() }

// CloseAll closes the listener and all connections, as the system does when a process ends.
func (s *Server) CloseAll() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}

// trackConn adds an open connection; it returns false after CloseAll.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = true
	return true
}

// untrackConn removes a closed connection.
func (s *Server) untrackConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// acceptRetryDelay is the delay after a connection could not be accepted.
const acceptRetryDelay = 20 * time.Millisecond

// accept accepts and serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay) // for example out of file descriptors
		default:
			go s.serve(conn)
		}
	}
}

// serve answers the requests of one connection until it is closed.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if !s.trackConn(conn) {
		return
	}
	defer s.untrackConn(conn)
	var input []byte
	for {
		request, size, err := httpwire.ParseRequest(input)
		switch {
		case errors.Is(err, httpwire.ErrIncomplete):
			if input, err = readMore(conn, input); err != nil {
				return
			}
			continue
		case err != nil:
			return
		}
		input = append(input[:0], input[size:]...)
		output, ok := s.respond(request)
		if !ok {
			return
		}
		s.traffic.Add(size, len(output))
		if _, err := conn.Write(output); err != nil || request.Close {
			return
		}
	}
}

// minReadBytes is the least buffer space for a read.
const minReadBytes = 4 << 10

// readMore reads from a connection and appends to the input.
func readMore(conn net.Conn, input []byte) ([]byte, error) {
	if cap(input)-len(input) < minReadBytes {
		input = append(make([]byte, 0, 2*cap(input)+minReadBytes), input...)
	}
	size, err := conn.Read(input[len(input):cap(input)])
	return input[:len(input)+size], err
}

// answerTimeout bounds how long a handler may take. A watch takes the longest, and less than this.
const answerTimeout = 70 * time.Second

// respond handles a request and returns its response; false if the handler sends none within
// answerTimeout.
func (s *Server) respond(request *httpwire.Request) ([]byte, bool) {
	answered := make(chan Response, 1)
	s.handler(request, func(response Response) {
		select {
		case answered <- response:
		default:
		}
	})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case response := <-answered:
		reply := httpwire.Reply{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter}
		return httpwire.AppendResponse(nil, reply), true
	case <-timer.C:
		return nil, false
	}
}

// RequestTarget returns a request's path with its query.
func RequestTarget(r *httpwire.Request) string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}
