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
		External: config.External{Cloud: addresses[2], State: addresses[3]},
		Deployment: config.Deployment{
			Workers: config.Workers{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
			State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
			Cloud:   config.Cloud{RPS: 8, ListLagS: 5},
			Limits:  config.Limits{CPU: 1, RAMMB: 200, MaxConnections: 100},
		}}
}

// TestServe runs a controller on loopback with no services to reach: it must
// answer what it can, refuse at once what it cannot, and cut off what is not
// HTTP.
func TestServe(t *testing.T) {
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

// TestSockets fills a controller's sockets: an idle user makes way for whoever
// comes, the one that is idle for longest first, a worker never does.
func TestSockets(t *testing.T) {
	cfg := &config.Settings{Name: "node-0", Deployment: config.Deployment{
		Workers: config.Workers{ReportS: 1.5, LeaseS: 10, CancelS: 30},
		State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:   config.Cloud{RPS: 8},
		Limits:  config.Limits{CPU: 1, RAMMB: 200, MaxConnections: 12},
	}}
	n := New(cfg, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	open := func() (*fakeConn, bool) {
		f := &fakeConn{}
		_, _, action := n.opened(f)
		return f, action != evio.Close
	}
	var users []*fakeConn
	for i := 0; i < n.cfg.Deployment.Limits.Incoming()-1; i++ {
		f, ok := open()
		if !ok {
			t.Fatalf("user %d of %d was turned away", i, n.cfg.Deployment.Limits.Incoming())
		}
		f.ctx.(*conn).last = time.Unix(int64(1000+i), 0)
		users = append(users, f)
	}
	worker, _ := open()
	n.data(worker, []byte("POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	worker.ctx.(*conn).busy = false
	worker.ctx.(*conn).last = time.Unix(1, 0)
	for i, u := range users {
		if _, ok := open(); !ok || u.woken != 1 {
			t.Fatalf("newcomer %d: taken %v, the oldest user closed %v", i, ok, u.woken == 1)
		}
		if _, action := n.data(u, nil); action != evio.Close {
			t.Fatalf("user %d stays open", i)
		}
		n.closed(u, nil)
		// The newcomers are busy workers from now on.
		for c := range n.conns {
			if c.last.Unix() > 1e6 {
				c.worker = true
			}
		}
	}
	if worker.woken != 0 {
		t.Error("a worker made way for a user")
	}
	if _, ok := open(); ok {
		t.Error("a connection beyond the sockets was taken")
	}
	n.sweep(time.Now())
	if worker.woken != 1 {
		t.Error("a connection that its worker has given up stays open")
	}
}

// TestRanks fills the users' queue: a further submission has to be refused at
// once, with when to come back, while a report is still taken.
func TestRanks(t *testing.T) {
	cfg := &config.Settings{Name: "node-0", Deployment: config.Deployment{
		Workers: config.Workers{ReportS: 1.5, LeaseS: 10, CancelS: 30},
		State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:   config.Cloud{RPS: 8},
		Limits:  config.Limits{CPU: 1, RAMMB: 200, MaxConnections: 2 * userQueue},
	}}
	n := New(cfg, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	send := func(msg string) string {
		f := &fakeConn{}
		n.opened(f)
		out, _ := n.data(f, []byte(msg))
		return string(out)
	}
	const submit = "POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
	for i := 0; i < cap(n.queue); i++ {
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
	if out := send("POST /checkin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"); out != "" || len(n.queue) != cap(n.queue) {
		t.Errorf("a report behind users got %q", out)
	}
	u := <-n.queue
	if _, ok := n.requests[u.req.ID]; !ok || u.req.Path != "/submissions" {
		t.Errorf("the queue holds %+v", u.req)
	}
}
