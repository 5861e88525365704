package sim

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/wire"
)

const wakeRegistry = `
lease_s = 4
copy_lease_s = 12
max_waking = 2
max_waiting = 5000
[[models]]
name = "a"
servers = ["gpu-0", "gpu-1"]
load_s = 10
idle_s = 20
[[models]]
name = "b"
servers = ["gpu-1", "gpu-0"]
load_s = 6
idle_s = 15
[[models]]
name = "c"
servers = ["gpu-0"]
load_s = 8
`

// wakeWorld plays controllers that wake models: the state service, the network and its cuts
// are those of the other days.
type wakeWorld struct {
	*World
	registry           *wake.Registry
	servers            map[string]*ModelServer
	serverIncarnations map[string]int
	activators         []*activator
	requests           map[uint64]*wakeRequest
	lastRequestID      uint64
	executions         map[string]int // executions by the clients' keys and copies
	violations         []string
	storeCalls         int
	// record, if set, is told of all that a controller does.
	record func(values ...any)
}

// wakeRequest is what a client knows of its request.
type wakeRequest struct {
	model, key        string
	askedAt, deadline time.Duration
	answers           int
	status            wake.Status
	latency           time.Duration
}

// activator is a controller's process.
type activator struct {
	world           *wakeWorld
	name            string
	controller      *wake.Controller
	incarnation     int
	alive           bool
	pausedUntil     time.Duration
	heldCalls       []func()
	pendingRequests map[uint64]bool // requests whose clients wait here
}

func newWakeWorld(seed uint64, controllers int, registry string) *wakeWorld {
	reg, err := wake.ParseRegistry(registry)
	if err != nil {
		panic(err)
	}
	cfg := defaultSettings()
	cfg.Deployment.Size = 0
	cfg.Deployment.Store.RPS, cfg.Deployment.Store.WriteRPS = 2000, 2000
	world := &wakeWorld{World: newWorld(cfg, seed, slog.New(slog.DiscardHandler)), registry: reg, servers: map[string]*ModelServer{},
		serverIncarnations: map[string]int{}, requests: map[uint64]*wakeRequest{}, executions: map[string]int{}}
	for _, name := range []string{"gpu-0", "gpu-1"} {
		world.servers[name] = NewModelServer(seconds(reg.ReplicaLeaseSeconds), RandomLoad(world.rng, 8*time.Second, 0))
	}
	for i := range controllers {
		activator := &activator{world: world, name: "node-" + strconv.Itoa(i)}
		world.activators = append(world.activators, activator)
		activator.start()
	}
	world.checkCopies()
	return world
}

func (a *activator) start() {
	a.alive, a.pausedUntil, a.heldCalls, a.pendingRequests = true, 0, nil, map[uint64]bool{}
	a.incarnation++
	a.controller = wake.New(a.name, uint64(a.incarnation), a.world.registry, a, a, a, a.world.log)
	a.tick(a.incarnation)
}

func (a *activator) crash(back time.Duration) {
	if !a.alive {
		return
	}
	a.alive = false
	a.incarnation++
	for id := range a.pendingRequests { // their clients see the connection end, and ask again elsewhere
		delete(a.world.requests, id)
	}
	a.world.after(back, a.start)
}

func (a *activator) tick(life int) {
	if a.incarnation != life || !a.alive {
		return
	}
	if a.world.now >= a.pausedUntil {
		a.controller.Tick()
	}
	a.world.after(100*time.Millisecond, func() { a.tick(life) })
}

// pause has the process stand still; what comes meanwhile is there when it goes on.
func (a *activator) pause(d time.Duration) {
	a.pausedUntil = a.world.now + d
	life := a.incarnation
	a.world.after(d, func() {
		if a.incarnation != life {
			return
		}
		held := a.heldCalls
		a.heldCalls = nil
		for _, f := range held {
			f()
		}
	})
}

// runUnlessPaused runs f in the process, once it is not standing still.
func (a *activator) runUnlessPaused(life int, f func()) {
	switch {
	case a.incarnation != life || !a.alive:
	case a.world.now < a.pausedUntil:
		a.heldCalls = append(a.heldCalls, func() { a.runUnlessPaused(life, f) })
	default:
		f()
	}
}

// callTimeout is how long a controller waits for an answer.
const callTimeout = 2 * time.Second

