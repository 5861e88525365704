package core

import (
	"cmp"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// handleHeartbeat takes a worker's report, which came by a controller, and returns
// the answer.
func (l *leader) handleHeartbeat(body []byte, via string) (int, []byte) {
	heartbeat, ok := decodeHeartbeat(body)
	if !ok {
		return 400, []byte(`{"error":"not a report"}`)
	}
	if heartbeat.FencingToken > l.leadership.Term {
		l.core.stepDown(stepDownWorkerHigherTerm)
		return 503, []byte("{}")
	}
	if _, ok := l.returnedMachines[heartbeat.Machine]; ok {
		// The cloud has confirmed that the machine is gone: a late copy.
		return 503, []byte("{}")
	}
	machine := l.machineNamed(heartbeat.Machine)
	if !heartbeat.NewerThan(machine.heartbeatIncarnation, machine.heartbeatSequence) {
		// A late or repeated copy must not refresh anything.
		l.core.log.Debug("old report", "machine", heartbeat.Machine, "session", heartbeat.Incarnation, "seq", heartbeat.Sequence)
		return 503, []byte("{}")
	}
	machine.heartbeatIncarnation, machine.heartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.firstHeartbeat == 0 {
		machine.firstHeartbeat = l.core.now
		l.recordProvisioningLatency(machine)
		l.core.log.Info("machine heard", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	if l.core.now-machine.lastHeartbeat > 3*l.core.heartbeatInterval() {
		machine.regularSince = l.core.now
	}
	machine.lastHeartbeat, machine.heartbeatController = l.core.now, via
	if via == l.core.settings.Name {
		l.zoneReachedAt[heartbeat.Zone] = l.core.now
	}
	if heartbeat.NewerThan(machine.incarnation, machine.sequence) {
		l.applyHeartbeat(machine, heartbeat)
	}
	orders := wire.CommandList{FencingToken: l.leadership.Term, Commands: []wire.Command{}}
	if l.recordsLoaded && heartbeat.Incarnation == machine.incarnation {
		orders.Commands = l.commandsFor(machine)
	}
	machine.lastAnswered = l.core.now
	return 200, kv.Encode(orders)
}

// applyHeartbeat takes in a worker's newest message.
func (l *leader) applyHeartbeat(machine *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation != machine.incarnation {
		if machine.incarnation != 0 && heartbeat.Incarnation > machine.incarnation {
			machine.leaseExpiries++
			l.core.log.Info("worker lost its lease", "machine", machine.name, "session", heartbeat.Incarnation)
		}
		machine.unconfirmedStarts = map[attemptID]int{}
		// The new session's lease began with it, at the latest now, whatever
		// was last answered: a session that a direct answer showed must not
		// seem to have run out by the clock of the one before.
		machine.lastAnswered = l.core.now
		machine.leaseExpired = false
		machine.unreachableSince = 0
	}
	machine.incarnation, machine.sequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.fencingToken < l.leadership.Term && heartbeat.FencingToken >= l.leadership.Term {
		// Until it heard this term a deposed leader may have renewed its lease,
		// whatever late copy of a report was answered here: the lease is counted
		// from now. Counted from the copy it seemed to have run out, and its
		// tasks ran twice.
		machine.lastAnswered = l.core.now
	}
	machine.fencingToken = max(machine.fencingToken, heartbeat.FencingToken)
	l.setDescription(machine, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if heartbeat.PreemptionNoticeS != nil {
		if machine.preemptionAt == 0 {
			l.core.log.Info("machine will be taken", "machine", machine.name, "in_s", *heartbeat.PreemptionNoticeS)
			l.passes.requested = true
		}
		machine.preemptionAt = l.core.now + config.Seconds(*heartbeat.PreemptionNoticeS)
	}
	machine.reportedTasks, machine.reportedEnded = heartbeat.Tasks, countExited(heartbeat.Tasks)
	slices.SortFunc(machine.reportedTasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range machine.reportedTasks {
		if t.State == wire.TaskRunning || t.State == wire.TaskWaiting {
			if j := l.jobs[jobIDOf(t.Task)]; j != nil {
				l.recordPulled(machine, j.Image)
				l.recordImageUse(machine, j.Image, j.ImageGB)
			}
		}
	}
	if l.recordsLoaded {
		l.reconcileHeartbeat(machine, heartbeat.FencingToken >= l.leadership.Term)
	}
}
