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

// defaults are the settings of a scenario that names no others.
func defaults() *config.Settings {
	return &config.Settings{Deployment: config.Deployment{
		Size:    3,
		Zones:   []string{"east", "north", "west"},
		Workers: config.Workers{ReportS: 1.5, LeaseS: 10, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
		State:   config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:   config.Cloud{RPS: 8, ListLagS: 5},
		Limits:  config.Limits{CPU: 0.2, RAMMB: 100, MaxConnections: 800},
	}}
}

// Scenario is a parsed scenario file: a line is a word with arguments, those
// of the form key=value by name. The words are described in
// internal/sim/testdata/README.md.
type Scenario struct {
	cfg    *config.Settings
	seed   uint64
	seeds  int // how many days are played, each with the next seed
	until  time.Duration
	setup  []line
	acts   []line
	expect []line
}

type line struct {
	no   int
	act  bool // something that happens at a time
	at   time.Duration
	word string
	args []string
	opt  map[string]string
}

func (l *line) num(key string, def float64) float64 {
	if v, ok := l.opt[key]; ok {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			panic(fmt.Sprintf("line %d: %s: %v", l.no, key, err))
		}
		return f
	}
	return def
}

// limits are those of the state service that the line names, and the others.
func (l *line) limits(s config.State) config.State {
	s.Next = nil
	s.ValueKB = l.num("value_kb", s.ValueKB)
	s.TxnOps = int(l.num("txn_ops", float64(s.TxnOps)))
	s.WriteRPS = l.num("write_rps", s.WriteRPS)
	return s
}

func (l *line) arg(i int) string {
	if i >= len(l.args) {
		panic(fmt.Sprintf("line %d: %s lacks an argument", l.no, l.word))
	}
	return l.args[i]
}

func (l *line) has(flag string) bool {
	for _, a := range l.args {
		if a == flag {
			return true
		}
	}
	return false
}

// ParseScenario reads a scenario.
func ParseScenario(text string) (s *Scenario, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("scenario: %v", r)
		}
	}()
	s = &Scenario{cfg: defaults(), seed: 1, seeds: 1}
	for no, raw := range strings.Split(text, "\n") {
		l, ok, err := parseLine(no+1, raw)
		if err == nil && ok {
			err = s.take(l)
		}
		if err != nil {
			return nil, fmt.Errorf("scenario: line %d: %w", no+1, err)
		}
	}
	if s.until == 0 {
		return nil, fmt.Errorf("scenario: no until")
	}
	return s, nil
}

// parseLine reads a line; not ok if there is nothing on it.
func parseLine(no int, raw string) (l line, ok bool, err error) {
	raw, _, _ = strings.Cut(raw, "#")
	words := strings.Fields(raw)
	if len(words) == 0 {
		return line{}, false, nil
	}
	l = line{no: no, opt: map[string]string{}}
	if words[0] == "at" {
		t, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return line{}, false, err
		}
		l.at, l.act = seconds(t), true
		words = words[2:]
	}
	l.word = words[0]
	for _, a := range words[1:] {
		if k, v, ok := strings.Cut(a, "="); ok {
			l.opt[k] = v
		} else {
			l.args = append(l.args, a)
		}
	}
	return l, true, nil
}

// take takes a line into the scenario.
func (s *Scenario) take(l line) (err error) {
	if l.act {
		s.acts = append(s.acts, l)
		return nil
	}
	d := &s.cfg.Deployment
	switch l.word {
	case "seed":
		s.seed, err = strconv.ParseUint(l.arg(0), 10, 64)
	case "seeds":
		s.seeds, err = strconv.Atoi(l.arg(0))
	case "controllers":
		d.Size, err = strconv.Atoi(l.arg(0))
	case "until":
		var t float64
		t, err = strconv.ParseFloat(l.arg(0), 64)
		s.until = seconds(t)
	case "team":
		d.Teams = append(d.Teams, config.Team{Name: l.arg(0),
			CPUs: l.num("cpus", 0), CPUsMax: l.num("cpus_max", 0), GPUs: l.num("gpus", 0), GPUsMax: l.num("gpus_max", 0)})
	case "wait", "finished":
		d.Objectives = append(d.Objectives, config.Objective{Kind: l.word, Class: l.arg(0), WithinS: l.num("within", 1), Share: 0.9})
	case "workers":
		w := &d.Workers
		w.ReportS, w.LeaseS, w.CancelS = l.num("report", w.ReportS), l.num("lease", w.LeaseS), l.num("cancel", w.CancelS)
	case "state":
		d.State = l.limits(d.State)
		d.State.RPS = l.num("rps", d.State.RPS)
	case "cloud":
		d.Cloud.RPS, d.Cloud.ListLagS = l.num("rps", d.Cloud.RPS), l.num("lag", d.Cloud.ListLagS)
	case "next":
		next := l.limits(d.State)
		d.State.Next = &next
	case "type":
		s.setup = append(s.setup, l)
	case "expect":
		s.expect = append(s.expect, l)
	default:
		return fmt.Errorf("unknown word %q", l.word)
	}
	return err
}

