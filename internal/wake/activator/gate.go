// Package activator runs the wake state machine as a process: it serves requests to models, and
// reaches the state service and the model servers over HTTP.
package activator

import (
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/wake"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Config says where a gate is and what it reaches.
type Config struct {
	Name         string // of the controller
	Incarnation  uint64 // differs from that of any other run
	Listen       string // address for requests to models; port 0 takes a free one
	StoreAddress string // address of the state service
	Registry     *wake.Registry
	// RequestTimeout is how long a request may wait that names no time itself.
	RequestTimeout time.Duration
	Log            *slog.Logger
}

// Server is a running gate.
type Server struct {
	config   Config
	started  time.Time
	listener *httpserve.Server
	done     chan struct{}

	store        *httpwire.Client
	watchStore   *httpwire.Client
	forwardSlots budget.Semaphore // requests handed to model servers at a time

	mu             sync.Mutex
	controller     *wake.Controller
	pendingReplies map[uint64]func(httpserve.Response)
	lastRequestID  uint64
	stopped        bool
	modelServers   map[string]*httpwire.Client
}

// maxForwards is how many requests may be with model servers at a time; each has a socket.
const maxForwards = 64

// maxIdleConnections is how many idle connections are kept to the state service and to each model
// server.
const maxIdleConnections = 8

// Start begins to serve.
func Start(cfg Config) (*Server, error) {
	g := &Server{
		config: cfg, started: time.Now(), done: make(chan struct{}),
		store:          &httpwire.Client{Addr: cfg.StoreAddress, MaxIdle: maxIdleConnections},
		watchStore:     &httpwire.Client{Addr: cfg.StoreAddress, MaxIdle: 1},
		forwardSlots:   budget.NewSemaphore(maxForwards),
		pendingReplies: map[uint64]func(httpserve.Response){}, modelServers: map[string]*httpwire.Client{},
	}
	g.controller = wake.New(cfg.Name, cfg.Incarnation, cfg.Registry, g, g, g, cfg.Log)
	var err error
	if g.listener, err = httpserve.Listen(cfg.Listen, &httpserve.Traffic{}, g.handleRequest); err != nil {
		return nil, err
	}
	go g.tickLoop()
	return g, nil
}

// Addr is the address for requests to models.
func (g *Server) Addr() string { return g.listener.Addr() }

// Stop ends the gate without notice, as a kill does: who waits gets no answer.
func (g *Server) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.stopped = true
		close(g.done)
		g.listener.CloseAll()
		g.store.CloseIdle()
		g.watchStore.CloseIdle()
		for _, c := range g.modelServers {
			c.CloseIdle()
		}
	}
}

// ticksPerLease is the time between two ticks, as a part of the lease.
const ticksPerLease = 64

func (g *Server) tickLoop() {
	every := time.Duration(g.config.Registry.LeaseSeconds / ticksPerLease * float64(time.Second))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.withLock(g.controller.Tick)
		}
	}
}

// withLock runs f with the state machine locked; not at all once the gate has ended.
func (g *Server) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		f()
	}
}

// handleRequest takes a request: POST /models/MODEL/KEY, with ?wait=SECONDS for its patience.
func (g *Server) handleRequest(request *httpwire.Request, reply func(httpserve.Response)) {
	parts := strings.Split(request.Path, "/")
	if request.Method != "POST" || len(parts) != 4 || parts[1] != "models" || parts[3] == "" {
		reply(httpserve.Response{Status: 400, Body: []byte(`{"error":"expected POST /models/MODEL/KEY"}`)})
		return
	}
	timeout := g.config.RequestTimeout
	if query, err := url.ParseQuery(request.Query); err == nil {
		if seconds, err := strconv.ParseFloat(query.Get("wait"), 64); err == nil && seconds > 0 {
			timeout = min(timeout, time.Duration(seconds*float64(time.Second)))
		}
	}
	g.withLock(func() {
		g.lastRequestID++
		g.pendingReplies[g.lastRequestID] = reply
		g.controller.Handle(&wake.Request{ID: g.lastRequestID, Model: parts[2], IdempotencyKey: parts[3], Body: request.Body, Deadline: g.Now() + timeout})
	})
}

// Now is the steady time since the start.
func (g *Server) Now() time.Duration { return time.Since(g.started) }

// Reply gives a request its answer.
func (g *Server) Reply(id uint64, r wake.Reply) {
	reply := g.pendingReplies[id]
	delete(g.pendingReplies, id)
	if reply == nil {
		return
	}
	body := r.Body
	if r.Status != wake.StatusServed {
		body = []byte(`{"error":"` + errorTexts[r.Status] + `"}`)
	}
	reply(httpserve.Response{Status: int(r.Status), Body: body, RetryAfter: r.RetryAfterSeconds})
}

