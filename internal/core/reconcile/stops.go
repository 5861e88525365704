package reconcile

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// MissesCommands reports whether commands do not reach a machine (an asymmetric partition): its
// heartbeats arrive all the while, but the start of a task that was placed on it never shows in
// them. Heartbeats that were held back and arrive all at once do not prove that.
func MissesCommands(machine *cluster.Machine, task *cluster.Task, now time.Duration, timing Timing) bool {
	if !task.PlacedThisTerm || !task.Persisted || task.Observed {
		return false
	}
	heartbeatsArrive := now-machine.LastHeartbeat < 2*timing.HeartbeatInterval
	return heartbeatsArrive && now-max(task.PlacedAt, machine.RegularSince) > 4*timing.HeartbeatInterval
}

// CheckpointOverdue reports whether a task that is being stopped takes too long to save its
// checkpoint, so that it is to be killed.
func CheckpointOverdue(request *cluster.StopRequest, now time.Duration) bool {
	gracePeriod := time.Duration(request.GracePeriodS * float64(time.Second))
	return !request.Killed && now-request.RequestedAt > 2*gracePeriod
}

// JustReconnected reports whether a machine with tasks of a cancelled job sends heartbeats again
// since a moment ago: the answer to its first heartbeat stops the tasks, the next one confirms
// it. Returned at once, a machine that was partitioned lost all that it ran. Where the user was
// told already that the job is cancelled there is no time for that.
func JustReconnected(machine *cluster.Machine, job *cluster.Job, now time.Duration, timing Timing) bool {
	return !job.Cancellation.Acknowledged() && machine.LastHeartbeat != 0 &&
		now-machine.RegularSince < 2*timing.HeartbeatInterval
}
