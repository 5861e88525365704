package provisioning

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func cpus(n float64) topology.Resources { return topology.Resources{CPUs: n, MemGB: n} }

// offersOf returns on-demand offers of a machine type at the same price in zones a and b.
func offersOf(machineType string, capacity topology.Resources, price float64, available int) []OfferDetails {
	var out []OfferDetails
	for _, zone := range []string{"a", "b"} {
		out = append(out, OfferDetails{Offer: Offer{Type: machineType, Zone: zone}, Capacity: capacity, Price: price, Available: available})
	}
	return out
}

func TestShortfalls(t *testing.T) {
	cheap, expensive := offersOf("cheap", cpus(4), 1, Unlimited), offersOf("expensive", cpus(4), 2, Unlimited)
	for _, tc := range []struct {
		name     string
		offers   []OfferDetails
		task     TaskSpec
		count    int
		want     []Shortfall
		unplaced int // tasks without a bin
	}{
		{
			name:   "cheapest offer, alternating zones",
			offers: append(slices.Clone(expensive), cheap...),
			task:   TaskSpec{Resources: cpus(4)},
			count:  3,
			want:   []Shortfall{{Offer{"cheap", "a", false}, 2, "x"}, {Offer{"cheap", "b", false}, 1, "x"}},
		},
		{
			name:   "next offer once the cheapest has no more machines",
			offers: append(offersOf("cheap", cpus(4), 1, 1), expensive...),
			task:   TaskSpec{Resources: cpus(2)},
			count:  6,
			want: []Shortfall{
				{Offer{"cheap", "a", false}, 1, "x"},
				{Offer{"cheap", "b", false}, 1, "x"},
				{Offer{"expensive", "a", false}, 1, "x"},
			},
		},
		{
			name:   "only an allowed machine type",
			offers: append(slices.Clone(expensive), cheap...),
			task:   TaskSpec{Resources: cpus(4), MachineTypes: "other,expensive"},
			count:  1,
			want:   []Shortfall{{Offer{"expensive", "a", false}, 1, "x"}},
		},
		{
			name:   "only the allowed zone",
			offers: cheap,
			task:   TaskSpec{Resources: cpus(4), Zone: "b"},
			count:  2,
			want:   []Shortfall{{Offer{"cheap", "b", false}, 2, "x"}},
		},
		{
			name:     "no machine type is large enough",
			offers:   cheap,
			task:     TaskSpec{Resources: cpus(5)},
			count:    2,
			unplaced: 2,
		},
		{
			name:     "more tasks than available machines",
			offers:   offersOf("cheap", cpus(4), 1, 1),
			task:     TaskSpec{Resources: cpus(4)},
			count:    5,
			want:     []Shortfall{{Offer{"cheap", "a", false}, 1, "x"}, {Offer{"cheap", "b", false}, 1, "x"}},
			unplaced: 3,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := New(slices.Clone(tc.offers))
			unplaced := 0
			for range tc.count {
				if plan.Pack(&tc.task, nil, nil, "x") == nil {
					unplaced++
				}
			}
			if got := plan.Shortfalls(); !slices.Equal(got, tc.want) || unplaced != tc.unplaced {
				t.Errorf("got shortfalls %v, %d tasks unplaced; want %v, %d unplaced", got, unplaced, tc.want, tc.unplaced)
			}
		})
	}
}

// TestForecastTaskUsesPreemptibleCapacity packs tasks into a machine with tasks of priority level 1:
// a forecast task of a higher level may use their capacity, a pending task may not.
func TestForecastTaskUsesPreemptibleCapacity(t *testing.T) {
	plan := New(nil)
	plan.AddMachine("n-1", Offer{Type: "t", Zone: "a"}, cpus(1), [PriorityLevels]topology.Resources{1: cpus(3)})
	for _, tc := range []struct {
		task TaskSpec
		want bool
	}{
		{TaskSpec{Resources: cpus(2), PriorityLevel: 2}, false},
		{TaskSpec{Resources: cpus(2), PriorityLevel: 1, Forecast: true}, false},
		{TaskSpec{Resources: cpus(2), PriorityLevel: 2, Forecast: true}, true},
	} {
		if got := plan.Pack(&tc.task, nil, nil, "") != nil; got != tc.want {
			t.Errorf("task %+v: got packed %v, want %v", tc.task, got, tc.want)
		}
	}
}

