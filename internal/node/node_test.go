package node

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/loopback/loopbacktest"
	"github.com/tidwall/evio"
)

// testSettings are those of a controller on loopback with no services to reach.
func testSettings(t *testing.T) *config.Settings {
	t.Helper()
	addresses := loopbacktest.Addresses(t, 4)
	return &config.Settings{Name: "node-0", Listen: addresses[0], PeerListen: addresses[1],
		External: config.External{Cloud: addresses[2], Store: addresses[3]},
		Deployment: config.Deployment{
			Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
			Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
			Cloud:         config.CloudLimits{RPS: 8, ListLagS: 5},
			MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 200, MaxConnections: 100},
		}}
}

// TestServesOnLoopback runs a controller on loopback with no services to reach: it must
// answer what it can, refuse at once what it cannot, and cut off what is not
// HTTP.
func TestServesOnLoopback(t *testing.T) {
	cfg := testSettings(t)
	n := New(cfg, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	failed := make(chan error, 1)
	go func() { failed <- n.Run() }()
	dial := func() net.Conn {
		for {
			select {
			case err := <-failed:
				t.Fatal(err)
			default:
			}
			if conn, err := net.Dial("tcp4", cfg.Listen); err == nil {
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				return conn
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	ask := func(conn net.Conn, msg string) *httpwire.Response {
		t.Helper()
		for i := range msg { // byte by byte: a request may come in any pieces
			if _, err := conn.Write([]byte{msg[i]}); err != nil {
				t.Fatal(err)
			}
		}
		var in []byte
		buf := make([]byte, 4096)
		for {
			k, err := conn.Read(buf)
			if err != nil {
				t.Fatalf("%q: %v", msg, err)
			}
			in = append(in, buf[:k]...)
			if r, _, err := httpwire.ParseResponse(in); err == nil {
				return r
			}
		}
	}
	conn := dial()
	defer conn.Close()
	for _, tc := range []struct {
		msg    string
		status int
	}{
		{"GET /healthz HTTP/1.1\r\n\r\n", 200},
		{"GET /nowhere HTTP/1.1\r\n\r\n", 404},
		{"DELETE /submissions HTTP/1.1\r\n\r\n", 405},
		{"POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]", 400},
		{"GET /submissions/job-000001 HTTP/1.1\r\n\r\n", 503},
	} {
		if r := ask(conn, tc.msg); r.Status != tc.status {
			t.Errorf("%q: status %d, want %d", tc.msg, r.Status, tc.status)
		}
	}
	bad := dial()
	defer bad.Close()
	if r := ask(bad, "no http\r\n\r\n"); r.Status != 400 || !r.Close {
		t.Errorf("malformed: %+v", r)
	}
	if rest, err := io.ReadAll(bad); err != nil && !strings.Contains(err.Error(), "reset") || len(rest) > 0 {
		t.Errorf("malformed: the connection stays open: %q, %v", rest, err)
	}
}

// fakeConn is a connection of which only the context matters.
type fakeConn struct {
	evio.Conn
	ctx   any
	woken int
}

func (f *fakeConn) Wake() { f.woken++ }

func (f *fakeConn) Context() any     { return f.ctx }
func (f *fakeConn) SetContext(c any) { f.ctx = c }
func (f *fakeConn) AddrIndex() int   { return 0 }

// TestConnectionLimit fills a controller's sockets: an idle user makes way for whoever
// comes, the one that is idle for longest first, a worker never does.
func TestConnectionLimit(t *testing.T) {
	cfg := &config.Settings{Name: "node-0", Deployment: config.Deployment{
		Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, CancelS: 30},
		Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:         config.CloudLimits{RPS: 8},
		MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 200, MaxConnections: 12},
	}}
	node := New(cfg, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	open := func() (*fakeConn, bool) {
		fake := &fakeConn{}
		_, _, action := node.onOpened(fake)
		return fake, action != evio.Close
	}
	var users []*fakeConn
	for i := 0; i < node.cfg.Deployment.MachineLimits.MaxIncoming()-1; i++ {
		fake, ok := open()
		if !ok {
			t.Fatalf("user %d of %d was turned away", i, node.cfg.Deployment.MachineLimits.MaxIncoming())
		}
		fake.ctx.(*connection).lastActive = time.Unix(int64(1000+i), 0)
		users = append(users, fake)
	}
	worker, _ := open()
	node.onData(worker, []byte("POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	worker.ctx.(*connection).awaitingAnswer = false
	worker.ctx.(*connection).lastActive = time.Unix(1, 0)
	for i, u := range users {
		if _, ok := open(); !ok || u.woken != 1 {
			t.Fatalf("newcomer %d: taken %v, the oldest user closed %v", i, ok, u.woken == 1)
		}
		if _, action := node.onData(u, nil); action != evio.Close {
			t.Fatalf("user %d stays open", i)
		}
		node.onClosed(u, nil)
		// The newcomers are busy workers from now on.
		for c := range node.connections {
			if c.lastActive.Unix() > 1e6 {
				c.isWorker = true
			}
		}
	}
	if worker.woken != 0 {
		t.Error("a worker made way for a user")
	}
	if _, ok := open(); ok {
		t.Error("a connection beyond the sockets was taken")
	}
	node.closeIdleConnections(time.Now())
	if worker.woken != 1 {
		t.Error("a connection that its worker has given up stays open")
	}
}

// TestFullUserQueue fills the users' queue: a further submission has to be refused at
// once, with when to come back, while a report is still taken.
func TestFullUserQueue(t *testing.T) {
	cfg := &config.Settings{Name: "node-0", Deployment: config.Deployment{
		Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, CancelS: 30},
		Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:         config.CloudLimits{RPS: 8},
		MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 200, MaxConnections: 2 * connectionsPerQueuedRequest},
	}}
	node := New(cfg, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	send := func(msg string) string {
		fake := &fakeConn{}
		node.onOpened(fake)
		out, _ := node.onData(fake, []byte(msg))
		return string(out)
	}
	const submit = "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
	for i := 0; i < cap(node.userRequests); i++ {
		if out := send(submit); out != "" {
			t.Fatalf("submission %d was answered before its turn: %q", i, out)
		}
	}
	out := send(submit)
	if !strings.HasPrefix(out, "HTTP/1.1 503") || !strings.Contains(out, "Retry-After: 1") {
		t.Errorf("a submission beyond the queue got %q", out)
	}
	if out := send("GET /healthz HTTP/1.1\r\n\r\n"); !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Errorf("a health check behind users got %q", out)
	}
	// A report goes to the core, which holds it until there is a leader.
	if out := send("POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"); out != "" || len(node.userRequests) != cap(node.userRequests) {
		t.Errorf("a report behind users got %q", out)
	}
	queued := <-node.userRequests
	if _, ok := node.pendingRequests[queued.request.ID]; !ok || queued.request.Path != "/submissions" {
		t.Errorf("the queue holds %+v", queued.request)
	}
}
