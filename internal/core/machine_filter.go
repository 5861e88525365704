package core

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// zoneBound returns how many more tasks of a job each zone may take, counting
// every task that is not certainly gone; nil if nothing bounds it.
func (l *leader) zoneBound(job *cluster.Job) func(string) int {
	if !job.SpreadZones && !job.OneZone {
		return nil
	}
	in := map[string]int{}
	for i := range job.TaskStates {
		if t := &job.TaskStates[i]; t.Machine != nil {
			in[t.Zone]++
		}
	}
	limit := (len(job.TaskStates) + 1) / 2
	return func(zone string) int {
		if job.OneZone && len(in) > 0 && in[zone] == 0 {
			return 0
		}
		if job.SpreadZones {
			return max(0, limit-in[zone])
		}
		return len(job.TaskStates)
	}
}

// eligible tells whether a job's tasks may be on a machine of this kind.
func eligible(j *wire.Job, typ, zone string, spot bool) bool {
	return emptyOrContains(j.MachineTypes, typ) && (j.Zone == "" || j.Zone == zone) && (!spot || j.AllowSpot)
}

// passesFilters tells whether a machine in use may take a job's tasks, if it has
// room. wait is how long the image's fetch may take.
func (l *leader) passesFilters(j *cluster.Job, m *cluster.Machine, quick bool, wait float64) bool {
	if !eligible(&j.Job, m.TypeName, m.Zone, m.Spot) || l.avoids(j, m) || m.TaskRowsLeft() < 1 {
		return false
	}
	if m.ReservedFor != nil && l.core.now < m.ReservedUntil {
		// Room that was made for it is taken though the image is slow
		// there: left out, the job waited for three reports, until the
		// machine was not kept for it any more.
		return m.ReservedFor == j
	}
	return !(quick && l.pullTooSlow(j, m, wait))
}

// Ranks of machines for a task, lower first. Those without the image add up.
const (
	penaltyMoveTarget = -1
	penaltyImagePull  = 1
	penaltySlowPull   = 1
	maxPenaltyPulls   = 4 // other fetches that count
	penaltyFailed     = penaltyImagePull + penaltySlowPull + maxPenaltyPulls + 1
)

// machinePenalty ranks a machine for a job's tasks: one that fails tasks comes
// last, one that holds the image first. Of the others those come first that fetch
// fewer images, if fetches wait for each other.
func (l *leader) machinePenalty(job *cluster.Job, machine *cluster.Machine, wait float64) int {
	rank := 0
	if l.outliers.HasFailures(machine.Name) {
		rank = penaltyFailed
	}
	if machine.HasImage(job.Image) {
		return rank
	}
	rank += penaltyImagePull
	if l.pullStatistics.isSequential() {
		rank += min(machine.PullsAhead(job.Image), maxPenaltyPulls)
	}
	if l.pullTooSlow(job, machine, wait) {
		rank += penaltySlowPull
	}
	return rank
}

// maxPullTime is how long a fetch may take, in seconds, before the class's wait
// is in danger: other fetches share the rate, which varies by a third.
func (c *Core) maxPullTime(class string) float64 {
	return c.maxClassWait(class) * 2 / 3
}

// maxClassWait is how long the tasks of a class may wait by its objectives, in seconds;
// infinite if none says so.
func (c *Core) maxClassWait(class string) float64 {
	within := math.Inf(1)
	for _, o := range c.settings.Deployment.Objectives {
		if o.Kind == objectiveWait && o.Class == class {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// maxWait is how long a job's tasks may wait by the objectives of its class and, where
// it is within its team's guarantee, of guarantees, in seconds; infinite if none says so.
func (l *leader) maxWait(j *cluster.Job) float64 {
	within := l.core.maxClassWait(j.Class)
	if !j.WithinQuota || !l.core.anyGuaranteeFor(&j.Job) {
		return within
	}
	for _, o := range l.core.settings.Deployment.Objectives {
		if o.Kind == objectiveGuarantee {
			within = min(within, o.WithinS)
		}
	}
	return within
}

// pullTime is how long the fetch of a job's image usually takes on a machine, in
// seconds.
func (l *leader) pullTime(j *cluster.Job, m *cluster.Machine) float64 {
	t := l.typeOf(m)
	if t == nil || t.PullGBPerS <= 0 || m.HasImage(j.Image) {
		return 0
	}
	return j.ImageGB / t.PullGBPerS
}

// pullTooSlow tells whether a job's image would come too late on a machine.
func (l *leader) pullTooSlow(j *cluster.Job, m *cluster.Machine, wait float64) bool {
	t := l.core.machineTypes[m.TypeName]
	return !m.HasImage(j.Image) && t != nil && j.ImageGB > wait*t.PullGBPerS
}

// avoids keeps a job away from machines on which it failed, until it has
// failed on so many that the job is the likelier cause.
func (l *leader) avoids(j *cluster.Job, m *cluster.Machine) bool {
	return l.outliers.FailedOn(j.ID, m.Name) && !l.outliers.JobFaulty(j.ID)
}
