package core

import (
	"fmt"
	"net/url"
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

// harness drives a core as its host would: the cloud answers with its machine
// types if there are any, the state service from a map.
type harness struct {
	t           testing.TB
	core        *Core
	now         time.Duration
	types       string
	store       map[string]wire.Item
	revision    uint64
	storeDown   bool // the state service answers 503
	nextReq     uint64
	answers     map[uint64]Answer
	commits     []string // transactions, as they were sent
	afterCommit func()   // called after each
	afterStep   func()   // called after each step
	// intercept changes the answer to a transaction, carried out or, where it
	// refuses it beforehand, not.
	intercept func(txn *wire.Txn, carryOut func() int) int
}

// small is in the zones a and b, large in b and c, lone in c.
const testMachineTypes = `{"hulls":[
	{"label":"small","cpus":8,"accelerators":0,"memGb":32,"berths":["a","b"]},
	{"label":"large","cpus":96,"accelerators":8,"memGb":768,"berths":["b","c"]},
	{"label":"lone","cpus":8,"accelerators":1,"memGb":32,"berths":["c"]}]}`

func newHarness(t testing.TB, types string) *harness {
	cfg := &config.Settings{Name: "n0", Deployment: config.Deployment{
		Zones: []string{"a", "b", "c"},
		Teams: []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 160, GPUsMax: 16}, {Name: "free"}},
		Workers: config.WorkerTimings{ReportS: 1.5, LeaseS: 10, GangWaitS: 50, GangPeerS: 8,
			CancelS: 35},
		Store:         config.StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Cloud:         config.CloudLimits{RPS: 8, ListLagS: 10},
		MachineLimits: config.MachineLimits{CPU: 0.2, RAMMB: 98, MaxConnections: 800},
	}}
	b := &harness{t: t, core: New(cfg, nil, 1, nil), now: time.Second, types: types,
		store: map[string]wire.Item{}, revision: 1, answers: map[uint64]Answer{}}
	b.run(time.Second)
	return b
}

// step feeds an input, and the result of every call that it leads to.
func (b *harness) step(in Input) {
	out := b.core.Step(b.now, time.Unix(1e9, 0).Add(b.now), in)
	if b.afterStep != nil {
		b.afterStep()
	}
	for _, a := range out.Answers {
		b.answers[a.ID] = a
	}
	for _, k := range out.Calls {
		r := Result{ID: k.ID, Status: 404, Body: []byte(`{}`)}
		switch {
		case k.Destination == DestinationStore && b.storeDown:
			r.Status = 503
		case k.Destination == DestinationCloud && k.Path == "/machine_types" && b.types != "":
			r.Status, r.Body = 200, []byte(b.types)
		case k.Destination == DestinationStore && k.Path == "/commit":
			b.commits = append(b.commits, string(k.Body))
			r.Status, r.Body = b.commitAnswer(k.Body)
			if b.afterCommit != nil {
				b.afterCommit()
			}
		case k.Destination == DestinationStore && strings.HasSuffix(k.Path, "/extend"):
			r.Status = 200
		case k.Destination == DestinationStore && strings.HasPrefix(k.Path, "/store?"):
			r.Status, r.Body = 200, b.page(k.Path)
		case k.Destination == DestinationStore && strings.HasPrefix(k.Path, "/store/"):
			if it, ok := b.store[strings.TrimPrefix(k.Path, "/store/")]; ok {
				r.Status, r.Body = 200, kv.Encode(it)
			}
		}
		b.step(r)
	}
}

// lead has the core lead under the term that is in the store, which is 5. Its lease
// holds; nobody else runs.
func (b *harness) lead() *leader {
	b.core.election.ObserveLeader(5, b.core.settings.Name)
	l := newLeader(b.core, election.Leadership{Term: 5, TermVersion: b.store[election.KeyTerm].Version, Lease: 1})
	b.core.leader = l
	return l
}

// commitAnswer is the answer to a transaction.
func (b *harness) commitAnswer(body []byte) (status int, answer []byte) {
	if b.intercept == nil {
		return b.commit(body)
	}
	var txn wire.Txn
	if err := stdjson.Unmarshal(body, &txn); err != nil {
		b.t.Fatalf("transaction %s: %v", body, err)
	}
	status = b.intercept(&txn, func() int {
		var carriedOut int
		carriedOut, answer = b.commit(body)
		return carriedOut
	})
	return status, answer
}

