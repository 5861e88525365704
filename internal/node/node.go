// Package node wires the core to the world: evio serves users, workers and
// peers, clients carry out the core's calls, and a ticker moves its time on.
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/cloud"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/internal/store"
	"github.com/brookwalk/brookwalk/internal/worker"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/tidwall/evio"
)

// Node is one running controller.
type Node struct {
	cfg     *config.Settings
	log     *slog.Logger
	started time.Time

	store     *store.Client
	cloud     *cloud.Client
	worker    *worker.Client
	peerLinks map[string]*peer.Link[wire.PeerMessage]
	regions   *regionLinks // nil if limits are not shared with other regions

	// userRequests holds the requests of users: they come after reports, which are
	// handled as they arrive, and decisions, which go by the ticker.
	userRequests chan userRequest

	mu              sync.Mutex
	core            *core.Core
	pendingRequests map[uint64]*connection
	connections     map[*connection]bool
	lastRequestID   uint64

	// The longest step since the last time that they were looked at, and its input.
	longestStep      time.Duration
	longestStepInput string
	stepsLoggedAt    time.Time
}

// connection is one incoming connection. All fields are guarded by Node.mu.
type connection struct {
	socket           evio.Conn
	peerDecoder      *peer.Decoder[wire.PeerMessage]
	regionDecoder    *peer.Decoder[wire.RegionMessage]
	isWorker         bool // it has brought a report
	lastActive       time.Time
	input            []byte
	requestStarted   time.Time // first byte of a request that is not complete
	awaitingAnswer   bool      // a request waits for its answer
	closeAfterAnswer bool      // close after the answer
	output           []byte
	closing          bool
	closed           bool
}

// New makes a node.
func New(cfg *config.Settings, op *config.Operator, log *slog.Logger) *Node {
	return &Node{
		cfg: cfg, log: log, started: time.Now(),
		store: store.New(cfg), cloud: cloud.New(cfg), worker: worker.New(cfg),
		peerLinks:    map[string]*peer.Link[wire.PeerMessage]{},
		userRequests: make(chan userRequest, max(1, cfg.Deployment.MachineLimits.MaxConnections/connectionsPerQueuedRequest)),
		core:         core.New(cfg, op, rand.Uint64(), log), pendingRequests: map[uint64]*connection{}, connections: map[*connection]bool{},
	}
}

// The order of the addresses that a node listens on.
const (
	peerAddressIndex   = 1
	regionAddressIndex = 2
)

