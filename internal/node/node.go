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
	cfg   *config.Settings
	log   *slog.Logger
	start time.Time

	store   *store.Client
	cloud   *cloud.Client
	worker  *worker.Client
	links   map[string]*peer.Link[wire.PeerMessage]
	regions *regionLinks // nil if limits are not shared with other regions

	// queue holds the requests of users: they come after reports, which are
	// handled as they arrive, and decisions, which go by the ticker.
	queue chan userRequest

	mu       sync.Mutex
	core     *core.Core
	requests map[uint64]*conn
	conns    map[*conn]bool
	nextReq  uint64

	// The longest step since the last time that they were looked at, and its input.
	slowStep    time.Duration
	slowInput   string
	stepsToldAt time.Time
}

// conn is one incoming connection. All fields are guarded by Node.mu.
type conn struct {
	ev     evio.Conn
	peer   *peer.Decoder[wire.PeerMessage]
	region *peer.Decoder[wire.RegionMessage]
	worker bool // it has brought a report
	last   time.Time
	in     []byte
	since  time.Time // first byte of a request that is not complete
	busy   bool      // a request waits for its answer
	ending bool      // close after the answer
	out    []byte
	close  bool
	closed bool
}

// New makes a node.
func New(cfg *config.Settings, op *config.Operator, log *slog.Logger) *Node {
	return &Node{
		cfg: cfg, log: log, start: time.Now(),
		store: store.New(cfg), cloud: cloud.New(cfg), worker: worker.New(cfg),
		links: map[string]*peer.Link[wire.PeerMessage]{},
		queue: make(chan userRequest, max(1, cfg.Deployment.Limits.MaxConnections/userQueue)),
		core:  core.New(cfg, op, rand.Uint64(), log), requests: map[uint64]*conn{}, conns: map[*conn]bool{},
	}
}

// The order of the addresses that a node listens on.
const (
	peerAddress   = 1
	regionAddress = 2
)

