package hollow

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

// regionLink forwards connections from one region to the controllers of another. It can be
// partitioned: its connections are closed and no new ones accepted for a while.
type regionLink struct {
	log *slog.Logger

	mu               sync.Mutex
	listeners        []net.Listener
	connections      map[net.Conn]bool // open ones
	partitionedUntil time.Time
}

func newRegionLink(log *slog.Logger) *regionLink {
	return &regionLink{log: log, connections: map[net.Conn]bool{}}
}

// dialTimeout is how long a link waits for a connection to a controller.
const dialTimeout = time.Second

// listen forwards to an address, and returns the link's own address for it.
func (l *regionLink) listen(target string) (string, error) {
	listener, err := net.Listen("tcp4", serviceHost+":0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go l.accept(listener, target)
	return listener.Addr().String(), nil
}

// accept forwards connections until the listener is closed.
func (l *regionLink) accept(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn, target)
	}
}

// forward passes on what the opening side sends, until either side or the link closes the
// connection. The other direction has connections of its own.
func (l *regionLink) forward(from net.Conn, target string) {
	defer l.closeConnection(from)
	if !l.track(from) {
		return
	}
	defer l.untrack(from)
	to, err := net.DialTimeout("tcp4", target, dialTimeout)
	if err != nil {
		return // the opening side sees its connection close
	}
	defer l.closeConnection(to)
	if _, err := io.Copy(to, from); err != nil {
		l.log.Debug("region link connection ended", "error", err)
	}
}

// closeConnection closes a connection that a partition may have closed already.
func (l *regionLink) closeConnection(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Debug("region link connection not closed", "error", err)
	}
}

// track records an open connection; false during a partition.
func (l *regionLink) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.partitionedUntil) {
		return false
	}
	l.connections[conn] = true
	return true
}

func (l *regionLink) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}

// partition closes all connections and accepts none for a while.
func (l *regionLink) partition(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitionedUntil = time.Now().Add(duration)
	for conn := range l.connections {
		l.closeConnection(conn)
	}
}

// close closes the link for good.
func (l *regionLink) close() {
	l.partition(time.Hour) // longer than any run
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		closeLogged(l.log, listener.Addr().String(), listener)
	}
}
