package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
)

// logWaitAfter is how long a job waits before operators are told why, and the least
// time between two such lines of a job.
const logWaitAfter = 30 * time.Second

// waitingTime is how long ago a job was submitted, or the last job that it awaited ended.
func (l *leader) waitingTime(j *cluster.Job) time.Duration {
	return time.Duration(l.core.wallClockMS-j.WaitingSinceMS) * time.Millisecond
}

// logWait logs why a job waits when the reason changes: for operators once it has
// waited for long, at debug always.
func (l *leader) logWait(job *cluster.Job, why cluster.WaitReason) {
	logged := &job.WaitLog
	waited := l.waitingTime(job)
	log := l.core.log.Debug
	switch {
	case waited >= logWaitAfter && logged.LastInfoReason != why && (logged.LastInfoAt == 0 || l.core.now-logged.LastInfoAt >= logWaitAfter):
		logged.LastInfoReason, logged.LastInfoAt = why, l.core.now
		log = l.core.log.Info
	case logged.LastReason == why:
		return
	}
	logged.LastReason = why
	log("job waits for room", "job", job.ID, "class", job.Class, "tasks", len(job.TaskStates)-job.TasksPlaced-job.TasksDone, "why", why, "waited_s", waited.Seconds())
}

// limitReason tells by which limit a job waits: its team's, or this region's share of it.
func (l *leader) limitReason(j *cluster.Job) cluster.WaitReason {
	ceiling := l.core.configuredLimit(j.Team)
	if limit := l.limit(j.Team); limit.CPUs < ceiling.CPUs || limit.GPUs < ceiling.GPUs {
		return cluster.WaitShare
	}
	return cluster.WaitLimit
}
