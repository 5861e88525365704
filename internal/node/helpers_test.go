package node

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/loopback/loopbacktest"
	"github.com/tidwall/evio"
)

// ioTimeout bounds all that a test does on one connection.
const ioTimeout = 30 * time.Second

// loopbackSettings are those of a controller on loopback with no services to reach.
func loopbackSettings(t *testing.T) *config.Settings {
	t.Helper()
	addresses := loopbacktest.Addresses(t, 4)
	return &config.Settings{
		Name:       "node-0",
		Listen:     addresses[0],
		PeerListen: addresses[1],
		External:   config.External{Cloud: addresses[2], Store: addresses[3]},
		Deployment: config.Deployment{
			Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
			Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
			Cloud:         config.CloudLimits{RPS: 8, ListLagS: 5},
			MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 200, MaxConnections: 100},
		},
	}
}

// newIdleNode makes a controller that does not serve.
func newIdleNode(maxConnections int) *Node {
	cfg := &config.Settings{
		Name: "node-0",
		Deployment: config.Deployment{
			Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, CancelS: 30},
			Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
			Cloud:         config.CloudLimits{RPS: 8},
			MachineLimits: config.MachineLimits{CPU: 1, RAMMB: 200, MaxConnections: maxConnections},
		},
	}
	return New(cfg, nil, slog.New(slog.DiscardHandler))
}

// runningNode is a controller that serves until the test process ends.
type runningNode struct {
	failed chan error
}

// run makes a controller serve.
func run(n *Node) *runningNode {
	running := &runningNode{failed: make(chan error, 1)}
	go func() { running.failed <- n.Run() }()
	return running
}

// dial connects to one of the controller's addresses as soon as it listens there.
func (r *runningNode) dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		select {
		case err := <-r.failed:
			t.Fatal(err)
		default:
		}
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
}

// ask sends a request byte by byte, since it may arrive in any pieces, and returns the response.
func ask(t *testing.T, conn net.Conn, request string) *httpwire.Response {
	t.Helper()
	for i := range request {
		if _, err := conn.Write([]byte{request[i]}); err != nil {
			t.Fatal(err)
		}
	}
	var input []byte
	buf := make([]byte, 4096)
	for {
		size, err := conn.Read(buf)
		if err != nil {
			t.Fatalf("%q: %v", request, err)
		}
		input = append(input, buf[:size]...)
		if response, _, err := httpwire.ParseResponse(input); err == nil {
			return response
		}
	}
}

// isReset reports whether the other end closed a connection without reading all that was sent.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// fakeConn is a connection without a socket.
type fakeConn struct {
	evio.Conn
	context any
	woken   int
}

func (f *fakeConn) Wake() { f.woken++ }

func (f *fakeConn) Context() any     { return f.context }
func (f *fakeConn) SetContext(c any) { f.context = c }
func (f *fakeConn) AddrIndex() int   { return 0 }

// connection is what the node keeps about it.
func (f *fakeConn) connection(t *testing.T) *connection {
	t.Helper()
	conn, ok := f.context.(*connection)
	if !ok {
		t.Fatalf("the context is a %T", f.context)
	}
	return conn
}

// open opens a connection to a node; false if it is refused.
func open(n *Node) (*fakeConn, bool) {
	fake := &fakeConn{}
	_, _, action := n.onOpened(fake)
	return fake, action != evio.Close
}
