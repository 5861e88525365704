package reconcile

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// RecordHeartbeat records a heartbeat that arrived now through a controller. The heartbeat must be
// newer than the machine's last one: a delayed or duplicate heartbeat must not update any state.
func RecordHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat, controller string, now time.Duration, timing Timing) {
	settleAnsweredStarts(machine)
	machine.HeartbeatIncarnation, machine.HeartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.FirstHeartbeat == 0 {
		machine.FirstHeartbeat = now
	}
	if now-machine.LastHeartbeat > timing.silentAfter() {
		machine.HeartbeatsRegularSince = now
	}
	machine.LastHeartbeat, machine.HeartbeatController = now, controller
}

// RecordAnswer records that the machine's newest heartbeat is answered now in this term, with the given
// commands. The answer renews the worker's lease, and may reach the worker seconds later.
func RecordAnswer(machine *cluster.Machine, commands []wire.Command, now time.Duration) {
	machine.AnsweredStarts = addUnconfirmedStarts(machine, commands)
	machine.LastAnswered = now
}

// RecordLeaseExtension records that another controller extended the worker's lease at the given
// time. Extensions may be recorded out of order; the latest one is kept.
func RecordLeaseExtension(machine *cluster.Machine, at time.Duration) {
	machine.LeaseExtendedAt = max(machine.LeaseExtendedAt, at)
}

// RecordDirectStatus records that a worker responded with its state to a probe or a direct command
// now.
func RecordDirectStatus(machine *cluster.Machine, status *wire.Heartbeat, now time.Duration) {
	machine.LastContact = now
	if machine.Incarnation != 0 && status.Incarnation > machine.Incarnation {
		machine.NewerIncarnationAt = now
	}
}

// RecordIncarnation records the incarnation and the sequence number of a worker's newest message. It
// reports whether the worker's lease has expired since the previous message.
func RecordIncarnation(machine *cluster.Machine, message *wire.Heartbeat, now time.Duration) (leaseExpired bool) {
	if message.Incarnation != machine.Incarnation {
		leaseExpired = machine.Incarnation != 0 && message.Incarnation > machine.Incarnation
		if leaseExpired {
			machine.LeaseExpiries++
		}
		beginIncarnation(machine, now)
	}
	machine.Incarnation, machine.Sequence = message.Incarnation, message.Sequence
	return leaseExpired
}

// beginIncarnation resets the state of the previous incarnation.
func beginIncarnation(machine *cluster.Machine, now time.Duration) {
	dropUnconfirmedStarts(machine)
	// The lease of the new incarnation began no later than now, so it is counted from now and not
	// from the last response to the previous incarnation. Otherwise the lease of an incarnation
	// first seen in a direct response could seem to have expired already.
	machine.LastAnswered = now
	machine.LeaseExpired = false
	machine.UnreachableSince = 0
}

// RecordFencingToken records the highest fencing token that a worker has seen.
func RecordFencingToken(machine *cluster.Machine, token uint64, tokens TokenRange, now time.Duration) {
	if machine.FencingToken < tokens.First && token >= tokens.First {
		// Until the worker saw this term, a leader of an earlier term may have renewed its
		// lease, so the lease is counted from now. When it was counted from the response to a
		// delayed duplicate of a heartbeat, it was found expired too early, and the worker's
		// tasks ran twice.
		machine.LastAnswered = now
	}
	machine.FencingToken = max(machine.FencingToken, token)
	if token > machine.StartToken && len(machine.UnconfirmedStarts) > 0 {
		dropUnconfirmedStarts(machine)
	}
}

// RecordReportedTasks records the tasks that a worker's newest message lists.
func RecordReportedTasks(machine *cluster.Machine, tasks []wire.TaskStatus) {
	machine.ReportedTasks, machine.ReportedExited = tasks, cluster.CountExited(tasks)
	slices.SortFunc(machine.ReportedTasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
