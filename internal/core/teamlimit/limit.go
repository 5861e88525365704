// Package teamlimit computes with the limits and guarantees of teams: what a limit still allows,
// what is reserved within it, which tasks of a team have to stop for other tasks of the team, and
// which jobs are within quota. It does not depend on jobs, machines or a clock. Amounts are
// topology.Resources, but memory is not limited. Packages scheduler, submission and core use it.
package teamlimit

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// tolerance allows for rounding errors in sums.
const tolerance = 1e-6

// Limit is the maximum that a team's tasks may use at a time, in CPUs and GPUs; +Inf for a resource
// without a limit.
type Limit struct{ CPUs, GPUs float64 }

// UnknownTeamLimit is the limit of a team that does not exist: it allows no task at all.
var UnknownTeamLimit = Limit{CPUs: -1, GPUs: -1}

// FromSettings returns the limit for values from the settings, where 0 means no limit.
func FromSettings(cpus, gpus float64) Limit {
	l := Limit{CPUs: cpus, GPUs: gpus}
	if cpus == 0 {
		l.CPUs = math.Inf(1)
	}
	if gpus == 0 {
		l.GPUs = math.Inf(1)
	}
	return l
}

// Allows reports whether the limit allows count more tasks of a size in addition to what is used.
func (l Limit) Allows(used, task topology.Resources, count int) bool {
	n := float64(count)
	return used.CPUs+task.CPUs*n <= l.CPUs+tolerance && used.GPUs+task.GPUs*n <= l.GPUs+tolerance
}

// reducesExcess reports whether the end of a task reduces the part of a usage that exceeds the
// limit.
func (l Limit) reducesExcess(used, task topology.Resources) bool {
	cpus := used.CPUs > l.CPUs+tolerance && task.CPUs > 0
	gpus := used.GPUs > l.GPUs+tolerance && task.GPUs > 0
	return cpus || gpus
}

// Reservation is a part of a team's limit that is reserved for a job of a priority level.
type Reservation struct {
	Priority int
	Amount   topology.Resources
}

// Reservations are the reservations of all teams, by team.
type Reservations map[string][]Reservation

// AbovePriority returns the part of a team's limit that is reserved for jobs above a priority level.
func (r Reservations) AbovePriority(team string, level int) topology.Resources {
	var sum topology.Resources
	for _, reservation := range r[team] {
		if reservation.Priority > level {
			sum = sum.Add(reservation.Amount)
		}
	}
	return sum
}

// Total returns the part of a team's limit that is reserved for any job.
func (r Reservations) Total(team string) topology.Resources {
	var sum topology.Resources
	for _, reservation := range r[team] {
		sum = sum.Add(reservation.Amount)
	}
	return sum
}
