package wake

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Status codes of the state service's answers.
const (
	storeOK       = 200
	storeNotFound = 404
	storeConflict = 409
	storeGone     = 410
)

// Controller is the state machine of one controller.
type Controller struct {
	name    string
	run     uint64
	reg     *Registry
	store   Store
	servers Servers
	host    Host
	log     *slog.Logger

	models  map[string]*model
	names   []string // of the models, in order
	drivers map[string]versioned[liveness]
	slots   versioned[slots]

	listed   bool // the records are known
	listing  bool
	revision uint64
	watching bool
	retryAt  time.Duration // no call to the state service before, after one without an answer

	lease      uint64
	leaseUntil time.Duration // the lease holds until then for certain; 0 for none
	leaseBusy  bool
	leaseNext  time.Duration
}

// model is what a controller knows of a model.
type model struct {
	Model
	record versioned[Record]
	line   line
	asking map[uint64]*Request // handed to the copy, by ID
	busy   bool                // a transaction on its record is under way
	drive  driving
	failed time.Duration // when the record last showed one more failed wake
	tried  time.Duration // when the copy last did not take a request
}

// New makes a controller. run has to differ from that of any other run of the program.
func New(name string, run uint64, reg *Registry, store Store, servers Servers, host Host, log *slog.Logger) *Controller {
	c := &Controller{
		name: name, run: run, reg: reg, store: store, servers: servers, host: host, log: log,
		models: map[string]*model{}, drivers: map[string]versioned[liveness]{},
	}
	for _, m := range reg.Models {
		c.models[m.Name] = &model{Model: m, line: line{limit: reg.MaxWaiting}, asking: map[uint64]*Request{}}
		c.names = append(c.names, m.Name)
	}
	sort.Strings(c.names)
	return c
}

// leaseTime is how long a driver passes for alive.
func (c *Controller) leaseTime() time.Duration { return seconds(c.reg.LeaseS) }

// pace is the time between two looks at a copy, and between tries at what failed.
func (c *Controller) pace() time.Duration { return c.leaseTime() / 8 }

// Handle takes in a request. It gets exactly one reply.
func (c *Controller) Handle(r *Request) {
	m := c.models[r.Model]
	switch {
	case m == nil:
		c.host.Reply(r.ID, Reply{Status: StatusUnknown})
	case c.host.Now() >= r.Until:
		c.host.Reply(r.ID, Reply{Status: StatusGivenUp})
	case !m.line.push(r):
		c.host.Reply(r.ID, Reply{Status: StatusUnavailable, RetryS: retryAfter(m)})
	default:
		c.advance(m)
	}
}

// retryAfter is when a client whose request was refused is to come back, in seconds: by
// then the copy may have loaded.
func retryAfter(m *model) int { return int(math.Ceil(m.LoadS)) }

// Tick tells the controller that time has passed.
func (c *Controller) Tick() {
	now := c.host.Now()
	c.keepLease(now)
	c.keepView(now)
	for _, name := range c.names {
		m := c.models[name]
		c.giveUp(m, now)
		c.advance(m)
	}
}

// giveUp answers the requests whose clients give up, waiting or handed on, at once.
func (c *Controller) giveUp(m *model, now time.Duration) {
	for _, r := range m.line.expired(now) {
		c.host.Reply(r.ID, Reply{Status: StatusGivenUp})
	}
	for _, id := range sortedIDs(m.asking) {
		if now >= m.asking[id].Until {
			delete(m.asking, id)
			c.host.Reply(id, Reply{Status: StatusGivenUp})
		}
	}
}

func sortedIDs(m map[uint64]*Request) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// advance does for a model what its record and its line ask for.
func (c *Controller) advance(m *model) {
	if !c.listed {
		return
	}
	if c.drives(m) {
		c.driveOn(m)
	}
	switch m.record.value.Phase {
	case Awake:
		c.askAll(m)
	case Asleep, "":
		if len(m.line.requests) > 0 && c.mayWake(m) {
			c.claim(m)
		}
	}
	if c.orphaned(m) {
		c.takeOver(m)
	}
}

// askAll hands the requests that wait to the copy.
func (c *Controller) askAll(m *model) {
	if len(m.line.requests) == 0 || c.host.Now() < m.tried+c.pace() && m.tried != 0 {
		return
	}
	server := m.record.value.Server
	for _, r := range m.line.take() {
		m.asking[r.ID] = r
		c.servers.Ask(server, r, func(o Outcome, body []byte) { c.onAsked(m, r, o, body) })
	}
}

