// Package sim plays the controllers' core against stand-ins of the state
// service, the cloud, the workers and the users, in virtual time. A checker
// judges the rules all the while. Everything follows from a seed.
package sim

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/cloud"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/store"
	"github.com/brookwalk/brookwalk/wire"
)

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// cut blocks messages from one set of endpoints to another.
type cut struct {
	from, to string
	until    time.Duration
	hold     bool
}

// late is a trouble that befalls a share of events until its time is over.
type late struct {
	share float64
	until time.Duration
}

// strikes tells by chance whether the trouble befalls an event of now.
func (l late) strikes(w *World) bool { return w.now < l.until && w.rng.Float64() < l.share }

// World is one simulated deployment.
type World struct {
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand

	cfg     *config.Settings
	log     *slog.Logger
	nodes   []*node
	store   *stateService
	cloud   *cloudService
	users   *users
	check   *checker
	cuts    []*cut
	jobs    map[string]*jobTruth
	on      map[*jobTruth]*jobPlacements  // the tasks that are on machines, see placements.go
	teams   map[string]map[*jobTruth]bool // those of each team with tasks on machines
	watch   Observer                      // may be nil
	started int
	expired int // tasks that a worker dropped for want of an answer

	standstills []span        // in which all controllers stood still
	calm        time.Duration // when the last trouble is over
	lateReports late          // copies of reports that come again
	endCancels  late          // jobs called off at the moment of their end

	// mutate, if set, changes what a core asks for: it stands for a broken
	// core in the checker's own test.
	mutate func(n *node, out *core.Output)

	// regionSend, if set, carries a message to another region; onUse is told of a team whose
	// use has grown. They are nil in a world without other regions.
	regionSend func(n *node, s core.RegionSend)
	// heldElsewhere, if set, is how many GPUs of a team's limit other regions use or have
	// guaranteed.
	heldElsewhere func(team string) float64
	// useChanged, if set, is told by how much the use of a team changes.
	useChanged func(team string, cpus, gpus float64)
	onUse      func(team string)

	// newCore, if set, makes the core of a node that boots, in place of that of
	// this version.
	newCore func(n *node, boot uint64) stepper
}

// stepper is what a node runs: a core of this version, or a child process with
// one of another version.
type stepper interface {
	Step(now time.Duration, wall time.Time, in core.Input) core.Output
}

// jobTruth is what the stand-ins know of a job.
type jobTruth struct {
	wire.Job
	runS      float64
	fail      bool
	done      map[int]bool
	progress  map[int]float64 // saved, by task; a gang uses task 0
	submitted time.Duration   // first attempt to submit it
	begun     map[int]bool    // tasks that have run, for the observer
}

func newWorld(cfg *config.Settings, seed uint64, log *slog.Logger) *World {
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), log: log, jobs: map[string]*jobTruth{},
		on: map[*jobTruth]*jobPlacements{}, teams: map[string]map[*jobTruth]bool{}}
	w.store = newStore(w)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	w.check = newChecker(w)
	for i := 0; i < cfg.Deployment.Size; i++ {
		n := &node{w: w, index: i, name: "node-" + strconv.Itoa(i)}
		w.nodes = append(w.nodes, n)
		w.after(time.Duration(i)*30*time.Millisecond, n.boot)
	}
	return w
}

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, f})
}

func (w *World) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = until
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// match tells whether endpoint name is meant by a pattern: a name, a kind
// ("nodes", "workers"), or "zone:" with a zone.
func (w *World) match(pattern, name string) bool {
	switch {
	case pattern == name:
		return true
	case pattern == "nodes":
		return strings.HasPrefix(name, "node-")
	case pattern == "workers":
		return strings.HasPrefix(name, "n-")
	case strings.HasPrefix(pattern, "zone:"):
		return w.zoneOf(name) == pattern[5:]
	}
	return false
}

func (w *World) zoneOf(name string) string {
	for _, n := range w.nodes {
		if n.name == name {
			return w.cfg.Deployment.Zones[n.index%len(w.cfg.Deployment.Zones)]
		}
	}
	if m := w.cloud.machines[name]; m != nil {
		return m.zone
	}
	return ""
}

