package node

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/evio"
)

// TestServesOnLoopback runs a controller whose key-value store and cloud are unreachable. It must
// answer the requests that need neither, reject the others at once, and close a connection that
// sends malformed HTTP.
func TestServesOnLoopback(t *testing.T) {
	cfg := loopbackSettings(t)
	running := startNode(New(cfg, nil, slog.New(slog.DiscardHandler)))
	conn := running.dial(t, cfg.Listen)
	for _, tc := range []struct {
		name    string
		request string
		status  int
	}{
		{"health check", "GET /healthz HTTP/1.1\r\n\r\n", 200},
		{"unknown path", "GET /nowhere HTTP/1.1\r\n\r\n", 404},
		{"unknown method", "DELETE /submissions HTTP/1.1\r\n\r\n", 405},
		{"not a submission", "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", 400},
		{"query without a store", "GET /submissions/job-000001 HTTP/1.1\r\n\r\n", 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if response := sendRequest(t, conn, tc.request); response.Status != tc.status {
				t.Errorf("request %q: got status %d, want %d", tc.request, response.Status, tc.status)
			}
		})
	}
	t.Run("malformed", func(t *testing.T) {
		malformed := running.dial(t, cfg.Listen)
		if response := sendRequest(t, malformed, "no http\r\n\r\n"); response.Status != 400 || !response.Close {
			t.Errorf("response to malformed HTTP: got %+v, want status 400 with Close", response)
		}
		if rest, err := io.ReadAll(malformed); err != nil && !isReset(err) || len(rest) > 0 {
			t.Errorf("after malformed HTTP: read %q (%v), want a closed connection", rest, err)
		}
	})
}

// heartbeat is a worker's request.
const heartbeat = "POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"

// TestConnectionLimit opens as many connections as a controller accepts, one of them from a worker
// and all others from users. Each further connection must evict the user connection that has been
// idle the longest, and never the worker's.
func TestConnectionLimit(t *testing.T) {
	node := newUnstartedNode(12)
	var users []*fakeConn
	for i := range node.cfg.Deployment.MachineLimits.MaxIncoming() - 1 {
		user, ok := openConnection(node)
		if !ok {
			t.Fatalf("connection of user %d was rejected, want it accepted below the limit of %d", i, node.cfg.Deployment.MachineLimits.MaxIncoming())
		}
		user.connection(t).lastActive = time.Unix(int64(1000+i), 0)
		users = append(users, user)
	}
	worker, _ := openConnection(node)
	node.onData(worker, []byte(heartbeat))
	worker.connection(t).awaitingAnswer = false
	worker.connection(t).lastActive = time.Unix(1, 0)
	for i, user := range users {
		added, ok := openConnection(node)
		if !ok || user.woken != 1 {
			t.Fatalf("new connection %d: accepted %v, oldest user connection evicted %v, want both true", i, ok, user.woken == 1)
		}
		if _, action := node.onData(user, nil); action != evio.Close {
			t.Fatalf("evicted connection of user %d was not closed", i)
		}
		node.onClosed(user, nil)
		added.connection(t).isWorker = true
	}
	if worker.woken != 0 {
		t.Error("the worker's connection was evicted")
	}
	if _, ok := openConnection(node); ok {
		t.Error("a connection above the limit was accepted")
	}
	node.closeIdleConnections(time.Now())
	if worker.woken != 1 {
		t.Error("the connection of a worker that has sent nothing for a lease was not closed")
	}
}

// TestFullUserQueue fills the user request queue. A further submission must be rejected at once
// with Retry-After, while heartbeats and health checks are still handled.
func TestFullUserQueue(t *testing.T) {
	node := newUnstartedNode(2 * connectionsPerQueuedRequest)
	send := func(request string) string {
		fake, _ := openConnection(node)
		out, _ := node.onData(fake, []byte(request))
		return string(out)
	}
	const submission = "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
	for i := range cap(node.userRequests) {
		if out := send(submission); out != "" {
			t.Fatalf("queued submission %d was answered before it was dequeued: %q", i, out)
		}
	}
	out := send(submission)
	if !strings.HasPrefix(out, "HTTP/1.1 503") || !strings.Contains(out, "Retry-After: 1") {
		t.Errorf("submission to a full queue: got %q, want status 503 with Retry-After 1", out)
	}
	if out := send("GET /healthz HTTP/1.1\r\n\r\n"); !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Errorf("health check with a full user queue: got %q, want status 200", out)
	}
	// The core keeps a heartbeat pending until there is a leader.
	if out := send(heartbeat); out != "" || len(node.userRequests) != cap(node.userRequests) {
		t.Errorf("heartbeat with a full user queue: got response %q, want none and the queue unchanged", out)
	}
	queued := <-node.userRequests
	if _, ok := node.pendingRequests[queued.request.ID]; !ok || queued.request.Path != "/submissions" {
		t.Errorf("first queued request: got %+v, want a pending submission", queued.request)
	}
}
