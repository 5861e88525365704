package teamlimit

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Victim is a task that may be stopped. Key identifies the tasks that are stopped together: a task
// alone, or a gang.
type Victim[K comparable] struct {
	Key      K
	TaskSize topology.Resources // of one task
	Freed    topology.Resources // by all tasks that are stopped together
}

// Shortage describes tasks that are to be added to what a team uses and that its limit may not
// allow yet.
type Shortage struct {
	Limit    Limit
	Used     topology.Resources
	TaskSize topology.Resources // of one task
	Count    int
}

// isResolved reports whether the limit allows the tasks.
func (s *Shortage) isResolved() bool { return s.Limit.Allows(s.Used, s.TaskSize, s.Count) }

// isReducedBy reports whether the end of a task of a size reduces the shortage.
func (s *Shortage) isReducedBy(task topology.Resources) bool {
	return s.Limit.reducesExcess(s.Used.Add(s.TaskSize.Times(s.Count)), task)
}

// ChooseVictims chooses candidates, in their order, until the shortage is resolved; the victims in
// alreadyChosen stop in any case and count as well. It returns the indices of the chosen candidates;
// ok is false if all candidates together are not enough.
func ChooseVictims[K comparable](shortage Shortage, alreadyChosen, candidates []Victim[K]) (chosen []int, ok bool) {
	stopped := map[K]bool{}
	for _, victim := range alreadyChosen {
		if !stopped[victim.Key] {
			stopped[victim.Key] = true
			shortage.Used = shortage.Used.Sub(victim.Freed)
		}
	}
	for i, victim := range candidates {
		if shortage.isResolved() {
			return chosen, true
		}
		if stopped[victim.Key] || !shortage.isReducedBy(victim.TaskSize) {
			continue
		}
		shortage.Used = shortage.Used.Sub(victim.Freed)
		chosen = append(chosen, i)
	}
	return chosen, shortage.isResolved()
}
