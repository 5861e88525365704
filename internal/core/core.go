// Package core is the state machine of a controller. Step takes one input (a request, a peer's
// message, the result of a call, a tick) and returns the answers, calls and messages to send. It
// owns no clock, goroutine or socket, and does not depend on the iteration order of maps: the same
// inputs at the same times produce the same outputs.
//
// Core holds the state of every controller: the front end for users, the forwarding of heartbeats
// and the election. leader holds the state of the leader during one term: jobs and machines
// (package cluster), reconciliation, scheduling, provisioning and persistence. internal/node
// runs a core on sockets, internal/sim in virtual time. docs/architecture.md traces a request
// through the core.
package core

import (
	"io"
	"log/slog"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
	"github.com/brookwalk/brookwalk/internal/core/jobcache"
	"github.com/brookwalk/brookwalk/internal/core/membership"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Core is the state machine of one controller.
type Core struct {
	settings         *config.Settings
	operatorSettings *config.OperatorSettings
	log              *slog.Logger
	incarnation      uint64        // identifies this run of the program
	now              time.Duration // monotonic time of the current step
	wallClockMS      int64         // wall-clock time of the current step, in ms
	out              Output        // of the current step

	pendingCalls map[uint64]func(Result) // result handlers, by call ID
	lastCallID   uint64

	machineTypes            map[string]*wire.MachineType // by name, as last listed by the cloud
	machineTypesRequestedAt time.Duration
	machineTypesGeneration  int // number of the cloud's responses that the types were taken from
	machineTypesRequested   bool
	machineTypesStored      string // the list as last written to the store

	jobCache *jobcache.Cache
	frontEnd *frontend.FrontEnd
	election *election.Election
	store    *kv.Client
	cloud    *cloudapi.Client

	membership *membership.Membership
	leader     *leader // nil on a follower

	forwardedHeartbeats map[uint64]*forwardedHeartbeat
	lastForwardID       uint64
	digestDueAt         time.Duration
	jobCountsDueAt      time.Duration
	jobCounts           map[string]wire.JobCount // by job ID, from the leader's last digest
	regions             regions
	// pullsAreSequential is whether machines pull images one after another, according to the
	// leader's last digest.
	pullsAreSequential bool
}

// New returns the core of a controller. The operators' settings and the logger may be nil. The
// incarnation must be unique among all runs of the program.
func New(settings *config.Settings, operatorSettings *config.OperatorSettings, incarnation uint64, log *slog.Logger) *Core {
	if operatorSettings == nil {
		operatorSettings = &config.OperatorSettings{}
	}
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c := &Core{
		settings:            settings,
		operatorSettings:    operatorSettings,
		log:                 log,
		incarnation:         incarnation,
		pendingCalls:        map[uint64]func(Result){},
		machineTypes:        map[string]*wire.MachineType{},
		forwardedHeartbeats: map[uint64]*forwardedHeartbeat{},
		lastForwardID:       firstForwardID(incarnation),
	}
	c.store = kv.NewClient(storeTransport{c}, &settings.Deployment)
	c.cloud = cloudapi.NewClient(cloudTransport{c})
	c.election = election.New(settings.Name, c.leaderLeaseDuration(), electionStore{c.store}, electionHost{c}, log)
	c.membership = c.newMembership()
	c.jobCache = jobcache.New(c.jobCacheCapacity())
	c.frontEnd = frontend.New(frontEndHost{c}, c.store, c.jobCache, &settings.Deployment, incarnation, log)
	return c
}

// Step applies one input and returns the resulting output. now is the monotonic time and wall the
// wall-clock time. If now is earlier than in a previous step, the time of that step is used.
func (c *Core) Step(now time.Duration, wall time.Time, in Input) Output {
	c.logProcessPause(now)
	if now > c.now {
		c.now = now
	}
	c.wallClockMS = wall.UnixMilli()
	c.out = Output{}
	in.apply(c)
	if leader := c.leader; leader != nil {
		// Placement passes run only on ticks, so that they do not delay answers to
		// heartbeats. Their changes are recorded immediately.
		if _, tick := in.(Tick); tick {
			leader.runDuePass()
		}
		leader.writeRecords()
	}
	return c.out
}

// Evaluations returns the number of machines that placement passes of the current term have
// evaluated: a measure of their cost that does not depend on a clock. It is 0 on a follower.
func (c *Core) Evaluations() int {
	if c.leader == nil {
		return 0
	}
	return c.leader.scheduler.Evaluations()
}

// onTick runs the periodic work that is due.
func (c *Core) onTick() {
	c.election.Tick()
	c.tickMachineTypes()
	c.frontEnd.Tick()
	c.expireForwards()
	if c.now >= c.digestDueAt {
		c.digestDueAt = c.now + c.leaderLeaseDuration()/4
		c.sendDigests()
		c.membership.ForgetSilentWorkers()
	}
	if c.leader != nil {
		c.leader.tick()
	}
}

// call requests a call; done handles its result.
func (c *Core) call(request Call, done func(Result)) {
	c.lastCallID++
	request.ID = c.lastCallID
	c.pendingCalls[request.ID] = done
	c.out.Calls = append(c.out.Calls, request)
}

// answer answers a request. A nil value is sent as an empty object. retryAfter is in seconds; 0
// means none.
func (c *Core) answer(requestID uint64, status int, value any, retryAfter int) {
	body := []byte("{}")
	if value != nil {
		body = kv.Encode(value)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: requestID, Status: status, Body: body, RetryAfterS: retryAfter})
}

// workerLease returns how long a worker keeps its tasks without an answer to a heartbeat.
func (c *Core) workerLease() time.Duration {
	return c.settings.Deployment.Workers.Lease()
}

// heartbeatInterval returns the time between two heartbeats of a worker, which varies by up to 25%.
func (c *Core) heartbeatInterval() time.Duration {
	return c.settings.Deployment.Workers.HeartbeatInterval()
}

// sortedKeys returns a map's keys in sorted order, so that loops over them are deterministic.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