// Run plays the scenario and returns what went wrong.
func (s *Scenario) Run(log *slog.Logger) (w *World, faults []string) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	w = s.world(log)
	return w, s.finish(w)
}

func (s *Scenario) world(log *slog.Logger) *World {
	w := newWorld(s.cfg, s.seed, log)
	for _, l := range s.setup {
		zones := s.cfg.Deployment.Zones
		if z := l.opt["zones"]; z != "" {
			zones = strings.Split(z, ",")
		}
		name := l.arg(0)
		w.cloud.types = append(w.cloud.types, wire.MachineType{Name: name, CPUs: l.num("cpus", 8), GPUs: l.num("gpus", 0),
			MemGB: l.num("mem", 64), CacheGB: l.num("cache", 200), FetchGBPS: l.num("fetch", 1), Price: l.num("price", 1),
			SpotPrice: l.num("spot_price", 0.4), BootS: l.num("boot", 20), Zones: zones})
		for _, z := range zones {
			w.cloud.capacity[offer(name, z, false)] = int(l.num("cap", 10))
			w.cloud.capacity[offer(name, z, true)] = int(l.num("spot", 0))
		}
	}
	for _, l := range s.acts {
		w.after(l.at, func() { w.act(l) })
		if d, ok := l.trouble(seconds(s.cfg.Deployment.Workers.LeaseS)); ok {
			w.calm = max(w.calm, l.at+d)
		}
	}
	return w
}

func (s *Scenario) finish(w *World) []string {
	w.run(s.until)
	for _, id := range w.users.names() {
		j := w.users.jobs[id]
		if !j.accepted {
			continue
		}
		for _, n := range w.nodes {
			if n.alive {
				w.users.ask(j, n)
			}
		}
	}
	if n := w.users.pick(); n.alive {
		n.request("user", "GET", "/submissions/job-999999999999", nil, 2*time.Second, func(status int, _ []byte) {
			if status == 200 {
				w.check.broken("invented", "a job that nobody submitted is known")
			}
		})
	}
	w.run(s.until + 3*time.Second)
	faults := append([]string(nil), w.check.faults...)
	for _, l := range s.expect {
		if why := w.expected(l); why != "" {
			faults = append(faults, fmt.Sprintf("line %d: %s", l.no, why))
		}
	}
	return faults
}

func (w *World) job(l line) *jobTruth {
	t := &jobTruth{runS: l.num("run", 30), fail: l.has("fail"), done: map[int]bool{}, progress: map[int]float64{}}
	t.Job = wire.Job{ID: l.arg(0), Class: "web", Team: "t", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: int(l.num("tasks", 1)), CPUs: l.num("cpus", 1), GPUs: l.num("gpus", 0), MemGB: l.num("mem", 1),
		Image: "img", ImageGB: l.num("image_gb", 2), OneZone: l.has("together"), Spread: l.has("apart"), Spot: l.has("spot"),
		CheckpointS: l.num("checkpoint", 0), SaveS: l.num("save", 0), EstimateS: l.num("run", 30), Zone: l.opt["zone"]}
	if l.opt["due"] != "" {
		due := l.num("due", 0)
		t.DeadlineS = &due
	}
	if v := l.opt["awaits"]; v != "" {
		t.Awaits = strings.Split(v, ",")
	}
	set := func(p *string, key string) {
		if v, ok := l.opt[key]; ok {
			*p = v
		}
	}
	set(&t.Class, "class")
	set(&t.Team, "team")
	set(&t.Image, "image")
	if v, ok := l.opt["priority"]; ok {
		t.Priority = wire.Priority(v)
	}
	if v := l.opt["types"]; v != "" {
		t.Types = strings.Split(v, ",")
	}
	switch l.opt["shape"] {
	case "gang":
		t.Shape = wire.ShapeGang
	case "service":
		t.Shape = wire.ShapeService
		t.EstimateS = 0
	}
	return t
}
