package sim

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// defaultSettings are the settings of a scenario that names no others.
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

// Scenario is a parsed scenario file: a line is a word with arguments, those
// of the form key=value by name. The words are described in
// internal/sim/testdata/README.md.
type Scenario struct {
	settings     *config.Settings
	seed         uint64
	seedCount    int // how many days are played, each with the next seed
	until        time.Duration
	setup        []scenarioLine
	actions      []scenarioLine
	expectations []scenarioLine
}

type scenarioLine struct {
	lineNumber int
	timed      bool // something that happens at a time
	at         time.Duration
	word       string
	args       []string
	options    map[string]string
}

func (l *scenarioLine) number(key string, def float64) float64 {
	if v, ok := l.options[key]; ok {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			panic(fmt.Sprintf("line %d: %s: %v", l.lineNumber, key, err))
		}
		return f
	}
	return def
}

// storeLimits are those of the state service that the line names, and the others.
func (l *scenarioLine) storeLimits(s config.StoreLimits) config.StoreLimits {
	s.Next = nil
	s.ValueKB = l.number("value_kb", s.ValueKB)
	s.TxnOps = int(l.number("txn_ops", float64(s.TxnOps)))
	s.WriteRPS = l.number("write_rps", s.WriteRPS)
	return s
}

func (l *scenarioLine) arg(i int) string {
	if i >= len(l.args) {
		panic(fmt.Sprintf("line %d: %s lacks an argument", l.lineNumber, l.word))
	}
	return l.args[i]
}

func (l *scenarioLine) hasFlag(flag string) bool {
	for _, a := range l.args {
		if a == flag {
			return true
		}
	}
	return false
}

// ParseScenario reads a scenario.
func ParseScenario(text string) (scenario *Scenario, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("scenario: %v", r)
		}
	}()
	scenario = &Scenario{settings: defaultSettings(), seed: 1, seedCount: 1}
	for no, raw := range strings.Split(text, "\n") {
		l, ok, err := parseLine(no+1, raw)
		if err == nil && ok {
			err = scenario.addLine(l)
		}
		if err != nil {
			return nil, fmt.Errorf("scenario: line %d: %w", no+1, err)
		}
	}
	if scenario.until == 0 {
		return nil, fmt.Errorf("scenario: no until")
	}
	return scenario, nil
}

// parseLine reads a line; not ok if there is nothing on it.
func parseLine(no int, raw string) (l scenarioLine, ok bool, err error) {
	raw, _, _ = strings.Cut(raw, "#")
	words := strings.Fields(raw)
	if len(words) == 0 {
		return scenarioLine{}, false, nil
	}
	l = scenarioLine{lineNumber: no, options: map[string]string{}}
	if words[0] == "at" {
		t, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return scenarioLine{}, false, err
		}
		l.at, l.timed = seconds(t), true
		words = words[2:]
	}
	l.word = words[0]
	for _, a := range words[1:] {
		if k, v, ok := strings.Cut(a, "="); ok {
			l.options[k] = v
		} else {
			l.args = append(l.args, a)
		}
	}
	return l, true, nil
}

// addLine takes a line into the scenario.
func (s *Scenario) addLine(line scenarioLine) (err error) {
	if line.timed {
		s.actions = append(s.actions, line)
		return nil
	}
	deployment := &s.settings.Deployment
	switch line.word {
	case "seed":
		s.seed, err = strconv.ParseUint(line.arg(0), 10, 64)
	case "seeds":
		s.seedCount, err = strconv.Atoi(line.arg(0))
	case "controllers":
		deployment.Size, err = strconv.Atoi(line.arg(0))
	case "until":
		var t float64
		t, err = strconv.ParseFloat(line.arg(0), 64)
		s.until = seconds(t)
	case "team":
		deployment.Teams = append(deployment.Teams, config.Team{Name: line.arg(0),
			CPUs: line.number("cpus", 0), CPUsMax: line.number("cpus_max", 0), GPUs: line.number("gpus", 0), GPUsMax: line.number("gpus_max", 0)})
	case "wait", "finished":
		deployment.Objectives = append(deployment.Objectives, config.Objective{Kind: line.word, Class: line.arg(0), WithinS: line.number("within", 1), Share: 0.9})
	case "workers":
		w := &deployment.Workers
		w.ReportS, w.LeaseS, w.CancelS = line.number("report", w.ReportS), line.number("lease", w.LeaseS), line.number("cancel", w.CancelS)
	case "state":
		deployment.Store = line.storeLimits(deployment.Store)
		deployment.Store.RPS = line.number("rps", deployment.Store.RPS)
	case "cloud":
		deployment.Cloud.RPS, deployment.Cloud.ListLagS = line.number("rps", deployment.Cloud.RPS), line.number("lag", deployment.Cloud.ListLagS)
	case "next":
		next := line.storeLimits(deployment.Store)
		deployment.Store.Next = &next
	case "type":
		s.setup = append(s.setup, line)
	case "expect":
		s.expectations = append(s.expectations, line)
	default:
		return fmt.Errorf("unknown word %q", line.word)
	}
	return err
}

