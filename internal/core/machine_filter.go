package core

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// zoneBound returns how many more tasks of a job each zone may take, counting every task that
// has not certainly terminated; nil if nothing bounds it.
func (l *leader) zoneBound(job *cluster.Job) func(zone string) int {
	if !job.SpreadZones && !job.OneZone {
		return nil
	}
	inZone := map[string]int{}
	for i := range job.TaskStates {
		if t := &job.TaskStates[i]; t.Machine != nil {
			inZone[t.Zone]++
		}
	}
	limit := (len(job.TaskStates) + 1) / 2
	return func(zone string) int {
		if job.OneZone && len(inZone) > 0 && inZone[zone] == 0 {
			return 0
		}
		if job.SpreadZones {
			return max(0, limit-inZone[zone])
		}
		return len(job.TaskStates)
	}
}

// eligible reports whether a job's tasks may be on a machine of a type, zone and kind.
func eligible(job *wire.Job, machineType, zone string, spot bool) bool {
	return emptyOrContains(job.MachineTypes, machineType) && (job.Zone == "" || job.Zone == zone) && (!spot || job.AllowSpot)
}

// isEligible reports whether a job's tasks may be on a machine of this kind.
func isEligible(job *cluster.Job, m *cluster.Machine) bool {
	return eligible(&job.Job, m.TypeName, m.Zone, m.Spot)
}

// isReserved reports whether a machine is reserved for a job now.
func (l *leader) isReserved(m *cluster.Machine) bool {
	return m.ReservedFor != nil && l.core.now < m.ReservedUntil
}

// isFeasible reports whether a machine may take a job's tasks, however little of it is free.
func (l *leader) isFeasible(job *cluster.Job, m *cluster.Machine) bool {
	return l.usable(m) && isEligible(job, m) && !l.avoids(job, m)
}

// passesFilters reports whether a usable machine may take a job's tasks, if they fit. The pull
// of its image may take maxPullS seconds.
func (l *leader) passesFilters(job *cluster.Job, m *cluster.Machine, policy imagePolicy, maxPullS float64) bool {
	if !isEligible(job, m) || l.avoids(job, m) || m.TaskRowsLeft() < 1 {
		return false
	}
	if l.isReserved(m) {
		// A reserved machine is used though the image comes late there: otherwise the
		// job waited for three heartbeats, until the reservation ended.
		return m.ReservedFor == job
	}
	return policy == anyPullTime || !l.pullTooSlow(job, m, maxPullS)
}

// avoids keeps a job away from machines on which it failed, until it has failed on so many that
// the job is the likelier cause.
func (l *leader) avoids(job *cluster.Job, m *cluster.Machine) bool {
	return l.outliers.FailedOn(job.ID, m.Name) && !l.outliers.JobFaulty(job.ID)
}

// Penalties of machines for a task: the machine with the lowest sum is preferred.
const (
	penaltyReschedulingTarget = -1
	penaltyImagePull          = 1
	penaltySlowPull           = 1
	maxPenaltyPulls           = 4 // other pulls that count
	penaltyFailures           = penaltyImagePull + penaltySlowPull + maxPenaltyPulls + 1
)

// machinePenalty scores a machine for a job's tasks: one on which tasks fail comes last, one
// that holds the image first. Of the others, those come first that pull fewer images, if pulls
// are sequential.
func (l *leader) machinePenalty(job *cluster.Job, m *cluster.Machine, maxPullS float64) int {
	penalty := 0
	if l.outliers.HasFailures(m.Name) {
		penalty = penaltyFailures
	}
	if m.HasImage(job.Image) {
		return penalty
	}
	penalty += penaltyImagePull
	if l.pullStatistics.isSequential() {
		penalty += min(m.PullsAhead(job.Image), maxPenaltyPulls)
	}
	if l.pullTooSlow(job, m, maxPullS) {
		penalty += penaltySlowPull
	}
	return penalty
}
