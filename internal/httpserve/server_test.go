package httpserve

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// shortOfDescriptors is a listener whose first connections cannot be taken.
type shortOfDescriptors struct {
	net.Listener
	refusals atomic.Int64
}

func (l *shortOfDescriptors) Accept() (net.Conn, error) {
	if l.refusals.Add(-1) >= 0 {
		return nil, errors.New("accept: too many open files")
	}
	return l.Listener.Accept()
}

// A server that is out of file descriptors for a while serves again afterwards.
func TestAcceptsAgain(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	short := &shortOfDescriptors{Listener: l}
	short.refusals.Store(3)
	s := newServer(short, &Traffic{}, func(_ *httpwire.Request, reply func(Response)) { reply(Response{Status: 204}) })
	go s.accept()
	defer s.CloseAll()
	client := httpwire.Client{Addr: s.Addr(), MaxIdle: 1}
	defer client.CloseIdle()
	if a, err := client.Do("GET", "/", nil, 20*time.Second); err != nil || a.Status != 204 {
		t.Errorf("answered %+v (%v)", a, err)
	}
}

// The end of a server ends its connections.
func TestCloseAll(t *testing.T) {
	s, err := Listen("127.0.0.1:0", &Traffic{}, func(*httpwire.Request, func(Response)) {})
	if err != nil {
		t.Fatal(err)
	}
	client := httpwire.Client{Addr: s.Addr(), MaxIdle: 1}
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do("GET", "/", nil, time.Minute)
		ended <- err
	}()
	for { // until the request is there
		s.mu.Lock()
		n := len(s.conns)
		s.mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.CloseAll()
	if err := <-ended; err == nil {
		t.Error("a request was answered by a server that has ended")
	}
}
