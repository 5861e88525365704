package core

import (
	"strconv"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
)

// submissionWithDependencies is a submission body of the job n with dependencies.
func submissionWithDependencies(n int, dependencies string) string {
	return strings.TrimSuffix(body("nameId", `"`+jobID(n)+`"`), "}") + `,"awaits":` + dependencies + "}"
}

// Numbers of the jobs that a submission depends on in these tests, by their state.
const (
	openJob           = 1
	doneJob           = 2
	cancelledJob      = 3
	openService       = 4
	jobBeingCancelled = 5
	submittedJob      = 9
)

// dependencyCase is a submission with dependencies and what becomes of it.
type dependencyCase struct {
	name         string
	dependencies string // JSON
	status       int
	state        string // of the answer
	recorded     string // the dependencies on record; "" for none
}

// newHarnessWithDependencies makes a harness with a job in each state.
func newHarnessWithDependencies(t *testing.T) *harness {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	for _, submission := range []string{
		body("nameId", `"`+jobID(openJob)+`"`),
		body("nameId", `"`+jobID(openService)+`"`, "shape", `"daemon"`),
		body("nameId", `"`+jobID(jobBeingCancelled)+`"`),
	} {
		if a := harness.request("POST", "/submissions", submission); a.Status != 201 {
			t.Fatalf("%s: %d %s", submission, a.Status, a.Body)
		}
	}
	harness.write(records.FinalKey(jobID(doneJob)), "", []byte(`{"s":"done","n":16}`))
	harness.write(records.FinalKey(jobID(cancelledJob)), "", []byte(`{"s":"withdrawn","n":16}`))
	harness.requestCancellation(jobID(jobBeingCancelled), 1)
	harness.core.jobCache.RemoveOpen(jobID(jobBeingCancelled))
	return harness
}

// TestDependenciesOfSubmission submits jobs with dependencies in every state, well and badly named.
func TestDependenciesOfSubmission(t *testing.T) {
	open, done, cancelled, service, cancelling := jobID(openJob), jobID(doneJob), jobID(cancelledJob), jobID(openService), jobID(jobBeingCancelled)
	for _, tc := range []dependencyCase{
		{"null", `null`, 201, "pending", ""},
		{"none", `[]`, 201, "pending", ""},
		{"an open job", `["` + open + `"]`, 201, "pending", open},
		{"a name twice", `["` + open + `","` + open + `"]`, 201, "pending", open},
		{"a job that is done", `["` + done + `"]`, 201, "pending", ""},
		{"an open one and one that is done", `["` + done + `","` + open + `"]`, 201, "pending", open},
		{"a cancelled job", `["` + open + `","` + cancelled + `"]`, 201, "withdrawn", ""},
		{"a job that is being cancelled", `["` + cancelling + `"]`, 201, "withdrawn", ""},
		{"a service", `["` + service + `"]`, 422, "", ""},
		{"itself", `["` + jobID(submittedJob) + `"]`, 422, "", ""},
		{"never accepted", `["` + open + `","` + jobID(7) + `"]`, 422, "", ""},
		{"no list", `"` + open + `"`, 400, "", ""},
		{"an object", `{}`, 400, "", ""},
		{"an object with a job", `{"0":"` + open + `"}`, 400, "", ""},
		{"a number", `7`, 400, "", ""},
		{"true", `true`, 400, "", ""},
		{"false", `false`, 400, "", ""},
		{"an empty string", `""`, 400, "", ""},
		{"a list in a list", `[["` + open + `"]]`, 400, "", ""},
		{"an empty list in a list", `[[]]`, 400, "", ""},
		{"an object in a list", `["` + open + `",{}]`, 400, "", ""},
		{"a bool in a list", `[true]`, 400, "", ""},
		{"null after a job", `["` + open + `",null]`, 400, "", ""},
		{"a job id with a space", `["` + open + ` "]`, 400, "", ""},
		{"a job id in capitals", `["JOB-000001"]`, 400, "", ""},
		{"a job id without digits", `["job-"]`, 400, "", ""},
		{"a list that is not closed", `["` + open + `"`, 400, "", ""},
		{"the field twice", `["` + open + `"],"awaits":null`, 400, "", ""},
		{"itself among others", `["` + open + `","` + jobID(submittedJob) + `"]`, 422, "", ""},
		{"a service among others", `["` + done + `","` + service + `"]`, 422, "", ""},
		{"never accepted beside a cancelled one", `["` + cancelled + `","` + jobID(7) + `"]`, 422, "", ""},
		{"a done job twice and an open one twice", `["` + done + `","` + open + `","` + done + `","` + open + `"]`, 201, "pending", open},
		{"numbers", `[1]`, 400, "", ""},
		{"a null name", `[null]`, 400, "", ""},
		{"an empty name", `[""]`, 400, "", ""},
		{"no job id", `["task-000001"]`, 400, "", ""},
	} {
		for _, known := range []bool{true, false} {
			t.Run(tc.name+"/known here "+strconv.FormatBool(known), func(t *testing.T) {
				harness := newHarnessWithDependencies(t)
				if !known {
					harness.core.jobCache.RemoveAllOpen() // accepted by another controller
				}
				checkSubmission(t, harness, tc)
			})
		}
	}
}

