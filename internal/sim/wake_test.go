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
	reg         *wake.Registry
	servers     map[string]*ModelServer
	serverBoots map[string]int
	controllers []*wakeNode
	asked       map[uint64]*wakeRequest
	nextRequest uint64
	ran         map[string]int // executions by the clients' keys and copies
	faults      []string
	storeCalls  int
	// record, if set, is told of all that a controller does.
	record func(values ...any)
}

// wakeRequest is what a client knows of its request.
type wakeRequest struct {
	model, key string
	at, until  time.Duration
	answers    int
	status     wake.Status
	after      time.Duration
}

// wakeNode is a controller's process.
type wakeNode struct {
	w       *wakeWorld
	name    string
	c       *wake.Controller
	life    int
	alive   bool
	paused  time.Duration
	held    []func()
	pending map[uint64]bool // requests whose clients wait here
}

func newWakeWorld(seed uint64, controllers int, registry string) *wakeWorld {
	reg, err := wake.ParseRegistry(registry)
	if err != nil {
		panic(err)
	}
	cfg := defaults()
	cfg.Deployment.Size = 0
	cfg.Deployment.State.RPS, cfg.Deployment.State.WriteRPS = 2000, 2000
	w := &wakeWorld{World: newWorld(cfg, seed, slog.New(slog.DiscardHandler)), reg: reg, servers: map[string]*ModelServer{},
		serverBoots: map[string]int{}, asked: map[uint64]*wakeRequest{}, ran: map[string]int{}}
	for _, name := range []string{"gpu-0", "gpu-1"} {
		w.servers[name] = NewModelServer(seconds(reg.CopyLeaseS), RandomLoad(w.rng, 8*time.Second, 0))
	}
	for i := range controllers {
		n := &wakeNode{w: w, name: "node-" + strconv.Itoa(i)}
		w.controllers = append(w.controllers, n)
		n.boot()
	}
	w.watchCopies()
	return w
}

func (n *wakeNode) boot() {
	n.alive, n.paused, n.held, n.pending = true, 0, nil, map[uint64]bool{}
	n.life++
	n.c = wake.New(n.name, uint64(n.life), n.w.reg, n, n, n, n.w.log)
	n.tick(n.life)
}

func (n *wakeNode) crash(back time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.life++
	for id := range n.pending { // their clients see the connection end, and ask again elsewhere
		delete(n.w.asked, id)
	}
	n.w.after(back, n.boot)
}

func (n *wakeNode) tick(life int) {
	if n.life != life || !n.alive {
		return
	}
	if n.w.now >= n.paused {
		n.c.Tick()
	}
	n.w.after(100*time.Millisecond, func() { n.tick(life) })
}

// pause has the process stand still; what comes meanwhile is there when it goes on.
func (n *wakeNode) pause(d time.Duration) {
	n.paused = n.w.now + d
	life := n.life
	n.w.after(d, func() {
		if n.life != life {
			return
		}
		held := n.held
		n.held = nil
		for _, f := range held {
			f()
		}
	})
}

// here runs f in the process, once it is not standing still.
func (n *wakeNode) here(life int, f func()) {
	switch {
	case n.life != life || !n.alive:
	case n.w.now < n.paused:
		n.held = append(n.held, func() { n.here(life, f) })
	default:
		f()
	}
}

// callTimeout is how long a controller waits for an answer.
const callTimeout = 2 * time.Second

// call carries a request to a service and its answer back; done gets false after a timeout.
func (n *wakeNode) call(to string, timeout time.Duration, serve func(reply func(f func())), lost func()) {
	life, over := n.life, false
	end := func(f func()) func() {
		return func() {
			n.here(life, func() {
				if !over {
					over = true
					f()
				}
			})
		}
	}
	n.w.after(timeout, end(lost))
	n.w.deliver(n.name, to, func() {
		serve(func(f func()) { n.w.deliver(to, n.name, end(f)) })
	})
}