// Run plays the scenario and returns what went wrong.
func (s *Scenario) Run(log *slog.Logger) (world *World, faults []string) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	world = s.newWorld(log)
	return world, s.finish(world)
}

func (s *Scenario) newWorld(log *slog.Logger) *World {
	world := newWorld(s.settings, s.seed, log)
	for _, line := range s.setup {
		zones := s.settings.Deployment.Zones
		if z := line.options["zones"]; z != "" {
			zones = strings.Split(z, ",")
		}
		name := line.arg(0)
		world.cloud.types = append(world.cloud.types, wire.MachineType{Name: name, CPUs: line.number("cpus", 8), GPUs: line.number("gpus", 0),
			MemGB: line.number("mem", 64), CacheGB: line.number("cache", 200), PullGBPerS: line.number("fetch", 1), Price: line.number("price", 1),
			SpotPrice: line.number("spot_price", 0.4), BootS: line.number("boot", 20), Zones: zones})
		for _, z := range zones {
			world.cloud.capacity[offerKey(name, z, false)] = int(line.number("cap", 10))
			world.cloud.capacity[offerKey(name, z, true)] = int(line.number("spot", 0))
		}
	}
	for _, line := range s.actions {
		world.after(line.at, func() { world.perform(line) })
		if d, ok := line.faultDuration(seconds(s.settings.Deployment.Workers.LeaseS)); ok {
			world.faultsEnd = max(world.faultsEnd, line.at+d)
		}
	}
	return world
}

func (s *Scenario) finish(world *World) []string {
	world.run(s.until)
	for _, id := range world.users.sortedIDs() {
		job := world.users.jobs[id]
		if !job.accepted {
			continue
		}
		for _, controller := range world.controllers {
			if controller.alive {
				world.users.queryStatus(job, controller)
			}
		}
	}
	if controller := world.users.pickController(); controller.alive {
		controller.request("user", "GET", "/submissions/job-999999999999", nil, 2*time.Second, func(status int, _ []byte) {
			if status == 200 {
				world.checker.addViolation("invented", "a job that nobody submitted is known")
			}
		})
	}
	world.run(s.until + 3*time.Second)
	faults := append([]string(nil), world.checker.violations...)
	for _, l := range s.expectations {
		if why := world.checkExpectation(l); why != "" {
			faults = append(faults, fmt.Sprintf("line %d: %s", l.lineNumber, why))
		}
	}
	return faults
}

func (w *World) parseJob(line scenarioLine) *groundTruth {
	truth := &groundTruth{runS: line.number("run", 30), fails: line.hasFlag("fail"), doneTasks: map[int]bool{}, savedProgress: map[int]float64{}}
	truth.Job = wire.Job{ID: line.arg(0), Class: "web", Team: "t", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: int(line.number("tasks", 1)), CPUs: line.number("cpus", 1), GPUs: line.number("gpus", 0), MemGB: line.number("mem", 1),
		Image: "img", ImageGB: line.number("image_gb", 2), OneZone: line.hasFlag("together"), SpreadZones: line.hasFlag("apart"), AllowSpot: line.hasFlag("spot"),
		CheckpointIntervalS: line.number("checkpoint", 0), CheckpointDurationS: line.number("save", 0), EstimatedRunS: line.number("run", 30), Zone: line.options["zone"]}
	if line.options["due"] != "" {
		due := line.number("due", 0)
		truth.DeadlineS = &due
	}
	if v := line.options["awaits"]; v != "" {
		truth.Dependencies = strings.Split(v, ",")
	}
	set := func(p *string, key string) {
		if v, ok := line.options[key]; ok {
			*p = v
		}
	}
	set(&truth.Class, "class")
	set(&truth.Team, "team")
	set(&truth.Image, "image")
	if v, ok := line.options["priority"]; ok {
		truth.Priority = wire.Priority(v)
	}
	if v := line.options["types"]; v != "" {
		truth.MachineTypes = strings.Split(v, ",")
	}
	switch line.options["shape"] {
	case "gang":
		truth.Shape = wire.ShapeGang
	case "service":
		truth.Shape = wire.ShapeService
		truth.EstimatedRunS = 0
	}
	return truth
}
