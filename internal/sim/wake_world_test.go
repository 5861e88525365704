package sim

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/wake"
)

// wakeRegistry has three models on two servers.
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

// Names of the models and servers in wakeRegistry.
var (
	wakeModels  = []string{"a", "b", "c"}
	wakeServers = []string{"gpu-0", "gpu-1"}
)

// meanLoadTime is the mean time in which a server loads a model.
const meanLoadTime = 8 * time.Second

// wakeWorld simulates activators that wake models. The key-value store and the network with its
// partitions are those of the embedded World.
type wakeWorld struct {
	*World
	registry           *wake.Registry
	servers            map[string]*ModelServer
	serverIncarnations map[string]int
	serverDownUntil    map[string]time.Duration // servers that refuse connections until a time
	lateAnswers        map[string]lateAnswers   // servers whose answers to commands are late
	lastCommandAt      map[string]time.Duration // when a server last executed a command
	activators         []*activator
	requests           map[uint64]*wakeRequest
	lastRequestID      uint64
	executions         map[string]int // by idempotency key and replica
	violations         []string
	storeCalls         int
	// record, if set, is called for every action of an activator.
	record func(values ...any)
}

// lateAnswers is a fault that delays a server's answers to commands by up to a bound, until a time.
type lateAnswers struct {
	until, least, most time.Duration
}

// delay returns the delay of an answer that is sent now.
func (f lateAnswers) delay(world *wakeWorld) time.Duration {
	if world.now >= f.until {
		return 0
	}
	return f.least + world.randomDuration(f.most-f.least+1)
}

// wakeRequest is a request as its client sees it.
type wakeRequest struct {
	model, key       string
	sentAt, deadline time.Duration
	answers          int
	status           wake.Status
	latency          time.Duration
}

func newWakeWorld(seed uint64, controllers int, registry string) *wakeWorld {
	parsed, err := wake.ParseRegistry(registry)
	if err != nil {
		panic(err)
	}
	settings := defaultSettings()
	settings.Deployment.Size = 0
	settings.Deployment.Store.RPS, settings.Deployment.Store.WriteRPS = 2000, 2000
	world := &wakeWorld{
		World: newWorld(settings, seed, slog.New(slog.DiscardHandler)), registry: parsed, servers: map[string]*ModelServer{},
		serverIncarnations: map[string]int{}, requests: map[uint64]*wakeRequest{}, executions: map[string]int{},
		serverDownUntil: map[string]time.Duration{}, lateAnswers: map[string]lateAnswers{}, lastCommandAt: map[string]time.Duration{},
	}
	for _, name := range wakeServers {
		world.servers[name] = NewModelServer(seconds(parsed.ReplicaLeaseSeconds), RandomLoad(world.rng, meanLoadTime, 0))
	}
	for i := range controllers {
		activator := &activator{world: world, name: controllerPrefix + strconv.Itoa(i)}
		world.activators = append(world.activators, activator)
		activator.start()
	}
	world.checkReplicas()
	return world
}

// Bounds of the time in which a replica serves a request.
const (
	minServeTime   = 50 * time.Millisecond
	serveTimeRange = 400 // milliseconds
)

// inProgressRetry is the delay after which a repeated request is sent to the replica again while the
// first one is in progress.
const inProgressRetry = 50 * time.Millisecond

// serve sends a request to a model server and passes the outcome to done.
func (w *wakeWorld) serve(server string, request *wake.Request, reply func(func()), done func(wake.Outcome, []byte)) {
	modelServer, incarnation := w.servers[server], w.serverIncarnations[server]
	result, answer := modelServer.HandleRequest(request.Model, request.IdempotencyKey, w.now)
	switch result {
	case RequestRejected:
		reply(func() { done(wake.OutcomeRejected, nil) })
		return
	case RequestAnswered:
		reply(func() { done(wake.OutcomeServed, answer) })
		return
	case RequestInProgress:
		w.after(inProgressRetry, func() { w.serve(server, request, reply, done) })
		return
	case RequestStarted:
	}
	w.executions[fmt.Sprint(request.IdempotencyKey, " on replica ", modelServer.ReplicaNumber(request.Model, w.now), " of ", server)]++
	w.after(minServeTime+time.Duration(w.rng.IntN(serveTimeRange))*time.Millisecond, func() {
		if w.serverIncarnations[server] == incarnation && modelServer.Finish(request.Model, request.IdempotencyKey, []byte(request.IdempotencyKey), w.now) {
			reply(func() { done(wake.OutcomeServed, []byte(request.IdempotencyKey)) })
		}
	})
}

// addViolation records a violation with the present time.
func (w *wakeWorld) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: %s", w.now.Seconds(), fmt.Sprintf(format, args...)))
}

// sendRequest makes a client send a request for a model to an activator. It returns the request's
// ID, or 0 if the activator is down, which refuses the connection.
func (w *wakeWorld) sendRequest(activator *activator, model, key string, timeout time.Duration) uint64 {
	w.lastRequestID++
	id := w.lastRequestID
	request := &wakeRequest{model: model, key: key, sentAt: w.now, deadline: w.now + timeout}
	if !activator.alive {
		return 0
	}
	w.requests[id] = request
	activator.pendingRequests[id] = true
	activator.runUnlessPaused(activator.incarnation, func() {
		activator.controller.Handle(&wake.Request{ID: id, Model: model, IdempotencyKey: key, Deadline: request.deadline})
	})
	return id
}

// replicaCheckInterval is the time between two checks of the replicas.
const replicaCheckInterval = 20 * time.Millisecond

// checkReplicas checks periodically that no model has more than one replica.
func (w *wakeWorld) checkReplicas() {
	for _, m := range w.registry.Models {
		var live []string
		for _, server := range m.Servers {
			if w.servers[server].HasReplica(m.Name, w.now) {
				live = append(live, server)
			}
		}
		if len(live) > 1 {
			w.addViolation("model %s has replicas on %s", m.Name, strings.Join(live, " and "))
		}
	}
	w.after(replicaCheckInterval, w.checkReplicas)
}

// replicasStarted returns how many replicas were started on all servers.
func (w *wakeWorld) replicasStarted() int {
	sum := 0
	for _, server := range w.servers {
		sum += server.Starts
	}
	return sum
}

// loadingReplicas returns how many replicas are loading on all servers.
func (w *wakeWorld) loadingReplicas() int {
	count := 0
	for _, server := range w.servers {
		for _, model := range server.models {
			if model.replica != nil && w.now < model.replica.readyAt {
				count++
			}
		}
	}
	return count
}

// finish runs until a time, well after the last request's deadline. It checks that each request got
// one answer and that no request was executed twice, and reports all violations.
func (w *wakeWorld) finish(t *testing.T, until time.Duration) {
	t.Helper()
	w.run(until)
	for id, request := range w.requests {
		if request.answers != 1 && request.deadline+10*time.Second < until {
			w.addViolation("request %d (key %s, model %s, sent at %.1f s) got %d answers, want 1", id, request.key, request.model, request.sentAt.Seconds(), request.answers)
		}
	}
	for key, count := range w.executions {
		if count > 1 {
			w.addViolation("%s was executed %d times, want once", key, count)
		}
	}
	for _, violation := range append(w.violations, w.checker.violations...) {
		t.Error(violation)
	}
}

// servedRequests counts the requests that were served.
func (w *wakeWorld) servedRequests() int {
	count := 0
	for _, request := range w.requests {
		if request.status == wake.StatusServed {
			count++
		}
	}
	return count
}
