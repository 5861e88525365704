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

	// peerDecoder is set for a peer, regionDecoder for a controller of another region. Both are
	// nil for users and workers, which send HTTP.
	peerDecoder   *peer.Decoder[wire.PeerMessage]
	regionDecoder *peer.Decoder[wire.RegionMessage]

	isWorker   bool // has sent a heartbeat
	lastActive time.Time

	input            []byte    // received and not parsed yet
	requestStarted   time.Time // first bytes of an incomplete request received; zero if none
	awaitingAnswer   bool      // a request is being handled
	closeAfterAnswer bool
	output           []byte // to be written

	closing bool // to be closed at its next event
	closed  bool
}

// servesHTTP reports whether the connection comes from a user or a worker.
func (c *connection) servesHTTP() bool { return c.peerDecoder == nil && c.regionDecoder == nil }

// onOpened accepts a connection, or closes it if the limit of its address is reached.
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

// admit reports whether a new connection is within the limit of the address that it was opened
// to, and sets the decoder of that address. It may close an idle user's connection to make room.
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
			n.log.Debug("connection rejected: limit of incoming connections reached", "connections", len(n.connections))
			return false
		}
		return true
	}
}

// evictIdleUser closes the user connection that has been idle the longest, so that users cannot
// keep workers from connecting. It returns false if no user connection is idle.
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

// closeIdleConnections closes connections on which a request has been incomplete for longer than
// the workers' lease, and connections of workers that have sent nothing for that long: those
// workers have switched to another controller. When a zone is partitioned, its workers cannot
// close their connections, and the half-open ones would use up the sockets that reconnecting
// workers need.
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

// closeLater closes a connection from outside its event handlers: evio closes it in the data event
// that Wake triggers.
func (c *connection) closeLater() {
	c.closing = true
	c.socket.Wake()
}

// onClosed removes a closed connection.
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
