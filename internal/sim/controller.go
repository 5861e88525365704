package sim

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/cloud"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/store"
)

// controller simulates a controller process around its core.
type controller struct {
	world *World
	index int
	name  string
	alive bool
	// incarnation counts starts and crashes. Callbacks of an earlier incarnation are dropped.
	incarnation int

	// process, if set, is a real controller process. Then the fields below are unused.
	process Process

	core            stepper
	startedAt       time.Duration
	pendingRequests map[uint64]func(core.Answer)
	lastRequestID   uint64
	storeRate       *store.RateLimiter
	cloudRate       *cloud.RateLimiter

	pausedAt    time.Duration
	pausedUntil time.Duration
	heldInputs  []core.Input // inputs that arrived during the pause
}

// settings returns the settings of the deployment with the controller's own name, zone and
// peers.
func (c *controller) settings() *config.Settings {
	s := *c.world.settings
	s.Name, s.Zone = c.name, c.world.zoneOf(c.name)
	s.Peers = nil
	for _, other := range c.world.controllers {
		if other != c {
			s.Peers = append(s.Peers, config.Peer{Name: other.name, Zone: c.world.zoneOf(other.name)})
		}
	}
	return &s
}

// start starts the process. It keeps no state of an earlier process.
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
	c.storeRate, c.cloudRate = store.NewRateLimiter(c.world.settings), cloud.NewRateLimiter(c.world.settings)
	incarnation := uint64(c.index+1)<<32 + uint64(c.incarnation)
	if c.world.newCore != nil {
		c.core = c.world.newCore(c, incarnation)
	} else {
		c.core = core.New(c.settings(), nil, incarnation, c.world.log.With("controller", c.name))
	}
	c.tick(c.incarnation)
}

// crash kills the process and restarts it after a delay.
func (c *controller) crash(restartAfter time.Duration) {
	c.alive = false
	c.incarnation++
	if c.process != nil {
		c.process.Kill()
	}
	incarnation := c.incarnation
	c.world.after(restartAfter, func() {
		if !c.alive && c.incarnation == incarnation {
			c.start()
		}
	})
}

// tickInterval is the time between two ticks of a core.
const tickInterval = 75 * time.Millisecond

func (c *controller) tick(incarnation int) {
	if !c.alive || c.incarnation != incarnation {
		return
	}
	if c.world.now >= c.pausedUntil {
		c.step(core.Tick{})
	}
	c.world.after(tickInterval, func() { c.tick(incarnation) })
}

// pause pauses the process. Inputs that arrive meanwhile are handled when it resumes.
func (c *controller) pause(duration time.Duration) {
	c.pausedAt, c.pausedUntil = c.world.now, c.world.now+duration
	incarnation := c.incarnation
	c.world.after(duration, func() {
		if c.incarnation != incarnation || c.world.now < c.pausedUntil {
			return
		}
		held := c.heldInputs
		c.heldInputs = nil
		for _, in := range held {
			c.step(in)
		}
	})
}

// clockDriftDivisor sets the drift between controllers: the monotonic clock of controller i runs
// faster than true time by the fraction i/clockDriftDivisor. The protocol tolerates that.
const clockDriftDivisor = 4000

// step passes an input to the core and executes its output.
func (c *controller) step(in core.Input) {
	if c.world.now < c.pausedUntil {
		c.heldInputs = append(c.heldInputs, in)
		return
	}
	now := c.world.now - c.startedAt + time.Millisecond
	now += now * time.Duration(c.index) / clockDriftDivisor
	out := c.core.Step(now, c.world.wallClock(), in)
	if c.world.mutate != nil {
		c.world.mutate(c, &out)
	}
	for _, answer := range out.Answers {
		if done := c.pendingRequests[answer.ID]; done != nil {
			delete(c.pendingRequests, answer.ID)
			done(answer)
		}
	}
	for _, send := range out.PeerSends {
		c.sendToPeer(send)
	}
	for _, send := range out.RegionSends {
		if c.world.sendToRegion != nil {
			c.world.sendToRegion(c, send)
		}
	}
	for _, call := range out.Calls {
		c.call(call)
	}
}

func (c *controller) sendToPeer(send core.PeerSend) {
	receive := func() {
		for _, other := range c.world.controllers {
			if other.name == send.To && other.alive {
				other.step(core.PeerInput{Message: send.Message})
			}
		}
	}
	c.world.deliver(c.name, send.To, func() {
		receive()
		c.world.repeatLater(send.To, receive)
	})
}

// request sends an HTTP request to the controller. It calls done with the answer, or with
// status 0 after the timeout.
func (c *controller) request(from, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	c.requestAnswer(from, method, path, body, timeout, func(a core.Answer) { done(a.Status, a.Body) })
}

