// Package gate runs the wake state machine as a process: it serves requests to models, and
// reaches the state service and the model servers over HTTP.
package gate

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
	Name     string // of the controller
	Run      uint64 // differs from that of any other run
	Listen   string // address for requests to models; port 0 takes a free one
	State    string // address of the state service
	Registry *wake.Registry
	// Patience is how long a request may wait that names no time itself.
	Patience time.Duration
	Log      *slog.Logger
}

// Gate is a running gate.
type Gate struct {
	cfg    Config
	start  time.Time
	server *httpserve.Server
	stop   chan struct{}

	state   *httpwire.Client
	watches *httpwire.Client
	asks    budget.Slots // requests handed to model servers at a time

	mu         sync.Mutex
	controller *wake.Controller
	waiting    map[uint64]func(httpserve.Response)
	next       uint64
	stopped    bool
	servers    map[string]*httpwire.Client
}

// maxAsks is how many requests may be with model servers at a time; each has a socket.
const maxAsks = 64

// maxIdle is how many idle connections are kept to the state service and to each model
// server.
const maxIdle = 8

// Start begins to serve.
func Start(cfg Config) (*Gate, error) {
	g := &Gate{
		cfg: cfg, start: time.Now(), stop: make(chan struct{}),
		state:   &httpwire.Client{Addr: cfg.State, MaxIdle: maxIdle},
		watches: &httpwire.Client{Addr: cfg.State, MaxIdle: 1},
		asks:    budget.NewSlots(maxAsks),
		waiting: map[uint64]func(httpserve.Response){}, servers: map[string]*httpwire.Client{},
	}
	g.controller = wake.New(cfg.Name, cfg.Run, cfg.Registry, g, g, g, cfg.Log)
	var err error
	if g.server, err = httpserve.Listen(cfg.Listen, &httpserve.Traffic{}, g.serve); err != nil {
		return nil, err
	}
	go g.tick()
	return g, nil
}

// Addr is the address for requests to models.
func (g *Gate) Addr() string { return g.server.Addr() }

// Stop ends the gate without notice, as a kill does: who waits gets no answer.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.stopped = true
		close(g.stop)
		g.server.CloseAll()
		g.state.CloseIdle()
		g.watches.CloseIdle()
		for _, c := range g.servers {
			c.CloseIdle()
		}
	}
}

// tickEvery is the time between two ticks, as a part of the lease.
const tickEvery = 64

func (g *Gate) tick() {
	every := time.Duration(g.cfg.Registry.LeaseS / tickEvery * float64(time.Second))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.locked(g.controller.Tick)
		}
	}
}

// locked runs f with the state machine locked; not at all once the gate has ended.
func (g *Gate) locked(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		f()
	}
}

// serve takes a request: POST /models/MODEL/KEY, with ?wait=SECONDS for its patience.
func (g *Gate) serve(r *httpwire.Request, reply func(httpserve.Response)) {
	parts := strings.Split(r.Path, "/")
	if r.Method != "POST" || len(parts) != 4 || parts[1] != "models" || parts[3] == "" {
		reply(httpserve.Response{Status: 400, Body: []byte(`{"error":"expected POST /models/MODEL/KEY"}`)})
		return
	}
	patience := g.cfg.Patience
	if q, err := url.ParseQuery(r.Query); err == nil {
		if s, err := strconv.ParseFloat(q.Get("wait"), 64); err == nil && s > 0 {
			patience = min(patience, time.Duration(s*float64(time.Second)))
		}
	}
	g.locked(func() {
		g.next++
		g.waiting[g.next] = reply
		g.controller.Handle(&wake.Request{ID: g.next, Model: parts[2], Key: parts[3], Body: r.Body, Until: g.Now() + patience})
	})
}

// Now is the steady time since the start.
func (g *Gate) Now() time.Duration { return time.Since(g.start) }

// Reply gives a request its answer.
func (g *Gate) Reply(id uint64, r wake.Reply) {
	reply := g.waiting[id]
	delete(g.waiting, id)
	if reply == nil {
		return
	}
	body := r.Body
	if r.Status != wake.StatusServed {
		body = []byte(`{"error":"` + reasons[r.Status] + `"}`)
	}
	reply(httpserve.Response{Status: int(r.Status), Body: body, RetryAfter: r.RetryS})
}

