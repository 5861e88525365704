package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/bootlatency"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/depgraph"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/internal/core/outlier"
	"github.com/brookwalk/brookwalk/internal/core/persistence"
	"github.com/brookwalk/brookwalk/internal/quota"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// leader is the state of the controller that decides, for one term.
type leader struct {
	core          *Core
	leadership    election.Leadership
	steppedDown   bool // the term is over
	recordsLoaded bool // the records are loaded

	cluster.State
	returnedMachines map[string]time.Duration // machines the cloud has taken back for certain

	recordsLoadedAt time.Duration
	loader          *persistence.Loader
	writer          *persistence.Writer
	dependencyLists dependencyLists
	lookups         dependencyLookups
	passes          passState
	teamUsage       teamUsage

	openProbes    int                      // probes under way
	zoneReachedAt map[string]time.Duration // when a machine of a zone last answered or reported to us directly

	cancelledJobs              map[string]*cluster.Job // cancelled jobs whose end is not recorded
	cancelledWithoutDependents []*cluster.Job          // of them, those that may be without dependents
	dependencies               *depgraph.Graph

	quota          *quota.Manager            // shares limits with other regions; nil if that is off
	regionDemands  map[string]balance.Demand // what the last plan found, by team
	quotaLoadRetry func()                    // reads records again that could not be read
	quotaRetryAt   time.Duration
	reservations   reservationCache

	fleet                 fleet
	controllersOutgrown   bool                          // the fleet is larger than the controllers carry, see checkFleetSize
	bestEffortTeams       map[string]bool               // teams without a guarantee beside others with one
	arrivalsByClass       map[string]*classArrivals     // by class
	runTimesByClass       map[string]*forecast.RunTimes // by class
	pullStatistics        pullEvidence
	outliers              *outlier.Detector
	provisioningLatencies *bootlatency.History
}

func newLeader(c *Core, m election.Leadership) *leader {
	l := &leader{
		core: c, leadership: m,
		State:            cluster.NewState(),
		zoneReachedAt:    map[string]time.Duration{},
		returnedMachines: map[string]time.Duration{}, cancelledJobs: map[string]*cluster.Job{},
		dependencies:          depgraph.New(),
		lookups:               dependencyLookups{dueAt: map[string]time.Duration{}},
		dependencyLists:       dependencyLists{unread: map[string]time.Duration{}},
		bestEffortTeams:       c.bestEffortTeams(),
		arrivalsByClass:       map[string]*classArrivals{},
		runTimesByClass:       map[string]*forecast.RunTimes{},
		fleet:                 newFleet(),
		pullStatistics:        pullEvidence{inherited: c.pullsAreSequential},
		outliers:              outlier.New(),
		provisioningLatencies: bootlatency.New(),
	}
	host := persistenceHost{l}
	l.writer = persistence.NewWriter(c.store, &l.State, host, &c.settings.Deployment, l.termCondition(), c.log)
	l.loader = persistence.NewLoader(c.store, &l.State, host, l.writer, c.log)
	return l
}

func (l *leader) termCondition() wire.Condition {
	return wire.Condition{Key: election.KeyTerm, Version: l.leadership.TermVersion}
}

// tick does what has become due.
func (l *leader) tick() {
	l.loader.Tick()
	if !l.recordsLoaded {
		return
	}
	l.writer.Tick()
	l.tickMachines()
	l.tickOutliers()
	l.tickFleet()
	l.tickStops()
	l.tickTerminations()
	l.tickDependencies()
	l.tickDependencyLists()
	l.tickQuota()
	if l.core.now >= l.passes.earliest+l.core.heartbeatInterval()/3 {
		l.passes.requested = true
	}
}

// decideAndRecord runs after every input: decisions first, where it is time for them,
// then the records they need.
func (l *leader) decideAndRecord(mayDecide bool) {
	if l.steppedDown || !l.recordsLoaded {
		return
	}
	if mayDecide && l.passes.requested && l.core.now >= l.passes.earliest {
		l.passes.requested = false
		l.passes.earliest = l.core.now + l.core.heartbeatInterval()/50
		l.runPlacementPass()
	}
	l.writer.Write()
}
