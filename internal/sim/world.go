// Package sim plays the controllers' core against stand-ins of the state
// service, the cloud, the workers and the users, in virtual time. A checker
// judges the rules all the while. Everything follows from a seed.
package sim

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/cloud"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/store"
	"github.com/brookwalk/brookwalk/wire"
)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// partition blocks messages from one set of endpoints to another.
type partition struct {
	from, to      string
	until         time.Duration
	holdsMessages bool
}

// randomFault is a trouble that befalls a share of events until its time is over.
type randomFault struct {
	probability float64
	until       time.Duration
}

// occurs tells by chance whether the trouble befalls an event of now.
func (l randomFault) occurs(world *World) bool {
	return world.now < l.until && world.rng.Float64() < l.probability
}

// World is one simulated deployment.
type World struct {
	now          time.Duration
	queue        eventQueue
	lastSequence int
	rng          *rand.Rand

	settings        *config.Settings
	log             *slog.Logger
	controllers     []*controller
	store           *keyValueStore
	cloud           *cloudService
	users           *users
	checker         *checker
	partitions      []*partition
	jobs            map[string]*groundTruth
	placementsByJob map[*groundTruth]*jobPlacements  // the tasks that are on machines, see placements.go
	jobsByTeam      map[string]map[*groundTruth]bool // those of each team with tasks on machines
	observer        Observer                         // may be nil
	taskStarts      int
	expiredTasks    int // tasks that a worker dropped for want of an answer

	pauses              []interval    // in which all controllers stood still
	faultsEnd           time.Duration // when the last trouble is over
	duplicateHeartbeats randomFault   // copies of reports that come again
	cancellationsAtEnd  randomFault   // jobs called off at the moment of their end

	// mutate, if set, changes what a core asks for: it stands for a broken
	// core in the checker's own test.
	mutate func(n *controller, out *core.Output)

	// sendToRegion, if set, carries a message to another region; usageIncreased is told of a team whose
	// use has grown. They are nil in a world without other regions.
	sendToRegion func(n *controller, s core.RegionSend)
	// reservedElsewhere, if set, is how many GPUs of a team's limit other regions use or have
	// guaranteed.
	reservedElsewhere func(team string) float64
	// usageChanged, if set, is told by how much the use of a team changes.
	usageChanged   func(team string, cpus, gpus float64)
	usageIncreased func(team string)

	// newCore, if set, makes the core of a node that boots, in place of that of
	// this version.
	newCore func(n *controller, boot uint64) stepper
}

// stepper is what a node runs: a core of this version, or a child process with
// one of another version.
type stepper interface {
	Step(now time.Duration, wall time.Time, in core.Input) core.Output
}

// groundTruth is what the stand-ins know of a job.
type groundTruth struct {
	wire.Job
	runS          float64
	fails         bool
	doneTasks     map[int]bool
	savedProgress map[int]float64 // saved, by task; a gang uses task 0
	submittedAt   time.Duration   // first attempt to submit it
	startedTasks  map[int]bool    // tasks that have run, for the observer
}

func newWorld(settings *config.Settings, seed uint64, log *slog.Logger) *World {
	world := &World{settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), log: log, jobs: map[string]*groundTruth{},
		placementsByJob: map[*groundTruth]*jobPlacements{}, jobsByTeam: map[string]map[*groundTruth]bool{}}
	world.store = newKeyValueStore(world)
	world.cloud = newCloud(world)
	world.users = newUsers(world)
	world.checker = newChecker(world)
	for i := 0; i < settings.Deployment.Size; i++ {
		controller := &controller{world: world, index: i, name: "node-" + strconv.Itoa(i)}
		world.controllers = append(world.controllers, controller)
		world.after(time.Duration(i)*30*time.Millisecond, controller.start)
	}
	return world
}

func (w *World) after(d time.Duration, f func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.lastSequence, f})
}

func (w *World) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// matches tells whether endpoint name is meant by a pattern: a name, a kind
// ("nodes", "workers"), or "zone:" with a zone.
func (w *World) matches(pattern, name string) bool {
	switch {
	case pattern == name:
		return true
	case pattern == "nodes":
		return strings.HasPrefix(name, "node-")
	case pattern == "workers":
		return strings.HasPrefix(name, "n-")
	case strings.HasPrefix(pattern, "zone:"):
		return w.zoneOf(name) == pattern[5:]
	}
	return false
}

