package sim

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
	"golang.org/x/tools/txtar"
)

// The types below are those that a child of another version speaks, see
// testdata/upgrade/driver.go.txt. Messages of peers cross as they do on their
// links: encoded by one version's types, decoded by the other's.

type childStart struct {
	Settings string // TOML
	Boot     uint64
}

// childInput is a Tick if it holds nothing but the times.
type childInput struct {
	Now     time.Duration
	WallMS  int64
	Request *childRequest
	Result  *childResult
	Message *wire.PeerMessage
}

type childRequest struct {
	ID           uint64
	Method, Path string
	Body         []byte
}

type childResult struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool
}

type childOutput struct {
	Answers []childAnswer
	Calls   []childCall
	Sends   []childSend
}

type childAnswer struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
}

type childCall struct {
	ID                 uint64
	Dest               string
	Addr, Method, Path string
	Body               []byte
	Timeout            time.Duration
	Writes             int
	Urgent, Watch      bool
}

type childSend struct {
	To  string
	Msg *wire.PeerMessage
}

// child is a process that runs a core of another version.
type child struct {
	t      *testing.T
	cmd    *exec.Cmd
	stderr bytes.Buffer
	in     *bufio.Writer
	enc    *gob.Encoder
	dec    *gob.Decoder
}

func startChild(t *testing.T, program string, n *node, boot uint64) *child {
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(n.settings()); err != nil {
		t.Fatal(err)
	}
	c := &child{t: t, cmd: exec.Command(program)}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	c.cmd.Stderr = &c.stderr
	in, err := c.cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c.in = bufio.NewWriter(in)
	c.enc, c.dec = gob.NewEncoder(c.in), gob.NewDecoder(bufio.NewReader(out))
	if err := c.enc.Encode(childStart{settings.String(), boot}); err != nil {
		t.Fatal(err)
	}
	return c
}

// end ends the process.
func (c *child) end() {
	c.cmd.Process.Kill()
	c.cmd.Wait()
}

func (c *child) Step(now time.Duration, wall time.Time, in any) core.Output {
	x := childInput{Now: now, WallMS: wall.UnixMilli()}
	switch in := in.(type) {
	case core.Tick:
	case core.Request:
		x.Request = &childRequest{ID: in.ID, Method: in.Method, Path: in.Path, Body: in.Body}
	case core.Result:
		x.Result = &childResult{ID: in.ID, Status: in.Status, Body: in.Body, NotSent: in.NotSent}
	case *wire.PeerMessage:
		x.Message = in
	default:
		c.t.Fatalf("the version in production takes no %T", in)
	}
	var got childOutput
	err := c.enc.Encode(&x)
	if err == nil {
		err = c.in.Flush()
	}
	if err == nil {
		err = c.dec.Decode(&got)
	}
	if err != nil {
		c.end()
		c.t.Fatalf("a controller of the version in production ended: %v\n%s", err, c.stderr.String())
	}
	var out core.Output
	for _, a := range got.Answers {
		out.Answers = append(out.Answers, core.Answer{ID: a.ID, Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter})
	}
	dests := map[string]core.Dest{"store": core.DestStore, "cloud": core.DestCloud, "worker": core.DestWorker}
	for _, k := range got.Calls {
		dest, ok := dests[k.Dest]
		if !ok {
			c.t.Fatalf("unknown destination %q", k.Dest)
		}
		out.Calls = append(out.Calls, core.Call{ID: k.ID, Dest: dest, Addr: k.Addr, Method: k.Method, Path: k.Path,
			Body: k.Body, Timeout: k.Timeout, Writes: k.Writes, Urgent: k.Urgent, Watch: k.Watch})
	}
	for _, m := range got.Sends {
		out.Sends = append(out.Sends, core.Send{To: m.To, Msg: m.Msg})
	}
	return out
}

