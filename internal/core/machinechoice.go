package core

import (
	"math"

	"github.com/brookwalk/brookwalk/wire"
)

// zoneRoom returns how many more tasks of a job each zone may take, counting
// every task that is not certainly gone; nil if nothing bounds it.
func (l *leader) zoneRoom(j *job) func(string) int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	in := map[string]int{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.machine != nil {
			in[t.zone]++
		}
	}
	limit := (len(j.tasks) + 1) / 2
	return func(zone string) int {
		if j.OneZone && len(in) > 0 && in[zone] == 0 {
			return 0
		}
		if j.Spread {
			return max(0, limit-in[zone])
		}
		return len(j.tasks)
	}
}

// eligible tells whether a job's tasks may be on a machine of this kind.
func eligible(j *wire.Job, typ, zone string, spot bool) bool {
	return allowed(j.Types, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.Spot)
}

// mayPlaceOn tells whether a machine in use may take a job's tasks, if it has
// room. wait is how long the image's fetch may take.
func (l *leader) mayPlaceOn(j *job, m *machine, quick bool, wait float64) bool {
	if !eligible(&j.Job, m.typ, m.zone, m.spot) || l.avoid(j, m) || m.rowsLeft() < 1 {
		return false
	}
	if m.reserved != nil && l.c.now < m.reservedUntil {
		// Room that was made for it is taken though the image is slow
		// there: left out, the job waited for three reports, until the
		// machine was not kept for it any more.
		return m.reserved == j
	}
	return !(quick && l.slow(j, m, wait))
}

// Ranks of machines for a task, lower first. Those without the image add up.
const (
	rankMoveTarget = -1
	rankNoImage    = 1
	rankSlowImage  = 1
	maxRankFetches = 4 // other fetches that count
	rankFailed     = rankNoImage + rankSlowImage + maxRankFetches + 1
)

// machineRank ranks a machine for a job's tasks: one that fails tasks comes
// last, one that holds the image first. Of the others those come first that fetch
// fewer images, if fetches wait for each other.
func (l *leader) machineRank(j *job, m *machine, wait float64) int {
	rank := 0
	if l.faults.Doubtful(m.name) {
		rank = rankFailed
	}
	if m.hasImage(j.Image) {
		return rank
	}
	rank += rankNoImage
	if l.fetches.queue() {
		rank += min(m.fetchesBefore(j.Image), maxRankFetches)
	}
	if l.slow(j, m, wait) {
		rank += rankSlowImage
	}
	return rank
}

// slowFetch is how long a fetch may take, in seconds, before the class's wait
// is in danger: other fetches share the rate, which varies by a third.
func (c *Core) slowFetch(class string) float64 {
	return c.classWait(class) * 2 / 3
}

// classWait is how long the tasks of a class may wait by its objectives, in seconds;
// infinite if none says so.
func (c *Core) classWait(class string) float64 {
	within := math.Inf(1)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Kind == objectiveWait && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// mayWait is how long a job's tasks may wait by the objectives of its class and, where
// it is within its team's guarantee, of guarantees, in seconds; infinite if none says so.
func (l *leader) mayWait(j *job) float64 {
	within := l.c.classWait(j.Class)
	if !j.within || !l.c.guarantees(&j.Job) {
		return within
	}
	for _, o := range l.c.cfg.Deployment.Objectives {
		if o.Kind == objectiveGuarantee {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// fetchTime is how long the fetch of a job's image usually takes on a machine, in
// seconds.
func (l *leader) fetchTime(j *job, m *machine) float64 {
	t := l.typeOf(m)
	if t == nil || t.FetchGBPS <= 0 || m.hasImage(j.Image) {
		return 0
	}
	return j.ImageGB / t.FetchGBPS
}

// slow tells whether a job's image would come too late on a machine.
func (l *leader) slow(j *job, m *machine, wait float64) bool {
	t := l.c.types[m.typ]
	return !m.hasImage(j.Image) && t != nil && j.ImageGB > wait*t.FetchGBPS
}

// avoid keeps a job away from machines on which it failed, until it has
// failed on so many that the job is the likelier cause.
func (l *leader) avoid(j *job, m *machine) bool {
	return l.faults.FailedOn(j.ID, m.name) && !l.faults.JobFaulty(j.ID)
}
