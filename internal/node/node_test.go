package node

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/evio"
)

// TestServesOnLoopback runs a controller with no services to reach: it must answer what it can,
// refuse at once what it cannot, and close a connection on which no HTTP is spoken.
func TestServesOnLoopback(t *testing.T) {
	cfg := loopbackSettings(t)
	running := run(New(cfg, nil, slog.New(slog.DiscardHandler)))
	conn := running.dial(t, cfg.Listen)
	for _, tc := range []struct {
		name    string
		request string
		status  int
	}{
		{"health check", "GET /healthz HTTP/1.1\r\n\r\n", 200},
		{"unknown path", "GET /nowhere HTTP/1.1\r\n\r\n", 404},
		{"unknown method", "DELETE /submissions HTTP/1.1\r\n\r\n", 405},
		{"no submission", "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", 400},
		{"query without a store", "GET /submissions/job-000001 HTTP/1.1\r\n\r\n", 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if response := ask(t, conn, tc.request); response.Status != tc.status {
				t.Errorf("%q: status %d, want %d", tc.request, response.Status, tc.status)
			}
		})
	}
	t.Run("malformed", func(t *testing.T) {
		malformed := running.dial(t, cfg.Listen)
		if response := ask(t, malformed, "no http\r\n\r\n"); response.Status != 400 || !response.Close {
			t.Errorf("answered %+v", response)
		}
		if rest, err := io.ReadAll(malformed); err != nil && !isReset(err) || len(rest) > 0 {
			t.Errorf("the connection stays open: %q, %v", rest, err)
		}
	})
}

// heartbeat is a request of a worker.
const heartbeat = "POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"

// TestConnectionLimit opens as many connections as a controller accepts, all but one of them by
// users. For each further one the user's that is idle for longest is closed, and never a worker's.
func TestConnectionLimit(t *testing.T) {
	node := newIdleNode(12)
	var users []*fakeConn
	for i := range node.cfg.Deployment.MachineLimits.MaxIncoming() - 1 {
		user, ok := open(node)
		if !ok {
			t.Fatalf("user %d of %d was refused", i, node.cfg.Deployment.MachineLimits.MaxIncoming())
		}
		user.connection(t).lastActive = time.Unix(int64(1000+i), 0)
		users = append(users, user)
	}
	worker, _ := open(node)
	node.onData(worker, []byte(heartbeat))
	worker.connection(t).awaitingAnswer = false
	worker.connection(t).lastActive = time.Unix(1, 0)
	for i, user := range users {
		newcomer, ok := open(node)
		if !ok || user.woken != 1 {
			t.Fatalf("newcomer %d: accepted %v, the oldest user closed %v", i, ok, user.woken == 1)
		}
		if _, action := node.onData(user, nil); action != evio.Close {
			t.Fatalf("user %d stays open", i)
		}
		node.onClosed(user, nil)
		newcomer.connection(t).isWorker = true
	}
	if worker.woken != 0 {
		t.Error("a worker's connection was closed for a user")
	}
	if _, ok := open(node); ok {
		t.Error("a connection beyond the limit was accepted")
	}
	node.closeIdleConnections(time.Now())
	if worker.woken != 1 {
		t.Error("a connection that its worker has left stays open")
	}
}

// TestFullUserQueue fills the users' queue: a further submission must be refused at once, with
// when to try again, while a heartbeat is still handled.
func TestFullUserQueue(t *testing.T) {
	node := newIdleNode(2 * connectionsPerQueuedRequest)
	send := func(request string) string {
		fake, _ := open(node)
		out, _ := node.onData(fake, []byte(request))
		return string(out)
	}
	const submission = "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
	for i := range cap(node.userRequests) {
		if out := send(submission); out != "" {
			t.Fatalf("submission %d was answered before its turn: %q", i, out)
		}
	}
	out := send(submission)
	if !strings.HasPrefix(out, "HTTP/1.1 503") || !strings.Contains(out, "Retry-After: 1") {
		t.Errorf("a submission beyond the queue got %q", out)
	}
	if out := send("GET /healthz HTTP/1.1\r\n\r\n"); !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Errorf("a health check behind users got %q", out)
	}
	// A heartbeat goes to the core, which holds it until there is a leader.
	if out := send(heartbeat); out != "" || len(node.userRequests) != cap(node.userRequests) {
		t.Errorf("a heartbeat behind users got %q", out)
	}
	queued := <-node.userRequests
	if _, ok := node.pendingRequests[queued.request.ID]; !ok || queued.request.Path != "/submissions" {
		t.Errorf("the queue holds %+v", queued.request)
	}
}
