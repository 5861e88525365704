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

// ioTimeout bounds all reads and writes of a test on one connection.
const ioTimeout = 30 * time.Second

// loopbackSettings returns settings of a controller on loopback whose key-value store and cloud
// are unreachable.
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

// newUnstartedNode creates a controller that does not listen: tests call its event handlers.
func newUnstartedNode(maxConnections int) *Node {
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

// startNode starts a controller.
func startNode(n *Node) *runningNode {
	running := &runningNode{failed: make(chan error, 1)}
	go func() { running.failed <- n.Run() }()
	return running
}

// dial connects to one of the controller's addresses, retrying until the controller listens.
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

// sendRequest sends a request in writes of one byte, since a request may arrive in pieces of any
// size, and returns the response.
func sendRequest(t *testing.T, conn net.Conn, request string) *httpwire.Response {
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
			t.Fatalf("reading the response to %q: %v", request, err)
		}
		input = append(input, buf[:size]...)
		if response, _, err := httpwire.ParseResponse(input); err == nil {
			return response
		}
	}
}

// isReset reports whether the other end closed the connection without reading all input.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// fakeConn is an evio connection without a socket, which counts calls of Wake.
type fakeConn struct {
	evio.Conn
	context any
	woken   int
}

func (f *fakeConn) Wake() { f.woken++ }

func (f *fakeConn) Context() any     { return f.context }
func (f *fakeConn) SetContext(c any) { f.context = c }
func (f *fakeConn) AddrIndex() int   { return 0 }

// connection returns the node's state of the connection.
func (f *fakeConn) connection(t *testing.T) *connection {
	t.Helper()
	conn, ok := f.context.(*connection)
	if !ok {
		t.Fatalf("context of the connection: got %T, want *connection", f.context)
	}
	return conn
}

// openConnection opens a connection to a node; it returns false if the node rejects it.
func openConnection(n *Node) (*fakeConn, bool) {
	fake := &fakeConn{}
	_, _, action := n.onOpened(fake)
	return fake, action != evio.Close
}
