package activator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/internal/wake"
)

// Both are long enough that a busy machine delays a run and does not fail it: a replica without
// commands ends after the first, and a request expires after the second.
const (
	replicaLease   = 30 * time.Second
	requestTimeout = 60 * time.Second
)

// testCluster is a key-value store, two model servers and some activators on loopback.
type testCluster struct {
	t            *testing.T
	live         *sim.Live
	registry     *wake.Registry
	storeProxies []*httpserve.Server // one for each activator, so that each can be partitioned
	partitioned  []bool
	activators   []*Server
	addresses    []string // of the activators
	incarnations uint64

	mu               sync.Mutex
	start            time.Time
	models           []*sim.ModelServer
	duplicateReplica bool // the model had two replicas at a time
	executions       map[string]int
}

// newTestCluster starts a cluster without activators. A replica loads in about the load time, and
// serves a request in the service time.
func newTestCluster(t *testing.T, activators int, load, service time.Duration) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:           t,
		start:       time.Now(),
		partitioned: make([]bool, activators),
		executions:  map[string]int{},
		live:        sim.NewLive(sim.LiveConfig{Seed: 1, Log: slog.New(slog.DiscardHandler), Settings: testSettings()}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go cluster.live.Run(ctx, time.Hour)
	cluster.startModelServers(load, service)
	for i := range activators {
		cluster.storeProxies = append(cluster.storeProxies, cluster.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			cluster.serveStore(i, r, reply)
		}))
	}
	go cluster.checkReplicas(ctx)
	return cluster
}

func testSettings() *config.Settings {
	return &config.Settings{Deployment: config.Deployment{
		Zones:   []string{"a"},
		Workers: config.WorkerTimings{ReportS: 1, LeaseS: 10, CancelS: 20},
		Store:   config.StoreLimits{RPS: 5000, WriteRPS: 5000, ValueKB: 16, TxnOps: 16},
		Cloud:   config.CloudLimits{RPS: 1},
	}}
}

// startModelServers starts two model servers, and writes the registry that names them.
func (p *testCluster) startModelServers(load, service time.Duration) {
	p.t.Helper()
	var addresses []string
	for i := range 2 {
		model := sim.NewModelServer(replicaLease, sim.RandomLoad(rand.New(rand.NewPCG(uint64(i), 1)), load, 0))
		p.models = append(p.models, model)
		server := p.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			p.serveModel(model, r, service, reply)
		})
		addresses = append(addresses, server.Addr())
	}
	registry, err := wake.ParseRegistry(fmt.Sprintf(`
lease_s = 1.2
copy_lease_s = %g
max_waking = 2
max_waiting = 10000
[[models]]
name = "m"
servers = [%q, %q]
load_s = %g
`, replicaLease.Seconds(), addresses[0], addresses[1], load.Seconds()))
	if err != nil {
		p.t.Fatal(err)
	}
	p.registry = registry
}

// serveStore passes an activator's request on to the store, unless it is partitioned.
func (p *testCluster) serveStore(activator int, request *httpwire.Request, reply func(httpserve.Response)) {
	if p.isPartitioned(activator) {
		return // no answer
	}
	p.live.Do(func() {
		p.live.ServeStore(request.Method, httpserve.RequestTarget(request), request.Body, func(status int, body []byte) {
			reply(httpserve.Response{Status: status, Body: body})
		})
	})
}

func (p *testCluster) isPartitioned(activator int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned[activator]
}

func (p *testCluster) partition(activator int, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[activator] = partitioned
}

// startActivators starts all activators in this process.
func (p *testCluster) startActivators() {
	p.t.Helper()
	for i := range p.storeProxies {
		activator := p.startActivator(i)
		p.activators, p.addresses = append(p.activators, activator), append(p.addresses, activator.Addr())
	}
}

