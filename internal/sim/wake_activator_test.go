package sim

import (
	"fmt"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/wire"
)

// activator simulates a process that runs a wake.Controller. It implements the controller's
// interfaces to the key-value store, the model servers and the host process.
type activator struct {
	world           *wakeWorld
	name            string
	controller      *wake.Controller
	incarnation     int
	alive           bool
	pausedUntil     time.Duration
	heldCalls       []func()
	pendingRequests map[uint64]bool // requests whose clients are connected to this process
}

// start starts the process without state from an earlier run.
func (a *activator) start() {
	a.alive, a.pausedUntil, a.heldCalls, a.pendingRequests = true, 0, nil, map[uint64]bool{}
	a.incarnation++
	a.controller = wake.New(a.name, uint64(a.incarnation), a.world.registry, a, a, a, a.world.log)
	a.tick(a.incarnation)
}

// crash kills the process and starts it again after a delay.
func (a *activator) crash(restartAfter time.Duration) {
	if !a.alive {
		return
	}
	a.alive = false
	a.incarnation++
	for id := range a.pendingRequests { // the connections of their clients are closed
		delete(a.world.requests, id)
	}
	a.world.after(restartAfter, a.start)
}

func (a *activator) tick(incarnation int) {
	if a.incarnation != incarnation || !a.alive {
		return
	}
	if a.world.now >= a.pausedUntil {
		a.controller.Tick()
	}
	a.world.after(activatorTickInterval, func() { a.tick(incarnation) })
}

// pause pauses the process. Calls that arrive during the pause are handled when it resumes.
func (a *activator) pause(duration time.Duration) {
	a.pausedUntil = a.world.now + duration
	incarnation := a.incarnation
	a.world.after(duration, func() {
		if a.incarnation != incarnation {
			return
		}
		held := a.heldCalls
		a.heldCalls = nil
		for _, run := range held {
			run()
		}
	})
}

// runUnlessPaused runs a function in an incarnation of the process, after the pause if the process
// is paused. The function is dropped if that incarnation has ended.
func (a *activator) runUnlessPaused(incarnation int, run func()) {
	switch {
	case a.incarnation != incarnation || !a.alive:
	case a.world.now < a.pausedUntil:
		a.heldCalls = append(a.heldCalls, func() { a.runUnlessPaused(incarnation, run) })
	default:
		run()
	}
}

// Time intervals of activators.
const (
	activatorTickInterval = 100 * time.Millisecond
	callTimeout           = 2 * time.Second
	commandTimeout        = 4 * time.Second
	watchHold             = 20 * time.Second // how long the store keeps a watch open
	watchTimeout          = watchHold + callTimeout
)

// call sends a request to a service. serve runs in the service and passes a function to reply,
// which then runs in the calling process. After the timeout, onTimeout runs in the calling process.
// Only one of the two runs.
func (a *activator) call(to string, timeout time.Duration, serve func(reply func(run func())), onTimeout func()) {
	incarnation, finished := a.incarnation, false
	finish := func(run func()) func() {
		return func() {
			a.runUnlessPaused(incarnation, func() {
				if !finished {
					finished = true
					run()
				}
			})
		}
	}
	a.world.after(timeout, finish(onTimeout))
	a.world.deliver(a.name, to, func() {
		serve(func(run func()) { a.world.deliver(to, a.name, finish(run)) })
	})
}

// recordAction passes an action of the controller to the world's record function, if there is one.
func (a *activator) recordAction(values ...any) {
	if a.world.record != nil {
		a.world.record(append([]any{a.world.now, a.name}, values...)...)
	}
}

// storeCall sends a request to the key-value store. On a timeout, done gets an empty response.
func (a *activator) storeCall(method, path string, body []byte, timeout time.Duration, done func(kv.Response)) {
	a.world.storeCalls++
	a.recordAction(method, path, string(body), timeout)
	a.call(storeEndpoint, timeout, func(reply func(func())) {
		a.world.store.handle(a.name, method, path, body, func(status int, answer []byte) {
			reply(func() { done(kv.Response{StatusCode: status, Body: answer}) })
		})
	}, func() { done(kv.Response{}) })
}

