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

type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type watcher struct {
	under string
	since uint64
	reply func(int, []byte)
	over  bool
}

type change struct {
	wire.Event
	key string
	rev uint64
}

// stateService stands in for the state service.
type stateService struct {
	w         *World
	rev       uint64
	keys      map[string]*entry
	log       []change
	leases    map[uint64]time.Duration // end
	ttl       map[uint64]time.Duration
	next      uint64
	watchers  []*watcher
	outage    time.Duration
	refuse    map[string]time.Duration // by node
	reqs      *budget.Bucket
	writes    *budget.Bucket
	busy      int // requests turned away for the rates
	changes   int // puts and deletes carried out
	late      late
	slow      time.Duration // what it takes over a request
	slowUntil time.Duration
	refused   int           // transactions beyond its limits that were turned away
	down      time.Duration // how long it has been out in all
	limits    *config.State // the limits that it has come to have, or nil
}

func newStore(w *World) *stateService {
	s := &stateService{w: w, rev: 100, keys: map[string]*entry{}, leases: map[uint64]time.Duration{}, ttl: map[uint64]time.Duration{},
		refuse: map[string]time.Duration{}, reqs: budget.New(w.cfg.Deployment.State.RPS, w.cfg.Deployment.State.RPS),
		writes: budget.New(w.cfg.Deployment.State.WriteRPS, w.cfg.Deployment.State.WriteRPS)}
	w.after(50*time.Millisecond, s.expire)
	return s
}

func (s *stateService) expire() {
	s.w.after(50*time.Millisecond, s.expire)
	if s.w.now < s.outage {
		s.down += 50 * time.Millisecond
		return
	}
	for id := uint64(1); id <= s.next; id++ {
		if end, ok := s.leases[id]; ok && s.w.now > end {
			s.end(id)
		}
	}
}

func (s *stateService) end(id uint64) {
	delete(s.leases, id)
	var drop []string
	for k, e := range s.keys {
		if e.lease == id {
			drop = append(drop, k)
		}
	}
	sort.Strings(drop)
	if len(drop) > 0 {
		s.rev++
		for _, k := range drop {
			delete(s.keys, k)
			s.log = append(s.log, change{wire.Event{Delete: k, Version: s.rev}, k, s.rev})
		}
		s.notify()
	}
}

func (s *stateService) beginOutage(d time.Duration) {
	s.outage = s.w.now + d
	s.w.after(d, func() {
		for id := range s.leases {
			s.leases[id] = s.w.now + s.ttl[id]
		}
		s.notify()
	})
}

// sender answers a request with a status and a value.
type sender func(status int, v any)

