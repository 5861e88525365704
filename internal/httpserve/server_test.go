package httpserve

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
)

// failingListener is a listener whose first calls of Accept fail.
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

// TestServesAfterAcceptErrors checks that a server still accepts connections after the process was
// out of file descriptors for a while.
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
		t.Errorf("response after failed accepts: got %+v (error %v), want status 204", response, err)
	}
}

// awaitConnection waits until a server has an open connection.
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

// TestCloseAll checks that CloseAll closes a connection whose request is not answered yet.
func TestCloseAll(t *testing.T) {
	server, err := Listen("127.0.0.1:0", &Traffic{}, func(*httpwire.Request, func(Response)) {})
	if err != nil {
		t.Fatal(err)
	}
	client := httpwire.Client{Addr: server.Addr(), MaxIdle: 1}
	failed := make(chan error, 1)
	go func() {
		_, err := client.Do("GET", "/", nil, time.Minute)
		failed <- err
	}()
	awaitConnection(server)
	server.CloseAll()
	if err := <-failed; err == nil {
		t.Error("request in flight at CloseAll: got a response, want an error")
	}
}
