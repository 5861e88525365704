// Package submission parses and validates submitted jobs: Parse decodes a body and validates each
// field by itself; CheckFeasible then checks the job against the constraints of the deployment.
// The package considers one job at a time, does no I/O and keeps no state. The front end uses it.
package submission

import (
	"errors"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

const (
	// maxNumber is the largest number accepted in a field: about thirty years in seconds, an
	// exabyte in GB, a million large machines in CPUs. It prevents overflows: a time.Duration
	// holds nine times as many seconds, and a float64 the total of 100,000 such tasks.
	maxNumber = 1e9
	// maxTasks is the protocol's limit on the tasks of a job.
	maxTasks = 100000
	// maxIDDigits is the protocol's limit on the digits in a job ID.
	maxIDDigits = 40
)

// The reasons why a body is not a valid submission. The texts are part of an answer.
var (
	ErrNotUTF8       = errors.New("not JSON: not UTF-8")
	ErrNotObject     = errors.New("not a JSON object")
	ErrInvalidFields = errors.New("not a JSON object with fields of the right kind, each given once")
)

// A FieldError reports an invalid field of a submission.
type FieldError struct {
	Field   string // the field's name in the protocol
	Problem Problem
}

func (e *FieldError) Error() string { return e.Field + " " + string(e.Problem) }

// A Problem says what is wrong with a field. Its text is part of an answer and never changes.
type Problem string

// The problems of fields.
const (
	ProblemMissing    Problem = "is missing"
	ProblemOutOfRange Problem = "is out of range"
	ProblemUnknown    Problem = "is unknown"
	ProblemNotJobID   Problem = "is not a job id"
	ProblemNotName    Problem = "is not a name"
	ProblemNotNames   Problem = "holds something else than names"
	ProblemNotJobIDs  Problem = "holds something else than job ids"
)

// Parse returns the job that a body describes. It does not check whether the job can run, which
// depends on the deployment, see CheckFeasible.
func Parse(body []byte) (*wire.Job, error) {
	fields, err := decode(body)
	if err != nil {
		return nil, err
	}
	job := &wire.Job{}
	// The order determines which of several problems is reported.
	for _, step := range []func(*wire.Job) error{
		fields.setStrings, fields.setNumbers, fields.setFlags, checkID, fields.setTasks, checkEnums,
		fields.setMachineTypes, fields.setZone, fields.setDeadline, fields.setDependencies,
	} {
		if err := step(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// ValidJobID reports whether a string is a job ID as defined by the protocol.
func ValidJobID(id string) bool {
	digits, found := strings.CutPrefix(id, "job-")
	if !found || len(digits) < 1 || len(digits) > maxIDDigits {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

func decode(body []byte) (*fields, error) {
	if !utf8.Valid(body) {
		return nil, ErrNotUTF8
	}
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, ErrNotObject
	}
	var decoded fields
	// Names are case-sensitive: a name in another case is an unknown field.
	rest, err := json.Parse(body, &decoded, json.DontMatchCaseInsensitiveStructFields)
	if err != nil || len(rest) > 0 {
		return nil, ErrInvalidFields
	}
	return &decoded, nil
}

// setStrings sets the required strings.
func (f *fields) setStrings(job *wire.Job) error {
	var shape, priority string
	for _, entry := range []struct {
		name string
		from field[string]
		to   *string
	}{
		{"nameId", f.ID, &job.ID},
		{"jobclass", f.Class, &job.Class},
		{"crew", f.Team, &job.Team},
		{"shape", f.Shape, &shape},
		{"urgency", f.Priority, &priority},
		{"bundle", f.Image, &job.Image},
	} {
		if entry.from.value == nil || *entry.from.value == "" {
			return &FieldError{entry.name, ProblemMissing}
		}
		*entry.to = *entry.from.value
	}
	job.Shape, job.Priority = wire.Shape(shape), wire.Priority(priority)
	return nil
}

// setNumbers sets the required numbers. It checks the number of tasks only for the range that
// all numbers share; setTasks validates and sets it.
func (f *fields) setNumbers(job *wire.Job) error {
	var tasks float64
	for _, entry := range []struct {
		name string
		from field[float64]
		to   *float64
	}{
		{"shards", f.Tasks, &tasks},
		{"cpus", f.CPUs, &job.CPUs},
		{"accelerators", f.GPUs, &job.GPUs},
		{"memGb", f.MemGB, &job.MemGB},
		{"pullGb", f.ImageGB, &job.ImageGB},
		{"guessS", f.EstimatedRunS, &job.EstimatedRunS},
		{"markS", f.CheckpointIntervalS, &job.CheckpointIntervalS},
		{"stowS", f.CheckpointDurationS, &job.CheckpointDurationS},
	} {
		if entry.from.value == nil {
			return &FieldError{entry.name, ProblemMissing}
		}
		if !numberInRange(*entry.from.value) {
			return &FieldError{entry.name, ProblemOutOfRange}
		}
		*entry.to = *entry.from.value
	}
	return nil
}

// setFlags sets the required booleans.
func (f *fields) setFlags(job *wire.Job) error {
	for _, entry := range []struct {
		name string
		from field[bool]
		to   *bool
	}{
		{"together", f.OneZone, &job.OneZone}, {"apart", f.SpreadZones, &job.SpreadZones}, {"standby", f.AllowSpot, &job.AllowSpot},
	} {
		if entry.from.value == nil {
			return &FieldError{entry.name, ProblemMissing}
		}
		*entry.to = *entry.from.value
	}
	return nil
}

func checkID(job *wire.Job) error {
	if !ValidJobID(job.ID) {
		return &FieldError{"nameId", ProblemNotJobID}
	}
	return nil
}

// setTasks sets the number of tasks. setNumbers has checked that the field is present.
func (f *fields) setTasks(job *wire.Job) error {
	tasks := *f.Tasks.value
	if tasks < 1 || tasks > maxTasks || tasks != math.Trunc(tasks) {
		return &FieldError{"shards", ProblemOutOfRange}
	}
	job.Tasks = int(tasks)
	return nil
}

// checkEnums checks that the shape and the priority have one of their defined values.
func checkEnums(job *wire.Job) error {
	switch job.Shape {
	case wire.ShapeArray, wire.ShapeGang, wire.ShapeService:
	default:
		return &FieldError{"shape", ProblemUnknown}
	}
	switch job.Priority {
	case wire.PriorityCritical, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle:
	default:
		return &FieldError{"urgency", ProblemUnknown}
	}
	return nil
}

// setMachineTypes sets the allowed machine types: null allows every type, an empty list allows
// none, which CheckFeasible refuses.
func (f *fields) setMachineTypes(job *wire.Job) error {
	if f.MachineTypes.value == nil {
		return nil
	}
	names := *f.MachineTypes.value
	job.MachineTypes = make([]string, 0, len(names))
	for _, name := range names {
		if name == nil || *name == "" {
			return &FieldError{"hulls", ProblemNotNames}
		}
		job.MachineTypes = append(job.MachineTypes, *name)
	}
	return nil
}

func (f *fields) setZone(job *wire.Job) error {
	if f.Zone.value == nil {
		return nil
	}
	if *f.Zone.value == "" {
		return &FieldError{"berth", ProblemNotName}
	}
	job.Zone = *f.Zone.value
	return nil
}

func (f *fields) setDeadline(job *wire.Job) error {
	deadline := f.DeadlineS.value
	if deadline != nil && !numberInRange(*deadline) {
		return &FieldError{"dueS", ProblemOutOfRange}
	}
	job.DeadlineS = deadline
	return nil
}

// setDependencies sets the dependencies, without duplicates.
func (f *fields) setDependencies(job *wire.Job) error {
	if f.Dependencies.value == nil {
		return nil
	}
	seen := map[string]bool{}
	for _, id := range *f.Dependencies.value {
		if id == nil || !ValidJobID(*id) {
			return &FieldError{"awaits", ProblemNotJobIDs}
		}
		if !seen[*id] {
			seen[*id] = true
			job.Dependencies = append(job.Dependencies, *id)
		}
	}
	return nil
}

// numberInRange reports whether a number is between 0 and maxNumber.
func numberInRange(number float64) bool { return number >= 0 && number <= maxNumber }
