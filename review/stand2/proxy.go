//go:build review2

package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. While reset is set, it passes what the client sends, and
// resets the client's connection soon after that. Once silent is set, it passes nothing any more, as if the
// process behind it were paused: connections are still accepted, and stay open.
type proxy struct {
	run     *run
	address string
	target  string

	mu     sync.Mutex
	reset  bool
	silent bool
}

// resetDelay is the time from a request to the reset.
const resetDelay = 50 * time.Millisecond

func newProxy(r *run, target string) (*proxy, error) {
	address, err := r.address()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{run: r, address: address, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) setReset(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset = reset
	p.run.record("proxy: resets connections: %v", reset)
}

func (p *proxy) setSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.run.record("proxy: passes nothing any more")
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) resets() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reset
}

func (p *proxy) serve(client *net.TCPConn) {
	defer client.Close()
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	go func() { // answers
		defer server.Close()
		defer client.Close()
		buffer := make([]byte, 64<<10)
		for {
			size, err := server.Read(buffer)
			if err != nil {
				return
			}
			_, _ = client.Write(buffer[:size]) // fails if the client's connection was reset: the answer is lost
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		size, err := client.Read(buffer)
		if err != nil {
			return // the server still answers; its answer ends the other goroutine's work
		}
		if p.isSilent() {
			continue
		}
		if _, err := server.Write(buffer[:size]); err != nil {
			return
		}
		if p.resets() {
			time.Sleep(resetDelay)
			_ = client.SetLinger(0) // closing sends a reset
			return
		}
	}
}
