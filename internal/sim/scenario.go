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

// nodesOf names controllers: a name, "leader", "follower" or "all".
func (w *World) nodesOf(what string) []*node {
	lead := w.leader()
	switch what {
	case "all":
		return w.nodes
	case "leader":
		if lead == nil {
			return w.nodes[:1]
		}
		return []*node{lead}
	case "follower":
		for _, n := range w.nodes {
			if n != lead {
				return []*node{n}
			}
		}
	}
	for _, n := range w.nodes {
		if n.name == what {
			return []*node{n}
		}
	}
	panic("no such node: " + what)
}

// endpoint turns the names of a scenario into those of the network.
func (w *World) endpoint(what string) string {
	switch what {
	case "leader", "follower":
		return w.nodesOf(what)[0].name
	case "busy":
		if m := w.busiest(); m != nil {
			return m.name
		}
	}
	return what
}

// busiest is the machine with the most tasks.
func (w *World) busiest() *machine {
	var best *machine
	n := -1
	for _, name := range w.cloud.names() {
		m := w.cloud.machines[name]
		on := 0
		for _, t := range m.tasks {
			if t.state != wire.TaskExited {
				on++
			}
		}
		if !m.gone && on > n {
			best, n = m, on
		}
	}
	return best
}

func (w *World) machineOf(what string) *machine {
	if what == "busy" {
		return w.busiest()
	}
	if m := w.cloud.machines[what]; m != nil {
		return m
	}
	panic("no such machine: " + what)
}

// strike has a trouble befall a machine.
func (w *World) strike(what string, m *machine, d time.Duration) {
	switch what {
	case "kill": // gone without notice
		w.cloud.remove(m.name)
	case "take": // the cloud takes it back after a notice
		m.warning = w.now + d
		m.changed = true
		w.after(d, func() { w.cloud.remove(m.name) })
	case "hang":
		m.hangUntil = w.now + d
	case "faulty":
		m.faulty = true
	case "deaf": // its reports arrive, answers and commands don't reach it
		w.cuts = append(w.cuts, &cut{"nodes", m.name, w.now + d, false})
	case "mute": // it reaches no controller, direct commands reach it
		m.muteUntil = w.now + d
	}
}

// machinesOf names the machines of a trouble: one, or of all that are up
// ("some") or of those in a zone ("zone:Z") a count or a share: a tenth of all
// and the whole of a zone unless said.
func (w *World) machinesOf(l line) []*machine {
	zone, inZone := strings.CutPrefix(l.arg(0), "zone:")
	if l.arg(0) != "some" && !inZone {
		return []*machine{w.machineOf(l.arg(0))}
	}
	var up []*machine
	for _, name := range w.cloud.names() {
		if m := w.cloud.machines[name]; !m.gone && m.upAt <= w.now && (!inZone || m.zone == zone) {
			up = append(up, m)
		}
	}
	w.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	share := 0.1
	if inZone {
		share = 1
	}
	n := int(l.num("share", share) * float64(len(up)))
	if l.opt["count"] != "" {
		n = min(len(up), int(l.num("count", 0)))
	}
	return up[:n]
}

// trouble tells how long after it began the trouble of a line may be felt;
// false for what is none.
func (l *line) trouble(lease time.Duration) (time.Duration, bool) {
	d := seconds(l.num("for", 10))
	switch l.word {
	case "submit", "cancel":
		return 0, false
	case "late_writes":
		d += 12 * time.Second
	case "late_reports":
		d += 2*time.Second + lease + lease/2
	case "copies":
		d += seconds(l.num("delay", 15))
	case "cancel_now":
		d = seconds(l.num("hang", 0))
	}
	return d, true
}

// act brings about what a line says.
func (w *World) act(l line) {
	if l.has("busy") && w.busiest() == nil {
		return // no machine is up to suffer it
	}
	d := seconds(l.num("for", 10))
	w.trace("act %s %v", l.word, l.args)
	if !w.actOfUsers(l, d) && !w.actOnControllers(l, d) && !w.actOnServices(l, d) && !w.actOnMachines(l, d) {
		panic(fmt.Sprintf("line %d: unknown act %q", l.no, l.word))
	}
}

// actOfUsers has users do something; false if the line is of another kind.
func (w *World) actOfUsers(l line, d time.Duration) bool {
	switch l.word {
	case "submit":
		when := whenAccepted
		if l.has("early") {
			when = whenever
		} else if l.has("after") {
			when = whenOver
		}
		w.users.submit(w.job(l), when)
	case "cancel":
		w.users.cancel(l.arg(0))
	case "cancel_now":
		w.users.cancelNow(int(l.num("count", 1)), seconds(l.num("hang", 0)))
	case "cancel_at_end":
		w.endCancels = late{l.num("share", 0.5), w.now + d}
	case "odd_requests":
		w.users.odd(w.now + d)
	default:
		return false
	}
	return true
}

