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

// Both times are long enough that a busy machine delays a run but does not make it fail.
const (
	replicaLease   = 30 * time.Second // a replica ends after this time without a command
	requestTimeout = 60 * time.Second // a request times out after this time
)

// testCluster is a key-value store, two model servers and several activators on loopback.
type testCluster struct {
	t            *testing.T
	live         *sim.Live
	registry     *wake.Registry
	storeProxies []*httpserve.Server // one for each activator, so that each can be partitioned alone
	partitioned  []bool
	activators   []*Server
	addresses    []string // of the activators
	incarnations uint64

	mu               sync.Mutex
	start            time.Time
	modelServers     []*sim.ModelServer
	duplicateReplica bool // the model had two replicas at a time
	executions       map[string]int
}

// newTestCluster starts a cluster without activators. A replica takes about the load time to load
// and the service time to serve a request.
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

// startModelServers starts two model servers and sets the registry that lists them.
func (c *testCluster) startModelServers(load, service time.Duration) {
	c.t.Helper()
	var addresses []string
	for i := range 2 {
		modelServer := sim.NewModelServer(replicaLease, sim.RandomLoad(rand.New(rand.NewPCG(uint64(i), 1)), load, 0))
		c.modelServers = append(c.modelServers, modelServer)
		server := c.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			c.serveModel(modelServer, r, service, reply)
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
		c.t.Fatal(err)
	}
	c.registry = registry
}

// serveStore forwards an activator's request to the store, unless the activator is partitioned.
func (c *testCluster) serveStore(activator int, request *httpwire.Request, reply func(httpserve.Response)) {
	if c.isPartitioned(activator) {
		return // no answer
	}
	c.live.Do(func() {
		c.live.ServeStore(request.Method, httpserve.RequestTarget(request), request.Body, func(status int, body []byte) {
			reply(httpserve.Response{Status: status, Body: body})
		})
	})
}

func (c *testCluster) isPartitioned(activator int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[activator]
}

func (c *testCluster) partition(activator int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[activator] = partitioned
}

// startActivators starts all activators in this process.
func (c *testCluster) startActivators() {
	c.t.Helper()
	for i := range c.storeProxies {
		activator := c.startActivator(i)
		c.activators, c.addresses = append(c.activators, activator), append(c.addresses, activator.Addr())
	}
}

func (c *testCluster) startActivator(i int) *Server {
	c.t.Helper()
	c.incarnations++
	activator, err := Start(Config{
		Name:           "node-" + strconv.Itoa(i),
		Incarnation:    c.incarnations,
		Listen:         "127.0.0.1:0",
		StoreAddress:   c.storeProxies[i].Addr(),
		Registry:       c.registry,
		RequestTimeout: requestTimeout,
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(activator.Stop)
	return activator
}

// restartActivator stops an activator without notice and starts it again after a delay.
func (c *testCluster) restartActivator(i int, after time.Duration) {
	c.t.Helper()
	c.mu.Lock()
	c.activators[i].Stop()
	c.mu.Unlock()
	time.Sleep(after)
	restarted := c.startActivator(i)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activators[i], c.addresses[i] = restarted, restarted.Addr()
}

// listen serves requests on a free port until the test ends.
func (c *testCluster) listen(handler httpserve.Handler) *httpserve.Server {
	c.t.Helper()
	server, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, handler)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(server.CloseAll)
	return server
}

func (c *testCluster) now() time.Duration { return time.Since(c.start) }

// serveModel handles a request to a model server.
func (c *testCluster) serveModel(server *sim.ModelServer, request *httpwire.Request, service time.Duration, reply func(httpserve.Response)) {
	if request.Path == "/copy" {
		reply(httpserve.Response{Status: httpstatus.OK, Body: c.command(server, request.Body)})
		return
	}
	parts := strings.Split(request.Path, "/") // /ask/MODEL/KEY
	model, key := parts[2], parts[3]
	c.mu.Lock()
	result, answer := server.HandleRequest(model, key, c.now())
	if result == sim.RequestStarted {
		c.executions[key]++
	}
	c.mu.Unlock()
	switch result {
	case sim.RequestRejected:
		reply(httpserve.Response{Status: httpstatus.Conflict})
	case sim.RequestAnswered:
		reply(httpserve.Response{Status: httpstatus.OK, Body: answer})
	case sim.RequestInProgress:
		time.AfterFunc(service, func() { c.serveModel(server, request, service, reply) })
	case sim.RequestStarted:
		time.AfterFunc(service, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if server.Finish(model, key, []byte(key), c.now()) {
				reply(httpserve.Response{Status: httpstatus.OK, Body: []byte(key)})
			}
		})
	}
}

