// Package core is the controllers' state machine. It takes inputs (a request,
// a peer's message, a call's result, a tick) and returns what to answer, call
// and send. It owns no clock, goroutine or socket, and map order has no effect
// on what it does.
package core

import (
	"io"
	"log/slog"
	"sort"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Dest names who a call goes to.
type Dest int

// The destinations of calls.
const (
	DestStore Dest = iota
	DestCloud
	DestWorker
)

// Request is an HTTP request of a user, a worker or a health check.
type Request struct {
	ID     uint64
	Method string
	Path   string
	Body   []byte
}

// Result ends a call. Status 0 means that no answer came; NotSent that the
// call certainly was not executed.
type Result struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool
}

// Tick tells the core that time has passed.
type Tick struct{}

// Answer is the response to a Request.
type Answer struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
}

// Call asks for an HTTP call.
type Call struct {
	ID      uint64
	Dest    Dest
	Addr    string // of a worker
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
	// Writes is the number of puts and deletes, for the write budget.
	Writes int
	// Urgent calls go ahead of others when the budget is short.
	Urgent bool
	// Watch marks a call that stays open and needs its own connection.
	Watch bool
}

// Send hands a message to a peer.
type Send struct {
	To  string
	Msg *wire.PeerMessage
}

// Output is all that a step asks for.
type Output struct {
	Answers []Answer
	Calls   []Call
	Sends   []Send
}

// Core is the state machine of one controller.
type Core struct {
	cfg  *config.Settings
	op   *config.Operator
	log  *slog.Logger
	boot uint64
	now  time.Duration
	wall int64 // ms, time of day
	out  Output

	calls    map[uint64]func(Result)
	nextCall uint64
	nextList uint64 // attempts to write a long list of awaited jobs

	types     map[string]*wire.MachineType
	typesAt   time.Duration
	typesBusy bool
	typesRaw  string

	users users
	elect election

	fewerOps    int  // changes in a transaction, if fewer than announced; 0 unknown
	smallValues bool // values that the settings allow were refused

	peers map[string]*peerState
	lead  *leader // nil on a follower

	forwards    map[uint64]*forward
	nextForward uint64
	keep        keeper
	visitors    map[string]*visitor // workers that report here
	digestAt    time.Duration
	countsAt    time.Duration
	counts      map[string]wire.JobCount // last digest of the leader
}

type peerState struct {
	heard time.Duration
	testimony
	storeOK     bool
	hearsLeader bool
	ever        bool
	version     int // highest PeerVersion that it has said
}

// New makes a core. The logger may be nil; boot has to differ from that of any
// other run of the program.
func New(cfg *config.Settings, op *config.Operator, boot uint64, log *slog.Logger) *Core {
	if op == nil {
		op = &config.Operator{}
	}
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c := &Core{
		cfg: cfg, op: op, log: log, boot: boot,
		calls:    map[uint64]func(Result){},
		types:    map[string]*wire.MachineType{},
		peers:    map[string]*peerState{},
		forwards: map[uint64]*forward{}, visitors: map[string]*visitor{},
	}
	for _, p := range cfg.Peers {
		c.peers[p.Name] = &peerState{}
	}
	c.users.init()
	return c
}

// Step feeds one input (Request, Result, *wire.PeerMessage or Tick) at the
// steady time now and the time of day wall, and returns what it leads to.
func (c *Core) Step(now time.Duration, wall time.Time, in any) Output {
	if now > c.now {
		c.now = now
	}
	c.wall = wall.UnixMilli()
	c.out = Output{}
	switch in := in.(type) {
	case Request:
		c.onRequest(in)
	case Result:
		if f := c.calls[in.ID]; f != nil {
			delete(c.calls, in.ID)
			f(in)
		}
	case *wire.PeerMessage:
		c.onPeer(in)
	case Tick:
		c.onTick()
	}
	if c.lead != nil {
		// Decisions wait for the next tick, so that no report's answer is late
		// behind one; what they have changed is recorded at once.
		_, tick := in.(Tick)
		c.lead.settle(tick)
	}
	return c.out
}

// Visits counts the looks at machines that this core's decisions took while it
// has led: what they cost, independent of any clock.
func (c *Core) Visits() int {
	if c.lead == nil {
		return 0
	}
	return c.lead.passes.visits
}

func (c *Core) onTick() {
	c.tickElection()
	c.tickTypes()
	c.tickPreload()
	c.tickUsers()
	c.tickForwards()
	if c.now >= c.digestAt {
		c.digestAt = c.now + c.ttl()/4
		c.sendDigest()
		c.tickVisitors()
	}
	if c.lead != nil {
		c.lead.tick()
	}
}

func (c *Core) call(k Call, f func(Result)) {
	c.nextCall++
	k.ID = c.nextCall
	c.calls[k.ID] = f
	c.out.Calls = append(c.out.Calls, k)
}

