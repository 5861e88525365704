package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ErrNotSent marks a request of which no byte has left: it was certainly not
// executed.
var ErrNotSent = errors.New("httpwire: request not sent")

// Client sends requests to one address over a few kept connections.
type Client struct {
	// Addr is the server's address.
	Addr string
	// MaxIdle bounds how many idle connections are kept.
	MaxIdle int

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	buf []byte
}

// Do sends one request and waits for its response, at most until timeout. A
// kept connection that turns out to be closed is not tried twice: whether the
// request was executed is then unknown to the caller.
func (c *Client) Do(method, path string, body []byte, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	conn, err := c.getConn(deadline)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	conn.SetDeadline(deadline)
	msg := AppendRequest(make([]byte, 0, 256+len(body)), method, path, c.Addr, body)
	if _, err := conn.Write(msg); err != nil {
		conn.Close()
		return nil, fmt.Errorf("send request: %w", err)
	}
	for {
		if len(conn.buf) > 0 {
			response, size, err := ParseResponse(conn.buf)
			if err == nil {
				if response.Status >= 100 && response.Status < 200 {
					conn.buf = conn.buf[size:]
					continue
				}
				if response.Close || size != len(conn.buf) {
					conn.Close()
				} else {
					conn.buf = conn.buf[:0]
					if cap(conn.buf) > 32<<10 {
						conn.buf = nil
					}
					c.putConn(conn)
				}
				return response, nil
			}
			if err != ErrIncomplete {
				conn.Close()
				return nil, err
			}
		}
		if cap(conn.buf)-len(conn.buf) < 2048 {
			conn.buf = append(make([]byte, 0, 2*cap(conn.buf)+4096), conn.buf...)
		}
		size, err := conn.Read(conn.buf[len(conn.buf):cap(conn.buf)])
		conn.buf = conn.buf[:len(conn.buf)+size]
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("read response: %w", err)
		}
	}
}

func (c *Client) getConn(deadline time.Time) (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var dialer net.Dialer
	dialer.KeepAlive = -1
	conn, err := dialer.DialContext(ctx, "tcp4", c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

func (c *Client) putConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// CloseIdle closes the kept connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
