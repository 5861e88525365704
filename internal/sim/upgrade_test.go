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
	test    *testing.T
	cmd     *exec.Cmd
	stderr  bytes.Buffer
	input   *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func startChild(t *testing.T, program string, controller *controller, boot uint64) *child {
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(controller.settings()); err != nil {
		t.Fatal(err)
	}
	c := &child{test: t, cmd: exec.Command(program)}
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
	c.input = bufio.NewWriter(in)
	c.encoder, c.decoder = gob.NewEncoder(c.input), gob.NewDecoder(bufio.NewReader(out))
	if err := c.encoder.Encode(childStart{settings.String(), boot}); err != nil {
		t.Fatal(err)
	}
	return c
}

// kill ends the process.
func (c *child) kill() {
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
		c.test.Fatalf("the old version takes no %T", in)
	}
	var got childOutput
	err := c.encoder.Encode(&x)
	if err == nil {
		err = c.input.Flush()
	}
	if err == nil {
		err = c.decoder.Decode(&got)
	}
	if err != nil {
		c.kill()
		c.test.Fatalf("a controller of the old version ended: %v\n%s", err, c.stderr.String())
	}
	var out core.Output
	for _, a := range got.Answers {
		out.Answers = append(out.Answers, core.Answer{ID: a.ID, Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter})
	}
	dests := map[string]core.Destination{"store": core.DestinationStore, "cloud": core.DestinationCloud, "worker": core.DestinationWorker}
	for _, k := range got.Calls {
		dest, ok := dests[k.Dest]
		if !ok {
			c.test.Fatalf("unknown destination %q", k.Dest)
		}
		out.Calls = append(out.Calls, core.Call{ID: k.ID, Destination: dest, Addr: k.Addr, Method: k.Method, Path: k.Path,
			Body: k.Body, Timeout: k.Timeout, Writes: k.Writes, Urgent: k.Urgent, Watch: k.Watch})
	}
	for _, m := range got.Sends {
		out.PeerSends = append(out.PeerSends, core.Send{To: m.To, Message: m.Msg})
	}
	return out
}

// chainsVersion is the last commit before upgrades from two versions were met.
// It knows jobs that await others and the limits to come, and may run at the
// operators' as well as the one that deploy/service.toml names: that one has to
// stay the last without these, so that upgrades from it are played too.
const chainsVersion = "b39e01dd13644fcdc220b403f4ac32c4cd433bbc"

// oldVersion is one that is replaced by this one.
type oldVersion struct {
	name, commit    string
	hasDependencies bool // it knows jobs that await others
	program         string
}

// oldVersions builds the drivers of the versions that are replaced.
func oldVersions(t *testing.T) []oldVersion {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	production, err := productionCommit(root)
	if err != nil {
		t.Fatal(err)
	}
	versions := []oldVersion{{name: "production", commit: production}, {name: "chains", commit: chainsVersion, hasDependencies: true}}
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
	if _, err := runCommand(root, "git", "cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("commit %s is not in the repository's history, from which the old version is built: "+
			"the full history is needed, in a shallow clone run `git fetch --unshallow` (%w)", commit, err)
	}
	src := filepath.Join(dir, "src")
	if err := os.MkdirAll(src, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "src.tar")
	if _, err := runCommand(root, "git", "archive", "--format=tar", "--output="+archive, commit); err != nil {
		return "", err
	}
	if _, err := runCommand(src, "tar", "-xf", archive); err != nil {
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
	_, err = runCommand(src, "go", "build", "-trimpath", "-buildvcs=false", "-o", program, "./cmd/driver")
	return program, err
}

