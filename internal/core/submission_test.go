package core

import (
	"fmt"
	"strings"
	"testing"

	stdjson "encoding/json"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/wire"
)

// TestSubmissionFields submits jobs that differ from a valid submission in one field.
func TestSubmissionFields(t *testing.T) {
	const (
		text    = `"some"`
		empty   = `""`
		number  = `4.0`
		boolean = `true`
		object  = `{}`
		list    = `["large"]`
	)
	malformedAmounts := []string{
		omitted, `null`, text, `"4.0"`, empty, boolean, object, `[4]`, `-0.5`, `-1`, `-1e300`, `1e300`, `1e999`, `-1e999`,
		`1000000001`, `NaN`, `Infinity`, `-Infinity`, `04`, `4.`, `.4`, `+4`, `0x4`, `1e`,
	}
	malformedTexts := []string{omitted, `null`, empty, number, boolean, object, `["some"]`, "\"a\nb\"", "\"\xff\"", `"\x"`, `some`}
	malformedBooleans := []string{omitted, `null`, `0`, `1`, `"true"`, empty, object, `[true]`, `True`, `truely`}
	quotedName := func(n int) string { return `"` + strings.Repeat("n", n) + `"` }
	for _, tc := range []struct {
		field         string
		accepted      []string
		malformed     []string // 400
		unsatisfiable []string // 422
	}{
		{
			"nameId",
			[]string{`"job-0"`, `"job-000412"`, `"job-` + strings.Repeat("9", 40) + `"`, `"\u006aob-1"`},
			append([]string{
				`"job-"`, `"job"`, `"412"`, `"Job-1"`, `"job-1a"`, `"job--1"`, `" job-1"`, `"job-1 "`, `"job-1/0"`, `"job-1\u0000"`, `"job-٣"`,
				`"job-` + strings.Repeat("9", 41) + `"`,
			}, malformedTexts...), nil,
		},
		{"jobclass", []string{`"any"`, `"two words"`}, malformedTexts, []string{quotedName(20000)}},
		{"crew", []string{`"free"`}, malformedTexts, []string{`"none"`, `"Vision"`, `"vision "`, quotedName(20000)}},
		{"shape", []string{`"array"`, `"daemon"`}, append([]string{`"gang"`, `"Group"`, `"service"`}, malformedTexts...), nil},
		{"urgency", []string{`"critical"`, `"normal"`, `"idle"`}, append([]string{`"low"`, `"Idle"`}, malformedTexts...), nil},
		{"shards", []string{`1`, `4.0`, `16`, `1e1`}, append([]string{`0`, `0.5`, `1.5`, `100001`, `1e6`, `18446744073709551616`}, malformedAmounts...), []string{`17`, `100000`}},
		{"cpus", []string{`0`, `0.25`, `80`, `1e-20`, `1e-999`, `-0`}, malformedAmounts, []string{`80.1`, `97`, `1e9`}},
		{"accelerators", []string{`0`, `0.5`, `8`}, malformedAmounts, []string{`8.5`, `9`, `1e9`}},
		{"memGb", []string{`0`, `768`}, malformedAmounts, []string{`769`, `1e9`}},
		{"bundle", []string{`"i"`}, malformedTexts, []string{quotedName(20000)}},
		{"pullGb", []string{`0`, `100`}, malformedAmounts, nil},
		{
			"hulls",
			[]string{omitted, `null`, `["small","large"]`, `["large","large"]`, `["none","large"]`},
			[]string{text, empty, number, boolean, object, `[1]`, `[null]`, `["large",null]`, `["large",1]`, `[""]`, `["large",""]`, `[["large"]]`, `["large",]`, `[{}]`, `{"0":"large"}`},
			[]string{`[]`, `["none"]`, `["Large"]`, `["small"]`, `["large` + strings.Repeat(`","large`, 3000) + `"]`},
		},
		{"berth", []string{omitted, `null`, `"b"`, `"c"`}, []string{empty, number, boolean, object, `["b"]`}, []string{`"a"`, `"d"`, `"B"`}},
		{"together", []string{`false`}, malformedBooleans, nil},
		{"apart", nil, malformedBooleans, []string{`true`}}, // contradicts together
		{"standby", []string{`false`}, malformedBooleans, nil},
		{"guessS", []string{`0`, `1e9`}, malformedAmounts, nil},
		{"markS", []string{`0`, `1e9`}, malformedAmounts, nil},
		{"stowS", []string{`0`, `1e9`}, malformedAmounts, nil},
		{"dueS", []string{omitted, `null`, `0`, `0.5`, `1e9`}, malformedAmounts[2:], nil},
	} {
		for status, values := range map[int][]string{201: tc.accepted, 400: tc.malformed, 422: tc.unsatisfiable} {
			for _, value := range values {
				t.Run(fmt.Sprintf("%s %.60s", tc.field, value), func(t *testing.T) {
					expectSubmission(t, submissionBody(tc.field, value), status)
				})
			}
		}
	}
}

