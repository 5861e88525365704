// Package preemption finds out which running tasks have to stop to make room for others, at the
// least cost. It knows sizes and costs only: which tasks may be stopped, and what a stop costs, is
// decided by package scheduler, which calls it. The package does no I/O and keeps no time.
package preemption

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Task is a running task.
type Task interface {
	// Size is what becomes free when it stops.
	Size() topology.Resources
	// Gang identifies the gang that stops along with it; empty if it stops alone.
	Gang() string
}

// Victim is a task that may be stopped; T identifies it for the caller.
type Victim[T Task] struct {
	Task T
	Loss float64 // seconds of a task's work, weighed
}

// Slot is room for one more task on a machine, and which tasks have to stop for it.
type Slot[T Task] struct {
	Machine string
	Zone    string
	Victims []Victim[T]
	// Cost is the sum of the victims' losses, and no less than that of the slots before it on
	// the machine.
	Cost float64
}

// Machine is a machine on which room can be made.
type Machine[T Task] struct {
	Name string
	Zone string
	Free topology.Resources // what no task uses
	// Victims is called once the free resources are used up. It lists the tasks that may be
	// stopped, in any order, and returns the free resources with what tasks use that are being
	// stopped already. The list is sorted in place and not kept.
	Victims func(free topology.Resources) ([]Victim[T], topology.Resources)
}

// SlotsOn lists the slots for up to wanted tasks of a size on a machine, the cheapest first; each
// presumes those before it. Free resources are used first.
func SlotsOn[T Task](machine *Machine[T], size topology.Resources, wanted int) []Slot[T] {
	free := machine.Free
	var victims []Victim[T]
	listed := false
	var slots []Slot[T]
	for len(slots) < wanted {
		slot := Slot[T]{Machine: machine.Name, Zone: machine.Zone}
		if !listed && !free.Holds(size) {
			listed = true
			victims, free = machine.Victims(free)
			slices.SortStableFunc(victims, func(a, b Victim[T]) int { return cmp.Compare(a.Loss, b.Loss) })
		}
		for !free.Holds(size) {
			if len(victims) == 0 {
				return slots
			}
			victim := victims[0]
			victims = victims[1:]
			free = free.Add(victim.Task.Size())
			slot.Victims = append(slot.Victims, victim)
			slot.Cost += victim.Loss
		}
		free = free.Sub(size)
		if len(slots) > 0 {
			slot.Cost = max(slot.Cost, slots[len(slots)-1].Cost)
		}
		slots = append(slots, slot)
	}
	return slots
}

// ChooseSlots chooses up to wanted slots of those of all machines, the cheapest first, as far as
// the zones' bounds allow; zoneBound may be nil. The slots of one machine presume each other and
// never get cheaper, so the order by cost keeps theirs. A gang is a victim of the first slot only
// that it stops for.
func ChooseSlots[T Task](slots []Slot[T], wanted int, zoneBound func(zone string) int) []Slot[T] {
	slices.SortStableFunc(slots, func(a, b Slot[T]) int { return cmp.Compare(a.Cost, b.Cost) })
	var chosen []Slot[T]
	inZone := map[string]int{}
	stoppedGangs := map[string]bool{}
	for _, slot := range slots {
		if len(chosen) == wanted {
			break
		}
		if zoneBound != nil && inZone[slot.Zone] >= zoneBound(slot.Zone) {
			continue
		}
		inZone[slot.Zone]++
		slot.Victims = withoutStoppedGangs(slot.Victims, stoppedGangs)
		chosen = append(chosen, slot)
	}
	return chosen
}

// withoutStoppedGangs leaves out the tasks of gangs that stop already, and adds the gangs of the
// others to those.
func withoutStoppedGangs[T Task](victims []Victim[T], stopped map[string]bool) []Victim[T] {
	var left []Victim[T]
	for _, v := range victims {
		if gang := v.Task.Gang(); gang != "" {
			if stopped[gang] {
				continue
			}
			stopped[gang] = true
		}
		left = append(left, v)
	}
	return left
}

// TotalCost is the sum of the costs of slots.
func TotalCost[T Task](slots []Slot[T]) float64 {
	sum := 0.0
	for _, slot := range slots {
		sum += slot.Cost
	}
	return sum
}
