package gate

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
	copyLease = 30 * time.Second
	patience  = 60 * time.Second
)

// place is a state service, two model servers and some gates on loopback.
type place struct {
	t        *testing.T
	live     *sim.Live
	registry *wake.Registry
	states   []*httpserve.Server // one for each gate, so that each can be cut off
	cut      []bool
	gates    []*Gate
	addrs    []string // of the gates
	runs     uint64

	mu      sync.Mutex
	start   time.Time
	models  []*sim.ModelServer
	servers []*httpserve.Server
	twice   bool // a model had two copies
	ran     map[string]int
}

func newPlace(t *testing.T, gates int, load, service time.Duration) *place {
	p := &place{t: t, start: time.Now(), cut: make([]bool, gates), ran: map[string]int{}}
	p.live = sim.NewLive(sim.LiveConfig{Seed: 1, Log: slog.New(slog.DiscardHandler), Settings: &config.Settings{Deployment: config.Deployment{
		Zones:   []string{"a"},
		Workers: config.Workers{ReportS: 1, LeaseS: 10, CancelS: 20},
		State:   config.State{RPS: 5000, WriteRPS: 5000, ValueKB: 16, TxnOps: 16}, Cloud: config.Cloud{RPS: 1}}}})
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	go p.live.Run(ctx, time.Hour)
	var addrs []string
	for i := range 2 {
		m := sim.NewModelServer(copyLease, sim.RandomLoad(rand.New(rand.NewPCG(uint64(i), 1)), load, 0))
		p.models = append(p.models, m)
		s := p.listen(func(r *httpwire.Request, reply func(httpserve.Response)) { p.serveModel(m, r, service, reply) })
		p.servers, addrs = append(p.servers, s), append(addrs, s.Addr())
	}
	var err error
	p.registry, err = wake.ParseRegistry(fmt.Sprintf("lease_s = 1.2\ncopy_lease_s = %g\nmax_waking = 2\nmax_waiting = 10000\n[[models]]\nname = \"m\"\nservers = [%q, %q]\nload_s = %g\n", copyLease.Seconds(),
		addrs[0], addrs[1], load.Seconds()))
	if err != nil {
		t.Fatal(err)
	}
	for i := range gates {
		p.states = append(p.states, p.listen(func(r *httpwire.Request, reply func(httpserve.Response)) {
			p.mu.Lock()
			cut := p.cut[i]
			p.mu.Unlock()
			if cut {
				return // no answer
			}
			p.live.Do(func() {
				p.live.ServeState(r.Method, httpserve.Target(r), r.Body, func(status int, body []byte) {
					reply(httpserve.Response{Status: status, Body: body})
				})
			})
		}))
	}
	go p.judge(ctx)
	return p
}

// startGates starts gates within this process.
func (p *place) startGates() {
	for i := range p.states {
		g := p.startGate(i)
		p.gates, p.addrs = append(p.gates, g), append(p.addrs, g.Addr())
	}
}

func (p *place) listen(h httpserve.Handler) *httpserve.Server {
	s, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, h)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(s.CloseAll)
	return s
}

func (p *place) startGate(i int) *Gate {
	p.runs++
	g, err := Start(Config{Name: "gate-" + strconv.Itoa(i), Run: p.runs, Listen: "127.0.0.1:0", State: p.states[i].Addr(),
		Registry: p.registry, Patience: patience, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(g.Stop)
	return g
}

func (p *place) now() time.Duration { return time.Since(p.start) }

// serveModel is a model server's interface.
func (p *place) serveModel(m *sim.ModelServer, r *httpwire.Request, service time.Duration, reply func(httpserve.Response)) {
	if r.Path == "/copy" {
		var c wake.Command
		json.Unmarshal(r.Body, &c)
		p.mu.Lock()
		report := m.Command(c, p.now())
		p.mu.Unlock()
		body, _ := json.Marshal(report)
		reply(httpserve.Response{Status: 200, Body: body})
		return
	}
	parts := strings.Split(r.Path, "/") // /ask/MODEL/KEY
	model, key := parts[2], parts[3]
	p.mu.Lock()
	result, answer := m.Ask(model, key, p.now())
	if result == sim.AskBegun {
		p.ran[key]++
	}
	p.mu.Unlock()
	switch result {
	case sim.AskNotTaken:
		reply(httpserve.Response{Status: statusNotTaken})
	case sim.AskAnswered:
		reply(httpserve.Response{Status: 200, Body: answer})
	case sim.AskUnderWay:
		time.AfterFunc(service, func() { p.serveModel(m, r, service, reply) })
	case sim.AskBegun:
		time.AfterFunc(service, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if m.Finish(model, key, []byte(key), p.now()) {
				reply(httpserve.Response{Status: 200, Body: []byte(key)})
			}
		})
	}
}

// judge watches from outside that the model never has two copies.
func (p *place) judge(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.twice = p.twice || p.models[0].Live("m", p.now()) && p.models[1].Live("m", p.now())
		p.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *place) startsSoFar() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.models {
		n += m.Starts
	}
	return n
}