// runCommand runs a command in a directory and tells of its output if it fails.
func runCommand(dir, name string, args ...string) ([]byte, error) {
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

// upgradeRun is a day on which every controller begins with an old version.
type upgradeRun struct {
	test     *testing.T
	world    *World
	program  string
	upgraded map[string]bool
	children map[string]*child
	leaders  []string // "old NAME" and "new NAME", as they followed each other

	// visits counts how often the requests about a worker or a job came to
	// another version than the one before.
	visits map[string]*versionVisits
}

// versionVisits tells which version a worker's or a user's last request came to.
type versionVisits struct {
	isNew bool
	turns int
}

// requestRecorder notes whose requests a core takes.
type requestRecorder struct {
	stepper
	run   *upgradeRun
	isNew bool
}

func (r *requestRecorder) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	if request, ok := in.(core.Request); ok {
		r.run.recordVisit(request, r.isNew)
	}
	return r.stepper.Step(now, wall, in)
}

// recordVisit notes that a request about a worker or a job came to a version.
func (u *upgradeRun) recordVisit(request core.Request, newVersion bool) {
	who := strings.TrimPrefix(request.Path, "/submissions/")
	if request.Path == "/checkin" {
		var report wire.Heartbeat
		if json.Unmarshal(request.Body, &report) != nil {
			return
		}
		who = report.Machine
	}
	switch v := u.visits[who]; {
	case v == nil:
		u.visits[who] = &versionVisits{isNew: newVersion}
	case v.isNew != newVersion:
		v.isNew = newVersion
		v.turns++
	}
}

// mostTurns is the largest number of turns of any worker or, with "job-", user.
func (u *upgradeRun) mostTurns(prefix string) int {
	most := 0
	for who, v := range u.visits {
		if strings.HasPrefix(who, prefix) {
			most = max(most, v.turns)
		}
	}
	return most
}

// runsThisVersion tells whether a node runs this version.
func (c *controller) runsThisVersion() bool {
	r, ok := c.core.(*requestRecorder)
	return ok && r.isNew
}

// newCore makes the core of a node that boots: a new process each time.
func (u *upgradeRun) newCore(controller *controller, boot uint64) stepper {
	u.killChild(controller.name)
	if u.upgraded[controller.name] {
		return &requestRecorder{core.New(controller.settings(), nil, boot, u.world.log.With("node", controller.name)), u, true}
	}
	c := startChild(u.test, u.program, controller, boot)
	u.children[controller.name] = c
	return &requestRecorder{c, u, false}
}

func (u *upgradeRun) killChild(name string) {
	if c := u.children[name]; c != nil {
		c.kill()
		delete(u.children, name)
	}
}

// upgradeControllers kills a controller and has it come back with this version: "follower"
// is the first old one that does not lead, "next" that one or else the leader.
func (u *upgradeRun) upgradeControllers(line scenarioLine) {
	var nodes []*controller
	switch who := line.arg(0); who {
	case "follower", "next":
		lead := u.world.leader()
		for _, candidate := range u.world.controllers {
			if !u.upgraded[candidate.name] && candidate != lead {
				nodes = []*controller{candidate}
				break
			}
		}
		if nodes == nil && who == "next" && lead != nil && !u.upgraded[lead.name] {
			nodes = []*controller{lead}
		}
	default:
		nodes = u.world.controllersNamed(who)
	}
	for _, candidate := range nodes {
		u.world.debugf("upgrade %s", candidate.name)
		u.upgraded[candidate.name] = true
		candidate.crash(seconds(line.number("for", 3)))
	}
}

// recordLeaders notes who leads.
func (u *upgradeRun) recordLeaders() {
	if controller := u.world.leader(); controller != nil {
		who := "old " + controller.name
		if controller.runsThisVersion() {
			who = "new " + controller.name
		}
		if k := len(u.leaders); controller.alive && (k == 0 || u.leaders[k-1] != who) {
			u.leaders = append(u.leaders, who)
		}
	}
	u.world.after(200*time.Millisecond, u.recordLeaders)
}

