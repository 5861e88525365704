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
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/sim"
	"github.com/brookwalk/brookwalk/internal/wake"
)

// Long enough that a machine which is busy with other things delays a run and does not fail
// it: a copy that no gate speaks for so long ends, and a request that waits so long is given up.
const (
	replicaLease   = 30 * time.Second
	requestTimeout = 60 * time.Second
)

// testCluster is a state service, two model servers and some gates on loopback.
type testCluster struct {
	t            *testing.T
	live         *sim.Live
	registry     *wake.Registry
	storeProxies []*httpserve.Server // one for each gate, so that each can be cut off
	partitioned  []bool
	activators   []*Server
	addresses    []string // of the gates
	incarnations uint64

	mu               sync.Mutex
	start            time.Time
	models           []*sim.ModelServer
	servers          []*httpserve.Server
	duplicateReplica bool // a model had two copies
	executions       map[string]int
}

func newTestCluster(t *testing.T, activators int, load, service time.Duration) *testCluster {
	cluster := &testCluster{t: t, start: time.Now(), partitioned: make([]bool, activators), executions: map[string]int{}}
	cluster.live = sim.NewLive(sim.LiveConfig{Seed: 1, Log: slog.New(slog.DiscardHandler), Settings: &config.Settings{Deployment: config.Deployment{
		Zones:   []string{"a"},
		Workers: config.WorkerTimings{ReportS: 1, LeaseS: 10, CancelS: 20},
		Store:   config.StoreLimits{RPS: 5000, WriteRPS: 5000, ValueKB: 16, TxnOps: 16}, Cloud: config.CloudLimits{RPS: 1}}}})
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	go cluster.live.Run(ctx, time.Hour)
	var addrs []string
	for i := range 2 {
		model := sim.NewModelServer(replicaLease, sim.RandomLoad(rand.New(rand.NewPCG(uint64(i), 1)), load, 0))
		cluster.models = append(cluster.models, model)
		s := cluster.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			cluster.serveModel(model, r, service, reply)
		})
		cluster.servers, addrs = append(cluster.servers, s), append(addrs, s.Addr())
	}
	var err error
	cluster.registry, err = wake.ParseRegistry(fmt.Sprintf("lease_s = 1.2\ncopy_lease_s = %g\nmax_waking = 2\nmax_waiting = 10000\n[[models]]\nname = \"m\"\nservers = [%q, %q]\nload_s = %g\n", replicaLease.Seconds(),
		addrs[0], addrs[1], load.Seconds()))
	if err != nil {
		t.Fatal(err)
	}
	for i := range activators {
		cluster.storeProxies = append(cluster.storeProxies, cluster.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			cluster.mu.Lock()
			partitioned := cluster.partitioned[i]
			cluster.mu.Unlock()
			if partitioned {
				return // no answer
			}
			cluster.live.Do(func() {
				cluster.live.ServeStore(r.Method, httpserve.RequestTarget(r), r.Body, func(status int, body []byte) {
					reply(httpserve.Response{Status: status, Body: body})
				})
			})
		}))
	}
	go cluster.checkReplicas(ctx)
	return cluster
}

// startActivators starts gates within this process.
func (p *testCluster) startActivators() {
	for i := range p.storeProxies {
		g := p.startActivator(i)
		p.activators, p.addresses = append(p.activators, g), append(p.addresses, g.Addr())
	}
}

func (p *testCluster) listen(h httpserve.Handler) *httpserve.Server {
	s, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, h)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(s.CloseAll)
	return s
}

func (p *testCluster) startActivator(i int) *Server {
	p.incarnations++
	g, err := Start(Config{Name: "gate-" + strconv.Itoa(i), Incarnation: p.incarnations, Listen: "127.0.0.1:0", StoreAddress: p.storeProxies[i].Addr(),
		Registry: p.registry, RequestTimeout: requestTimeout, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(g.Stop)
	return g
}

func (p *testCluster) now() time.Duration { return time.Since(p.start) }

// serveModel is a model server's interface.
func (p *testCluster) serveModel(server *sim.ModelServer, request *httpwire.Request, service time.Duration, reply func(httpserve.Response)) {
	if request.Path == "/copy" {
		var c wake.Command
		json.Unmarshal(request.Body, &c)
		p.mu.Lock()
		report := server.Command(c, p.now())
		p.mu.Unlock()
		body, _ := json.Marshal(report)
		reply(httpserve.Response{Status: 200, Body: body})
		return
	}
	parts := strings.Split(request.Path, "/") // /ask/MODEL/KEY
	model, key := parts[2], parts[3]
	p.mu.Lock()
	result, answer := server.Ask(model, key, p.now())
	if result == sim.AskStarted {
		p.executions[key]++
	}
	p.mu.Unlock()
	switch result {
	case sim.AskRejected:
		reply(httpserve.Response{Status: statusNotTaken})
	case sim.AskAnswered:
		reply(httpserve.Response{Status: 200, Body: answer})
	case sim.AskInProgress:
		time.AfterFunc(service, func() { p.serveModel(server, request, service, reply) })
	case sim.AskStarted:
		time.AfterFunc(service, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if server.Finish(model, key, []byte(key), p.now()) {
				reply(httpserve.Response{Status: 200, Body: []byte(key)})
			}
		})
	}
}

// checkReplicas watches from outside that the model never has two copies.
func (p *testCluster) checkReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.duplicateReplica = p.duplicateReplica || p.models[0].HasCopy("m", p.now()) && p.models[1].HasCopy("m", p.now())
		p.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *testCluster) replicaStarts() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.models {
		n += m.Starts
	}
	return n
}

