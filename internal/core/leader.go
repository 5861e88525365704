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
	"github.com/brookwalk/brookwalk/internal/core/scheduler"
	"github.com/brookwalk/brookwalk/internal/quota"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// leader is what a controller has while it leads, for one term. Nothing of it outlives the
// term: the next leader rebuilds it from the records and from heartbeats.
type leader struct {
	core        *Core
	leadership  election.Leadership
	steppedDown bool // the term is over: results that come later have no effect

	cluster.State

	// Persistence.
	loader          *persistence.Loader
	writer          *persistence.Writer
	recordsLoaded   bool
	recordsLoadedAt time.Duration

	// Dependencies and cancellation.
	dependencies               *depgraph.Graph
	dependencyLists            dependencyLists
	lookups                    dependencyLookups
	cancelledJobs              map[string]*cluster.Job // whose ends are not on record
	cancelledWithoutDependents []*cluster.Job          // of them, those that may have no dependents left

	// Reconciliation.
	openProbes     int
	zoneReachedAt  map[string]time.Duration // when a machine of a zone last answered or sent a heartbeat here
	outliers       *outlier.Detector
	pullStatistics pullEvidence

	// Scheduling and quotas.
	scheduler       *scheduler.Scheduler
	passes          passState
	teamUsage       teamUsage
	bestEffortTeams map[string]bool // teams without a guarantee beside teams with one
	quota           *quota.Manager  // shares limits with other regions; nil if that is off
	regionDemands   map[string]balance.Demand
	quotaLoadRetry  func() // reads quota records again that could not be read
	quotaRetryAt    time.Duration
	reservations    reservationCache

	// Provisioning.
	fleet                 fleet
	returnedMachines      map[string]time.Duration // when the cloud confirmed their return
	controllersOutgrown   bool                     // the fleet is larger than the controllers can serve, see checkFleetSize
	arrivalsByClass       map[string]*classArrivals
	runTimesByClass       map[string]*forecast.RunTimeCorrection
	provisioningLatencies *bootlatency.History
}

// newLeader makes the leader of a term that was won. It decides nothing before its records are
// loaded.
func newLeader(c *Core, leadership election.Leadership) *leader {
	l := &leader{
		core:                  c,
		leadership:            leadership,
		State:                 cluster.NewState(),
		zoneReachedAt:         map[string]time.Duration{},
		returnedMachines:      map[string]time.Duration{},
		cancelledJobs:         map[string]*cluster.Job{},
		dependencies:          depgraph.New(),
		lookups:               dependencyLookups{dueAt: map[string]time.Duration{}},
		dependencyLists:       dependencyLists{unread: map[string]time.Duration{}},
		bestEffortTeams:       scheduler.BestEffortTeams(c.settings.Deployment.Teams),
		arrivalsByClass:       map[string]*classArrivals{},
		runTimesByClass:       map[string]*forecast.RunTimeCorrection{},
		fleet:                 newFleet(&c.settings.Deployment, leadership.Term),
		pullStatistics:        pullEvidence{inherited: c.pullsAreSequential},
		outliers:              outlier.New(),
		provisioningLatencies: bootlatency.New(),
	}
	host := persistenceHost{l}
	l.scheduler = scheduler.New(&l.State, schedulerHost{l}, &c.settings.Deployment, l.outliers, c.log)
	l.writer = persistence.NewWriter(c.store, &l.State, host, &c.settings.Deployment, l.termCondition(), c.log)
	l.loader = persistence.NewLoader(c.store, &l.State, host, l.writer, c.log)
	return l
}

// termCondition is the condition that no later term has begun. Every write of a leader has it.
func (l *leader) termCondition() wire.Condition {
	return wire.Condition{Key: election.KeyTerm, Version: l.leadership.TermVersion}
}

// tick runs the periodic work of a leader that is due.
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

// isActive reports whether the leader may decide and write: its term is not over, and the records
// are loaded.
func (l *leader) isActive() bool { return !l.steppedDown && l.recordsLoaded }

// runDuePass runs a scheduling pass if one is requested and it is time for it.
func (l *leader) runDuePass() {
	if !l.isActive() || !l.passes.requested || l.core.now < l.passes.earliest {
		return
	}
	l.passes.requested = false
	l.passes.earliest = l.core.now + l.core.heartbeatInterval()/50
	l.runPlacementPass()
}

// writeRecords writes the records that are due.
func (l *leader) writeRecords() {
	if l.isActive() {
		l.writer.Write()
	}
}