func (w *World) zoneOf(name string) string {
	for _, controller := range w.controllers {
		if controller.name == name {
			return w.settings.Deployment.Zones[controller.index%len(w.settings.Deployment.Zones)]
		}
	}
	if m := w.cloud.machines[name]; m != nil {
		return m.zone
	}
	return ""
}

// deliver carries a message: f runs at the receiver, unless a cut drops it.
func (w *World) deliver(from, to string, f func()) {
	delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
	for _, c := range w.partitions {
		if c.until > w.now && w.matches(c.from, from) && w.matches(c.to, to) {
			if !c.holdsMessages {
				return
			}
			delay = max(delay, c.until-w.now+time.Millisecond)
		}
	}
	w.after(delay, f)
}

// controller is one controller: a core and what stands for its process.
type controller struct {
	world           *World
	index           int
	name            string
	core            stepper
	alive           bool
	incarnation     int
	startedAt       time.Duration
	pendingRequests map[uint64]func(core.Answer)

	// process, if set, is the controller itself, outside of this process. The
	// fields of the simulated one are not used then.
	process       Process
	lastRequestID uint64
	pausedUntil   time.Duration // it stands still until then
	heldInputs    []core.Input  // what has come for it meanwhile
	// pausedAt is when it began to stand still.
	pausedAt    time.Duration
	storePace   *store.RateLimiter
	cloudBudget *cloud.RateLimiter
}

func (c *controller) settings() *config.Settings {
	s := *c.world.settings
	s.Name, s.Zone = c.name, c.world.zoneOf(c.name)
	s.Peers = nil
	for _, o := range c.world.controllers {
		if o != c {
			s.Peers = append(s.Peers, config.Peer{Name: o.name, Zone: c.world.zoneOf(o.name)})
		}
	}
	return &s
}

func (c *controller) start() {
	c.alive = true
	c.incarnation++
	c.startedAt = c.world.now
	if c.process != nil {
		c.process.Start()
		return
	}
	c.pendingRequests = map[uint64]func(core.Answer){}
	c.pausedUntil, c.heldInputs = 0, nil
	c.storePace, c.cloudBudget = store.NewRateLimiter(c.world.settings), cloud.NewRateLimiter(c.world.settings)
	boot := uint64(c.index+1)<<32 + uint64(c.incarnation)
	if c.world.newCore != nil {
		c.core = c.world.newCore(c, boot)
	} else {
		c.core = core.New(c.settings(), nil, boot, c.world.log.With("node", c.name))
	}
	c.tick(c.incarnation)
}

func (c *controller) crash(back time.Duration) {
	c.alive = false
	c.incarnation++
	if c.process != nil {
		c.process.Kill()
	}
	life := c.incarnation
	c.world.after(back, func() {
		if !c.alive && c.incarnation == life {
			c.start()
		}
	})
}

func (c *controller) tick(life int) {
	if !c.alive || c.incarnation != life {
		return
	}
	if c.world.now >= c.pausedUntil {
		c.step(core.Tick{})
	}
	c.world.after(75*time.Millisecond, func() { c.tick(life) })
}

// pause has the controller stand still for a while. What comes meanwhile is there when it
// goes on, as if nothing had been.
func (c *controller) pause(d time.Duration) {
	c.pausedAt, c.pausedUntil = c.world.now, c.world.now+d
	life := c.incarnation
	c.world.after(d, func() {
		if c.incarnation != life || c.world.now < c.pausedUntil {
			return
		}
		held := c.heldInputs
		c.heldInputs = nil
		for _, in := range held {
			c.step(in)
		}
	})
}

func (c *controller) step(in core.Input) {
	if c.world.now < c.pausedUntil {
		c.heldInputs = append(c.heldInputs, in)
		return
	}
	now := c.world.now - c.startedAt + time.Millisecond
	// A drifting steady clock, within what the protocol allows.
	now += now * time.Duration(c.index) / 4000
	out := c.core.Step(now, c.world.wallClock(), in)
	if c.world.mutate != nil {
		c.world.mutate(c, &out)
	}
	for _, a := range out.Answers {
		if f := c.pendingRequests[a.ID]; f != nil {
			delete(c.pendingRequests, a.ID)
			f(a)
		}
	}
	for _, s := range out.PeerSends {
		to, msg := s.To, s.Message
		c.world.deliver(c.name, to, func() {
			for _, o := range c.world.controllers {
				if o.name == to && o.alive {
					o.step(core.PeerInput{Message: msg})
				}
			}
		})
	}
	for _, s := range out.RegionSends {
		if c.world.sendToRegion != nil {
			c.world.sendToRegion(c, s)
		}
	}
	for _, call := range out.Calls {
		c.call(call)
	}
}

