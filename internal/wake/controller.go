package wake

import (
	"log/slog"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
)

// Controller is the state machine that one controller process runs for the models of a registry.
type Controller struct {
	name        string
	incarnation uint64
	registry    *Registry
	store       Store
	servers     ModelServers
	host        Host
	log         *slog.Logger

	models      map[string]*modelState
	modelNames  []string                              // sorted
	controllers map[string]kv.Versioned[registration] // those that are alive, by name
	slots       kv.Versioned[startSlots]

	listed   bool // the records are known
	listing  bool // a listing is in flight
	revision uint64
	watching bool          // a watch is in flight
	retryAt  time.Duration // no listing, watch or write of a record before then, after a failure

	leaseID          uint64
	leaseExpiry      time.Duration // the lease is valid at least until then; 0 for none
	leaseCallPending bool
	nextLeaseCall    time.Duration
}

// modelState is the state that a controller keeps for a model.
type modelState struct {
	Model
	record kv.Versioned[Record]
	// serverMayHaveReplica is whether the record's server may have a replica from before the
	// record's epoch.
	serverMayHaveReplica bool

	queue         queue
	inFlight      map[uint64]*Request // forwarded to the replica, by ID
	writePending  bool                // a transaction that writes its record is in flight
	ownership     ownership
	lastFailure   time.Duration // when the record last showed a further failed start
	lastRejection time.Duration // when a forwarded request was last not served; 0 for none
}

// New creates a controller. The incarnation must differ from that of any other run of the
// program.
func New(name string, incarnation uint64, registry *Registry, store Store, servers ModelServers, host Host, log *slog.Logger) *Controller {
	c := &Controller{
		name:        name,
		incarnation: incarnation,
		registry:    registry,
		store:       store,
		servers:     servers,
		host:        host,
		log:         log,
		models:      map[string]*modelState{},
		controllers: map[string]kv.Versioned[registration]{},
	}
	for _, registered := range registry.Models {
		c.models[registered.Name] = &modelState{
			Model:    registered,
			queue:    queue{limit: registry.MaxQueuedRequests},
			inFlight: map[uint64]*Request{},
		}
		c.modelNames = append(c.modelNames, registered.Name)
	}
	sort.Strings(c.modelNames)
	return c
}

// Divisors of a controller's lease that give intervals.
const (
	pollDivisor  = 8 // between commands to a replica's server, and between retries
	renewDivisor = 4 // between renewals of the lease
)

// leaseDuration is how long a controller counts as alive without renewing its lease.
func (c *Controller) leaseDuration() time.Duration { return seconds(c.registry.LeaseSeconds) }

// pollInterval is the time between two commands to a replica's server, and between retries.
func (c *Controller) pollInterval() time.Duration { return c.leaseDuration() / pollDivisor }

// Tick does the periodic work: it maintains the lease and the view, answers expired requests and
// reconciles every model. It is called several times per lease.
func (c *Controller) Tick() {
	now := c.host.Now()
	c.maintainLease(now)
	c.maintainView(now)
	for _, name := range c.modelNames {
		model := c.models[name]
		c.expireRequests(model, now)
		c.reconcile(model)
	}
}

// reconcile takes the actions that a model's record and queue require of this controller: it
// commands the replica, forwards requests, starts the model or takes over its replica.
func (c *Controller) reconcile(model *modelState) {
	if !c.listed {
		return
	}
	if c.owns(model) {
		c.reconcileReplica(model)
	}
	switch model.record.Value.Phase {
	case PhaseServing:
		c.forwardAll(model)
	case PhaseScaledToZero, phaseNoRecord:
		if len(model.queue.requests) > 0 && c.mayStart(model) {
			c.claim(model)
		}
	case PhaseStarting, PhaseDraining: // requests wait for the next phase
	}
	if c.orphaned(model) {
		c.takeOver(model)
	}
}
