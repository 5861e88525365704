// Package node runs one controller: evio serves users, workers and peers in one event loop,
// clients carry out the calls that the core asks for, and a ticker advances its time. The
// package owns the controller's sockets and goroutines; the core owns all decisions and is only
// called under Node's lock. It is started by cmd/brookwalk.
//
// A heartbeat is handled as it arrives, decisions are made at the ticks, and users' requests
// wait in a bounded queue for their turn.
package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

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
	peerLinks map[string]*peer.Link[wire.PeerMessage] // by controller
	regions   *regionLinks                            // nil if limits are not shared with other regions

	// userRequests holds the requests of users that wait for their turn.
	userRequests chan userRequest

	mu              sync.Mutex
	core            *core.Core
	pendingRequests map[uint64]*connection // that wait for the core's answer, by ID
	connections     map[*connection]bool   // those that are open
	lastRequestID   uint64
	slowSteps       slowStepLog
}

// New makes a controller that does not serve yet.
func New(cfg *config.Settings, op *config.Operator, log *slog.Logger) *Node {
	return &Node{
		cfg:             cfg,
		log:             log,
		started:         time.Now(),
		store:           store.New(cfg),
		cloud:           cloud.New(cfg),
		worker:          worker.New(cfg),
		peerLinks:       map[string]*peer.Link[wire.PeerMessage]{},
		userRequests:    make(chan userRequest, userQueueLength(cfg)),
		core:            core.New(cfg, op, rand.Uint64(), log),
		pendingRequests: map[uint64]*connection{},
		connections:     map[*connection]bool{},
		slowSteps:       slowStepLog{log: log, interval: heartbeatInterval(cfg), threshold: heartbeatInterval(cfg) / ticksPerHeartbeat},
	}
}

// heartbeatInterval is the time between two heartbeats of a worker.
func heartbeatInterval(cfg *config.Settings) time.Duration {
	return cfg.Deployment.Workers.HeartbeatInterval()
}

// The order of the addresses that a node listens on.
const (
	peerAddressIndex   = 1
	regionAddressIndex = 2
)

// Run serves until the process ends or a listener fails.
func (n *Node) Run() error {
	limitRuntime(n.cfg.Deployment.MachineLimits.RAMMB)
	for _, other := range n.cfg.Peers {
		n.peerLinks[other.Name] = peer.NewLink[wire.PeerMessage](
			other.Addr, heartbeatInterval(n.cfg), n.cfg.Deployment.MachineLimits.MaxConnections, n.log)
	}
	events := evio.Events{
		NumLoops: 1,
		Serving:  n.onServing,
		Opened:   n.onOpened,
		Closed:   n.onClosed,
		Data:     n.onData,
	}
	if err := evio.Serve(events, n.addresses()...); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// addresses lists the addresses to listen on.
func (n *Node) addresses() []string {
	list := []string{"tcp://" + n.cfg.Listen, "tcp://" + n.cfg.PeerListen}
	if n.regions != nil {
		list = append(list, "tcp://"+n.regions.listen)
	}
	return list
}

// onServing begins what depends on the listeners.
func (n *Node) onServing(evio.Server) evio.Action {
	n.log.Info("serving", "controller", n.cfg.Name, "listen", n.cfg.Listen, "peer_listen", n.cfg.PeerListen,
		"max_workers", n.cfg.Deployment.MaxWorkers(n.cfg.Deployment.Size))
	go n.runTicker()
	go n.serveUserRequests()
	return evio.None
}

// Settings of the Go runtime.
const (
	// memoryLimitShare of the machine's memory is the runtime's limit, near which it collects
	// garbage harder. The rest is for code, stacks and what the system holds.
	memoryLimitShare = 0.55
	// gcPercent is high, since live memory is a small part of the limit.
	gcPercent = 400
	// processors are one for the event loop, which blocks in a system call that the runtime
	// does not see, and one for everything else.
	processors = 2
)

// limitRuntime makes the Go runtime keep to the machine's memory, in MB.
func limitRuntime(ramMB float64) {
	debug.SetMemoryLimit(int64(memoryLimitShare * ramMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(processors)
}
