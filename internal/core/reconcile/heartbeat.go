package reconcile

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// RecordHeartbeat records that a heartbeat arrived now by a controller. The heartbeat must be
// newer than the machine's last one: a late or repeated copy must not refresh anything.
func RecordHeartbeat(machine *cluster.Machine, heartbeat *wire.Heartbeat, controller string, now time.Duration, timing Timing) {
	machine.HeartbeatIncarnation, machine.HeartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence
	if machine.FirstHeartbeat == 0 {
		machine.FirstHeartbeat = now
	}
	if now-machine.LastHeartbeat > timing.silentAfter() {
		machine.RegularSince = now
	}
	machine.LastHeartbeat, machine.HeartbeatController = now, controller
}

// RecordAnswer records that a heartbeat is answered now in this term: the answer renews the
// worker's lease.
func RecordAnswer(machine *cluster.Machine, now time.Duration) { machine.LastAnswered = now }

// RecordLeaseExtension records that another controller extended the worker's lease at a time.
// A later extension may be known already.
func RecordLeaseExtension(machine *cluster.Machine, at time.Duration) {
	machine.LeaseExtendedAt = max(machine.LeaseExtendedAt, at)
}

// RecordDirectStatus records that a worker answered a probe or a direct command now with its
// state.
func RecordDirectStatus(machine *cluster.Machine, status *wire.Heartbeat, now time.Duration) {
	machine.LastContact = now
	if machine.Incarnation != 0 && status.Incarnation > machine.Incarnation {
		machine.NewerIncarnationAt = now
	}
}

// RecordIncarnation records the incarnation and the sequence of a worker's newest message. It
// reports whether the worker's lease has expired since the message before.
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

// beginIncarnation resets what was known of the incarnation before.
func beginIncarnation(machine *cluster.Machine, now time.Duration) {
	machine.UnconfirmedStarts = map[cluster.AttemptID]int{}
	// The new incarnation's lease began with it, at the latest now, whatever was last
	// answered: an incarnation that a direct answer showed must not seem to have expired by
	// the clock of the one before.
	machine.LastAnswered = now
	machine.LeaseExpired = false
	machine.UnreachableSince = 0
}

// RecordFencingToken records the highest term that a worker has heard.
func RecordFencingToken(machine *cluster.Machine, token, term uint64, now time.Duration) {
	if machine.FencingToken < term && token >= term {
		// Until the worker heard this term, a leader of an earlier one may have renewed its
		// lease, whatever late copy of a heartbeat was answered here: the lease is counted
		// from now. Counted from the copy it seemed to have expired, and the worker's tasks
		// ran twice.
		machine.LastAnswered = now
	}
	machine.FencingToken = max(machine.FencingToken, token)
}

// RecordReportedTasks records the tasks of a worker's newest message.
func RecordReportedTasks(machine *cluster.Machine, tasks []wire.TaskStatus) {
	machine.ReportedTasks, machine.ReportedEnded = tasks, cluster.CountExited(tasks)
	slices.SortFunc(machine.ReportedTasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