// requestAnswer is like request, but passes the whole answer to done.
func (c *controller) requestAnswer(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	if from == userEndpoint && method == "POST" {
		answered := done
		done = func(a core.Answer) {
			if isAccepted(a.Status) {
				c.world.repeatLater(userEndpoint, func() { c.sendRequest(from, method, path, body, timeout, func(core.Answer) {}) })
			}
			answered(a)
		}
	}
	c.sendRequest(from, method, path, body, timeout, done)
}

// sendRequest is requestAnswer without copies of the request.
func (c *controller) sendRequest(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	if c.process != nil {
		c.process.Request(from, method, path, body, timeout, done)
		return
	}
	finished := false
	finish := func(a core.Answer) {
		if !finished {
			finished = true
			done(a)
		}
	}
	c.world.after(timeout, func() { finish(core.Answer{}) })
	c.world.deliver(from, c.name, func() {
		if !c.alive {
			// The connection is refused: the caller gets an error before the timeout.
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

// pendingCall is a call of a core to another service.
type pendingCall struct {
	core.Call
	controller  *controller
	incarnation int // of the controller at the time of the call
	deadline    time.Duration
	finished    bool
}

// call executes a call of the core. The core gets exactly one result: the answer, or an empty
// result after the timeout.
func (c *controller) call(call core.Call) {
	p := &pendingCall{Call: call, controller: c, incarnation: c.incarnation, deadline: c.world.now + call.Timeout}
	c.world.after(call.Timeout, func() { p.finish(core.Result{}) })
	switch call.Destination {
	case core.DestinationStore:
		p.callStore()
	case core.DestinationCloud:
		p.callCloud()
	case core.DestinationWorker:
		p.callWorker()
	}
}

// finish passes the result to the core, unless the core already has one or its process has ended.
func (p *pendingCall) finish(result core.Result) {
	c := p.controller
	if p.finished || !c.alive || c.incarnation != p.incarnation {
		return
	}
	p.finished = true
	result.ID = p.ID
	c.step(result)
}

// finishThrottled reports to the core that the call was not sent because it would exceed a rate
// limit.
func (p *pendingCall) finishThrottled() {
	p.controller.world.after(0, func() { p.finish(core.Result{Status: httpstatus.TooManyRequests, NotSent: true}) })
}

// replyFrom returns a function that delivers an endpoint's answer to the controller.
func (p *pendingCall) replyFrom(endpoint string) func(status int, body []byte) {
	return func(status int, body []byte) {
		p.controller.world.deliver(endpoint, p.controller.name, func() { p.finish(core.Result{Status: status, Body: body}) })
	}
}

func (p *pendingCall) callCloud() {
	world := p.controller.world
	wait, ok := p.controller.cloudRate.Reserve(world.wallClock(), &p.Call)
	if !ok {
		p.finishThrottled()
		return
	}
	world.after(wait, func() {
		world.deliver(p.controller.name, cloudEndpoint, func() {
			world.cloud.handle(p.Method, p.Path, p.Body, p.replyFrom(cloudEndpoint))
		})
	})
}

func (p *pendingCall) callWorker() {
	world := p.controller.world
	m := world.cloud.byAddress[p.Address]
	if m == nil {
		return
	}
	if delay := world.directCommandDelay(p.Path); delay > 0 {
		world.after(delay, func() { m.handleDirect(p.Method, p.Path, p.Body, func(int, []byte) {}) })
		return
	}
	reply := p.replyFrom(m.name)
	if delay := world.directAnswerDelay(p.Path); delay > 0 {
		onTime := reply
		reply = func(status int, body []byte) { world.after(delay, func() { onTime(status, body) }) }
	}
	world.deliver(p.controller.name, m.name, func() { m.handleDirect(p.Method, p.Path, p.Body, reply) })
}

// callStore calls the key-value store as the client of package store does: within the store's
// rate limits, and with retries while the store throttles the call.
func (p *pendingCall) callStore() {
	world := p.controller.world
	if p.Watch {
		world.deliver(p.controller.name, storeEndpoint, func() { p.handleAtStore(p.replyFrom(storeEndpoint)) })
		return
	}
	wait, ok := p.controller.storeRate.Reserve(world.wallClock(), &p.Call, p.deadline-world.now)
	if !ok {
		p.finishThrottled()
		return
	}
	world.after(wait, func() {
		world.deliver(p.controller.name, storeEndpoint, func() {
			world.store.withLatency(func() { p.handleAtStore(p.retryIfThrottled) })
		})
	})
}

func (p *pendingCall) handleAtStore(reply func(status int, body []byte)) {
	p.controller.world.store.handle(p.controller.name, p.Method, p.Path, p.Body, reply)
}

func (p *pendingCall) retryIfThrottled(status int, body []byte) {
	world := p.controller.world
	if status == httpstatus.TooManyRequests && p.deadline-world.now >= store.MinTimeToRetry {
		world.after(store.RetryDelay, p.callStore)
		return
	}
	p.replyFrom(storeEndpoint)(status, body)
}
