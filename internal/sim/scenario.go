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

// Scenario is a parsed scenario file: settings, actions at their times, and expectations at the
// end. testdata/README.md describes the words of the file.
type Scenario struct {
	settings     *config.Settings
	seed         uint64
	seedCount    int // how many days are played, each with the next seed
	until        time.Duration
	machineTypes []scenarioLine
	actions      []scenarioLine
	expectations []scenarioLine
}

// defaultSettings are those of a scenario that changes none.
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

// ParseScenario reads a scenario. An error names the line.
func ParseScenario(text string) (scenario *Scenario, err error) {
	defer func() { // accessors of scenarioLine panic
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
		return nil, errors.New("scenario: no until")
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

// addSetting changes the settings of the deployment as a line says.
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

// Run plays the scenario and returns the violations of rules and the expectations that were
// not met.
func (s *Scenario) Run(log *slog.Logger) (world *World, faults []string) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	world = s.newWorld(log)
	return world, s.finish(world)
}

// newWorld makes the world of the scenario, with its actions scheduled.
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

// addMachineType adds a type of machine as a line describes it.
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

// lastQueriesTime is how long the answers to the last queries may take.
const lastQueriesTime = 3 * time.Second

// finish plays the world to its end, asks every controller for every accepted job, and returns
// what went wrong.
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
	world.run(s.until + lastQueriesTime)
	faults := append([]string(nil), world.checker.violations...)
	for _, line := range s.expectations {
		if why := world.checkExpectation(line); why != "" {
			faults = append(faults, fmt.Sprintf("line %d: %s", line.lineNumber, why))
		}
	}
	return faults
}

// queryUnknownJob asks for a job that nobody submitted.
func (u *users) queryUnknownJob() {
	c := u.pickController()
	if !c.alive {
		return
	}
	c.request(userEndpoint, "GET", submissionsPath+"/job-999999999999", nil, queryTimeout, func(status int, _ []byte) {
		if status == httpstatus.OK {
			u.world.checker.addViolation("invented", "a job that nobody submitted is known")
		}
	})
}
