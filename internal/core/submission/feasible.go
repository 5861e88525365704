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

// Why a job can never run. The texts are part of an answer and never change.
var (
	ErrUnknownTeam     = errors.New("unknown team")
	ErrNoTypeAllowed   = errors.New("no machine type is allowed")
	ErrNoTypeFits      = errors.New("a task fits no allowed machine type")
	ErrOverLimit       = errors.New("more than the team's limit")
	ErrNoSecondZone    = errors.New("tasks that are to be apart have only one zone")
	ErrDependsOnItself = errors.New("it awaits itself")
	ErrRecordTooLarge  = errors.New("the description is larger than the state service takes")
)

// Constraints are what a deployment has for a job.
type Constraints struct {
	MachineTypes map[string]*wire.MachineType // by name
	TeamKnown    bool
	Limit        teamlimit.Limit // of the job's team
	// MaxRecordBytes is the largest open record of a new job.
	MaxRecordBytes int
}

// CheckFeasible returns why a job can never run; nil if it may.
func CheckFeasible(job *wire.Job, constraints Constraints) error {
	if !constraints.TeamKnown {
		return ErrUnknownTeam
	}
	if job.MachineTypes != nil && len(job.MachineTypes) == 0 {
		return ErrNoTypeAllowed
	}
	zones := feasibleZones(job, constraints.MachineTypes)
	if zones == 0 {
		return ErrNoTypeFits
	}
	if exceedsLimit(job, constraints.Limit) {
		return ErrOverLimit
	}
	if needsSecondZone(job) && (job.OneZone || zones < 2) {
		return ErrNoSecondZone
	}
	if slices.Contains(job.Dependencies, job.ID) {
		return ErrDependsOnItself
	}
	// Only the unfinished dependencies go on record, and they may go into a list of their own.
	withoutDependencies := *job
	withoutDependencies.Dependencies = nil
	if !FitsRecord(records.Open{Job: withoutDependencies}, constraints.MaxRecordBytes) {
		return ErrRecordTooLarge
	}
	return nil
}

// FitsRecord reports whether an open record has at most maxBytes bytes.
func FitsRecord(record records.Open, maxBytes int) bool { return len(kv.Encode(record)) <= maxBytes }

// feasibleZones counts the zones, of those that a job allows, that offer a machine type
// which one of its tasks fits.
func feasibleZones(job *wire.Job, types map[string]*wire.MachineType) int {
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

// exceedsLimit reports whether a job needs more than its team may ever use. The tasks of an
// array may run one after the other.
func exceedsLimit(job *wire.Job, limit teamlimit.Limit) bool {
	tasks := 1
	if job.Shape != wire.ShapeArray {
		tasks = job.Tasks
	}
	return !limit.Allows(topology.Resources{}, cluster.TaskSize(job), tasks)
}

// needsSecondZone reports whether a job can only run in two zones or more: a gang of which at
// most half of the tasks may be in one. Arrays and services may run in parts.
func needsSecondZone(job *wire.Job) bool {
	return job.SpreadZones && job.Shape == wire.ShapeGang && job.Tasks > 1
}