// ask asks gates for the model until one answers, as a client does whose connection ends;
// it returns how many answers came and the last one's status.
func (p *place) ask(first int, key string) (answers, status int) {
	for try := range 20 {
		p.mu.Lock()
		addr := p.addrs[(first+try)%len(p.addrs)]
		p.mu.Unlock()
		client := httpwire.Client{Addr: addr, MaxIdle: 1}
		a, err := client.Do("POST", "/models/m/"+key, nil, patience+10*time.Second)
		client.CloseIdle()
		if err == nil {
			if a.Status == 200 && string(a.Body) != key {
				p.t.Errorf("%s got the answer to %s", key, a.Body)
			}
			return 1, a.Status
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, 0
}

// wakeOnce asks all gates at once while troubles befall them, and judges starts and answers.
func wakeOnce(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 31))
	const gates, requests = 3, 60
	p := newPlace(t, gates, 600*time.Millisecond, 5*time.Millisecond)
	p.startGates()
	time.Sleep(300 * time.Millisecond) // the gates register
	var clients sync.WaitGroup
	defer clients.Wait() // also where the test ends early
	var mu sync.Mutex
	served := 0
	for i := range requests {
		clients.Go(func() {
			answers, status := p.ask(i, fmt.Sprint("k", i))
			mu.Lock()
			defer mu.Unlock()
			if answers == 1 && status == 200 {
				served++
			} else {
				t.Errorf("seed %d: k%d got %d answers, status %d", seed, i, answers, status)
			}
		})
	}
	victim := r.IntN(gates)
	time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
	if seed%2 == 0 { // a gate ends and comes back, at any moment of the wake
		p.mu.Lock()
		p.gates[victim].Stop()
		p.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		g := p.startGate(victim)
		p.mu.Lock()
		p.gates[victim], p.addrs[victim] = g, g.Addr()
		p.mu.Unlock()
	} else { // a gate is cut off from the state service, not from the model servers
		p.mu.Lock()
		p.cut[victim] = true
		p.mu.Unlock()
		time.Sleep(time.Duration(1000+r.IntN(1500)) * time.Millisecond)
		p.mu.Lock()
		p.cut[victim] = false
		p.mu.Unlock()
	}
	clients.Wait()
	if n := p.startsSoFar(); n != 1 {
		t.Errorf("seed %d: %d copies were started", seed, n)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.twice {
		t.Errorf("seed %d: two copies at a time", seed)
	}
	for key, n := range p.ran {
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
			wakeOnce(t, seed)
		})
	}
}

// Requests that name no model, or one that is not in the registry, are answered at once.
func TestRequestsThatCannotBeTaken(t *testing.T) {
	p := newPlace(t, 1, time.Second, time.Millisecond)
	p.startGates()
	client := httpwire.Client{Addr: p.gates[0].Addr(), MaxIdle: 1}
	defer client.CloseIdle()
	for path, want := range map[string]int{"/models/other/k": 404, "/models/m": 400, "/elsewhere": 400, "/models/m/k?wait=0.05": 504} {
		a, err := client.Do("POST", path, nil, 5*time.Second)
		if err != nil || a.Status != want {
			t.Errorf("%s: answered %+v (%v), want %d", path, a, err, want)
		}
	}
}
