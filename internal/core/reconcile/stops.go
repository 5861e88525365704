package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// DetectUnreachable detects an asymmetric partition, in which a machine's heartbeats arrive but
// commands do not reach it: its heartbeats arrive regularly and do not list a task whose start is
// overdue. Heartbeats that were delayed and arrive all at once do not prove this. It returns true if
// the machine is newly found unreachable.
func DetectUnreachable(machine *cluster.Machine, task *cluster.Task, now time.Duration, timing Timing) bool {
	startUnconfirmed := task.PlacedThisTerm && task.Persisted && !task.Observed
	if task.Machine == nil || machine.UnreachableSince != 0 || !startUnconfirmed {
		return false
	}
	heartbeatsArrive := now-machine.LastHeartbeat < 2*timing.HeartbeatInterval
	startOverdue := now-max(task.PlacedAt, machine.HeartbeatsRegularSince) > 4*timing.HeartbeatInterval
	if !heartbeatsArrive || !startOverdue {
		return false
	}
	machine.UnreachableSince = now
	return true
}

// CheckpointOverdue reports whether a task that is being stopped has exceeded twice its grace period
// for saving a checkpoint, so that it is to be killed.
func CheckpointOverdue(request *cluster.StopRequest, now time.Duration) bool {
	gracePeriod := time.Duration(request.GracePeriodS * float64(time.Second))
	return !request.Killed && now-request.RequestedAt > 2*gracePeriod
}

// JustReconnected reports whether a machine with tasks of a cancelled job has just resumed sending
// heartbeats. Such a machine is not returned yet: the response to its first heartbeat stops the
// tasks and the next heartbeat confirms it. When it was returned at once, a machine that had been
// partitioned lost all its tasks. If the cancellation has already been acknowledged to the user,
// there is no time to wait and the result is false.
func JustReconnected(machine *cluster.Machine, job *cluster.Job, now time.Duration, timing Timing) bool {
	return !job.Cancellation.Acknowledged() && machine.LastHeartbeat != 0 &&
		now-machine.HeartbeatsRegularSince < 2*timing.HeartbeatInterval
}
