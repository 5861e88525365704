package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// leaseExpiryBound is after how long without an answer a worker that has seen this
// term has certainly dropped its tasks: its lease, the drift of two steady
// clocks, and a margin for our own late timers.
func (l *leader) leaseExpiryBound() time.Duration {
	return l.core.workerLease() + l.core.workerLease()/20
}

// heartbeatOverdueAfter is after how long without a report one must have been missed:
// they come a quarter early or late.
func (l *leader) heartbeatOverdueAfter() time.Duration {
	return l.core.heartbeatInterval() + l.core.heartbeatInterval()*3/8
}

// workerFailoverTime is how long a worker takes to leave a controller that does not
// answer: the protocol's 4 s for the answer and 1 s before the next one.
const workerFailoverTime = 5 * time.Second

// deadAfter is after how long a silent machine that does not answer passes for
// dead, if others of its zone and controller are heard: a worker had the time
// to change controllers with a margin, and missed a report.
func (l *leader) deadAfter() time.Duration {
	return max(workerFailoverTime*8/5, 2*l.core.heartbeatInterval())
}

// silenceCount counts the machines of a zone, or those that report by one
// controller.
type silenceCount struct {
	machines int // that are expected to report
	overdue  int // that missed a report
	silent   int // silent for longer, their leases not known to have run out
}

// mostOverdue tells whether most of the machines missed a report, and more than
// a few.
func (n silenceCount) mostOverdue() bool { return n.overdue > 2 && n.overdue*2 > n.machines }

// mostSilent is the same for machines that are silent for longer.
func (n silenceCount) mostSilent() bool { return n.silent > 2 && n.silent*2 > n.machines }

// silenceSurvey is how many machines are silent at a tick, and where.
type silenceSurvey struct {
	byZone       map[string]silenceCount
	byController map[string]silenceCount
	// mostSilent: more likely our own cut than the machines' death.
	mostSilent bool
}

// tickMachines looks for machines that fell silent or deaf.
func (l *leader) tickMachines() {
	survey := l.countSilentMachines()
	l.recordPartitionedZones(survey)
	for _, machine := range l.MachinesByName {
		l.expireLease(machine)
		if machine.Returning {
			continue
		}
		if machine.LastHeartbeat == 0 || l.core.now-machine.LastHeartbeat > l.heartbeatOverdueAfter() {
			if machine.HeartbeatExpected() || machine.ListedAs == wire.MachineRunning {
				l.probe(machine)
			}
		}
		if reason := l.unhealthyReason(machine, survey); reason != "" {
			l.returnMachine(machine, reason)
		}
	}
}

// countSilentMachines counts the silent machines.
func (l *leader) countSilentMachines() *silenceSurvey {
	survey := &silenceSurvey{byZone: map[string]silenceCount{}, byController: map[string]silenceCount{}}
	silent, machines := 0, 0
	for _, machine := range l.MachinesByName {
		if !machine.HeartbeatExpected() {
			continue
		}
		zone, controller := survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController]
		machines++
		zone.machines++
		controller.machines++
		silence := l.core.now - max(machine.LastHeartbeat, machine.LastContact, l.recordsLoadedAt)
		if silence > l.heartbeatOverdueAfter() {
			zone.overdue++
			controller.overdue++
		}
		if silence > 3*l.core.heartbeatInterval() {
			silent++
			// One that a new leader has not heard yet may hear a deposed one.
			if silence < l.core.maxExtensionTime() && (machine.LastHeartbeat == 0 || !l.leaseExpired(machine)) {
				zone.silent++
			}
		}
		survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController] = zone, controller
	}
	survey.mostSilent = silent > 2 && silent*2 > machines
	return survey
}

// recordPartitionedZones notes which zones are cut off. Most of a zone at once is more
// likely cut off, and goes on under a controller there, than dead; so is a zone
// of a machine or two, if its controllers are out of reach with all of them.
func (l *leader) recordPartitionedZones(survey *silenceSurvey) {
	for zone, count := range survey.byZone {
		if count.mostSilent() || count.silent > 0 && count.silent == count.machines && l.core.zoneLost(zone) {
			l.fleet.partitionedAt[zone] = l.core.now
		}
	}
}

// maxLeaseExpiries is how often a worker may lose its lease while it answers.
const maxLeaseExpiries = 3

// unhealthyReason tells why a machine is to be returned; empty if it is not.
func (l *leader) unhealthyReason(machine *cluster.Machine, survey *silenceSurvey) cluster.DrainReason {
	silence := l.silentFor(machine)
	limit := 2 * l.leaseExpiryBound()
	if survey.mostSilent {
		limit *= 2
	}
	switch {
	case l.isDead(machine, survey):
		return cluster.DrainDead
	case machine.ListedAs == wire.MachineFailed:
		return cluster.DrainListedFailed
	case machine.HeartbeatExpected() && silence > limit:
		return cluster.DrainSilent
	case machine.LeaseExpiries >= maxLeaseExpiries:
		return cluster.DrainLeaseExpiries
	case machine.UnreachableSince != 0 && l.core.now-machine.UnreachableSince > l.core.workerLease():
		return cluster.DrainUnreachable
	}
	return ""
}

// silentFor is for how long nothing was heard of a machine that could have been.
func (l *leader) silentFor(m *cluster.Machine) time.Duration {
	return l.core.now - max(m.LastHeartbeat, m.LastContact, l.recordsLoadedAt, l.fleet.partitionedAt[m.Zone])
}

// isDead tells whether a silent machine is dead, hangs or is cut off alone: it
// does not answer us either, though others of its zone do and it has had the
// time to find another controller. Its return frees its tasks sooner than its
// lease, however many fail at once. A leader that was cut off from the workers
// once returned those that took longest to find another controller.
//
// A machine of a zone that has just been cut off must not pass for a dead one
// because its report had been due a little earlier than the others': when it
// seems dead all of the zone has missed a report. With reports as far apart as
// the workers' change of controllers takes, a third of a cut zone was returned
// before the zone counted as cut. The same holds for those that reported by a
// controller which is now out of reach. Those that a new leader has not heard yet are
// not such a group, though all of them are silent: taken for one, machines that hung
// when the leader changed were given up no sooner than their leases.
func (l *leader) isDead(machine *cluster.Machine, survey *silenceSurvey) bool {
	if !machine.HeartbeatExpected() || machine.LastProbeFailure <= max(machine.LastHeartbeat, l.recordsLoadedAt) || l.silentFor(machine) <= l.deadAfter() {
		return false
	}
	zone, controller := survey.byZone[machine.Zone], survey.byController[machine.HeartbeatController]
	if survey.mostSilent || zone.mostOverdue() || machine.HeartbeatController != "" && controller.mostOverdue() {
		return false
	}
	return l.pathVerified(machine, zone.machines)
}
