package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// upgradeRun is the run of a scenario in which every controller starts with an old version and is
// later replaced by one of this version.
type upgradeRun struct {
	test     *testing.T
	world    *World
	program  string            // path of the old version's driver
	upgraded map[string]bool   // by controller; true once it is replaced
	children map[string]*child // by controller
	leaders  []string          // successive leaders as "old NAME" or "new NAME"

	switchesBySubject map[string]*versionSwitches // by machine or job
}

// versionSwitches records which version received the last request about a machine or a job, and how
// often successive requests went to different versions.
type versionSwitches struct {
	isNew    bool
	switches int
}

// requestRecorder records the requests that a core handles.
type requestRecorder struct {
	stepper
	run   *upgradeRun
	isNew bool
}

func (r *requestRecorder) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	if request, ok := in.(core.Request); ok {
		r.run.recordRequest(request, r.isNew)
	}
	return r.stepper.Step(now, wall, in)
}

// recordRequest records that a version received a request about a machine or a job.
func (u *upgradeRun) recordRequest(request core.Request, newVersion bool) {
	subject := strings.TrimPrefix(request.Path, submissionsPath+"/")
	if request.Path == heartbeatPath {
		var heartbeat wire.Heartbeat
		if json.Unmarshal(request.Body, &heartbeat) != nil {
			return
		}
		subject = heartbeat.Machine
	}
	switch v := u.switchesBySubject[subject]; {
	case v == nil:
		u.switchesBySubject[subject] = &versionSwitches{isNew: newVersion}
	case v.isNew != newVersion:
		v.isNew = newVersion
		v.switches++
	}
}

// maxSwitches returns the largest number of version switches of any machine or job whose name has a
// prefix.
func (u *upgradeRun) maxSwitches(prefix string) int {
	most := 0
	for subject, v := range u.switchesBySubject {
		if strings.HasPrefix(subject, prefix) {
			most = max(most, v.switches)
		}
	}
	return most
}

// runsThisVersion reports whether the controller runs this version.
func (c *controller) runsThisVersion() bool {
	r, ok := c.core.(*requestRecorder)
	return ok && r.isNew
}

// newCore makes the core of a starting controller. A core of the old version runs in a new process
// at each start.
func (u *upgradeRun) newCore(c *controller, incarnation uint64) stepper {
	u.killChild(c.name)
	if u.upgraded[c.name] {
		return &requestRecorder{core.New(c.settings(), nil, incarnation, u.world.log.With("controller", c.name)), u, true}
	}
	started := startChild(u.test, u.program, c, incarnation)
	u.children[c.name] = started
	return &requestRecorder{started, u, false}
}

func (u *upgradeRun) killChildren() {
	for name := range u.children {
		u.killChild(name)
	}
}

func (u *upgradeRun) killChild(name string) {
	if c := u.children[name]; c != nil {
		c.kill()
		delete(u.children, name)
	}
}

// upgradeControllers kills the controllers that a line names and restarts them with this version.
func (u *upgradeRun) upgradeControllers(line scenarioLine) {
	for _, c := range u.controllersToUpgrade(line.arg(0)) {
		u.world.debugf("upgrade %s", c.name)
		u.upgraded[c.name] = true
		c.crash(upgradeDowntime(line))
	}
}

// upgradeDowntime returns how long a controller is down during its upgrade.
func upgradeDowntime(line scenarioLine) time.Duration { return seconds(line.number("for", 3)) }

// controllersToUpgrade returns the controllers that a line names. "follower" is the first
// controller of the old version that is not the leader; "next" is the same, or the leader if there
// is none and the leader still runs the old version.
func (u *upgradeRun) controllersToUpgrade(target string) []*controller {
	if target != "follower" && target != "next" {
		return u.world.controllersNamed(target)
	}
	leader := u.world.leader()
	for _, c := range u.world.controllers {
		if !u.upgraded[c.name] && c != leader {
			return []*controller{c}
		}
	}
	if target == "next" && leader != nil && !u.upgraded[leader.name] {
		return []*controller{leader}
	}
	return nil
}

