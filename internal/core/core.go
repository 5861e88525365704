// Package core is the controllers' state machine. It takes inputs (a request,
// a peer's message, a call's result, a tick) and returns what to answer, call
// and send. It owns no clock, goroutine or socket, and map order has no effect
// on what it does.
package core

import (
	"io"
	"log/slog"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Core is the state machine of one controller.
type Core struct {
	settings         *config.Settings
	operatorSettings *config.Operator
	log              *slog.Logger
	incarnation      uint64
	now              time.Duration
	wallClockMS      int64 // ms, time of day
	out              Output

	pendingCalls       map[uint64]func(Result)
	nextCall           uint64
	nextDependencyList uint64 // attempts to write a long list of awaited jobs

	machineTypes            map[string]*wire.MachineType
	machineTypesRequestedAt time.Duration
	machineTypesGeneration  int // answers that the types were read from
	machineTypesRequested   bool
	machineTypesStored      string

	users    frontEnd
	election *election.Election

	store *kv.Client

	peers  map[string]*peerState
	leader *leader // nil on a follower

	forwardedHeartbeats map[uint64]*forwardedHeartbeat
	nextForwardID       uint64
	extensions          leaseExtensions
	reporters           map[string]*connectedWorker // workers that report here
	digestDueAt         time.Duration
	jobCountsDueAt      time.Duration
	jobCounts           map[string]wire.JobCount // last digest of the leader
	regions             regions
	// pullsAreSequential is what the leader last told of how machines fetch images.
	pullsAreSequential bool
}

type peerState struct {
	heard time.Duration
	extensionTestimony
	storeOK     bool
	hearsLeader bool
	ever        bool
	version     int // highest PeerVersion that it has said
}

// New makes a core. The logger may be nil; boot has to differ from that of any
// other run of the program.
func New(settings *config.Settings, operatorSettings *config.Operator, incarnation uint64, log *slog.Logger) *Core {
	if operatorSettings == nil {
		operatorSettings = &config.Operator{}
	}
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c := &Core{
		settings: settings, operatorSettings: operatorSettings, log: log, incarnation: incarnation,
		pendingCalls:        map[uint64]func(Result){},
		machineTypes:        map[string]*wire.MachineType{},
		peers:               map[string]*peerState{},
		forwardedHeartbeats: map[uint64]*forwardedHeartbeat{}, reporters: map[string]*connectedWorker{},
	}
	for _, p := range settings.Peers {
		c.peers[p.Name] = &peerState{}
	}
	c.store = kv.NewClient(storeTransport{c}, &settings.Deployment)
	c.election = election.New(settings.Name, c.leaderLeaseDuration(), electionStore{c.store}, electionHost{c}, log)
	c.initFrontEnd()
	return c
}

// Step feeds one input at the steady time now and the time of day wall, and
// returns what it leads to.
func (c *Core) Step(now time.Duration, wall time.Time, in Input) Output {
	c.logProcessPause(now)
	if now > c.now {
		c.now = now
	}
	c.wallClockMS = wall.UnixMilli()
	c.out = Output{}
	in.apply(c)
	if c.leader != nil {
		// Decisions wait for the next tick, so that no report's answer is late
		// behind one; what they have changed is recorded at once.
		_, tick := in.(Tick)
		c.leader.decideAndRecord(tick)
	}
	return c.out
}

// Evaluations counts the machines that this core's decisions evaluated while it
// has led: what they cost, independent of any clock.
func (c *Core) Evaluations() int {
	if c.leader == nil {
		return 0
	}
	return c.leader.passes.evaluations
}

func (c *Core) onTick() {
	c.election.Tick()
	c.tickMachineTypes()
	c.tickPreload()
	c.tickFrontEnd()
	c.expireForwards()
	if c.now >= c.digestDueAt {
		c.digestDueAt = c.now + c.leaderLeaseDuration()/4
		c.sendDigests()
		c.forgetSilentWorkers()
	}
	if c.leader != nil {
		c.leader.tick()
	}
}

func (c *Core) call(request Call, done func(Result)) {
	c.nextCall++
	request.ID = c.nextCall
	c.pendingCalls[request.ID] = done
	c.out.Calls = append(c.out.Calls, request)
}

func (c *Core) answer(requestID uint64, status int, value any, retryAfter int) {
	body := []byte("{}")
	if value != nil {
		body = kv.Encode(value)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: requestID, Status: status, Body: body, RetryAfter: retryAfter})
}

func (c *Core) workerLease() time.Duration {
	return config.Seconds(c.settings.Deployment.Workers.LeaseS)
}
func (c *Core) heartbeatInterval() time.Duration {
	return config.Seconds(c.settings.Deployment.Workers.ReportS)
}

// sortedKeys returns a map's keys in order, so that no map order shows.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
