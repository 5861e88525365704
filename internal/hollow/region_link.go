package hollow

import (
	"io"
	"net"
	"sync"
	"time"
)

// regionLink forwards connections from one region to another, and can be cut: connections end
// and none are taken for a while.
type regionLink struct {
	mu               sync.Mutex
	listeners        []net.Listener
	connections      map[net.Conn]bool
	partitionedUntil time.Time
}

// listen forwards to an address and returns its own.
func (c *regionLink) listen(target string) (string, error) {
	listener, err := net.Listen("tcp4", serviceHost+":0")
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.listeners = append(c.listeners, listener)
	c.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.forward(conn, target)
		}
	}()
	return listener.Addr().String(), nil
}

// forward carries what one side sends; the other direction has connections of its own.
func (c *regionLink) forward(from net.Conn, address string) {
	defer from.Close()
	if !c.track(from) {
		return
	}
	defer c.untrack(from)
	target, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	io.Copy(target, from)
}

// track notes an open connection; false while the link is cut.
func (c *regionLink) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.partitionedUntil) {
		return false
	}
	if c.connections == nil {
		c.connections = map[net.Conn]bool{}
	}
	c.connections[conn] = true
	return true
}

func (c *regionLink) untrack(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.connections, conn)
}

// partition ends all connections and takes none for a while.
func (c *regionLink) partition(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitionedUntil = time.Now().Add(d)
	for conn := range c.connections {
		conn.Close()
	}
}

// close ends the link.
func (c *regionLink) close() {
	c.partition(time.Hour)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		l.Close()
	}
}
