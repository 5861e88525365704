package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// logWaitAfter is how long a job waits until the reason is logged at level info, and the minimum
// time between two such lines for a job.
const logWaitAfter = 30 * time.Second

// logWait logs why a job waits: at level info if the job has waited for logWaitAfter and
// waitInfoDue allows it, otherwise at level debug if the reason has changed.
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

// waitInfoDue reports whether a reason is to be logged at level info: it differs from the one last
// logged at this level, and logWaitAfter has passed since then.
func (l *leader) waitInfoDue(logged *cluster.LoggedWait, reason cluster.WaitReason) bool {
	if logged.LastInfoReason == reason {
		return false
	}
	return logged.LastInfoAt == 0 || l.core.now-logged.LastInfoAt >= logWaitAfter
}

// limitReason returns which limit a job waits for: its team's or the region's share of it.
func (l *leader) limitReason(job *cluster.Job) cluster.WaitReason {
	configured := l.core.configuredLimit(job.Team)
	if limit := l.limit(job.Team); limit.CPUs < configured.CPUs || limit.GPUs < configured.GPUs {
		return cluster.WaitRegionShare
	}
	return cluster.WaitTeamLimit
}