func (c *Core) answer(id uint64, status int, v any, retryAfter int) {
	body := []byte("{}")
	if v != nil {
		body = encode(v)
	}
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Status: status, Body: body, RetryAfter: retryAfter})
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Only values of this program's own types come here.
		panic("core: encode: " + err.Error())
	}
	return b
}

// storeTimeout bounds a call to the state service. It is a ratio of the
// workers' lease: several tries must fit before a lease runs out.
func (c *Core) storeTimeout() time.Duration { return c.lease() / 5 }

// commitTimeout bounds a transaction. Its answer takes milliseconds, or the few
// hundred that the service takes now and then; one that does not come may never
// come. Every transaction here is conditional on what it changes, so it can be
// sent again: whichever copy is carried out first, the other one does nothing.
// Waiting for storeTimeout, a leader placed nothing for seconds after each
// transaction that got no answer, and users' questions were answered too late.
func (c *Core) commitTimeout() time.Duration { return c.report() / 3 }

// maxTxnBytes bounds the values of a transaction, of which the state service takes
// 64 KiB in all; writeOverhead is what a change takes beside its value, at most.
const (
	maxTxnBytes   = 48 << 10
	writeOverhead = 200
)

// limits are those of the state service that hold now and later, as far as they
// were announced or have shown.
func (c *Core) limits() config.State {
	b := c.cfg.Deployment.State.Bound()
	if c.fewerOps > 0 {
		b.TxnOps = min(b.TxnOps, c.fewerOps)
	}
	return b
}

// maxConds is how many conditions a transaction may have.
func (c *Core) maxConds() int { return 4 * c.limits().TxnOps }

// refusedTxn takes in that the service found a transaction malformed: its limits
// are lower than they were said to be. Else what does not fit would be sent again
// for ever, and hold up everything behind it.
func (c *Core) refusedTxn(writes int) {
	if writes > 2 {
		c.fewerOps = max(2, writes*3/4)
		c.log.Info("the state service takes fewer changes at a time", "changes", c.fewerOps)
	}
}

func (c *Core) lease() time.Duration  { return config.Seconds(c.cfg.Deployment.Workers.LeaseS) }
func (c *Core) report() time.Duration { return config.Seconds(c.cfg.Deployment.Workers.ReportS) }

func (c *Core) get(key string, f func(Result)) {
	c.call(Call{Dest: DestStore, Method: "GET", Path: "/store/" + key, Timeout: c.storeTimeout()}, f)
}

func (c *Core) commit(t *wire.Txn, urgent bool, f func(Result)) {
	if t.If == nil {
		t.If = []wire.Cond{}
	}
	if t.Writes == nil {
		t.Writes = []wire.Write{}
	}
	c.call(Call{Dest: DestStore, Method: "POST", Path: "/commit", Body: encode(t), Timeout: c.commitTimeout(),
		Writes: len(t.Writes), Urgent: urgent}, func(r Result) {
		c.noteStore(r)
		f(r)
	})
}

// noteStore keeps track of whether the state service answers this controller.
func (c *Core) noteStore(r Result) {
	if r.Status == 0 || r.Status == 503 {
		if c.users.storeBadSince == 0 {
			c.users.storeBadSince = c.now
		}
	} else if r.Status != 429 {
		c.users.storeBadSince = 0
	}
}

func (c *Core) storeOK() bool { return c.users.storeBadSince == 0 }

// tickTypes asks the cloud for its machine types now and then, and keeps the
// last answer in the state service so that a restart during an outage of the
// cloud can still validate submissions.
func (c *Core) tickTypes() {
	period := 20 * time.Second
	if len(c.types) == 0 {
		period = time.Second
	}
	if c.typesBusy || c.typesAt != 0 && c.now < c.typesAt+period {
		return
	}
	c.typesBusy = true
	c.typesAt = c.now
	c.call(Call{Dest: DestCloud, Method: "GET", Path: "/machine_types", Timeout: 3 * time.Second}, func(r Result) {
		c.typesBusy = false
		if r.Status == 200 && c.setTypes(r.Body) {
			if raw := string(r.Body); c.lead != nil && raw != c.typesRaw && len(raw) <= c.maxValue() {
				c.typesRaw = raw
				c.commit(&wire.Txn{If: []wire.Cond{c.lead.termCond()}, Writes: []wire.Write{{Put: keyTypes, Value: r.Body}}}, false, func(Result) {})
			}
			return
		}
		if len(c.types) == 0 {
			c.get(keyTypes, func(r Result) {
				var it wire.Item
				if r.Status == 200 && json.Unmarshal(r.Body, &it) == nil && len(c.types) == 0 {
					c.setTypes(it.Value)
				}
			})
		}
	})
}

func (c *Core) setTypes(body []byte) bool {
	var t wire.MachineTypes
	if json.Unmarshal(body, &t) != nil || len(t.Types) == 0 {
		return false
	}
	types := map[string]*wire.MachineType{}
	for i := range t.Types {
		types[t.Types[i].Name] = &t.Types[i]
	}
	c.types = types
	return true
}

// sortedKeys returns a map's keys in order, so that no map order shows.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func taskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }
