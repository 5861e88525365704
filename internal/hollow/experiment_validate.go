package hollow

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/wire"
)

// FieldError reports an invalid or unknown field of an experiment file.
type FieldError struct {
	Field  string // with the tables that hold it, as in "types[0].cpus"
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// fieldErrors collects the FieldErrors of an experiment.
type fieldErrors []error

func (e *fieldErrors) add(field, format string, args ...any) {
	*e = append(*e, &FieldError{field, fmt.Sprintf(format, args...)})
}

func (e *fieldErrors) checkPositive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		e.add(field, "must be greater than 0, is %v", value)
	}
}

func (e *fieldErrors) checkShare(field string, value float64) {
	if !(value >= 0 && value <= 1) {
		e.add(field, "must be from 0 to 1, is %v", value)
	}
}

func (e *fieldErrors) checkOneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		e.add(field, "must be one of %s, is %q", strings.Join(allowed, ", "), value)
	}
}

// Limits of an experiment, so that it runs on one machine.
const (
	maxControllers = 9
	maxWorkers     = 10000
)

// validate adds an error for each invalid field of the experiment.
func (e *Experiment) validate(errs *fieldErrors) {
	errs.checkPositive("seconds", e.DurationS)
	errs.checkPositive("restart_s", e.RestartS)
	if e.Controllers < 1 || e.Controllers > maxControllers {
		errs.add("controllers", "must be from 1 to %d, is %d", maxControllers, e.Controllers)
	}
	if len(e.Zones) == 0 {
		errs.add("zones", "missing")
	}
	e.validateDeployment(errs)
	if e.Teams.Count < 1 {
		errs.add("teams.count", "must be greater than 0, is %d", e.Teams.Count)
	}
	e.validateTypes(errs)
	e.validateJobs(errs)
	e.validateFailures(errs)
	e.validateRegions(errs)
}

// validateDeployment validates the controllers' settings and the rate limits of the key-value store
// and the cloud.
func (e *Experiment) validateDeployment(errs *fieldErrors) {
	errs.checkPositive("workers.report_s", e.Workers.ReportS)
	errs.checkPositive("workers.lease_s", e.Workers.LeaseS)
	errs.checkPositive("workers.cancel_s", e.Workers.CancelS)
	errs.checkPositive("state.rps", e.Store.RPS)
	errs.checkPositive("state.write_rps", e.Store.WriteRPS)
	errs.checkPositive("state.value_kb", e.Store.ValueKB)
	errs.checkPositive("state.txn_ops", float64(e.Store.TxnOps))
	errs.checkPositive("cloud.rps", e.Cloud.RPS)
	errs.checkPositive("controller.ram_mb", e.ControllerLimits.RAMMB)
	if e.Operator.IdleReturnS < 0 {
		errs.add("operator.idle_return_s", "must be 0 or greater, is %v", e.Operator.IdleReturnS)
	}
	errs.checkPositive("controller.max_connections", float64(e.ControllerLimits.MaxConnections))
}

func (e *Experiment) hasRegion(name string) bool {
	return slices.ContainsFunc(e.Regions, func(region Region) bool { return region.Name == name })
}

// validateRegions validates the regions. Their shares of the teams' limits must add up to 1.
func (e *Experiment) validateRegions(errs *fieldErrors) {
	owned := 0.0
	for i, region := range e.Regions {
		table := fmt.Sprintf("regions[%d].", i)
		if region.Name == "" {
			errs.add(table+"name", "missing")
		}
		if region.LoadFactor < 0 {
			errs.add(table+"load", "must be 0 or greater, is %v", region.LoadFactor)
		}
		errs.checkShare(table+"owned", region.OwnedShare)
		owned += region.OwnedShare
	}
	if len(e.Regions) == 1 || len(e.Regions) > 1 && math.Abs(owned-1) > 1e-9 {
		errs.add("regions", "must be none, or two or more whose owned shares add up to 1; are %d with a sum of %v", len(e.Regions), owned)
	}
}

