// Package hollow runs load tests and failure tests of real controller processes. Thousands of
// hollow workers, the users, the cloud and the key-value store are simulated in one process; they
// use the real protocol over loopback and the real clock. A hollow worker is a simulated worker
// that reports to a real controller, like the hollow nodes of Kubernetes' load tests. The
// simulation and the checker, which reports violations of the scheduler's rules, are those of
// package sim.
//
// The package starts and kills processes, listens on loopback addresses and writes files to the
// directory of a run. The command brookwalk-hollow calls it.
package hollow

import (
	"errors"
	"fmt"
	"math"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/config"
)

// Experiment is the content of an experiment file. Times are in seconds.
type Experiment struct {
	Name             string               `toml:"name"`
	DurationS        float64              `toml:"seconds"` // duration of the run
	Seed             uint64               `toml:"seed"`
	Controllers      int                  `toml:"controllers"`
	Zones            []string             `toml:"zones"`
	RestartS         float64              `toml:"restart_s"` // from the kill of a controller to its restart
	Workers          config.WorkerTimings `toml:"workers"`
	Store            config.StoreLimits   `toml:"state"`
	Cloud            config.CloudLimits   `toml:"cloud"`
	ControllerLimits config.MachineLimits `toml:"controller"`
	Operator         Operator             `toml:"operator"`
	Types            []MachineType        `toml:"types"`
	Teams            Teams                `toml:"teams"`
	Objectives       []ClassObjective     `toml:"objectives"`
	Jobs             []JobClass           `toml:"jobs"`
	Failures         []Failure            `toml:"failures"`
	// Regions are deployments that share the teams' limits; each has all that the other fields
	// describe. Empty for a single deployment.
	Regions []Region `toml:"regions"`
}

// Operator has the settings that operators can change.
type Operator struct {
	// IdleReturnS is the idle time after which a machine is returned to the cloud; 0 for the
	// program's default.
	IdleReturnS float64 `toml:"idle_return_s"`
}

// MachineType is a type of machine and how many of them the cloud has.
type MachineType struct {
	Name          string  `toml:"name"`
	CPUs          float64 `toml:"cpus"`
	GPUs          float64 `toml:"gpus"`
	MemoryGB      float64 `toml:"memory_gb"`
	CacheGB       float64 `toml:"cache_gb"`
	FetchGBPS     float64 `toml:"fetch_gb_per_s"`
	Price         float64 `toml:"price"`
	SpotPrice     float64 `toml:"spot_price"`
	BootS         float64 `toml:"boot_s"`
	OnDemandCount int     `toml:"count"`    // on-demand machines in all zones together
	SpotCount     int     `toml:"spot"`     // spot machines in all zones together
	UpShare       float64 `toml:"up_share"` // share of the on-demand machines that are up at the start
}

// Teams describes a number of equal teams: CPUs and GPUs are the sums of their guarantees, CPUsMax
// and GPUsMax the sums of their limits.
type Teams struct {
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// teamLimit returns the guarantee and the limit of each team.
func (e *Experiment) teamLimit() config.Team {
	teams, count := e.Teams, float64(e.Teams.Count)
	return config.Team{CPUs: teams.CPUs / count, CPUsMax: teams.CPUsMax / count, GPUs: teams.GPUs / count, GPUsMax: teams.GPUsMax / count}
}

// ClassObjective is the service-level objective of a class of jobs: the share of them that has to
// meet the time, see config.Objective.
type ClassObjective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// JobClass is a class of jobs and its load.
type JobClass struct {
	Class               string  `toml:"class"`
	Shape               string  `toml:"shape"` // array, gang or service
	Priority            string  `toml:"priority"`
	Tasks               []int   `toml:"tasks"` // tasks per job; the jobs take these sizes in turn
	CPUs                float64 `toml:"cpus"`
	GPUs                float64 `toml:"gpus"`
	MemoryGB            float64 `toml:"memory_gb"`
	RunS                float64 `toml:"run_s"` // mean run time of a task
	CheckpointIntervalS float64 `toml:"checkpoint_s"`
	CheckpointDurationS float64 `toml:"save_s"`
	Images              int     `toml:"images"`          // number of different container images
	ImageGB             float64 `toml:"image_gb"`        // size of each image
	InitialTasks        int     `toml:"initial"`         // tasks of the initial load
	InitialS            float64 `toml:"initial_s"`       // time over which the initial load is submitted
	TasksPerSecond      float64 `toml:"starts_per_s"`    // tasks per second of the steady load
	SteadyFromS         float64 `toml:"from_s"`          // when the steady load begins
	CancelledShare      float64 `toml:"cancelled_share"` // share of the jobs that their users cancel
	OneZone             bool    `toml:"one_zone"`
	SpreadZones         bool    `toml:"spread"`
	AllowSpot           bool    `toml:"spot"`
}

// Kinds of failures in experiment files.
const (
	FailLeader         = "kill_leader"
	FailAllControllers = "kill_all"
	FailWorkers        = "workers_gone"
	FailZone           = "zone_gone"
	FailStore          = "state_down"
	FailRegionLink     = "cut_regions"
	FailRepeatedCalls  = "repeat_calls"
)

var failureKinds = []string{FailLeader, FailAllControllers, FailWorkers, FailZone, FailStore, FailRegionLink, FailRepeatedCalls}

// Failure is a fault that is injected at a given time.
type Failure struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // share of the workers that are removed, or of the calls that are repeated
	Zone  string  `toml:"zone"`  // zone that fails; for workers_gone, their zone, or empty for all zones
	ForS  float64 `toml:"for_s"` // duration of a zone failure, an outage, a partition or repeated calls
	// Region is the region in which the failure is injected; empty for all regions. A partition
	// blocks connections from Region to the region To, or to all others if To is empty. With BothWays
	// it also blocks the opposite direction.
	Region   string `toml:"region"`
	To       string `toml:"to"`
	BothWays bool   `toml:"both"`
}

// Load reads and validates an experiment file. A validation error names the file, the field and the
// reason.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	experiment, err := Parse(string(data))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return experiment, nil
}

// Parse reads and validates an experiment.
func Parse(text string) (*Experiment, error) {
	experiment := &Experiment{Seed: 1, RestartS: 3}
	metadata, err := toml.Decode(text, experiment)
	if err != nil {
		return nil, err
	}
	var errs fieldErrors
	for _, key := range metadata.Undecoded() {
		errs.add(key.String(), "unknown field")
	}
	experiment.validate(&errs)
	return experiment, errors.Join(errs...)
}

// Scale multiplies the numbers of machines, the teams' guarantees and limits, and the initial and
// steady load. The number of controllers, the services' limits and all times stay.
func (e *Experiment) Scale(factor float64) {
	scaled := func(count int) int { return int(math.Round(float64(count) * factor)) }
	for i := range e.Types {
		machineType := &e.Types[i]
		machineType.OnDemandCount, machineType.SpotCount = scaled(machineType.OnDemandCount), scaled(machineType.SpotCount)
	}
	for i := range e.Jobs {
		class := &e.Jobs[i]
		class.InitialTasks, class.TasksPerSecond = scaled(class.InitialTasks), class.TasksPerSecond*factor
	}
	teams := &e.Teams
	teams.CPUs, teams.CPUsMax = teams.CPUs*factor, teams.CPUsMax*factor
	teams.GPUs, teams.GPUsMax = teams.GPUs*factor, teams.GPUsMax*factor
}