var reasons = map[wake.Status]string{
	wake.StatusUnknown:     "no such model",
	wake.StatusUnavailable: "too many wait for this model",
	wake.StatusGivenUp:     "the model was not ready in time",
}

// timeout is how long an answer of a service is waited for.
func (g *Gate) timeout() time.Duration {
	return time.Duration(g.cfg.Registry.LeaseS / 2 * float64(time.Second))
}

// call makes a call in the background and hands its answer over, locked; status 0 if none came.
func (g *Gate) call(c *httpwire.Client, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	go func() {
		r, err := c.Do(method, path, body, timeout)
		g.locked(func() {
			if err != nil {
				done(0, nil)
				return
			}
			done(r.Status, r.Body)
		})
	}()
}

// List reads all keys below a prefix.
func (g *Gate) List(prefix string, done wake.Answer) {
	g.call(g.state, "GET", "/store?under="+url.QueryEscape(prefix), nil, g.timeout(), done)
}

// Commit carries out a transaction.
func (g *Gate) Commit(txn *wire.Txn, done wake.Answer) {
	g.call(g.state, "POST", "/commit", encode(txn), g.timeout(), done)
}

// Grant asks for a lease.
func (g *Gate) Grant(ttl time.Duration, done wake.Answer) {
	g.call(g.state, "POST", "/grants", encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)}), g.timeout(), done)
}

// Extend renews a lease.
func (g *Gate) Extend(lease uint64, done wake.Answer) {
	g.call(g.state, "POST", "/grants/"+strconv.FormatUint(lease, 10)+"/extend", []byte("{}"), g.timeout(), done)
}

// holdWatch is for how long the state service keeps a watch open without changes: a gate that
// was cut off meanwhile hears of it no later.
func (g *Gate) holdWatch() time.Duration {
	return time.Duration(2 * g.cfg.Registry.LeaseS * float64(time.Second))
}

// Watch waits for changes below a prefix.
func (g *Gate) Watch(prefix string, since uint64, done wake.Answer) {
	path := "/changes?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&holdMs=" + strconv.Itoa(int(g.holdWatch()/time.Millisecond))
	g.call(g.watches, "GET", path, nil, g.holdWatch()+g.timeout(), done)
}

// Command sends a driver's command to a model server.
func (g *Gate) Command(server string, c wake.Command, done func(wake.CopyReport)) {
	g.call(g.clientOf(server), "POST", "/copy", encode(c), g.timeout(), func(status int, body []byte) {
		var report wake.CopyReport
		if status != 200 || json.Unmarshal(body, &report) != nil {
			report = wake.CopyReport{}
		}
		done(report)
	})
}

// statusNotTaken is a model server's answer to a request that no copy takes.
const statusNotTaken = 409

// Ask hands a request to a model server, as soon as it may have a socket.
func (g *Gate) Ask(server string, r *wake.Request, done func(wake.Outcome, []byte)) {
	client, patience := g.clientOf(server), r.Until-g.Now()
	go func() {
		outcome, body := g.ask(client, r, patience)
		g.locked(func() { done(outcome, body) })
	}()
}

// ask blocks until a model server has answered a request or its time is over.
func (g *Gate) ask(client *httpwire.Client, r *wake.Request, patience time.Duration) (wake.Outcome, []byte) {
	deadline := time.Now().Add(patience)
	if !g.asks.Take(patience) {
		return wake.NotTaken, nil
	}
	defer g.asks.Free()
	a, err := client.Do("POST", "/ask/"+url.PathEscape(r.Model)+"/"+url.PathEscape(r.Key), r.Body, time.Until(deadline))
	switch {
	case err != nil:
		return wake.Unknown, nil
	case a.Status == 200:
		return wake.Served, a.Body
	case a.Status == statusNotTaken:
		return wake.NotTaken, nil
	}
	return wake.Unknown, nil
}

// clientOf is the client of a model server. It is called with the state machine locked.
func (g *Gate) clientOf(addr string) *httpwire.Client {
	c := g.servers[addr]
	if c == nil {
		c = &httpwire.Client{Addr: addr, MaxIdle: maxIdle}
		g.servers[addr] = c
	}
	return c
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("gate: encode: " + err.Error()) // only values of wire and wake come here
	}
	return b
}