// did tells what the controller does.
func (n *wakeNode) did(values ...any) {
	if n.w.record != nil {
		n.w.record(append([]any{n.w.now, n.name}, values...)...)
	}
}

func (n *wakeNode) storeCall(method, path string, body []byte, timeout time.Duration, done wake.Answer) {
	n.w.storeCalls++
	n.did(method, path, string(body), timeout)
	n.call("state", timeout, func(reply func(func())) {
		n.w.store.handle(n.name, method, path, body, func(status int, answer []byte) { reply(func() { done(status, answer) }) })
	}, func() { done(0, nil) })
}

func (n *wakeNode) List(prefix string, done wake.Answer) {
	n.storeCall("GET", "/store?under="+prefix, nil, callTimeout, done)
}

func (n *wakeNode) Commit(txn *wire.Txn, done wake.Answer) {
	body, _ := json.Marshal(txn)
	n.storeCall("POST", "/commit", body, callTimeout, done)
}

func (n *wakeNode) Grant(ttl time.Duration, done wake.Answer) {
	body, _ := json.Marshal(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})
	n.storeCall("POST", "/grants", body, callTimeout, done)
}

func (n *wakeNode) Extend(lease uint64, done wake.Answer) {
	n.storeCall("POST", fmt.Sprintf("/grants/%d/extend", lease), nil, callTimeout, done)
}

func (n *wakeNode) Watch(prefix string, since uint64, done wake.Answer) {
	n.storeCall("GET", fmt.Sprintf("/changes?under=%s&since=%d&holdMs=20000", prefix, since), nil, 22*time.Second, done)
}

func (n *wakeNode) Command(server string, c wake.Command, done func(wake.CopyReport)) {
	n.did("command", server, c)
	n.call(server, callTimeout, func(reply func(func())) {
		report := n.w.servers[server].Command(c, n.w.now)
		reply(func() { done(report) })
	}, func() { done(wake.CopyReport{}) })
}

func (n *wakeNode) Ask(server string, r *wake.Request, done func(wake.Outcome, []byte)) {
	n.did("ask", server, *r)
	n.call(server, callTimeout, func(reply func(func())) { n.w.serve(server, r, reply, done) }, func() { done(wake.Unknown, nil) })
}

// serve has a model server answer a request.
func (w *wakeWorld) serve(server string, r *wake.Request, reply func(func()), done func(wake.Outcome, []byte)) {
	s, boot := w.servers[server], w.serverBoots[server]
	result, answer := s.Ask(r.Model, r.Key, w.now)
	switch result {
	case AskNotTaken:
		reply(func() { done(wake.NotTaken, nil) })
		return
	case AskAnswered:
		reply(func() { done(wake.Served, answer) })
		return
	case AskUnderWay:
		w.after(50*time.Millisecond, func() { w.serve(server, r, reply, done) })
		return
	}
	w.ran[fmt.Sprint(r.Key, " on copy ", s.CopyNumber(r.Model, w.now), " of ", server)]++
	w.after(time.Duration(50+w.rng.IntN(400))*time.Millisecond, func() {
		if w.serverBoots[server] == boot && s.Finish(r.Model, r.Key, []byte(r.Key), w.now) {
			reply(func() { done(wake.Served, []byte(r.Key)) })
		}
	})
}

func (n *wakeNode) Now() time.Duration { return n.w.now }

func (n *wakeNode) Reply(id uint64, r wake.Reply) {
	n.did("reply", id, r)
	delete(n.pending, id)
	q := n.w.asked[id]
	if q == nil {
		return // its client has gone with an earlier process
	}
	q.answers++
	q.status, q.after = r.Status, n.w.now-q.at
	if q.answers > 1 {
		n.w.fault("request %d (%s) got %d answers", id, q.key, q.answers)
	}
	if r.Status == wake.StatusServed && string(r.Body) != q.key {
		n.w.fault("request %d (%s) got the answer to %s", id, q.key, r.Body)
	}
	if r.Status == wake.StatusUnavailable && r.RetryS < 1 {
		n.w.fault("request %d was refused without saying when to come back", id)
	}
}