// call carries a request to a service and its answer back; done gets false after a timeout.
func (a *activator) call(to string, timeout time.Duration, serve func(reply func(f func())), lost func()) {
	life, over := a.incarnation, false
	end := func(f func()) func() {
		return func() {
			a.runUnlessPaused(life, func() {
				if !over {
					over = true
					f()
				}
			})
		}
	}
	a.world.after(timeout, end(lost))
	a.world.deliver(a.name, to, func() {
		serve(func(f func()) { a.world.deliver(to, a.name, end(f)) })
	})
}

// recordAction tells what the controller does.
func (a *activator) recordAction(values ...any) {
	if a.world.record != nil {
		a.world.record(append([]any{a.world.now, a.name}, values...)...)
	}
}

func (a *activator) storeCall(method, path string, body []byte, timeout time.Duration, done func(kv.Response)) {
	a.world.storeCalls++
	a.recordAction(method, path, string(body), timeout)
	a.call("state", timeout, func(reply func(func())) {
		a.world.store.handle(a.name, method, path, body, func(status int, answer []byte) {
			reply(func() { done(kv.Response{Number: status, Body: answer}) })
		})
	}, func() { done(kv.Response{}) })
}

func (a *activator) List(prefix string, done func(kv.ListResult)) {
	a.storeCall("GET", "/store?under="+prefix, nil, callTimeout, func(r kv.Response) { done(kv.ParseList(r)) })
}

func (a *activator) Commit(txn *wire.Txn, done func(kv.TxnResult)) {
	body, _ := json.Marshal(txn)
	a.storeCall("POST", "/commit", body, callTimeout, func(r kv.Response) { done(kv.ParseTxn(r)) })
}

func (a *activator) Grant(ttl time.Duration, done func(kv.GrantResult)) {
	body, _ := json.Marshal(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})
	a.storeCall("POST", "/grants", body, callTimeout, func(r kv.Response) { done(kv.ParseGrant(r)) })
}

func (a *activator) Renew(lease uint64, done func(kv.Status)) {
	path := fmt.Sprintf("/grants/%d/extend", lease)
	a.storeCall("POST", path, nil, callTimeout, func(r kv.Response) { done(kv.StatusOf(r.Number)) })
}

func (a *activator) Watch(prefix string, since uint64, done func(kv.WatchResult)) {
	path := fmt.Sprintf("/changes?under=%s&since=%d&holdMs=20000", prefix, since)
	a.storeCall("GET", path, nil, 22*time.Second, func(r kv.Response) { done(kv.ParseWatch(r)) })
}

func (a *activator) Command(server string, c wake.Command, done func(wake.ReplicaStatus)) {
	a.recordAction("command", server, c)
	a.call(server, callTimeout, func(reply func(func())) {
		report := a.world.servers[server].Command(c, a.world.now)
		reply(func() { done(report) })
	}, func() { done(wake.ReplicaStatus{}) })
}

func (a *activator) Forward(server string, r *wake.Request, done func(wake.Outcome, []byte)) {
	a.recordAction("ask", server, *r)
	a.call(server, callTimeout, func(reply func(func())) { a.world.serve(server, r, reply, done) }, func() { done(wake.OutcomeUnknown, nil) })
}

// serve has a model server answer a request.
func (w *wakeWorld) serve(server string, request *wake.Request, reply func(func()), done func(wake.Outcome, []byte)) {
	s, boot := w.servers[server], w.serverIncarnations[server]
	result, answer := s.Ask(request.Model, request.IdempotencyKey, w.now)
	switch result {
	case AskRejected:
		reply(func() { done(wake.OutcomeRejected, nil) })
		return
	case AskAnswered:
		reply(func() { done(wake.OutcomeServed, answer) })
		return
	case AskInProgress:
		w.after(50*time.Millisecond, func() { w.serve(server, request, reply, done) })
		return
	}
	w.executions[fmt.Sprint(request.IdempotencyKey, " on copy ", s.ReplicaNumber(request.Model, w.now), " of ", server)]++
	w.after(time.Duration(50+w.rng.IntN(400))*time.Millisecond, func() {
		if w.serverIncarnations[server] == boot && s.Finish(request.Model, request.IdempotencyKey, []byte(request.IdempotencyKey), w.now) {
			reply(func() { done(wake.OutcomeServed, []byte(request.IdempotencyKey)) })
		}
	})
}

func (a *activator) Now() time.Duration { return a.world.now }

