// Package preemption selects the running tasks to stop so that other tasks fit, at the least cost.
// It works on sizes and costs only: package scheduler, its caller, decides which tasks may be
// stopped and what a stop costs. The package does no I/O and reads no clock.
package preemption

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

// Task is a running task.
type Task interface {
	// Size returns the resources that its stop frees.
	Size() topology.Resources
	// Gang identifies the gang that is stopped with it; empty if it is stopped alone.
	Gang() string
}

// Victim is a task that may be stopped; T identifies it for the caller.
type Victim[T Task] struct {
	Task T
	Cost float64 // weighted seconds of lost work
}

// Slot is capacity for one more task on a machine, and the tasks that have to stop for it.
type Slot[T Task] struct {
	Machine string
	Zone    string
	Victims []Victim[T]
	// Cost is the sum of the victims' costs, raised to the cost of the previous slot on the
	// machine if that is higher.
	Cost float64
}

// Machine is a machine on which tasks may be preempted.
type Machine[T Task] struct {
	Name string
	Zone string
	Free topology.Resources // what no task uses
	// Victims is called at most once, when the free resources are used up. It returns the tasks
	// that may be stopped, in any order, and the free resources plus those of tasks that are
	// already being stopped. SlotsOn sorts the list in place and does not retain it.
	Victims func(free topology.Resources) ([]Victim[T], topology.Resources)
}

// SlotsOn lists the slots for up to wanted tasks of a size on a machine, the cheapest first. Each
// slot is valid only together with those before it. Free resources are used first.
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
			slices.SortStableFunc(victims, func(a, b Victim[T]) int { return cmp.Compare(a.Cost, b.Cost) })
		}
		for !free.Holds(size) {
			if len(victims) == 0 {
				return slots
			}
			victim := victims[0]
			victims = victims[1:]
			free = free.Add(victim.Task.Size())
			slot.Victims = append(slot.Victims, victim)
			slot.Cost += victim.Cost
		}
		free = free.Sub(size)
		if len(slots) > 0 {
			slot.Cost = max(slot.Cost, slots[len(slots)-1].Cost)
		}
		slots = append(slots, slot)
	}
	return slots
}

// ChooseSlots chooses up to wanted of the slots of all machines, the cheapest first, within the
// bounds of the zones; zoneBound may be nil. Each slot of a machine depends on those before it;
// since their costs never decrease, the stable sort by cost keeps their order. A gang is listed as
// a victim only in the first chosen slot that stops it.
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

// withoutStoppedGangs returns the victims except for the tasks of gangs in stopped, and adds the
// gangs of the returned ones to stopped.
func withoutStoppedGangs[T Task](victims []Victim[T], stopped map[string]bool) []Victim[T] {
	var remaining []Victim[T]
	for _, v := range victims {
		if gang := v.Task.Gang(); gang != "" {
			if stopped[gang] {
				continue
			}
			stopped[gang] = true
		}
		remaining = append(remaining, v)
	}
	return remaining
}

// TotalCost returns the sum of the costs of slots.
func TotalCost[T Task](slots []Slot[T]) float64 {
	sum := 0.0
	for _, slot := range slots {
		sum += slot.Cost
	}
	return sum
}
