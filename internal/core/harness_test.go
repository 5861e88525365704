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

// harness drives a core as its host would. The cloud responds with machineTypes unless it is empty;
// the key-value store is a map.
type harness struct {
	t             testing.TB
	core          *Core
	now           time.Duration
	machineTypes  string
	store         map[string]wire.Item
	revision      uint64
	storeDown     bool // the store responds with 503
	lastRequestID uint64
	answers       map[uint64]Answer
	commits       []string // bodies of all transactions sent
	afterCommit   func()   // called after each transaction
	afterStep     func()   // called after each step
	// intercept returns the status of the response to a transaction. It may call carryOut, which
	// commits the transaction and returns the store's status, and may return a different status.
	intercept func(txn *wire.Txn, carryOut func() int) int
}

// testMachineTypes has the machine types small in zones a and b, large in b and c, and lone in c.
const testMachineTypes = `{"hulls":[
	{"label":"small","cpus":8,"accelerators":0,"memGb":32,"berths":["a","b"]},
	{"label":"large","cpus":96,"accelerators":8,"memGb":768,"berths":["b","c"]},
	{"label":"lone","cpus":8,"accelerators":1,"memGb":32,"berths":["c"]}]}`

// newHarness returns a harness without peers whose core has run for a second. types is the cloud's
// list of machine types; if empty, the cloud does not list any.
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

// step runs a step with an input, and further steps with the results of the calls that it requests.
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

// answerCall returns the response to a call: 404 unless it is to the store or for the machine
// types.
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

// answerStoreCall returns the store's response to a call.
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

// startLeading makes the core the leader of term 5, which must be the term in the store. Its lease
// does not expire, and no other controller runs.
func (h *harness) startLeading() *leader {
	h.core.election.ObserveLeader(5, h.core.settings.Name)
	leader := newLeader(h.core, election.Leadership{FirstToken: 5, Term: 5 + testTokensPerTerm, TermVersion: h.store[election.KeyTerm].Version, Lease: 1})
	h.core.leader = leader
	return leader
}

// commitOrIntercept returns the response to a transaction: that of intercept, if set, or of commit.
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

// commit commits a transaction if its conditions hold, and returns the store's response.
func (h *harness) commit(body []byte) (int, []byte) {
	var txn wire.Txn
	if err := stdjson.Unmarshal(body, &txn); err != nil {
		h.t.Fatalf("transaction %s: %v", body, err)
	}
	if ops := h.core.settings.Deployment.Store.TxnOps; len(txn.Writes) > ops || len(txn.Conditions) > 4*ops {
		h.t.Fatalf("transaction with %d writes and %d conditions exceeds the store's limits", len(txn.Writes), len(txn.Conditions))
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
	// All writes of a transaction get the same revision.
	at := h.revision
	for _, w := range txn.Writes {
		h.revision = at
		h.write(w.Put, w.Delete, w.Value)
	}
	result.Revision = h.revision
	return 200, kv.Encode(result)
}

// pageSize is the number of items per page, smaller than the store's so that tests read several
// pages.
const pageSize = 20

// listPage returns the response to a listing.
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

// write changes the store as another controller would: it deletes the key del, and sets the key put
// unless that is empty.
func (h *harness) write(put, del string, v []byte) {
	h.revision++
	delete(h.store, del)
	if put != "" {
		h.store[put] = wire.Item{Key: put, Value: v, Version: h.revision}
	}
}

// hasEnded reports whether a job's end is recorded.
func (h *harness) hasEnded(id string) bool { return h.store[records.FinalKey(id)].Key != "" }

// openRecord returns the open record of a job; the zero value if there is none.
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

// requestCancellation records a user's cancellation of a job, as another controller would, and
// returns the new open record.
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

// run advances the time, with a tick every 50 ms.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += 50 * time.Millisecond {
		h.step(Tick{})
	}
}

// request sends a request and returns its answer, which must arrive within 5 s.
func (h *harness) request(method, path, body string) Answer {
	h.lastRequestID++
	h.step(Request{ID: h.lastRequestID, Method: method, Path: path, Body: []byte(body)})
	for range 5 {
		if a, ok := h.answers[h.lastRequestID]; ok {
			return a
		}
		h.run(time.Second)
	}
	h.t.Fatalf("%s %s with body %s: no answer within 5 s", method, path, body)
	return Answer{}
}

// validFields are the fields of a submission that is accepted, as names and JSON values.
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

// omitted is the value that leaves a field out of a submission.
const omitted = "-"

// submissionBody returns a valid submission with some fields changed, given as name, value, name,
// value...
func submissionBody(change ...string) string {
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

// testTokensPerTerm is the number of fencing tokens of a term, besides the first one.
const testTokensPerTerm = 1000

// testLeadership returns the leadership of a term that begins with the given fencing token, with
// version 1 of the term key.
func testLeadership(firstToken uint64) election.Leadership {
	return election.Leadership{FirstToken: firstToken, Term: firstToken + testTokensPerTerm, TermVersion: 1, Lease: 1}
}

// newLeadingHarness returns a harness whose controller is the leader and has loaded the records.
// change may modify the settings before.
func newLeadingHarness(t *testing.T, change func(*config.Settings)) (*harness, *leader) {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	change(harness.core.settings)
	harness.write(election.KeyTerm, "", []byte("5"))
	leader := harness.startLeading()
	leader.recordsLoaded = true
	return harness, leader
}

// addRecord writes a job's open record and applies it on the leader. If the spec has no class, a
// default specification is used; change may modify the record before it is written.
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

// setPeers sets a controller's peers, with none of which it has had contact.
func setPeers(c *Core, peers ...config.Peer) {
	c.settings.Peers = peers
	c.membership = c.newMembership()
}

// jobID returns the ID of job number n of a test.
func jobID(n int) string { return "job-" + strconv.Itoa(100+n) }
