package hollow

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

// regionLink is a TCP proxy from one region to the controllers of another. It simulates a network
// partition by closing its connections and rejecting new ones for a while.
type regionLink struct {
	log *slog.Logger

	mu               sync.Mutex
	listeners        []net.Listener
	connections      map[net.Conn]bool // accepted connections that are open
	partitionedUntil time.Time
}

func newRegionLink(log *slog.Logger) *regionLink {
	return &regionLink{log: log, connections: map[net.Conn]bool{}}
}

// dialTimeout bounds the time to connect to a controller of the receiving region.
const dialTimeout = time.Second

// listen starts forwarding to the target address. It returns the address on which the link listens
// for it.
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

// accept accepts connections and forwards them until the listener is closed.
func (l *regionLink) accept(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn, target)
	}
}

// forward copies the data of an accepted connection to the target until either side or the link
// closes the connection. It copies in this direction only: the other region opens connections of
// its own.
func (l *regionLink) forward(from net.Conn, target string) {
	defer l.closeConnection(from)
	if !l.track(from) {
		return
	}
	defer l.untrack(from)
	to, err := net.DialTimeout("tcp4", target, dialTimeout)
	if err != nil {
		return // the deferred close tells the sender
	}
	defer l.closeConnection(to)
	if _, err := io.Copy(to, from); err != nil {
		l.log.Debug("region link connection ended", "error", err)
	}
}

// closeConnection closes a connection. A partition may have closed it before, which is no error.
func (l *regionLink) closeConnection(conn net.Conn) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Debug("region link connection not closed", "error", err)
	}
}

// track adds an open connection. It returns false during a partition, when connections are
// rejected.
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

// partition closes all connections and rejects new ones for the duration.
func (l *regionLink) partition(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitionedUntil = time.Now().Add(duration)
	for conn := range l.connections {
		l.closeConnection(conn)
	}
}

// close closes the connections and the listeners.
func (l *regionLink) close() {
	l.partition(time.Hour) // longer than any run
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		closeLogged(l.log, listener.Addr().String(), listener)
	}
}
