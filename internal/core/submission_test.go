package core

import (
	"fmt"
	"strings"
	"testing"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestSubmissionFields changes one field of a good submission at a time.
func TestSubmissionFields(t *testing.T) {
	const (
		text    = `"some"`
		empty   = `""`
		number  = `4.0`
		boolean = `true`
		object  = `{}`
		list    = `["large"]`
	)
	badAmounts := []string{
		omitted, `null`, text, `"4.0"`, empty, boolean, object, `[4]`, `-0.5`, `-1`, `-1e300`, `1e300`, `1e999`, `-1e999`,
		`1000000001`, `NaN`, `Infinity`, `-Infinity`, `04`, `4.`, `.4`, `+4`, `0x4`, `1e`,
	}
	badTexts := []string{omitted, `null`, empty, number, boolean, object, `["some"]`, "\"a\nb\"", "\"\xff\"", `"\x"`, `some`}
	badBooleans := []string{omitted, `null`, `0`, `1`, `"true"`, empty, object, `[true]`, `True`, `truely`}
	name := func(n int) string { return `"` + strings.Repeat("n", n) + `"` }
	for _, tc := range []struct {
		field         string
		accepted      []string
		bad           []string // 400
		unsatisfiable []string // 422
	}{
		{
			"nameId",
			[]string{`"job-0"`, `"job-000412"`, `"job-` + strings.Repeat("9", 40) + `"`, `"\u006aob-1"`},
			append([]string{
				`"job-"`, `"job"`, `"412"`, `"Job-1"`, `"job-1a"`, `"job--1"`, `" job-1"`, `"job-1 "`, `"job-1/0"`, `"job-1\u0000"`, `"job-٣"`,
				`"job-` + strings.Repeat("9", 41) + `"`,
			}, badTexts...), nil,
		},
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
		{
			"hulls",
			[]string{omitted, `null`, `["small","large"]`, `["large","large"]`, `["none","large"]`},
			[]string{text, empty, number, boolean, object, `[1]`, `[null]`, `["large",null]`, `["large",1]`, `[""]`, `["large",""]`, `[["large"]]`, `["large",]`, `[{}]`, `{"0":"large"}`},
			[]string{`[]`, `["none"]`, `["Large"]`, `["small"]`, `["large` + strings.Repeat(`","large`, 3000) + `"]`},
		},
		{"berth", []string{omitted, `null`, `"b"`, `"c"`}, []string{empty, number, boolean, object, `["b"]`}, []string{`"a"`, `"d"`, `"B"`}},
		{"together", []string{`false`}, badBooleans, nil},
		{"apart", nil, badBooleans, []string{`true`}}, // it is together
		{"standby", []string{`false`}, badBooleans, nil},
		{"guessS", []string{`0`, `1e9`}, badAmounts, nil},
		{"markS", []string{`0`, `1e9`}, badAmounts, nil},
		{"stowS", []string{`0`, `1e9`}, badAmounts, nil},
		{"dueS", []string{omitted, `null`, `0`, `0.5`, `1e9`}, badAmounts[2:], nil},
	} {
		for status, values := range map[int][]string{201: tc.accepted, 400: tc.bad, 422: tc.unsatisfiable} {
			for _, value := range values {
				t.Run(fmt.Sprintf("%s %.60s", tc.field, value), func(t *testing.T) {
					expectSubmission(t, body(tc.field, value), status)
				})
			}
		}
	}
}

// expectSubmission submits a body to a controller that knows the machine types, and to one that
// does not: a malformed body is refused by both, any other waits for the types.
func expectSubmission(t *testing.T, body string, status int) {
	t.Helper()
	if a := newHarness(t, testMachineTypes).request("POST", "/submissions", body); a.Status != status {
		t.Errorf("%d %s, want %d", a.Status, a.Body, status)
	}
	want := 503
	if status == 400 {
		want = 400
	}
	if a := newHarness(t, "").request("POST", "/submissions", body); a.Status != want || (want == 503) != (a.RetryAfterS > 0) {
		t.Errorf("without types: %d %s, Retry-After %d, want %d", a.Status, a.Body, a.RetryAfterS, want)
	}
}

// TestSubmissionBodies submits bodies that are JSON or not, and jobs that can run or not.
func TestSubmissionBodies(t *testing.T) {
	good := body()
	for _, tc := range []struct {
		name   string
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
		t.Run(tc.name, func(t *testing.T) {
			if a := newHarness(t, testMachineTypes).request("POST", "/submissions", tc.body); a.Status != tc.status {
				t.Errorf("%d %s, want %d", a.Status, a.Body, tc.status)
			}
		})
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
		t.Run(tc.name, func(t *testing.T) {
			first := newHarness(t, testMachineTypes)
			if a := first.request("POST", "/submissions", body()); a.Status != 201 {
				t.Fatalf("accepted: %d %s", a.Status, a.Body)
			}
			if tc.final != "" {
				first.write(records.FinalKey(id), records.OpenKey(id), []byte(tc.final))
			}
			fresh := newHarness(t, testMachineTypes)
			fresh.store, fresh.revision = first.store, first.revision
			for _, at := range []*harness{first, fresh} {
				expectRepeatsRecognized(t, at, tc.want)
				if tc.final != "" {
					expectStatus(t, "cancelled", at.request("POST", "/submissions/"+id+"/cancel", ""), tc.want)
				}
			}
		})
	}
}

// expectRepeats repeats the submission of a job with a status. What cannot run any more, or never
// could, is a repeat as well.
func expectRepeatsRecognized(t *testing.T, at *harness, want wire.JobStatus) {
	t.Helper()
	for _, repeat := range []string{body(), body(), body("crew", `"gone"`), body("hulls", `[]`)} {
		expectStatus(t, "repeated", at.request("POST", "/submissions", repeat), want)
	}
	if a := at.request("POST", "/submissions", body("cpus", omitted)); a.Status != 400 {
		t.Errorf("malformed with a known id: %d %s, want 400", a.Status, a.Body)
	}
}

// expectStatus compares an answer with a job's status.
func expectStatus(t *testing.T, what string, a Answer, want wire.JobStatus) {
	t.Helper()
	var got wire.JobStatus
	if err := stdjson.Unmarshal(a.Body, &got); err != nil || a.Status != 200 || got != want {
		t.Errorf("%s: %d %s, want 200 %+v", what, a.Status, a.Body, want)
	}
}

// FuzzSubmission checks that no body stops a controller, and that what it
// accepts is JSON, within the bounds, and recorded as it was read.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(body()))
	for _, field := range validFields {
		for _, v := range []string{omitted, `null`, `""`, `-1`, `1e999`, `[null]`, `{}`, `"\ud800"`, `1e-320`} {
			f.Add([]byte(body(field[0], v)))
		}
	}
	f.Add([]byte(body() + "x"))
	f.Add([]byte(`{"cpus":1,"cpus":2}`))
	f.Add([]byte(`{"x":[[[[`))
	f.Fuzz(func(t *testing.T, in []byte) {
		harness := newHarness(t, testMachineTypes)
		a := harness.request("POST", "/submissions", string(in))
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
		var record records.Open
		item := harness.store[records.OpenKey(got.ID)]
		if err := stdjson.Unmarshal(item.Value, &record); err != nil || record.Job.ID != got.ID {
			t.Fatalf("recorded %s: %v", item.Value, err)
		}
		if len(item.Value) > 16<<10 {
			t.Fatalf("a record of %d bytes", len(item.Value))
		}
		amountInRange := func(amount float64) bool { return amount >= 0 && amount <= 1e9 }
		if job := record.Job; job.Tasks < 1 || job.Tasks > 100000 || !amountInRange(job.CPUs) || !amountInRange(job.GPUs) || !amountInRange(job.MemGB) || !amountInRange(job.ImageGB) ||
			!amountInRange(job.EstimatedRunS) || !amountInRange(job.CheckpointIntervalS) || !amountInRange(job.CheckpointDurationS) || job.DeadlineS != nil && !amountInRange(*job.DeadlineS) {
			t.Fatalf("recorded %s", item.Value)
		}
	})
}