func (w *wakeWorld) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.3f s: %s", w.now.Seconds(), fmt.Sprintf(format, args...)))
}

// ask has a client ask for a model at a controller.
func (w *wakeWorld) ask(n *wakeNode, model, key string, patience time.Duration) uint64 {
	w.nextRequest++
	id := w.nextRequest
	q := &wakeRequest{model: model, key: key, at: w.now, until: w.now + patience}
	if !n.alive {
		return 0 // refused by the network
	}
	w.asked[id] = q
	n.pending[id] = true
	n.here(n.life, func() {
		n.c.Handle(&wake.Request{ID: id, Model: model, Key: key, Until: q.until})
	})
	return id
}

// watchCopies judges from outside, every 20 ms, that no model has two copies.
func (w *wakeWorld) watchCopies() {
	for _, m := range w.reg.Models {
		live := []string{}
		for _, s := range m.Servers {
			if w.servers[s].Live(m.Name, w.now) {
				live = append(live, s)
			}
		}
		if len(live) > 1 {
			w.fault("model %s has copies on %s", m.Name, strings.Join(live, " and "))
		}
	}
	w.after(20*time.Millisecond, w.watchCopies)
}

// starts is how many copies were started on all servers.
func (w *wakeWorld) starts() int {
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
	for id, q := range w.asked {
		if q.answers != 1 && q.until+10*time.Second < until {
			w.fault("request %d (%s for %s, asked at %.1f s) got %d answers", id, q.key, q.model, q.at.Seconds(), q.answers)
		}
	}
	for key, n := range w.ran {
		if n > 1 {
			w.fault("%s ran %d times", key, n)
		}
	}
	for _, f := range append(w.faults, w.check.faults...) {
		t.Error(f)
	}
}

// served counts the requests that were served.
func (w *wakeWorld) served() int {
	n := 0
	for _, q := range w.asked {
		if q.status == wake.StatusServed {
			n++
		}
	}
	return n
}

// Thousands of requests at all controllers in the same millisecond wake one copy.
func TestWakeOnce(t *testing.T) {
	for _, controllers := range []int{1, 3, 5, 17} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			w := newWakeWorld(uint64(controllers), controllers, wakeRegistry)
			w.run(3 * time.Second)
			for i := range 2000 {
				w.ask(w.controllers[i%controllers], "a", fmt.Sprint("k", i), 60*time.Second)
			}
			w.finish(t, 20*time.Second)
			if w.starts() != 1 || w.served() != 2000 {
				t.Errorf("%d copies started, %d of 2000 requests served", w.starts(), w.served())
			}
		})
	}
}

// A model sleeps when it is idle and wakes anew, also for a request that comes in that moment.
func TestWakeAgainAfterSleep(t *testing.T) {
	for offset := range 40 {
		w := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		w.run(3 * time.Second)
		w.ask(w.controllers[0], "b", "first", 30*time.Second)
		// It is idle some 15 s after its answer, which comes some 8 s after the request.
		w.after(seconds(21.5)+time.Duration(offset)*100*time.Millisecond, func() { w.ask(w.controllers[1], "b", "second", 40*time.Second) })
		w.finish(t, 90*time.Second)
		if n := w.starts(); n > 2 || w.served() != 2 {
			t.Errorf("offset %d: %d copies started, %d of 2 requests served", offset, n, w.served())
		}
		if w.servers["gpu-1"].Live("b", w.now) {
			t.Errorf("offset %d: the copy does not sleep at the end", offset)
		}
	}
}

// The driver ends at every moment of a wake: the copy that it started is used, and no other
// one is started.
func TestDriverEndsDuringWake(t *testing.T) {
	for offset := range 140 {
		w := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		w.run(3 * time.Second)
		w.ask(w.controllers[0], "c", "x", 20*time.Second)
		w.after(5*time.Millisecond, func() { w.ask(w.controllers[1], "c", "y", 60*time.Second) })
		at := time.Duration(offset) * 4 * time.Millisecond
		if offset >= 70 {
			at = time.Duration(offset-70) * 150 * time.Millisecond
		}
		w.after(at, func() { w.controllers[0].crash(30 * time.Second) })
		w.finish(t, 100*time.Second)
		if n := w.starts(); n != 1 || w.served() < 1 {
			t.Errorf("the driver ends after %v: %d copies started, %d requests served", at, n, w.served())
		}
	}
}

