package node

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/tidwall/evio"
)

// connection is one incoming connection. All fields are guarded by Node.mu.
type connection struct {
	socket evio.Conn

	// One of the decoders is set for a peer and for another region's controller. Users and
	// workers send HTTP.
	peerDecoder   *peer.Decoder[wire.PeerMessage]
	regionDecoder *peer.Decoder[wire.RegionMessage]

	isWorker   bool // it has sent a heartbeat
	lastActive time.Time

	input            []byte    // not parsed yet
	requestStarted   time.Time // when the first bytes of an incomplete request came; zero if there is none
	awaitingAnswer   bool      // a request waits for its answer
	closeAfterAnswer bool
	output           []byte // not written yet

	closing bool // at its next event
	closed  bool
}

// servesHTTP reports whether a user or a worker is at the other end.
func (c *connection) servesHTTP() bool { return c.peerDecoder == nil && c.regionDecoder == nil }

// onOpened accepts a connection, or closes it if there are enough.
func (n *Node) onOpened(socket evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &connection{socket: socket, lastActive: time.Now()}
	socket.SetContext(conn)
	if !n.admit(conn) {
		return nil, opts, evio.Close
	}
	n.connections[conn] = true
	return nil, opts, evio.None
}

// admit reports whether a new connection is within the limits of the address that it came to,
// and prepares it for what is spoken there.
func (n *Node) admit(conn *connection) bool {
	switch conn.socket.AddrIndex() {
	case peerAddressIndex:
		conn.peerDecoder = peer.NewDecoder[wire.PeerMessage]()
		return true
	case regionAddressIndex:
		if !n.regions.admit() {
			return false
		}
		conn.regionDecoder = peer.NewDecoder[wire.RegionMessage]()
		return true
	default:
		if len(n.connections) >= n.cfg.Deployment.MachineLimits.MaxIncoming() && !n.evictIdleUser() {
			n.log.Debug("connection refused", "connections", len(n.connections))
			return false
		}
		return true
	}
}

// evictIdleUser closes the user's connection that has been idle for longest, so that no worker is
// refused because of users. It reports whether there is one.
func (n *Node) evictIdleUser() bool {
	var oldest *connection
	for conn := range n.connections {
		if conn.isWorker || !conn.servesHTTP() || conn.awaitingAnswer || conn.closing {
			continue
		}
		if oldest == nil || conn.lastActive.Before(oldest.lastActive) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeLater()
	return true
}

// closeIdleConnections closes those whose request was not completed within a worker's lease, and
// those of workers that were silent for a lease, which have left them for another controller. When
// a zone is partitioned nobody closes the workers' ends of their connections, and what is left of
// them would take the sockets of those that reconnect.
func (n *Node) closeIdleConnections(now time.Time) {
	timeout := n.cfg.Deployment.Workers.Lease()
	for conn := range n.connections {
		if conn.awaitingAnswer || !conn.servesHTTP() {
			continue
		}
		requestTimedOut := !conn.requestStarted.IsZero() && now.Sub(conn.requestStarted) > timeout
		workerSilent := conn.isWorker && now.Sub(conn.lastActive) > timeout
		if requestTimedOut || workerSilent {
			conn.closeLater()
		}
	}
}

// closeLater closes a connection outside its own events: evio closes it when it handles the event
// that Wake causes.
func (c *connection) closeLater() {
	c.closing = true
	c.socket.Wake()
}

// onClosed forgets a connection.
func (n *Node) onClosed(socket evio.Conn, _ error) evio.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn, ok := socket.Context().(*connection)
	if !ok {
		return evio.None
	}
	if conn.regionDecoder != nil && !conn.closed {
		n.regions.connections--
	}
	conn.closed = true
	delete(n.connections, conn)
	return evio.None
}