// request delivers an HTTP request to the node; done gets the answer, or
// status 0 after the timeout.
func (c *controller) request(from, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	c.requestAnswer(from, method, path, body, timeout, func(a core.Answer) { done(a.Status, a.Body) })
}

// requestAnswer is request for those who heed more of the answer than status and body.
func (c *controller) requestAnswer(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	if c.process != nil {
		c.process.Ask(from, method, path, body, timeout, done)
		return
	}
	over := false
	finish := func(a core.Answer) {
		if !over {
			over = true
			done(a)
		}
	}
	c.world.after(timeout, func() { finish(core.Answer{}) })
	c.world.deliver(from, c.name, func() {
		if !c.alive {
			// Refused; the caller notices soon.
			c.world.deliver(c.name, from, func() { finish(core.Answer{}) })
			return
		}
		c.lastRequestID++
		c.pendingRequests[c.lastRequestID] = func(a core.Answer) {
			c.world.deliver(c.name, from, func() { finish(a) })
		}
		c.step(core.Request{ID: c.lastRequestID, Method: method, Path: path, Body: body})
	})
}

func (c *controller) call(call core.Call) {
	world, life, over := c.world, c.incarnation, false
	finish := func(r core.Result) {
		if !over && c.alive && c.incarnation == life {
			over = true
			r.ID = call.ID
			c.step(r)
		}
	}
	world.after(call.Timeout, func() { finish(core.Result{}) })
	reply := func(from string) func(status int, body []byte) {
		return func(status int, body []byte) {
			world.deliver(from, c.name, func() { finish(core.Result{Status: status, Body: body}) })
		}
	}
	switch call.Destination {
	case core.DestinationStore:
		c.callStore(call, world.now+call.Timeout, reply("state"), finish)
	case core.DestinationCloud:
		wait, ok := c.cloudBudget.Reserve(world.wallClock(), &call)
		if !ok {
			world.after(0, func() { finish(core.Result{Status: 429, NotSent: true}) })
			return
		}
		world.after(wait, func() {
			world.deliver(c.name, "cloud", func() { world.cloud.handle(call.Method, call.Path, call.Body, reply("cloud")) })
		})
	case core.DestinationWorker:
		m := world.cloud.byAddress[call.Addr]
		if m == nil {
			return
		}
		world.deliver(c.name, m.name, func() { m.handleDirect(call.Method, call.Path, call.Body, reply(m.name)) })
	}
}

// callStore carries a call to the state service out as the client does: at the
// pace of the budgets, and again where the service turns it away.
func (c *controller) callStore(call core.Call, deadline time.Duration, reply func(int, []byte), finish func(core.Result)) {
	world := c.world
	send := func() { world.store.handle(c.name, call.Method, call.Path, call.Body, reply) }
	if call.Watch {
		world.deliver(c.name, "state", send)
		return
	}
	wait, ok := c.storePace.Reserve(world.wallClock(), &call, deadline-world.now)
	if !ok {
		world.after(0, func() { finish(core.Result{Status: 429, NotSent: true}) })
		return
	}
	world.after(wait, func() {
		world.deliver(c.name, "state", func() {
			world.store.withLatency(func() {
				world.store.handle(c.name, call.Method, call.Path, call.Body, func(status int, body []byte) {
					if status == 429 && deadline-world.now >= store.MinTimeToRetry {
						world.after(store.RetryDelay, func() { c.callStore(call, deadline, reply, finish) })
						return
					}
					reply(status, body)
				})
			})
		})
	})
}

// wallClock is the time of the stand-ins, for budgets.
func (w *World) wallClock() time.Time { return time.UnixMilli(1e12).Add(w.now) }

// unavailableTime is for how long so far no user could be served: the state service was out, or
// all controllers stood still.
func (w *World) unavailableTime() time.Duration {
	sum := w.store.downtime
	for _, s := range w.pauses {
		sum += min(w.now, s.until) - s.from
	}
	return sum
}

// interval is a time from one moment to another.
type interval struct{ from, until time.Duration }

// leader is the node that holds the leader key, or nil.
func (w *World) leader() *controller {
	e := w.store.keys["leader"]
	if e == nil {
		return nil
	}
	for _, controller := range w.controllers {
		if strings.Contains(string(e.value), strconv.Quote(controller.name)) {
			return controller
		}
	}
	return nil
}

func (w *World) debugf(format string, a ...any) {
	w.log.Debug(fmt.Sprintf(format, a...), "at", w.now.Seconds())
}
