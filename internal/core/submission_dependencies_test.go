package core

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// submissionWithDependencies returns the body of a submission of job number n with dependencies,
// given as JSON.
func submissionWithDependencies(n int, dependencies string) string {
	return strings.TrimSuffix(submissionBody("nameId", `"`+jobID(n)+`"`), "}") + `,"awaits":` + dependencies + "}"
}

// Job numbers in these tests: a dependency in each state, and the submitted job.
const (
	openJob           = 1
	doneJob           = 2
	cancelledJob      = 3
	openService       = 4
	jobBeingCancelled = 5
	submittedJob      = 9
)

// dependencyCase is a submission with dependencies and its expected result.
type dependencyCase struct {
	name         string
	dependencies string // JSON
	status       int
	state        string // job status in the answer; "" if refused
	recorded     string // recorded dependencies; "" for none
}

// newHarnessWithDependencies returns a harness with a job in each state.
func newHarnessWithDependencies(t *testing.T) *harness {
	t.Helper()
	harness := newHarness(t, testMachineTypes)
	for _, submission := range []string{
		submissionBody("nameId", `"`+jobID(openJob)+`"`),
		submissionBody("nameId", `"`+jobID(openService)+`"`, "shape", `"daemon"`),
		submissionBody("nameId", `"`+jobID(jobBeingCancelled)+`"`),
	} {
		if a := harness.request("POST", "/submissions", submission); a.Status != 201 {
			t.Fatalf("submission %s: got %d %s, want 201", submission, a.Status, a.Body)
		}
	}
	harness.write(records.FinalKey(jobID(doneJob)), "", []byte(`{"s":"done","n":16}`))
	harness.write(records.FinalKey(jobID(cancelledJob)), "", []byte(`{"s":"withdrawn","n":16}`))
	harness.requestCancellation(jobID(jobBeingCancelled), 1)
	harness.core.jobCache.RemoveOpen(jobID(jobBeingCancelled))
	return harness
}

// TestDependenciesOfSubmission submits jobs with dependencies in every state, and with malformed
// lists of dependencies.
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

// checkSubmission submits the job of a test case, and repeats the submission if it is accepted.
func checkSubmission(t *testing.T, harness *harness, tc dependencyCase) {
	t.Helper()
	a := harness.request("POST", "/submissions", submissionWithDependencies(submittedJob, tc.dependencies))
	if a.Status != tc.status || tc.state != "" && !strings.Contains(string(a.Body), `"status":"`+tc.state+`"`) {
		t.Fatalf("submission: got %d %s, want %d %s", a.Status, a.Body, tc.status, tc.state)
	}
	_, isOpen := harness.store[records.OpenKey(jobID(submittedJob))]
	_, isFinal := harness.store[records.FinalKey(jobID(submittedJob))]
	if isOpen != (tc.state == "pending") || isFinal != (tc.state == "withdrawn") {
		t.Errorf("got open record %v, final record %v, want an open one if pending, a final one if withdrawn", isOpen, isFinal)
	}
	if got := strings.Join(harness.openRecord(jobID(submittedJob)).Job.Dependencies, ","); got != tc.recorded {
		t.Errorf("recorded dependencies: got %q, want %q", got, tc.recorded)
	}
	if tc.recorded != "" && !strings.Contains(string(harness.store[records.OpenKey(jobID(openJob))].Value), `"nd":true`) {
		t.Error("the dependency is not marked as having dependents")
	}
	if tc.status == 201 {
		if a := harness.request("POST", "/submissions", submissionWithDependencies(submittedJob, tc.dependencies)); a.Status != 200 {
			t.Errorf("repeated submission: got %d %s, want 200", a.Status, a.Body)
		}
	}
}

// TestManyDependencies submits a job with more dependencies than a transaction can have conditions
// or writes.
func TestManyDependencies(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	harness.core.settings.Deployment.Store.TxnOps = 5
	names := submitJobs(t, harness, 50)
	harness.core.jobCache.RemoveAllOpen()
	if a := harness.request("POST", "/submissions", submissionWithDependencies(99, names)); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	for n := range 50 {
		if !strings.Contains(string(harness.store[records.OpenKey(jobID(n))].Value), `"nd":true`) {
			t.Errorf("%s is not marked as having dependents", jobID(n))
		}
	}
}