// onAsked takes in what became of a request.
func (c *Controller) onAsked(m *model, r *Request, o Outcome, body []byte) {
	if m.asking[r.ID] != r {
		return // given up meanwhile
	}
	delete(m.asking, r.ID)
	if o == Served {
		m.tried = 0
		c.host.Reply(r.ID, Reply{Status: StatusServed, Body: body})
		return
	}
	// The copy is closing, has gone or is out of reach: what is on record will say so. The
	// request keeps its place.
	m.tried = c.host.Now()
	m.line.pushBack(r)
}

// mayWake tells whether a wake may begin: a copy that failed to come up is tried again after
// a while that doubles each time, and only so many models wake at once.
func (c *Controller) mayWake(m *model) bool {
	if len(c.slots.value.Waking) >= c.reg.MaxWaking {
		return false
	}
	fails := m.record.value.Fails
	if fails == 0 {
		return true
	}
	wait := seconds(m.LoadS) << min(fails-1, maxBackoffDoublings)
	return c.host.Now() >= m.failed+wait
}

// maxBackoffDoublings bounds the time between two wakes of a copy that does not come up.
const maxBackoffDoublings = 4

// registered tells whether this controller's key shows that it is alive, and for how long
// that holds at the least.
func (c *Controller) registered() bool {
	return c.lease != 0 && c.host.Now() < c.leaseUntil && c.drivers[c.name].value.Run == c.run
}

// drives tells whether this run of this controller drives a model's copy.
func (c *Controller) drives(m *model) bool {
	r := &m.record.value
	return r.Driver == c.name && r.Run == c.run && r.Phase != Asleep
}

// orphaned tells whether a model's driver is gone: its key is.
func (c *Controller) orphaned(m *model) bool {
	r := &m.record.value
	if r.Phase == Asleep || r.Phase == "" || c.drives(m) {
		return false
	}
	return c.drivers[r.Driver].value.Run != r.Run
}

// claim records that this controller wakes a model.
func (c *Controller) claim(m *model) {
	r := m.record.value
	next := Record{Phase: Waking, Epoch: r.Epoch + 1, Driver: c.name, Run: c.run, Fails: r.Fails,
		Server: m.Servers[int(r.Epoch)%len(m.Servers)]}
	if r.Fails == 0 {
		next.Server = m.Servers[0]
	}
	c.change(m, next, slotTaken)
}

// takeOver records that this controller drives a copy whose driver is gone. The server stays:
// it alone may hold the copy.
func (c *Controller) takeOver(m *model) {
	next := m.record.value
	next.Epoch++
	next.Driver, next.Run = c.name, c.run
	c.log.Info("take over copy", "model", m.Name, "from", m.record.value.Driver, "phase", next.Phase, "epoch", next.Epoch)
	c.change(m, next, slotKept)
}

// slotChange is what a change of a record does to the list of models that are waking.
type slotChange int

const (
	slotKept slotChange = iota
	slotTaken
	slotFreed
)

// change writes a model's record, on the condition that nothing has changed since it was
// read and that this controller's key still stands.
func (c *Controller) change(m *model, next Record, slot slotChange) {
	now := c.host.Now()
	if m.busy || !c.registered() || now < c.retryAt {
		return
	}
	txn := &wire.Txn{
		If:     []wire.Cond{{Key: modelKey(m.Name), Version: m.record.version}, {Key: driverKey(c.name), Version: c.drivers[c.name].version}},
		Writes: []wire.Write{{Put: modelKey(m.Name), Value: encode(next)}},
	}
	if old := m.record.value; c.orphaned(m) {
		txn.If = append(txn.If, wire.Cond{Key: driverKey(old.Driver), Version: c.drivers[old.Driver].version})
	}
	nextSlots := c.slots.value
	if slot != slotKept {
		nextSlots = slots{Waking: withSlot(c.slots.value.Waking, m.Name, slot)}
		txn.If = append(txn.If, wire.Cond{Key: slotsKey, Version: c.slots.version})
		txn.Writes = append(txn.Writes, wire.Write{Put: slotsKey, Value: encode(nextSlots)})
	}
	m.busy = true
	c.store.Commit(txn, func(status int, body []byte) {
		m.busy = false
		var result wire.TxnResult
		switch {
		case status == storeOK && json.Unmarshal(body, &result) == nil:
			c.noteRecord(m, versioned[Record]{next, result.Revision})
			if slot != slotKept {
				c.noteSlots(versioned[slots]{nextSlots, result.Revision})
			}
			c.advance(m)
		default:
			// Overtaken, or nobody knows: what is on record decides, also where the
			// transaction is carried out later.
			c.relist()
			if status != storeConflict {
				c.retryAt = c.host.Now() + c.pace()
			}
		}
	})
}

// withSlot is the list of waking models after a change.
func withSlot(waking []string, name string, change slotChange) []string {
	out := []string{}
	for _, w := range waking {
		if w != name {
			out = append(out, w)
		}
	}
	if change == slotTaken {
		out = append(out, name)
	}
	return out
}
