package core

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// leaseBound is after how long without an answer a worker that has seen this
// term has certainly dropped its tasks: its lease, the drift of two steady
// clocks, and a margin for our own late timers.
func (l *leader) leaseBound() time.Duration { return l.c.lease() + l.c.lease()/20 }

// overdueReport is after how long without a report one must have been missed:
// they come a quarter early or late.
func (l *leader) overdueReport() time.Duration { return l.c.report() + l.c.report()*3/8 }

// workerSwitch is how long a worker takes to leave a controller that does not
// answer: the protocol's 4 s for the answer and 1 s before the next one.
const workerSwitch = 5 * time.Second

// deadAfter is after how long a silent machine that does not answer passes for
// dead, if others of its zone and controller are heard: a worker had the time
// to change controllers with a margin, and missed a report.
func (l *leader) deadAfter() time.Duration { return max(workerSwitch*8/5, 2*l.c.report()) }

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

// shouldReport tells whether a machine is expected to report: it has
// reported, or tasks are recorded on it.
func (m *machine) shouldReport() bool { return m.heard != 0 || len(m.placed) > 0 }

// tickMachines looks for machines that fell silent or deaf.
func (l *leader) tickMachines() {
	survey := l.surveySilence()
	l.noteCutZones(survey)
	for _, m := range l.byName {
		l.expire(m)
		if m.returning {
			continue
		}
		if m.heard == 0 || l.c.now-m.heard > l.overdueReport() {
			if m.shouldReport() || m.listedAs == wire.MachineRunning {
				l.probe(m)
			}
		}
		if why := l.unhealthy(m, survey); why != "" {
			l.returnMachine(m, why)
		}
	}
}

// surveySilence counts the silent machines.
func (l *leader) surveySilence() *silenceSurvey {
	s := &silenceSurvey{byZone: map[string]silenceCount{}, byController: map[string]silenceCount{}}
	silent, machines := 0, 0
	for _, m := range l.byName {
		if !m.shouldReport() {
			continue
		}
		zone, controller := s.byZone[m.zone], s.byController[m.via]
		machines++
		zone.machines++
		controller.machines++
		since := l.c.now - max(m.heard, m.contact, l.loadedAt)
		if since > l.overdueReport() {
			zone.overdue++
			controller.overdue++
		}
		if since > 3*l.c.report() {
			silent++
			// One that a new leader has not heard yet may hear a deposed one.
			if since < l.c.maxExtension() && (m.heard == 0 || !l.leaseOver(m)) {
				zone.silent++
			}
		}
		s.byZone[m.zone], s.byController[m.via] = zone, controller
	}
	s.mostSilent = silent > 2 && silent*2 > machines
	return s
}

// noteCutZones notes which zones are cut off. Most of a zone at once is more
// likely cut off, and goes on under a controller there, than dead; so is a zone
// of a machine or two, if its controllers are out of reach with all of them.
func (l *leader) noteCutZones(s *silenceSurvey) {
	for zone, n := range s.byZone {
		if n.mostSilent() || n.silent > 0 && n.silent == n.machines && l.c.zoneLost(zone) {
			l.fleet.cutAt[zone] = l.c.now
		}
	}
}

// maxExpired is how often a worker may lose its lease while it answers.
const maxExpired = 3

// unhealthy tells why a machine is to be returned; empty if it is not.
func (l *leader) unhealthy(m *machine, s *silenceSurvey) drainReason {
	silence := l.silence(m)
	limit := 2 * l.leaseBound()
	if s.mostSilent {
		limit *= 2
	}
	switch {
	case l.dead(m, s):
		return drainDead
	case m.listedAs == wire.MachineFailed:
		return drainFailed
	case m.shouldReport() && silence > limit:
		return drainSilent
	case m.expired >= maxExpired:
		return drainLosesLease
	case m.deafSince != 0 && l.c.now-m.deafSince > l.c.lease():
		return drainDeaf
	}
	return ""
}

// silence is for how long nothing was heard of a machine that could have been.
func (l *leader) silence(m *machine) time.Duration {
	return l.c.now - max(m.heard, m.contact, l.loadedAt, l.fleet.cutAt[m.zone])
}

// dead tells whether a silent machine is dead, hangs or is cut off alone: it
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
func (l *leader) dead(m *machine, s *silenceSurvey) bool {
	if !m.shouldReport() || m.probeFailed <= max(m.heard, l.loadedAt) || l.silence(m) <= l.deadAfter() {
		return false
	}
	zone, controller := s.byZone[m.zone], s.byController[m.via]
	if s.mostSilent || zone.mostOverdue() || m.via != "" && controller.mostOverdue() {
		return false
	}
	return l.zoneReachable(m, zone.machines)
}
