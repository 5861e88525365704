package hollow

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// traffic counts what passes between the controllers and one kind of stand-in.
type traffic struct {
	requests, requestBytes, responseBytes atomic.Int64
}

func (t *traffic) add(request, response int) {
	t.requests.Add(1)
	t.requestBytes.Add(int64(request))
	t.responseBytes.Add(int64(response))
}

// handler answers a request, now or later, by calling reply at most once.
type handler func(r *httpwire.Request, reply func(status int, body []byte))

// server serves one address of a stand-in.
type server struct {
	listener net.Listener
	handle   handler
	traffic  *traffic
}

// listen begins to serve an address; port 0 takes a free port.
func listen(addr string, t *traffic, h handler) (*server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &server{listener: l, handle: h, traffic: t}
	go s.accept()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go s.serve(c)
	}
}

// maxHold is longer than any request waits for its answer: a watch takes the
// longest.
const maxHold = 70 * time.Second

// readSize is how much room a read has at the least.
const readSize = 4 << 10

// serve answers the requests of one connection, one after the other.
func (s *server) serve(c net.Conn) {
	defer c.Close()
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
		s.traffic.add(n, len(out))
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
func (s *server) answer(r *httpwire.Request) ([]byte, bool) {
	type response struct {
		status int
		body   []byte
	}
	done := make(chan response, 1)
	s.handle(r, func(status int, body []byte) {
		select {
		case done <- response{status, body}:
		default:
		}
	})
	wait := time.NewTimer(maxHold)
	defer wait.Stop()
	select {
	case a := <-done:
		return httpwire.AppendResponse(nil, a.status, a.body, 0, false), true
	case <-wait.C:
		return nil, false
	}
}

// target is a request's path with its query.
func target(r *httpwire.Request) string {
	if r.Query == "" {
		return r.Path
	}
	return r.Path + "?" + r.Query
}