// validateTypes validates the machine types and the total number of machines.
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
		errs.checkPositive(table+"cpus", machineType.CPUs)
		errs.checkPositive(table+"memory_gb", machineType.MemoryGB)
		errs.checkPositive(table+"fetch_gb_per_s", machineType.FetchGBPS)
		errs.checkPositive(table+"price", machineType.Price)
		errs.checkPositive(table+"boot_s", machineType.BootS)
		errs.checkShare(table+"up_share", machineType.UpShare)
		if machineType.OnDemandCount < 0 || machineType.SpotCount < 0 || machineType.OnDemandCount+machineType.SpotCount == 0 {
			errs.add(table+"count", "count and spot must be 0 or greater and not both 0, are %d and %d", machineType.OnDemandCount, machineType.SpotCount)
		}
		workers += machineType.OnDemandCount + machineType.SpotCount
	}
	if workers > maxWorkers {
		errs.add("types", "%d machines in all types together, must be at most %d", workers, maxWorkers)
	}
}

// Names of shapes in experiment files.
const (
	shapeArray   = "array"
	shapeGang    = "gang"
	shapeService = "service"
)

// jobShapes maps the names in experiment files to job shapes.
var jobShapes = map[string]wire.Shape{shapeArray: wire.ShapeArray, shapeGang: wire.ShapeGang, shapeService: wire.ShapeService}

// validateJobs validates the job classes.
func (e *Experiment) validateJobs(errs *fieldErrors) {
	if len(e.Jobs) == 0 {
		errs.add("jobs", "missing")
	}
	for i, class := range e.Jobs {
		table := fmt.Sprintf("jobs[%d].", i)
		if class.Class == "" {
			errs.add(table+"class", "missing")
		}
		errs.checkOneOf(table+"shape", class.Shape, []string{shapeArray, shapeGang, shapeService})
		errs.checkOneOf(table+"priority", class.Priority, []string{"critical", "urgent", "normal", "idle"})
		if len(class.Tasks) == 0 || slices.Min(class.Tasks) < 1 {
			errs.add(table+"tasks", "must be a list of sizes greater than 0 and not be empty, is %v", class.Tasks)
		}
		errs.checkPositive(table+"cpus", class.CPUs)
		errs.checkPositive(table+"memory_gb", class.MemoryGB)
		errs.checkPositive(table+"images", float64(class.Images))
		if class.Shape != shapeService {
			errs.checkPositive(table+"run_s", class.RunS)
		}
		errs.checkShare(table+"cancelled_share", class.CancelledShare)
		if class.InitialTasks < 0 || class.TasksPerSecond < 0 || class.InitialS < 0 || class.SteadyFromS < 0 {
			errs.add(table+"initial", "initial, initial_s, starts_per_s and from_s must be 0 or greater")
		}
	}
}

// validateFailures validates the failures. The zones and regions that they name must exist.
func (e *Experiment) validateFailures(errs *fieldErrors) {
	for i, failure := range e.Failures {
		table := fmt.Sprintf("failures[%d].", i)
		errs.checkOneOf(table+"kind", failure.Kind, failureKinds)
		errs.checkShare(table+"share", failure.Share)
		if failure.AtS < 0 || failure.AtS >= e.DurationS {
			errs.add(table+"at_s", "must be within the %v s of the run, is %v", e.DurationS, failure.AtS)
		}
		if failure.Region != "" && !e.hasRegion(failure.Region) || failure.Kind == FailRegionLink && failure.Region == "" {
			errs.add(table+"region", "%q is not a region of the experiment", failure.Region)
		}
		if failure.To != "" && !e.hasRegion(failure.To) {
			errs.add(table+"to", "%q is not a region of the experiment", failure.To)
		}
		if failure.Kind == FailZone && !slices.Contains(e.Zones, failure.Zone) {
			errs.add(table+"zone", "%q is not a zone of the experiment", failure.Zone)
		}
	}
}
