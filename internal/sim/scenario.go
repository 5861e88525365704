package sim

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// Scenario is a parsed section of a scenario file: settings, timed actions, and expectations for
// the end. testdata/README.md describes the syntax.
type Scenario struct {
	settings     *config.Settings
	seed         uint64
	seedCount    int // number of runs, each with the next seed
	until        time.Duration
	machineTypes []scenarioLine
	actions      []scenarioLine
	expectations []scenarioLine
}

// defaultSettings returns the settings of a scenario that changes none.
func defaultSettings() *config.Settings {
	return &config.Settings{Deployment: config.Deployment{
		Size:          3,
		Zones:         []string{"east", "north", "west"},
		Workers:       config.WorkerTimings{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
		Store:         config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:         config.CloudLimits{RPS: 8, ListLagS: 5},
		MachineLimits: config.MachineLimits{CPU: 0.2, RAMMB: 100, MaxConnections: 800},
	}}
}

// ParseScenario parses a scenario. Errors in a line contain the line's number.
func ParseScenario(text string) (scenario *Scenario, err error) {
	defer func() { // the accessors of scenarioLine panic on invalid lines
		if r := recover(); r != nil {
			err = fmt.Errorf("scenario: %v", r)
		}
	}()
	scenario = &Scenario{settings: defaultSettings(), seed: 1, seedCount: 1}
	for i, raw := range strings.Split(text, "\n") {
		line, found, err := parseLine(i+1, raw)
		if err == nil && found {
			err = scenario.addLine(line)
		}
		if err != nil {
			return nil, fmt.Errorf("scenario: line %d: %w", i+1, err)
		}
	}
	if scenario.until == 0 {
		return nil, errors.New("scenario: line \"until\" is missing")
	}
	return scenario, nil
}

func (s *Scenario) addLine(line scenarioLine) (err error) {
	if line.timed {
		s.actions = append(s.actions, line)
		return nil
	}
	switch line.word {
	case "seed":
		s.seed, err = strconv.ParseUint(line.arg(0), 10, 64)
	case "seeds":
		s.seedCount, err = strconv.Atoi(line.arg(0))
	case "until":
		var until float64
		until, err = strconv.ParseFloat(line.arg(0), 64)
		s.until = seconds(until)
	case "type":
		s.machineTypes = append(s.machineTypes, line)
	case "expect":
		s.expectations = append(s.expectations, line)
	default:
		return s.addSetting(line)
	}
	return err
}

// addSetting applies a line to the settings of the deployment.
func (s *Scenario) addSetting(line scenarioLine) (err error) {
	deployment := &s.settings.Deployment
	switch line.word {
	case "controllers":
		deployment.Size, err = strconv.Atoi(line.arg(0))
	case "team":
		deployment.Teams = append(deployment.Teams, config.Team{
			Name: line.arg(0),
			CPUs: line.number("cpus", 0), CPUsMax: line.number("cpus_max", 0), GPUs: line.number("gpus", 0), GPUsMax: line.number("gpus_max", 0),
		})
	case "wait", "finished":
		deployment.Objectives = append(deployment.Objectives,
			config.Objective{Kind: line.word, Class: line.arg(0), WithinS: line.number("within", 1), Share: 0.9})
	case "workers":
		timings := &deployment.Workers
		timings.ReportS = line.number("report", timings.ReportS)
		timings.LeaseS = line.number("lease", timings.LeaseS)
		timings.CancelS = line.number("cancel", timings.CancelS)
	case "state":
		deployment.Store = line.storeLimits(deployment.Store)
		deployment.Store.RPS = line.number("rps", deployment.Store.RPS)
	case "next":
		next := line.storeLimits(deployment.Store)
		deployment.Store.Next = &next
	case "cloud":
		deployment.Cloud.RPS = line.number("rps", deployment.Cloud.RPS)
		deployment.Cloud.ListLagS = line.number("lag", deployment.Cloud.ListLagS)
	default:
		return fmt.Errorf("unknown word %q", line.word)
	}
	return err
}

// Run runs the scenario and returns the violations of rules and the expectations that were not
// met.
func (s *Scenario) Run(log *slog.Logger) (world *World, failures []string) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	world = s.newWorld(log)
	return world, s.finish(world)
}

// newWorld makes the world of the scenario and schedules the actions.
func (s *Scenario) newWorld(log *slog.Logger) *World {
	world := newWorld(s.settings, s.seed, log)
	for _, line := range s.machineTypes {
		world.cloud.addMachineType(line, s.settings.Deployment.Zones)
	}
	for _, line := range s.actions {
		world.after(line.at, func() { world.perform(line) })
		if duration, isFault := line.faultDuration(seconds(s.settings.Deployment.Workers.LeaseS)); isFault {
			world.faultsEnd = max(world.faultsEnd, line.at+duration)
		}
	}
	return world
}

// addMachineType adds the machine type that a line describes.
func (c *cloudService) addMachineType(line scenarioLine, zones []string) {
	if names := line.options["zones"]; names != "" {
		zones = strings.Split(names, ",")
	}
	name := line.arg(0)
	c.types = append(c.types, wire.MachineType{
		Name: name, CPUs: line.number("cpus", 8), GPUs: line.number("gpus", 0),
		MemGB: line.number("mem", 64), CacheGB: line.number("cache", 200), PullGBPerS: line.number("fetch", 1), Price: line.number("price", 1),
		SpotPrice: line.number("spot_price", 0.4), BootS: line.number("boot", 20), Zones: zones,
	})
	for _, zone := range zones {
		c.capacity[offer{name, zone, false}] = int(line.number("cap", 10))
		c.capacity[offer{name, zone, true}] = int(line.number("spot", 0))
	}
}

// finalQueryTimeout is how long the answers to the final queries may take.
const finalQueryTimeout = 3 * time.Second

// finish runs the world to its end, queries every running controller for every accepted job, and
// returns the violations and the expectations that were not met.
func (s *Scenario) finish(world *World) []string {
	world.run(s.until)
	for _, id := range world.users.sortedIDs() {
		job := world.users.jobs[id]
		if !job.accepted {
			continue
		}
		for _, c := range world.controllers {
			if c.alive {
				world.users.queryStatus(job, c)
			}
		}
	}
	world.users.queryUnknownJob()
	world.run(s.until + finalQueryTimeout)
	failures := append([]string(nil), world.checker.violations...)
	for _, line := range s.expectations {
		if why := world.checkExpectation(line); why != "" {
			failures = append(failures, fmt.Sprintf("line %d: %s", line.lineNumber, why))
		}
	}
	return failures
}

// queryUnknownJob queries a job that was never submitted, which controllers must not find.
func (u *users) queryUnknownJob() {
	c := u.pickController()
	if !c.alive {
		return
	}
	c.request(userEndpoint, "GET", submissionsPath+"/job-999999999999", nil, queryTimeout, func(status int, _ []byte) {
		if status == httpstatus.OK {
			u.world.checker.addViolation("invented", "query found a job that was never submitted")
		}
	})
}
