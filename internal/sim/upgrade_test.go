package sim

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
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

func (c *child) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	x := childInput{Now: now, WallMS: wall.UnixMilli()}
	switch in := in.(type) {
	case core.Tick:
	case core.Request:
		x.Request = &childRequest{ID: in.ID, Method: in.Method, Path: in.Path, Body: in.Body}
	case core.Result:
		x.Result = &childResult{ID: in.ID, Status: in.Status, Body: in.Body, NotSent: in.NotSent}
	case core.PeerInput:
		x.Message = in.Message
	default:
		c.t.Fatalf("the old version takes no %T", in)
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
		c.t.Fatalf("a controller of the old version ended: %v\n%s", err, c.stderr.String())
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

// chainsVersion is the last commit before upgrades from two versions were met.
// It knows jobs that await others and the limits to come, and may run at the
// operators' as well as the one that deploy/service.toml names: that one has to
// stay the last without these, so that upgrades from it are played too.
const chainsVersion = "b39e01dd13644fcdc220b403f4ac32c4cd433bbc"

// version is one that is replaced by this one.
type version struct {
	name, commit string
	chains       bool // it knows jobs that await others
	program      string
}

// oldVersions builds the drivers of the versions that are replaced.
func oldVersions(t *testing.T) []version {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	production, err := productionCommit(root)
	if err != nil {
		t.Fatal(err)
	}
	versions := []version{{name: "production", commit: production}, {name: "chains", commit: chainsVersion, chains: true}}
	dir := t.TempDir()
	for i := range versions {
		v := &versions[i]
		if v.program, err = buildDriver(root, v.commit, filepath.Join(dir, v.name)); err != nil {
			t.Fatal(err)
		}
	}
	return versions
}

// productionCommit is the version that deploy/service.toml names.
func productionCommit(root string) (string, error) {
	var service struct {
		Production string `toml:"production"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/service.toml"), &service); err != nil {
		return "", err
	}
	if service.Production == "" {
		return "", errors.New("deploy/service.toml does not name the version in production")
	}
	return service.Production, nil
}

// buildDriver builds testdata/upgrade/driver.go.txt in dir with the core of a
// commit from the history of the repository at root.
func buildDriver(root, commit, dir string) (string, error) {
	if _, err := runIn(root, "git", "cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("commit %s is not in the repository's history, from which the old version is built: "+
			"the full history is needed, in a shallow clone run `git fetch --unshallow` (%w)", commit, err)
	}
	src := filepath.Join(dir, "src")
	if err := os.MkdirAll(src, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "src.tar")
	if _, err := runIn(root, "git", "archive", "--format=tar", "--output="+archive, commit); err != nil {
		return "", err
	}
	if _, err := runIn(src, "tar", "-xf", archive); err != nil {
		return "", err
	}
	source, err := os.ReadFile("testdata/upgrade/driver.go.txt")
	if err != nil {
		return "", err
	}
	drive := filepath.Join(src, "cmd", "driver")
	if err := os.MkdirAll(drive, 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(drive, "main.go"), source, 0o644); err != nil {
		return "", err
	}
	program := filepath.Join(dir, "driver")
	_, err = runIn(src, "go", "build", "-trimpath", "-buildvcs=false", "-o", program, "./cmd/driver")
	return program, err
}

// runIn runs a command in a directory and tells of its output if it fails.
func runIn(dir, name string, args ...string) ([]byte, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOPROXY=off", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, bytes.TrimSpace(out))
	}
	return out, nil
}

// TestMissingHistory asks for a commit that the history lacks, as a shallow
// clone lacks the old versions: the error tells what to do.
func TestMissingHistory(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	missing := strings.Repeat("0123456789", 4)
	_, err = buildDriver(root, missing, t.TempDir())
	for _, part := range []string{missing, "full history is needed", "git fetch --unshallow"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("the error does not say %q: %v", part, err)
		}
	}
}

// upgrade is a day on which every controller begins with an old version.
type upgrade struct {
	t        *testing.T
	w        *World
	program  string
	upgraded map[string]bool
	children map[string]*child
	leaders  []string // "old NAME" and "new NAME", as they followed each other

	// visits counts how often the requests about a worker or a job came to
	// another version than the one before.
	visits map[string]*visits
}

// visits tells which version a worker's or a user's last request came to.
type visits struct {
	new   bool
	turns int
}

// recorder notes whose requests a core takes.
type recorder struct {
	stepper
	u   *upgrade
	new bool
}

func (r *recorder) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	if q, ok := in.(core.Request); ok {
		r.u.visit(q, r.new)
	}
	return r.stepper.Step(now, wall, in)
}

// visit notes that a request about a worker or a job came to a version.
func (u *upgrade) visit(q core.Request, newVersion bool) {
	who := strings.TrimPrefix(q.Path, "/submissions/")
	if q.Path == "/checkin" {
		var r wire.Report
		if json.Unmarshal(q.Body, &r) != nil {
			return
		}
		who = r.Machine
	}
	switch v := u.visits[who]; {
	case v == nil:
		u.visits[who] = &visits{new: newVersion}
	case v.new != newVersion:
		v.new = newVersion
		v.turns++
	}
}

// mostTurns is the largest number of turns of any worker or, with "job-", user.
func (u *upgrade) mostTurns(prefix string) int {
	most := 0
	for who, v := range u.visits {
		if strings.HasPrefix(who, prefix) {
			most = max(most, v.turns)
		}
	}
	return most
}

// runsNew tells whether a node runs this version.
func (n *node) runsNew() bool {
	r, ok := n.core.(*recorder)
	return ok && r.new
}

// newCore makes the core of a node that boots: a new process each time.
func (u *upgrade) newCore(n *node, boot uint64) stepper {
	u.endChild(n.name)
	if u.upgraded[n.name] {
		return &recorder{core.New(n.settings(), nil, boot, u.w.log.With("node", n.name)), u, true}
	}
	c := startChild(u.t, u.program, n, boot)
	u.children[n.name] = c
	return &recorder{c, u, false}
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
		if n.runsNew() {
			who = "new " + n.name
		}
		if k := len(u.leaders); n.alive && (k == 0 || u.leaders[k-1] != who) {
			u.leaders = append(u.leaders, who)
		}
	}
	u.w.after(200*time.Millisecond, u.watch)
}

// ledBy tells whether versions, or controllers with them ("old:node-0"), led in
// this order, others between them or not.
func (u *upgrade) ledBy(versions []string) bool {
	for _, l := range u.leaders {
		if len(versions) > 0 && strings.HasPrefix(l, strings.Replace(versions[0], ":", " ", 1)) {
			versions = versions[1:]
		}
	}
	return len(versions) == 0
}

// judge tells what a line expects of the upgrade and did not find.
func (u *upgrade) judge(l line) string {
	switch l.arg(0) {
	case "leaders":
		if !u.ledBy(l.args[1:]) {
			return fmt.Sprintf("line %d: leaders were %v", l.no, u.leaders)
		}
	case "turns":
		for what, prefix := range map[string]string{"worker": "n-", "user": "job-"} {
			if got, least := u.mostTurns(prefix), int(l.num(what, 0)); got < least {
				return fmt.Sprintf("line %d: no %s changed versions more than %d times", l.no, what, got)
			}
		}
	}
	return ""
}

// playUpgrade plays a scenario with three lines more than others have:
//
//	at T upgrade WHO for=    the controller is killed and comes back with this version; 3 s unless said
//	expect leaders old|new...    versions that led, in this order
//	expect turns worker= user=    so often one of them, at least, came to the other version than before
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
		if l.arg(0) == "leaders" || l.arg(0) == "turns" {
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
	u := &upgrade{t: t, w: w, program: program, upgraded: map[string]bool{}, children: map[string]*child{}, visits: map[string]*visits{}}
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
		if why := u.judge(l); why != "" {
			faults = append(faults, why)
		}
	}
	for _, n := range w.nodes {
		if !n.runsNew() || !n.alive {
			faults = append(faults, n.name+" does not run this version at the end")
		}
	}
	return w, faults
}

// valueKB are the limits of values with which days are played: records of 128,
// 32 and 16 tasks.
var valueKB = []float64{16, 4, 2}

// TestUpgrade plays days on which an old version, built from the repository's
// history, is replaced by this one while jobs run: the version in production,
// and the one after it that knows jobs that await others.
func TestUpgrade(t *testing.T) {
	for _, v := range oldVersions(t) {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			playUpgradeFile(t, v, "testdata/upgrade/upgrade.txtar")
			playUpgradeDays(t, v, "troubles meet", 9, meetings)
			t.Run("placements an old leader does not find", func(t *testing.T) {
				t.Parallel()
				testUpgradeCatches(t, v.program)
			})
			t.Run("attempts that have ended beside the present ones", func(t *testing.T) {
				t.Parallel()
				testOldLeaderFindsPresent(t, v.program)
			})
			if v.chains {
				playUpgradeFile(t, v, "testdata/upgrade/chains.txtar")
				playUpgradeDays(t, v, "chains meet troubles", 12, pipelines)
			}
		})
	}
}

// playUpgradeFile plays the scenarios of a file.
func playUpgradeFile(t *testing.T, v version, file string) {
	data, err := os.ReadFile(file)
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
				_, faults := playUpgrade(t, v.program, s, nil)
				for _, fault := range faults {
					t.Errorf("seed %d: %s", s.seed, fault)
				}
			}
		})
	}
}

// playUpgradeDays plays random days in the middle of an upgrade.
func playUpgradeDays(t *testing.T, v version, name string, days int, day func(seed uint64) string) {
	for seed := uint64(1); seed <= uint64(soakDays(days)); seed++ {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			text := day(seed) + upgrades(seed)
			s, err := ParseScenario(text)
			if err != nil {
				t.Fatal(err)
			}
			s.cfg.Deployment.State.ValueKB = valueKB[seed%3]
			w, faults := playUpgrade(t, v.program, s, nil)
			for _, fault := range append(faults, w.unfinished()...) {
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
			if !n.runsNew() {
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

// testOldLeaderFindsPresent has workers that report to a new controller list ended
// attempts beside the present ones while the version in production leads, which
// takes the first one listed for the present one: the new controller puts that one
// first, else tasks that run are taken for vanished and start again.
func testOldLeaderFindsPresent(t *testing.T, program string) {
	for seed := uint64(1); seed <= 5; seed++ {
		s, err := ParseScenario(`
team t
type small cpus=8 mem=32 boot=10 zones=north
at 1 submit job-000001 tasks=32 run=90 image_gb=0
at 3 upgrade node-1
at 120 upgrade node-2
at 125 upgrade node-0
until 150
expect job-000001 done
expect starts most=32
expect leaders old:node-0 new
`)
		if err != nil {
			t.Fatal(err)
		}
		s.seed = seed
		listed := 0
		_, faults := playUpgrade(t, program, s, func(n *node, _ *core.Output) {
			if listed == 0 && n.w.now > 50*time.Second {
				listed = n.w.listEarlier()
			}
		})
		if listed != 32 {
			t.Errorf("seed %d: %d tasks have an earlier attempt beside them, want 32", seed, listed)
		}
		for _, f := range faults {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}

// listEarlier has the workers list an ended earlier attempt at every task that
// runs, until they are told to forget it.
func (w *World) listEarlier() (listed int) {
	for _, name := range w.cloud.names() {
		m := w.cloud.machines[name]
		for _, t := range m.sorted() {
			if t.state == wire.TaskRunning {
				earlier := *t
				earlier.attempt, earlier.state, earlier.cause, earlier.on = 0, wire.TaskExited, wire.CauseStopped, false
				m.tasks[endedKey(t.name, 0)] = &earlier
				listed++
			}
		}
	}
	return listed
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