func (p *testCluster) startActivator(i int) *Server {
	p.t.Helper()
	p.incarnations++
	activator, err := Start(Config{
		Name:           "node-" + strconv.Itoa(i),
		Incarnation:    p.incarnations,
		Listen:         "127.0.0.1:0",
		StoreAddress:   p.storeProxies[i].Addr(),
		Registry:       p.registry,
		RequestTimeout: requestTimeout,
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(activator.Stop)
	return activator
}

// restartActivator kills an activator and starts it again after a time.
func (p *testCluster) restartActivator(i int, after time.Duration) {
	p.t.Helper()
	p.mu.Lock()
	p.activators[i].Stop()
	p.mu.Unlock()
	time.Sleep(after)
	restarted := p.startActivator(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activators[i], p.addresses[i] = restarted, restarted.Addr()
}

// listen serves a free port until the test ends.
func (p *testCluster) listen(handler httpserve.Handler) *httpserve.Server {
	p.t.Helper()
	server, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, handler)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(server.CloseAll)
	return server
}

func (p *testCluster) now() time.Duration { return time.Since(p.start) }

// serveModel serves a request to a model server.
func (p *testCluster) serveModel(server *sim.ModelServer, request *httpwire.Request, service time.Duration, reply func(httpserve.Response)) {
	if request.Path == "/copy" {
		reply(httpserve.Response{Status: httpstatus.OK, Body: p.command(server, request.Body)})
		return
	}
	parts := strings.Split(request.Path, "/") // /ask/MODEL/KEY
	model, key := parts[2], parts[3]
	p.mu.Lock()
	result, answer := server.HandleRequest(model, key, p.now())
	if result == sim.RequestStarted {
		p.executions[key]++
	}
	p.mu.Unlock()
	switch result {
	case sim.RequestRejected:
		reply(httpserve.Response{Status: httpstatus.Conflict})
	case sim.RequestAnswered:
		reply(httpserve.Response{Status: httpstatus.OK, Body: answer})
	case sim.RequestInProgress:
		time.AfterFunc(service, func() { p.serveModel(server, request, service, reply) })
	case sim.RequestStarted:
		time.AfterFunc(service, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if server.Finish(model, key, []byte(key), p.now()) {
				reply(httpserve.Response{Status: httpstatus.OK, Body: []byte(key)})
			}
		})
	}
}

// command carries out a command and returns the body of its answer.
func (p *testCluster) command(server *sim.ModelServer, body []byte) []byte {
	var command wake.Command
	if err := json.Unmarshal(body, &command); err != nil {
		p.t.Errorf("command %s: %v", body, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return kv.Encode(server.Command(command, p.now()))
}

// checkReplicas checks from outside that the model never has two replicas.
func (p *testCluster) checkReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.duplicateReplica = p.duplicateReplica || p.models[0].HasReplica("m", p.now()) && p.models[1].HasReplica("m", p.now())
		p.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// replicaStarts counts the replicas that were started.
func (p *testCluster) replicaStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := 0
	for _, model := range p.models {
		starts += model.Starts
	}
	return starts
}

// request sends a request to one activator after another until one answers, as a client does
// whose connection ends. It returns how many answers came and the last one's status.
func (p *testCluster) request(first int, key string) (answers, status int) {
	for try := range 20 {
		p.mu.Lock()
		addr := p.addresses[(first+try)%len(p.addresses)]
		p.mu.Unlock()
		client := httpwire.Client{Addr: addr, MaxIdle: 1}
		response, err := client.Do("POST", "/models/m/"+key, nil, requestTimeout+10*time.Second)
		client.CloseIdle()
		if err == nil {
			if response.Status == httpstatus.OK && string(response.Body) != key {
				p.t.Errorf("%s got the answer to %s", key, response.Body)
			}
			return 1, response.Status
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, 0
}

// checkWakeOnce sends requests to all activators at once while one of them fails, and checks
// starts and answers.
func checkWakeOnce(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 31))
	const activators, requests = 3, 60
	cluster := newTestCluster(t, activators, 600*time.Millisecond, 5*time.Millisecond)
	cluster.startActivators()
	time.Sleep(300 * time.Millisecond) // the activators register
	var clients sync.WaitGroup
	defer clients.Wait() // also where the test ends early
	var served atomic.Int64
	for i := range requests {
		clients.Go(func() {
			answers, status := cluster.request(i, fmt.Sprint("k", i))
			if answers == 1 && status == httpstatus.OK {
				served.Add(1)
			} else {
				t.Errorf("seed %d: k%d got %d answers, status %d", seed, i, answers, status)
			}
		})
	}
	victim := rng.IntN(activators)
	time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
	if seed%2 == 0 { // an activator is killed and restarted, at any moment of the start
		cluster.restartActivator(victim, time.Duration(rng.IntN(500))*time.Millisecond)
	} else { // an activator is partitioned from the store, not from the model servers
		cluster.partition(victim, true)
		time.Sleep(time.Duration(1000+rng.IntN(1500)) * time.Millisecond)
		cluster.partition(victim, false)
	}
	clients.Wait()
	if n := served.Load(); n != requests {
		t.Errorf("seed %d: %d of %d requests served", seed, n, requests)
	}
	cluster.checkStartedOnce(seed)
}

// checkStartedOnce checks that one replica was started, and each request executed once.
func (p *testCluster) checkStartedOnce(seed uint64) {
	p.t.Helper()
	if n := p.replicaStarts(); n != 1 {
		p.t.Errorf("seed %d: %d replicas were started", seed, n)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.duplicateReplica {
		p.t.Errorf("seed %d: two replicas at a time", seed)
	}
	for key, n := range p.executions {
		if n != 1 {
			p.t.Errorf("seed %d: %s was executed %d times", seed, key, n)
		}
	}
}

// TestWakeOnceOnLoopback starts a model over real sockets while an activator is restarted or
// partitioned: one replica is started, and every request is answered once. BROOKWALK_SOAK sets
// the number of runs.
func TestWakeOnceOnLoopback(t *testing.T) {
	runs := 8
	if v, err := strconv.Atoi(os.Getenv("BROOKWALK_SOAK")); err == nil {
		runs = v
	}
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkWakeOnce(t, seed)
		})
	}
}

// TestRejectedRequests checks that requests which name no model, or one that is not in the
// registry, are answered at once.
func TestRejectedRequests(t *testing.T) {
	cluster := newTestCluster(t, 1, time.Second, time.Millisecond)
	cluster.startActivators()
	client := httpwire.Client{Addr: cluster.activators[0].Addr(), MaxIdle: 1}
	t.Cleanup(client.CloseIdle)
	for _, tc := range []struct {
		path string
		want int
	}{
		{"/models/other/k", httpstatus.NotFound},
		{"/models/m", httpstatus.BadRequest},
		{"/elsewhere", httpstatus.BadRequest},
		{"/models/m/k?wait=0.05", httpstatus.GatewayTimeout},
	} {
		t.Run(tc.path, func(t *testing.T) {
			response, err := client.Do("POST", tc.path, nil, 5*time.Second)
			if err != nil || response.Status != tc.want {
				t.Errorf("answered %+v (%v), want %d", response, err, tc.want)
			}
		})
	}
}
