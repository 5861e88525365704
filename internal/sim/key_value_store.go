package sim

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type watcher struct {
	prefix   string
	since    uint64
	reply    func(int, []byte)
	answered bool
}

type change struct {
	wire.Event
	key      string
	revision uint64
}

// keyValueStore stands in for the state service.
type keyValueStore struct {
	world          *World
	revision       uint64
	keys           map[string]*storeEntry
	changeLog      []change
	leaseEnds      map[uint64]time.Duration // end
	leaseTTLs      map[uint64]time.Duration
	lastLease      uint64
	watchers       []*watcher
	outageUntil    time.Duration
	refusedUntil   map[string]time.Duration // by node
	requestBudget  *budget.Bucket
	writeBudget    *budget.Bucket
	throttled      int // requests turned away for the rates
	changeCount    int // puts and deletes carried out
	delayedCommits randomFault
	latency        time.Duration // what it takes over a request
	slowUntil      time.Duration
	rejected       int                 // transactions beyond its limits that were turned away
	downtime       time.Duration       // how long it has been out in all
	reducedLimits  *config.StoreLimits // the limits that it has come to have, or nil
}

func newKeyValueStore(world *World) *keyValueStore {
	s := &keyValueStore{world: world, revision: 100, keys: map[string]*storeEntry{}, leaseEnds: map[uint64]time.Duration{}, leaseTTLs: map[uint64]time.Duration{},
		refusedUntil: map[string]time.Duration{}, requestBudget: budget.New(world.settings.Deployment.Store.RPS, world.settings.Deployment.Store.RPS),
		writeBudget: budget.New(world.settings.Deployment.Store.WriteRPS, world.settings.Deployment.Store.WriteRPS)}
	world.after(50*time.Millisecond, s.expireLeases)
	return s
}

func (s *keyValueStore) expireLeases() {
	s.world.after(50*time.Millisecond, s.expireLeases)
	if s.world.now < s.outageUntil {
		s.downtime += 50 * time.Millisecond
		return
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if end, ok := s.leaseEnds[id]; ok && s.world.now > end {
			s.endLease(id)
		}
	}
}

func (s *keyValueStore) endLease(id uint64) {
	delete(s.leaseEnds, id)
	var drop []string
	for k, e := range s.keys {
		if e.lease == id {
			drop = append(drop, k)
		}
	}
	sort.Strings(drop)
	if len(drop) > 0 {
		s.revision++
		for _, k := range drop {
			delete(s.keys, k)
			s.changeLog = append(s.changeLog, change{wire.Event{Delete: k, Version: s.revision}, k, s.revision})
		}
		s.notifyWatchers()
	}
}

func (s *keyValueStore) beginOutage(d time.Duration) {
	s.outageUntil = s.world.now + d
	s.world.after(d, func() {
		for id := range s.leaseEnds {
			s.leaseEnds[id] = s.world.now + s.leaseTTLs[id]
		}
		s.notifyWatchers()
	})
}

// responder answers a request with a status and a value.
type responder func(status int, v any)

// handle serves a request of a controller.
func (s *keyValueStore) handle(from, method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, v any) {
		b, _ := json.Marshal(v)
		reply(status, b)
	}
	if s.world.now < s.outageUntil || s.world.now < s.refusedUntil[from] {
		send(503, struct{}{})
		return
	}
	if _, ok := s.requestBudget.ReserveAt(s.world.wallClock(), 1, 0); !ok {
		s.throttled++
		send(429, struct{}{})
		return
	}
	target, _ := url.Parse(path)
	switch {
	case method == "GET" && target.Path == "/store":
		send(200, s.page(target.Query()))
	case method == "GET" && strings.HasPrefix(target.Path, "/store/"):
		s.get(strings.TrimPrefix(target.Path, "/store/"), send)
	case method == "GET" && target.Path == "/changes":
		s.watch(target.Query(), send, reply)
	case method == "POST" && target.Path == "/commit":
		s.handleTxn(body, send)
	case method == "POST" && target.Path == "/grants":
		s.grantLease(body, send)
	case method == "POST" && strings.HasSuffix(target.Path, "/extend"):
		s.extendLease(strings.Split(target.Path, "/")[2], send)
	default:
		send(400, struct{}{})
	}
}

