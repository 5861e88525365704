package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// controllersNamed names controllers: a name, "leader", "follower" or "all".
func (w *World) controllersNamed(what string) []*controller {
	lead := w.leader()
	switch what {
	case "all":
		return w.controllers
	case "leader":
		if lead == nil {
			return w.controllers[:1]
		}
		return []*controller{lead}
	case "follower":
		for _, candidate := range w.controllers {
			if candidate != lead {
				return []*controller{candidate}
			}
		}
	}
	for _, candidate := range w.controllers {
		if candidate.name == what {
			return []*controller{candidate}
		}
	}
	panic("no such node: " + what)
}

// endpointName turns the names of a scenario into those of the network.
func (w *World) endpointName(what string) string {
	switch what {
	case "leader", "follower":
		return w.controllersNamed(what)[0].name
	case "busy":
		if m := w.busiestMachine(); m != nil {
			return m.name
		}
	}
	return what
}

// busiestMachine is the machine with the most tasks.
func (w *World) busiestMachine() *machine {
	var best *machine
	n := -1
	for _, name := range w.cloud.machineNames() {
		m := w.cloud.machines[name]
		on := 0
		for _, t := range m.tasks {
			if t.state != wire.TaskExited {
				on++
			}
		}
		if !m.removed && on > n {
			best, n = m, on
		}
	}
	return best
}

func (w *World) machineNamed(what string) *machine {
	if what == "busy" {
		return w.busiestMachine()
	}
	if m := w.cloud.machines[what]; m != nil {
		return m
	}
	panic("no such machine: " + what)
}

// injectMachineFault has a trouble befall a machine.
func (w *World) injectMachineFault(what string, machine *machine, duration time.Duration) {
	switch what {
	case "kill": // gone without notice
		w.cloud.removeMachine(machine.name)
	case "take": // the cloud takes it back after a notice
		machine.preemptionAt = w.now + duration
		machine.statusChanged = true
		w.after(duration, func() { w.cloud.removeMachine(machine.name) })
	case "hang":
		machine.hangUntil = w.now + duration
	case "faulty":
		machine.faulty = true
	case "deaf": // its reports arrive, answers and commands don't reach it
		w.partitions = append(w.partitions, &partition{"nodes", machine.name, w.now + duration, false})
	case "mute": // it reaches no controller, direct commands reach it
		machine.outboundBlockedUntil = w.now + duration
	}
}

// selectMachines names the machines of a trouble: one, or of all that are up
// ("some") or of those in a zone ("zone:Z") a count or a share: a tenth of all
// and the whole of a zone unless said.
func (w *World) selectMachines(line scenarioLine) []*machine {
	zone, inZone := strings.CutPrefix(line.arg(0), "zone:")
	if line.arg(0) != "some" && !inZone {
		return []*machine{w.machineNamed(line.arg(0))}
	}
	var up []*machine
	for _, name := range w.cloud.machineNames() {
		if m := w.cloud.machines[name]; !m.removed && m.upAt <= w.now && (!inZone || m.zone == zone) {
			up = append(up, m)
		}
	}
	w.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	share := 0.1
	if inZone {
		share = 1
	}
	n := int(line.number("share", share) * float64(len(up)))
	if line.options["count"] != "" {
		n = min(len(up), int(line.number("count", 0)))
	}
	return up[:n]
}

// longestBootSeconds is about the longest time, in seconds, that a machine of a scenario
// usually takes to boot.
const longestBootSeconds = 60

// faultDuration tells how long after it began the trouble of a line may be felt;
// false for what is none.
func (l *scenarioLine) faultDuration(lease time.Duration) (time.Duration, bool) {
	duration := seconds(l.number("for", 10))
	switch l.word {
	case "submit", "cancel":
		return 0, false
	case "late_writes":
		duration += 12 * time.Second
	case "late_reports":
		duration += 2*time.Second + lease + lease/2
	case "copies":
		duration += seconds(l.number("delay", 15))
	case "cancel_now":
		duration = seconds(l.number("hang", 0))
	case "lateboot":
		duration += seconds(longestBootSeconds * l.number("factor", 3))
	}
	return duration, true
}

// perform brings about what a line says.
func (w *World) perform(line scenarioLine) {
	if line.hasFlag("busy") && w.busiestMachine() == nil {
		return // no machine is up to suffer it
	}
	d := seconds(line.number("for", 10))
	w.debugf("act %s %v", line.word, line.args)
	if !w.performUserAction(line, d) && !w.injectControllerFault(line, d) && !w.injectServiceFault(line, d) && !w.injectMachineFaults(line, d) {
		panic(fmt.Sprintf("line %d: unknown act %q", line.lineNumber, line.word))
	}
}

