package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// DetectUnreachable records that commands do not reach a machine (an asymmetric partition), if a
// task on it shows so: the machine's heartbeats arrive all the while, but the start of the task
// never shows in them. Heartbeats that were held back and arrive all at once do not prove that.
// It reports whether that was not known before.
func DetectUnreachable(machine *cluster.Machine, task *cluster.Task, now time.Duration, timing Timing) bool {
	startUnconfirmed := task.PlacedThisTerm && task.Persisted && !task.Observed
	if task.Machine == nil || machine.UnreachableSince != 0 || !startUnconfirmed {
		return false
	}
	heartbeatsArrive := now-machine.LastHeartbeat < 2*timing.HeartbeatInterval
	startOverdue := now-max(task.PlacedAt, machine.RegularSince) > 4*timing.HeartbeatInterval
	if !heartbeatsArrive || !startOverdue {
		return false
	}
	machine.UnreachableSince = now
	return true
}

// CheckpointOverdue reports whether a task that is being stopped takes too long to save its
// checkpoint, so that it is to be killed.
func CheckpointOverdue(request *cluster.StopRequest, now time.Duration) bool {
	gracePeriod := time.Duration(request.GracePeriodS * float64(time.Second))
	return !request.Killed && now-request.RequestedAt > 2*gracePeriod
}

// JustReconnected reports whether a machine with tasks of a cancelled job began to send heartbeats
// again a moment ago: the answer to its first heartbeat stops the tasks, the next one confirms
// it. Returned at once, a machine that was partitioned lost all that it ran. Where the user was
// told already that the job is cancelled there is no time for that.
func JustReconnected(machine *cluster.Machine, job *cluster.Job, now time.Duration, timing Timing) bool {
	return !job.Cancellation.Acknowledged() && machine.LastHeartbeat != 0 &&
		now-machine.RegularSince < 2*timing.HeartbeatInterval
}