// deliver carries a message: f runs at the receiver, unless a cut drops it.
func (w *World) deliver(from, to string, f func()) {
	delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
	for _, c := range w.cuts {
		if c.until > w.now && w.match(c.from, from) && w.match(c.to, to) {
			if !c.hold {
				return
			}
			delay = max(delay, c.until-w.now+time.Millisecond)
		}
	}
	w.after(delay, f)
}

// node is one controller: a core and what stands for its process.
type node struct {
	w     *World
	index int
	name  string
	core  stepper
	alive bool
	life  int
	born  time.Duration
	reqs  map[uint64]func(core.Answer)

	// process, if set, is the controller itself, outside of this process. The
	// fields of the simulated one are not used then.
	process Process
	next    uint64
	paused  time.Duration // it stands still until then
	held    []core.Input  // what has come for it meanwhile
	// pausedAt is when it began to stand still.
	pausedAt time.Duration
	pace     *store.Pace
	cloud    *budget.Bucket
}

func (n *node) settings() *config.Settings {
	s := *n.w.cfg
	s.Name, s.Zone = n.name, n.w.zoneOf(n.name)
	s.Peers = nil
	for _, o := range n.w.nodes {
		if o != n {
			s.Peers = append(s.Peers, config.Peer{Name: o.name, Zone: n.w.zoneOf(o.name)})
		}
	}
	return &s
}

func (n *node) boot() {
	n.alive = true
	n.life++
	n.born = n.w.now
	if n.process != nil {
		n.process.Start()
		return
	}
	n.reqs = map[uint64]func(core.Answer){}
	n.paused, n.held = 0, nil
	n.pace, n.cloud = store.NewPace(n.w.cfg), cloud.NewPace(n.w.cfg)
	boot := uint64(n.index+1)<<32 + uint64(n.life)
	if n.w.newCore != nil {
		n.core = n.w.newCore(n, boot)
	} else {
		n.core = core.New(n.settings(), nil, boot, n.w.log.With("node", n.name))
	}
	n.tick(n.life)
}

func (n *node) crash(back time.Duration) {
	n.alive = false
	n.life++
	if n.process != nil {
		n.process.Kill()
	}
	life := n.life
	n.w.after(back, func() {
		if !n.alive && n.life == life {
			n.boot()
		}
	})
}

func (n *node) tick(life int) {
	if !n.alive || n.life != life {
		return
	}
	if n.w.now >= n.paused {
		n.feed(core.Tick{})
	}
	n.w.after(75*time.Millisecond, func() { n.tick(life) })
}

// pause has the controller stand still for a while. What comes meanwhile is there when it
// goes on, as if nothing had been.
func (n *node) pause(d time.Duration) {
	n.pausedAt, n.paused = n.w.now, n.w.now+d
	life := n.life
	n.w.after(d, func() {
		if n.life != life || n.w.now < n.paused {
			return
		}
		held := n.held
		n.held = nil
		for _, in := range held {
			n.feed(in)
		}
	})
}

func (n *node) feed(in core.Input) {
	if n.w.now < n.paused {
		n.held = append(n.held, in)
		return
	}
	now := n.w.now - n.born + time.Millisecond
	// A drifting steady clock, within what the protocol allows.
	now += now * time.Duration(n.index) / 4000
	out := n.core.Step(now, n.w.clock(), in)
	if n.w.mutate != nil {
		n.w.mutate(n, &out)
	}
	for _, a := range out.Answers {
		if f := n.reqs[a.ID]; f != nil {
			delete(n.reqs, a.ID)
			f(a)
		}
	}
	for _, s := range out.Sends {
		to, msg := s.To, s.Msg
		n.w.deliver(n.name, to, func() {
			for _, o := range n.w.nodes {
				if o.name == to && o.alive {
					o.feed(core.PeerInput{Message: msg})
				}
			}
		})
	}
	for _, s := range out.RegionSends {
		if n.w.regionSend != nil {
			n.w.regionSend(n, s)
		}
	}
	for _, k := range out.Calls {
		n.call(k)
	}
}

// request delivers an HTTP request to the node; done gets the answer, or
// status 0 after the timeout.
func (n *node) request(from, method, path string, body []byte, timeout time.Duration, done func(status int, body []byte)) {
	n.ask(from, method, path, body, timeout, func(a core.Answer) { done(a.Status, a.Body) })
}