// TestDependencyCancelledSinceCached submits a job whose dependency has been cancelled since the
// controller cached its record. The job must be recorded as cancelled.
func TestDependencyCancelledSinceCached(t *testing.T) {
	harness := newHarness(t, testMachineTypes)
	if a := harness.request("POST", "/submissions", submissionBody("nameId", `"`+jobID(1)+`"`)); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	harness.requestCancellation(jobID(1), 1)
	if harness.core.jobCache.Open(jobID(1)).Record.Cancelled {
		t.Fatal("the cancellation is already in the cache")
	}
	a := harness.request("POST", "/submissions", submissionWithDependencies(2, `["`+jobID(1)+`"]`))
	if a.Status != 201 || !strings.Contains(string(a.Body), "withdrawn") {
		t.Errorf("submission of the dependent: got %d %s, want 201 and withdrawn", a.Status, a.Body)
	}
	if _, ok := harness.store[records.OpenKey(jobID(2))]; ok {
		t.Error("the dependent has an open record although its dependency is cancelled")
	}
}

// TestEndedDependencyStaysEnded guards against a submission that makes an ended job unfinished again: it
// awaits more jobs than a transaction takes conditions, and this controller has not heard of the end of
// one of them. Users who were told "done" or "withdrawn" were then told "pending".
func TestEndedDependencyStaysEnded(t *testing.T) {
	const dependencies, submitted = 50, 99
	for _, maxWrites := range []int{2, 3, 5, 12, 16} {
		for _, ended := range []int{0, dependencies / 2, dependencies - 2, dependencies - 1} {
			for _, status := range []string{"done", "withdrawn"} {
				t.Run(fmt.Sprintf("%d writes, job %d %s", maxWrites, ended, status), func(t *testing.T) {
					harness := newHarness(t, testMachineTypes)
					harness.core.settings.Deployment.Store.TxnOps = maxWrites
					names := submitJobs(t, harness, dependencies)
					harness.write(records.FinalKey(jobID(ended)), records.OpenKey(jobID(ended)), []byte(`{"s":"`+status+`","n":2}`))
					if harness.core.jobCache.Open(jobID(ended)) == nil {
						t.Fatal("the controller has heard of the end, want its cached record unfinished")
					}
					if a := harness.request("POST", "/submissions", submissionWithDependencies(submitted, names)); a.Status != 201 {
						t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
					}
					if item, exists := harness.store[records.OpenKey(jobID(ended))]; exists {
						t.Errorf("open record of the ended job: got %s, want none", item.Value)
					}
					if a := harness.request("GET", "/submissions/"+jobID(ended), ""); !strings.Contains(string(a.Body), status) {
						t.Errorf("query of the ended job: got %d %s, want %s", a.Status, a.Body, status)
					}
				})
			}
		}
	}
}

// submitJobs submits jobs 0 to count-1 and returns their IDs as a JSON list.
func submitJobs(t *testing.T, harness *harness, count int) string {
	t.Helper()
	var names []string
	for n := range count {
		if a := harness.request("POST", "/submissions", submissionBody("nameId", `"`+jobID(n)+`"`)); a.Status != 201 {
			t.Fatalf("submission of job %d: got %d %s, want 201", n, a.Status, a.Body)
		}
		names = append(names, `"`+jobID(n)+`"`)
	}
	return "[" + strings.Join(names, ",") + "]"
}

// TestDependenciesWithLargeRecords guards against a submission that is refused for ever: the open records
// of its dependencies together exceed the size of a transaction, so that they cannot be marked at once.
func TestDependenciesWithLargeRecords(t *testing.T) {
	const dependencies, submitted = 14, 99
	harness := newHarness(t, testMachineTypes)
	names := submitJobs(t, harness, dependencies)
	for n := range dependencies {
		record := harness.openRecord(jobID(n))
		record.Job.MachineTypes = slices.Repeat([]string{"large"}, 800)
		harness.write(records.OpenKey(jobID(n)), "", kv.Encode(record))
	}
	harness.core.jobCache.RemoveAllOpen()
	largest := 0
	harness.intercept = func(txn *wire.Txn, carryOut func() int) int {
		size := 0
		for _, write := range txn.Writes {
			size += len(write.Value)
		}
		largest = max(largest, size)
		return carryOut()
	}
	if a := harness.request("POST", "/submissions", submissionWithDependencies(submitted, names)); a.Status != 201 {
		t.Fatalf("submission: got %d %s, want 201", a.Status, a.Body)
	}
	if largest > kv.MaxTxnBytes {
		t.Errorf("values of the largest transaction: got %d bytes, want at most %d", largest, kv.MaxTxnBytes)
	}
	for n := range dependencies {
		if !harness.openRecord(jobID(n)).HasDependents {
			t.Errorf("%s is not marked as having dependents", jobID(n))
		}
	}
}
