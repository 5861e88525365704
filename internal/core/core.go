// Package core is the controllers' state machine. It takes inputs (a request,
// a peer's message, a call's result, a tick) and returns what to answer, call
// and send. It owns no clock, goroutine or socket, and map order has no effect
// on what it does.
package core

import (
	"io"
	"log/slog"
	"sort"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Core is the state machine of one controller.
type Core struct {
	cfg  *config.Settings
	op   *config.Operator
	log  *slog.Logger
	boot uint64
	now  time.Duration
	wall int64 // ms, time of day
	out  Output

	calls    map[uint64]func(Result)
	nextCall uint64
	nextList uint64 // attempts to write a long list of awaited jobs

	types     map[string]*wire.MachineType
	typesAt   time.Duration
	typesRead int // answers that the types were read from
	typesBusy bool
	typesRaw  string

	users users
	elect *election.Election

	store *kv.Client

	peers map[string]*peerState
	lead  *leader // nil on a follower

	forwards    map[uint64]*forward
	nextForward uint64
	extensions  leaseExtensions
	reporters   map[string]*reporter // workers that report here
	digestAt    time.Duration
	countsAt    time.Duration
	counts      map[string]wire.JobCount // last digest of the leader
	regions     regions
	// fetchesQueue is what the leader last told of how machines fetch images.
	fetchesQueue bool
}

type peerState struct {
	heard time.Duration
	peerExtensions
	storeOK     bool
	hearsLeader bool
	ever        bool
	version     int // highest PeerVersion that it has said
}

// New makes a core. The logger may be nil; boot has to differ from that of any
// other run of the program.
func New(cfg *config.Settings, op *config.Operator, boot uint64, log *slog.Logger) *Core {
	if op == nil {
		op = &config.Operator{}
	}
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c := &Core{
		cfg: cfg, op: op, log: log, boot: boot,
		calls:    map[uint64]func(Result){},
		types:    map[string]*wire.MachineType{},
		peers:    map[string]*peerState{},
		forwards: map[uint64]*forward{}, reporters: map[string]*reporter{},
	}
	for _, p := range cfg.Peers {
		c.peers[p.Name] = &peerState{}
	}
	c.store = kv.NewClient(storeTransport{c}, &cfg.Deployment)
	c.elect = election.New(cfg.Name, c.ttl(), electionStore{c.store}, electionHost{c}, log)
	c.initUsers()
	return c
}

// Step feeds one input at the steady time now and the time of day wall, and
// returns what it leads to.
func (c *Core) Step(now time.Duration, wall time.Time, in Input) Output {
	c.noteStandstill(now)
	if now > c.now {
		c.now = now
	}
	c.wall = wall.UnixMilli()
	c.out = Output{}
	in.handle(c)
	if c.lead != nil {
		// Decisions wait for the next tick, so that no report's answer is late
		// behind one; what they have changed is recorded at once.
		_, tick := in.(Tick)
		c.lead.settle(tick)
	}
	return c.out
}

// Evaluations counts the machines that this core's decisions evaluated while it
// has led: what they cost, independent of any clock.
func (c *Core) Evaluations() int {
	if c.lead == nil {
		return 0
	}
	return c.lead.passes.evaluations
}

func (c *Core) onTick() {
	c.elect.Tick()
	c.tickTypes()
	c.tickPreload()
	c.tickUsers()
	c.tickForwards()
	if c.now >= c.digestAt {
		c.digestAt = c.now + c.ttl()/4
		c.sendDigest()
		c.tickReporters()
	}
	if c.lead != nil {
		c.lead.tick()
	}
}

func (c *Core) call(k Call, f func(Result)) {
	c.nextCall++
	k.ID = c.nextCall
	c.calls[k.ID] = f
	c.out.Calls = append(c.out.Calls, k)
}

func (c *Core) answer(id uint64, status int, v any, retryAfter int) {
	body := []byte("{}")
	if v != nil {
		body = kv.Encode(v)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Status: status, Body: body, RetryAfter: retryAfter})
}

func (c *Core) lease() time.Duration  { return config.Seconds(c.cfg.Deployment.Workers.LeaseS) }
func (c *Core) report() time.Duration { return config.Seconds(c.cfg.Deployment.Workers.ReportS) }

// sortedKeys returns a map's keys in order, so that no map order shows.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func taskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }
