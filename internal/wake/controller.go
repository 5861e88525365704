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
	name        string
	incarnation uint64
	registry    *Registry
	store       Store
	servers     ModelServers
	host        Host
	log         *slog.Logger

	models      map[string]*modelState
	modelNames  []string // of the models, in order
	controllers map[string]versioned[registration]
	slots       versioned[wakeSlots]

	listed   bool // the records are known
	listing  bool
	revision uint64
	watching bool
	retryAt  time.Duration // no call to the state service before, after one without an answer

	leaseID          uint64
	leaseExpiry      time.Duration // the lease holds until then for certain; 0 for none
	leaseCallPending bool
	nextLeaseCall    time.Duration
}

// modelState is what a controller knows of a model.
type modelState struct {
	Model
	record        versioned[Record]
	queue         queue
	inFlight      map[uint64]*Request // handed to the copy, by ID
	writePending  bool                // a transaction on its record is under way
	ownership     ownership
	lastFailure   time.Duration // when the record last showed one more failed wake
	lastRejection time.Duration // when the copy last did not take a request
}

// New makes a controller. run has to differ from that of any other run of the program.
func New(name string, incarnation uint64, registry *Registry, store Store, servers ModelServers, host Host, log *slog.Logger) *Controller {
	c := &Controller{
		name: name, incarnation: incarnation, registry: registry, store: store, servers: servers, host: host, log: log,
		models: map[string]*modelState{}, controllers: map[string]versioned[registration]{},
	}
	for _, registered := range registry.Models {
		c.models[registered.Name] = &modelState{Model: registered, queue: queue{limit: registry.MaxWaiting}, inFlight: map[uint64]*Request{}}
		c.modelNames = append(c.modelNames, registered.Name)
	}
	sort.Strings(c.modelNames)
	return c
}

// leaseDuration is how long a driver passes for alive.
func (c *Controller) leaseDuration() time.Duration { return seconds(c.registry.LeaseSeconds) }

// pollInterval is the time between two looks at a copy, and between tries at what failed.
func (c *Controller) pollInterval() time.Duration { return c.leaseDuration() / 8 }

// Handle takes in a request. It gets exactly one reply.
func (c *Controller) Handle(request *Request) {
	model := c.models[request.Model]
	switch {
	case model == nil:
		c.host.Reply(request.ID, Reply{Status: StatusNotFound})
	case c.host.Now() >= request.Deadline:
		c.host.Reply(request.ID, Reply{Status: StatusTimeout})
	case !model.queue.push(request):
		c.host.Reply(request.ID, Reply{Status: StatusUnavailable, RetryAfterSeconds: retryAfter(model)})
	default:
		c.reconcile(model)
	}
}

// retryAfter is when a client whose request was refused is to come back, in seconds: by
// then the copy may have loaded.
func retryAfter(model *modelState) int { return int(math.Ceil(model.LoadSeconds)) }

// Tick tells the controller that time has passed.
func (c *Controller) Tick() {
	now := c.host.Now()
	c.maintainLease(now)
	c.maintainView(now)
	for _, name := range c.modelNames {
		model := c.models[name]
		c.expireRequests(model, now)
		c.reconcile(model)
	}
}

