package preemption

import (
	"slices"
	"strings"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func cpus(n float64) topology.Resources { return topology.Resources{CPUs: n} }

// task is a running task with a name.
type task struct {
	name string
	cpus float64
	gang string
}

func (t task) Size() topology.Resources { return cpus(t.cpus) }
func (t task) Gang() string             { return t.gang }

// machine is a machine with victims, with free CPUs, and with CPUs of tasks that are being stopped.
func machine(name, zone string, free, stopping float64, victims ...Victim[task]) *Machine[task] {
	return &Machine[task]{Name: name, Zone: zone, Free: cpus(free), Victims: func(free topology.Resources) ([]Victim[task], topology.Resources) {
		return slices.Clone(victims), free.Add(cpus(stopping))
	}}
}

func victim(name string, size, cost float64) Victim[task] {
	return Victim[task]{Task: task{name: name, cpus: size}, Cost: cost}
}

func ofGang(v Victim[task], gang string) Victim[task] {
	v.Task.gang = gang
	return v
}

// describe formats slots as "machine: victims", joined by semicolons.
func describe(slots []Slot[task]) string {
	var descriptions []string
	for _, slot := range slots {
		description := slot.Machine + ":"
		for _, v := range slot.Victims {
			description += " " + v.Task.name
		}
		descriptions = append(descriptions, description)
	}
	return strings.Join(descriptions, "; ")
}

func TestSlotsOn(t *testing.T) {
	for _, tc := range []struct {
		name    string
		machine *Machine[task]
		size    float64
		wanted  int
		slots   string
		cost    float64 // of the last slot
	}{
		{"free resources first", machine("m", "a", 2, 0, victim("x", 1, 5)), 1, 3, "m:; m:; m: x", 5},
		{"no more slots than wanted", machine("m", "a", 9, 0), 1, 2, "m:; m:", 0},
		{"resources of tasks that are being stopped count as free", machine("m", "a", 0, 1, victim("x", 1, 5)), 1, 2, "m:; m: x", 5},
		{"the least cost first", machine("m", "a", 0, 0, victim("x", 1, 5), victim("y", 1, 2)), 1, 1, "m: y", 2},
		{"as many victims as the size needs", machine("m", "a", 0, 0, victim("x", 1, 5), victim("y", 1, 2), victim("z", 1, 3)), 2, 2, "m: y z", 5},
		{"the rest of what a large victim frees is the next slot", machine("m", "a", 0, 0, victim("x", 2, 5)), 1, 2, "m: x; m:", 5},
		{"no slot", machine("m", "a", 0, 0, victim("x", 1, 5)), 2, 1, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			slots := SlotsOn(tc.machine, cpus(tc.size), tc.wanted)
			if got := describe(slots); got != tc.slots {
				t.Fatalf("slots: got %q, want %q", got, tc.slots)
			}
			if n := len(slots); n > 0 && slots[n-1].Cost != tc.cost {
				t.Errorf("cost of the last slot: got %v, want %v", slots[n-1].Cost, tc.cost)
			}
		})
	}
}

func TestChooseSlots(t *testing.T) {
	onA := SlotsOn(machine("m", "a", 1, 0, victim("x", 1, 4), victim("y", 1, 1)), cpus(1), 3)
	onB := SlotsOn(machine("n", "b", 0, 0, victim("z", 1, 2)), cpus(1), 3)
	gangs := func() []Slot[task] {
		return append(SlotsOn(machine("m", "a", 0, 0, ofGang(victim("g/0", 1, 3), "g")), cpus(1), 1),
			SlotsOn(machine("n", "b", 0, 0, ofGang(victim("g/1", 1, 3), "g"), victim("w", 1, 9)), cpus(1), 2)...)
	}
	for _, tc := range []struct {
		name       string
		candidates []Slot[task]
		wanted     int
		zoneBound  func(string) int
		slots      string
		cost       float64
	}{
		{"the cheapest of all machines", append(slices.Clone(onB), onA...), 3, nil, "m:; m: y; n: z", 3},
		{"all slots if more are wanted", append(slices.Clone(onB), onA...), 9, nil, "m:; m: y; n: z; m: x", 7},
		{"within the zones' bounds", append(slices.Clone(onB), onA...), 3, func(zone string) int { return 1 }, "m:; n: z", 2},
		{"a gang stops once", gangs(), 3, nil, "m: g/0; n:; n: w", 15},
		{"none", nil, 3, nil, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			chosen := ChooseSlots(tc.candidates, tc.wanted, tc.zoneBound)
			if got := describe(chosen); got != tc.slots {
				t.Errorf("slots: got %q, want %q", got, tc.slots)
			}
			if got := TotalCost(chosen); got != tc.cost {
				t.Errorf("total cost: got %v, want %v", got, tc.cost)
			}
		})
	}
}
