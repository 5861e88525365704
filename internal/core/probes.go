package core

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/reconcile"
	"github.com/brookwalk/brookwalk/wire"
)

// maxOpenProbes returns how many probes may be open at a time. Each probe of a machine that hangs
// occupies a connection. Probes use at most half of the connections for direct commands, however
// many machines are silent.
func (l *leader) maxOpenProbes() int {
	return max(1, l.core.settings.Deployment.MachineLimits.MaxConnections/16)
}

// probe requests the status of a silent worker and announces this term to it if the worker has not
// seen it: its heartbeats may still go to the leader of an earlier term that is partitioned from
// this one.
func (l *leader) probe(machine *cluster.Machine) {
	if !reconcile.CanProbe(machine, l.core.now) || l.openProbes >= l.maxOpenProbes() {
		return
	}
	timing := l.core.reconcileTiming()
	l.openProbes++
	reconcile.BeginProbe(machine, l.core.now, timing)
	sentAt := l.core.now
	l.core.call(Call{
		Destination: DestinationWorker,
		Address:     machine.Address,
		Method:      "GET",
		Path:        "/status",
		Timeout:     timing.ProbeTimeout(),
	}, func(result Result) {
		l.openProbes--
		reconcile.EndProbe(machine)
		if !l.steppedDown {
			l.handleProbeResult(machine, sentAt, result)
		}
	})
}

// handleProbeResult handles the result of a probe that was sent at the given time. If there is no
// response, a reference machine is probed too, if the health check names one. A response with a
// status other than OK contains no information about the worker.
func (l *leader) handleProbeResult(machine *cluster.Machine, sentAt time.Duration, result Result) {
	switch result.Status {
	case httpstatus.NoAnswer:
		reconcile.RecordProbeFailure(machine, sentAt)
		if reference := l.healthCheck().ProbeReference(machine, l.MachinesByName); reference != nil {
			l.probe(reference)
		}
	case httpstatus.OK:
		status, ok := decodeHeartbeat(result.Body)
		if ok && status.Machine == machine.Name && status.FencingToken < l.leadership.FirstToken {
			l.announceTerm(machine, status.Incarnation)
			return
		}
		l.handleDirectStatus(machine, result.Body)
	}
}

// announceTerm sends an empty command list, with this term's fencing token, to a worker that has
// not seen the term.
func (l *leader) announceTerm(machine *cluster.Machine, incarnation uint64) {
	reconcile.BeginTermAnnouncement(machine)
	message := reconcile.DirectMessage(machine, []wire.Command{}, l.tokens())
	l.callWorker(machine, incarnation, message, func(result Result) {
		reconcile.EndProbe(machine)
		if !l.steppedDown && commandsAnswered(result) {
			l.handleDirectStatus(machine, result.Body)
		}
	})
}
