package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/boots"
	"github.com/brookwalk/brookwalk/internal/core/depgraph"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/faults"
	"github.com/brookwalk/brookwalk/internal/core/forecast"
	"github.com/brookwalk/brookwalk/internal/quota"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/wire"
)

// leader is the state of the controller that decides, for one term.
type leader struct {
	c       *Core
	mandate election.Mandate
	deposed bool // the term is over
	ready   bool // the records are loaded

	jobs     map[string]*job
	order    []*job // by submission
	machines map[string]*machine
	byName   []*machine               // replaced, never changed in place
	returned map[string]time.Duration // machines the cloud has taken back for certain

	loadedAt time.Duration
	loading  recordLoader
	records  recordWriter
	lists    awaitLists
	lookups  jobLookups
	passes   placementPasses
	used     teamUsage

	probing int                      // probes under way
	reached map[string]time.Duration // when a machine of a zone last answered or reported to us directly

	cancelled map[string]*job // cancelled jobs whose end is not recorded
	ending    []*job          // of them, those that may be without dependents
	deps      *depgraph.Graph

	quota         *quota.Manager            // shares limits with other regions; nil if that is off
	regionDemands map[string]balance.Demand // what the last plan found, by team
	quotaRetry    func()                    // reads records again that could not be read
	quotaRetryAt  time.Duration
	reservedOf    reservationCache

	fleet    fleet
	outgrown bool                          // the fleet is larger than the controllers carry, see checkFleetSize
	guests   map[string]bool               // teams without a guarantee beside others with one
	arrivals map[string]*classArrivals     // by class
	runTimes map[string]*forecast.RunTimes // by class
	fetches  fetchEvidence
	faults   *faults.Evidence
	boots    *boots.History
}

func newLeader(c *Core, m election.Mandate) *leader {
	return &leader{
		c: c, mandate: m,
		jobs:     map[string]*job{},
		machines: map[string]*machine{},
		reached:  map[string]time.Duration{},
		returned: map[string]time.Duration{}, cancelled: map[string]*job{},
		deps:     depgraph.New(),
		lookups:  jobLookups{due: map[string]time.Duration{}},
		lists:    awaitLists{unread: map[string]time.Duration{}},
		guests:   c.guestTeams(),
		arrivals: map[string]*classArrivals{},
		runTimes: map[string]*forecast.RunTimes{},
		fleet:    newFleet(),
		fetches:  fetchEvidence{before: c.fetchesQueue},
		faults:   faults.New(),
		boots:    boots.New(),
	}
}

func (l *leader) termCond() wire.Cond {
	return wire.Cond{Key: election.KeyTerm, Version: l.mandate.TermVersion}
}

// tick does what has become due.
func (l *leader) tick() {
	if f := l.loading.retry; f != nil && l.c.now >= l.loading.retryAt {
		l.loading.retry = nil
		f()
	}
	if l.loading.watchRetryAt != 0 && l.c.now >= l.loading.watchRetryAt {
		l.loading.watchRetryAt = 0
		l.watch()
	}
	if !l.ready {
		return
	}
	if l.records.dueAt != 0 && l.c.now >= l.records.dueAt {
		l.records.dueAt, l.records.dirty = 0, true
	}
	l.tickMachines()
	l.tickFaults()
	l.tickFleet()
	l.tickStops()
	l.tickGone()
	l.tickAwaited()
	l.tickLists()
	l.tickQuota()
	if l.c.now >= l.passes.notBefore+l.c.report()/3 {
		l.passes.requested = true
	}
}

// settle runs after every input: decisions first, where it is time for them,
// then the records they need.
func (l *leader) settle(decide bool) {
	if l.deposed || !l.ready {
		return
	}
	if decide && l.passes.requested && l.c.now >= l.passes.notBefore {
		l.passes.requested = false
		l.passes.notBefore = l.c.now + l.c.report()/50
		l.place()
	}
	l.writeRecords()
}
