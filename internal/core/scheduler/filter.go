package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// ZoneBound returns how many more tasks of a job each zone may take, counting every task that
// has not certainly terminated; nil if nothing bounds it.
func ZoneBound(job *cluster.Job) func(zone string) int {
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

// Allows reports whether a job's tasks may be on a machine of a type, in a zone, and on a spot
// machine if it is one.
func Allows(job *wire.Job, machineType, zone string, spot bool) bool {
	return cluster.AllowsType(job, machineType) && (job.Zone == "" || job.Zone == zone) && (!spot || job.AllowSpot)
}

// AllowsMachine reports whether a job's tasks may be on a machine of this type, zone and kind.
func AllowsMachine(job *cluster.Job, machine *cluster.Machine) bool {
	return Allows(&job.Job, machine.TypeName, machine.Zone, machine.Spot)
}

// isReserved reports whether a machine is reserved for a job now.
func (s *Scheduler) isReserved(machine *cluster.Machine) bool {
	return machine.ReservedFor != nil && s.host.Now() < machine.ReservedUntil
}

// isFeasible reports whether a machine may take a job's tasks, however little of it is free.
func (s *Scheduler) isFeasible(job *cluster.Job, machine *cluster.Machine) bool {
	return s.host.Usable(machine) && AllowsMachine(job, machine) && !s.avoids(job, machine)
}

// passesFilters reports whether a usable machine may take a job's tasks, if they fit. The pull
// of its image may take maxPullS seconds.
func (s *Scheduler) passesFilters(job *cluster.Job, machine *cluster.Machine, policy imagePolicy, maxPullS float64) bool {
	if !AllowsMachine(job, machine) || s.avoids(job, machine) || machine.TaskRowsLeft() < 1 {
		return false
	}
	if s.isReserved(machine) {
		// A reserved machine is used though the image comes late there: otherwise the
		// job waited for three heartbeats, until the reservation ended.
		return machine.ReservedFor == job
	}
	return policy == anyPullTime || !s.pullTooSlow(job, machine, maxPullS)
}

// avoids keeps a job away from machines on which it failed, until it has failed on so many that
// the job is the likelier cause.
func (s *Scheduler) avoids(job *cluster.Job, machine *cluster.Machine) bool {
	return s.outliers.FailedOn(job.ID, machine.Name) && !s.outliers.JobFaulty(job.ID)
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
func (s *Scheduler) machinePenalty(job *cluster.Job, machine *cluster.Machine, maxPullS float64) int {
	penalty := 0
	if s.outliers.HasFailures(machine.Name) {
		penalty = penaltyFailures
	}
	if machine.HasImage(job.Image) {
		return penalty
	}
	penalty += penaltyImagePull
	if s.host.PullsAreSequential() {
		penalty += min(machine.PullsAhead(job.Image), maxPenaltyPulls)
	}
	if s.pullTooSlow(job, machine, maxPullS) {
		penalty += penaltySlowPull
	}
	return penalty
}
