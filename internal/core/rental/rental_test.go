package rental

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/brookwalk/brookwalk/internal/core/topology"
)

func cpus(n float64) topology.Resources { return topology.Resources{CPUs: n, MemGB: n} }

// terms offers a type in zones a and b at a price, ordinary machines only.
func terms(typ string, capacity topology.Resources, price float64, limit int) []Terms {
	var out []Terms
	for _, zone := range []string{"a", "b"} {
		out = append(out, Terms{Offer: Offer{Type: typ, Zone: zone}, Capacity: capacity, Price: price, Limit: limit})
	}
	return out
}

func TestWanted(t *testing.T) {
	cheap, dear := terms("cheap", cpus(4), 1, Unlimited), terms("dear", cpus(4), 2, Unlimited)
	for _, tc := range []struct {
		name  string
		terms []Terms
		need  Need
		tasks int
		want  []Wanted
		left  int // tasks without a bin
	}{
		{"the cheapest, zones in turn", append(slices.Clone(dear), cheap...), Need{Task: cpus(4)}, 3,
			[]Wanted{{Offer{"cheap", "a", false}, 2, "x"}, {Offer{"cheap", "b", false}, 1, "x"}}, 0},
		{"as many as may be counted on, then the next", append(terms("cheap", cpus(4), 1, 1), dear...), Need{Task: cpus(2)}, 6,
			[]Wanted{{Offer{"cheap", "a", false}, 1, "x"}, {Offer{"cheap", "b", false}, 1, "x"}, {Offer{"dear", "a", false}, 1, "x"}}, 0},
		{"the allowed type", append(slices.Clone(dear), cheap...), Need{Task: cpus(4), Types: "other,dear"}, 1, []Wanted{{Offer{"dear", "a", false}, 1, "x"}}, 0},
		{"the allowed zone", cheap, Need{Task: cpus(4), Zone: "b"}, 2, []Wanted{{Offer{"cheap", "b", false}, 2, "x"}}, 0},
		{"no offer holds it", cheap, Need{Task: cpus(5)}, 2, nil, 2},
		{"no machines left", terms("cheap", cpus(4), 1, 1), Need{Task: cpus(4)}, 5, []Wanted{{Offer{"cheap", "a", false}, 1, "x"}, {Offer{"cheap", "b", false}, 1, "x"}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(slices.Clone(tc.terms))
			left := 0
			for range tc.tasks {
				if p.Pack(&tc.need, nil, nil, "x") == nil {
					left++
				}
			}
			if got := p.Wanted(); !slices.Equal(got, tc.want) || left != tc.left {
				t.Errorf("wants %v, %d tasks left; want %v, %d", got, left, tc.want, tc.left)
			}
		})
	}
}

// An expected task counts on what makes way for it, a task that waits does not.
func TestExpectedCountsOnPreemptible(t *testing.T) {
	p := New(nil)
	p.AddMachine("n-1", Offer{Type: "t", Zone: "a"}, cpus(1), [Ranks]topology.Resources{1: cpus(3)})
	for _, tc := range []struct {
		need Need
		want bool
	}{
		{Need{Task: cpus(2), Rank: 2}, false},
		{Need{Task: cpus(2), Rank: 1, Expected: true}, false},
		{Need{Task: cpus(2), Rank: 2, Expected: true}, true},
	} {
		if got := p.Pack(&tc.need, nil, nil, "") != nil; got != tc.want {
			t.Errorf("%+v: packed %v, want %v", tc.need, got, tc.want)
		}
	}
}

func TestChooseZone(t *testing.T) {
	for _, tc := range []struct {
		name  string
		terms []Terms
		inB   int // machines with room for two tasks each
		want  string
	}{
		{"where most room is", nil, 1, "b"},
		{"where the least has to be rented", terms("t", cpus(4), 1, Unlimited), 1, "b"},
		{"the first of equal ones", terms("t", cpus(4), 1, Unlimited), 0, "a"},
		{"not where too little may be rented", []Terms{{Offer{"t", "a", false}, cpus(4), 1, 1}, {Offer{"t", "b", false}, cpus(4), 9, 2}}, 0, "b"},
		{"nowhere", nil, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(tc.terms)
			for i := range tc.inB {
				p.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "b"}, cpus(4), [Ranks]topology.Resources{})
			}
			if got := p.ChooseZone(&Need{Task: cpus(2)}, 4); got != tc.want {
				t.Errorf("zone %q, want %q", got, tc.want)
			}
		})
	}
}

// plainPack packs a task as a walk over all bins does.
func plainPack(bins []*Bin, n *Need, last *Bin) *Bin {
	if last != nil && last.room(n).Holds(n.Task) {
		return last
	}
	var best *Bin
	for _, b := range bins {
		if n.Accepts(b.Offer) && b.room(n).Holds(n.Task) && (best == nil || b.Free.Less(best.Free)) {
			best = b
		}
	}
	return best
}

// TestPackAsAWalk packs random tasks into random machines. Each has to go where a walk
// over all of them would put it.
func TestPackAsAWalk(t *testing.T) {
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
			n := Need{Task: topology.Resources{CPUs: float64(1+r.IntN(4)) / 2, GPUs: float64(r.IntN(2)), MemGB: 0.5},
				Types: []string{"", "s", "s,t"}[r.IntN(3)], Spot: r.IntN(2) == 0, Rank: r.IntN(Ranks), Expected: r.IntN(3) == 0}
			var last *Bin
			for range 1 + r.IntN(5) {
				want := plainPack(p.Bins(), &n, last)
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
		p := New(terms("t", cpus(32), 1, Unlimited))
		for i := range machines {
			p.AddMachine(fmt.Sprint(i), Offer{Type: "t", Zone: "a"}, cpus(float64(i%8)), [Ranks]topology.Resources{})
		}
		tasks := 8 * machines
		for i := range tasks {
			p.Pack(&Need{Task: cpus(float64(1 + i%3))}, nil, nil, "")
		}
		return float64(p.Evaluations()) / float64(tasks)
	}
	if small, large := cost(100), cost(3000); large > 1.5*small {
		t.Errorf("%.1f evaluations a task among 3,000 machines, %.1f among 100", large, small)
	}
}