func (a *activator) Reply(id uint64, r wake.Reply) {
	a.recordAction("reply", id, r)
	delete(a.pendingRequests, id)
	request := a.world.requests[id]
	if request == nil {
		return // its client has gone with an earlier process
	}
	request.answers++
	request.status, request.latency = r.Status, a.world.now-request.askedAt
	if request.answers > 1 {
		a.world.addViolation("request %d (%s) got %d answers", id, request.key, request.answers)
	}
	if r.Status == wake.StatusServed && string(r.Body) != request.key {
		a.world.addViolation("request %d (%s) got the answer to %s", id, request.key, r.Body)
	}
	if r.Status == wake.StatusUnavailable && r.RetryAfterSeconds < 1 {
		a.world.addViolation("request %d was refused without saying when to come back", id)
	}
}

func (w *wakeWorld) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: %s", w.now.Seconds(), fmt.Sprintf(format, args...)))
}

// sendRequest has a client ask for a model at a controller.
func (w *wakeWorld) sendRequest(activator *activator, model, key string, patience time.Duration) uint64 {
	w.lastRequestID++
	id := w.lastRequestID
	request := &wakeRequest{model: model, key: key, askedAt: w.now, deadline: w.now + patience}
	if !activator.alive {
		return 0 // refused by the network
	}
	w.requests[id] = request
	activator.pendingRequests[id] = true
	activator.runUnlessPaused(activator.incarnation, func() {
		activator.controller.Handle(&wake.Request{ID: id, Model: model, IdempotencyKey: key, Deadline: request.deadline})
	})
	return id
}

// checkCopies judges from outside, every 20 ms, that no model has two copies.
func (w *wakeWorld) checkCopies() {
	for _, m := range w.registry.Models {
		live := []string{}
		for _, s := range m.Servers {
			if w.servers[s].HasReplica(m.Name, w.now) {
				live = append(live, s)
			}
		}
		if len(live) > 1 {
			w.addViolation("model %s has copies on %s", m.Name, strings.Join(live, " and "))
		}
	}
	w.after(20*time.Millisecond, w.checkCopies)
}

// copiesStarted is how many copies were started on all servers.
func (w *wakeWorld) copiesStarted() int {
	sum := 0
	for _, s := range w.servers {
		sum += s.Starts
	}
	return sum
}

// finish plays until a time, well after the last request's end, and judges the requests.
func (w *wakeWorld) finish(t *testing.T, until time.Duration) {
	t.Helper()
	w.run(until)
	for id, request := range w.requests {
		if request.answers != 1 && request.deadline+10*time.Second < until {
			w.addViolation("request %d (%s for %s, asked at %.1f s) got %d answers", id, request.key, request.model, request.askedAt.Seconds(), request.answers)
		}
	}
	for key, n := range w.executions {
		if n > 1 {
			w.addViolation("%s ran %d times", key, n)
		}
	}
	for _, f := range append(w.violations, w.checker.violations...) {
		t.Error(f)
	}
}

// servedRequests counts the requests that were served.
func (w *wakeWorld) servedRequests() int {
	n := 0
	for _, request := range w.requests {
		if request.status == wake.StatusServed {
			n++
		}
	}
	return n
}

// Thousands of requests at all controllers in the same millisecond wake one copy.
func TestWakeOnce(t *testing.T) {
	for _, controllers := range []int{1, 3, 5, 17} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			world := newWakeWorld(uint64(controllers), controllers, wakeRegistry)
			world.run(3 * time.Second)
			for i := range 2000 {
				world.sendRequest(world.activators[i%controllers], "a", fmt.Sprint("k", i), 60*time.Second)
			}
			world.finish(t, 20*time.Second)
			if world.copiesStarted() != 1 || world.servedRequests() != 2000 {
				t.Errorf("%d copies started, %d of 2000 requests served", world.copiesStarted(), world.servedRequests())
			}
		})
	}
}

// A model sleeps when it is idle and wakes anew, also for a request that comes in that moment.
func TestWakeAfterSleep(t *testing.T) {
	for offset := range 40 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "b", "first", 30*time.Second)
		// It is idle some 15 s after its answer, which comes some 8 s after the request.
		world.after(seconds(21.5)+time.Duration(offset)*100*time.Millisecond, func() { world.sendRequest(world.activators[1], "b", "second", 40*time.Second) })
		world.finish(t, 90*time.Second)
		if n := world.copiesStarted(); n > 2 || world.servedRequests() != 2 {
			t.Errorf("offset %d: %d copies started, %d of 2 requests served", offset, n, world.servedRequests())
		}
		if world.servers["gpu-1"].HasReplica("b", world.now) {
			t.Errorf("offset %d: the copy does not sleep at the end", offset)
		}
	}
}

