// Package core is the state machine of a controller. Step takes one input (a request, a peer's
// message, the result of a call, a tick) and returns what to answer, call and send. It owns no
// clock, goroutine or socket, and map order has no effect on what it does: the same inputs at
// the same times lead to the same outputs.
//
// Core is what every controller has: the front end for users, forwarding of heartbeats, the
// election. leader is what only the leader has, for one term: the state of jobs and machines
// (package cluster), reconciliation, scheduling, provisioning and persistence. internal/node
// runs a core on sockets, internal/sim in virtual time. docs/architecture.md shows the way
// of a request through it.
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
	incarnation      uint64        // differs from that of any other run of the program
	now              time.Duration // steady time of the present step
	wallClockMS      int64         // time of day of the present step, in ms
	out              Output        // of the present step

	pendingCalls map[uint64]func(Result) // what handles the result, by the call's ID
	nextCall     uint64

	machineTypes            map[string]*wire.MachineType // by name, as the cloud last listed them
	machineTypesRequestedAt time.Duration
	machineTypesGeneration  int // counts the answers that the types were taken from
	machineTypesRequested   bool
	machineTypesStored      string // the list as it was last written to the store

	jobCache *jobcache.Cache
	frontEnd *frontend.FrontEnd
	election *election.Election
	store    *kv.Client
	cloud    *cloudapi.Client

	membership *membership.Membership
	leader     *leader // nil on a follower

	forwardedHeartbeats map[uint64]*forwardedHeartbeat
	nextForwardID       uint64
	digestDueAt         time.Duration
	jobCountsDueAt      time.Duration
	jobCounts           map[string]wire.JobCount // last digest of the leader
	regions             regions
	// pullsAreSequential is what the leader's last digest says of how machines pull images.
	pullsAreSequential bool
}

// New makes the core of a controller. The operators' settings and the logger may be nil. The
// incarnation has to differ from that of any other run of the program.
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
	}
	c.store = kv.NewClient(storeTransport{c}, &settings.Deployment)
	c.cloud = cloudapi.NewClient(cloudTransport{c})
	c.election = election.New(settings.Name, c.leaderLeaseDuration(), electionStore{c.store}, electionHost{c}, log)
	c.membership = c.newMembership()
	c.jobCache = jobcache.New(c.jobCacheCapacity())
	c.frontEnd = frontend.New(frontEndHost{c}, c.store, c.jobCache, &settings.Deployment, incarnation)
	return c
}

// Step applies one input at a steady time, which does not go back, and a time of day. It
// returns what the input leads to.
func (c *Core) Step(now time.Duration, wall time.Time, in Input) Output {
	c.logProcessPause(now)
	if now > c.now {
		c.now = now
	}
	c.wallClockMS = wall.UnixMilli()
	c.out = Output{}
	in.apply(c)
	if leader := c.leader; leader != nil {
		// Passes wait for the next tick, so that no answer to a heartbeat is delayed by
		// one; what they have changed is recorded at once.
		if _, tick := in.(Tick); tick {
			leader.runDuePass()
		}
		leader.writeRecords()
	}
	return c.out
}

// Evaluations counts the machines that scheduling passes of the present term have evaluated: a
// measure of their cost that does not depend on a clock. It is 0 on a follower.
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

// call makes a call; done handles its result.
func (c *Core) call(request Call, done func(Result)) {
	c.nextCall++
	request.ID = c.nextCall
	c.pendingCalls[request.ID] = done
	c.out.Calls = append(c.out.Calls, request)
}

// answer answers a request. A nil value stands for an empty object; retryAfter is in seconds, 0
// for none.
func (c *Core) answer(requestID uint64, status int, value any, retryAfter int) {
	body := []byte("{}")
	if value != nil {
		body = kv.Encode(value)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: requestID, Status: status, Body: body, RetryAfterS: retryAfter})
}

// workerLease is how long a worker keeps its tasks without an answer to a heartbeat.
func (c *Core) workerLease() time.Duration {
	return c.settings.Deployment.Workers.Lease()
}

// heartbeatInterval is the time between two heartbeats of a worker, plus or minus a quarter.
func (c *Core) heartbeatInterval() time.Duration {
	return c.settings.Deployment.Workers.HeartbeatInterval()
}

// sortedKeys returns a map's keys in order, so that map order has no effect.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
