package core

import (
	"cmp"
	"slices"
	"strings"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/cluster"
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
	if !heartbeat.NewerThan(machine.HeartbeatIncarnation, machine.HeartbeatSequence) {
		// A late or repeated copy must not refresh anything.
		l.core.log.Debug("old report", "machine", heartbeat.Machine, "session", heartbeat.Incarnation, "seq", heartbeat.Sequence)
		return 503, []byte("{}")
	}
	machine.HeartbeatIncarnation, machine.HeartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.FirstHeartbeat == 0 {
		machine.FirstHeartbeat = l.core.now
		l.recordProvisioningLatency(machine)
		l.core.log.Info("machine heard", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	if l.core.now-machine.LastHeartbeat > 3*l.core.heartbeatInterval() {
		machine.RegularSince = l.core.now
	}
	machine.LastHeartbeat, machine.HeartbeatController = l.core.now, via
	if via == l.core.settings.Name {
		l.zoneReachedAt[heartbeat.Zone] = l.core.now
	}
	if heartbeat.NewerThan(machine.Incarnation, machine.Sequence) {
		l.applyHeartbeat(machine, heartbeat)
	}
	orders := wire.CommandList{FencingToken: l.leadership.Term, Commands: []wire.Command{}}
	if l.recordsLoaded && heartbeat.Incarnation == machine.Incarnation {
		orders.Commands = l.commandsFor(machine)
	}
	machine.LastAnswered = l.core.now
	return 200, kv.Encode(orders)
}

// applyHeartbeat takes in a worker's newest message.
func (l *leader) applyHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation != machine.Incarnation {
		if machine.Incarnation != 0 && heartbeat.Incarnation > machine.Incarnation {
			machine.LeaseExpiries++
			l.core.log.Info("worker lost its lease", "machine", machine.Name, "session", heartbeat.Incarnation)
		}
		machine.UnconfirmedStarts = map[cluster.AttemptID]int{}
		// The new session's lease began with it, at the latest now, whatever
		// was last answered: a session that a direct answer showed must not
		// seem to have run out by the clock of the one before.
		machine.LastAnswered = l.core.now
		machine.LeaseExpired = false
		machine.UnreachableSince = 0
	}
	machine.Incarnation, machine.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.FencingToken < l.leadership.Term && heartbeat.FencingToken >= l.leadership.Term {
		// Until it heard this term a deposed leader may have renewed its lease,
		// whatever late copy of a report was answered here: the lease is counted
		// from now. Counted from the copy it seemed to have run out, and its
		// tasks ran twice.
		machine.LastAnswered = l.core.now
	}
	machine.FencingToken = max(machine.FencingToken, heartbeat.FencingToken)
	l.describe(machine, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if heartbeat.PreemptionNoticeS != nil {
		if machine.PreemptionAt == 0 {
			l.core.log.Info("machine will be taken", "machine", machine.Name, "in_s", *heartbeat.PreemptionNoticeS)
			l.passes.requested = true
		}
		machine.PreemptionAt = l.core.now + config.Seconds(*heartbeat.PreemptionNoticeS)
	}
	machine.ReportedTasks, machine.ReportedEnded = heartbeat.Tasks, cluster.CountExited(heartbeat.Tasks)
	slices.SortFunc(machine.ReportedTasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, t := range machine.ReportedTasks {
		if t.State == wire.TaskRunning || t.State == wire.TaskWaiting {
			if j := l.Jobs[cluster.JobIDOf(t.Task)]; j != nil {
				l.recordPulled(machine, j.Image)
				l.recordImageUse(machine, j.Image, j.ImageGB)
			}
		}
	}
	if l.recordsLoaded {
		l.reconcileHeartbeat(machine, heartbeat.FencingToken >= l.leadership.Term)
	}
}
