package worker

import (
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// response is a fake worker's answer to every request.
const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// fakeWorkers accepts connections of several workers on loopback.
type fakeWorkers struct {
	accepted chan string // the worker's address, for each accepted connection
	respond  func(net.Conn) error
}

// listen starts a worker and returns its address.
func (f *fakeWorkers) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go f.accept(listener)
	return listener.Addr().String()
}

// accept serves connections until the listener is closed.
func (f *fakeWorkers) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.accepted <- listener.Addr().String()
		go f.serve(conn)
	}
}

// serve answers the requests of a connection until the client closes it.
func (f *fakeWorkers) serve(conn net.Conn) {
	defer conn.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		if err := f.respond(conn); err != nil {
			return
		}
	}
}

// requestStatus requests a worker's state.
func requestStatus(client *Client, addr string, timeout time.Duration) core.Result {
	return client.Do(core.Call{Address: addr, Method: "GET", Path: "/status", Timeout: timeout})
}

// TestConnectionLimit calls more workers than the client may have connections to. The client must
// keep to its limit, evict only the least recently used idle connection, and report a call as not
// sent if all connections are in use until its timeout.
func TestConnectionLimit(t *testing.T) {
	const limit = 4
	client := New(&config.Settings{Deployment: config.Deployment{
		MachineLimits: config.MachineLimits{MaxConnections: limit * connectionsPerCall},
	}})
	accepted := make(chan string, 100)
	workers := &fakeWorkers{accepted: accepted, respond: func(conn net.Conn) error {
		_, err := conn.Write([]byte(response))
		return err
	}}
	var addresses []string
	for range limit + 1 {
		addresses = append(addresses, workers.listen(t))
	}
	for _, address := range addresses {
		if result := requestStatus(client, address, time.Minute); result.Status != 200 {
			t.Fatalf("call to a worker: got status %d, want 200", result.Status)
		}
	}
	if len(client.connections) != limit {
		t.Errorf("kept connections: got %d, want %d", len(client.connections), limit)
	}
	for range addresses {
		<-accepted
	}
	for _, address := range addresses[1:] {
		requestStatus(client, address, time.Minute)
	}
	if len(accepted) != 0 {
		t.Errorf("calls to the most recent workers dialled %d connections, want 0", len(accepted))
	}
	if requestStatus(client, addresses[0], time.Minute); len(accepted) != 1 {
		t.Error("call to the least recently used worker did not dial, want its connection evicted")
	}
	startHangingCalls(t, client, limit)
	if result := requestStatus(client, addresses[1], time.Millisecond); !result.NotSent {
		t.Errorf("call while all connections are in use: got %+v, want NotSent", result)
	}
}

// startHangingCalls makes calls to a worker that does not respond, and returns once all are in
// flight.
func startHangingCalls(t *testing.T, client *Client, count int) {
	t.Helper()
	hanging := &fakeWorkers{accepted: make(chan string, count), respond: func(net.Conn) error { return nil }}
	address := hanging.listen(t)
	for range count {
		go requestStatus(client, address, time.Minute)
	}
	for len(client.semaphore) < count {
		time.Sleep(time.Millisecond)
	}
}