// checkSubmission submits the job of a case, and repeats the submission if it is accepted.
func checkSubmission(t *testing.T, harness *harness, tc dependencyCase) {
	t.Helper()
	a := harness.request("POST", "/submissions", submissionWithDependencies(submittedJob, tc.dependencies))
	if a.Status != tc.status || tc.state != "" && !strings.Contains(string(a.Body), `"status":"`+tc.state+`"`) {
		t.Fatalf("answered %d %s, want %d %s", a.Status, a.Body, tc.status, tc.state)
	}
	_, isOpen := harness.store[records.OpenKey(jobID(submittedJob))]
	_, isFinal := harness.store[records.FinalKey(jobID(submittedJob))]
	if isOpen != (tc.state == "pending") || isFinal != (tc.state == "withdrawn") {
		t.Errorf("open on record: %v, final: %v", isOpen, isFinal)
	}
	if got := strings.Join(harness.openRecord(jobID(submittedJob)).Job.Dependencies, ","); got != tc.recorded {
		t.Errorf("dependencies %q on record, want %q", got, tc.recorded)
	}
	if tc.recorded != "" && !strings.Contains(string(harness.store[records.OpenKey(jobID(openJob))].Value), `"nd":true`) {
		t.Error("the dependency is not marked as having dependents")
	}
	if tc.status == 201 {
		if a := harness.request("POST", "/submissions", submissionWithDependencies(submittedJob, tc.dependencies)); a.Status != 200 {
			t.Errorf("the repeat is answered %d %s", a.Status, a.Body)
		}
	}
}

// TestManyDependencies names more dependencies than a transaction has conditions or writes.
func TestManyDependencies(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	harness.core.settings.Deployment.Store.TxnOps = 5
	var names []string
	for n := range 50 {
		if a := harness.request("POST", "/submissions", body("nameId", `"`+jobID(n)+`"`)); a.Status != 201 {
			t.Fatalf("job %d: %d %s", n, a.Status, a.Body)
		}
		names = append(names, `"`+jobID(n)+`"`)
	}
	harness.core.jobCache.RemoveAllOpen()
	if a := harness.request("POST", "/submissions", submissionWithDependencies(99, "["+strings.Join(names, ",")+"]")); a.Status != 201 {
		t.Fatalf("answered %d %s", a.Status, a.Body)
	}
	for n := range 50 {
		if !strings.Contains(string(harness.store[records.OpenKey(jobID(n))].Value), `"nd":true`) {
			t.Errorf("%s is not marked as having dependents", jobID(n))
		}
	}
}

// TestDependencyCancelledDuringSubmission cancels a dependency between the moment at which it is read and the one at which
// its dependent is recorded.
func TestDependencyCancelledDuringSubmission(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	if a := harness.request("POST", "/submissions", body("nameId", `"`+jobID(1)+`"`)); a.Status != 201 {
		t.Fatalf("answered %d %s", a.Status, a.Body)
	}
	harness.requestCancellation(jobID(1), 1)
	if harness.core.jobCache.Open(jobID(1)).Record.Cancelled {
		t.Fatal("known already")
	}
	a := harness.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`))
	if a.Status != 201 || !strings.Contains(string(a.Body), "withdrawn") {
		t.Errorf("answered %d %s, want 201 and withdrawn", a.Status, a.Body)
	}
	if _, ok := harness.store[records.OpenKey(jobID(2))]; ok {
		t.Error("open on record though its dependency is cancelled")
	}
}