// expectSubmission submits a body to a controller that knows the machine types, and to one that
// does not: both refuse a malformed body, but the latter answers any other body with a request to
// retry.
func expectSubmission(t *testing.T, body string, status int) {
	t.Helper()
	if a := newHarness(t, testMachineTypes).request("POST", "/submissions", body); a.Status != status {
		t.Errorf("submission: got %d %s, want %d", a.Status, a.Body, status)
	}
	want := 503
	if status == 400 {
		want = 400
	}
	if a := newHarness(t, "").request("POST", "/submissions", body); a.Status != want || (want == 503) != (a.RetryAfterS > 0) {
		t.Errorf("submission without machine types: got %d %s, Retry-After %d, want %d", a.Status, a.Body, a.RetryAfterS, want)
	}
}

// TestSubmissionBodies submits well-formed and malformed JSON, and jobs that can and cannot run.
func TestSubmissionBodies(t *testing.T) {
	valid := submissionBody()
	for _, tc := range []struct {
		name   string
		body   string
		status int
	}{
		{"valid", valid, 201},
		{"white space around", " \t\r\n" + valid + "\n ", 201},
		{"unknown fields", submissionBody("x", `{"y":[1,null]}`, "NAMEID", `7`, "Cpus", `-1`), 201},
		{"an unknown field twice", strings.Replace(valid, "{", `{"x":1,"x":2,`, 1), 201},
		{"nothing", "", 400},
		{"white space", "  ", 400},
		{"null", "null", 400},
		{"a list", "[" + valid + "]", 400},
		{"a text", `"job-1"`, 400},
		{"a number", "4", 400},
		{"an empty object", "{}", 400},
		{"cut short", valid[:len(valid)-1], 400},
		{"a brace too many", valid + "}", 400},
		{"two objects", valid + valid, 400},
		{"text behind", valid + "x", 400},
		{"a NUL behind", valid + "\x00", 400},
		{"a byte order mark", "\ufeff" + valid, 400},
		{"a comma at the end", valid[:len(valid)-1] + ",}", 400},
		{"single quotes", strings.ReplaceAll(valid, `"`, `'`), 400},
		{"a comment", strings.Replace(valid, ",", ", /* */", 1), 400},
		{"a field twice", strings.Replace(valid, "{", `{"cpus":4,`, 1), 400},
		{"a field twice, null first", strings.Replace(valid, "{", `{"cpus":null,`, 1), 400},
		{"a field twice, null last", valid[:len(valid)-1] + `,"cpus":null}`, 400},
		{"a field in capitals", strings.Replace(valid, "cpus", "CPUS", 1), 400},
		{"an unknown field that is not JSON", submissionBody("x", "tru"), 400},
		{"an unknown field that is not UTF-8", submissionBody("x", "\"\xff\""), 400},
		{"deep and cut short", strings.Repeat("[", 60000), 400},
		{"deep inside and cut short", `{"x":` + strings.Repeat("[", 60000), 400},
		{"a service with an estimate", submissionBody("shape", `"daemon"`, "guessS", "5"), 201},
		{"a deadline before the estimate", submissionBody("guessS", "900", "dueS", "1"), 201},
		{"an array over the limit as a whole", submissionBody("shape", `"array"`, "shards", "100000"), 201},
		{"a gang at the limit of GPUs", submissionBody("shards", "16"), 201},
		{"a gang over the limit of GPUs", submissionBody("shards", "17"), 422},
		{"a service over the limit of CPUs", submissionBody("shape", `"daemon"`, "shards", "3", "cpus", "60", "accelerators", "0"), 422},
		{"no limit", submissionBody("crew", `"free"`, "shards", "100000", "cpus", "96"), 201},
		{"a type of another zone", submissionBody("hulls", `["small"]`, "accelerators", "0", "berth", `"c"`), 422},
		{"a gang apart", submissionBody("together", "false", "apart", "true"), 201},
		{"a gang apart in one zone", submissionBody("together", "false", "apart", "true", "berth", `"b"`), 422},
		{"a service apart in one zone runs in parts", submissionBody("shape", `"daemon"`, "together", "false", "apart", "true", "berth", `"b"`), 201},
		{"a service apart, types of one zone runs in parts", submissionBody("shape", `"daemon"`, "together", "false", "apart", "true", "hulls", `["lone"]`), 201},
		{"a service apart, types of two zones", submissionBody("shape", `"daemon"`, "together", "false", "apart", "true"), 201},
		{"an array apart in one zone runs in parts", submissionBody("shape", `"array"`, "together", "false", "apart", "true", "berth", `"b"`), 201},
		{"a gang apart and together", submissionBody("apart", "true"), 422},
		{"a service apart and together runs in parts", submissionBody("shape", `"daemon"`, "apart", "true"), 201},
		{"an array apart and together runs in parts", submissionBody("shape", `"array"`, "apart", "true"), 201},
		{"one task apart and together", submissionBody("apart", "true", "shards", "1", "berth", `"b"`), 201},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if a := newHarness(t, testMachineTypes).request("POST", "/submissions", tc.body); a.Status != tc.status {
				t.Errorf("submission: got %d %s, want %d", a.Status, a.Body, tc.status)
			}
		})
	}
}

