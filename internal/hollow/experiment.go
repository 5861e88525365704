// Package hollow runs real controller processes among stand-ins that speak the real
// protocol over loopback: thousands of hollow workers, users, a cloud and a state
// service in one process, by the real clock. The stand-ins and the judge of the
// rules are those of package sim.
package hollow

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// Experiment is what an experiment file says. Times are in seconds.
type Experiment struct {
	Name        string               `toml:"name"`
	Seconds     float64              `toml:"seconds"` // how long it runs
	Seed        uint64               `toml:"seed"`
	Controllers int                  `toml:"controllers"`
	Zones       []string             `toml:"zones"`
	RestartS    float64              `toml:"restart_s"` // from a controller's end to its next start
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
	// Regions, if there are any, are that many deployments of this kind which share the limits.
	Regions []Region `toml:"regions"`
}

// Operator is what the operators' own settings say in the experiment.
type Operator struct {
	IdleReturnS float64 `toml:"idle_return_s"` // when idle machines are returned; 0 for the program's own time
}

// MachineType is a type of machine, and how many of it the cloud has.
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
	OnDemandCount int     `toml:"count"`    // ordinary machines over all zones
	SpotCount     int     `toml:"spot"`     // spot machines over all zones
	UpShare       float64 `toml:"up_share"` // of the ordinary ones, up from the beginning
}

// Teams are that many teams which share guarantee and limit evenly.
type Teams struct {
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// teamLimit is what each team is guaranteed and limited to.
func (e *Experiment) teamLimit() config.Team {
	t, n := e.Teams, float64(e.Teams.Count)
	return config.Team{CPUs: t.CPUs / n, CPUsMax: t.CPUsMax / n, GPUs: t.GPUs / n, GPUsMax: t.GPUsMax / n}
}

// ClassObjective is what is expected of a class.
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
	Tasks          []int   `toml:"tasks"` // the sizes of its jobs, one after the other
	CPUs           float64 `toml:"cpus"`
	GPUs           float64 `toml:"gpus"`
	MemoryGB       float64 `toml:"memory_gb"`
	RunS           float64 `toml:"run_s"` // on average; half to one and a half times it
	CheckpointS    float64 `toml:"checkpoint_s"`
	SaveS          float64 `toml:"save_s"`
	Images         int     `toml:"images"`
	ImageGB        float64 `toml:"image_gb"`
	InitialTasks   int     `toml:"initial"`         // tasks submitted at the start
	InitialS       float64 `toml:"initial_s"`       // over which time
	TasksPerSecond float64 `toml:"starts_per_s"`    // tasks submitted a second after that
	FromS          float64 `toml:"from_s"`          // from when on
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

// Failure is something that fails at a time.
type Failure struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // of the workers
	Zone  string  `toml:"zone"`
	ForS  float64 `toml:"for_s"`
	// Region is where it happens; empty for all. A cut is from it to the region To, or to all
	// others, and if Both also back.
	Region   string `toml:"region"`
	To       string `toml:"to"`
	BothWays bool   `toml:"both"`
}

// Load reads and checks an experiment file. An error names the file, the field and
// the reason.
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

// Parse reads and checks an experiment.
func Parse(text string) (*Experiment, error) {
	experiment := &Experiment{Seed: 1, RestartS: 3}
	md, err := toml.Decode(text, experiment)
	if err != nil {
		return nil, err
	}
	var errs fieldErrors
	for _, key := range md.Undecoded() {
		errs.add(key.String(), "unknown field")
	}
	experiment.validate(&errs)
	return experiment, errors.Join(errs...)
}

// FieldError is a field with a wrong value.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// fieldErrors collects what is wrong with an experiment.
type fieldErrors []error

func (e *fieldErrors) add(field, format string, a ...any) {
	*e = append(*e, &FieldError{field, fmt.Sprintf(format, a...)})
}

func (e *fieldErrors) positive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		e.add(field, "must be above 0, is %v", v)
	}
}

func (e *fieldErrors) share(field string, v float64) {
	if !(v >= 0 && v <= 1) {
		e.add(field, "must be from 0 to 1, is %v", v)
	}
}

func (e *fieldErrors) oneOf(field, v string, allowed []string) {
	if !slices.Contains(allowed, v) {
		e.add(field, "must be one of %s, is %q", strings.Join(allowed, ", "), v)
	}
}

// The sizes that one machine can play.
const (
	maxControllers = 9
	maxWorkers     = 10000
)

func (e *Experiment) validate(errs *fieldErrors) {
	errs.positive("seconds", e.Seconds)
	errs.positive("restart_s", e.RestartS)
	if e.Controllers < 1 || e.Controllers > maxControllers {
		errs.add("controllers", "must be from 1 to %d, is %d", maxControllers, e.Controllers)
	}
	if len(e.Zones) == 0 {
		errs.add("zones", "missing")
	}
	errs.positive("workers.report_s", e.Workers.ReportS)
	errs.positive("workers.lease_s", e.Workers.LeaseS)
	errs.positive("workers.cancel_s", e.Workers.CancelS)
	errs.positive("state.rps", e.State.RPS)
	errs.positive("state.write_rps", e.State.WriteRPS)
	errs.positive("state.value_kb", e.State.ValueKB)
	errs.positive("state.txn_ops", float64(e.State.TxnOps))
	errs.positive("cloud.rps", e.Cloud.RPS)
	errs.positive("controller.ram_mb", e.Limits.RAMMB)
	if e.Operator.IdleReturnS < 0 {
		errs.add("operator.idle_return_s", "must not be below 0, is %v", e.Operator.IdleReturnS)
	}
	errs.positive("controller.max_connections", float64(e.Limits.MaxConnections))
	if e.Teams.Count < 1 {
		errs.add("teams.count", "must be above 0, is %d", e.Teams.Count)
	}
	e.validateTypes(errs)
	e.validateJobs(errs)
	e.validateFailures(errs)
	e.validateRegions(errs)
}