// The driver ends at every moment of a wake: the copy that it started is used, and no other
// one is started.
func TestDriverCrashDuringWake(t *testing.T) {
	for offset := range 140 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 20*time.Second)
		world.after(5*time.Millisecond, func() { world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		at := time.Duration(offset) * 4 * time.Millisecond
		if offset >= 70 {
			at = time.Duration(offset-70) * 150 * time.Millisecond
		}
		world.after(at, func() { world.activators[0].crash(30 * time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.copiesStarted(); n != 1 || world.servedRequests() < 1 {
			t.Errorf("the driver ends after %v: %d copies started, %d requests served", at, n, world.servedRequests())
		}
	}
}

// A driver that stands still and goes on after a takeover does no harm.
func TestDriverPause(t *testing.T) {
	for offset := range 40 {
		world := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		world.after(time.Duration(offset)*25*time.Millisecond, func() { world.activators[0].pause(25 * time.Second) })
		world.after(time.Second, func() { world.sendRequest(world.activators[2], "c", "y", 60*time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.copiesStarted(); n != 1 || world.servedRequests() != 2 {
			t.Errorf("offset %d: %d copies started, %d of 2 requests served", offset, n, world.servedRequests())
		}
	}
}

// Two sides of a partition both reach the model server, one of them not the state service.
func TestWakeAcrossPartition(t *testing.T) {
	for seed := range uint64(30) {
		world := newWakeWorld(seed+1, 3, wakeRegistry)
		world.run(3 * time.Second)
		world.sendRequest(world.activators[0], "c", "x", 60*time.Second)
		world.after(time.Duration(seed)*20*time.Millisecond, func() {
			world.partitions = append(world.partitions, &partition{"node-0", "state", world.now + 40*time.Second, seed%2 == 0}, &partition{"state", "node-0", world.now + 40*time.Second, seed%2 == 0})
		})
		world.after(100*time.Millisecond, func() { world.sendRequest(world.activators[1], "c", "y", 60*time.Second) })
		world.finish(t, 100*time.Second)
		if n := world.copiesStarted(); n != 1 || world.servedRequests() != 2 {
			t.Errorf("seed %d: %d copies started, %d of 2 requests served", seed, n, world.servedRequests())
		}
	}
}

// The model server of a copy is out of reach: the model wakes on the next one, once the first
// copy has certainly ended.
func TestServerUnreachable(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	world.run(3 * time.Second)
	world.sendRequest(world.activators[0], "a", "x", 60*time.Second)
	world.after(5*time.Second, func() {
		world.partitions = append(world.partitions, &partition{"nodes", "gpu-0", world.now + 60*time.Second, true}, &partition{"gpu-0", "nodes", world.now + 60*time.Second, true})
	})
	world.after(20*time.Second, func() { world.sendRequest(world.activators[1], "a", "y", 60*time.Second) })
	world.finish(t, 140*time.Second)
	if world.copiesStarted() != 2 || world.servedRequests() != 2 {
		t.Errorf("%d copies started, %d of 2 requests served", world.copiesStarted(), world.servedRequests())
	}
}

// A copy that never comes up is tried again less and less often, and every request is
// answered by its time.
func TestWakeWithFailingLoads(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	for _, s := range world.servers {
		s.Load = RandomLoad(rand.New(rand.NewPCG(1, 1)), 2*time.Second, 1)
	}
	world.run(3 * time.Second)
	for i := range 30 {
		world.after(time.Duration(i)*10*time.Second, func() { world.sendRequest(world.activators[i%3], "c", fmt.Sprint("k", i), 20*time.Second) })
	}
	world.finish(t, 360*time.Second)
	if n := world.copiesStarted(); n < 3 || n > 8 {
		t.Errorf("%d starts in 300 s", n)
	}
}

// Two models may wake at a time; the third waits for its turn.
func TestConcurrentWakes(t *testing.T) {
	world := newWakeWorld(1, 3, strings.Replace(wakeRegistry, "max_waking = 2", "max_waking = 1", 1))
	world.run(3 * time.Second)
	for i, model := range []string{"a", "b", "c"} {
		world.sendRequest(world.activators[i], model, model, 100*time.Second)
	}
	most := 0
	var watch func()
	watch = func() {
		loading := 0
		for _, s := range world.servers {
			for _, m := range s.models {
				if m.replica != nil && world.now < m.replica.readyAt {
					loading++
				}
			}
		}
		most = max(most, loading)
		world.after(50*time.Millisecond, watch)
	}
	watch()
	world.finish(t, 120*time.Second)
	if most != 1 || world.servedRequests() != 3 {
		t.Errorf("%d copies loaded at once, %d of 3 requests served", most, world.servedRequests())
	}
}

// A repeated request whose answer was lost gets the answer that the copy gave.
func TestRepeatedRequest(t *testing.T) {
	world := newWakeWorld(1, 3, wakeRegistry)
	world.run(3 * time.Second)
	world.sendRequest(world.activators[0], "a", "x", 60*time.Second)
	world.after(14*time.Second, func() { world.sendRequest(world.activators[1], "a", "x", 60*time.Second) })
	world.finish(t, 60*time.Second)
	if len(world.executions) != 1 || world.servedRequests() != 2 {
		t.Errorf("ran %v, %d of 2 answers", world.executions, world.servedRequests())
	}
}

// TestWakeDays plays random days with several failures at a time.
func TestWakeDays(t *testing.T) {
	// Each of these days fails once a guard is taken away: the driver's own lease, the
	// conditions of a claim, the order of the records of a sleep, the server that stays.
	seeds := []uint64{156, 167, 177, 184}
	for seed := uint64(1); seed <= uint64(soakDays(60)); seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playWakeDay(t, seed, nil)
		})
	}
}

// playWakeDay plays a random day; record, if set, is told of all that controllers do.
func playWakeDay(t *testing.T, seed uint64, record func(values ...any)) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 23))
	world := newWakeWorld(seed, []int{1, 3, 5, 5}[rng.IntN(4)], wakeRegistry)
	world.record = record
	for _, name := range slices.Sorted(maps.Keys(world.servers)) { // so that each draws its own share of failing loads
		world.servers[name].Load = RandomLoad(world.rng, 8*time.Second, []float64{0, 0, 0.3}[rng.IntN(3)])
	}
	world.run(3 * time.Second)
	anyNode := func() *activator { return world.activators[rng.IntN(len(world.activators))] }
	for i := range 150 {
		at, model, patience := seconds(200*rng.Float64()), []string{"a", "b", "c"}[rng.IntN(3)], seconds(2+60*rng.Float64())
		activator := anyNode()
		world.after(at, func() { world.sendRequest(activator, model, fmt.Sprint("k", i), patience) })
	}
	for range 8 {
		at, duration := seconds(180*rng.Float64()), seconds(1+30*rng.Float64())
		activator, hold := anyNode(), rng.IntN(2) == 0
		server := []string{"gpu-0", "gpu-1"}[rng.IntN(2)]
		var f func()
		switch rng.IntN(8) {
		case 0, 1:
			f = func() { activator.crash(duration / 5) }
		case 2:
			f = func() { activator.pause(duration) }
		case 3:
			f = func() { world.store.beginOutage(duration) }
		case 4:
			f = func() { world.store.delayedCommits = randomFault{0.5, world.now + duration} }
		case 5:
			f = func() {
				world.partitions = append(world.partitions, &partition{activator.name, "state", world.now + duration, hold}, &partition{"state", activator.name, world.now + duration, hold})
			}
		case 6:
			f = func() {
				world.partitions = append(world.partitions, &partition{activator.name, server, world.now + duration, hold}, &partition{server, activator.name, world.now + duration, hold})
			}
		case 7:
			f = func() {
				world.serverIncarnations[server]++
				world.servers[server].Crash()
			}
		}
		world.after(at, f)
	}
	// Once all is over and loads succeed again, every model wakes, after the longest wait
	// between two wakes at the latest: sixteen load times of up to 10 s.
	world.after(320*time.Second, func() {
		for _, s := range world.servers {
			s.Load = RandomLoad(world.rng, 8*time.Second, 0)
		}
		for _, model := range []string{"a", "b", "c"} {
			world.sendRequest(world.activators[0], model, "last "+model, 180*time.Second)
		}
	})
	world.finish(t, 530*time.Second)
	for _, request := range world.requests {
		if strings.HasPrefix(request.key, "last") && request.status != wake.StatusServed {
			t.Errorf("%s: answered %d after all is over", request.key, request.status)
		}
	}
}
