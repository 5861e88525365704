package hollow

import (
	"io"
	"net"
	"sync"
	"time"
)

// cutLink forwards connections from one region to another, and can be cut: connections end
// and none are taken for a while.
type cutLink struct {
	mu        sync.Mutex
	listeners []net.Listener
	open      map[net.Conn]bool
	until     time.Time
}

// listen forwards to an address and returns its own.
func (c *cutLink) listen(to string) (string, error) {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.listeners = append(c.listeners, l)
	c.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(conn, to)
		}
	}()
	return l.Addr().String(), nil
}

// forward carries what one side sends; the other direction has connections of its own.
func (c *cutLink) forward(from net.Conn, address string) {
	defer from.Close()
	if !c.keep(from) {
		return
	}
	defer c.drop(from)
	to, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	io.Copy(to, from)
}

// keep notes an open connection; false while the link is cut.
func (c *cutLink) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return false
	}
	if c.open == nil {
		c.open = map[net.Conn]bool{}
	}
	c.open[conn] = true
	return true
}

func (c *cutLink) drop(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// cut ends all connections and takes none for a while.
func (c *cutLink) cut(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(d)
	for conn := range c.open {
		conn.Close()
	}
}

// close ends the link.
func (c *cutLink) close() {
	c.cut(time.Hour)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		l.Close()
	}
}
