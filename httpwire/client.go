package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
)

// ErrNotSent means that no byte of a request was sent, so that the server cannot have executed it.
var ErrNotSent = errors.New("httpwire: request not sent")

// Sizes of a client's buffers, in bytes.
const (
	requestHeaderBytes = 256      // initial space for the header of a request
	clientReadBytes    = 2 << 10  // least space for a read
	clientGrowBytes    = 4 << 10  // added to twice the buffer's size when it has less space
	maxKeptBufferBytes = 32 << 10 // larger buffers are not kept with an idle connection
)

// Client sends requests to one address over a few persistent connections. It is safe for concurrent
// use.
type Client struct {
	// Addr is the server's address.
	Addr string
	// MaxIdle limits how many idle connections are kept.
	MaxIdle int

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a connection with the bytes that were read from it and not parsed yet.
type clientConn struct {
	net.Conn
	buf []byte
}

// Do sends one request and waits at most timeout for its response. It does not retry on another
// connection if the server turns out to have closed an idle one: the server may have executed the
// request.
func (c *Client) Do(method, target string, body []byte, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	conn, err := c.getConn(deadline)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request := AppendRequest(make([]byte, 0, requestHeaderBytes+len(body)), method, target, c.Addr, body)
	if err := conn.send(request, deadline); err != nil {
		conn.Close()
		return nil, fmt.Errorf("send request: %w", err)
	}
	response, drained, err := conn.readResponse()
	if err != nil {
		conn.Close()
		return nil, err
	}
	if response.Close || !drained {
		conn.Close()
	} else {
		c.putConn(conn)
	}
	return response, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// getConn returns an idle connection, or else dials a new one before the deadline.
func (c *Client) getConn(deadline time.Time) (*clientConn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// takeIdle removes and returns the most recently used idle connection; nil if there is none.
func (c *Client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// putConn keeps a connection as idle, or closes it if MaxIdle are kept.
func (c *Client) putConn(conn *clientConn) {
	conn.resetBuffer()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// send writes a request. The deadline also applies to reading the response.
func (c *clientConn) send(request []byte, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	_, err := c.Write(request)
	return err
}

// readResponse reads a response and skips informational ones (1xx) before it. drained means that no
// bytes after the response have been read.
func (c *clientConn) readResponse() (response *Response, drained bool, err error) {
	for {
		response, size, err := ParseResponse(c.buf)
		switch {
		case errors.Is(err, ErrIncomplete):
			if err := c.readMore(); err != nil {
				return nil, false, fmt.Errorf("read response: %w", err)
			}
		case err != nil:
			return nil, false, err
		case response.Status < httpstatus.OK:
			c.buf = c.buf[size:]
		default:
			return response, size == len(c.buf), nil
		}
	}
}

// readMore reads from the connection and appends to the buffer.
func (c *clientConn) readMore() error {
	if cap(c.buf)-len(c.buf) < clientReadBytes {
		c.buf = append(make([]byte, 0, 2*cap(c.buf)+clientGrowBytes), c.buf...)
	}
	size, err := c.Read(c.buf[len(c.buf):cap(c.buf)])
	c.buf = c.buf[:len(c.buf)+size]
	return err
}

// resetBuffer empties the buffer for the next response.
func (c *clientConn) resetBuffer() {
	c.buf = c.buf[:0]
	if cap(c.buf) > maxKeptBufferBytes {
		c.buf = nil
	}
}