// command executes a command and returns the body of its answer.
func (c *testCluster) command(server *sim.ModelServer, body []byte) []byte {
	var command wake.Command
	if err := json.Unmarshal(body, &command); err != nil {
		c.t.Errorf("model server got malformed command %s: %v", body, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return kv.Encode(server.Command(command, c.now()))
}

// checkReplicas records whether the model ever has a replica on both model servers at a time.
func (c *testCluster) checkReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.duplicateReplica = c.duplicateReplica || c.modelServers[0].HasReplica("m", c.now()) && c.modelServers[1].HasReplica("m", c.now())
		c.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// replicaStarts returns the number of replicas that were started.
func (c *testCluster) replicaStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := 0
	for _, model := range c.modelServers {
		starts += model.Starts
	}
	return starts
}

// request sends a request to one activator after another until one answers, as a client does
// when its connection is closed. It returns the number of answers, 0 or 1, and the status.
func (c *testCluster) request(first int, key string) (answers, status int) {
	for try := range 20 {
		c.mu.Lock()
		addr := c.addresses[(first+try)%len(c.addresses)]
		c.mu.Unlock()
		client := httpwire.Client{Addr: addr, MaxIdle: 1}
		response, err := client.Do("POST", "/models/m/"+key, nil, requestTimeout+10*time.Second)
		client.CloseIdle()
		if err == nil {
			if response.Status == httpstatus.OK && string(response.Body) != key {
				c.t.Errorf("request %s: got the answer to request %s", key, response.Body)
			}
			return 1, response.Status
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, 0
}

// checkWakeOnce sends requests to all activators at once while one of them is restarted or
// partitioned, and checks that one replica is started and every request is served.
func checkWakeOnce(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 31))
	const activators, requests = 3, 60
	cluster := newTestCluster(t, activators, 600*time.Millisecond, 5*time.Millisecond)
	cluster.startActivators()
	time.Sleep(300 * time.Millisecond) // the activators register
	var clients sync.WaitGroup
	defer clients.Wait() // also if the test ends early
	var served atomic.Int64
	for i := range requests {
		clients.Go(func() {
			answers, status := cluster.request(i, fmt.Sprint("k", i))
			if answers == 1 && status == httpstatus.OK {
				served.Add(1)
			} else {
				t.Errorf("seed %d: request k%d: got %d answers, status %d, want 1 answer, status OK", seed, i, answers, status)
			}
		})
	}
	target := rng.IntN(activators)
	time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
	if seed%2 == 0 { // an activator is stopped at a random time and restarted
		cluster.restartActivator(target, time.Duration(rng.IntN(500))*time.Millisecond)
	} else { // an activator is partitioned from the store, not from the model servers
		cluster.partition(target, true)
		time.Sleep(time.Duration(1000+rng.IntN(1500)) * time.Millisecond)
		cluster.partition(target, false)
	}
	clients.Wait()
	if n := served.Load(); n != requests {
		t.Errorf("seed %d: %d of %d requests served", seed, n, requests)
	}
	cluster.checkStartedOnce(seed)
}

// checkStartedOnce checks that one replica was started and that each request was executed once.
func (c *testCluster) checkStartedOnce(seed uint64) {
	c.t.Helper()
	if n := c.replicaStarts(); n != 1 {
		c.t.Errorf("seed %d: %d replicas were started, want 1", seed, n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duplicateReplica {
		c.t.Errorf("seed %d: the model had two replicas at a time, want at most one", seed)
	}
	for key, n := range c.executions {
		if n != 1 {
			c.t.Errorf("seed %d: request %s was executed %d times, want once", seed, key, n)
		}
	}
}

// TestWakeOnceOnLoopback starts a model over real sockets while an activator is restarted or
// partitioned from the store: one replica must be started, and every request executed and
// answered once. BROOKWALK_SOAK sets the number of runs.
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

// TestRejectedRequests checks the answers to requests with a malformed path, for a model that is
// not in the registry, and with a timeout that expires before the model is ready.
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
				t.Errorf("got response %+v, error %v, want status %d", response, err, tc.want)
			}
		})
	}
}