func (b *harness) commit(body []byte) (int, []byte) {
	var txn wire.Txn
	if err := stdjson.Unmarshal(body, &txn); err != nil {
		b.t.Fatalf("transaction %s: %v", body, err)
	}
	if ops := b.core.settings.Deployment.Store.TxnOps; len(txn.Writes) > ops || len(txn.Conditions) > 4*ops {
		b.t.Fatalf("a transaction of %d changes and %d conditions", len(txn.Writes), len(txn.Conditions))
	}
	tr := wire.TxnResult{Revision: b.revision}
	for _, c := range txn.Conditions {
		if b.store[c.Key].Version != c.Version {
			tr.Conflicts = append(tr.Conflicts, c.Key)
		}
	}
	if tr.Conflicts != nil {
		return 409, kv.Encode(tr)
	}
	// All changes of a transaction have one revision.
	at := b.revision
	for _, w := range txn.Writes {
		b.revision = at
		b.write(w.Put, w.Delete, w.Value)
	}
	tr.Revision = b.revision
	return 200, kv.Encode(tr)
}

// pageItems is the size of a page, smaller than the service's so that tests read
// several.
const pageItems = 20

func (b *harness) page(path string) []byte {
	u, err := url.Parse(path)
	if err != nil {
		b.t.Fatal(err)
	}
	page := wire.Page{Revision: b.revision}
	for _, key := range sortedKeys(b.store) {
		if !strings.HasPrefix(key, u.Query().Get("under")) || key <= u.Query().Get("since") {
			continue
		}
		if page.More = len(page.Items) == pageItems; page.More {
			break
		}
		page.Items = append(page.Items, b.store[key])
	}
	return kv.Encode(page)
}

func (b *harness) write(put, del string, v []byte) {
	b.revision++
	delete(b.store, del)
	if put != "" {
		b.store[put] = wire.Item{Key: put, Value: v, Version: b.revision}
	}
}

func (b *harness) run(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += 50 * time.Millisecond {
		b.step(Tick{})
	}
}

func (b *harness) request(method, path, body string) Answer {
	b.nextReq++
	b.step(Request{ID: b.nextReq, Method: method, Path: path, Body: []byte(body)})
	for i := 0; i < 5; i++ {
		if a, ok := b.answers[b.nextReq]; ok {
			return a
		}
		b.run(time.Second)
	}
	b.t.Fatalf("%s %s with %s has no answer", method, path, body)
	return Answer{}
}

// goodFields is a submission that is accepted, field by field.
var goodFields = [][2]string{
	{"nameId", `"job-000412"`}, {"jobclass", `"train"`}, {"crew", `"vision"`}, {"shape", `"group"`},
	{"urgency", `"urgent"`}, {"shards", `2`}, {"cpus", `8.0`}, {"accelerators", `1.0`}, {"memGb", `16.0`},
	{"bundle", `"img-07"`}, {"pullGb", `6.2`}, {"hulls", `["large"]`}, {"berth", `null`}, {"together", `true`},
	{"apart", `false`}, {"standby", `true`}, {"guessS", `240.0`}, {"markS", `30.0`}, {"stowS", `4.0`}, {"dueS", `900.0`},
}

// missing leaves a field out.
const missing = "-"