// ask is request for those who heed more of the answer than status and body.
func (n *node) ask(from, method, path string, body []byte, timeout time.Duration, done func(core.Answer)) {
	if n.process != nil {
		n.process.Ask(from, method, path, body, timeout, done)
		return
	}
	over := false
	finish := func(a core.Answer) {
		if !over {
			over = true
			done(a)
		}
	}
	n.w.after(timeout, func() { finish(core.Answer{}) })
	n.w.deliver(from, n.name, func() {
		if !n.alive {
			// Refused; the caller notices soon.
			n.w.deliver(n.name, from, func() { finish(core.Answer{}) })
			return
		}
		n.next++
		n.reqs[n.next] = func(a core.Answer) {
			n.w.deliver(n.name, from, func() { finish(a) })
		}
		n.feed(core.Request{ID: n.next, Method: method, Path: path, Body: body})
	})
}

func (n *node) call(k core.Call) {
	w, life, over := n.w, n.life, false
	finish := func(r core.Result) {
		if !over && n.alive && n.life == life {
			over = true
			r.ID = k.ID
			n.feed(r)
		}
	}
	w.after(k.Timeout, func() { finish(core.Result{}) })
	reply := func(from string) func(status int, body []byte) {
		return func(status int, body []byte) {
			w.deliver(from, n.name, func() { finish(core.Result{Status: status, Body: body}) })
		}
	}
	switch k.Dest {
	case core.DestStore:
		n.callStore(k, w.now+k.Timeout, reply("state"), finish)
	case core.DestCloud:
		wait, ok := n.cloud.TakeAt(w.clock(), 1, k.Urgent, k.Timeout/2)
		if !ok {
			w.after(0, func() { finish(core.Result{Status: 429, NotSent: true}) })
			return
		}
		w.after(wait, func() {
			w.deliver(n.name, "cloud", func() { w.cloud.handle(k.Method, k.Path, k.Body, reply("cloud")) })
		})
	case core.DestWorker:
		m := w.cloud.byAddr[k.Addr]
		if m == nil {
			return
		}
		w.deliver(n.name, m.name, func() { m.direct(k.Method, k.Path, k.Body, reply(m.name)) })
	}
}

// callStore carries a call to the state service out as the client does: at the
// pace of the budgets, and again where the service turns it away.
func (n *node) callStore(k core.Call, deadline time.Duration, reply func(int, []byte), finish func(core.Result)) {
	w := n.w
	send := func() { w.store.handle(n.name, k.Method, k.Path, k.Body, reply) }
	if k.Watch {
		w.deliver(n.name, "state", send)
		return
	}
	wait, ok := n.pace.Take(w.clock(), &k, deadline-w.now)
	if !ok {
		w.after(0, func() { finish(core.Result{Status: 429, NotSent: true}) })
		return
	}
	w.after(wait, func() {
		w.deliver(n.name, "state", func() {
			w.store.slowly(func() {
				w.store.handle(n.name, k.Method, k.Path, k.Body, func(status int, body []byte) {
					if status == 429 && deadline-w.now >= store.Last {
						w.after(store.Retry, func() { n.callStore(k, deadline, reply, finish) })
						return
					}
					reply(status, body)
				})
			})
		})
	})
}

// clock is the time of the stand-ins, for budgets.
func (w *World) clock() time.Time { return time.UnixMilli(1e12).Add(w.now) }

// unserved is for how long so far no user could be served: the state service was out, or
// all controllers stood still.
func (w *World) unserved() time.Duration {
	sum := w.store.down
	for _, s := range w.standstills {
		sum += min(w.now, s.until) - s.from
	}
	return sum
}

// span is a time from one moment to another.
type span struct{ from, until time.Duration }

// leader is the node that holds the leader key, or nil.
func (w *World) leader() *node {
	e := w.store.keys["leader"]
	if e == nil {
		return nil
	}
	for _, n := range w.nodes {
		if strings.Contains(string(e.value), strconv.Quote(n.name)) {
			return n
		}
	}
	return nil
}

func (w *World) trace(format string, a ...any) {
	w.log.Debug(fmt.Sprintf(format, a...), "at", w.now.Seconds())
}
