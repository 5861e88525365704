package sim

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/budget"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// keyValueStore simulates the consensus-backed key-value store. It is not replicated: the
// replication of the real store is not visible to clients.
type keyValueStore struct {
	world     *World
	revision  uint64
	keys      map[string]*storeEntry
	changeLog []change // the last maxLoggedChanges
	watchers  []*watcher

	leaseEnds map[uint64]time.Duration
	leaseTTLs map[uint64]time.Duration
	lastLease uint64

	requestBudget *budget.Bucket
	writeBudget   *budget.Bucket

	// Faults.
	outageUntil    time.Duration
	refusedUntil   map[string]time.Duration // by controller
	slowUntil      time.Duration
	latency        time.Duration // of requests until slowUntil
	delayedCommits randomFault
	reducedLimits  *config.StoreLimits // lower limits that are in force; nil for none

	// Counts for reports and expectations.
	throttled   int           // requests rejected for exceeding the rates
	rejected    int           // transactions rejected for exceeding reducedLimits
	changeCount int           // puts and deletes applied
	downtime    time.Duration // total duration of outages
}

// storeEntry is the value of a key with its version and lease.
type storeEntry struct {
	value   json.RawMessage
	version uint64
	lease   uint64 // 0 for none
}

// initialRevision is the revision of an empty store. It is above 0, the version of a key that
// does not exist.
const initialRevision = 100

// leaseCheckInterval is the time between two checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

func newKeyValueStore(world *World) *keyValueStore {
	limits := world.settings.Deployment.Store
	s := &keyValueStore{
		world: world, revision: initialRevision, keys: map[string]*storeEntry{},
		leaseEnds: map[uint64]time.Duration{}, leaseTTLs: map[uint64]time.Duration{}, refusedUntil: map[string]time.Duration{},
		requestBudget: budget.New(limits.RPS, limits.RPS), writeBudget: budget.New(limits.WriteRPS, limits.WriteRPS),
	}
	world.after(leaseCheckInterval, s.expireLeases)
	return s
}

// expireLeases ends expired leases. During an outage no lease ends.
func (s *keyValueStore) expireLeases() {
	s.world.after(leaseCheckInterval, s.expireLeases)
	if s.world.now < s.outageUntil {
		s.downtime += leaseCheckInterval
		return
	}
	for id := uint64(1); id <= s.lastLease; id++ {
		if end, ok := s.leaseEnds[id]; ok && s.world.now > end {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys attached to it.
func (s *keyValueStore) endLease(id uint64) {
	delete(s.leaseEnds, id)
	var attached []string
	for key, entry := range s.keys {
		if entry.lease == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	slices.Sort(attached)
	s.revision++
	for _, key := range attached {
		s.delete(key)
	}
	s.notifyWatchers()
}

// beginOutage makes the store reject every request for a duration. After it, every lease has its
// full TTL again.
func (s *keyValueStore) beginOutage(duration time.Duration) {
	s.outageUntil = s.world.now + duration
	s.world.after(duration, func() {
		for id := range s.leaseEnds {
			s.leaseEnds[id] = s.world.now + s.leaseTTLs[id]
		}
		s.notifyWatchers()
	})
}

// responder answers a request with a status and a message, which it encodes as JSON.
type responder func(status int, message any)

// emptyBody is the body of an answer without data besides its status.
var emptyBody = struct{}{}

// handle serves a request of a controller. It rejects the request during an outage, if the store
// refuses this controller, or if the request exceeds the request rate.
func (s *keyValueStore) handle(from, method, path string, body []byte, reply func(int, []byte)) {
	if method == "POST" {
		reply = s.world.repeatWhenAnswered(storeEndpoint, reply, func(reply func(int, []byte)) { s.serve(from, method, path, body, reply) })
	}
	s.serve(from, method, path, body, reply)
}

// serve is handle without copies of the request.
func (s *keyValueStore) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	send := func(status int, message any) { reply(status, encode(message)) }
	if s.world.now < s.outageUntil || s.world.now < s.refusedUntil[from] {
		send(httpstatus.ServiceUnavailable, emptyBody)
		return
	}
	if _, ok := s.requestBudget.ReserveAt(s.world.wallClock(), 1, 0); !ok {
		s.throttled++
		send(httpstatus.TooManyRequests, emptyBody)
		return
	}
	target, err := url.Parse(path)
	switch {
	case err != nil:
		send(httpstatus.BadRequest, emptyBody)
	case method == "GET":
		s.handleRead(target, send, reply)
	case method == "POST":
		s.handleWrite(target.Path, body, send)
	default:
		send(httpstatus.BadRequest, emptyBody)
	}
}

// handleRead serves a listing, a read of one key, or a watch.
func (s *keyValueStore) handleRead(target *url.URL, send responder, reply func(int, []byte)) {
	key, isKey := strings.CutPrefix(target.Path, "/store/")
	switch {
	case target.Path == "/store":
		send(httpstatus.OK, s.page(target.Query()))
	case isKey:
		s.get(key, send)
	case target.Path == "/changes":
		s.watch(target.Query(), send, reply)
	default:
		send(httpstatus.BadRequest, emptyBody)
	}
}

// handleWrite serves a transaction, or a request about a lease.
func (s *keyValueStore) handleWrite(path string, body []byte, send responder) {
	switch {
	case path == "/commit":
		s.handleTxn(body, send)
	case path == "/grants":
		s.grantLease(body, send)
	case strings.HasSuffix(path, "/extend"):
		s.extendLease(strings.Split(path, "/")[2], send)
	default:
		send(httpstatus.BadRequest, emptyBody)
	}
}

// withLatency runs serve after the current latency of the store.
func (s *keyValueStore) withLatency(serve func()) {
	if s.world.now < s.slowUntil {
		s.world.after(s.latency, serve)
		return
	}
	serve()
}

// Limits of a page of items.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// page returns a page of the items whose keys have the prefix "under" and follow the key "since" of
// the query, in the order of the keys.
func (s *keyValueStore) page(query url.Values) wire.Page {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit == 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	page := wire.Page{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !strings.HasPrefix(key, query.Get("under")) || key <= query.Get("since") {
			continue
		}
		entry := s.keys[key]
		size += len(key) + len(entry.value)
		if len(page.Items) >= limit || size > maxPageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, wire.Item{Key: key, Value: entry.value, Version: entry.version})
	}
	return page
}

func (s *keyValueStore) get(key string, send responder) {
	entry := s.keys[key]
	if entry == nil {
		send(httpstatus.NotFound, wire.TxnResult{Revision: s.revision})
		return
	}
	send(httpstatus.OK, wire.Item{Key: key, Value: entry.value, Version: entry.version, Lease: entry.lease})
}

func (s *keyValueStore) grantLease(body []byte, send responder) {
	var request wire.GrantRequest
	decode(body, &request)
	s.lastLease++
	s.leaseTTLs[s.lastLease] = time.Duration(request.TTLMs) * time.Millisecond
	s.leaseEnds[s.lastLease] = s.world.now + s.leaseTTLs[s.lastLease]
	send(httpstatus.OK, wire.Grant{Lease: s.lastLease})
}

func (s *keyValueStore) extendLease(lease string, send responder) {
	id, err := strconv.ParseUint(lease, 10, 64)
	if _, exists := s.leaseEnds[id]; err != nil || !exists {
		send(httpstatus.NotFound, emptyBody)
		return
	}
	s.leaseEnds[id] = s.world.now + s.leaseTTLs[id]
	send(httpstatus.OK, emptyBody)
}
