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

// leader is the state of a leader during one term. None of it outlives the term: the next leader
// rebuilds it from the records and from heartbeats.
type leader struct {
	core        *Core
	leadership  election.Leadership
	steppedDown bool // the term is over: later results are ignored

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
	cancelledJobs              map[string]*cluster.Job // by ID; those whose ends are not recorded
	cancelledWithoutDependents []*cluster.Job          // those of cancelledJobs that may have no dependents left

	// Reconciliation.
	openProbes    int
	zoneReachedAt map[string]time.Duration // by zone; last heartbeat or response that this controller received
	workerTraffic workerTraffic
	outliers      *outlier.Detector
	pullEvidence  pullEvidence

	// Scheduling and quotas.
	scheduler       *scheduler.Scheduler
	passes          passState
	teamUsage       teamUsage
	bestEffortTeams map[string]bool // teams without a guarantee, if other teams have one
	quota           *quota.Manager  // shares limits with other regions; nil if sharing is not configured
	regionDemands   map[string]balance.Demand
	retryQuotaLoad  func() // reads the quota records again after a failed read
	quotaRetryAt    time.Duration
	reservations    reservationCache

	// Provisioning.
	fleet                   fleet
	returnedMachines        map[string]time.Duration // by name; when the cloud confirmed their return
	fleetExceedsControllers bool                     // set by checkFleetSize, to warn only once
	arrivalsByClass         map[string]*classArrivals
	runTimesByClass         map[string]*forecast.RunTimeCorrection
	provisioningLatencies   *bootlatency.History
}

// newLeader returns the leader of a term that this controller has won. It makes no decisions before
// the records are loaded.
func newLeader(c *Core, leadership election.Leadership) *leader {
	l := &leader{
		core:                  c,
		leadership:            leadership,
		State:                 cluster.NewState(),
		zoneReachedAt:         map[string]time.Duration{},
		workerTraffic:         workerTraffic{loggedAt: c.now},
		returnedMachines:      map[string]time.Duration{},
		cancelledJobs:         map[string]*cluster.Job{},
		dependencies:          depgraph.New(),
		lookups:               dependencyLookups{dueAt: map[string]time.Duration{}},
		dependencyLists:       dependencyLists{unread: map[string]time.Duration{}},
		bestEffortTeams:       scheduler.BestEffortTeams(c.settings.Deployment.Teams),
		arrivalsByClass:       map[string]*classArrivals{},
		runTimesByClass:       map[string]*forecast.RunTimeCorrection{},
		fleet:                 newFleet(&c.settings.Deployment, leadership.Term),
		pullEvidence:          pullEvidence{inherited: c.pullsAreSequential},
		outliers:              outlier.New(),
		provisioningLatencies: bootlatency.New(),
	}
	host := persistenceHost{l}
	l.scheduler = scheduler.New(&l.State, schedulerHost{l}, &c.settings.Deployment, l.outliers, c.log)
	l.writer = persistence.NewWriter(c.store, &l.State, host, &c.settings.Deployment, l.termCondition(), c.log)
	l.loader = persistence.NewLoader(c.store, &l.State, host, l.writer, c.log)
	return l
}

// termCondition returns the condition that no later term has begun. All writes of a leader are
// conditional on it.
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
	l.logWorkerTraffic()
	if l.core.now >= l.passes.earliestStart+l.core.heartbeatInterval()/3 {
		l.passes.requested = true
	}
}

// isActive reports whether the leader may make decisions and write records: its term is not over,
// and the records are loaded.
func (l *leader) isActive() bool { return !l.steppedDown && l.recordsLoaded }

// runDuePass runs a placement pass if one is requested and due.
func (l *leader) runDuePass() {
	if !l.isActive() || !l.passes.requested || l.core.now < l.passes.earliestStart {
		return
	}
	l.passes.requested = false
	l.passes.earliestStart = l.core.now + l.core.heartbeatInterval()/50
	l.runPlacementPass()
}

// writeRecords writes the records that are due.
func (l *leader) writeRecords() {
	if l.isActive() {
		l.writer.Write()
	}
}