// buildProduction builds the driver with the core of the version that
// deploy/service.toml names, from the repository's history.
func buildProduction(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	var service struct {
		Production string `toml:"production"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/service.toml"), &service); err != nil {
		t.Fatal(err)
	}
	if service.Production == "" {
		t.Fatal("deploy/service.toml does not name the version in production")
	}
	run := func(dir, name string, args ...string) {
		t.Helper()
		cmd := exec.Command(name, args...)
		cmd.Dir = dir
		cmd.Env = append(os.Environ(), "GOPROXY=off", "GOWORK=off")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("the version in production, commit %s, has to come from the repository's history: %s %s: %v\n%s",
				service.Production, name, strings.Join(args, " "), err, out)
		}
	}
	dir := t.TempDir()
	src := filepath.Join(dir, "src")
	drive := filepath.Join(src, "cmd", "driver")
	if err := os.MkdirAll(src, 0o755); err != nil {
		t.Fatal(err)
	}
	archive := filepath.Join(dir, "src.tar")
	run(root, "git", "archive", "--format=tar", "--output="+archive, service.Production)
	run(src, "tar", "-xf", archive)
	driver, err := os.ReadFile("testdata/upgrade/driver.go.txt")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(drive, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(drive, "main.go"), driver, 0o644); err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "driver")
	run(src, "go", "build", "-trimpath", "-buildvcs=false", "-o", program, "./cmd/driver")
	return program
}

// upgrade is a day on which every controller begins with the version in
// production.
type upgrade struct {
	t        *testing.T
	w        *World
	program  string
	upgraded map[string]bool
	children map[string]*child
	leaders  []string // "old NAME" and "new NAME", as they followed each other
}

// newCore makes the core of a node that boots: a new process each time.
func (u *upgrade) newCore(n *node, boot uint64) stepper {
	u.endChild(n.name)
	if u.upgraded[n.name] {
		return core.New(n.settings(), nil, boot, u.w.log.With("node", n.name))
	}
	c := startChild(u.t, u.program, n, boot)
	u.children[n.name] = c
	return c
}

func (u *upgrade) endChild(name string) {
	if c := u.children[name]; c != nil {
		c.end()
		delete(u.children, name)
	}
}

// act kills a controller and has it come back with this version: "follower"
// is the first old one that does not lead, "next" that one or else the leader.
func (u *upgrade) act(l line) {
	var nodes []*node
	switch who := l.arg(0); who {
	case "follower", "next":
		lead := u.w.leader()
		for _, n := range u.w.nodes {
			if !u.upgraded[n.name] && n != lead {
				nodes = []*node{n}
				break
			}
		}
		if nodes == nil && who == "next" && lead != nil && !u.upgraded[lead.name] {
			nodes = []*node{lead}
		}
	default:
		nodes = u.w.nodesOf(who)
	}
	for _, n := range nodes {
		u.w.trace("upgrade %s", n.name)
		u.upgraded[n.name] = true
		n.crash(seconds(l.num("for", 3)))
	}
}

// watch notes who leads.
func (u *upgrade) watch() {
	if n := u.w.leader(); n != nil {
		who := "old " + n.name
		if _, ok := n.core.(*core.Core); ok {
			who = "new " + n.name
		}
		if k := len(u.leaders); n.alive && (k == 0 || u.leaders[k-1] != who) {
			u.leaders = append(u.leaders, who)
		}
	}
	u.w.after(200*time.Millisecond, u.watch)
}

// ledBy tells whether versions led in this order, others between them or not.
func (u *upgrade) ledBy(versions []string) bool {
	for _, l := range u.leaders {
		if len(versions) > 0 && strings.HasPrefix(l, versions[0]) {
			versions = versions[1:]
		}
	}
	return len(versions) == 0
}

// playUpgrade plays a scenario with two lines more than others have:
//
//	at T upgrade WHO for=    the controller is killed and comes back with this version; 3 s unless said
//	expect leaders old|new...    versions that led, in this order
func playUpgrade(t *testing.T, program string, s *Scenario, mutate func(*node, *core.Output)) (w *World, faults []string) {
	var acts, upgrades, expect, order []line
	for _, l := range s.acts {
		if l.word == "upgrade" {
			upgrades = append(upgrades, l)
		} else {
			acts = append(acts, l)
		}
	}
	for _, l := range s.expect {
		if l.arg(0) == "leaders" {
			order = append(order, l)
		} else {
			expect = append(expect, l)
		}
	}
	day := *s
	day.acts, day.expect = acts, expect
	log := testLog()
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	w = day.world(log)
	u := &upgrade{t: t, w: w, program: program, upgraded: map[string]bool{}, children: map[string]*child{}}
	w.newCore, w.mutate = u.newCore, mutate
	defer func() {
		for name := range u.children {
			u.endChild(name)
		}
	}()
	for _, l := range upgrades {
		w.after(l.at, func() { u.act(l) })
		w.calm = max(w.calm, l.at+seconds(l.num("for", 3)))
	}
	w.after(0, u.watch)
	faults = day.finish(w)
	for _, l := range order {
		if !u.ledBy(l.args[1:]) {
			faults = append(faults, fmt.Sprintf("line %d: leaders were %v", l.no, u.leaders))
		}
	}
	for _, n := range w.nodes {
		if _, ok := n.core.(*core.Core); !ok || !n.alive {
			faults = append(faults, n.name+" does not run this version at the end")
		}
	}
	return w, faults
}

// valueKB are the limits of values with which days are played: records of 128,
// 32 and 16 tasks.
var valueKB = []float64{16, 4, 2}

// TestUpgrade plays days on which the version in production, built from the
// repository's history, is replaced by this one while jobs run.
func TestUpgrade(t *testing.T) {
	program := buildProduction(t)
	data, err := os.ReadFile("testdata/upgrade/upgrade.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range txtar.Parse(data).Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			s, err := ParseScenario(string(f.Data))
			if err != nil {
				t.Fatal(err)
			}
			for first := s.seed; s.seed < first+uint64(s.seeds); s.seed++ {
				s.cfg.Deployment.State.ValueKB = valueKB[(s.seed-first)%3]
				_, faults := playUpgrade(t, program, s, nil)
				for _, fault := range faults {
					t.Errorf("seed %d: %s", s.seed, fault)
				}
			}
		})
	}
	t.Run("placements an old leader does not find", func(t *testing.T) {
		t.Parallel()
		testUpgradeCatches(t, program)
	})
	for seed := uint64(1); seed <= uint64(soakDays(6)); seed++ {
		t.Run(fmt.Sprintf("troubles meet/%d", seed), func(t *testing.T) {
			t.Parallel()
			text := meetings(seed) + upgrades(seed)
			s, err := ParseScenario(text)
			if err != nil {
				t.Fatal(err)
			}
			s.cfg.Deployment.State.ValueKB = valueKB[seed%3]
			w, faults := playUpgrade(t, program, s, nil)
			for _, fault := range append(faults, unfinished(w)...) {
				t.Error(fault)
			}
			if t.Failed() {
				t.Log(text)
			}
		})
	}
}

// testUpgradeCatches has this version record a job's placements where the one in
// production does not look for them: once that one leads, tasks run twice. Of
// one machine that runs some of them it hears by the records alone.
func testUpgradeCatches(t *testing.T, program string) {
	s, err := ParseScenario(`
team t
type small cpus=8 mem=32 boot=10
at 30 upgrade node-1
at 36 refuse node-2 for=8
at 36.5 crash node-0 for=12
at 45 submit job-000001 tasks=20 cpus=1 run=60
at 59.5 mute busy for=9
at 60 crash node-1 for=10
at 80 upgrade node-0
at 90 upgrade node-2
until 150
expect leaders old new old new
`)
	if err != nil {
		t.Fatal(err)
	}
	// Whether tasks run twice hangs on which machine has room when: of a few days
	// at least one shows it, and none without the fault.
	var reported []string
	for ; s.seed <= 5; s.seed++ {
		_, faults := playUpgrade(t, program, s, nil)
		for _, f := range faults {
			t.Errorf("seed %d, without the fault: %s", s.seed, f)
		}
		_, faults = playUpgrade(t, program, s, func(n *node, out *core.Output) {
			if _, ok := n.core.(*core.Core); !ok {
				return
			}
			for i := range out.Calls {
				out.Calls[i].Body = bytes.ReplaceAll(out.Calls[i].Body, []byte(`"p/job-`), []byte(`"q/job-`))
			}
		})
		reported = append(reported, faults...)
	}
	if all := strings.Join(reported, "\n"); !strings.Contains(all, "ran_twice") {
		t.Errorf("ran_twice was not reported; reported: %s", all)
	}
}

// upgrades writes the upgrade of a random day.
func upgrades(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 13))
	var b strings.Builder
	at := 30 + 60*r.Float64()
	for i := range 5 {
		who := "next"
		if i == 0 && r.IntN(2) == 0 {
			who = "leader"
		}
		fmt.Fprintf(&b, "at %.2f upgrade %s for=%g\n", at, who, []float64{0.5, 3, 8}[r.IntN(3)])
		if r.IntN(3) > 0 { // else two at a time
			at += 30 * r.Float64()
		}
	}
	// Chance may have left one old, that led or was named twice.
	for i := range 5 {
		fmt.Fprintf(&b, "at %d upgrade next\n", 230+5*i)
	}
	return b.String()
}

// unfinished tells what a random day has left undone.
func unfinished(w *World) (faults []string) {
	for _, id := range w.users.names() {
		j := w.users.jobs[id]
		service := w.jobs[id].Shape == wire.ShapeService
		switch {
		case !j.accepted && j.refused == 0 && !j.hopeless:
			faults = append(faults, id+" was never answered")
		case j.accepted && j.final == "" && !service:
			faults = append(faults, id+" is still "+j.last.Status)
		case j.accepted && j.final == "" && w.running(id) != w.jobs[id].Tasks:
			faults = append(faults, fmt.Sprintf("%s: %d of %d replicas run", id, w.running(id), w.jobs[id].Tasks))
		}
	}
	return faults
}