// performUserAction has users do something; false if the line is of another kind.
func (w *World) performUserAction(line scenarioLine, duration time.Duration) bool {
	switch line.word {
	case "submit":
		when := submitWhenAccepted
		if line.hasFlag("early") {
			when = submitAtOnce
		} else if line.hasFlag("after") {
			when = submitWhenFinished
		}
		w.users.submit(w.parseJob(line), when)
	case "cancel":
		w.users.cancel(line.arg(0))
	case "cancel_now":
		w.users.cancelRunningJobs(int(line.number("count", 1)), seconds(line.number("hang", 0)))
	case "cancel_at_end":
		w.cancellationsAtEnd = randomFault{line.number("share", 0.5), w.now + duration}
	case "odd_requests":
		w.users.sendInvalidRequests(w.now + duration)
	case "poll_storm":
		w.users.pollStorm, w.users.pollStormFactor = randomFault{1, w.now + duration}, line.number("factor", 8)
	default:
		return false
	}
	return true
}

// injectControllerFault ends controllers or cuts connections; false if the line is of
// another kind.
func (w *World) injectControllerFault(line scenarioLine, duration time.Duration) bool {
	switch line.word {
	case "crash":
		for _, controller := range w.controllersNamed(line.arg(0)) {
			controller.crash(seconds(line.number("for", 3)))
		}
	case "cut": // both ways, or only the first to the second
		a, b := w.endpointName(line.arg(0)), w.endpointName(line.arg(1))
		w.partitions = append(w.partitions, &partition{a, b, w.now + duration, line.hasFlag("hold")})
		if !line.hasFlag("oneway") {
			w.partitions = append(w.partitions, &partition{b, a, w.now + duration, line.hasFlag("hold")})
		}
	case "pause": // a controller stands still and goes on as if nothing had been
		for _, controller := range w.controllersNamed(line.arg(0)) {
			controller.pause(duration)
		}
		if line.arg(0) == "all" {
			w.pauses = append(w.pauses, interval{w.now, w.now + duration})
		}
	case "isolate": // a controller loses state service and peers, both ways
		for _, controller := range w.controllersNamed(line.arg(0)) {
			for _, other := range []string{"state", "nodes"} {
				w.partitions = append(w.partitions, &partition{controller.name, other, w.now + duration, false}, &partition{other, controller.name, w.now + duration, false})
			}
		}
	default:
		return false
	}
	return true
}

// injectServiceFault troubles the state service or the cloud; false if the line is of
// another kind.
func (w *World) injectServiceFault(line scenarioLine, duration time.Duration) bool {
	switch line.word {
	case "outage":
		if line.arg(0) == "state" {
			w.store.beginOutage(duration)
		} else {
			w.cloud.outageUntil = w.now + duration
		}
	case "slow": // the state service takes its time over every request but watches
		w.store.latency, w.store.slowUntil = seconds(line.number("by", 0.3)), w.now+duration
	case "refuse": // the state service refuses one controller
		w.store.refusedUntil[w.endpointName(line.arg(0))] = w.now + duration
	case "late_writes": // transactions without an answer, carried out late
		w.store.delayedCommits = randomFault{line.number("share", 0.1), w.now + duration}
	case "limits": // the state service has lower limits from now on
		w.store.reduceLimits(line.storeLimits(w.settings.Deployment.Store))
	case "noboot":
		w.cloud.failedBoots = line.bootFault(w.now + duration)
	case "lateboot":
		w.cloud.delayedBoots = line.bootFault(w.now + duration)
	default:
		return false
	}
	return true
}

// bootFault is the trouble that the line describes, until a time.
func (l *scenarioLine) bootFault(until time.Duration) bootFault {
	return bootFault{randomFault: randomFault{l.number("share", 1), until}, machineType: l.options["type"], zone: l.options["zone"], factor: l.number("factor", 3)}
}

// injectMachineFaults troubles machines or their reports; false if the line is of another
// kind.
func (w *World) injectMachineFaults(line scenarioLine, duration time.Duration) bool {
	switch line.word {
	case "kill", "take", "hang", "faulty", "deaf", "mute":
		for _, m := range w.selectMachines(line) {
			w.injectMachineFault(line.word, m, duration)
		}
	case "late_reports": // copies of reports that come again
		w.duplicateHeartbeats = randomFault{line.number("share", 0.1), w.now + duration}
	case "copies": // late copies of a machine's reports
		for _, name := range w.cloud.machineNames() {
			m := w.cloud.machines[name]
			m.duplicateUntil, m.duplicateDelay = w.now+duration, seconds(line.number("delay", 15))
		}
	default:
		return false
	}
	return true
}
