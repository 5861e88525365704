package core

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/election"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// harness drives a core as its host would: the cloud answers with its machine types if there are
// any, the key-value store from a map.
type harness struct {
	t             testing.TB
	core          *Core
	now           time.Duration
	machineTypes  string
	store         map[string]wire.Item
	revision      uint64
	storeDown     bool // the store answers 503
	lastRequestID uint64
	answers       map[uint64]Answer
	commits       []string // transactions, as they were sent
	afterCommit   func()   // called after each
	afterStep     func()   // called after each step
	// intercept determines the answer to a transaction: what carryOut returns, or another one,
	// with the transaction carried out or not.
	intercept func(txn *wire.Txn, carryOut func() int) int
}

// testMachineTypes has small in the zones a and b, large in b and c, lone in c.
const testMachineTypes = `{"hulls":[
	{"label":"small","cpus":8,"accelerators":0,"memGb":32,"berths":["a","b"]},
	{"label":"large","cpus":96,"accelerators":8,"memGb":768,"berths":["b","c"]},
	{"label":"lone","cpus":8,"accelerators":1,"memGb":32,"berths":["c"]}]}`

// newHarness makes a harness without peers whose core has run for a second; types is the cloud's
// list of machine types, empty for none.
func newHarness(tb testing.TB, types string) *harness {
	tb.Helper()
	cfg := &config.Settings{Name: "n0", Deployment: config.Deployment{
		Zones: []string{"a", "b", "c"},
		Teams: []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 160, GPUsMax: 16}, {Name: "free"}},
		Workers: config.WorkerTimings{
			ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 8,
			CancelS: 35,
		},
		Store:         config.StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Cloud:         config.CloudLimits{RPS: 8, ListLagS: 10},
		MachineLimits: config.MachineLimits{CPU: 0.2, RAMMB: 98, MaxConnections: 800},
	}}
	harness := &harness{
		t: tb, core: New(cfg, nil, 1, nil), now: time.Second, machineTypes: types,
		store: map[string]wire.Item{}, revision: 1, answers: map[uint64]Answer{},
	}
	harness.run(time.Second)
	return harness
}

// step feeds an input, and the result of every call that it leads to.
func (h *harness) step(in Input) {
	out := h.core.Step(h.now, time.Unix(1e9, 0).Add(h.now), in)
	if h.afterStep != nil {
		h.afterStep()
	}
	for _, a := range out.Answers {
		h.answers[a.ID] = a
	}
	for _, call := range out.Calls {
		status, body := h.answerCall(call)
		h.step(Result{ID: call.ID, Status: status, Body: body})
	}
}

// answerCall is the answer to a call: 404 from everything that is not there.
func (h *harness) answerCall(call Call) (status int, body []byte) {
	switch {
	case call.Destination == DestinationStore && h.storeDown:
		return 503, []byte(`{}`)
	case call.Destination == DestinationStore:
		return h.answerStoreCall(call)
	case call.Destination == DestinationCloud && call.Path == "/machine_types" && h.machineTypes != "":
		return 200, []byte(h.machineTypes)
	default:
		return 404, []byte(`{}`)
	}
}

// answerStoreCall is the store's answer to a call.
func (h *harness) answerStoreCall(call Call) (status int, body []byte) {
	switch {
	case call.Path == "/commit":
		h.commits = append(h.commits, string(call.Body))
		status, body = h.commitOrIntercept(call.Body)
		if h.afterCommit != nil {
			h.afterCommit()
		}
		return status, body
	case strings.HasSuffix(call.Path, "/extend"):
		return 200, []byte(`{}`)
	case strings.HasPrefix(call.Path, "/store?"):
		return 200, h.listPage(call.Path)
	}
	key, isKey := strings.CutPrefix(call.Path, "/store/")
	if item, exists := h.store[key]; isKey && exists {
		return 200, kv.Encode(item)
	}
	return 404, []byte(`{}`)
}

// lead makes the core lead under the term that is in the store, which is 5. Its lease holds, and
// no other controller runs.
func (h *harness) startLeading() *leader {
	h.core.election.ObserveLeader(5, h.core.settings.Name)
	leader := newLeader(h.core, election.Leadership{Term: 5, TermVersion: h.store[election.KeyTerm].Version, Lease: 1})
	h.core.leader = leader
	return leader
}

// commitAnswer is the answer to a transaction, as intercept changes it.
func (h *harness) commitOrIntercept(body []byte) (status int, answer []byte) {
	if h.intercept == nil {
		return h.commit(body)
	}
	var txn wire.Txn
	if err := stdjson.Unmarshal(body, &txn); err != nil {
		h.t.Fatalf("transaction %s: %v", body, err)
	}
	status = h.intercept(&txn, func() int {
		var carriedOut int
		carriedOut, answer = h.commit(body)
		return carriedOut
	})
	return status, answer
}