// A driver that stands still and goes on after a takeover does no harm.
func TestDriverStandsStill(t *testing.T) {
	for offset := range 40 {
		w := newWakeWorld(uint64(offset+1), 3, wakeRegistry)
		w.run(3 * time.Second)
		w.ask(w.controllers[0], "c", "x", 60*time.Second)
		w.after(time.Duration(offset)*25*time.Millisecond, func() { w.controllers[0].pause(25 * time.Second) })
		w.after(time.Second, func() { w.ask(w.controllers[2], "c", "y", 60*time.Second) })
		w.finish(t, 100*time.Second)
		if n := w.starts(); n != 1 || w.served() != 2 {
			t.Errorf("offset %d: %d copies started, %d of 2 requests served", offset, n, w.served())
		}
	}
}

// Two sides of a partition both reach the model server, one of them not the state service.
func TestWakeAcrossPartition(t *testing.T) {
	for seed := range uint64(30) {
		w := newWakeWorld(seed+1, 3, wakeRegistry)
		w.run(3 * time.Second)
		w.ask(w.controllers[0], "c", "x", 60*time.Second)
		w.after(time.Duration(seed)*20*time.Millisecond, func() {
			w.cuts = append(w.cuts, &cut{"node-0", "state", w.now + 40*time.Second, seed%2 == 0}, &cut{"state", "node-0", w.now + 40*time.Second, seed%2 == 0})
		})
		w.after(100*time.Millisecond, func() { w.ask(w.controllers[1], "c", "y", 60*time.Second) })
		w.finish(t, 100*time.Second)
		if n := w.starts(); n != 1 || w.served() != 2 {
			t.Errorf("seed %d: %d copies started, %d of 2 requests served", seed, n, w.served())
		}
	}
}

// The model server of a copy is out of reach: the model wakes on the next one, once the first
// copy has certainly ended.
func TestServerOutOfReach(t *testing.T) {
	w := newWakeWorld(1, 3, wakeRegistry)
	w.run(3 * time.Second)
	w.ask(w.controllers[0], "a", "x", 60*time.Second)
	w.after(5*time.Second, func() {
		w.cuts = append(w.cuts, &cut{"nodes", "gpu-0", w.now + 60*time.Second, true}, &cut{"gpu-0", "nodes", w.now + 60*time.Second, true})
	})
	w.after(20*time.Second, func() { w.ask(w.controllers[1], "a", "y", 60*time.Second) })
	w.finish(t, 140*time.Second)
	if w.starts() != 2 || w.served() != 2 {
		t.Errorf("%d copies started, %d of 2 requests served", w.starts(), w.served())
	}
}

// A copy that never comes up is tried again less and less often, and every request is
// answered by its time.
func TestWakeThatNeverComesUp(t *testing.T) {
	w := newWakeWorld(1, 3, wakeRegistry)
	for _, s := range w.servers {
		s.Load = RandomLoad(rand.New(rand.NewPCG(1, 1)), 2*time.Second, 1)
	}
	w.run(3 * time.Second)
	for i := range 30 {
		w.after(time.Duration(i)*10*time.Second, func() { w.ask(w.controllers[i%3], "c", fmt.Sprint("k", i), 20*time.Second) })
	}
	w.finish(t, 360*time.Second)
	if n := w.starts(); n < 3 || n > 8 {
		t.Errorf("%d starts in 300 s", n)
	}
}

