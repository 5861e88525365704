// Package hollow runs real controller processes among stand-ins that speak the real protocol over
// loopback: thousands of hollow workers, users, a cloud and a key-value store in one process, by the
// real clock. A hollow worker is a simulated worker in front of a real controller, as the hollow nodes
// of Kubernetes' load tests are. The stand-ins and the checker of rules are those of package sim.
//
// The package starts and ends processes, listens on loopback addresses and writes files to the
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
	Name        string               `toml:"name"`
	Seconds     float64              `toml:"seconds"` // how long it runs
	Seed        uint64               `toml:"seed"`
	Controllers int                  `toml:"controllers"`
	Zones       []string             `toml:"zones"`
	RestartS    float64              `toml:"restart_s"` // from the kill of a controller to its next start
	Workers     config.WorkerTimings `toml:"workers"`
	State       config.StoreLimits   `toml:"state"`
	Cloud       config.CloudLimits   `toml:"cloud"`
	Limits      config.MachineLimits `toml:"controller"`
	Operator    Operator             `toml:"operator"`
	Types       []MachineType        `toml:"types"`
	Teams       Teams                `toml:"teams"`
	Objectives  []ClassObjective     `toml:"objectives"`
	Jobs        []JobClass           `toml:"jobs"`
	Failures    []Failure            `toml:"failures"`
	// Regions are deployments of this kind that share the teams' limits; none for a single
	// deployment.
	Regions []Region `toml:"regions"`
}

// Operator has the operators' own settings.
type Operator struct {
	IdleReturnS float64 `toml:"idle_return_s"` // after which idle machines are returned; 0 for the program's default
}

// MachineType is a type of machine, and how many the cloud has.
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
	OnDemandCount int     `toml:"count"`    // on-demand machines over all zones
	SpotCount     int     `toml:"spot"`     // spot machines over all zones
	UpShare       float64 `toml:"up_share"` // of the on-demand machines, up from the beginning
}

// Teams are a number of teams that share a guarantee and a limit evenly.
type Teams struct {
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// teamLimit is the guarantee and the limit of each team.
func (e *Experiment) teamLimit() config.Team {
	teams, count := e.Teams, float64(e.Teams.Count)
	return config.Team{CPUs: teams.CPUs / count, CPUsMax: teams.CPUsMax / count, GPUs: teams.GPUs / count, GPUsMax: teams.GPUsMax / count}
}

// ClassObjective is the service-level objective of a class.
type ClassObjective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// JobClass is a class of jobs and its load.
type JobClass struct {
	Class          string  `toml:"class"`
	Shape          string  `toml:"shape"` // array, gang or service
	Priority       string  `toml:"priority"`
	Tasks          []int   `toml:"tasks"` // sizes of its jobs, in turn
	CPUs           float64 `toml:"cpus"`
	GPUs           float64 `toml:"gpus"`
	MemoryGB       float64 `toml:"memory_gb"`
	RunS           float64 `toml:"run_s"` // mean run time of a task
	CheckpointS    float64 `toml:"checkpoint_s"`
	SaveS          float64 `toml:"save_s"`
	Images         int     `toml:"images"`
	ImageGB        float64 `toml:"image_gb"`
	InitialTasks   int     `toml:"initial"`         // tasks submitted at the start
	InitialS       float64 `toml:"initial_s"`       // time over which they are submitted
	TasksPerSecond float64 `toml:"starts_per_s"`    // tasks submitted a second from then on
	FromS          float64 `toml:"from_s"`          // when the steady load begins
	CancelledShare float64 `toml:"cancelled_share"` // share of the jobs that their users cancel
	OneZone        bool    `toml:"one_zone"`
	Spread         bool    `toml:"spread"`
	Spot           bool    `toml:"spot"`
}

// Kinds of failures.
const (
	FailLeader     = "kill_leader"
	FailAll        = "kill_all"
	FailWorkers    = "workers_gone"
	FailZone       = "zone_gone"
	FailStore      = "state_down"
	FailRegionLink = "cut_regions"
)

var failureKinds = []string{FailLeader, FailAll, FailWorkers, FailZone, FailStore, FailRegionLink}

// Failure is a fault that is injected at a time.
type Failure struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // of the workers
	Zone  string  `toml:"zone"`
	ForS  float64 `toml:"for_s"`
	// Region is where it happens; empty for all. A partition is from it to the region To, or to all
	// others, and with BothWays also back.
	Region   string `toml:"region"`
	To       string `toml:"to"`
	BothWays bool   `toml:"both"`
}

// Load reads and validates an experiment file. An error names the file, the field and the reason.
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

// Scale multiplies the fleet and its load: machines, teams' limits and jobs. Controllers, the services'
// limits and times stay.
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
