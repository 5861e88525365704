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

// tickMachines looks for machines that fell silent or deaf.
func (l *leader) tickMachines() {
	now := l.c.now
	silent, heard := 0, 0
	type count struct{ silent, quiet, heard int }
	in, by := map[string]count{}, map[string]count{} // zone, controller
	for _, m := range l.byName {
		if m.heard == 0 && len(m.placed) == 0 {
			continue
		}
		n, v := in[m.zone], by[m.via]
		heard++
		n.heard++
		v.heard++
		since := now - max(m.heard, m.contact, l.loadedAt)
		if since > l.overdueReport() {
			n.quiet++
			v.quiet++
		}
		by[m.via] = v
		if since > 3*l.c.report() {
			silent++
			// One that a new leader has not heard yet may hear a deposed one.
			if since < l.c.keepFor() && (m.heard == 0 || !l.leaseOver(m)) {
				n.silent++
			}
		}
		in[m.zone] = n
	}
	for zone, n := range in {
		// Most of a zone at once is more likely cut off, and goes on under a
		// controller there, than dead; so is a zone of a machine or two, if
		// its controllers are out of reach with all of them.
		if n.silent > 2 && n.silent*2 > n.heard || n.silent > 0 && n.silent == n.heard && l.c.zoneLost(zone) {
			l.fleet.cutAt[zone] = now
		}
	}
	// A machine of a zone that has just been cut off must not pass for a dead
	// one because its report had been due a little earlier than the others':
	// when it seems dead all of the zone has missed a report. With reports as
	// far apart as the workers' change of controllers takes, a third of a cut
	// zone was returned before the zone counted as cut. The same holds for
	// those that reported by a controller which is now out of reach.
	hushed := func(n count) bool { return n.quiet > 2 && n.quiet*2 > n.heard }
	// Most machines silent are more likely our own cut than their death.
	mass := silent > 2 && silent*2 > heard
	for _, m := range l.byName {
		l.expire(m)
		if m.returning {
			continue
		}
		if m.heard == 0 || now-m.heard > l.overdueReport() {
			if m.heard != 0 || len(m.placed) > 0 || m.listedAs == wire.MachineRunning {
				l.probe(m)
			}
		}
		silence := now - max(m.heard, m.contact, l.loadedAt, l.fleet.cutAt[m.zone])
		limit := 2 * l.leaseBound()
		if mass {
			limit *= 2
		}
		// This one does not answer us either, though others of its zone do and
		// it has had the time to find another controller: it is dead, hangs or
		// is cut off. Its return frees its tasks sooner than its lease, however
		// many fail at once. A leader that was cut off from the workers once
		// returned those that took longest to find another controller.
		dead := (m.heard != 0 || len(m.placed) > 0) && m.probeFailed > max(m.heard, l.loadedAt) && l.reaches(m, in[m.zone].heard) &&
			silence > l.deadAfter() && !mass && !hushed(in[m.zone]) && !hushed(by[m.via])
		switch {
		case dead:
			l.giveBack(m, "dead")
		case m.listedAs == wire.MachineFailed:
			l.giveBack(m, "failed")
		case (m.heard != 0 || len(m.placed) > 0) && silence > limit:
			l.giveBack(m, "silent")
		case m.expired >= 3:
			l.giveBack(m, "loses its lease again and again")
		case m.deafSince != 0 && now-m.deafSince > l.c.lease():
			l.giveBack(m, "does not hear")
		}
	}
}
