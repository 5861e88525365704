// Package node runs one controller: an event loop (package evio) serves users, workers and peers,
// clients execute the calls that the core requests, and a ticker advances the core's time. The
// package owns the controller's sockets and goroutines; the core makes all decisions and is only
// called under Node's lock. Command brookwalk starts it.
//
// Heartbeats are handled as they arrive, scheduling decisions are made at the ticks, and users'
// requests go through a bounded queue.
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
	peerLinks map[string]*peer.Link[wire.PeerMessage] // by controller name
	regions   *regionLinks                            // nil if limits are not shared with other regions

	// userRequests queues the requests of users.
	userRequests chan userRequest

	mu              sync.Mutex
	core            *core.Core
	pendingRequests map[uint64]*connection // connections of unanswered requests, by request ID
	connections     map[*connection]bool   // open connections
	lastRequestID   uint64
	slowSteps       slowStepLog
}

// New creates a controller. Run starts it.
func New(cfg *config.Settings, op *config.OperatorSettings, log *slog.Logger) *Node {
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

// Indexes of the listening addresses in the list that Node.addresses returns. Index 0 is the
// address for users and workers.
const (
	peerAddressIndex   = 1
	regionAddressIndex = 2
)

// Run serves requests until the process ends or a listener fails.
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

// addresses returns the addresses to listen on.
func (n *Node) addresses() []string {
	list := []string{"tcp://" + n.cfg.Listen, "tcp://" + n.cfg.PeerListen}
	if n.regions != nil {
		list = append(list, "tcp://"+n.regions.listen)
	}
	return list
}

// onServing starts the ticker and the user request queue once the node listens.
func (n *Node) onServing(evio.Server) evio.Action {
	n.log.Info("serving", "controller", n.cfg.Name, "listen", n.cfg.Listen, "peer_listen", n.cfg.PeerListen,
		"max_workers", n.cfg.Deployment.MaxWorkers(n.cfg.Deployment.Size))
	go n.runTicker()
	go n.serveUserRequests()
	return evio.None
}

// Settings of the Go runtime.
const (
	// memoryLimitShare is the runtime's soft memory limit as a share of the machine's memory.
	// Near it the garbage collector runs more often. The rest is for code and for memory that
	// the runtime does not manage, such as the kernel's.
	memoryLimitShare = 0.55
	// gcPercent is high, since live memory is a small part of the limit.
	gcPercent = 400
	// processors is GOMAXPROCS: one for the event loop, which blocks in its own epoll_wait
	// outside of the runtime's network poller, and one for all other goroutines.
	processors = 2
)

// limitRuntime configures the Go runtime for a machine with ramMB MiB of memory.
func limitRuntime(ramMB float64) {
	debug.SetMemoryLimit(int64(memoryLimitShare * ramMB * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(processors)
}
