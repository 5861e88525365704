package sim

import (
	"fmt"
	"time"
)

// actions maps the words of timed lines to what they do.
var actions = map[string]func(w *World, line scenarioLine){
	// Requests of users.
	"submit":        (*World).submitJob,
	"cancel":        func(w *World, line scenarioLine) { w.users.cancel(line.arg(0)) },
	"cancel_now":    (*World).cancelRunning,
	"cancel_at_end": (*World).cancelAtEnd,
	"odd_requests":  func(w *World, line scenarioLine) { w.users.sendInvalidRequests(w.now + line.duration()) },
	"poll_storm":    (*World).startPollStorm,

	// Faults of controllers and the network.
	"crash":   (*World).crashControllers,
	"pause":   (*World).pauseControllers,
	"cut":     (*World).cutConnections,
	"isolate": (*World).isolateControllers,

	// Faults of the key-value store and the cloud.
	"outage":      (*World).beginOutage,
	"slow":        (*World).slowStore,
	"refuse":      (*World).refuseController,
	"late_writes": (*World).delayCommits,
	"limits":      func(w *World, line scenarioLine) { w.store.reduceLimits(line.storeLimits(w.settings.Deployment.Store)) },
	"noboot":      func(w *World, line scenarioLine) { w.cloud.failedBoots = line.bootFault(w.now + line.duration()) },
	"lateboot":    func(w *World, line scenarioLine) { w.cloud.delayedBoots = line.bootFault(w.now + line.duration()) },

	// Faults of machines and their heartbeats.
	"kill":         machineFault((*machine).kill),
	"take":         machineFault((*machine).preempt),
	"hang":         machineFault((*machine).hang),
	"faulty":       machineFault((*machine).failTasks),
	"deaf":         machineFault((*machine).blockInbound),
	"mute":         machineFault((*machine).blockOutbound),
	"late_reports": (*World).duplicateSomeHeartbeats,
	"copies":       (*World).duplicateAllHeartbeats,

	// Delays of commands to workers.
	"late_commands": (*World).delayDirectCommands,
	"late_answers":  (*World).delayCommandAnswers,

	// Copies of calls of all kinds.
	"repeat_calls": (*World).repeatCalls,
}

// perform executes the action of a line.
func (w *World) perform(line scenarioLine) {
	if line.hasFlag(busyTarget) && w.busiestMachine() == nil {
		return // no machine is rented
	}
	w.debugf("scenario action %s %v", line.word, line.args)
	action := actions[line.word]
	if action == nil {
		panic(fmt.Sprintf("line %d: unknown action %q", line.lineNumber, line.word))
	}
	action(w, line)
}

// longestBootS is an estimate of the longest boot time in seconds of the machines in scenarios.
const longestBootS = 60

// faultDuration returns for how long after its start the fault of a line may have effects; false
// if the line is not a fault.
func (l *scenarioLine) faultDuration(lease time.Duration) (time.Duration, bool) {
	duration := l.duration()
	switch l.word {
	case "submit", "cancel":
		return 0, false
	case "late_writes":
		duration += minCommitDelay + commitDelayRange
	case "late_reports":
		duration += minDuplicateDelay + lease + lease/2
	case "late_commands":
		duration += minCommandDelay + commandDelayRange
	case "late_answers":
		duration += heartbeatTimeout
	case "copies":
		duration += l.duplicateDelay()
	case "repeat_calls":
		duration += l.maxRepeatDelay()
	case "cancel_now":
		duration = seconds(l.number("hang", 0))
	case "lateboot":
		duration += seconds(longestBootS * l.number("factor", defaultBootFactor))
	}
	return duration, true
}

func (w *World) submitJob(line scenarioLine) {
	when := submitWhenAccepted
	if line.hasFlag("early") {
		when = submitImmediately
	} else if line.hasFlag("after") {
		when = submitWhenFinished
	}
	w.users.submit(line.job(), when)
}

func (w *World) cancelRunning(line scenarioLine) {
	w.users.cancelRunningJobs(int(line.number("count", 1)), seconds(line.number("hang", 0)))
}

func (w *World) cancelAtEnd(line scenarioLine) {
	w.cancellationsAtEnd = randomFault{line.number("share", 0.5), w.now + line.duration()}
}

func (w *World) startPollStorm(line scenarioLine) {
	w.users.pollStormUntil = w.now + line.duration()
	w.users.pollStormFactor = line.number("factor", 8)
}

func (w *World) crashControllers(line scenarioLine) {
	for _, c := range w.controllersNamed(line.arg(0)) {
		c.crash(seconds(line.number("for", 3)))
	}
}