// commit carries out a transaction if its conditions hold.
func (h *harness) commit(body []byte) (int, []byte) {
	var txn wire.Txn
	if err := stdjson.Unmarshal(body, &txn); err != nil {
		h.t.Fatalf("transaction %s: %v", body, err)
	}
	if ops := h.core.settings.Deployment.Store.TxnOps; len(txn.Writes) > ops || len(txn.Conditions) > 4*ops {
		h.t.Fatalf("a transaction of %d writes and %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	result := wire.TxnResult{Revision: h.revision}
	for _, c := range txn.Conditions {
		if h.store[c.Key].Version != c.Version {
			result.Conflicts = append(result.Conflicts, c.Key)
		}
	}
	if result.Conflicts != nil {
		return 409, kv.Encode(result)
	}
	// All writes of a transaction have one revision.
	at := h.revision
	for _, w := range txn.Writes {
		h.revision = at
		h.write(w.Put, w.Delete, w.Value)
	}
	result.Revision = h.revision
	return 200, kv.Encode(result)
}

// pageItems is the size of a page, smaller than the store's so that tests read several.
const pageSize = 20

// page is the answer to a listing.
func (h *harness) listPage(path string) []byte {
	u, err := url.Parse(path)
	if err != nil {
		h.t.Fatal(err)
	}
	page := wire.Page{Revision: h.revision}
	for _, key := range sortedKeys(h.store) {
		if !strings.HasPrefix(key, u.Query().Get("under")) || key <= u.Query().Get("since") {
			continue
		}
		if page.More = len(page.Items) == pageSize; page.More {
			break
		}
		page.Items = append(page.Items, h.store[key])
	}
	return kv.Encode(page)
}

// write changes the store as another controller would: it deletes a key and puts another one.
func (h *harness) write(put, del string, v []byte) {
	h.revision++
	delete(h.store, del)
	if put != "" {
		h.store[put] = wire.Item{Key: put, Value: v, Version: h.revision}
	}
}

// hasEnded reports whether a job's end is on record.
func (h *harness) hasEnded(id string) bool { return h.store[records.FinalKey(id)].Key != "" }

// openRecord is the open record of a job; the zero value if there is none.
func (h *harness) openRecord(id string) records.Open {
	h.t.Helper()
	var record records.Open
	if item, exists := h.store[records.OpenKey(id)]; exists {
		if err := stdjson.Unmarshal(item.Value, &record); err != nil {
			h.t.Fatalf("open record of %s: %v", id, err)
		}
	}
	return record
}

// requestCancellation records that a user wants a job cancelled, as another controller would. It
// returns the record.
func (h *harness) requestCancellation(id string, at int64) records.Open {
	h.t.Helper()
	if h.store[records.OpenKey(id)].Key == "" {
		h.t.Fatalf("%s has no open record", id)
	}
	record := h.openRecord(id)
	record.Cancelled, record.CancelRequestedAt = true, at
	h.write(records.OpenKey(id), "", kv.Encode(record))
	return record
}

// run lets time pass, with ticks.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += 50 * time.Millisecond {
		h.step(Tick{})
	}
}

// request sends a request and returns its answer, which takes 5 s at most.
func (h *harness) request(method, path, body string) Answer {
	h.lastRequestID++
	h.step(Request{ID: h.lastRequestID, Method: method, Path: path, Body: []byte(body)})
	for range 5 {
		if a, ok := h.answers[h.lastRequestID]; ok {
			return a
		}
		h.run(time.Second)
	}
	h.t.Fatalf("%s %s with %s has no answer", method, path, body)
	return Answer{}
}

// validFields is a submission that is accepted, field by field.
var validFields = [][2]string{
	{"nameId", `"job-000412"`},
	{"jobclass", `"train"`},
	{"crew", `"vision"`},
	{"shape", `"group"`},
	{"urgency", `"urgent"`},
	{"shards", `2`},
	{"cpus", `8.0`},
	{"accelerators", `1.0`},
	{"memGb", `16.0`},
	{"bundle", `"img-07"`},
	{"pullGb", `6.2`},
	{"hulls", `["large"]`},
	{"berth", `null`},
	{"together", `true`},
	{"apart", `false`},
	{"standby", `true`},
	{"guessS", `240.0`},
	{"markS", `30.0`},
	{"stowS", `4.0`},
	{"dueS", `900.0`},
}

// missing leaves a field out.
const omitted = "-"

// body is the good submission with some fields changed: name, value, name...
func body(change ...string) string {
	changed := map[string]string{}
	for i := 0; i < len(change); i += 2 {
		changed[change[i]] = change[i+1]
	}
	var parts []string
	for _, f := range validFields {
		v := f[1]
		if n, ok := changed[f[0]]; ok {
			v = n
			delete(changed, f[0])
		}
		if v != omitted {
			parts = append(parts, fmt.Sprintf("%q:%s", f[0], v))
		}
	}
	for _, name := range sortedKeys(changed) {
		parts = append(parts, fmt.Sprintf("%q:%s", name, changed[name]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// testLeadership is that of a term, with version 1 of the term key.
func testLeadership(term uint64) election.Leadership {
	return election.Leadership{Term: term, TermVersion: 1, Lease: 1}
}

// newLeadingHarness makes a harness whose controller leads and has loaded its records.
func newLeadingHarness(t *testing.T, change func(*config.Settings)) (*harness, *leader) {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	change(harness.core.settings)
	harness.write(election.KeyTerm, "", []byte("5"))
	leader := harness.startLeading()
	leader.recordsLoaded = true
	return harness, leader
}

// addRecord writes a job's open record and tells the leader of it.
func addRecord(harness *harness, leader *leader, spec wire.Job, change func(*records.Open)) {
	if spec.Class == "" {
		spec.Class, spec.Team, spec.Shape, spec.Priority, spec.CPUs, spec.MemGB = "c", "vision", wire.ShapeArray, wire.PriorityIdle, 4, 1
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	record := records.Open{Job: spec, SubmittedAt: harness.core.wallClockMS}
	if change != nil {
		change(&record)
	}
	key := records.OpenKey(spec.ID)
	harness.write(key, "", kv.Encode(record))
	leader.applyOpenRecord(spec.ID, harness.store[key].Version, record)
}

// setPeers gives a controller peers that it has not heard yet.
func setPeers(c *Core, peers ...config.Peer) {
	c.settings.Peers = peers
	c.membership = c.newMembership()
}

// jobID is the ID of the job n of a test.
func jobID(n int) string { return "job-" + strconv.Itoa(100+n) }
