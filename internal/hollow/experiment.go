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
	Name        string           `toml:"name"`
	Seconds     float64          `toml:"seconds"` // how long it runs
	Seed        uint64           `toml:"seed"`
	Controllers int              `toml:"controllers"`
	Zones       []string         `toml:"zones"`
	RestartS    float64          `toml:"restart_s"` // from a controller's end to its next start
	Workers     config.Workers   `toml:"workers"`
	State       config.State     `toml:"state"`
	Cloud       config.Cloud     `toml:"cloud"`
	Limits      config.Limits    `toml:"controller"`
	Operator    Operator         `toml:"operator"`
	Types       []MachineType    `toml:"types"`
	Teams       Teams            `toml:"teams"`
	Objectives  []ClassObjective `toml:"objectives"`
	Jobs        []JobClass       `toml:"jobs"`
	Failures    []Failure        `toml:"failures"`
	// Regions, if there are any, are that many deployments of this kind which share the limits.
	Regions []Region `toml:"regions"`
}

// Operator is what the operators' own settings say in the experiment.
type Operator struct {
	IdleReturnS float64 `toml:"idle_return_s"` // when idle machines are returned; 0 for the program's own time
}

// MachineType is a type of machine, and how many of it the cloud has.
type MachineType struct {
	Name      string  `toml:"name"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	CacheGB   float64 `toml:"cache_gb"`
	FetchGBPS float64 `toml:"fetch_gb_per_s"`
	Price     float64 `toml:"price"`
	SpotPrice float64 `toml:"spot_price"`
	BootS     float64 `toml:"boot_s"`
	Count     int     `toml:"count"`    // ordinary machines over all zones
	Spot      int     `toml:"spot"`     // spot machines over all zones
	UpShare   float64 `toml:"up_share"` // of the ordinary ones, up from the beginning
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
	Class       string  `toml:"class"`
	Shape       string  `toml:"shape"` // array, gang or service
	Priority    string  `toml:"priority"`
	Tasks       []int   `toml:"tasks"` // the sizes of its jobs, one after the other
	CPUs        float64 `toml:"cpus"`
	GPUs        float64 `toml:"gpus"`
	MemoryGB    float64 `toml:"memory_gb"`
	RunS        float64 `toml:"run_s"` // on average; half to one and a half times it
	CheckpointS float64 `toml:"checkpoint_s"`
	SaveS       float64 `toml:"save_s"`
	Images      int     `toml:"images"`
	ImageGB     float64 `toml:"image_gb"`
	Initial     int     `toml:"initial"`         // tasks submitted at the start
	InitialS    float64 `toml:"initial_s"`       // over which time
	PerSecond   float64 `toml:"starts_per_s"`    // tasks submitted a second after that
	FromS       float64 `toml:"from_s"`          // from when on
	Cancelled   float64 `toml:"cancelled_share"` // share of the jobs that their users cancel
	OneZone     bool    `toml:"one_zone"`
	Spread      bool    `toml:"spread"`
	Spot        bool    `toml:"spot"`
}

// Kinds of failures.
const (
	FailLeader  = "kill_leader"
	FailAll     = "kill_all"
	FailWorkers = "workers_gone"
	FailZone    = "zone_gone"
	FailState   = "state_down"
	FailCut     = "cut_regions"
)

var failureKinds = []string{FailLeader, FailAll, FailWorkers, FailZone, FailState, FailCut}

// Failure is something that fails at a time.
type Failure struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // of the workers
	Zone  string  `toml:"zone"`
	ForS  float64 `toml:"for_s"`
	// Region is where it happens; empty for all. A cut is from it to the region To, or to all
	// others, and if Both also back.
	Region string `toml:"region"`
	To     string `toml:"to"`
	Both   bool   `toml:"both"`
}

// Load reads and checks an experiment file. An error names the file, the field and
// the reason.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	e, err := Parse(string(data))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Parse reads and checks an experiment.
func Parse(text string) (*Experiment, error) {
	e := &Experiment{Seed: 1, RestartS: 3}
	md, err := toml.Decode(text, e)
	if err != nil {
		return nil, err
	}
	var f faults
	for _, key := range md.Undecoded() {
		f.add(key.String(), "unknown field")
	}
	e.check(&f)
	return e, errors.Join(f...)
}

// FieldError is a field with a wrong value.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// faults collects what is wrong with an experiment.
type faults []error

func (f *faults) add(field, format string, a ...any) {
	*f = append(*f, &FieldError{field, fmt.Sprintf(format, a...)})
}

func (f *faults) positive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		f.add(field, "must be above 0, is %v", v)
	}
}

func (f *faults) share(field string, v float64) {
	if !(v >= 0 && v <= 1) {
		f.add(field, "must be from 0 to 1, is %v", v)
	}
}

func (f *faults) oneOf(field, v string, allowed []string) {
	if !slices.Contains(allowed, v) {
		f.add(field, "must be one of %s, is %q", strings.Join(allowed, ", "), v)
	}
}

// The sizes that one machine can play.
const (
	maxControllers = 9
	maxWorkers     = 10000
)

func (e *Experiment) check(f *faults) {
	f.positive("seconds", e.Seconds)
	f.positive("restart_s", e.RestartS)
	if e.Controllers < 1 || e.Controllers > maxControllers {
		f.add("controllers", "must be from 1 to %d, is %d", maxControllers, e.Controllers)
	}
	if len(e.Zones) == 0 {
		f.add("zones", "missing")
	}
	f.positive("workers.report_s", e.Workers.ReportS)
	f.positive("workers.lease_s", e.Workers.LeaseS)
	f.positive("workers.cancel_s", e.Workers.CancelS)
	f.positive("state.rps", e.State.RPS)
	f.positive("state.write_rps", e.State.WriteRPS)
	f.positive("state.value_kb", e.State.ValueKB)
	f.positive("state.txn_ops", float64(e.State.TxnOps))
	f.positive("cloud.rps", e.Cloud.RPS)
	f.positive("controller.ram_mb", e.Limits.RAMMB)
	if e.Operator.IdleReturnS < 0 {
		f.add("operator.idle_return_s", "must not be below 0, is %v", e.Operator.IdleReturnS)
	}
	f.positive("controller.max_connections", float64(e.Limits.MaxConnections))
	if e.Teams.Count < 1 {
		f.add("teams.count", "must be above 0, is %d", e.Teams.Count)
	}
	e.checkTypes(f)
	e.checkJobs(f)
	e.checkFailures(f)
	e.checkRegions(f)
}

func (e *Experiment) hasRegion(name string) bool {
	return slices.ContainsFunc(e.Regions, func(r Region) bool { return r.Name == name })
}

func (e *Experiment) checkRegions(f *faults) {
	owned := 0.0
	for i, r := range e.Regions {
		at := fmt.Sprintf("regions[%d].", i)
		if r.Name == "" {
			f.add(at+"name", "missing")
		}
		if r.Load < 0 {
			f.add(at+"load", "must not be below 0, is %v", r.Load)
		}
		f.share(at+"owned", r.Owned)
		owned += r.Owned
	}
	if len(e.Regions) == 1 || len(e.Regions) > 1 && math.Abs(owned-1) > 1e-9 {
		f.add("regions", "must be two or more that own 1 together, are %d that own %v", len(e.Regions), owned)
	}
}

func (e *Experiment) checkTypes(f *faults) {
	if len(e.Types) == 0 {
		f.add("types", "missing")
	}
	workers := 0
	for i, t := range e.Types {
		at := fmt.Sprintf("types[%d].", i)
		if t.Name == "" {
			f.add(at+"name", "missing")
		}
		f.positive(at+"cpus", t.CPUs)
		f.positive(at+"memory_gb", t.MemoryGB)
		f.positive(at+"fetch_gb_per_s", t.FetchGBPS)
		f.positive(at+"price", t.Price)
		f.positive(at+"boot_s", t.BootS)
		f.share(at+"up_share", t.UpShare)
		if t.Count < 0 || t.Spot < 0 || t.Count+t.Spot == 0 {
			f.add(at+"count", "no machine of this type: %d and %d spot", t.Count, t.Spot)
		}
		workers += t.Count + t.Spot
	}
	if workers > maxWorkers {
		f.add("types", "%d machines, at most %d", workers, maxWorkers)
	}
}

// shapes names the shapes of jobs as experiment files do.
var shapes = map[string]wire.Shape{"array": wire.ShapeArray, "gang": wire.ShapeGang, "service": wire.ShapeService}

func (e *Experiment) checkJobs(f *faults) {
	if len(e.Jobs) == 0 {
		f.add("jobs", "missing")
	}
	for i, j := range e.Jobs {
		at := fmt.Sprintf("jobs[%d].", i)
		if j.Class == "" {
			f.add(at+"class", "missing")
		}
		f.oneOf(at+"shape", j.Shape, []string{"array", "gang", "service"})
		f.oneOf(at+"priority", j.Priority, []string{"critical", "urgent", "normal", "idle"})
		if len(j.Tasks) == 0 || slices.Min(j.Tasks) < 1 {
			f.add(at+"tasks", "must name sizes above 0, is %v", j.Tasks)
		}
		f.positive(at+"cpus", j.CPUs)
		f.positive(at+"memory_gb", j.MemoryGB)
		f.positive(at+"images", float64(j.Images))
		if j.Shape != "service" {
			f.positive(at+"run_s", j.RunS)
		}
		f.share(at+"cancelled_share", j.Cancelled)
		if j.Initial < 0 || j.PerSecond < 0 || j.InitialS < 0 || j.FromS < 0 {
			f.add(at+"initial", "initial, initial_s, starts_per_s and from_s must not be below 0")
		}
	}
}

func (e *Experiment) checkFailures(f *faults) {
	for i, x := range e.Failures {
		at := fmt.Sprintf("failures[%d].", i)
		f.oneOf(at+"kind", x.Kind, failureKinds)
		f.share(at+"share", x.Share)
		if x.AtS < 0 || x.AtS >= e.Seconds {
			f.add(at+"at_s", "must be within the %v s of the run, is %v", e.Seconds, x.AtS)
		}
		if x.Region != "" && !e.hasRegion(x.Region) || x.Kind == FailCut && x.Region == "" {
			f.add(at+"region", "%q is none of the regions", x.Region)
		}
		if x.To != "" && !e.hasRegion(x.To) {
			f.add(at+"to", "%q is none of the regions", x.To)
		}
		if x.Kind == FailZone && !slices.Contains(e.Zones, x.Zone) {
			f.add(at+"zone", "%q is none of the zones", x.Zone)
		}
	}
}

// Scale multiplies the fleet and its load: machines, teams' limits and jobs, not
// the controllers, the services' limits or the times.
func (e *Experiment) Scale(k float64) {
	n := func(v int) int { return int(math.Round(float64(v) * k)) }
	for i := range e.Types {
		t := &e.Types[i]
		t.Count, t.Spot = n(t.Count), n(t.Spot)
	}
	for i := range e.Jobs {
		j := &e.Jobs[i]
		j.Initial, j.PerSecond = n(j.Initial), j.PerSecond*k
	}
	t := &e.Teams
	t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax = t.CPUs*k, t.CPUsMax*k, t.GPUs*k, t.GPUsMax*k
}
