// Package httpserve serves HTTP requests one after the other on each connection. It is for
// services beside the controllers' own front end: the gate to models that sleep, and the
// stand-ins of the scale run.
package httpserve

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// Traffic counts requests, and the bytes of them and of their answers.
type Traffic struct {
	Requests, RequestBytes, ResponseBytes atomic.Int64
}

// Add counts a request and its answer.
func (t *Traffic) Add(request, response int) {
	t.Requests.Add(1)
	t.RequestBytes.Add(int64(request))
	t.ResponseBytes.Add(int64(response))
}

// Response is the answer to a request.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0 for none
}

// Handler answers a request, now or later, by calling reply at most once.
type Handler func(r *httpwire.Request, reply func(Response))

// Server serves one address.
type Server struct {
	listener net.Listener
	handler  Handler
	traffic  *Traffic

	mu    sync.Mutex
	conns map[net.Conn]bool // nil once all were closed
}

// Listen begins to serve an address; port 0 takes a free port. The traffic is counted in t.
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

// Addr is the address that is served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the service of new connections.
func (s *Server) Close() error { return s.listener.Close() }

// CloseAll ends the service of all connections, as the end of a process does.
func (s *Server) CloseAll() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// trackConn notes a connection; false if all are closed.
func (s *Server) trackConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) untrackConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay) // no file descriptor is free just now
		default:
			go s.serve(conn)
		}
	}
}

// acceptRetryDelay is how long after a connection that could not be taken the next one is.
const acceptRetryDelay = 20 * time.Millisecond

// answerTimeout is longer than any request waits for its answer: a watch takes the
// longest.
const answerTimeout = 70 * time.Second

// minReadBytes is how much room a read has at the least.
const minReadBytes = 4 << 10

// serve answers the requests of one connection, one after the other.
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

// readMore reads what has arrived behind what is there.
func readMore(conn net.Conn, input []byte) ([]byte, error) {
	if cap(input)-len(input) < minReadBytes {
		input = append(make([]byte, 0, 2*cap(input)+minReadBytes), input...)
	}
	n, err := conn.Read(input[len(input):cap(input)])
	return input[:len(input)+n], err
}

// respond is the response to a request; false if none comes.
func (s *Server) respond(request *httpwire.Request) ([]byte, bool) {
	done := make(chan Response, 1)
	s.handler(request, func(response Response) {
		select {
		case done <- response:
		default:
		}
	})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case response := <-done:
		return httpwire.AppendResponse(nil, httpwire.Reply{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter}), true
	case <-timer.C:
		return nil, false
	}
}

// RequestTarget is a request's path with its query.
func RequestTarget(r *httpwire.Request) string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}