// body is the good submission with some fields changed: name, value, name...
func body(change ...string) string {
	to := map[string]string{}
	for i := 0; i < len(change); i += 2 {
		to[change[i]] = change[i+1]
	}
	var parts []string
	for _, f := range goodFields {
		v := f[1]
		if n, ok := to[f[0]]; ok {
			v = n
			delete(to, f[0])
		}
		if v != missing {
			parts = append(parts, fmt.Sprintf("%q:%s", f[0], v))
		}
	}
	for _, name := range sortedKeys(to) {
		parts = append(parts, fmt.Sprintf("%q:%s", name, to[name]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func TestSubmissionFields(t *testing.T) {
	const (
		text   = `"some"`
		empty  = `""`
		number = `4.0`
		truth  = `true`
		object = `{}`
		list   = `["large"]`
	)
	badAmounts := []string{missing, `null`, text, `"4.0"`, empty, truth, object, `[4]`, `-0.5`, `-1`, `-1e300`, `1e300`, `1e999`, `-1e999`,
		`1000000001`, `NaN`, `Infinity`, `-Infinity`, `04`, `4.`, `.4`, `+4`, `0x4`, `1e`}
	badTexts := []string{missing, `null`, empty, number, truth, object, `["some"]`, "\"a\nb\"", "\"\xff\"", `"\x"`, `some`}
	badTruths := []string{missing, `null`, `0`, `1`, `"true"`, empty, object, `[true]`, `True`, `truely`}
	name := func(n int) string { return `"` + strings.Repeat("n", n) + `"` }
	for _, tc := range []struct {
		field    string
		accepted []string
		bad      []string // 400
		never    []string // 422
	}{
		{"nameId", []string{`"job-0"`, `"job-000412"`, `"job-` + strings.Repeat("9", 40) + `"`, `"\u006aob-1"`},
			append([]string{`"job-"`, `"job"`, `"412"`, `"Job-1"`, `"job-1a"`, `"job--1"`, `" job-1"`, `"job-1 "`, `"job-1/0"`, `"job-1\u0000"`, `"job-٣"`,
				`"job-` + strings.Repeat("9", 41) + `"`}, badTexts...), nil},
		{"jobclass", []string{`"any"`, `"two words"`}, badTexts, []string{name(20000)}},
		{"crew", []string{`"free"`}, badTexts, []string{`"none"`, `"Vision"`, `"vision "`, name(20000)}},
		{"shape", []string{`"array"`, `"daemon"`}, append([]string{`"gang"`, `"Group"`, `"service"`}, badTexts...), nil},
		{"urgency", []string{`"critical"`, `"normal"`, `"idle"`}, append([]string{`"low"`, `"Idle"`}, badTexts...), nil},
		{"shards", []string{`1`, `4.0`, `16`, `1e1`}, append([]string{`0`, `0.5`, `1.5`, `100001`, `1e6`, `18446744073709551616`}, badAmounts...), []string{`17`, `100000`}},
		{"cpus", []string{`0`, `0.25`, `80`, `1e-20`, `1e-999`, `-0`}, badAmounts, []string{`80.1`, `97`, `1e9`}},
		{"accelerators", []string{`0`, `0.5`, `8`}, badAmounts, []string{`8.5`, `9`, `1e9`}},
		{"memGb", []string{`0`, `768`}, badAmounts, []string{`769`, `1e9`}},
		{"bundle", []string{`"i"`}, badTexts, []string{name(20000)}},
		{"pullGb", []string{`0`, `100`}, badAmounts, nil},
		{"hulls", []string{missing, `null`, `["small","large"]`, `["large","large"]`, `["none","large"]`},
			[]string{text, empty, number, truth, object, `[1]`, `[null]`, `["large",null]`, `["large",1]`, `[""]`, `["large",""]`, `[["large"]]`, `["large",]`, `[{}]`, `{"0":"large"}`},
			[]string{`[]`, `["none"]`, `["Large"]`, `["small"]`, `["large` + strings.Repeat(`","large`, 3000) + `"]`}},
		{"berth", []string{missing, `null`, `"b"`, `"c"`}, []string{empty, number, truth, object, `["b"]`}, []string{`"a"`, `"d"`, `"B"`}},
		{"together", []string{`false`}, badTruths, nil},
		{"apart", nil, badTruths, []string{`true`}}, // it is together
		{"standby", []string{`false`}, badTruths, nil},
		{"guessS", []string{`0`, `1e9`}, badAmounts, nil},
		{"markS", []string{`0`, `1e9`}, badAmounts, nil},
		{"stowS", []string{`0`, `1e9`}, badAmounts, nil},
		{"dueS", []string{missing, `null`, `0`, `0.5`, `1e9`}, badAmounts[2:], nil},
	} {
		for status, values := range map[int][]string{201: tc.accepted, 400: tc.bad, 422: tc.never} {
			for _, v := range values {
				b := newHarness(t, testMachineTypes)
				if a := b.request("POST", "/submissions", body(tc.field, v)); a.Status != status {
					t.Errorf("%s %.60s: %d %s, want %d", tc.field, v, a.Status, a.Body, status)
				}
				// A malformed body stays so; any other waits for the types.
				b = newHarness(t, "")
				want := 503
				if status == 400 {
					want = 400
				}
				if a := b.request("POST", "/submissions", body(tc.field, v)); a.Status != want || (want == 503) != (a.RetryAfter > 0) {
					t.Errorf("%s %.60s without types: %d %s, Retry-After %d, want %d", tc.field, v, a.Status, a.Body, a.RetryAfter, want)
				}
			}
		}
	}
}

func TestSubmissionBodies(t *testing.T) {
	good := body()
	for _, tc := range []struct {
		what   string
		body   string
		status int
	}{
		{"as it should be", good, 201},
		{"white space around", " \t\r\n" + good + "\n ", 201},
		{"unknown fields", body("x", `{"y":[1,null]}`, "NAMEID", `7`, "Cpus", `-1`), 201},
		{"an unknown field twice", strings.Replace(good, "{", `{"x":1,"x":2,`, 1), 201},
		{"nothing", "", 400},
		{"white space", "  ", 400},
		{"null", "null", 400},
		{"a list", "[" + good + "]", 400},
		{"a text", `"job-1"`, 400},
		{"a number", "4", 400},
		{"an empty object", "{}", 400},
		{"cut short", good[:len(good)-1], 400},
		{"a brace too many", good + "}", 400},
		{"two objects", good + good, 400},
		{"text behind", good + "x", 400},
		{"a NUL behind", good + "\x00", 400},
		{"a byte order mark", "\ufeff" + good, 400},
		{"a comma at the end", good[:len(good)-1] + ",}", 400},
		{"single quotes", strings.ReplaceAll(good, `"`, `'`), 400},
		{"a comment", strings.Replace(good, ",", ", /* */", 1), 400},
		{"a field twice", strings.Replace(good, "{", `{"cpus":4,`, 1), 400},
		{"a field twice, null first", strings.Replace(good, "{", `{"cpus":null,`, 1), 400},
		{"a field twice, null last", good[:len(good)-1] + `,"cpus":null}`, 400},
		{"a field in capitals", strings.Replace(good, "cpus", "CPUS", 1), 400},
		{"an unknown field that is not JSON", body("x", "tru"), 400},
		{"an unknown field that is not UTF-8", body("x", "\"\xff\""), 400},
		{"deep and cut short", strings.Repeat("[", 60000), 400},
		{"deep inside and cut short", `{"x":` + strings.Repeat("[", 60000), 400},
		{"a service with an estimate", body("shape", `"daemon"`, "guessS", "5"), 201},
		{"a deadline before the estimate", body("guessS", "900", "dueS", "1"), 201},
		{"an array over the limit as a whole", body("shape", `"array"`, "shards", "100000"), 201},
		{"a gang at the limit of GPUs", body("shards", "16"), 201},
		{"a gang over the limit of GPUs", body("shards", "17"), 422},
		{"a service over the limit of CPUs", body("shape", `"daemon"`, "shards", "3", "cpus", "60", "accelerators", "0"), 422},
		{"no limit", body("crew", `"free"`, "shards", "100000", "cpus", "96"), 201},
		{"a type of another zone", body("hulls", `["small"]`, "accelerators", "0", "berth", `"c"`), 422},
		{"a gang apart", body("together", "false", "apart", "true"), 201},
		{"a gang apart in one zone", body("together", "false", "apart", "true", "berth", `"b"`), 422},
		{"a service apart in one zone runs in parts", body("shape", `"daemon"`, "together", "false", "apart", "true", "berth", `"b"`), 201},
		{"a service apart, types of one zone runs in parts", body("shape", `"daemon"`, "together", "false", "apart", "true", "hulls", `["lone"]`), 201},
		{"a service apart, types of two zones", body("shape", `"daemon"`, "together", "false", "apart", "true"), 201},
		{"an array apart in one zone runs in parts", body("shape", `"array"`, "together", "false", "apart", "true", "berth", `"b"`), 201},
		{"a gang apart and together", body("apart", "true"), 422},
		{"a service apart and together runs in parts", body("shape", `"daemon"`, "apart", "true"), 201},
		{"an array apart and together runs in parts", body("shape", `"array"`, "apart", "true"), 201},
		{"one task apart and together", body("apart", "true", "shards", "1", "berth", `"b"`), 201},
	} {
		if a := newHarness(t, testMachineTypes).request("POST", "/submissions", tc.body); a.Status != tc.status {
			t.Errorf("%s: %d %s, want %d", tc.what, a.Status, a.Body, tc.status)
		}
	}
}

// TestRepeatedSubmission repeats the submission of a job in every state, to
// the controller that accepted it and to one that knows nothing of it.
func TestRepeatedSubmission(t *testing.T) {
	const id = "job-000412"
	for _, tc := range []struct {
		name  string
		final string
		want  wire.JobStatus
	}{
		{"pending", "", wire.JobStatus{ID: id, Status: wire.StatusPending}},
		{"done", `{"s":"done","n":2}`, wire.JobStatus{ID: id, Status: wire.StatusDone, Done: 2}},
		{"cancelled", `{"s":"withdrawn","n":2}`, wire.JobStatus{ID: id, Status: wire.StatusCancelled}},
	} {
		b := newHarness(t, testMachineTypes)
		if a := b.request("POST", "/submissions", body()); a.Status != 201 {
			t.Fatalf("accepted: %d %s", a.Status, a.Body)
		}
		if tc.final != "" {
			b.write(records.FinalKey(id), records.OpenKey(id), []byte(tc.final))
		}
		fresh := newHarness(t, testMachineTypes)
		fresh.store, fresh.revision = b.store, b.revision
		for _, at := range []*harness{b, fresh} {
			// What cannot run any more, or never could, is a repeat as well.
			for _, again := range []string{body(), body(), body("crew", `"gone"`), body("hulls", `[]`)} {
				a := at.request("POST", "/submissions", again)
				var got wire.JobStatus
				if err := stdjson.Unmarshal(a.Body, &got); err != nil || a.Status != 200 || got != tc.want {
					t.Errorf("%s: repeated: %d %s, want 200 %+v", tc.name, a.Status, a.Body, tc.want)
				}
			}
			if a := at.request("POST", "/submissions", body("cpus", missing)); a.Status != 400 {
				t.Errorf("%s: malformed with a known id: %d %s, want 400", tc.name, a.Status, a.Body)
			}
			if tc.final == "" {
				continue
			}
			a := at.request("POST", "/submissions/"+id+"/cancel", "")
			var got wire.JobStatus
			if err := stdjson.Unmarshal(a.Body, &got); err != nil || a.Status != 200 || got != tc.want {
				t.Errorf("%s: cancelled: %d %s, want 200 %+v", tc.name, a.Status, a.Body, tc.want)
			}
		}
	}
}

// FuzzSubmission checks that no body stops a controller, and that what it
// accepts is JSON, within the bounds, and recorded as it was read.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(body()))
	for _, field := range goodFields {
		for _, v := range []string{missing, `null`, `""`, `-1`, `1e999`, `[null]`, `{}`, `"\ud800"`, `1e-320`} {
			f.Add([]byte(body(field[0], v)))
		}
	}
	f.Add([]byte(body() + "x"))
	f.Add([]byte(`{"cpus":1,"cpus":2}`))
	f.Add([]byte(`{"x":[[[[`))
	f.Fuzz(func(t *testing.T, in []byte) {
		b := newHarness(t, testMachineTypes)
		a := b.request("POST", "/submissions", string(in))
		if a.Status != 201 && a.Status != 400 && a.Status != 422 {
			t.Fatalf("%d %s", a.Status, a.Body)
		}
		if a.Status == 400 {
			return
		}
		if !stdjson.Valid(in) {
			t.Fatal("not JSON, but not refused as malformed")
		}
		if a.Status == 422 {
			return
		}
		var got wire.JobStatus
		if err := stdjson.Unmarshal(a.Body, &got); err != nil || got.Status != wire.StatusPending {
			t.Fatalf("answered %s: %v", a.Body, err)
		}
		var rec records.Open
		it := b.store[records.OpenKey(got.ID)]
		if err := stdjson.Unmarshal(it.Value, &rec); err != nil || rec.Job.ID != got.ID {
			t.Fatalf("recorded %s: %v", it.Value, err)
		}
		if len(it.Value) > 16<<10 {
			t.Fatalf("a record of %d bytes", len(it.Value))
		}
		amountInRange := func(amount float64) bool { return amount >= 0 && amount <= 1e9 }
		if j := rec.Job; j.Tasks < 1 || j.Tasks > 100000 || !amountInRange(j.CPUs) || !amountInRange(j.GPUs) || !amountInRange(j.MemGB) || !amountInRange(j.ImageGB) ||
			!amountInRange(j.EstimatedRunS) || !amountInRange(j.CheckpointIntervalS) || !amountInRange(j.CheckpointDurationS) || j.DeadlineS != nil && !amountInRange(*j.DeadlineS) {
			t.Fatalf("recorded %s", it.Value)
		}
	})
}

// testLeadership is what the winner of a term leads by, over a term key of that version.
func testLeadership(term uint64) election.Leadership {
	return election.Leadership{Term: term, TermVersion: 1, Lease: 1}
}