// ledBy tells whether versions, or controllers with them ("old:node-0"), led in
// this order, others between them or not.
func (u *upgradeRun) ledBy(versions []string) bool {
	for _, l := range u.leaders {
		if len(versions) > 0 && strings.HasPrefix(l, strings.Replace(versions[0], ":", " ", 1)) {
			versions = versions[1:]
		}
	}
	return len(versions) == 0
}

// checkExpectation tells what a line expects of the upgrade and did not find.
func (u *upgradeRun) checkExpectation(line scenarioLine) string {
	switch line.arg(0) {
	case "leaders":
		if !u.ledBy(line.args[1:]) {
			return fmt.Sprintf("line %d: leaders were %v", line.lineNumber, u.leaders)
		}
	case "turns":
		for what, prefix := range map[string]string{"worker": "n-", "user": "job-"} {
			if got, least := u.mostTurns(prefix), int(line.number(what, 0)); got < least {
				return fmt.Sprintf("line %d: no %s changed versions more than %d times", line.lineNumber, what, got)
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
func playUpgrade(t *testing.T, program string, scenario *Scenario, mutate func(*controller, *core.Output)) (world *World, faults []string) {
	var acts, upgrades, expect, order []scenarioLine
	for _, l := range scenario.actions {
		if l.word == "upgrade" {
			upgrades = append(upgrades, l)
		} else {
			acts = append(acts, l)
		}
	}
	for _, l := range scenario.expectations {
		if l.arg(0) == "leaders" || l.arg(0) == "turns" {
			order = append(order, l)
		} else {
			expect = append(expect, l)
		}
	}
	day := *scenario
	day.actions, day.expectations = acts, expect
	log := testLog()
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	world = day.newWorld(log)
	run := &upgradeRun{test: t, world: world, program: program, upgraded: map[string]bool{}, children: map[string]*child{}, visits: map[string]*versionVisits{}}
	world.newCore, world.mutate = run.newCore, mutate
	defer func() {
		for name := range run.children {
			run.killChild(name)
		}
	}()
	for _, l := range upgrades {
		world.after(l.at, func() { run.upgradeControllers(l) })
		world.faultsEnd = max(world.faultsEnd, l.at+seconds(l.number("for", 3)))
	}
	world.after(0, run.recordLeaders)
	faults = day.finish(world)
	for _, l := range order {
		if why := run.checkExpectation(l); why != "" {
			faults = append(faults, why)
		}
	}
	for _, controller := range world.controllers {
		if !controller.runsThisVersion() || !controller.alive {
			faults = append(faults, controller.name+" does not run this version at the end")
		}
	}
	return world, faults
}

// valueLimitsKB are the limits of values with which days are played: records of 128,
// 32 and 16 tasks.
var valueLimitsKB = []float64{16, 4, 2}

// TestUpgrade plays days on which an old version, built from the repository's
// history, is replaced by this one while jobs run: the version in production,
// and the one after it that knows jobs that await others.
func TestUpgrade(t *testing.T) {
	for _, version := range oldVersions(t) {
		t.Run(version.name, func(t *testing.T) {
			t.Parallel()
			playUpgradeFile(t, version, "testdata/upgrade/upgrade.txtar")
			playUpgradeDays(t, version, "troubles meet", 9, overlappingFaultsDay)
			t.Run("placements an old leader does not find", func(t *testing.T) {
				t.Parallel()
				testMisplacedRecordsDetected(t, version.program)
			})
			t.Run("attempts that have ended beside the present ones", func(t *testing.T) {
				t.Parallel()
				testOldLeaderFindsCurrentAttempts(t, version.program)
			})
			if version.hasDependencies {
				playUpgradeFile(t, version, "testdata/upgrade/chains.txtar")
				playUpgradeDays(t, version, "chains meet troubles", 12, pipelinesDay)
			}
		})
	}
}

// playUpgradeFile plays the scenarios of a file.
func playUpgradeFile(t *testing.T, version oldVersion, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range txtar.Parse(data).Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			scenario, err := ParseScenario(string(f.Data))
			if err != nil {
				t.Fatal(err)
			}
			for first := scenario.seed; scenario.seed < first+uint64(scenario.seedCount); scenario.seed++ {
				scenario.settings.Deployment.Store.ValueKB = valueLimitsKB[(scenario.seed-first)%3]
				_, faults := playUpgrade(t, version.program, scenario, nil)
				for _, fault := range faults {
					t.Errorf("seed %d: %s", scenario.seed, fault)
				}
			}
		})
	}
}

// playUpgradeDays plays random days in the middle of an upgrade.
func playUpgradeDays(t *testing.T, version oldVersion, name string, days int, day func(seed uint64) string) {
	for seed := uint64(1); seed <= uint64(soakDays(days)); seed++ {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			text := day(seed) + randomUpgrades(seed)
			s, err := ParseScenario(text)
			if err != nil {
				t.Fatal(err)
			}
			s.settings.Deployment.Store.ValueKB = valueLimitsKB[seed%3]
			world, faults := playUpgrade(t, version.program, s, nil)
			for _, fault := range append(faults, world.unfinishedWork()...) {
				t.Error(fault)
			}
			if t.Failed() {
				t.Log(text)
			}
		})
	}
}