func TestChooseZone(t *testing.T) {
	for _, tc := range []struct {
		name        string
		offers      []OfferDetails
		machinesInB int // machines in zone b with capacity for two tasks each
		want        string
	}{
		{"only zone with free capacity", nil, 1, "b"},
		{"lowest cost to provision", offersOf("t", cpus(4), 1, Unlimited), 1, "b"},
		{"first of equal zones by name", offersOf("t", cpus(4), 1, Unlimited), 0, "a"},
		{"zone with enough available machines in spite of its price", []OfferDetails{{Offer{"t", "a", false}, cpus(4), 1, 1}, {Offer{"t", "b", false}, cpus(4), 9, 2}}, 0, "b"},
		{"no capacity in any zone", nil, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := New(tc.offers)
			for i := range tc.machinesInB {
				plan.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "b"}, cpus(4), [PriorityLevels]topology.Resources{})
			}
			if got := plan.ChooseZone(&TaskSpec{Resources: cpus(2)}, 4); got != tc.want {
				t.Errorf("chosen zone: got %q, want %q", got, tc.want)
			}
		})
	}
}

// packByScan returns the bin that Pack has to choose, found by a linear scan of all bins.
func packByScan(bins []*Bin, task *TaskSpec, last *Bin) *Bin {
	if last != nil && last.fits(task) {
		return last
	}
	var best *Bin
	for _, bin := range bins {
		if task.Accepts(bin.Offer) && bin.fits(task) && (best == nil || bin.Free.Less(best.Free)) {
			best = bin
		}
	}
	return best
}

// addRandomMachines adds 5 to 64 machines with random free and preemptible capacity.
func addRandomMachines(random *rand.Rand, plan *Plan) {
	for i := range 5 + random.IntN(60) {
		free := topology.Resources{CPUs: float64(random.IntN(9)) / 2, GPUs: float64(random.IntN(4)), MemGB: float64(1 + random.IntN(8))}
		offer := Offer{Type: []string{"s", "t"}[random.IntN(2)], Zone: []string{"a", "b"}[random.IntN(2)], Spot: random.IntN(2) == 0}
		var preemptible [PriorityLevels]topology.Resources
		preemptible[random.IntN(PriorityLevels)] = cpus(float64(random.IntN(3)))
		plan.AddMachine(fmt.Sprint(i), offer, free, preemptible)
	}
}

func randomTask(random *rand.Rand) TaskSpec {
	return TaskSpec{
		Resources:     topology.Resources{CPUs: float64(1+random.IntN(4)) / 2, GPUs: float64(random.IntN(2)), MemGB: 0.5},
		MachineTypes:  []string{"", "s", "s,t"}[random.IntN(3)],
		AllowSpot:     random.IntN(2) == 0,
		PriorityLevel: random.IntN(PriorityLevels),
		Forecast:      random.IntN(3) == 0,
	}
}

// TestPackMatchesLinearScan packs random tasks into random machines and checks that Pack chooses
// the same machines as a linear scan.
func TestPackMatchesLinearScan(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		plan := New(nil)
		addRandomMachines(random, plan)
		for range 30 {
			task := randomTask(random)
			var last *Bin
			for range 1 + random.IntN(5) {
				want := packByScan(plan.Bins(), &task, last)
				got := plan.Pack(&task, nil, last, "")
				if got != want {
					t.Fatalf("seed %d: task %+v: got packed into %+v, want %+v", seed, task, got, want)
				}
				if last = got; got == nil {
					break
				}
			}
		}
	}
}

// TestPackCostIndependentOfFleetSize packs tasks with few different specs into fleets of two sizes
// and checks that the cost per task does not grow with the fleet.
func TestPackCostIndependentOfFleetSize(t *testing.T) {
	cost := func(machines int) float64 {
		plan := New(offersOf("t", cpus(32), 1, Unlimited))
		for i := range machines {
			plan.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "a"}, cpus(float64(i%8)), [PriorityLevels]topology.Resources{})
		}
		tasks := 8 * machines
		for i := range tasks {
			plan.Pack(&TaskSpec{Resources: cpus(float64(1 + i%3))}, nil, nil, "")
		}
		return float64(plan.Evaluations()) / float64(tasks)
	}
	if small, large := cost(100), cost(3000); large > 1.5*small {
		t.Errorf("evaluations per task: got %.1f with 3,000 machines, want at most 1.5 times the %.1f with 100",
			large, small)
	}
}
