// Package preemption finds out which running tasks make room for others at the least
// loss. It knows sizes and losses only: which tasks may be stopped, and what a stop
// loses, is its caller's to say. The package does no I/O and keeps no time.
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
	// Gang names the gang that stops along with it; empty if it stops alone.
	Gang() string
}

// Victim is a task that may be stopped; T is how the caller knows it.
type Victim[T Task] struct {
	Task T
	Loss float64 // seconds of a task's work, weighed
}

// Slot is room for one more task on a machine, and which tasks have to go for it.
type Slot[T Task] struct {
	Machine string
	Zone    string
	Victims []Victim[T]
	Cost    float64 // the sum of the victims' losses, and no less than the rooms before it on the machine
}

// Machine is a machine on which room can be made.
type Machine[T Task] struct {
	Name string
	Zone string
	Free topology.Resources // what nobody uses
	// Victims is called once free room does not do. It lists the tasks that may be
	// stopped, in any order, and returns the room with what is on its way out. The list
	// is sorted in place and not kept.
	Victims func(free topology.Resources) ([]Victim[T], topology.Resources)
}

// SlotsOn lists the rooms for up to want tasks of a size on a machine, the cheapest first;
// each needs those before it. Free room goes first.
func SlotsOn[T Task](machine *Machine[T], size topology.Resources, want int) []Slot[T] {
	free := machine.Free
	var victims []Victim[T]
	counted := false
	var rooms []Slot[T]
	for len(rooms) < want {
		room := Slot[T]{Machine: machine.Name, Zone: machine.Zone}
		if !counted && !free.Holds(size) {
			counted = true
			victims, free = machine.Victims(free)
			slices.SortStableFunc(victims, func(a, b Victim[T]) int { return cmp.Compare(a.Loss, b.Loss) })
		}
		for !free.Holds(size) {
			if len(victims) == 0 {
				return rooms
			}
			victim := victims[0]
			victims = victims[1:]
			free = free.Add(victim.Task.Size())
			room.Victims = append(room.Victims, victim)
			room.Cost += victim.Loss
		}
		free = free.Sub(size)
		if len(rooms) > 0 {
			room.Cost = max(room.Cost, rooms[len(rooms)-1].Cost)
		}
		rooms = append(rooms, room)
	}
	return rooms
}

// ChooseSlots takes up to want rooms of those of all machines, the cheapest first, as far as
// the zones' bounds allow; zoneRoom may be nil. The rooms of one machine build on each
// other and never get cheaper, so the order by cost keeps theirs. A gang is a victim of
// the first room only that it goes for.
func ChooseSlots[T Task](rooms []Slot[T], want int, zoneRoom func(zone string) int) []Slot[T] {
	slices.SortStableFunc(rooms, func(a, b Slot[T]) int { return cmp.Compare(a.Cost, b.Cost) })
	var chosen []Slot[T]
	inZone := map[string]int{}
	stopped := map[string]bool{} // gangs
	for _, room := range rooms {
		if len(chosen) == want {
			break
		}
		if zoneRoom != nil && inZone[room.Zone] >= zoneRoom(room.Zone) {
			continue
		}
		inZone[room.Zone]++
		room.Victims = withoutStoppedGangs(room.Victims, stopped)
		chosen = append(chosen, room)
	}
	return chosen
}

// withoutStoppedGangs leaves out the tasks of gangs that stop already, and notes those that stop
// now.
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

// TotalCost is the cost of rooms.
func TotalCost[T Task](rooms []Slot[T]) float64 {
	sum := 0.0
	for _, room := range rooms {
		sum += room.Cost
	}
	return sum
}
