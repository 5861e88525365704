package submission

import (
	"errors"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/teamlimit"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// The reasons why a job can never run. The texts are part of an answer and never change.
var (
	ErrUnknownTeam     = errors.New("unknown team")
	ErrNoTypeAllowed   = errors.New("no machine type is allowed")
	ErrNoTypeFits      = errors.New("a task fits no allowed machine type")
	ErrOverLimit       = errors.New("more than the team's limit")
	ErrNoSecondZone    = errors.New("tasks that are to be apart have only one zone")
	ErrDependsOnItself = errors.New("it awaits itself")
	ErrRecordTooLarge  = errors.New("the description is larger than the state service takes")
)

// Constraints are the limits of a deployment that a job must fit.
type Constraints struct {
	MachineTypes map[string]*wire.MachineType // by name
	TeamKnown    bool
	Limit        teamlimit.Limit // of the job's team
	// MaxRecordBytes is the maximum size of a new job's open record.
	MaxRecordBytes int
}

// CheckFeasible returns the reason why a job can never run, or nil if it may run.
func CheckFeasible(job *wire.Job, constraints Constraints) error {
	if !constraints.TeamKnown {
		return ErrUnknownTeam
	}
	if job.MachineTypes != nil && len(job.MachineTypes) == 0 {
		return ErrNoTypeAllowed
	}
	zones := countFeasibleZones(job, constraints.MachineTypes)
	if zones == 0 {
		return ErrNoTypeFits
	}
	if exceedsLimit(job, constraints.Limit) {
		return ErrOverLimit
	}
	if needsMultipleZones(job) && (job.OneZone || zones < 2) {
		return ErrNoSecondZone
	}
	if slices.Contains(job.Dependencies, job.ID) {
		return ErrDependsOnItself
	}
	// The dependencies do not count: only unfinished ones are recorded, and if they do not fit
	// into the open record, they go into list records.
	withoutDependencies := *job
	withoutDependencies.Dependencies = nil
	if !FitsRecord(records.Open{Job: withoutDependencies}, constraints.MaxRecordBytes) {
		return ErrRecordTooLarge
	}
	return nil
}

// FitsRecord reports whether an encoded open record has at most maxBytes bytes.
func FitsRecord(record records.Open, maxBytes int) bool { return len(kv.Encode(record)) <= maxBytes }

// countFeasibleZones counts the zones allowed for a job that offer an allowed machine type large
// enough for one of its tasks.
func countFeasibleZones(job *wire.Job, types map[string]*wire.MachineType) int {
	zones := map[string]bool{}
	for _, machineType := range types {
		if !cluster.AllowsType(job, machineType.Name) || !cluster.TypeCapacity(machineType).Holds(cluster.TaskSize(job)) {
			continue
		}
		for _, zone := range machineType.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}

// exceedsLimit reports whether a job needs more than its team's limit. For an array, one task has
// to fit, since its tasks may run one after the other; for other jobs, all tasks together.
func exceedsLimit(job *wire.Job, limit teamlimit.Limit) bool {
	tasks := 1
	if job.Shape != wire.ShapeArray {
		tasks = job.Tasks
	}
	return !limit.Allows(topology.Resources{}, cluster.TaskSize(job), tasks)
}

// needsMultipleZones reports whether a job can only run in two or more zones: this holds for a gang
// that may have at most half of its tasks in one zone. Arrays and services may run in part, so one
// zone suffices for them.
func needsMultipleZones(job *wire.Job) bool {
	return job.SpreadZones && job.Shape == wire.ShapeGang && job.Tasks > 1
}