// request asks gates for the model until one answers, as a client does whose connection ends;
// it returns how many answers came and the last one's status.
func (p *testCluster) request(first int, key string) (answers, status int) {
	for try := range 20 {
		p.mu.Lock()
		addr := p.addresses[(first+try)%len(p.addresses)]
		p.mu.Unlock()
		client := httpwire.Client{Addr: addr, MaxIdle: 1}
		response, err := client.Do("POST", "/models/m/"+key, nil, requestTimeout+10*time.Second)
		client.CloseIdle()
		if err == nil {
			if response.Status == 200 && string(response.Body) != key {
				p.t.Errorf("%s got the answer to %s", key, response.Body)
			}
			return 1, response.Status
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, 0
}

// checkWakeOnce asks all gates at once while troubles befall them, and judges starts and answers.
func checkWakeOnce(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 31))
	const gates, requests = 3, 60
	cluster := newTestCluster(t, gates, 600*time.Millisecond, 5*time.Millisecond)
	cluster.startActivators()
	time.Sleep(300 * time.Millisecond) // the gates register
	var clients sync.WaitGroup
	defer clients.Wait() // also where the test ends early
	var mu sync.Mutex
	served := 0
	for i := range requests {
		clients.Go(func() {
			answers, status := cluster.request(i, fmt.Sprint("k", i))
			mu.Lock()
			defer mu.Unlock()
			if answers == 1 && status == 200 {
				served++
			} else {
				t.Errorf("seed %d: k%d got %d answers, status %d", seed, i, answers, status)
			}
		})
	}
	victim := rng.IntN(gates)
	time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
	if seed%2 == 0 { // a gate ends and comes back, at any moment of the wake
		cluster.mu.Lock()
		cluster.activators[victim].Stop()
		cluster.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		restarted := cluster.startActivator(victim)
		cluster.mu.Lock()
		cluster.activators[victim], cluster.addresses[victim] = restarted, restarted.Addr()
		cluster.mu.Unlock()
	} else { // a gate is cut off from the state service, not from the model servers
		cluster.mu.Lock()
		cluster.partitioned[victim] = true
		cluster.mu.Unlock()
		time.Sleep(time.Duration(1000+rng.IntN(1500)) * time.Millisecond)
		cluster.mu.Lock()
		cluster.partitioned[victim] = false
		cluster.mu.Unlock()
	}
	clients.Wait()
	if n := cluster.replicaStarts(); n != 1 {
		t.Errorf("seed %d: %d copies were started", seed, n)
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.duplicateReplica {
		t.Errorf("seed %d: two copies at a time", seed)
	}
	for key, n := range cluster.executions {
		if n != 1 {
			t.Errorf("seed %d: %s ran %d times", seed, key, n)
		}
	}
	if served != requests {
		t.Errorf("seed %d: %d of %d requests served", seed, served, requests)
	}
}

// TestWakeOnceOnLoopback wakes a model over real sockets while a gate ends or is cut off:
// one copy starts, and every request gets its answer once. BROOKWALK_SOAK says how many runs.
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

// Requests that name no model, or one that is not in the registry, are answered at once.
func TestRejectedRequests(t *testing.T) {
	cluster := newTestCluster(t, 1, time.Second, time.Millisecond)
	cluster.startActivators()
	client := httpwire.Client{Addr: cluster.activators[0].Addr(), MaxIdle: 1}
	defer client.CloseIdle()
	for path, want := range map[string]int{"/models/other/k": 404, "/models/m": 400, "/elsewhere": 400, "/models/m/k?wait=0.05": 504} {
		response, err := client.Do("POST", path, nil, 5*time.Second)
		if err != nil || response.Status != want {
			t.Errorf("%s: answered %+v (%v), want %d", path, response, err, want)
		}
	}
}