func (a *activator) List(prefix string, done func(kv.ListResult)) {
	a.storeCall("GET", "/store?under="+prefix, nil, callTimeout, func(r kv.Response) { done(kv.ParseList(r)) })
}

func (a *activator) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	a.storeCall("POST", "/commit", encode(txn), callTimeout, func(r kv.Response) { done(kv.ParseTxn(r)) })
}

func (a *activator) Grant(ttl time.Duration, done func(kv.GrantResult)) {
	body := encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})
	a.storeCall("POST", "/grants", body, callTimeout, func(r kv.Response) { done(kv.ParseGrant(r)) })
}

func (a *activator) Renew(lease uint64, done func(kv.Status)) {
	path := fmt.Sprintf("/grants/%d/extend", lease)
	a.storeCall("POST", path, nil, callTimeout, func(r kv.Response) { done(kv.StatusOf(r.StatusCode)) })
}

func (a *activator) Watch(prefix string, since uint64, done func(kv.WatchResult)) {
	path := fmt.Sprintf("/changes?under=%s&since=%d&holdMs=%d", prefix, since, watchHold.Milliseconds())
	a.storeCall("GET", path, nil, watchTimeout, func(r kv.Response) { done(kv.ParseWatch(r)) })
}

func (a *activator) Command(server string, c wake.Command, done func(wake.ReplicaStatus)) {
	a.recordAction("command", server, c)
	if a.world.now < a.world.serverDownUntil[server] {
		a.world.after(minMessageDelay, func() { // the connection is refused
			a.runUnlessPaused(a.incarnation, func() { done(wake.ReplicaStatus{State: wake.ReplicaNotSent}) })
		})
		return
	}
	a.call(server, commandTimeout, func(reply func(func())) {
		status := a.world.servers[server].Command(c, a.world.now)
		a.world.lastCommandAt[server] = a.world.now
		a.world.repeatLater(server, func() { a.world.servers[server].Command(c, a.world.now) })
		a.world.after(a.world.lateAnswers[server].delay(a.world), func() { reply(func() { done(status) }) })
	}, func() { done(wake.ReplicaStatus{}) })
}

func (a *activator) Forward(server string, r *wake.Request, done func(wake.Outcome, []byte)) {
	a.recordAction("ask", server, *r)
	if a.world.now < a.world.serverDownUntil[server] {
		a.world.after(minMessageDelay, func() { // the connection is refused
			a.runUnlessPaused(a.incarnation, func() { done(wake.OutcomeUnknown, nil) })
		})
		return
	}
	a.call(server, callTimeout, func(reply func(func())) {
		a.world.serve(server, r, reply, done)
		a.world.repeatLater(server, func() { a.world.serve(server, r, func(func()) {}, nil) })
	}, func() { done(wake.OutcomeUnknown, nil) })
}

func (a *activator) Now() time.Duration { return a.world.now }

// Reply records the answer to a request and checks it. A request must get exactly one answer.
func (a *activator) Reply(id uint64, r wake.Reply) {
	a.recordAction("reply", id, r)
	delete(a.pendingRequests, id)
	request := a.world.requests[id]
	if request == nil {
		return // its client was connected to an earlier incarnation, which has crashed
	}
	request.answers++
	request.status, request.latency = r.Status, a.world.now-request.sentAt
	if request.answers > 1 {
		a.world.addViolation("request %d (key %s) got %d answers, want 1", id, request.key, request.answers)
	}
	if r.Status == wake.StatusServed && string(r.Body) != request.key {
		a.world.addViolation("request %d (key %s) got the answer to key %s", id, request.key, r.Body)
	}
	if r.Status == wake.StatusUnavailable && r.RetryAfterSeconds < 1 {
		a.world.addViolation("request %d was answered as unavailable without a retry delay", id)
	}
}
