package core

import (
	"errors"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// maxAmount is the largest amount that is not absurd: as seconds about thirty
// years, as GB an exabyte, as CPUs a million large machines. A time.Duration
// holds nine times as many seconds, and a float64 counts what 100,000 such
// tasks take without an overflow.
const maxAmount = 1e9

// maxTasks is the protocol's bound for a job's tasks.
const maxTasks = 100000

// field is a field of a submission. The value is nil if it is missing or null.
type field[T any] struct {
	value *T
	given bool
}

var errRepeatedField = errors.New("the field is given twice")

// UnmarshalJSON takes the only value of a field. Of two, nobody can tell which
// one is meant.
func (f *field[T]) UnmarshalJSON(b []byte) error {
	if f.given {
		return errRepeatedField
	}
	f.given = true
	return json.Unmarshal(b, &f.value)
}

// submissionFields mirrors wire.Job with a missing field told from a zero.
type submissionFields struct {
	ID           field[string]    `json:"nameId"`
	Class        field[string]    `json:"jobclass"`
	Team         field[string]    `json:"crew"`
	Shape        field[string]    `json:"shape"`
	Priority     field[string]    `json:"urgency"`
	Tasks        field[float64]   `json:"shards"`
	CPUs         field[float64]   `json:"cpus"`
	GPUs         field[float64]   `json:"accelerators"`
	MemGB        field[float64]   `json:"memGb"`
	Image        field[string]    `json:"bundle"`
	ImageGB      field[float64]   `json:"pullGb"`
	Types        field[[]*string] `json:"hulls"`
	Zone         field[string]    `json:"berth"`
	OneZone      field[bool]      `json:"together"`
	Spread       field[bool]      `json:"apart"`
	Spot         field[bool]      `json:"standby"`
	EstimateS    field[float64]   `json:"guessS"`
	CheckpointS  field[float64]   `json:"markS"`
	SaveS        field[float64]   `json:"stowS"`
	DeadlineS    field[float64]   `json:"dueS"`
	Dependencies field[[]*string] `json:"awaits"`
}

// Why a body holds no submission.
var (
	errNotUTF8   = errors.New("not JSON: not UTF-8")
	errNotObject = errors.New("not a JSON object")
	errFields    = errors.New("not a JSON object with fields of the right kind, each given once")
)

// fieldError tells what is wrong with a field of a submission.
type fieldError struct {
	field   string
	problem string
}

func (e *fieldError) Error() string { return e.field + " " + e.problem }

// Problems of several fields.
const (
	problemMissing    = "is missing"
	problemOutOfRange = "is out of range"
	problemUnknown    = "is unknown"
)

// parseSubmission returns the job that a body describes, or tells why it
// describes none. Whether the job can run is not asked here: for that the
// machine types have to be known.
func parseSubmission(body []byte) (*wire.Job, error) {
	s, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	job := &wire.Job{}
	for _, set := range []func(*wire.Job) error{
		s.setNames, s.setAmounts, s.setFlags, checkID, s.setTasks, checkKinds,
		s.setTypes, s.setZone, s.setDeadline, s.setDependencies,
	} {
		if err := set(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

func decodeSubmission(body []byte) (*submissionFields, error) {
	if !utf8.Valid(body) {
		return nil, errNotUTF8
	}
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, errNotObject
	}
	var s submissionFields
	// A name in another case is another name, and unknown.
	rest, err := json.Parse(body, &s, json.DontMatchCaseInsensitiveStructFields)
	if err != nil || len(rest) > 0 {
		return nil, errFields
	}
	return &s, nil
}

// setNames sets the texts that every job has.
func (s *submissionFields) setNames(job *wire.Job) error {
	var shape, priority string
	for _, f := range []struct {
		name string
		from field[string]
		to   *string
	}{
		{"nameId", s.ID, &job.ID}, {"jobclass", s.Class, &job.Class}, {"crew", s.Team, &job.Team},
		{"shape", s.Shape, &shape}, {"urgency", s.Priority, &priority}, {"bundle", s.Image, &job.Image},
	} {
		if f.from.value == nil || *f.from.value == "" {
			return &fieldError{f.name, problemMissing}
		}
		*f.to = *f.from.value
	}
	job.Shape, job.Priority = wire.Shape(shape), wire.Priority(priority)
	return nil
}

// setAmounts sets the amounts that every job has. The number of tasks is only
// checked to be an amount here, see setTasks.
func (s *submissionFields) setAmounts(job *wire.Job) error {
	var tasks float64
	for _, f := range []struct {
		name string
		from field[float64]
		to   *float64
	}{
		{"shards", s.Tasks, &tasks}, {"cpus", s.CPUs, &job.CPUs}, {"accelerators", s.GPUs, &job.GPUs},
		{"memGb", s.MemGB, &job.MemGB}, {"pullGb", s.ImageGB, &job.ImageGB}, {"guessS", s.EstimateS, &job.EstimatedRunS},
		{"markS", s.CheckpointS, &job.CheckpointIntervalS}, {"stowS", s.SaveS, &job.CheckpointDurationS},
	} {
		if f.from.value == nil {
			return &fieldError{f.name, problemMissing}
		}
		if !amountInRange(*f.from.value) {
			return &fieldError{f.name, problemOutOfRange}
		}
		*f.to = *f.from.value
	}
	return nil
}

func (s *submissionFields) setFlags(job *wire.Job) error {
	for _, f := range []struct {
		name string
		from field[bool]
		to   *bool
	}{
		{"together", s.OneZone, &job.OneZone}, {"apart", s.Spread, &job.SpreadZones}, {"standby", s.Spot, &job.AllowSpot},
	} {
		if f.from.value == nil {
			return &fieldError{f.name, problemMissing}
		}
		*f.to = *f.from.value
	}
	return nil
}

func checkID(job *wire.Job) error {
	if !validJobID(job.ID) {
		return &fieldError{"nameId", "is not a job id"}
	}
	return nil
}

// setTasks sets the number of tasks, which setAmounts has found to be given.
func (s *submissionFields) setTasks(job *wire.Job) error {
	tasks := *s.Tasks.value
	if tasks < 1 || tasks > maxTasks || tasks != math.Trunc(tasks) {
		return &fieldError{"shards", problemOutOfRange}
	}
	job.Tasks = int(tasks)
	return nil
}

// checkKinds checks the texts that are one of a few words.
func checkKinds(job *wire.Job) error {
	switch job.Shape {
	case wire.ShapeArray, wire.ShapeGang, wire.ShapeService:
	default:
		return &fieldError{"shape", problemUnknown}
	}
	if _, ok := cluster.PriorityLevel[job.Priority]; !ok {
		return &fieldError{"urgency", problemUnknown}
	}
	return nil
}

// setTypes sets the allowed machine types: null allows any, an empty list
// none, see checkFeasible.
func (s *submissionFields) setTypes(job *wire.Job) error {
	if s.Types.value == nil {
		return nil
	}
	names := *s.Types.value
	job.MachineTypes = make([]string, 0, len(names))
	for _, name := range names {
		if name == nil || *name == "" {
			return &fieldError{"hulls", "holds something else than names"}
		}
		job.MachineTypes = append(job.MachineTypes, *name)
	}
	return nil
}

func (s *submissionFields) setZone(job *wire.Job) error {
	if s.Zone.value == nil {
		return nil
	}
	if *s.Zone.value == "" {
		return &fieldError{"berth", "is not a name"}
	}
	job.Zone = *s.Zone.value
	return nil
}

func (s *submissionFields) setDeadline(job *wire.Job) error {
	deadline := s.DeadlineS.value
	if deadline != nil && !amountInRange(*deadline) {
		return &fieldError{"dueS", problemOutOfRange}
	}
	job.DeadlineS = deadline
	return nil
}

// setDependencies sets the awaited jobs, each of them once.
func (s *submissionFields) setDependencies(job *wire.Job) error {
	if s.Dependencies.value == nil {
		return nil
	}
	named := map[string]bool{}
	for _, id := range *s.Dependencies.value {
		if id == nil || !validJobID(*id) {
			return &fieldError{"awaits", "holds something else than job ids"}
		}
		if !named[*id] {
			named[*id] = true
			job.Dependencies = append(job.Dependencies, *id)
		}
	}
	return nil
}

// amountInRange tells whether an amount is finite, neither negative nor absurd.
func amountInRange(v float64) bool { return v >= 0 && v <= maxAmount }

func validJobID(id string) bool {
	digits := strings.TrimPrefix(id, "job-")
	if len(digits) == len(id) || len(digits) < 1 || len(digits) > 40 {
		return false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}

// maxValueBytes is the largest value, in bytes, that the state service takes, in a
// transaction of 64 KiB at most.
// maxRecordBytes is the largest record of a new job, in bytes. What a cancellation
// and other changes add to it later has to fit as well.
func (c *Core) maxRecordBytes() int { return c.store.MaxValue() - 200 }

func (c *Core) fitsRecord(rec records.Open) bool { return len(kv.Encode(rec)) <= c.maxRecordBytes() }

// Why a job can never run.
var (
	errUnknownTeam     = errors.New("unknown team")
	errNoTypeAllowed   = errors.New("no machine type is allowed")
	errNoTypeFits      = errors.New("a task fits no allowed machine type")
	errOverLimit       = errors.New("more than the team's limit")
	errNoSecondZone    = errors.New("tasks that are to be apart have only one zone")
	errDependsOnItself = errors.New("it awaits itself")
	errRecordTooLarge  = errors.New("the description is larger than the state service takes")
)

// checkFeasible tells why a job can never run; nil if it may.
func (c *Core) checkFeasible(job *wire.Job) error {
	if c.team(job.Team) == nil {
		return errUnknownTeam
	}
	if job.MachineTypes != nil && len(job.MachineTypes) == 0 {
		return errNoTypeAllowed
	}
	zones := c.countFeasibleZones(job)
	if zones == 0 {
		return errNoTypeFits
	}
	if exceedsLimit(job, c.configuredLimit(job.Team)) {
		return errOverLimit
	}
	// A gang's tasks, two or more, need a second zone if at most half of them
	// may be in one. Arrays and services may run in parts.
	if job.SpreadZones && job.Shape == wire.ShapeGang && job.Tasks > 1 && (job.OneZone || zones < 2) {
		return errNoSecondZone
	}
	if slices.Contains(job.Dependencies, job.ID) {
		return errDependsOnItself
	}
	// Only the jobs that are not over when it is accepted go on record.
	plain := *job
	plain.Dependencies = nil
	if !c.fitsRecord(records.Open{Job: plain}) {
		return errRecordTooLarge
	}
	return nil
}

// countFeasibleZones counts the zones, of those that a job allows, which rent a
// machine that one of its tasks fits.
func (c *Core) countFeasibleZones(job *wire.Job) int {
	zones := map[string]bool{}
	for _, t := range c.machineTypes {
		capacity := topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
		if !emptyOrContains(job.MachineTypes, t.Name) || !capacity.Holds(cluster.TaskSize(job)) {
			continue
		}
		for _, z := range t.Zones {
			if job.Zone == "" || job.Zone == z {
				zones[z] = true
			}
		}
	}
	return len(zones)
}

// exceedsLimit tells whether a job needs more than its team may ever use. The
// tasks of an array may run one after the other.
func exceedsLimit(job *wire.Job, limit teamlimit.Limit) bool {
	tasks := 1
	if job.Shape != wire.ShapeArray {
		tasks = job.Tasks
	}
	return !limit.Allows(topology.Resources{}, cluster.TaskSize(job), tasks)
}