// Two models may wake at a time; the third waits for its turn.
func TestWakesAtOnce(t *testing.T) {
	w := newWakeWorld(1, 3, strings.Replace(wakeRegistry, "max_waking = 2", "max_waking = 1", 1))
	w.run(3 * time.Second)
	for i, model := range []string{"a", "b", "c"} {
		w.ask(w.controllers[i], model, model, 100*time.Second)
	}
	most := 0
	var watch func()
	watch = func() {
		loading := 0
		for _, s := range w.servers {
			for _, m := range s.models {
				if m.copy != nil && w.now < m.copy.readyAt {
					loading++
				}
			}
		}
		most = max(most, loading)
		w.after(50*time.Millisecond, watch)
	}
	watch()
	w.finish(t, 120*time.Second)
	if most != 1 || w.served() != 3 {
		t.Errorf("%d copies loaded at once, %d of 3 requests served", most, w.served())
	}
}

// A repeated request whose answer was lost gets the answer that the copy gave.
func TestRepeatedRequest(t *testing.T) {
	w := newWakeWorld(1, 3, wakeRegistry)
	w.run(3 * time.Second)
	w.ask(w.controllers[0], "a", "x", 60*time.Second)
	w.after(14*time.Second, func() { w.ask(w.controllers[1], "a", "x", 60*time.Second) })
	w.finish(t, 60*time.Second)
	if len(w.ran) != 1 || w.served() != 2 {
		t.Errorf("ran %v, %d of 2 answers", w.ran, w.served())
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
	r := rand.New(rand.NewPCG(seed, 23))
	w := newWakeWorld(seed, []int{1, 3, 5, 5}[r.IntN(4)], wakeRegistry)
	w.record = record
	for _, name := range slices.Sorted(maps.Keys(w.servers)) { // so that each draws its own share of failing loads
		w.servers[name].Load = RandomLoad(w.rng, 8*time.Second, []float64{0, 0, 0.3}[r.IntN(3)])
	}
	w.run(3 * time.Second)
	anyNode := func() *wakeNode { return w.controllers[r.IntN(len(w.controllers))] }
	for i := range 150 {
		at, model, patience := seconds(200*r.Float64()), []string{"a", "b", "c"}[r.IntN(3)], seconds(2+60*r.Float64())
		n := anyNode()
		w.after(at, func() { w.ask(n, model, fmt.Sprint("k", i), patience) })
	}
	for range 8 {
		at, d := seconds(180*r.Float64()), seconds(1+30*r.Float64())
		n, hold := anyNode(), r.IntN(2) == 0
		server := []string{"gpu-0", "gpu-1"}[r.IntN(2)]
		var f func()
		switch r.IntN(8) {
		case 0, 1:
			f = func() { n.crash(d / 5) }
		case 2:
			f = func() { n.pause(d) }
		case 3:
			f = func() { w.store.beginOutage(d) }
		case 4:
			f = func() { w.store.late = late{0.5, w.now + d} }
		case 5:
			f = func() {
				w.cuts = append(w.cuts, &cut{n.name, "state", w.now + d, hold}, &cut{"state", n.name, w.now + d, hold})
			}
		case 6:
			f = func() {
				w.cuts = append(w.cuts, &cut{n.name, server, w.now + d, hold}, &cut{server, n.name, w.now + d, hold})
			}
		case 7:
			f = func() {
				w.serverBoots[server]++
				w.servers[server].Crash()
			}
		}
		w.after(at, f)
	}
	// Once all is over and loads succeed again, every model wakes, after the longest wait
	// between two wakes at the latest: sixteen load times of up to 10 s.
	w.after(320*time.Second, func() {
		for _, s := range w.servers {
			s.Load = RandomLoad(w.rng, 8*time.Second, 0)
		}
		for _, model := range []string{"a", "b", "c"} {
			w.ask(w.controllers[0], model, "last "+model, 180*time.Second)
		}
	})
	w.finish(t, 530*time.Second)
	for _, q := range w.asked {
		if strings.HasPrefix(q.key, "last") && q.status != wake.StatusServed {
			t.Errorf("%s: answered %d after all is over", q.key, q.status)
		}
	}
}
