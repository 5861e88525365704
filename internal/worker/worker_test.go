package worker

import (
	"net"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// TestConnectionLimit sends commands to more workers than there are sockets for. The
// client keeps to its share, drops the connection that is idle for longest, not
// all of them, and does not send what gets no socket in time.
func TestConnectionLimit(t *testing.T) {
	const keep = 4
	accepted := make(chan string, 100)
	serve := func(answer bool) string {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				accepted <- ln.Addr().String()
				go func() {
					buf := make([]byte, 4096)
					for {
						if _, err := conn.Read(buf); err != nil {
							return
						}
						if answer {
							conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
						}
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	client := New(&config.Settings{Deployment: config.Deployment{MachineLimits: config.MachineLimits{MaxConnections: keep * connectionsPerCall}}})
	ask := func(addr string, timeout time.Duration) core.Result {
		return client.Do(core.Call{Addr: addr, Method: "GET", Path: "/status", Timeout: timeout})
	}
	var addrs []string
	for range keep + 1 {
		addrs = append(addrs, serve(true))
	}
	for _, a := range addrs {
		if r := ask(a, time.Minute); r.Status != 200 {
			t.Fatalf("status %d", r.Status)
		}
	}
	if len(client.connections) != keep {
		t.Errorf("%d connections are kept, %d allowed", len(client.connections), keep)
	}
	for range addrs {
		<-accepted
	}
	for _, a := range addrs[1:] {
		ask(a, time.Minute)
	}
	if len(accepted) != 0 {
		t.Errorf("%d kept connections were dialled again", len(accepted))
	}
	if ask(addrs[0], time.Minute); len(accepted) != 1 {
		t.Error("the oldest connection was kept beyond the bound")
	}
	// Workers that hang hold all the sockets there are.
	hung := serve(false)
	done := make(chan core.Result)
	for range keep {
		go func() { done <- ask(hung, time.Minute) }()
	}
	for len(client.semaphore) < keep {
		time.Sleep(time.Millisecond)
	}
	if r := ask(addrs[1], time.Millisecond); !r.NotSent {
		t.Errorf("a call without a socket: %+v", r)
	}
}
