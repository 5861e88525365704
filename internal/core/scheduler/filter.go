package scheduler

import (
	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/wire"
)

// ZoneBound returns a function that tells how many more tasks of a job a zone may take; nil if there
// is no bound. Every placed task counts until it is confirmed to have terminated.
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

// Allows reports whether a job's tasks may run on a machine of a type, in a zone, and on a spot
// machine if spot is set.
func Allows(job *wire.Job, machineType, zone string, spot bool) bool {
	return cluster.AllowsType(job, machineType) && (job.Zone == "" || job.Zone == zone) && (!spot || job.AllowSpot)
}

// AllowsMachine reports whether a job's tasks may run on a machine, by the machine's type, its zone
// and whether it is a spot machine.
func AllowsMachine(job *cluster.Job, machine *cluster.Machine) bool {
	return Allows(&job.Job, machine.TypeName, machine.Zone, machine.Spot)
}

// isReserved reports whether a machine is reserved for a job now.
func (s *Scheduler) isReserved(machine *cluster.Machine) bool {
	return machine.ReservedFor != nil && s.host.Now() < machine.ReservedUntil
}

// isFeasible reports whether a machine may take a job's tasks, regardless of its free capacity.
func (s *Scheduler) isFeasible(job *cluster.Job, machine *cluster.Machine) bool {
	return s.host.Usable(machine) && AllowsMachine(job, machine) && !s.isExcluded(job, machine)
}

// passesFilters reports whether a usable machine may take a job's tasks, if they fit. With
// pullInTime, the pull of the job's image may take at most maxPullS seconds.
func (s *Scheduler) passesFilters(job *cluster.Job, machine *cluster.Machine, policy pullTimePolicy, maxPullS float64) bool {
	if !AllowsMachine(job, machine) || s.isExcluded(job, machine) || machine.TaskRowsLeft() < 1 {
		return false
	}
	if s.isReserved(machine) {
		// A machine that is reserved for the job is used even if the pull is too slow:
		// otherwise the job would wait for three heartbeats, until the reservation
		// expires.
		return machine.ReservedFor == job
	}
	return policy == anyPullTime || !s.pullTooSlow(job, machine, maxPullS)
}

// isExcluded reports whether a job is kept off a machine because it failed there. A job that has
// failed on so many machines that it is itself the likelier cause is kept off none.
func (s *Scheduler) isExcluded(job *cluster.Job, machine *cluster.Machine) bool {
	return s.outliers.FailedOn(job.ID, machine.Name) && !s.outliers.JobFaulty(job.ID)
}

// Penalties of a machine for a task; the machine with the lowest sum is preferred.
const (
	penaltyReschedulingTarget = -1
	penaltyImagePull          = 1
	penaltySlowPull           = 1
	maxPenaltyPulls           = 4 // pulls of other images beyond this add no penalty
	penaltyFailures           = penaltyImagePull + penaltySlowPull + maxPenaltyPulls + 1
)

// machinePenalty scores a machine for a job's tasks, lower is better. Machines with the image cached
// come first and machines on which tasks fail come last. In between, if pulls are sequential, a
// machine with fewer pulls ahead comes first.
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
