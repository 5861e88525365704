package teamlimit

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Victim is a task that may be stopped, or a whole gang. Key identifies what stops together.
type Victim[K comparable] struct {
	Key      K
	TaskSize topology.Resources // of one task
	Freed    topology.Resources // by all that stops
}

// Shortage is a number of tasks that are to be added to what a team uses, though its limit may not
// allow them.
type Shortage struct {
	Limit Limit
	Used  topology.Resources
	Task  topology.Resources // size of one task
	Count int
}

// isResolved reports whether the limit allows the tasks.
func (s *Shortage) isResolved() bool { return s.Limit.Allows(s.Used, s.Task, s.Count) }

// isRelievedBy reports whether the end of a task of a size makes the shortage smaller.
func (s *Shortage) isRelievedBy(task topology.Resources) bool {
	return s.Limit.isRelievedBy(s.Used.Add(s.Task.Times(s.Count)), task)
}

// ChooseVictims chooses, in their order, which of a team's own victims have to stop in addition to
// those that stop anyway, to resolve a shortage. It returns their indices in own; not ok if all
// together are not enough.
func ChooseVictims[K comparable](shortage Shortage, anyway, own []Victim[K]) (chosen []int, ok bool) {
	stopped := map[K]bool{}
	for _, victim := range anyway {
		if !stopped[victim.Key] {
			stopped[victim.Key] = true
			shortage.Used = shortage.Used.Sub(victim.Freed)
		}
	}
	for i, victim := range own {
		if shortage.isResolved() {
			return chosen, true
		}
		if stopped[victim.Key] || !shortage.isRelievedBy(victim.TaskSize) {
			continue
		}
		shortage.Used = shortage.Used.Sub(victim.Freed)
		chosen = append(chosen, i)
	}
	return chosen, shortage.isResolved()
}
