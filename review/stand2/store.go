//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the state service: a sound one, with the requests of the protocol. An
// operator can take a backup of it and restore that.
type store struct {
	address string

	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	keys     map[string]entry
	log      []loggedChange
	leases   map[uint64]*lease
	leaseID  uint64
	down     bool
}

type entry struct {
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type loggedChange struct {
	key      string
	revision uint64
	event    map[string]any
}

// backup is a copy of the store's content.
type backup struct {
	revision uint64
	keys     map[string]entry
}

func newStore(address string) (*store, error) {
	s := &store{address: address, keys: map[string]entry{}, leases: map[uint64]*lease{}}
	s.changed = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, s)
	go s.expire()
	return s, nil
}

// expire ends leases, and wakes the watches so that they see their time.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down && time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, e := range s.keys {
		if e.Lease == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	sort.Strings(attached)
	s.revision++
	for _, key := range attached {
		s.delete(key)
	}
}

func (s *store) put(key string, value json.RawMessage, leaseID uint64) {
	s.keys[key] = entry{value, s.revision, leaseID}
	s.log = append(s.log, loggedChange{key, s.revision, map[string]any{"put": key, "v": value, "stamp": s.revision}})
}

func (s *store) delete(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	delete(s.keys, key)
	s.log = append(s.log, loggedChange{key, s.revision, map[string]any{"delete": key, "stamp": s.revision}})
}

// takeBackup copies the content.
func (s *store) takeBackup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := map[string]entry{}
	for key, e := range s.keys {
		keys[key] = e
	}
	return backup{s.revision, keys}
}

// restore replaces the content by a backup. Leases are not part of one: keys that were attached to a
// lease are gone, as at the end of their leases. The clients are stopped meanwhile.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.keys, s.log, s.leases = b.revision, map[string]entry{}, nil, map[uint64]*lease{}
	for key, e := range b.keys {
		if e.Lease == 0 {
			s.keys[key] = e
		}
	}
	s.changed.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	status, answer := s.serve(r, body)
	s.mu.Unlock()
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // fails if the client has gone
}

var empty = map[string]any{}

func (s *store) serve(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case s.down && path != "/changes":
		return 503, empty
	case r.Method == "GET":
		return s.read(r)
	case r.Method == "POST" && path == "/commit":
		return s.commit(body)
	case r.Method == "POST" && path == "/grants":
		return s.grant(body)
	case strings.HasPrefix(path, "/grants/"):
		return s.changeLease(r.Method, strings.TrimPrefix(path, "/grants/"))
	}
	return 400, empty
}

func (s *store) read(r *http.Request) (int, any) {
	path, query := r.URL.Path, r.URL.Query()
	key, isKey := strings.CutPrefix(path, "/store/")
	switch {
	case isKey:
		return s.get(key)
	case path == "/store":
		return 200, s.page(query.Get("under"), query.Get("since"), query.Get("limit"))
	case path == "/changes":
		since, err := strconv.ParseUint(query.Get("since"), 10, 64)
		hold, holdErr := strconv.Atoi(query.Get("holdMs")) // 0 if it is left out
		if err != nil || query.Has("holdMs") && holdErr != nil || hold < 0 || hold > 60000 {
			return 400, empty
		}
		return s.watch(r, query.Get("under"), since, time.Duration(hold)*time.Millisecond)
	}
	return 400, empty
}

func (s *store) get(key string) (int, any) {
	e, ok := s.keys[key]
	if !ok {
		return 404, map[string]any{"logline": s.revision}
	}
	answer := map[string]any{"k": key, "v": e.Value, "stamp": e.Version}
	if e.Lease != 0 {
		answer["permit"] = e.Lease
	}
	return 200, answer
}

func (s *store) grant(body []byte) (int, any) {
	var request struct {
		TTLMs int `json:"ttlMs"`
	}
	if json.Unmarshal(body, &request) != nil || request.TTLMs < 100 || request.TTLMs > 600000 {
		return 400, empty
	}
	s.leaseID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.leaseID] = &lease{ttl, time.Now().Add(ttl)}
	return 200, map[string]any{"permit": s.leaseID}
}

func (s *store) changeLease(method, rest string) (int, any) {
	number, extend := strings.CutSuffix(rest, "/extend")
	id, err := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case err != nil:
		return 400, empty
	case l == nil:
		return 404, empty
	case method == "POST" && extend:
		l.end = time.Now().Add(l.ttl)
	case method == "DELETE" && !extend:
		s.endLease(id)
		s.changed.Broadcast()
	default:
		return 400, empty
	}
	return 200, empty
}

const (
	maxItems     = 1000
	maxPageBytes = 512 << 10
)

func (s *store) page(under, since, limitText string) any {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > maxItems {
		limit = maxItems
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []any{}, 0, false
	for _, key := range keys {
		e := s.keys[key]
		size += len(key) + len(e.Value) + 40
		if len(rows) >= limit || size > maxPageBytes {
			truncated = true
			break
		}
		rows = append(rows, map[string]any{"k": key, "v": e.Value, "stamp": e.Version})
	}
	return map[string]any{"rows": rows, "truncated": truncated, "logline": s.revision}
}

const keptChanges = 10000

// watch waits for changes. It is called with the store locked.
func (s *store) watch(r *http.Request, under string, since uint64, hold time.Duration) (int, any) {
	end := time.Now().Add(hold)
	for {
		if len(s.log) > keptChanges && since < s.log[len(s.log)-keptChanges-1].revision {
			return 410, empty
		}
		events := s.eventsAfter(under, since)
		if !s.down && (len(events) > 0 || time.Now().After(end)) || r.Context().Err() != nil {
			return 200, map[string]any{"logline": s.revision, "log": events}
		}
		s.changed.Wait()
	}
}

func (s *store) eventsAfter(under string, since uint64) []any {
	events := []any{}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > since })
	for _, change := range s.log[first:] {
		if strings.HasPrefix(change.key, under) {
			events = append(events, change.event)
		}
	}
	return events
}

// transaction is the body of a commit.
type transaction struct {
	If []struct {
		Key     string `json:"k"`
		Version uint64 `json:"stamp"`
	} `json:"if"`
	Writes []write `json:"writes"`
}

type write struct {
	Put    string          `json:"put"`
	Value  json.RawMessage `json:"v"`
	Lease  uint64          `json:"permit"`
	Delete string          `json:"delete"`
}

// refusal returns why a write is refused whatever the conditions; nil if it is not.
func (s *store) refusal(w write) any {
	key := w.Put + w.Delete
	switch {
	case key == "" || len(key) > 200 || strings.Contains(key, " "):
		return empty
	case w.Lease != 0 && s.leases[w.Lease] == nil:
		return map[string]any{"error": "no such lease"}
	}
	return nil
}

func (s *store) commit(body []byte) (int, any) {
	var txn transaction
	if len(body) > 64<<10 || json.Unmarshal(body, &txn) != nil {
		return 400, empty
	}
	for _, w := range txn.Writes {
		if refused := s.refusal(w); refused != nil {
			return 400, refused
		}
	}
	failed := []string{}
	for _, condition := range txn.If {
		if s.keys[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "logline": s.revision}
	}
	if len(txn.Writes) > 0 {
		s.apply(txn.Writes)
	}
	return 200, map[string]any{"logline": s.revision}
}

func (s *store) apply(writes []write) {
	s.revision++
	for _, w := range writes {
		if w.Delete != "" {
			s.delete(w.Delete)
		} else {
			s.put(w.Put, w.Value, w.Lease)
		}
	}
	s.changed.Broadcast()
}