// recordLeaders records the leader and its version every 200 ms.
func (u *upgradeRun) recordLeaders() {
	if leader := u.world.leader(); leader != nil && leader.alive {
		version := "old "
		if leader.runsThisVersion() {
			version = "new "
		}
		last := len(u.leaders) - 1
		if who := version + leader.name; last < 0 || u.leaders[last] != who {
			u.leaders = append(u.leaders, who)
		}
	}
	u.world.after(200*time.Millisecond, u.recordLeaders)
}

// ledBy reports whether versions, or controllers with a version ("old:node-0"), led in this order.
// Other leaders between them are allowed.
func (u *upgradeRun) ledBy(versions []string) bool {
	for _, leader := range u.leaders {
		if len(versions) > 0 && strings.HasPrefix(leader, strings.Replace(versions[0], ":", " ", 1)) {
			versions = versions[1:]
		}
	}
	return len(versions) == 0
}

// checkExpectation checks an expectation about the upgrade. It returns why the expectation is not
// met, or an empty string.
func (u *upgradeRun) checkExpectation(line scenarioLine) string {
	switch line.arg(0) {
	case "leaders":
		if !u.ledBy(line.args[1:]) {
			return fmt.Sprintf("line %d: the leaders %v do not include the expected ones in this order", line.lineNumber, u.leaders)
		}
	case "turns":
		for what, prefix := range map[string]string{"worker": machinePrefix, "user": "job-"} {
			if got, least := u.maxSwitches(prefix), int(line.number(what, 0)); got < least {
				return fmt.Sprintf("line %d: most version switches between the requests of a %s: got %d, want more", line.lineNumber, what, got)
			}
		}
	}
	return ""
}

// splitLines separates the lines that match a condition from the others.
func splitLines(lines []scenarioLine, condition func(scenarioLine) bool) (matching, others []scenarioLine) {
	for _, line := range lines {
		if condition(line) {
			matching = append(matching, line)
		} else {
			others = append(others, line)
		}
	}
	return matching, others
}

// runUpgradeScenario runs a scenario that may contain three kinds of lines in addition to those of
// other scenarios:
//
//	at T upgrade WHO for=    a controller is killed and restarted with this version, 3 s later by default
//	expect leaders old|new...    versions that led, in this order
//	expect turns worker= user=    at least so many version switches between requests of a worker or about a job
func runUpgradeScenario(t *testing.T, program string, scenario *Scenario, mutate mutation) (world *World, failures []string) {
	t.Helper()
	upgrades, actions := splitLines(scenario.actions, func(line scenarioLine) bool { return line.word == "upgrade" })
	upgradeExpectations, expectations := splitLines(scenario.expectations, func(line scenarioLine) bool {
		return line.arg(0) == "leaders" || line.arg(0) == "turns"
	})
	withoutUpgrade := *scenario
	withoutUpgrade.actions, withoutUpgrade.expectations = actions, expectations
	world = withoutUpgrade.newWorld(testLog())
	run := &upgradeRun{test: t, world: world, program: program, upgraded: map[string]bool{}, children: map[string]*child{}, switchesBySubject: map[string]*versionSwitches{}}
	world.newCore, world.mutate = run.newCore, mutate
	defer run.killChildren()
	for _, line := range upgrades {
		world.after(line.at, func() { run.upgradeControllers(line) })
		world.faultsEnd = max(world.faultsEnd, line.at+upgradeDowntime(line))
	}
	world.after(0, run.recordLeaders)
	failures = withoutUpgrade.finish(world)
	for _, line := range upgradeExpectations {
		if why := run.checkExpectation(line); why != "" {
			failures = append(failures, why)
		}
	}
	for _, c := range world.controllers {
		if !c.runsThisVersion() || !c.alive {
			failures = append(failures, c.name+" is down or runs the old version at the end")
		}
	}
	return world, failures
}
