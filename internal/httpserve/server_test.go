package httpserve

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// failingListener is a listener whose first connections cannot be accepted.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("accept: too many open files")
	}
	return l.Listener.Accept()
}

// TestServesAfterAcceptErrors checks that a server that is out of file descriptors for a while
// serves again afterwards.
func TestServesAfterAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	server := newServer(failing, &Traffic{}, func(_ *httpwire.Request, reply func(Response)) { reply(Response{Status: 204}) })
	go server.accept()
	defer server.CloseAll()
	client := httpwire.Client{Addr: server.Addr(), MaxIdle: 1}
	defer client.CloseIdle()
	if response, err := client.Do("GET", "/", nil, 20*time.Second); err != nil || response.Status != 204 {
		t.Errorf("answered %+v (%v)", response, err)
	}
}

// awaitConnection returns once a server has a connection.
func awaitConnection(server *Server) {
	for {
		server.mu.Lock()
		open := len(server.conns)
		server.mu.Unlock()
		if open > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCloseAll checks that the end of a server closes its connections.
func TestCloseAll(t *testing.T) {
	server, err := Listen("127.0.0.1:0", &Traffic{}, func(*httpwire.Request, func(Response)) {})
	if err != nil {
		t.Fatal(err)
	}
	client := httpwire.Client{Addr: server.Addr(), MaxIdle: 1}
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do("GET", "/", nil, time.Minute)
		ended <- err
	}()
	awaitConnection(server)
	server.CloseAll()
	if err := <-ended; err == nil {
		t.Error("a request was answered by a server that has ended")
	}
}
