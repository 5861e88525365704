//go:build review

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

// kvStore is the state service of the protocol page, in memory.
type kvStore struct {
	latency time.Duration
	txnOps  int
	valueKB float64

	mu        sync.Mutex
	keys      map[string]kvItem
	revision  uint64
	log       []kvChange
	leases    map[uint64]*kvLease
	lastLease uint64
	changed   chan struct{} // closed and replaced at each change
}

type kvItem struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

type kvChange struct {
	Put     string          `json:"put,omitempty"`
	Delete  string          `json:"delete,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"stamp"`
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

type kvCondition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

type kvWrite struct {
	Put    string          `json:"put"`
	Delete string          `json:"delete"`
	Value  json.RawMessage `json:"v"`
	Lease  uint64          `json:"permit"`
}

type kvTxn struct {
	If     []kvCondition `json:"if"`
	Writes []kvWrite     `json:"writes"`
}

func newKVStore(txnOps int, valueKB float64) *kvStore {
	s := &kvStore{
		latency: 3 * time.Millisecond, txnOps: txnOps, valueKB: valueKB,
		keys: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

// expireLeases ends the leases that were not renewed in time.
func (s *kvStore) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and the keys attached to it.
func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, item := range s.keys {
		if item.Lease == id {
			attached = append(attached, key)
		}
	}
	for _, key := range attached {
		s.revision++
		s.apply(kvWrite{Delete: key})
	}
}

// apply applies one write at the present revision.
func (s *kvStore) apply(w kvWrite) {
	change := kvChange{Put: w.Put, Delete: w.Delete, Value: w.Value, Version: s.revision}
	if w.Put != "" {
		s.keys[w.Put] = kvItem{Key: w.Put, Value: w.Value, Version: s.revision, Lease: w.Lease}
	} else {
		delete(s.keys, w.Delete)
	}
	s.log = append(s.log, change)
	if len(s.log) > 10000 {
		s.log = s.log[len(s.log)-10000:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store on a loopback address and returns the address.
func (s *kvStore) listen() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, http.HandlerFunc(s.serve)) //nolint:errcheck // ends with the process
	return listener.Addr().String(), nil
}

func (s *kvStore) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.latency)
	path := r.URL.Path
	switch {
	case path == "/commit":
		status, answer := s.commit(body)
		writeJSON(w, status, answer)
	case path == "/changes":
		s.changes(w, r)
	case path == "/store":
		s.list(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.read(w, strings.TrimPrefix(path, "/store/"))
	case strings.HasPrefix(path, "/grants"):
		s.grants(w, r, body)
	default:
		writeJSON(w, 400, map[string]any{})
	}
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		status = 500
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	w.Write(encoded) //nolint:errcheck // the client may be gone
}

func (s *kvStore) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, 404, map[string]any{"logline": revision})
		return
	}
	writeJSON(w, 200, item)
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("under"), r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	rows, size := []kvItem{}, 0
	for _, name := range names {
		size += len(s.keys[name].Value) + len(name) + 60
		if len(rows) >= limit || size > 512<<10 {
			break
		}
		rows = append(rows, s.keys[name])
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, 200, map[string]any{"rows": rows, "truncated": len(rows) < len(names), "logline": revision})
}

// commit executes a transaction.
func (s *kvStore) commit(body []byte) (int, any) {
	var txn kvTxn
	if json.Unmarshal(body, &txn) != nil || !s.withinLimits(&txn, len(body)) {
		return 400, map[string]any{"error": "malformed or too large"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 400, map[string]any{"error": "no such lease"}
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
		s.revision++
	}
	for _, w := range txn.Writes {
		s.apply(w)
	}
	return 200, map[string]any{"logline": s.revision}
}

func (s *kvStore) withinLimits(txn *kvTxn, size int) bool {
	if len(txn.Writes) > s.txnOps || len(txn.If) > 4*s.txnOps || size > 64<<10 {
		return false
	}
	for _, w := range txn.Writes {
		if float64(len(w.Value)) > s.valueKB*1024 {
			return false
		}
	}
	return true
}

// grants serves the requests for leases.
func (s *kvStore) grants(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/grants" {
		var request struct {
			TTLMs int `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTLMs < 100 || request.TTLMs > 600000 {
			writeJSON(w, 400, map[string]any{})
			return
		}
		s.lastLease++
		ttl := time.Duration(request.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = &kvLease{ttl: ttl, end: time.Now().Add(ttl)}
		writeJSON(w, 200, map[string]any{"permit": s.lastLease})
		return
	}
	id, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend"), 10, 64)
	lease := s.leases[id]
	switch {
	case err != nil || lease == nil:
		writeJSON(w, 404, map[string]any{})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		writeJSON(w, 200, map[string]any{})
	default:
		lease.end = time.Now().Add(lease.ttl)
		writeJSON(w, 200, map[string]any{"permit": id})
	}
}

// changes serves a watch.
func (s *kvStore) changes(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("under")
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("holdMs"))
	deadline := time.After(time.Duration(holdMS) * time.Millisecond)
	for {
		found, revision, changed := s.changesAfter(prefix, since)
		if len(found) > 0 {
			writeJSON(w, 200, map[string]any{"logline": revision, "log": found})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, 200, map[string]any{"logline": revision, "log": []kvChange{}})
			return
		}
	}
}

func (s *kvStore) changesAfter(prefix string, since uint64) (found []kvChange, revision uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.log {
		if change.Version > since && strings.HasPrefix(change.Put+change.Delete, prefix) {
			found = append(found, change)
		}
	}
	return found, s.revision, s.changed
}