func (e *Experiment) hasRegion(name string) bool {
	return slices.ContainsFunc(e.Regions, func(region Region) bool { return region.Name == name })
}

func (e *Experiment) validateRegions(errs *fieldErrors) {
	owned := 0.0
	for i, region := range e.Regions {
		at := fmt.Sprintf("regions[%d].", i)
		if region.Name == "" {
			errs.add(at+"name", "missing")
		}
		if region.Load < 0 {
			errs.add(at+"load", "must not be below 0, is %v", region.Load)
		}
		errs.share(at+"owned", region.Owned)
		owned += region.Owned
	}
	if len(e.Regions) == 1 || len(e.Regions) > 1 && math.Abs(owned-1) > 1e-9 {
		errs.add("regions", "must be two or more that own 1 together, are %d that own %v", len(e.Regions), owned)
	}
}

func (e *Experiment) validateTypes(errs *fieldErrors) {
	if len(e.Types) == 0 {
		errs.add("types", "missing")
	}
	workers := 0
	for i, machineType := range e.Types {
		at := fmt.Sprintf("types[%d].", i)
		if machineType.Name == "" {
			errs.add(at+"name", "missing")
		}
		errs.positive(at+"cpus", machineType.CPUs)
		errs.positive(at+"memory_gb", machineType.MemoryGB)
		errs.positive(at+"fetch_gb_per_s", machineType.FetchGBPS)
		errs.positive(at+"price", machineType.Price)
		errs.positive(at+"boot_s", machineType.BootS)
		errs.share(at+"up_share", machineType.UpShare)
		if machineType.OnDemandCount < 0 || machineType.SpotCount < 0 || machineType.OnDemandCount+machineType.SpotCount == 0 {
			errs.add(at+"count", "no machine of this type: %d and %d spot", machineType.OnDemandCount, machineType.SpotCount)
		}
		workers += machineType.OnDemandCount + machineType.SpotCount
	}
	if workers > maxWorkers {
		errs.add("types", "%d machines, at most %d", workers, maxWorkers)
	}
}

// jobShapes names the shapes of jobs as experiment files do.
var jobShapes = map[string]wire.Shape{"array": wire.ShapeArray, "gang": wire.ShapeGang, "service": wire.ShapeService}

func (e *Experiment) validateJobs(errs *fieldErrors) {
	if len(e.Jobs) == 0 {
		errs.add("jobs", "missing")
	}
	for i, job := range e.Jobs {
		at := fmt.Sprintf("jobs[%d].", i)
		if job.Class == "" {
			errs.add(at+"class", "missing")
		}
		errs.oneOf(at+"shape", job.Shape, []string{"array", "gang", "service"})
		errs.oneOf(at+"priority", job.Priority, []string{"critical", "urgent", "normal", "idle"})
		if len(job.Tasks) == 0 || slices.Min(job.Tasks) < 1 {
			errs.add(at+"tasks", "must name sizes above 0, is %v", job.Tasks)
		}
		errs.positive(at+"cpus", job.CPUs)
		errs.positive(at+"memory_gb", job.MemoryGB)
		errs.positive(at+"images", float64(job.Images))
		if job.Shape != "service" {
			errs.positive(at+"run_s", job.RunS)
		}
		errs.share(at+"cancelled_share", job.CancelledShare)
		if job.InitialTasks < 0 || job.TasksPerSecond < 0 || job.InitialS < 0 || job.FromS < 0 {
			errs.add(at+"initial", "initial, initial_s, starts_per_s and from_s must not be below 0")
		}
	}
}

func (e *Experiment) validateFailures(errs *fieldErrors) {
	for i, failure := range e.Failures {
		at := fmt.Sprintf("failures[%d].", i)
		errs.oneOf(at+"kind", failure.Kind, failureKinds)
		errs.share(at+"share", failure.Share)
		if failure.AtS < 0 || failure.AtS >= e.Seconds {
			errs.add(at+"at_s", "must be within the %v s of the run, is %v", e.Seconds, failure.AtS)
		}
		if failure.Region != "" && !e.hasRegion(failure.Region) || failure.Kind == FailRegionLink && failure.Region == "" {
			errs.add(at+"region", "%q is none of the regions", failure.Region)
		}
		if failure.To != "" && !e.hasRegion(failure.To) {
			errs.add(at+"to", "%q is none of the regions", failure.To)
		}
		if failure.Kind == FailZone && !slices.Contains(e.Zones, failure.Zone) {
			errs.add(at+"zone", "%q is none of the zones", failure.Zone)
		}
	}
}

// Scale multiplies the fleet and its load: machines, teams' limits and jobs, not
// the controllers, the services' limits or the times.
func (e *Experiment) Scale(factor float64) {
	scaled := func(v int) int { return int(math.Round(float64(v) * factor)) }
	for i := range e.Types {
		t := &e.Types[i]
		t.OnDemandCount, t.SpotCount = scaled(t.OnDemandCount), scaled(t.SpotCount)
	}
	for i := range e.Jobs {
		job := &e.Jobs[i]
		job.InitialTasks, job.TasksPerSecond = scaled(job.InitialTasks), job.TasksPerSecond*factor
	}
	t := &e.Teams
	t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax = t.CPUs*factor, t.CPUsMax*factor, t.GPUs*factor, t.GPUsMax*factor
}