// testMisplacedRecordsDetected has this version record a job's placements where the one in
// production does not look for them: once that one leads, tasks run twice. Of
// one machine that runs some of them it hears by the records alone.
func testMisplacedRecordsDetected(t *testing.T, program string) {
	scenario, err := ParseScenario(`
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
	for ; scenario.seed <= 5; scenario.seed++ {
		_, faults := playUpgrade(t, program, scenario, nil)
		for _, f := range faults {
			t.Errorf("seed %d, without the fault: %s", scenario.seed, f)
		}
		_, faults = playUpgrade(t, program, scenario, func(controller *controller, out *core.Output) {
			if !controller.runsThisVersion() {
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

// testOldLeaderFindsCurrentAttempts has workers that report to a new controller list ended
// attempts beside the present ones while the version in production leads, which
// takes the first one listed for the present one: the new controller puts that one
// first, else tasks that run are taken for vanished and start again.
func testOldLeaderFindsCurrentAttempts(t *testing.T, program string) {
	for seed := uint64(1); seed <= 5; seed++ {
		scenario, err := ParseScenario(`
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
		scenario.seed = seed
		listed := 0
		_, faults := playUpgrade(t, program, scenario, func(controller *controller, _ *core.Output) {
			if listed == 0 && controller.world.now > 50*time.Second {
				listed = controller.world.listEarlierAttempts()
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

// listEarlierAttempts has the workers list an ended earlier attempt at every task that
// runs, until they are told to forget it.
func (w *World) listEarlierAttempts() (listed int) {
	for _, name := range w.cloud.machineNames() {
		m := w.cloud.machines[name]
		for _, t := range m.sortedTasks() {
			if t.state == wire.TaskRunning {
				earlier := *t
				earlier.attempt, earlier.state, earlier.cause, earlier.placed = 0, wire.TaskExited, wire.CauseStopped, false
				m.tasks[exitedKey(t.name, 0)] = &earlier
				listed++
			}
		}
	}
	return listed
}

// randomUpgrades writes the upgrade of a random day.
func randomUpgrades(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 13))
	var text strings.Builder
	at := 30 + 60*rng.Float64()
	for i := range 5 {
		who := "next"
		if i == 0 && rng.IntN(2) == 0 {
			who = "leader"
		}
		fmt.Fprintf(&text, "at %.2f upgrade %s for=%g\n", at, who, []float64{0.5, 3, 8}[rng.IntN(3)])
		if rng.IntN(3) > 0 { // else two at a time
			at += 30 * rng.Float64()
		}
	}
	// Chance may have left one old, that led or was named twice.
	for i := range 5 {
		fmt.Fprintf(&text, "at %d upgrade next\n", 230+5*i)
	}
	return text.String()
}