// actOnControllers ends controllers or cuts connections; false if the line is of
// another kind.
func (w *World) actOnControllers(l line, d time.Duration) bool {
	switch l.word {
	case "crash":
		for _, n := range w.nodesOf(l.arg(0)) {
			n.crash(seconds(l.num("for", 3)))
		}
	case "cut": // both ways, or only the first to the second
		a, b := w.endpoint(l.arg(0)), w.endpoint(l.arg(1))
		w.cuts = append(w.cuts, &cut{a, b, w.now + d, l.has("hold")})
		if !l.has("oneway") {
			w.cuts = append(w.cuts, &cut{b, a, w.now + d, l.has("hold")})
		}
	case "isolate": // a controller loses state service and peers, both ways
		for _, n := range w.nodesOf(l.arg(0)) {
			for _, other := range []string{"state", "nodes"} {
				w.cuts = append(w.cuts, &cut{n.name, other, w.now + d, false}, &cut{other, n.name, w.now + d, false})
			}
		}
	default:
		return false
	}
	return true
}

// actOnServices troubles the state service or the cloud; false if the line is of
// another kind.
func (w *World) actOnServices(l line, d time.Duration) bool {
	switch l.word {
	case "outage":
		if l.arg(0) == "state" {
			w.store.beginOutage(d)
		} else {
			w.cloud.outage = w.now + d
		}
	case "slow": // the state service takes its time over every request but watches
		w.store.slow, w.store.slowUntil = seconds(l.num("by", 0.3)), w.now+d
	case "refuse": // the state service refuses one controller
		w.store.refuse[w.endpoint(l.arg(0))] = w.now + d
	case "late_writes": // transactions without an answer, carried out late
		w.store.late = late{l.num("share", 0.1), w.now + d}
	case "limits": // the state service has lower limits from now on
		w.store.limit(l.limits(w.cfg.Deployment.State))
	case "noboot":
		w.cloud.noBoot = w.now + d
	default:
		return false
	}
	return true
}

// actOnMachines troubles machines or their reports; false if the line is of another
// kind.
func (w *World) actOnMachines(l line, d time.Duration) bool {
	switch l.word {
	case "kill", "take", "hang", "faulty", "deaf", "mute":
		for _, m := range w.machinesOf(l) {
			w.strike(l.word, m, d)
		}
	case "late_reports": // copies of reports that come again
		w.lateReports = late{l.num("share", 0.1), w.now + d}
	case "copies": // late copies of a machine's reports
		for _, name := range w.cloud.names() {
			m := w.cloud.machines[name]
			m.copyUntil, m.copyDelay = w.now+d, seconds(l.num("delay", 15))
		}
	default:
		return false
	}
	return true
}

func (w *World) running(id string) int {
	n := 0
	for _, name := range w.cloud.names() {
		for _, t := range w.cloud.machines[name].sorted() {
			if t.on && t.job.ID == id && t.state == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

// expected judges a line of expectations at the end. It returns what is wrong.
func (w *World) expected(l line) string {
	what := l.arg(0)
	switch what {
	case "machines":
		return atMost(w.cloud.rented(), l.num("most", 1e9), "machines")
	case "rented":
		return atMost(w.cloud.next, l.num("most", 1e9), "machines rented in all")
	case "expired":
		return atMost(w.expired, l.num("most", 0), "tasks that lost their worker's lease")
	case "starts":
		return atMost(w.started, l.num("most", 1e9), "starts")
	}
	j := w.users.jobs[what]
	if j == nil {
		return "no such job " + what
	}
	return w.expectedJob(j, l)
}

// atMost tells what is wrong with a number that is beyond a bound.
func atMost(n int, most float64, what string) string {
	if float64(n) <= most {
		return ""
	}
	return fmt.Sprintf("%d %s, at most %.0f expected", n, what, most)
}

// expectedJob judges a line that expects something of a job.
func (w *World) expectedJob(j *userJob, l line) string {
	switch want := l.arg(1); want {
	case "running":
		if n, want := w.running(j.id), int(l.num("tasks", 1)); n != want {
			return fmt.Sprintf("%s: %d tasks run, %d expected", j.id, n, want)
		}
	case "refused":
		if want := int(l.num("status", 422)); j.refused != want {
			return fmt.Sprintf("%s: refused with %d, %d expected", j.id, j.refused, want)
		}
	case "over":
		if j.final == "" {
			return fmt.Sprintf("%s: told %q, not over", j.id, j.last.Status)
		}
	default:
		if j.last.Status != wire.JobState(want) {
			return fmt.Sprintf("%s: told %q, %q expected", j.id, j.last.Status, want)
		}
	}
	return ""
}