const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
	maxTxnBytes  = 64 << 10
)

// page lists keys in order.
func (s *keyValueStore) page(query url.Values) wire.Page {
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit == 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, query.Get("under")) && k > query.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := wire.Page{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	for _, k := range keys {
		if size += len(k) + len(s.keys[k].value); len(page.Items) >= limit || size > maxPageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, wire.Item{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
	}
	return page
}

func (s *keyValueStore) get(key string, send responder) {
	e := s.keys[key]
	if e == nil {
		send(404, wire.TxnResult{Revision: s.revision})
		return
	}
	send(200, wire.Item{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
}

// watch answers once keys have changed, or when its time is over.
func (s *keyValueStore) watch(query url.Values, send responder, reply func(int, []byte)) {
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	if len(s.changeLog) >= maxLoggedChanges && since < s.changeLog[0].revision {
		send(410, struct{}{})
		return
	}
	wt := &watcher{prefix: query.Get("under"), since: since, reply: reply}
	if s.notifyWatcher(wt) {
		return
	}
	s.watchers = append(s.watchers, wt)
	hold, _ := strconv.Atoi(query.Get("holdMs"))
	s.world.after(time.Duration(hold)*time.Millisecond, func() {
		if !wt.answered {
			wt.answered = true
			send(200, wire.Changes{Revision: s.revision, Events: []wire.Event{}})
		}
	})
}

// handleTxn takes a transaction: carries it out, does so late and unanswered, or
// refuses it.
func (s *keyValueStore) handleTxn(body []byte, send responder) {
	var txn wire.Txn
	if json.Unmarshal(body, &txn) != nil {
		send(400, struct{}{})
		return
	}
	if len(body) > maxTxnBytes {
		s.world.checker.addViolation("limits", "a transaction of %d bytes", len(body))
	}
	s.checkLimits(&txn)
	if s.exceedsReducedLimits(&txn) {
		s.rejected++
		send(400, map[string]string{"error": "too large"})
		return
	}
	if _, ok := s.writeBudget.ReserveAt(s.world.wallClock(), float64(len(txn.Writes)), 0); !ok {
		s.throttled++
		send(429, struct{}{})
		return
	}
	if s.delayedCommits.occurs(s.world) {
		s.world.after(2*time.Second+time.Duration(s.world.rng.Int64N(int64(10*time.Second))), func() { s.commitDelayed(&txn) })
		return
	}
	s.commit(&txn, send)
}

func (s *keyValueStore) grantLease(body []byte, send responder) {
	var g wire.GrantRequest
	json.Unmarshal(body, &g)
	s.lastLease++
	s.leaseTTLs[s.lastLease] = time.Duration(g.TTLMs) * time.Millisecond
	s.leaseEnds[s.lastLease] = s.world.now + s.leaseTTLs[s.lastLease]
	send(200, wire.Grant{Lease: s.lastLease})
}

func (s *keyValueStore) extendLease(lease string, send responder) {
	id, _ := strconv.ParseUint(lease, 10, 64)
	if _, ok := s.leaseEnds[id]; !ok {
		send(404, struct{}{})
		return
	}
	s.leaseEnds[id] = s.world.now + s.leaseTTLs[id]
	send(200, struct{}{})
}

// withLatency carries a request out after the time that the service takes over it.
func (s *keyValueStore) withLatency(f func()) {
	if s.world.now < s.slowUntil {
		s.world.after(s.latency, f)
		return
	}
	f()
}

// checkLimits holds a transaction to the limits in the settings: of those that come
// later, to the number of operations at all times.
func (s *keyValueStore) checkLimits(txn *wire.Txn) {
	limits := s.world.settings.Deployment.Store
	ops := limits.TxnOps
	if limits.Next != nil {
		ops = min(ops, limits.Next.TxnOps)
	}
	if len(txn.Writes) > ops || len(txn.Conditions) > 4*ops {
		s.world.checker.addViolation("limits", "a transaction of %d writes and %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	for _, write := range txn.Writes {
		if float64(len(write.Value)) > limits.ValueKB*1024 {
			s.world.checker.addViolation("limits", "a value of %d bytes", len(write.Value))
		}
	}
}

// reduceLimits has the service turn away what is beyond new limits. What is stored stays.
func (s *keyValueStore) reduceLimits(to config.StoreLimits) {
	s.reducedLimits = &to
	s.writeBudget = budget.New(to.WriteRPS, to.WriteRPS)
}

// exceedsReducedLimits tells whether a transaction is beyond the limits that the service has
// come to have.
func (s *keyValueStore) exceedsReducedLimits(txn *wire.Txn) bool {
	if s.reducedLimits == nil {
		return false
	}
	for _, write := range txn.Writes {
		if float64(len(write.Value)) > s.reducedLimits.ValueKB*1024 {
			return true
		}
	}
	return len(txn.Writes) > s.reducedLimits.TxnOps || len(txn.Conditions) > 4*s.reducedLimits.TxnOps
}

// commitDelayed carries out a transaction that nobody waits for any more, after
// newer ones. One that falls into an outage waits for its end.
func (s *keyValueStore) commitDelayed(txn *wire.Txn) {
	if s.world.now < s.outageUntil {
		s.world.after(s.outageUntil-s.world.now+time.Millisecond, func() { s.commitDelayed(txn) })
		return
	}
	if !s.exceedsReducedLimits(txn) {
		s.commit(txn, func(int, any) {})
	}
}

// commit carries a transaction out if its conditions hold.
func (s *keyValueStore) commit(txn *wire.Txn, send responder) {
	for _, write := range txn.Writes {
		if _, ok := s.leaseEnds[write.Lease]; write.Lease != 0 && !ok {
			send(400, map[string]string{"error": "no such lease"})
			return
		}
	}
	if failed := s.failedConditions(txn); failed != nil {
		send(409, wire.TxnResult{Conflicts: failed, Revision: s.revision})
		return
	}
	if len(txn.Writes) > 0 {
		s.revision++
		s.changeCount += len(txn.Writes)
		for _, write := range txn.Writes {
			s.apply(write)
		}
		s.notifyWatchers()
	}
	send(200, wire.TxnResult{Revision: s.revision})
}

// failedConditions lists the keys whose conditions do not hold.
func (s *keyValueStore) failedConditions(txn *wire.Txn) []string {
	var failed []string
	for _, c := range txn.Conditions {
		have := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			have = e.version
		}
		if have != c.Version {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// apply makes a change under the present revision.
func (s *keyValueStore) apply(write wire.Write) {
	if write.Delete == "" {
		s.keys[write.Put] = &storeEntry{write.Value, s.revision, write.Lease}
		s.changeLog = append(s.changeLog, change{wire.Event{Put: write.Put, Value: write.Value, Version: s.revision}, write.Put, s.revision})
		return
	}
	if s.keys[write.Delete] != nil {
		delete(s.keys, write.Delete)
		s.changeLog = append(s.changeLog, change{wire.Event{Delete: write.Delete, Version: s.revision}, write.Delete, s.revision})
	}
}

// notifyWatcher answers a watcher if keys of its have changed.
func (s *keyValueStore) notifyWatcher(watcher *watcher) bool {
	var changes wire.Changes
	newer := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > watcher.since })
	for _, c := range s.changeLog[newer:] {
		if strings.HasPrefix(c.key, watcher.prefix) {
			changes.Events = append(changes.Events, c.Event)
		}
	}
	if changes.Events == nil || s.world.now < s.outageUntil {
		return false
	}
	changes.Revision = s.revision
	b, _ := json.Marshal(changes)
	watcher.answered = true
	watcher.reply(200, b)
	return true
}

// maxLoggedChanges is how many changes the service keeps.
const maxLoggedChanges = 10000

func (s *keyValueStore) notifyWatchers() {
	if over := len(s.changeLog) - maxLoggedChanges; over > 0 {
		s.changeLog = s.changeLog[over:]
	}
	var keep []*watcher
	for _, wt := range s.watchers {
		if !wt.answered && !s.notifyWatcher(wt) {
			keep = append(keep, wt)
		}
	}
	s.watchers = keep
}
