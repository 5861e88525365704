package core

import "time"

// waitReason tells why tasks of a job that could run have no machine.
type waitReason string

const (
	waitLimit         waitReason = "its team is at its limit"
	waitShare         waitReason = "its team's share of the limit in this region is used, other regions hold the rest"
	waitNoOffer       waitReason = "no machine can be rented for it now"
	waitForMachines   waitReason = "machines for it boot, are asked for or come free"
	waitFaulty        waitReason = "it fails on every machine"
	waitForPreemption waitReason = "other work is stopped for it"
)

// logWaitAfter is how long a job waits before operators are told why, and the least
// time between two such lines of a job.
const logWaitAfter = 30 * time.Second

// loggedWait is what was logged of why a job's tasks wait.
type loggedWait struct {
	lastReason     waitReason
	lastInfoReason waitReason    // at info
	lastInfoAt     time.Duration // the last time; 0 never
}

// waitingTime is how long ago a job was submitted, or the last job that it awaited ended.
func (l *leader) waitingTime(j *job) time.Duration {
	return time.Duration(l.core.wallClockMS-j.waitingSinceMS) * time.Millisecond
}

// logWait logs why a job waits when the reason changes: for operators once it has
// waited for long, at debug always.
func (l *leader) logWait(job *job, why waitReason) {
	logged := &job.waitLog
	waited := l.waitingTime(job)
	log := l.core.log.Debug
	switch {
	case waited >= logWaitAfter && logged.lastInfoReason != why && (logged.lastInfoAt == 0 || l.core.now-logged.lastInfoAt >= logWaitAfter):
		logged.lastInfoReason, logged.lastInfoAt = why, l.core.now
		log = l.core.log.Info
	case logged.lastReason == why:
		return
	}
	logged.lastReason = why
	log("job waits for room", "job", job.ID, "class", job.Class, "tasks", len(job.tasks)-job.tasksPlaced-job.tasksDone, "why", why, "waited_s", waited.Seconds())
}

// limitReason tells by which limit a job waits: its team's, or this region's share of it.
func (l *leader) limitReason(j *job) waitReason {
	ceiling := l.core.configuredLimit(j.Team)
	if limit := l.limit(j.Team); limit.CPUs < ceiling.CPUs || limit.GPUs < ceiling.GPUs {
		return waitShare
	}
	return waitLimit
}
