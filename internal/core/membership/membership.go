// Package membership keeps what one controller knows of the other controllers of its region,
// and of the workers whose heartbeats it handles. From that it answers:
//
//   - which peers and zones it hears, and whether it hears the leader,
//   - whether the leader is lost, so that an election may replace it,
//   - which controller a worker is redirected to,
//   - which workers' leases this controller may extend while it does not hear the leader,
//   - whether a worker's lease has certainly expired, although peers may have extended it.
//
// The package has no clock, socket or goroutine, and map order has no effect on its answers.
// It sends nothing: package core passes it digests and heartbeats, queries it, and does the
// sending. Which controller leads is decided in package election.
package membership

import (
	"log/slog"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
)

// Config describes a controller, its peers and the region's timings.
type Config struct {
	Name, Zone string        // of this controller
	Peers      []config.Peer // the region's other controllers
	// Incarnation differs between any two runs of controllers.
	Incarnation       uint64
	WorkerLease       time.Duration
	HeartbeatInterval time.Duration // of workers
	// LeaderLease is the duration of the leader's lease. A peer that has not been heard for
	// as long counts as unreachable.
	LeaderLease time.Duration
}

// Host is the controller that the membership belongs to.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// IsLeader reports whether this controller leads.
	IsLeader() bool
}

// LeaderView is what the election knows of the leader.
type LeaderView interface {
	// Leader is the name of the leader; empty if none is known.
	Leader() string
	// LeaderHeard is when the leader was last heard.
	LeaderHeard() time.Duration
	// LeaderKeyRead is when the key of another leader was last read; 0 for never.
	LeaderKeyRead() time.Duration
}

// Membership is the state of one controller's view of its peers and workers.
type Membership struct {
	config   Config
	host     Host
	election LeaderView
	log      *slog.Logger

	peers      []*peer // in the order of the settings
	extensions leaseExtensions
	workers    map[string]*Worker // by machine
}

// New makes the view of a controller that has just started: it has heard nobody.
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

// since is the time that has passed since an earlier one.
func (m *Membership) since(earlier time.Duration) time.Duration { return m.host.Now() - earlier }