var errorTexts = map[wake.Status]string{
	wake.StatusNotFound:    "no such model",
	wake.StatusUnavailable: "too many wait for this model",
	wake.StatusTimeout:     "the model was not ready in time",
}

// callTimeout is how long an answer of a service is waited for.
func (g *Server) callTimeout() time.Duration {
	return time.Duration(g.config.Registry.LeaseSeconds / 2 * float64(time.Second))
}

// call makes a call in the background and hands its answer over, locked; status 0 if none came.
func (g *Server) call(client *httpwire.Client, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	go func() {
		response, err := client.Do(method, path, body, timeout)
		g.withLock(func() {
			if err != nil {
				done(0, nil)
				return
			}
			done(response.Status, response.Body)
		})
	}()
}

// List reads all keys below a prefix.
func (g *Server) List(prefix string, done wake.Answer) {
	g.call(g.store, "GET", "/store?under="+url.QueryEscape(prefix), nil, g.callTimeout(), done)
}

// Commit carries out a transaction.
func (g *Server) Commit(txn *wire.Txn, done wake.Answer) {
	g.call(g.store, "POST", "/commit", encode(txn), g.callTimeout(), done)
}

// Grant asks for a lease.
func (g *Server) Grant(ttl time.Duration, done wake.Answer) {
	g.call(g.store, "POST", "/grants", encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)}), g.callTimeout(), done)
}

// Extend renews a lease.
func (g *Server) Extend(lease uint64, done wake.Answer) {
	g.call(g.store, "POST", "/grants/"+strconv.FormatUint(lease, 10)+"/extend", []byte("{}"), g.callTimeout(), done)
}

// watchTimeout is for how long the state service keeps a watch open without changes: a gate that
// was cut off meanwhile hears of it no later.
func (g *Server) watchTimeout() time.Duration {
	return time.Duration(2 * g.config.Registry.LeaseSeconds * float64(time.Second))
}

// Watch waits for changes below a prefix.
func (g *Server) Watch(prefix string, since uint64, done wake.Answer) {
	path := "/changes?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&holdMs=" + strconv.Itoa(int(g.watchTimeout()/time.Millisecond))
	g.call(g.watchStore, "GET", path, nil, g.watchTimeout()+g.callTimeout(), done)
}

// Command sends a driver's command to a model server.
func (g *Server) Command(server string, command wake.Command, done func(wake.ReplicaStatus)) {
	g.call(g.clientFor(server), "POST", "/copy", encode(command), g.callTimeout(), func(status int, body []byte) {
		var replica wake.ReplicaStatus
		if status != 200 || json.Unmarshal(body, &replica) != nil {
			replica = wake.ReplicaStatus{}
		}
		done(replica)
	})
}

// statusNotTaken is a model server's answer to a request that no copy takes.
const statusNotTaken = 409

// Forward hands a request to a model server, as soon as it may have a socket.
func (g *Server) Forward(server string, request *wake.Request, done func(wake.Outcome, []byte)) {
	client, timeout := g.clientFor(server), request.Deadline-g.Now()
	go func() {
		outcome, body := g.forward(client, request, timeout)
		g.withLock(func() { done(outcome, body) })
	}()
}

// forward blocks until a model server has answered a request or its time is over.
func (g *Server) forward(client *httpwire.Client, request *wake.Request, timeout time.Duration) (wake.Outcome, []byte) {
	deadline := time.Now().Add(timeout)
	if !g.forwardSlots.Acquire(timeout) {
		return wake.OutcomeRejected, nil
	}
	defer g.forwardSlots.Release()
	response, err := client.Do("POST", "/ask/"+url.PathEscape(request.Model)+"/"+url.PathEscape(request.IdempotencyKey), request.Body, time.Until(deadline))
	switch {
	case err != nil:
		return wake.OutcomeUnknown, nil
	case response.Status == 200:
		return wake.OutcomeServed, response.Body
	case response.Status == statusNotTaken:
		return wake.OutcomeRejected, nil
	}
	return wake.OutcomeUnknown, nil
}

// clientFor is the client of a model server. It is called with the state machine locked.
func (g *Server) clientFor(addr string) *httpwire.Client {
	client := g.modelServers[addr]
	if client == nil {
		client = &httpwire.Client{Addr: addr, MaxIdle: maxIdleConnections}
		g.modelServers[addr] = client
	}
	return client
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("gate: encode: " + err.Error()) // only values of wire and wake come here
	}
	return b
}