// expireRequests answers the requests whose clients give up, waiting or handed on, at once.
func (c *Controller) expireRequests(model *modelState, now time.Duration) {
	for _, request := range model.queue.removeExpired(now) {
		c.host.Reply(request.ID, Reply{Status: StatusTimeout})
	}
	for _, id := range sortedIDs(model.inFlight) {
		if now >= model.inFlight[id].Deadline {
			delete(model.inFlight, id)
			c.host.Reply(id, Reply{Status: StatusTimeout})
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

// reconcile does for a model what its record and its line ask for.
func (c *Controller) reconcile(model *modelState) {
	if !c.listed {
		return
	}
	if c.owns(model) {
		c.reconcileReplica(model)
	}
	switch model.record.value.Phase {
	case PhaseAwake:
		c.forwardAll(model)
	case PhaseAsleep, "":
		if len(model.queue.requests) > 0 && c.mayWake(model) {
			c.claim(model)
		}
	}
	if c.orphaned(model) {
		c.takeOver(model)
	}
}

// forwardAll hands the requests that wait to the copy.
func (c *Controller) forwardAll(model *modelState) {
	if len(model.queue.requests) == 0 || c.host.Now() < model.lastRejection+c.pollInterval() && model.lastRejection != 0 {
		return
	}
	server := model.record.value.Server
	for _, request := range model.queue.drain() {
		model.inFlight[request.ID] = request
		c.servers.Forward(server, request, func(outcome Outcome, body []byte) { c.onForwarded(model, request, outcome, body) })
	}
}

// onForwarded takes in what became of a request.
func (c *Controller) onForwarded(model *modelState, request *Request, outcome Outcome, body []byte) {
	if model.inFlight[request.ID] != request {
		return // given up meanwhile
	}
	delete(model.inFlight, request.ID)
	if outcome == OutcomeServed {
		model.lastRejection = 0
		c.host.Reply(request.ID, Reply{Status: StatusServed, Body: body})
		return
	}
	// The copy is closing, has gone or is out of reach: what is on record will say so. The
	// request keeps its place.
	model.lastRejection = c.host.Now()
	model.queue.pushFront(request)
}

// mayWake tells whether a wake may begin: a copy that failed to come up is tried again after
// a while that doubles each time, and only so many models wake at once.
func (c *Controller) mayWake(model *modelState) bool {
	if len(c.slots.value.Holders) >= c.registry.MaxWaking {
		return false
	}
	fails := model.record.value.Failures
	if fails == 0 {
		return true
	}
	wait := seconds(model.LoadSeconds) << min(fails-1, maxBackoffDoublings)
	return c.host.Now() >= model.lastFailure+wait
}

// maxBackoffDoublings bounds the time between two wakes of a copy that does not come up.
const maxBackoffDoublings = 4

// registered tells whether this controller's key shows that it is alive, and for how long
// that holds at the least.
func (c *Controller) registered() bool {
	return c.leaseID != 0 && c.host.Now() < c.leaseExpiry && c.controllers[c.name].value.Incarnation == c.incarnation
}

// owns tells whether this run of this controller drives a model's copy.
func (c *Controller) owns(model *modelState) bool {
	record := &model.record.value
	return record.Owner == c.name && record.Incarnation == c.incarnation && record.Phase != PhaseAsleep
}

// orphaned tells whether a model's driver is gone: its key is.
func (c *Controller) orphaned(model *modelState) bool {
	record := &model.record.value
	if record.Phase == PhaseAsleep || record.Phase == "" || c.owns(model) {
		return false
	}
	return c.controllers[record.Owner].value.Incarnation != record.Incarnation
}

// claim records that this controller wakes a model.
func (c *Controller) claim(model *modelState) {
	record := model.record.value
	next := Record{Phase: PhaseWaking, Epoch: record.Epoch + 1, Owner: c.name, Incarnation: c.incarnation, Failures: record.Failures,
		Server: model.Servers[int(record.Epoch)%len(model.Servers)]}
	if record.Failures == 0 {
		next.Server = model.Servers[0]
	}
	c.writeRecord(model, next, slotAcquired)
}

// takeOver records that this controller drives a copy whose driver is gone. The server stays:
// it alone may hold the copy.
func (c *Controller) takeOver(model *modelState) {
	next := model.record.value
	next.Epoch++
	next.Owner, next.Incarnation = c.name, c.incarnation
	c.log.Info("take over copy", "model", model.Name, "from", model.record.value.Owner, "phase", next.Phase, "epoch", next.Epoch)
	c.writeRecord(model, next, slotUnchanged)
}

// slotChange is what a change of a record does to the list of models that are waking.
type slotChange int

const (
	slotUnchanged slotChange = iota
	slotAcquired
	slotReleased
)

// writeRecord writes a model's record, on the condition that nothing has changed since it was
// read and that this controller's key still stands.
func (c *Controller) writeRecord(model *modelState, next Record, slot slotChange) {
	now := c.host.Now()
	if model.writePending || !c.registered() || now < c.retryAt {
		return
	}
	txn := &wire.Txn{
		Conditions: []wire.Condition{{Key: modelKey(model.Name), Version: model.record.version}, {Key: controllerKey(c.name), Version: c.controllers[c.name].version}},
		Writes:     []wire.Write{{Put: modelKey(model.Name), Value: encode(next)}},
	}
	if old := model.record.value; c.orphaned(model) {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: controllerKey(old.Owner), Version: c.controllers[old.Owner].version})
	}
	nextSlots := c.slots.value
	if slot != slotUnchanged {
		nextSlots = wakeSlots{Holders: updateSlots(c.slots.value.Holders, model.Name, slot)}
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: slotsKey, Version: c.slots.version})
		txn.Writes = append(txn.Writes, wire.Write{Put: slotsKey, Value: encode(nextSlots)})
	}
	model.writePending = true
	c.store.Commit(txn, func(status int, body []byte) {
		model.writePending = false
		var result wire.TxnResult
		switch {
		case status == storeOK && json.Unmarshal(body, &result) == nil:
			c.applyRecord(model, versioned[Record]{next, result.Revision})
			if slot != slotUnchanged {
				c.applySlots(versioned[wakeSlots]{nextSlots, result.Revision})
			}
			c.reconcile(model)
		default:
			// Overtaken, or nobody knows: what is on record decides, also where the
			// transaction is carried out later.
			c.relist()
			if status != storeConflict {
				c.retryAt = c.host.Now() + c.pollInterval()
			}
		}
	})
}

// updateSlots is the list of waking models after a change.
func updateSlots(waking []string, name string, change slotChange) []string {
	out := []string{}
	for _, w := range waking {
		if w != name {
			out = append(out, w)
		}
	}
	if change == slotAcquired {
		out = append(out, name)
	}
	return out
}
