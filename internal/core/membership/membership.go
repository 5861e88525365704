// Package membership holds one controller's view of the other controllers of its region (its peers)
// and of the workers whose heartbeats it handles. From that view it determines:
//
//   - which peers and zones it has contact with, and whether it has contact with the leader,
//   - whether the leader is lost, so that an election may replace it,
//   - which controller a worker is redirected to,
//   - which workers' leases this controller may extend while it has no contact with the leader,
//   - whether a worker's lease is guaranteed to have expired although peers may have extended it.
//
// A controller has contact with a peer if it has received a message from the peer within the duration
// of a leader's lease.
//
// The package has no clock, socket or goroutine, and map order has no effect on its results. It
// sends nothing: package core passes it digests and heartbeats, queries it, and sends the messages.
// Package election decides which controller leads.
package membership

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
)

// Config describes a controller, its peers and the region's timings.
type Config struct {
	Name, Zone string        // of this controller
	Peers      []config.Peer // the other controllers of the region
	// Incarnation is unique to each run of a controller process.
	Incarnation       uint64
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration // of workers
	// LeaderLease is the duration of the leader's lease. A peer from which no message has arrived
	// for that time counts as unreachable.
	LeaderLease time.Duration
}

// Host is the controller that the membership belongs to.
type Host interface {
	// Now returns the monotonic time.
	Now() time.Duration
	// IsLeader reports whether this controller is the leader.
	IsLeader() bool
}

// LeaderView is the election's view of the leader.
type LeaderView interface {
	// Leader returns the name of the leader; empty if none is known.
	Leader() string
	// LeaderLastContact returns the time of the last contact with the leader.
	LeaderLastContact() time.Duration
	// LeaderKeyReadAt returns when the leader key was last found to name another controller; 0 for
	// never.
	LeaderKeyReadAt() time.Duration
}

// Membership is one controller's view of its peers and workers.
type Membership struct {
	config   Config
	host     Host
	election LeaderView
	log      *slog.Logger

	peers      []*peer // in the order of Config.Peers
	extensions leaseExtensions
	workers    map[string]*Worker // by machine
}

// New creates the view of a controller that has just started and has received no messages.
func New(settings Config, host Host, election LeaderView, log *slog.Logger) *Membership {
	m := &Membership{
		config: settings, host: host, election: election, log: log,
		extensions: leaseExtensions{unacknowledged: map[string]leaseExtension{}},
		workers:    map[string]*Worker{},
	}
	for _, p := range settings.Peers {
		m.peers = append(m.peers, &peer{name: p.Name, zone: p.Zone})
	}
	return m
}

// since returns the time elapsed since an earlier time.
func (m *Membership) since(earlier time.Duration) time.Duration { return m.host.Now() - earlier }
