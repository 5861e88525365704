package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// mayProbe tells whether a machine may be asked for its state now. Each probe of a
// machine that hangs holds a socket: of those for direct commands no more than half
// go to probes, however many are silent.
func (l *leader) mayProbe(m *cluster.Machine) bool {
	maxProbes := max(1, l.core.settings.Deployment.MachineLimits.MaxConnections/16)
	return m.Address != "" && !m.ProbeOpen && l.core.now >= m.NextProbeAt && !m.Returning && l.openProbes < maxProbes
}

// probe asks a silent worker for its state and shows it this term: it may
// still report to a deposed leader that is cut off from us.
func (l *leader) probe(machine *cluster.Machine) {
	if !l.mayProbe(machine) {
		return
	}
	l.openProbes++
	machine.ProbeOpen = true
	sentAt := l.core.now
	machine.NextProbeAt = l.core.now + 2*l.core.heartbeatInterval()
	l.core.call(Call{Destination: DestinationWorker, Addr: machine.Address, Method: "GET", Path: "/status", Timeout: l.probeTimeout()}, func(result Result) {
		l.openProbes--
		machine.ProbeOpen = false
		if !l.steppedDown {
			l.handleProbeResult(machine, sentAt, result)
		}
	})
}

// handleProbeResult takes in the answer to a probe that was sent at a time.
func (l *leader) handleProbeResult(machine *cluster.Machine, sentAt time.Duration, result Result) {
	switch {
	case result.Status == httpstatus.NoAnswer:
		machine.LastProbeFailure = sentAt
		l.probeReference(machine)
	case result.Status != httpstatus.OK:
	default:
		if heartbeat, ok := decodeHeartbeat(result.Body); ok && heartbeat.Machine == machine.Name && heartbeat.FencingToken < l.leadership.Term {
			l.announceTerm(machine, heartbeat.Incarnation)
			return
		}
		l.handleDirectStatus(machine, result.Body)
	}
}

// announceTerm sends a worker that has not heard this term an empty list of commands.
func (l *leader) announceTerm(machine *cluster.Machine, session uint64) {
	machine.ProbeOpen = true
	body := kv.Encode(wire.CommandList{FencingToken: l.leadership.Term, Incarnation: session, Commands: []wire.Command{}})
	l.core.call(Call{Destination: DestinationWorker, Addr: machine.Address, Method: "POST", Path: "/do", Body: body, Timeout: l.core.heartbeatInterval()}, func(result Result) {
		machine.ProbeOpen = false
		if !l.steppedDown && (result.Status == httpstatus.OK || result.Status == httpstatus.Conflict) {
			l.handleDirectStatus(machine, result.Body)
		}
	})
}

// probeReference asks a machine that is heard for its state when another does not
// answer: only if that one answers is the silent machine at fault, and not the
// way from here to it. It is one of the same zone, or of any if that zone has no
// other: the only machine of the leader's own zone was given up no sooner than
// its lease where all others reported by other controllers, since nothing showed
// that any way was open.
func (l *leader) probeReference(silent *cluster.Machine) {
	alone := !slices.ContainsFunc(l.MachinesByName, func(machine *cluster.Machine) bool {
		return machine != silent && machine.Zone == silent.Zone && machine.HeartbeatExpected()
	})
	var reference *cluster.Machine
	for _, machine := range l.MachinesByName {
		if (alone || machine.Zone == silent.Zone) && !machine.ProbeOpen && l.core.now >= machine.NextProbeAt && !machine.Returning && machine.Address != "" && (reference == nil || machine.LastHeartbeat > reference.LastHeartbeat) {
			reference = machine
		}
	}
	if reference != nil && l.core.now-reference.LastHeartbeat < l.heartbeatOverdueAfter() && l.core.now-l.zoneReachedAt[reference.Zone] > l.probeTimeout()/2 {
		l.probe(reference)
	}
}

// pathVerified tells whether the way to a silent machine is open: another of
// its zone has answered since it was asked in vain. Where it is the zone's only
// one, a machine of any zone counts, unless the zone's controllers are gone
// too.
func (l *leader) pathVerified(machine *cluster.Machine, machinesInZone int) bool {
	if machinesInZone > 1 {
		return l.zoneReachedAt[machine.Zone] > machine.LastProbeFailure
	}
	for _, reachedAt := range l.zoneReachedAt {
		if reachedAt > machine.LastProbeFailure {
			return !l.core.zoneLost(machine.Zone)
		}
	}
	return false
}

// probeTimeout is how long a worker that is asked for its state may take: an
// answer takes milliseconds, or that of a lost packet sent again.
func (l *leader) probeTimeout() time.Duration { return max(l.core.heartbeatInterval()/2, time.Second) }
