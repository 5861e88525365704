package worker

import (
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// response is what the fake workers answer.
const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// fakeWorkers listen on loopback.
type fakeWorkers struct {
	accepted chan string // the addresses to which connections were made
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

// serve responds to the requests of a connection until its client closes it.
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

// status asks a worker for its state.
func status(client *Client, addr string, timeout time.Duration) core.Result {
	return client.Do(core.Call{Address: addr, Method: "GET", Path: "/status", Timeout: timeout})
}

// TestConnectionLimit sends commands to more workers than there are sockets for. The
// client keeps to its part of them, closes the connection that is idle for longest, not
// all of them, and does not send what gets no socket in time.
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
		if result := status(client, address, time.Minute); result.Status != 200 {
			t.Fatalf("status %d", result.Status)
		}
	}
	if len(client.connections) != limit {
		t.Errorf("%d connections are kept, %d allowed", len(client.connections), limit)
	}
	for range addresses {
		<-accepted
	}
	for _, address := range addresses[1:] {
		status(client, address, time.Minute)
	}
	if len(accepted) != 0 {
		t.Errorf("%d kept connections were dialled again", len(accepted))
	}
	if status(client, addresses[0], time.Minute); len(accepted) != 1 {
		t.Error("the oldest connection was kept beyond the limit")
	}
	hangingCalls(t, client, limit)
	if result := status(client, addresses[1], time.Millisecond); !result.NotSent {
		t.Errorf("a call without a socket: %+v", result)
	}
}

// hangingCalls makes calls to a worker that does not respond, and returns once all are under way.
func hangingCalls(t *testing.T, client *Client, count int) {
	t.Helper()
	hanging := &fakeWorkers{accepted: make(chan string, count), respond: func(net.Conn) error { return nil }}
	address := hanging.listen(t)
	for range count {
		go status(client, address, time.Minute)
	}
	for len(client.semaphore) < count {
		time.Sleep(time.Millisecond)
	}
}