// Run serves until the process ends or a listener fails.
func (n *Node) Run() error {
	// The runtime collects harder as its limit comes near; the rest of the
	// machine's memory is for code, stacks and what the system holds.
	// What is live is a small part of that, so collections can be rare.
	debug.SetMemoryLimit(int64(0.55 * n.cfg.Deployment.Limits.RAMMB * (1 << 20)))
	debug.SetGCPercent(400)
	// One processor for the event loop, which blocks in a system call that
	// the runtime does not see, and one for everything else.
	runtime.GOMAXPROCS(2)
	for _, p := range n.cfg.Peers {
		n.links[p.Name] = peer.NewLink[wire.PeerMessage](p.Addr, config.Seconds(n.cfg.Deployment.Workers.ReportS), n.cfg.Deployment.Limits.MaxConnections, n.log)
	}
	ev := evio.Events{NumLoops: 1}
	ev.Serving = func(evio.Server) evio.Action {
		n.log.Info("serving", "name", n.cfg.Name, "listen", n.cfg.Listen, "peers", n.cfg.PeerListen,
			"workers_carried", n.cfg.Deployment.WorkersCarried(n.cfg.Deployment.Size))
		go n.tick()
		go n.serveUsers()
		return evio.None
	}
	ev.Opened = n.opened
	ev.Closed = n.closed
	ev.Data = n.data
	addresses := []string{"tcp://" + n.cfg.Listen, "tcp://" + n.cfg.PeerListen}
	if n.regions != nil {
		addresses = append(addresses, "tcp://"+n.regions.listen)
	}
	if err := evio.Serve(ev, addresses...); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// userQueue is the part of the sockets for whose users a request may wait.
const userQueue = 4

// userRequest is a user's request that waits for its turn.
type userRequest struct {
	req  core.Request
	conn *conn
	at   time.Time
}

// serveUsers hands the users' requests to the core one at a time, so that
// reports and ticks come in between.
func (n *Node) serveUsers() {
	patience := config.Seconds(n.cfg.Deployment.Workers.ReportS)
	for u := range n.queue {
		n.mu.Lock()
		if time.Since(u.at) > patience {
			n.refuse(u.conn, u.req.ID)
			if !u.conn.closed {
				u.conn.ev.Wake()
			}
		} else {
			n.step(u.req, nil)
		}
		n.mu.Unlock()
	}
}

// Status codes of answers that do not come from the core, and when to come back
// after the latter, in seconds.
const (
	statusBadRequest  = 400
	statusUnavailable = 503
	busyRetry         = 1
)

// refuse answers a request that cannot be taken now, with when to come back.
func (n *Node) refuse(c *conn, id uint64) {
	delete(n.requests, id)
	c.busy = false
	if !c.closed {
		c.out = httpwire.AppendResponse(c.out, statusUnavailable, []byte(`{"error":"busy"}`), busyRetry, c.ending)
	}
}

func (n *Node) tick() {
	period := config.Seconds(n.cfg.Deployment.Workers.ReportS / tickPart)
	sweep := time.Now()
	for range time.Tick(period) {
		n.mu.Lock()
		n.step(core.Tick{}, nil)
		if now := time.Now(); now.Sub(sweep) > time.Second {
			sweep = now
			n.sweep(now)
		}
		n.mu.Unlock()
	}
}

// sweep cuts off senders that do not finish their request, and workers that
// have given up: one that was silent for a lease has left this connection. When
// a zone is cut off nobody closes the workers' ends of theirs, and what is left
// of them would take the sockets of those that come back.
func (n *Node) sweep(now time.Time) {
	limit := config.Seconds(n.cfg.Deployment.Workers.LeaseS)
	for c := range n.conns {
		if c.busy || c.peer != nil || c.region != nil {
			continue
		}
		if !c.since.IsZero() && now.Sub(c.since) > limit || c.worker && now.Sub(c.last) > limit {
			n.drop(c)
		}
	}
}

// drop closes a connection from outside its own events.
func (n *Node) drop(c *conn) {
	c.close = true
	c.ev.Wake()
}

func (n *Node) opened(ec evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{ev: ec, last: time.Now()}
	ec.SetContext(c)
	if ec.AddrIndex() == peerAddress {
		c.peer = peer.NewDecoder[wire.PeerMessage]()
	} else if ec.AddrIndex() == regionAddress {
		if !n.regions.open() {
			return nil, opts, evio.Close
		}
		c.region = peer.NewDecoder[wire.RegionMessage]()
	} else if len(n.conns) >= n.cfg.Deployment.Limits.Incoming() && !n.makeRoom() {
		n.log.Debug("connection refused", "open", len(n.conns))
		return nil, opts, evio.Close
	}
	n.conns[c] = true
	return nil, opts, evio.None
}

// makeRoom closes the user's connection that has been idle for longest, so that
// no worker is turned away for users.
func (n *Node) makeRoom() bool {
	var oldest *conn
	for c := range n.conns {
		if c.worker || c.peer != nil || c.region != nil || c.busy || c.close {
			continue
		}
		if oldest == nil || c.last.Before(oldest.last) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	n.drop(oldest)
	return true
}

func (n *Node) closed(ec evio.Conn, _ error) evio.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := ec.Context().(*conn); ok {
		if c.region != nil && !c.closed {
			n.regions.connections--
		}
		c.closed = true
		delete(n.conns, c)
	}
	return evio.None
}

// data takes what has arrived on a connection.
func (n *Node) data(ec evio.Conn, in []byte) ([]byte, evio.Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := ec.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if c.peer != nil {
		return nil, n.peerData(c, in)
	}
	if c.region != nil {
		return nil, n.regionData(c, in)
	}
	if len(in) > 0 {
		c.last = time.Now()
	}
	c.in = append(c.in, in...)
	for !c.busy && !c.ending && len(c.in) > 0 {
		r, more := c.nextRequest()
		if !more {
			break
		}
		n.takeRequest(c, r)
	}
	out := c.out
	c.out = nil
	if c.close || c.ending && !c.busy {
		return out, evio.Close
	}
	return out, evio.None
}

// peerData takes what another controller sends.
func (n *Node) peerData(c *conn, in []byte) evio.Action {
	messages, err := c.peer.Feed(in)
	for _, m := range messages {
		n.step(core.PeerInput{Message: m}, c)
	}
	if err != nil {
		n.log.Debug("peer stream broken", "err", err)
		return evio.Close
	}
	return evio.None
}

// nextRequest takes a request out of what has arrived; false if it is not whole
// yet, or malformed, in which case the connection ends with an answer that says so.
func (c *conn) nextRequest() (*httpwire.Request, bool) {
	r, size, err := httpwire.ParseRequest(c.in)
	if errors.Is(err, httpwire.ErrPartial) {
		if c.since.IsZero() {
			c.since = time.Now()
		}
		return nil, false
	}
	c.since = time.Time{}
	if err != nil {
		c.out = httpwire.AppendResponse(c.out, statusBadRequest, []byte(`{"error":"malformed request"}`), 0, true)
		c.in, c.ending = nil, true
		return nil, false
	}
	if c.in = c.in[size:]; len(c.in) == 0 {
		c.in = nil
	}
	return r, true
}

// takeRequest hands a worker's request to the core, and has a user's wait for its
// turn.
func (n *Node) takeRequest(c *conn, r *httpwire.Request) {
	c.busy, c.ending = true, r.Close
	n.nextReq++
	n.requests[n.nextReq] = c
	req := core.Request{ID: n.nextReq, Method: r.Method, Path: r.Path, Body: r.Body}
	if !strings.HasPrefix(r.Path, "/submissions") {
		c.worker = c.worker || r.Path == "/checkin"
		n.step(req, c)
		return
	}
	select {
	case n.queue <- userRequest{req, c, time.Now()}:
	default:
		n.refuse(c, req.ID)
	}
}

// step feeds the core and carries out what it asks for. The caller holds the
// lock; current is the connection whose data is being handled.
func (n *Node) step(in core.Input, current *conn) {
	now := time.Now()
	out := n.core.Step(now.Sub(n.start), now, in)
	n.noteStep(in, now, time.Since(now))
	for _, a := range out.Answers {
		c := n.requests[a.ID]
		delete(n.requests, a.ID)
		if c == nil || c.closed {
			continue
		}
		c.busy = false
		c.out = httpwire.AppendResponse(c.out, a.Status, a.Body, a.RetryAfter, c.ending)
		if c != current {
			c.ev.Wake()
		}
	}
	for _, s := range out.Sends {
		if l := n.links[s.To]; l != nil {
			l.Send(s.Msg)
		}
	}
	for _, s := range out.RegionSends {
		n.regions.send(s)
	}
	for _, k := range out.Calls {
		go n.carryOut(k)
	}
}

// tickPart is the part of a report's time between two ticks.
const tickPart = 20

// noteStep logs a step that took longer than the time between two ticks, since reports
// wait meanwhile: the longest one in a report's time.
func (n *Node) noteStep(in core.Input, now time.Time, took time.Duration) {
	report := config.Seconds(n.cfg.Deployment.Workers.ReportS)
	if took > n.slowStep {
		n.slowStep, n.slowInput = took, fmt.Sprintf("%T", in)
	}
	if now.Sub(n.stepsToldAt) < report {
		return
	}
	if n.slowStep > report/tickPart {
		n.log.Info("slow step", "input", n.slowInput, "took_ms", n.slowStep.Milliseconds())
	}
	n.slowStep, n.stepsToldAt = 0, now
}

func (n *Node) carryOut(k core.Call) {
	var r core.Result
	switch k.Dest {
	case core.DestStore:
		r = n.store.Do(k)
	case core.DestCloud:
		r = n.cloud.Do(k)
	case core.DestWorker:
		r = n.worker.Do(k)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(r, nil)
}