func (w *World) pauseControllers(line scenarioLine) {
	for _, c := range w.controllersNamed(line.arg(0)) {
		c.pause(line.duration())
	}
	if line.arg(0) == "all" {
		w.pauses = append(w.pauses, interval{w.now, w.now + line.duration()})
	}
}

// cutConnections blocks messages between two targets, or only those from the first to the second.
func (w *World) cutConnections(line scenarioLine) {
	from, to := w.endpointName(line.arg(0)), w.endpointName(line.arg(1))
	if line.hasFlag("oneway") {
		w.partition(from, to, line.duration(), line.hasFlag("hold"))
		return
	}
	w.partitionBothWays(from, to, line.duration(), line.hasFlag("hold"))
}

// isolateControllers partitions controllers from the key-value store and their peers.
func (w *World) isolateControllers(line scenarioLine) {
	for _, c := range w.controllersNamed(line.arg(0)) {
		w.partitionBothWays(c.name, storeEndpoint, line.duration(), false)
		w.partitionBothWays(c.name, controllersPattern, line.duration(), false)
	}
}

func (w *World) beginOutage(line scenarioLine) {
	if line.arg(0) == storeEndpoint {
		w.store.beginOutage(line.duration())
		return
	}
	w.cloud.outageUntil = w.now + line.duration()
}

// slowStore delays every request to the key-value store except watches.
func (w *World) slowStore(line scenarioLine) {
	w.store.latency, w.store.slowUntil = seconds(line.number("by", 0.3)), w.now+line.duration()
}

// refuseController makes the key-value store reject the requests of one controller.
func (w *World) refuseController(line scenarioLine) {
	w.store.refusedUntil[w.endpointName(line.arg(0))] = w.now + line.duration()
}

// delayCommits makes the key-value store commit a share of transactions late and without an answer.
func (w *World) delayCommits(line scenarioLine) {
	w.store.delayedCommits = randomFault{line.number("share", 0.1), w.now + line.duration()}
}

// defaultBootFactor is the default factor by which delayed boots take longer.
const defaultBootFactor = 3

// bootFault returns the boot fault that the line describes, until a time.
func (l *scenarioLine) bootFault(until time.Duration) bootFault {
	return bootFault{
		randomFault: randomFault{l.number("share", 1), until}, machineType: l.options["type"], zone: l.options["zone"],
		factor: l.number("factor", defaultBootFactor),
	}
}

// machineFault returns an action that injects a fault into the machines that a line selects.
func machineFault(inject func(m *machine, duration time.Duration)) func(*World, scenarioLine) {
	return func(w *World, line scenarioLine) {
		for _, m := range w.selectMachines(line) {
			inject(m, line.duration())
		}
	}
}

// kill removes the machine without a preemption notice.
func (m *machine) kill(time.Duration) { m.world.cloud.removeMachine(m.name) }

// preempt gives a preemption notice and removes the machine when the notice period ends.
func (m *machine) preempt(notice time.Duration) {
	m.preemptionAt = m.world.now + notice
	m.statusChanged = true
	m.world.after(notice, func() { m.world.cloud.removeMachine(m.name) })
}

// hang makes the worker do nothing for a duration. Its lease can still expire.
func (m *machine) hang(duration time.Duration) { m.hangUntil = m.world.now + duration }

// failTasks makes every task that starts on the machine from now on exit with an error.
func (m *machine) failTasks(time.Duration) { m.faulty = true }

// blockInbound injects an asymmetric partition: heartbeats reach the controllers, but answers and
// direct commands do not reach the worker.
func (m *machine) blockInbound(duration time.Duration) {
	m.world.partition(controllersPattern, m.name, duration, false)
}

// blockOutbound injects an asymmetric partition: heartbeats do not reach the controllers, but
// direct commands reach the worker.
func (m *machine) blockOutbound(duration time.Duration) {
	m.outboundBlockedUntil = m.world.now + duration
}

// duplicateSomeHeartbeats sends a copy of a share of heartbeats after a random delay.
func (w *World) duplicateSomeHeartbeats(line scenarioLine) {
	w.duplicateHeartbeats = randomFault{line.number("share", 0.1), w.now + line.duration()}
}

// duplicateAllHeartbeats sends a copy of every heartbeat of the current machines after a fixed
// delay.
func (w *World) duplicateAllHeartbeats(line scenarioLine) {
	for _, m := range w.cloud.machines {
		m.duplicateUntil, m.duplicateDelay = w.now+line.duration(), line.duplicateDelay()
	}
}

func (l *scenarioLine) duplicateDelay() time.Duration { return seconds(l.number("delay", 15)) }
