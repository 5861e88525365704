package provisioning

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func cpus(n float64) topology.Resources { return topology.Resources{CPUs: n, MemGB: n} }

// offersOf offers a type in zones a and b at a price, ordinary machines only.
func offersOf(typ string, capacity topology.Resources, price float64, limit int) []OfferDetails {
	var out []OfferDetails
	for _, zone := range []string{"a", "b"} {
		out = append(out, OfferDetails{Offer: Offer{Type: typ, Zone: zone}, Capacity: capacity, Price: price, Available: limit})
	}
	return out
}

func TestShortfalls(t *testing.T) {
	cheap, dear := offersOf("cheap", cpus(4), 1, Unlimited), offersOf("dear", cpus(4), 2, Unlimited)
	for _, tc := range []struct {
		name  string
		terms []OfferDetails
		need  TaskSpec
		tasks int
		want  []Shortfall
		left  int // tasks without a bin
	}{
		{"the cheapest, zones in turn", append(slices.Clone(dear), cheap...), TaskSpec{Resources: cpus(4)}, 3,
			[]Shortfall{{Offer{"cheap", "a", false}, 2, "x"}, {Offer{"cheap", "b", false}, 1, "x"}}, 0},
		{"as many as may be counted on, then the next", append(offersOf("cheap", cpus(4), 1, 1), dear...), TaskSpec{Resources: cpus(2)}, 6,
			[]Shortfall{{Offer{"cheap", "a", false}, 1, "x"}, {Offer{"cheap", "b", false}, 1, "x"}, {Offer{"dear", "a", false}, 1, "x"}}, 0},
		{"the allowed type", append(slices.Clone(dear), cheap...), TaskSpec{Resources: cpus(4), MachineTypes: "other,dear"}, 1, []Shortfall{{Offer{"dear", "a", false}, 1, "x"}}, 0},
		{"the allowed zone", cheap, TaskSpec{Resources: cpus(4), Zone: "b"}, 2, []Shortfall{{Offer{"cheap", "b", false}, 2, "x"}}, 0},
		{"no offer holds it", cheap, TaskSpec{Resources: cpus(5)}, 2, nil, 2},
		{"no machines left", offersOf("cheap", cpus(4), 1, 1), TaskSpec{Resources: cpus(4)}, 5, []Shortfall{{Offer{"cheap", "a", false}, 1, "x"}, {Offer{"cheap", "b", false}, 1, "x"}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(slices.Clone(tc.terms))
			left := 0
			for range tc.tasks {
				if p.Pack(&tc.need, nil, nil, "x") == nil {
					left++
				}
			}
			if got := p.Shortfalls(); !slices.Equal(got, tc.want) || left != tc.left {
				t.Errorf("wants %v, %d tasks left; want %v, %d", got, left, tc.want, tc.left)
			}
		})
	}
}

// An expected task counts on what makes way for it, a task that waits does not.
func TestForecastTaskCountsOnPreemptible(t *testing.T) {
	p := New(nil)
	p.AddMachine("n-1", Offer{Type: "t", Zone: "a"}, cpus(1), [Ranks]topology.Resources{1: cpus(3)})
	for _, tc := range []struct {
		need TaskSpec
		want bool
	}{
		{TaskSpec{Resources: cpus(2), Rank: 2}, false},
		{TaskSpec{Resources: cpus(2), Rank: 1, Forecast: true}, false},
		{TaskSpec{Resources: cpus(2), Rank: 2, Forecast: true}, true},
	} {
		if got := p.Pack(&tc.need, nil, nil, "") != nil; got != tc.want {
			t.Errorf("%+v: packed %v, want %v", tc.need, got, tc.want)
		}
	}
}

func TestChooseZone(t *testing.T) {
	for _, tc := range []struct {
		name  string
		terms []OfferDetails
		inB   int // machines with room for two tasks each
		want  string
	}{
		{"where most room is", nil, 1, "b"},
		{"where the least has to be rented", offersOf("t", cpus(4), 1, Unlimited), 1, "b"},
		{"the first of equal ones", offersOf("t", cpus(4), 1, Unlimited), 0, "a"},
		{"not where too little may be rented", []OfferDetails{{Offer{"t", "a", false}, cpus(4), 1, 1}, {Offer{"t", "b", false}, cpus(4), 9, 2}}, 0, "b"},
		{"nowhere", nil, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(tc.terms)
			for i := range tc.inB {
				p.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "b"}, cpus(4), [Ranks]topology.Resources{})
			}
			if got := p.ChooseZone(&TaskSpec{Resources: cpus(2)}, 4); got != tc.want {
				t.Errorf("zone %q, want %q", got, tc.want)
			}
		})
	}
}

// packByScan packs a task as a walk over all bins does.
func packByScan(bins []*Bin, n *TaskSpec, last *Bin) *Bin {
	if last != nil && last.availableTo(n).Holds(n.Resources) {
		return last
	}
	var best *Bin
	for _, b := range bins {
		if n.Accepts(b.Offer) && b.availableTo(n).Holds(n.Resources) && (best == nil || b.Free.Less(best.Free)) {
			best = b
		}
	}
	return best
}

// TestPackMatchesLinearScan packs random tasks into random machines. Each has to go where a walk
// over all of them would put it.
func TestPackMatchesLinearScan(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		p := New(nil)
		for i := range 5 + r.IntN(60) {
			free := topology.Resources{CPUs: float64(r.IntN(9)) / 2, GPUs: float64(r.IntN(4)), MemGB: float64(1 + r.IntN(8))}
			o := Offer{Type: []string{"s", "t"}[r.IntN(2)], Zone: []string{"a", "b"}[r.IntN(2)], Spot: r.IntN(2) == 0}
			var held [Ranks]topology.Resources
			held[r.IntN(Ranks)] = cpus(float64(r.IntN(3)))
			p.AddMachine(fmt.Sprint(i), o, free, held)
		}
		for range 30 {
			n := TaskSpec{Resources: topology.Resources{CPUs: float64(1+r.IntN(4)) / 2, GPUs: float64(r.IntN(2)), MemGB: 0.5},
				MachineTypes: []string{"", "s", "s,t"}[r.IntN(3)], AllowSpot: r.IntN(2) == 0, Rank: r.IntN(Ranks), Forecast: r.IntN(3) == 0}
			var last *Bin
			for range 1 + r.IntN(5) {
				want := packByScan(p.Bins(), &n, last)
				got := p.Pack(&n, nil, last, "")
				if got != want {
					t.Fatalf("seed %d: %+v goes into %+v, want %+v", seed, n, got, want)
				}
				if last = got; got == nil {
					break
				}
			}
		}
	}
}

// TestCostGrowsWithKinds packs tasks of few kinds into fleets of two sizes. What a
// task costs may not grow with the fleet.
func TestCostGrowsWithKinds(t *testing.T) {
	cost := func(machines int) float64 {
		p := New(offersOf("t", cpus(32), 1, Unlimited))
		for i := range machines {
			p.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "a"}, cpus(float64(i%8)), [Ranks]topology.Resources{})
		}
		tasks := 8 * machines
		for i := range tasks {
			p.Pack(&TaskSpec{Resources: cpus(float64(1 + i%3))}, nil, nil, "")
		}
		return float64(p.Evaluations()) / float64(tasks)
	}
	if small, large := cost(100), cost(3000); large > 1.5*small {
		t.Errorf("%.1f evaluations a task among 3,000 machines, %.1f among 100", large, small)
	}
}
