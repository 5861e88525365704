package submission

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/wire"
)

// bodyWith returns a valid submission with one field changed.
func bodyWith(field, value string) []byte {
	var parts []string
	for _, f := range [][2]string{
		{"nameId", `"job-7"`},
		{"jobclass", `"train"`},
		{"crew", `"vision"`},
		{"shape", `"group"`},
		{"urgency", `"urgent"`},
		{"shards", `2`},
		{"cpus", `8`},
		{"accelerators", `1`},
		{"memGb", `16`},
		{"bundle", `"img"`},
		{"pullGb", `6.5`},
		{"hulls", `["large"]`},
		{"berth", `"b"`},
		{"together", `true`},
		{"apart", `false`},
		{"standby", `true`},
		{"guessS", `240`},
		{"markS", `30`},
		{"stowS", `4`},
		{"dueS", `900`},
		{"awaits", `["job-1","job-2","job-1"]`},
	} {
		if f[0] == field {
			f[1] = value
		}
		parts = append(parts, fmt.Sprintf("%q:%s", f[0], f[1]))
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// TestParse checks that every field of a submission is set in the job.
func TestParse(t *testing.T) {
	job, err := Parse(bodyWith("", ""))
	if err != nil {
		t.Fatal(err)
	}
	if job.DeadlineS == nil || *job.DeadlineS != 900 {
		t.Errorf("got deadline pointer %v, want a pointer to 900", job.DeadlineS)
	}
	if !slices.Equal(job.MachineTypes, []string{"large"}) || !slices.Equal(job.Dependencies, []string{"job-1", "job-2"}) {
		t.Errorf("got machine types %q and dependencies %q, want large, and job-1 and job-2 once each", job.MachineTypes, job.Dependencies)
	}
	job.DeadlineS, job.MachineTypes, job.Dependencies = nil, nil, nil
	want := wire.Job{
		ID: "job-7", Class: "train", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent,
		Tasks: 2, CPUs: 8, GPUs: 1, MemGB: 16, Image: "img", ImageGB: 6.5, Zone: "b", OneZone: true, AllowSpot: true,
		EstimatedRunS: 240, CheckpointIntervalS: 30, CheckpointDurationS: 4,
	}
	if got, expected := fmt.Sprintf("%+v", *job), fmt.Sprintf("%+v", want); got != expected {
		t.Errorf("got %s, want %s", got, expected)
	}
}

// TestParseErrors checks that an error reports the field and the problem. The texts are part of
// the protocol.
func TestParseErrors(t *testing.T) {
	for _, tc := range []struct {
		field, value string
		problem      Problem
		text         string
	}{
		{"nameId", `null`, ProblemMissing, "nameId is missing"},
		{"nameId", `"job-"`, ProblemNotJobID, "nameId is not a job id"},
		{"bundle", `""`, ProblemMissing, "bundle is missing"},
		{"shape", `"gang"`, ProblemUnknown, "shape is unknown"},
		{"urgency", `"low"`, ProblemUnknown, "urgency is unknown"},
		{"shards", `1.5`, ProblemOutOfRange, "shards is out of range"},
		{"shards", `100001`, ProblemOutOfRange, "shards is out of range"},
		{"cpus", `-1`, ProblemOutOfRange, "cpus is out of range"},
		{"standby", `null`, ProblemMissing, "standby is missing"},
		{"hulls", `[null]`, ProblemNotNames, "hulls holds something else than names"},
		{"berth", `""`, ProblemNotName, "berth is not a name"},
		{"dueS", `1e10`, ProblemOutOfRange, "dueS is out of range"},
		{"awaits", `["task-1"]`, ProblemNotJobIDs, "awaits holds something else than job ids"},
	} {
		t.Run(tc.text, func(t *testing.T) {
			_, err := Parse(bodyWith(tc.field, tc.value))
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != tc.field || fieldErr.Problem != tc.problem || err.Error() != tc.text {
				t.Errorf("got %v, want the field, problem and text of the test case", err)
			}
		})
	}
}

// TestParseMalformed checks the error for each way in which a whole body is malformed.
func TestParseMalformed(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		want       error
	}{
		{"not UTF-8", "{\"x\":\"\xff\"}", ErrNotUTF8},
		{"an array", "[]", ErrNotObject},
		{"empty", "", ErrNotObject},
		{"a duplicate field", `{"cpus":1,"cpus":1}`, ErrInvalidFields},
		{"a field of another type", string(bodyWith("cpus", `"1"`)), ErrInvalidFields},
		{"text after the object", string(bodyWith("", "")) + "x", ErrInvalidFields},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := Parse([]byte(tc.body)); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestCheckFeasible checks that each reason why a job can never run is reported.
func TestCheckFeasible(t *testing.T) {
	unlimited := teamlimit.Limit{CPUs: math.Inf(1), GPUs: math.Inf(1)}
	constraints := Constraints{
		MachineTypes: map[string]*wire.MachineType{
			"small": {Name: "small", CPUs: 8, MemGB: 32, Zones: []string{"a"}},
			"large": {Name: "large", CPUs: 96, GPUs: 8, MemGB: 768, Zones: []string{"b", "c"}},
		},
		TeamKnown: true, Limit: unlimited, MaxRecordBytes: 4096,
	}
	gang := wire.Job{ID: "job-7", Shape: wire.ShapeGang, Tasks: 2, CPUs: 16, GPUs: 1, MemGB: 8}
	for _, tc := range []struct {
		name   string
		change func(job *wire.Job, constraints *Constraints)
		want   error
	}{
		{"feasible", func(*wire.Job, *Constraints) {}, nil},
		{"unknown team", func(_ *wire.Job, c *Constraints) { c.TeamKnown = false }, ErrUnknownTeam},
		{"no type allowed", func(j *wire.Job, _ *Constraints) { j.MachineTypes = []string{} }, ErrNoTypeAllowed},
		{"too large for the allowed type", func(j *wire.Job, _ *Constraints) { j.MachineTypes = []string{"small"} }, ErrNoTypeFits},
		{"too large for the zone", func(j *wire.Job, _ *Constraints) { j.Zone = "a" }, ErrNoTypeFits},
		{"over the limit", func(_ *wire.Job, c *Constraints) { c.Limit.CPUs = 31 }, ErrOverLimit},
		{"an array runs in parts", func(j *wire.Job, c *Constraints) { j.Shape, c.Limit.CPUs = wire.ShapeArray, 31 }, nil},
		{"spread over two zones", func(j *wire.Job, _ *Constraints) { j.SpreadZones = true }, nil},
		{"spread over one zone", func(j *wire.Job, _ *Constraints) { j.SpreadZones, j.Zone = true, "b" }, ErrNoSecondZone},
		{"spread in one zone", func(j *wire.Job, _ *Constraints) { j.SpreadZones, j.OneZone = true, true }, ErrNoSecondZone},
		{"depends on itself", func(j *wire.Job, _ *Constraints) { j.Dependencies = []string{"job-7"} }, ErrDependsOnItself},
		{"too large to record", func(_ *wire.Job, c *Constraints) { c.MaxRecordBytes = 100 }, ErrRecordTooLarge},
		{"dependencies do not count", func(j *wire.Job, _ *Constraints) {
			j.Dependencies = strings.Split(strings.Repeat("job-1 ", 1000), " ")
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job, constraints := gang, constraints
			tc.change(&job, &constraints)
			if err := CheckFeasible(&job, constraints); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestValidJobID checks job IDs against the form that the protocol defines.
func TestValidJobID(t *testing.T) {
	for id, want := range map[string]bool{
		"job-0": true, "job-000412": true, "job-" + strings.Repeat("9", 40): true,
		"": false, "job-": false, "job": false, "412": false, "Job-1": false, "job-1a": false, "job--1": false,
		"job-1 ": false, "job-1/0": false, "job-" + strings.Repeat("9", 41): false,
	} {
		if got := ValidJobID(id); got != want {
			t.Errorf("ValidJobID(%q): got %v, want %v", id, got, want)
		}
	}
}
