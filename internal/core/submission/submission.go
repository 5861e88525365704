// Package submission reads and checks what users submit: Parse decodes a body and checks each
// field by itself; CheckFeasible then compares the job with what the deployment has. The
// package knows no other jobs, does no I/O and keeps no state. The front end uses it.
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
	// maxAmount is the largest amount that is accepted: as seconds about thirty years, as GB
	// an exabyte, as CPUs a million large machines. A time.Duration holds nine times as many
	// seconds, and a float64 counts what 100,000 such tasks use without an overflow.
	maxAmount = 1e9
	// maxTasks is the protocol's bound for a job's tasks.
	maxTasks = 100000
	// maxIDDigits is the protocol's bound for the digits of a job's ID.
	maxIDDigits = 40
)

// Why a body is no submission.
var (
	ErrNotUTF8   = errors.New("not JSON: not UTF-8")
	ErrNotObject = errors.New("not a JSON object")
	ErrFields    = errors.New("not a JSON object with fields of the right kind, each given once")
)

// A FieldError is a field of a submission that is wrong.
type FieldError struct {
	Field   string // by its name in the protocol
	Problem Problem
}

func (e *FieldError) Error() string { return e.Field + " " + string(e.Problem) }

// A Problem is what is wrong with a field. Its text is part of an answer and never changes.
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

// Parse returns the job that a body describes. Whether the job can run is not checked: for that
// the machine types have to be known.
func Parse(body []byte) (*wire.Job, error) {
	fields, err := decode(body)
	if err != nil {
		return nil, err
	}
	job := &wire.Job{}
	// The order decides which of several problems is reported.
	for _, set := range []func(*wire.Job) error{
		fields.setTexts, fields.setAmounts, fields.setFlags, checkID, fields.setTasks, checkKinds,
		fields.setMachineTypes, fields.setZone, fields.setDeadline, fields.setDependencies,
	} {
		if err := set(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// ValidJobID reports whether a text is a job's ID by the protocol.
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
	// A name in another case is another name, and unknown.
	rest, err := json.Parse(body, &decoded, json.DontMatchCaseInsensitiveStructFields)
	if err != nil || len(rest) > 0 {
		return nil, ErrFields
	}
	return &decoded, nil
}

// setTexts sets the texts that every job has.
func (f *fields) setTexts(job *wire.Job) error {
	var shape, priority string
	for _, text := range []struct {
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
		if text.from.value == nil || *text.from.value == "" {
			return &FieldError{text.name, ProblemMissing}
		}
		*text.to = *text.from.value
	}
	job.Shape, job.Priority = wire.Shape(shape), wire.Priority(priority)
	return nil
}

// setAmounts sets the amounts that every job has. The number of tasks is only checked to be an
// amount here, see setTasks.
func (f *fields) setAmounts(job *wire.Job) error {
	var tasks float64
	for _, amount := range []struct {
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
		if amount.from.value == nil {
			return &FieldError{amount.name, ProblemMissing}
		}
		if !amountInRange(*amount.from.value) {
			return &FieldError{amount.name, ProblemOutOfRange}
		}
		*amount.to = *amount.from.value
	}
	return nil
}

// setFlags sets the flags that every job has.
func (f *fields) setFlags(job *wire.Job) error {
	for _, flag := range []struct {
		name string
		from field[bool]
		to   *bool
	}{
		{"together", f.OneZone, &job.OneZone}, {"apart", f.SpreadZones, &job.SpreadZones}, {"standby", f.AllowSpot, &job.AllowSpot},
	} {
		if flag.from.value == nil {
			return &FieldError{flag.name, ProblemMissing}
		}
		*flag.to = *flag.from.value
	}
	return nil
}

func checkID(job *wire.Job) error {
	if !ValidJobID(job.ID) {
		return &FieldError{"nameId", ProblemNotJobID}
	}
	return nil
}

// setTasks sets the number of tasks, which setAmounts has found to be given.
func (f *fields) setTasks(job *wire.Job) error {
	tasks := *f.Tasks.value
	if tasks < 1 || tasks > maxTasks || tasks != math.Trunc(tasks) {
		return &FieldError{"shards", ProblemOutOfRange}
	}
	job.Tasks = int(tasks)
	return nil
}

// checkKinds checks the texts that are one of a few words.
func checkKinds(job *wire.Job) error {
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

// setMachineTypes sets the allowed machine types: null allows any, an empty list none, see
// CheckFeasible.
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
	if deadline != nil && !amountInRange(*deadline) {
		return &FieldError{"dueS", ProblemOutOfRange}
	}
	job.DeadlineS = deadline
	return nil
}

// setDependencies sets the dependencies, each of them once.
func (f *fields) setDependencies(job *wire.Job) error {
	if f.Dependencies.value == nil {
		return nil
	}
	named := map[string]bool{}
	for _, id := range *f.Dependencies.value {
		if id == nil || !ValidJobID(*id) {
			return &FieldError{"awaits", ProblemNotJobIDs}
		}
		if !named[*id] {
			named[*id] = true
			job.Dependencies = append(job.Dependencies, *id)
		}
	}
	return nil
}

// amountInRange reports whether an amount is finite, not negative and not absurdly large.
func amountInRange(amount float64) bool { return amount >= 0 && amount <= maxAmount }
