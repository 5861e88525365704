package hollow

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// FieldError is a field of an experiment file with an invalid value.
type FieldError struct {
	Field  string // with its tables, as in "types[0].cpus"
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// fieldErrors collects the errors of an experiment.
type fieldErrors []error

func (e *fieldErrors) add(field, format string, args ...any) {
	*e = append(*e, &FieldError{field, fmt.Sprintf(format, args...)})
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

// Sizes that one machine can run.
const (
	maxControllers = 9
	maxWorkers     = 10000
)

// validate collects the errors of the experiment.
func (e *Experiment) validate(errs *fieldErrors) {
	errs.positive("seconds", e.Seconds)
	errs.positive("restart_s", e.RestartS)
	if e.Controllers < 1 || e.Controllers > maxControllers {
		errs.add("controllers", "must be from 1 to %d, is %d", maxControllers, e.Controllers)
	}
	if len(e.Zones) == 0 {
		errs.add("zones", "missing")
	}
	e.validateDeployment(errs)
	if e.Teams.Count < 1 {
		errs.add("teams.count", "must be above 0, is %d", e.Teams.Count)
	}
	e.validateTypes(errs)
	e.validateJobs(errs)
	e.validateFailures(errs)
	e.validateRegions(errs)
}

// validateDeployment validates the settings of controllers and the limits of services.
func (e *Experiment) validateDeployment(errs *fieldErrors) {
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
}

func (e *Experiment) hasRegion(name string) bool {
	return slices.ContainsFunc(e.Regions, func(region Region) bool { return region.Name == name })
}

// validateRegions validates that the regions own each limit together.
func (e *Experiment) validateRegions(errs *fieldErrors) {
	owned := 0.0
	for i, region := range e.Regions {
		table := fmt.Sprintf("regions[%d].", i)
		if region.Name == "" {
			errs.add(table+"name", "missing")
		}
		if region.Load < 0 {
			errs.add(table+"load", "must not be below 0, is %v", region.Load)
		}
		errs.share(table+"owned", region.Owned)
		owned += region.Owned
	}
	if len(e.Regions) == 1 || len(e.Regions) > 1 && math.Abs(owned-1) > 1e-9 {
		errs.add("regions", "must be two or more that own 1 together, are %d that own %v", len(e.Regions), owned)
	}
}

// validateTypes validates the types of machines and their number.
func (e *Experiment) validateTypes(errs *fieldErrors) {
	if len(e.Types) == 0 {
		errs.add("types", "missing")
	}
	workers := 0
	for i, machineType := range e.Types {
		table := fmt.Sprintf("types[%d].", i)
		if machineType.Name == "" {
			errs.add(table+"name", "missing")
		}
		errs.positive(table+"cpus", machineType.CPUs)
		errs.positive(table+"memory_gb", machineType.MemoryGB)
		errs.positive(table+"fetch_gb_per_s", machineType.FetchGBPS)
		errs.positive(table+"price", machineType.Price)
		errs.positive(table+"boot_s", machineType.BootS)
		errs.share(table+"up_share", machineType.UpShare)
		if machineType.OnDemandCount < 0 || machineType.SpotCount < 0 || machineType.OnDemandCount+machineType.SpotCount == 0 {
			errs.add(table+"count", "no machine of this type: %d and %d spot", machineType.OnDemandCount, machineType.SpotCount)
		}
		workers += machineType.OnDemandCount + machineType.SpotCount
	}
	if workers > maxWorkers {
		errs.add("types", "%d machines, at most %d", workers, maxWorkers)
	}
}

// Names of shapes in experiment files.
const (
	shapeArray   = "array"
	shapeGang    = "gang"
	shapeService = "service"
)

// jobShapes are the shapes of jobs by their names in experiment files.
var jobShapes = map[string]wire.Shape{shapeArray: wire.ShapeArray, shapeGang: wire.ShapeGang, shapeService: wire.ShapeService}

// validateJobs validates the classes of jobs.
func (e *Experiment) validateJobs(errs *fieldErrors) {
	if len(e.Jobs) == 0 {
		errs.add("jobs", "missing")
	}
	for i, class := range e.Jobs {
		table := fmt.Sprintf("jobs[%d].", i)
		if class.Class == "" {
			errs.add(table+"class", "missing")
		}
		errs.oneOf(table+"shape", class.Shape, []string{shapeArray, shapeGang, shapeService})
		errs.oneOf(table+"priority", class.Priority, []string{"critical", "urgent", "normal", "idle"})
		if len(class.Tasks) == 0 || slices.Min(class.Tasks) < 1 {
			errs.add(table+"tasks", "must name sizes above 0, is %v", class.Tasks)
		}
		errs.positive(table+"cpus", class.CPUs)
		errs.positive(table+"memory_gb", class.MemoryGB)
		errs.positive(table+"images", float64(class.Images))
		if class.Shape != shapeService {
			errs.positive(table+"run_s", class.RunS)
		}
		errs.share(table+"cancelled_share", class.CancelledShare)
		if class.InitialTasks < 0 || class.TasksPerSecond < 0 || class.InitialS < 0 || class.FromS < 0 {
			errs.add(table+"initial", "initial, initial_s, starts_per_s and from_s must not be below 0")
		}
	}
}

// validateFailures validates the failures against zones and regions.
func (e *Experiment) validateFailures(errs *fieldErrors) {
	for i, failure := range e.Failures {
		table := fmt.Sprintf("failures[%d].", i)
		errs.oneOf(table+"kind", failure.Kind, failureKinds)
		errs.share(table+"share", failure.Share)
		if failure.AtS < 0 || failure.AtS >= e.Seconds {
			errs.add(table+"at_s", "must be within the %v s of the run, is %v", e.Seconds, failure.AtS)
		}
		if failure.Region != "" && !e.hasRegion(failure.Region) || failure.Kind == FailRegionLink && failure.Region == "" {
			errs.add(table+"region", "%q is none of the regions", failure.Region)
		}
		if failure.To != "" && !e.hasRegion(failure.To) {
			errs.add(table+"to", "%q is none of the regions", failure.To)
		}
		if failure.Kind == FailZone && !slices.Contains(e.Zones, failure.Zone) {
			errs.add(table+"zone", "%q is none of the zones", failure.Zone)
		}
	}
}
