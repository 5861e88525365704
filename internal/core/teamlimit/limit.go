// Package teamlimit holds the arithmetic of teams' limits and guarantees: what a limit
// still allows, what is reserved within it, which of a team's own tasks have to stop for
// others of the team, and which jobs lie within a guarantee. It knows no jobs, machines or
// clock; amounts come as topology.Resources, of which memory is not limited.
package teamlimit

import (
	"math"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// tolerance makes up for the rounding of sums.
const tolerance = 1e-6

// Limit is the most that a team's tasks may use at a time, in CPUs and GPUs; +Inf for a
// resource without a limit.
type Limit struct{ CPUs, GPUs float64 }

// UnknownTeam is the limit of a team that does not exist: it allows no task at all.
var UnknownTeam = Limit{CPUs: -1, GPUs: -1}

// FromSettings is the limit that settings name, in which 0 stands for none.
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

// Allows tells whether n tasks of a size may be added to what is used.
func (l Limit) Allows(used, task topology.Resources, n int) bool {
	f := float64(n)
	return used.CPUs+task.CPUs*f <= l.CPUs+tolerance && used.GPUs+task.GPUs*f <= l.GPUs+tolerance
}

// isRelievedBy tells whether the end of a task brings a use above the limit closer to it.
func (l Limit) isRelievedBy(used, task topology.Resources) bool {
	cpus := used.CPUs > l.CPUs+tolerance && task.CPUs > 0
	gpus := used.GPUs > l.GPUs+tolerance && task.GPUs > 0
	return cpus || gpus
}

// Reservation is a part of a team's limit that is kept for work of a rank.
type Reservation struct {
	Priority int
	Amount   topology.Resources
}

// Reservations are those of all teams, by team.
type Reservations map[string][]Reservation

// AbovePriority adds up what a team's limit has reserved for work above a rank.
func (r Reservations) AbovePriority(team string, rank int) topology.Resources {
	var sum topology.Resources
	for _, x := range r[team] {
		if x.Priority > rank {
			sum = sum.Add(x.Amount)
		}
	}
	return sum
}

// Total adds up all that a team's limit has reserved.
func (r Reservations) Total(team string) topology.Resources {
	var sum topology.Resources
	for _, x := range r[team] {
		sum = sum.Add(x.Amount)
	}
	return sum
}

// Victim is a task that may be stopped, or a whole gang. Key names what stops at once.
type Victim[K comparable] struct {
	Key      K
	TaskSize topology.Resources // one task
	Freed    topology.Resources // all that becomes free
}

// ChooseVictims chooses, in their order, which of a team's own tasks have to stop beside
// those that stop anyway so that the limit allows n tasks more. It returns their indices
// in own; not ok if all together are not enough.
func ChooseVictims[K comparable](limit Limit, used, task topology.Resources, count int, anyway, own []Victim[K]) (chosen []int, ok bool) {
	stopped := map[K]bool{}
	for _, s := range anyway {
		if !stopped[s.Key] {
			stopped[s.Key] = true
			used = used.Sub(s.Freed)
		}
	}
	wanted := topology.Resources{CPUs: task.CPUs * float64(count), GPUs: task.GPUs * float64(count)}
	for i, s := range own {
		if limit.Allows(used, task, count) {
			return chosen, true
		}
		if stopped[s.Key] || !limit.isRelievedBy(used.Add(wanted), s.TaskSize) {
			continue
		}
		used = used.Sub(s.Freed)
		chosen = append(chosen, i)
	}
	return chosen, limit.Allows(used, task, count)
}
