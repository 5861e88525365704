package node

import (
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
)

// Paths that are handled differently.
const (
	userPathPrefix = "/submissions"
	heartbeatPath  = "/checkin"
)

// connectionsPerQueuedRequest is how many connections there are for each place in the users'
// queue.
const connectionsPerQueuedRequest = 4

// userQueueLength is how many users' requests may wait; further ones are refused at once.
func userQueueLength(cfg *config.Settings) int {
	return max(1, cfg.Deployment.MachineLimits.MaxConnections/connectionsPerQueuedRequest)
}

// userRequest is a user's request that waits for its turn.
type userRequest struct {
	request  core.Request
	conn     *connection
	queuedAt time.Time
}

// dispatchRequest hands a worker's request to the core, and queues a user's.
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

// queueUserRequest queues a request, or refuses it if the queue is full.
func (n *Node) queueUserRequest(queued userRequest) {
	select {
	case n.userRequests <- queued:
	default:
		n.shedRequest(queued)
	}
}

// serveUserRequests hands the users' requests to the core one at a time, so that heartbeats and
// ticks are handled between them.
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

// shedRequest refuses a request for overload; the answer has the time after which to retry.
func (n *Node) shedRequest(queued userRequest) {
	delete(n.pendingRequests, queued.request.ID)
	queued.conn.answer(httpwire.Reply{
		Status:     httpstatus.ServiceUnavailable,
		Body:       []byte(busyBody),
		RetryAfter: busyRetryAfterS,
	})
}
