package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// mayProbe tells whether a machine may be asked for its state now. Each probe of a
// machine that hangs holds a socket: of those for direct commands no more than half
// go to probes, however many are silent.
func (l *leader) mayProbe(m *machine) bool {
	most := max(1, l.c.cfg.Deployment.Limits.MaxConnections/16)
	return m.addr != "" && !m.probeBusy && l.c.now >= m.probeAt && !m.returning && l.probing < most
}

// probe asks a silent worker for its state and shows it this term: it may
// still report to a deposed leader that is cut off from us.
func (l *leader) probe(m *machine) {
	if !l.mayProbe(m) {
		return
	}
	l.probing++
	m.probeBusy = true
	asked := l.c.now
	m.probeAt = l.c.now + 2*l.c.report()
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "GET", Path: "/status", Timeout: l.probeTimeout()}, func(r Result) {
		l.probing--
		m.probeBusy = false
		if !l.deposed {
			l.probeAnswered(m, asked, r)
		}
	})
}

// probeAnswered takes in the answer to a probe that was sent at a time.
func (l *leader) probeAnswered(m *machine, asked time.Duration, r Result) {
	switch {
	case r.Status == httpstatus.NoAnswer:
		m.probeFailed = asked
		l.probeControl(m)
	case r.Status != httpstatus.OK:
	default:
		if report, ok := decodeReport(r.Body); ok && report.Machine == m.name && report.Token < l.mandate.Term {
			l.showTerm(m, report.Session)
			return
		}
		l.onDirectReport(m, r.Body)
	}
}

// showTerm sends a worker that has not heard this term an empty list of commands.
func (l *leader) showTerm(m *machine, session uint64) {
	m.probeBusy = true
	body := kv.Encode(wire.Orders{Token: l.mandate.Term, Session: session, Commands: []wire.Command{}})
	l.c.call(Call{Dest: DestWorker, Addr: m.addr, Method: "POST", Path: "/do", Body: body, Timeout: l.c.report()}, func(r Result) {
		m.probeBusy = false
		if !l.deposed && (r.Status == httpstatus.OK || r.Status == httpstatus.Conflict) {
			l.onDirectReport(m, r.Body)
		}
	})
}

// probeControl asks a machine that is heard for its state when another does not
// answer: only if that one answers is the silent machine at fault, and not the
// way from here to it. It is one of the same zone, or of any if that zone has no
// other: the only machine of the leader's own zone was given up no sooner than
// its lease where all others reported by other controllers, since nothing showed
// that any way was open.
func (l *leader) probeControl(silent *machine) {
	alone := !slices.ContainsFunc(l.byName, func(m *machine) bool {
		return m != silent && m.zone == silent.zone && m.shouldReport()
	})
	var best *machine
	for _, m := range l.byName {
		if (alone || m.zone == silent.zone) && !m.probeBusy && l.c.now >= m.probeAt && !m.returning && m.addr != "" && (best == nil || m.heard > best.heard) {
			best = m
		}
	}
	if best != nil && l.c.now-best.heard < l.overdueReport() && l.c.now-l.reached[best.zone] > l.probeTimeout()/2 {
		l.probe(best)
	}
}

// zoneReachable tells whether the way to a silent machine is open: another of
// its zone has answered since it was asked in vain. Where it is the zone's only
// one, a machine of any zone counts, unless the zone's controllers are gone
// too.
func (l *leader) zoneReachable(m *machine, inZone int) bool {
	if inZone > 1 {
		return l.reached[m.zone] > m.probeFailed
	}
	for _, at := range l.reached {
		if at > m.probeFailed {
			return !l.c.zoneLost(m.zone)
		}
	}
	return false
}

// probeTimeout is how long a worker that is asked for its state may take: an
// answer takes milliseconds, or that of a lost packet sent again.
func (l *leader) probeTimeout() time.Duration { return max(l.c.report()/2, time.Second) }