// handle serves a request of a controller.
func (s *stateService) handle(from, method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, v any) {
		b, _ := json.Marshal(v)
		reply(status, b)
	}
	if s.w.now < s.outage || s.w.now < s.refuse[from] {
		send(503, struct{}{})
		return
	}
	if _, ok := s.reqs.TakeAt(s.w.clock(), 1, false, 0); !ok {
		s.busy++
		send(429, struct{}{})
		return
	}
	u, _ := url.Parse(path)
	switch {
	case method == "GET" && u.Path == "/store":
		send(200, s.page(u.Query()))
	case method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		s.get(strings.TrimPrefix(u.Path, "/store/"), send)
	case method == "GET" && u.Path == "/changes":
		s.watch(u.Query(), send, reply)
	case method == "POST" && u.Path == "/commit":
		s.takeTxn(body, send)
	case method == "POST" && u.Path == "/grants":
		s.grant(body, send)
	case method == "POST" && strings.HasSuffix(u.Path, "/extend"):
		s.extend(strings.Split(u.Path, "/")[2], send)
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
func (s *stateService) page(q url.Values) wire.Page {
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit == 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.Page{Items: []wire.Item{}, Revision: s.rev}
	size := 0
	for _, k := range keys {
		if size += len(k) + len(s.keys[k].value); len(p.Items) >= limit || size > maxPageBytes {
			p.More = true
			break
		}
		p.Items = append(p.Items, wire.Item{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
	}
	return p
}

func (s *stateService) get(key string, send sender) {
	e := s.keys[key]
	if e == nil {
		send(404, wire.TxnResult{Revision: s.rev})
		return
	}
	send(200, wire.Item{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
}

// watch answers once keys have changed, or when its time is over.
func (s *stateService) watch(q url.Values, send sender, reply func(int, []byte)) {
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	if len(s.log) >= maxLog && since < s.log[0].rev {
		send(410, struct{}{})
		return
	}
	wt := &watcher{under: q.Get("under"), since: since, reply: reply}
	if s.offer(wt) {
		return
	}
	s.watchers = append(s.watchers, wt)
	hold, _ := strconv.Atoi(q.Get("holdMs"))
	s.w.after(time.Duration(hold)*time.Millisecond, func() {
		if !wt.over {
			wt.over = true
			send(200, wire.Changes{Revision: s.rev, Events: []wire.Event{}})
		}
	})
}

// takeTxn takes a transaction: carries it out, does so late and unanswered, or
// refuses it.
func (s *stateService) takeTxn(body []byte, send sender) {
	var t wire.Txn
	if json.Unmarshal(body, &t) != nil {
		send(400, struct{}{})
		return
	}
	if len(body) > maxTxnBytes {
		s.w.check.broken("limits", "a transaction of %d bytes", len(body))
	}
	s.judge(&t)
	if s.tooLarge(&t) {
		s.refused++
		send(400, map[string]string{"error": "too large"})
		return
	}
	if _, ok := s.writes.TakeAt(s.w.clock(), float64(len(t.Writes)), false, 0); !ok {
		s.busy++
		send(429, struct{}{})
		return
	}
	if s.late.strikes(s.w) {
		s.w.after(2*time.Second+time.Duration(s.w.rng.Int64N(int64(10*time.Second))), func() { s.commitLate(&t) })
		return
	}
	s.commit(&t, send)
}

func (s *stateService) grant(body []byte, send sender) {
	var g wire.GrantRequest
	json.Unmarshal(body, &g)
	s.next++
	s.ttl[s.next] = time.Duration(g.TTLMs) * time.Millisecond
	s.leases[s.next] = s.w.now + s.ttl[s.next]
	send(200, wire.Grant{Lease: s.next})
}

func (s *stateService) extend(lease string, send sender) {
	id, _ := strconv.ParseUint(lease, 10, 64)
	if _, ok := s.leases[id]; !ok {
		send(404, struct{}{})
		return
	}
	s.leases[id] = s.w.now + s.ttl[id]
	send(200, struct{}{})
}

// slowly carries a request out after the time that the service takes over it.
func (s *stateService) slowly(f func()) {
	if s.w.now < s.slowUntil {
		s.w.after(s.slow, f)
		return
	}
	f()
}

// judge holds a transaction to the limits in the settings: of those that come
// later, to the number of operations at all times.
func (s *stateService) judge(t *wire.Txn) {
	d := s.w.cfg.Deployment.State
	ops := d.TxnOps
	if d.Next != nil {
		ops = min(ops, d.Next.TxnOps)
	}
	if len(t.Writes) > ops || len(t.If) > 4*ops {
		s.w.check.broken("limits", "a transaction of %d writes and %d conditions", len(t.Writes), len(t.If))
	}
	for _, w := range t.Writes {
		if float64(len(w.Value)) > d.ValueKB*1024 {
			s.w.check.broken("limits", "a value of %d bytes", len(w.Value))
		}
	}
}

// limit has the service turn away what is beyond new limits. What is stored stays.
func (s *stateService) limit(to config.State) {
	s.limits = &to
	s.writes = budget.New(to.WriteRPS, to.WriteRPS)
}

// tooLarge tells whether a transaction is beyond the limits that the service has
// come to have.
func (s *stateService) tooLarge(t *wire.Txn) bool {
	if s.limits == nil {
		return false
	}
	for _, w := range t.Writes {
		if float64(len(w.Value)) > s.limits.ValueKB*1024 {
			return true
		}
	}
	return len(t.Writes) > s.limits.TxnOps || len(t.If) > 4*s.limits.TxnOps
}

// commitLate carries out a transaction that nobody waits for any more, after
// newer ones. One that falls into an outage waits for its end.
func (s *stateService) commitLate(t *wire.Txn) {
	if s.w.now < s.outage {
		s.w.after(s.outage-s.w.now+time.Millisecond, func() { s.commitLate(t) })
		return
	}
	if !s.tooLarge(t) {
		s.commit(t, func(int, any) {})
	}
}

// commit carries a transaction out if its conditions hold.
func (s *stateService) commit(t *wire.Txn, send sender) {
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			send(400, map[string]string{"error": "no such lease"})
			return
		}
	}
	if failed := s.failedConds(t); failed != nil {
		send(409, wire.TxnResult{Failed: failed, Revision: s.rev})
		return
	}
	if len(t.Writes) > 0 {
		s.rev++
		s.changes += len(t.Writes)
		for _, w := range t.Writes {
			s.apply(w)
		}
		s.notify()
	}
	send(200, wire.TxnResult{Revision: s.rev})
}

// failedConds lists the keys whose conditions do not hold.
func (s *stateService) failedConds(t *wire.Txn) []string {
	var failed []string
	for _, c := range t.If {
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
func (s *stateService) apply(w wire.Write) {
	if w.Delete == "" {
		s.keys[w.Put] = &entry{w.Value, s.rev, w.Lease}
		s.log = append(s.log, change{wire.Event{Put: w.Put, Value: w.Value, Version: s.rev}, w.Put, s.rev})
		return
	}
	if s.keys[w.Delete] != nil {
		delete(s.keys, w.Delete)
		s.log = append(s.log, change{wire.Event{Delete: w.Delete, Version: s.rev}, w.Delete, s.rev})
	}
}

// offer answers a watcher if keys of its have changed.
func (s *stateService) offer(wt *watcher) bool {
	var ch wire.Changes
	newer := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev > wt.since })
	for _, c := range s.log[newer:] {
		if strings.HasPrefix(c.key, wt.under) {
			ch.Events = append(ch.Events, c.Event)
		}
	}
	if ch.Events == nil || s.w.now < s.outage {
		return false
	}
	ch.Revision = s.rev
	b, _ := json.Marshal(ch)
	wt.over = true
	wt.reply(200, b)
	return true
}

// maxLog is how many changes the service keeps.
const maxLog = 10000

func (s *stateService) notify() {
	if over := len(s.log) - maxLog; over > 0 {
		s.log = s.log[over:]
	}
	var keep []*watcher
	for _, wt := range s.watchers {
		if !wt.over && !s.offer(wt) {
			keep = append(keep, wt)
		}
	}
	s.watchers = keep
}
