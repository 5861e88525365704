package core

import "time"

// waitReason tells why tasks of a job that could run have no machine.
type waitReason string

const (
	waitLimit    waitReason = "its team is at its limit"
	waitShare    waitReason = "its team's share of the limit in this region is used, other regions hold the rest"
	waitNoOffer  waitReason = "no machine can be rented for it now"
	waitMachines waitReason = "machines for it boot, are asked for or come free"
	waitFaulty   waitReason = "it fails on every machine"
	waitStops    waitReason = "other work is stopped for it"
)

// logWaitAfter is how long a job waits before operators are told why, and the least
// time between two such lines of a job.
const logWaitAfter = 30 * time.Second

// jobWait is what was logged of why a job's tasks wait.
type jobWait struct {
	noted  waitReason
	told   waitReason    // at info
	toldAt time.Duration // the last time; 0 never
}

// waited is how long ago a job was submitted, or the last job that it awaited ended.
func (l *leader) waited(j *job) time.Duration {
	return time.Duration(l.c.wall-j.since) * time.Millisecond
}

// noteWait logs why a job waits when the reason changes: for operators once it has
// waited for long, at debug always.
func (l *leader) noteWait(j *job, why waitReason) {
	w := &j.wait
	waited := l.waited(j)
	log := l.c.log.Debug
	switch {
	case waited >= logWaitAfter && w.told != why && (w.toldAt == 0 || l.c.now-w.toldAt >= logWaitAfter):
		w.told, w.toldAt = why, l.c.now
		log = l.c.log.Info
	case w.noted == why:
		return
	}
	w.noted = why
	log("job waits for room", "job", j.ID, "class", j.Class, "tasks", len(j.tasks)-j.placed-j.done, "why", why, "waited_s", waited.Seconds())
}

// limitReason tells by which limit a job waits: its team's, or this region's share of it.
func (l *leader) limitReason(j *job) waitReason {
	ceiling := l.c.limitOf(j.Team)
	if limit := l.limit(j.Team); limit.CPUs < ceiling.CPUs || limit.GPUs < ceiling.GPUs {
		return waitShare
	}
	return waitLimit
}