// TestRepeatedSubmission repeats the submission of a job in every state, to the controller that
// accepted it and to one that has nothing about it in its cache.
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
			if a := first.request("POST", "/submissions", submissionBody()); a.Status != 201 {
				t.Fatalf("first submission: got %d %s, want 201", a.Status, a.Body)
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

// expectRepeatsRecognized repeats the submission of a job with a status. A submission with the ID
// of a known job is a repeat even if it could not run.
func expectRepeatsRecognized(t *testing.T, at *harness, want wire.JobStatus) {
	t.Helper()
	for _, repeat := range []string{submissionBody(), submissionBody(), submissionBody("crew", `"gone"`), submissionBody("hulls", `[]`)} {
		expectStatus(t, "repeated", at.request("POST", "/submissions", repeat), want)
	}
	if a := at.request("POST", "/submissions", submissionBody("cpus", omitted)); a.Status != 400 {
		t.Errorf("malformed submission with a known ID: got %d %s, want 400", a.Status, a.Body)
	}
}

// expectStatus checks that an answer has status 200 and contains a job's status.
func expectStatus(t *testing.T, what string, a Answer, want wire.JobStatus) {
	t.Helper()
	var got wire.JobStatus
	if err := stdjson.Unmarshal(a.Body, &got); err != nil || a.Status != 200 || got != want {
		t.Errorf("%s: got %d %s, want 200 %+v", what, a.Status, a.Body, want)
	}
}

// FuzzSubmission checks that no body makes a controller panic, and that accepted submissions are
// valid JSON, within the bounds, and recorded under the job ID of the answer.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(submissionBody()))
	for _, field := range validFields {
		for _, v := range []string{omitted, `null`, `""`, `-1`, `1e999`, `[null]`, `{}`, `"\ud800"`, `1e-320`} {
			f.Add([]byte(submissionBody(field[0], v)))
		}
	}
	f.Add([]byte(submissionBody() + "x"))
	f.Add([]byte(`{"cpus":1,"cpus":2}`))
	f.Add([]byte(`{"x":[[[[`))
	f.Fuzz(func(t *testing.T, in []byte) {
		harness := newHarness(t, testMachineTypes)
		a := harness.request("POST", "/submissions", string(in))
		if a.Status != 201 && a.Status != 400 && a.Status != 422 {
			t.Fatalf("submission: got %d %s, want 201, 400 or 422", a.Status, a.Body)
		}
		if a.Status == 400 {
			return
		}
		if !stdjson.Valid(in) {
			t.Fatal("body is not JSON, but is not refused with 400")
		}
		if a.Status == 422 {
			return
		}
		var got wire.JobStatus
		if err := stdjson.Unmarshal(a.Body, &got); err != nil || got.Status != wire.StatusPending {
			t.Fatalf("answer 201: got body %s, error %v, want status pending", a.Body, err)
		}
		var record records.Open
		item := harness.store[records.OpenKey(got.ID)]
		if err := stdjson.Unmarshal(item.Value, &record); err != nil || record.Job.ID != got.ID {
			t.Fatalf("open record: got %s, error %v, want the job ID of the answer", item.Value, err)
		}
		if len(item.Value) > 16<<10 {
			t.Fatalf("open record: got %d bytes, want at most 16 KiB", len(item.Value))
		}
		amountInRange := func(amount float64) bool { return amount >= 0 && amount <= 1e9 }
		if job := record.Job; job.Tasks < 1 || job.Tasks > 100000 || !amountInRange(job.CPUs) || !amountInRange(job.GPUs) || !amountInRange(job.MemGB) || !amountInRange(job.ImageGB) ||
			!amountInRange(job.EstimatedRunS) || !amountInRange(job.CheckpointIntervalS) || !amountInRange(job.CheckpointDurationS) || job.DeadlineS != nil && !amountInRange(*job.DeadlineS) {
			t.Fatalf("open record %s has a number out of range", item.Value)
		}
	})
}
