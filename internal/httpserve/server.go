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
	handle   Handler
	traffic  *Traffic

	mu    sync.Mutex
	conns map[net.Conn]bool // nil once all were closed
}

// Listen begins to serve an address; port 0 takes a free port. The traffic is counted in t.
func Listen(addr string, t *Traffic, h Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := newServer(l, t, h)
	go s.accept()
	return s, nil
}

func newServer(l net.Listener, t *Traffic, h Handler) *Server {
	return &Server{listener: l, handle: h, traffic: t, conns: map[net.Conn]bool{}}
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

// opened notes a connection; false if all are closed.
func (s *Server) opened(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) ended(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetry) // no file descriptor is free just now
		default:
			go s.serve(c)
		}
	}
}

// acceptRetry is how long after a connection that could not be taken the next one is.
const acceptRetry = 20 * time.Millisecond

// maxHold is longer than any request waits for its answer: a watch takes the
// longest.
const maxHold = 70 * time.Second

// readSize is how much room a read has at the least.
const readSize = 4 << 10

// serve answers the requests of one connection, one after the other.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	if !s.opened(c) {
		return
	}
	defer s.ended(c)
	var in []byte
	for {
		r, n, err := httpwire.ParseRequest(in)
		switch {
		case errors.Is(err, httpwire.ErrPartial):
			if in, err = readMore(c, in); err != nil {
				return
			}
			continue
		case err != nil:
			return
		}
		in = append(in[:0], in[n:]...)
		out, ok := s.answer(r)
		if !ok {
			return
		}
		s.traffic.Add(n, len(out))
		if _, err := c.Write(out); err != nil || r.Close {
			return
		}
	}
}

// readMore reads what has arrived behind what is there.
func readMore(c net.Conn, in []byte) ([]byte, error) {
	if cap(in)-len(in) < readSize {
		in = append(make([]byte, 0, 2*cap(in)+readSize), in...)
	}
	n, err := c.Read(in[len(in):cap(in)])
	return in[:len(in)+n], err
}

// answer is the response to a request; false if none comes.
func (s *Server) answer(r *httpwire.Request) ([]byte, bool) {
	done := make(chan Response, 1)
	s.handle(r, func(a Response) {
		select {
		case done <- a:
		default:
		}
	})
	wait := time.NewTimer(maxHold)
	defer wait.Stop()
	select {
	case a := <-done:
		return httpwire.AppendResponse(nil, a.Status, a.Body, a.RetryAfter, false), true
	case <-wait.C:
		return nil, false
	}
}

// Target is a request's path with its query.
func Target(r *httpwire.Request) string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}
