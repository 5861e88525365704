package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// logWaitAfter is how long a job waits before the reason is logged at level info, and the least
// time between two such lines of a job.
const logWaitAfter = 30 * time.Second

// logWait logs why a job waits, when the reason changes: at level info once it has waited for
// long, at debug always.
func (l *leader) logWait(job *cluster.Job, reason cluster.WaitReason) {
	logged := &job.WaitLog
	waited := l.scheduler.WaitingTime(job)
	log := l.core.log.Debug
	switch {
	case waited >= logWaitAfter && l.waitInfoDue(logged, reason):
		logged.LastInfoReason, logged.LastInfoAt = reason, l.core.now
		log = l.core.log.Info
	case logged.LastReason == reason:
		return
	}
	logged.LastReason = reason
	unplaced := len(job.TaskStates) - job.TasksPlaced - job.TasksDone
	log("job waits for capacity", "job", job.ID, "class", job.Class, "tasks", unplaced, "reason", reason, "waited_s", waited.Seconds())
}

// waitInfoDue reports whether a reason is to be logged at level info: it is not the last one that
// was, and that was not a moment ago.
func (l *leader) waitInfoDue(logged *cluster.LoggedWait, reason cluster.WaitReason) bool {
	if logged.LastInfoReason == reason {
		return false
	}
	return logged.LastInfoAt == 0 || l.core.now-logged.LastInfoAt >= logWaitAfter
}

// limitReason is which limit a job waits for: its team's, or the region's share of it.
func (l *leader) limitReason(job *cluster.Job) cluster.WaitReason {
	configured := l.core.configuredLimit(job.Team)
	if limit := l.limit(job.Team); limit.CPUs < configured.CPUs || limit.GPUs < configured.GPUs {
		return cluster.WaitRegionShare
	}
	return cluster.WaitTeamLimit
}
