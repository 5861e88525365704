package node

import (
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Paths by which requests are classified: those of users are queued, and a heartbeat marks its
// connection as a worker's.
const (
	userPathPrefix = "/submissions"
	heartbeatPath  = "/checkin"
)

// connectionsPerQueuedRequest is the ratio of the connection limit to the capacity of the user
// request queue.
const connectionsPerQueuedRequest = 4

// userQueueLength returns the capacity of the user request queue. Requests beyond it are rejected
// at once.
func userQueueLength(cfg *config.Settings) int {
	return max(1, cfg.Deployment.MachineLimits.MaxConnections/connectionsPerQueuedRequest)
}

// userRequest is a queued request of a user.
type userRequest struct {
	request  core.Request
	conn     *connection
	queuedAt time.Time
}

// dispatchRequest queues a user's request, and passes any other request to the core.
func (n *Node) dispatchRequest(conn *connection, parsed *httpwire.Request) {
	conn.awaitingAnswer, conn.closeAfterAnswer = true, parsed.Close
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = conn
	request := core.Request{ID: n.lastRequestID, Method: parsed.Method, Path: parsed.Path, Body: parsed.Body}
	if strings.HasPrefix(parsed.Path, userPathPrefix) {
		n.queueUserRequest(userRequest{request: request, conn: conn, queuedAt: time.Now()})
		return
	}
	if parsed.Path == heartbeatPath {
		conn.isWorker = true
	}
	n.step(request, conn)
}

// queueUserRequest queues a request, or rejects it if the queue is full.
func (n *Node) queueUserRequest(queued userRequest) {
	select {
	case n.userRequests <- queued:
	default:
		n.shedRequest(queued)
	}
}

// serveUserRequests passes the queued requests to the core one at a time, so that heartbeats and
// ticks are handled between them. It rejects requests that have been queued for longer than a
// heartbeat interval.
func (n *Node) serveUserRequests() {
	timeout := heartbeatInterval(n.cfg)
	for queued := range n.userRequests {
		n.mu.Lock()
		if time.Since(queued.queuedAt) > timeout {
			n.shedRequest(queued)
			if !queued.conn.closed {
				queued.conn.socket.Wake()
			}
		} else {
			n.step(queued.request, nil)
		}
		n.mu.Unlock()
	}
}

// shedRequest rejects a request because of overload, with status 503 and Retry-After.
func (n *Node) shedRequest(queued userRequest) {
	delete(n.pendingRequests, queued.request.ID)
	queued.conn.answer(httpwire.Reply{
		Status:     httpstatus.ServiceUnavailable,
		Body:       []byte(busyBody),
		RetryAfter: busyRetryAfterS,
	})
}