// Run serves until the process ends or a listener fails.
func (n *Node) Run() error {
	// The runtime collects harder as its limit comes near; the rest of the
	// machine's memory is for code, stacks and what the system holds.
	// What is live is a small part of that, so collections can be rare.
	debug.SetMemoryLimit(int64(0.55 * n.cfg.Deployment.MachineLimits.RAMMB * (1 << 20)))
	debug.SetGCPercent(400)
	// One processor for the event loop, which blocks in a system call that
	// the runtime does not see, and one for everything else.
	runtime.GOMAXPROCS(2)
	for _, other := range n.cfg.Peers {
		n.peerLinks[other.Name] = peer.NewLink[wire.PeerMessage](other.Addr, config.Seconds(n.cfg.Deployment.Workers.ReportS), n.cfg.Deployment.MachineLimits.MaxConnections, n.log)
	}
	events := evio.Events{NumLoops: 1}
	events.Serving = func(evio.Server) evio.Action {
		n.log.Info("serving", "name", n.cfg.Name, "listen", n.cfg.Listen, "peers", n.cfg.PeerListen,
			"workers_carried", n.cfg.Deployment.MaxWorkers(n.cfg.Deployment.Size))
		go n.runTicker()
		go n.serveUserRequests()
		return evio.None
	}
	events.Opened = n.onOpened
	events.Closed = n.onClosed
	events.Data = n.onData
	addresses := []string{"tcp://" + n.cfg.Listen, "tcp://" + n.cfg.PeerListen}
	if n.regions != nil {
		addresses = append(addresses, "tcp://"+n.regions.listen)
	}
	if err := evio.Serve(events, addresses...); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// connectionsPerQueuedRequest is the part of the sockets for whose users a request may wait.
const connectionsPerQueuedRequest = 4

// userRequest is a user's request that waits for its turn.
type userRequest struct {
	request  core.Request
	conn     *connection
	queuedAt time.Time
}

// serveUserRequests hands the users' requests to the core one at a time, so that
// reports and ticks come in between.
func (n *Node) serveUserRequests() {
	timeout := config.Seconds(n.cfg.Deployment.Workers.ReportS)
	for queued := range n.userRequests {
		n.mu.Lock()
		if time.Since(queued.queuedAt) > timeout {
			n.shedRequest(queued.conn, queued.request.ID)
			if !queued.conn.closed {
				queued.conn.socket.Wake()
			}
		} else {
			n.step(queued.request, nil)
		}
		n.mu.Unlock()
	}
}

// Answers that do not come from the core.
const (
	malformedBody   = `{"error":"malformed request"}`
	busyBody        = `{"error":"busy"}`
	busyRetryAfterS = 1 // when to try again after the latter, in seconds
)

// shedRequest answers a request that cannot be taken now, with when to come back.
func (n *Node) shedRequest(conn *connection, id uint64) {
	delete(n.pendingRequests, id)
	conn.awaitingAnswer = false
	if !conn.closed {
		conn.output = httpwire.AppendResponse(conn.output, httpwire.Reply{
			Status: httpstatus.ServiceUnavailable, Body: []byte(busyBody), RetryAfter: busyRetryAfterS, Close: conn.closeAfterAnswer,
		})
	}
}

func (n *Node) runTicker() {
	period := config.Seconds(n.cfg.Deployment.Workers.ReportS / ticksPerHeartbeat)
	idleClosed := time.Now()
	for range time.Tick(period) {
		n.mu.Lock()
		n.step(core.Tick{}, nil)
		if now := time.Now(); now.Sub(idleClosed) > time.Second {
			idleClosed = now
			n.closeIdleConnections(now)
		}
		n.mu.Unlock()
	}
}

// closeIdleConnections cuts off senders that do not finish their request, and workers that
// have given up: one that was silent for a lease has left this connection. When
// a zone is cut off nobody closes the workers' ends of theirs, and what is left
// of them would take the sockets of those that come back.
func (n *Node) closeIdleConnections(now time.Time) {
	timeout := config.Seconds(n.cfg.Deployment.Workers.LeaseS)
	for conn := range n.connections {
		if conn.awaitingAnswer || conn.peerDecoder != nil || conn.regionDecoder != nil {
			continue
		}
		if !conn.requestStarted.IsZero() && now.Sub(conn.requestStarted) > timeout || conn.isWorker && now.Sub(conn.lastActive) > timeout {
			n.closeConnection(conn)
		}
	}
}

// closeConnection closes a connection from outside its own events.
func (n *Node) closeConnection(conn *connection) {
	conn.closing = true
	conn.socket.Wake()
}

func (n *Node) onOpened(ec evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &connection{socket: ec, lastActive: time.Now()}
	ec.SetContext(conn)
	if ec.AddrIndex() == peerAddressIndex {
		conn.peerDecoder = peer.NewDecoder[wire.PeerMessage]()
	} else if ec.AddrIndex() == regionAddressIndex {
		if !n.regions.admit() {
			return nil, opts, evio.Close
		}
		conn.regionDecoder = peer.NewDecoder[wire.RegionMessage]()
	} else if len(n.connections) >= n.cfg.Deployment.MachineLimits.MaxIncoming() && !n.evictIdleUser() {
		n.log.Debug("connection refused", "open", len(n.connections))
		return nil, opts, evio.Close
	}
	n.connections[conn] = true
	return nil, opts, evio.None
}

// evictIdleUser closes the user's connection that has been idle for longest, so that
// no worker is turned away for users.
func (n *Node) evictIdleUser() bool {
	var oldest *connection
	for conn := range n.connections {
		if conn.isWorker || conn.peerDecoder != nil || conn.regionDecoder != nil || conn.awaitingAnswer || conn.closing {
			continue
		}
		if oldest == nil || conn.lastActive.Before(oldest.lastActive) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	n.closeConnection(oldest)
	return true
}

func (n *Node) onClosed(ec evio.Conn, _ error) evio.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn, ok := ec.Context().(*connection); ok {
		if conn.regionDecoder != nil && !conn.closed {
			n.regions.connections--
		}
		conn.closed = true
		delete(n.connections, conn)
	}
	return evio.None
}

// onData takes what has arrived on a connection.
func (n *Node) onData(ec evio.Conn, input []byte) ([]byte, evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn, ok := ec.Context().(*connection)
	if !ok {
		return nil, evio.Close
	}
	if conn.peerDecoder != nil {
		return nil, n.onPeerData(conn, input)
	}
	if conn.regionDecoder != nil {
		return nil, n.onRegionData(conn, input)
	}
	if len(input) > 0 {
		conn.lastActive = time.Now()
	}
	conn.input = append(conn.input, input...)
	for !conn.awaitingAnswer && !conn.closeAfterAnswer && len(conn.input) > 0 {
		request, more := conn.nextRequest()
		if !more {
			break
		}
		n.dispatchRequest(conn, request)
	}
	output := conn.output
	conn.output = nil
	if conn.closing || conn.closeAfterAnswer && !conn.awaitingAnswer {
		return output, evio.Close
	}
	return output, evio.None
}

// onPeerData takes what another controller sends.
func (n *Node) onPeerData(conn *connection, input []byte) evio.Action {
	messages, err := conn.peerDecoder.Feed(input)
	for _, m := range messages {
		n.step(core.PeerInput{Message: m}, conn)
	}
	if err != nil {
		n.log.Debug("peer stream broken", "err", err)
		return evio.Close
	}
	return evio.None
}

// nextRequest takes a request out of what has arrived; false if it is not whole
// yet, or malformed, in which case the connection ends with an answer that says so.
func (c *connection) nextRequest() (*httpwire.Request, bool) {
	r, size, err := httpwire.ParseRequest(c.input)
	if errors.Is(err, httpwire.ErrIncomplete) {
		if c.requestStarted.IsZero() {
			c.requestStarted = time.Now()
		}
		return nil, false
	}
	c.requestStarted = time.Time{}
	if err != nil {
		c.output = httpwire.AppendResponse(c.output, httpwire.Reply{
			Status: httpstatus.BadRequest, Body: []byte(malformedBody), Close: true,
		})
		c.input, c.closeAfterAnswer = nil, true
		return nil, false
	}
	if c.input = c.input[size:]; len(c.input) == 0 {
		c.input = nil
	}
	return r, true
}

// dispatchRequest hands a worker's request to the core, and has a user's wait for its
// turn.
func (n *Node) dispatchRequest(conn *connection, parsed *httpwire.Request) {
	conn.awaitingAnswer, conn.closeAfterAnswer = true, parsed.Close
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = conn
	request := core.Request{ID: n.lastRequestID, Method: parsed.Method, Path: parsed.Path, Body: parsed.Body}
	if !strings.HasPrefix(parsed.Path, "/submissions") {
		conn.isWorker = conn.isWorker || parsed.Path == "/checkin"
		n.step(request, conn)
		return
	}
	select {
	case n.userRequests <- userRequest{request, conn, time.Now()}:
	default:
		n.shedRequest(conn, request.ID)
	}
}

// step feeds the core and carries out what it asks for. The caller holds the
// lock; current is the connection whose data is being handled.
func (n *Node) step(input core.Input, current *connection) {
	now := time.Now()
	output := n.core.Step(now.Sub(n.started), now, input)
	n.logSlowStep(input, now, time.Since(now))
	for _, answer := range output.Answers {
		conn := n.pendingRequests[answer.ID]
		delete(n.pendingRequests, answer.ID)
		if conn == nil || conn.closed {
			continue
		}
		conn.awaitingAnswer = false
		conn.output = httpwire.AppendResponse(conn.output, httpwire.Reply{
			Status: answer.Status, Body: answer.Body, RetryAfter: answer.RetryAfter, Close: conn.closeAfterAnswer,
		})
		if conn != current {
			conn.socket.Wake()
		}
	}
	for _, send := range output.PeerSends {
		if link := n.peerLinks[send.To]; link != nil {
			link.Send(send.Message)
		}
	}
	for _, send := range output.RegionSends {
		n.regions.send(send)
	}
	for _, call := range output.Calls {
		go n.execute(call)
	}
}

// ticksPerHeartbeat is the part of a report's time between two ticks.
const ticksPerHeartbeat = 20

// logSlowStep logs a step that took longer than the time between two ticks, since reports
// wait meanwhile: the longest one in a report's time.
func (n *Node) logSlowStep(input core.Input, now time.Time, took time.Duration) {
	heartbeat := config.Seconds(n.cfg.Deployment.Workers.ReportS)
	if took > n.longestStep {
		n.longestStep, n.longestStepInput = took, fmt.Sprintf("%T", input)
	}
	if now.Sub(n.stepsLoggedAt) < heartbeat {
		return
	}
	if n.longestStep > heartbeat/ticksPerHeartbeat {
		n.log.Info("slow step", "input", n.longestStepInput, "took_ms", n.longestStep.Milliseconds())
	}
	n.longestStep, n.stepsLoggedAt = 0, now
}

func (n *Node) execute(call core.Call) {
	var result core.Result
	switch call.Destination {
	case core.DestinationStore:
		result = n.store.Do(call)
	case core.DestinationCloud:
		result = n.cloud.Do(call)
	case core.DestinationWorker:
		result = n.worker.Do(call)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(result, nil)
}
