package balance

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

func gpus(n float64) amount.Amount { return amount.Of(0, n) }

// TestGrant asks a region that owns 16 GPUs, 2 of them guaranteed, for what it may give up.
func TestGrant(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand Demand
		fresh  float64
		claim  Claim
		offers []Offer
		want   float64
	}{
		{"all that is free above the floor", Demand{}, 0, Claim{Need: gpus(20)}, nil, 14},
		{"no more than is needed", Demand{}, 0, Claim{Need: gpus(3)}, nil, 3},
		{"what is used stays", Demand{Planned: gpus(10)}, 0, Claim{Need: gpus(20)}, nil, 6},
		{"what came a moment ago stays", Demand{}, 9, Claim{Need: gpus(20)}, nil, 7},
		{"a reserve comes after the own one", Demand{Planned: gpus(8)}, 0, Claim{Reserve: gpus(20)}, nil, 7},
		{"work that waits comes before the own reserve", Demand{Planned: gpus(8)}, 0, Claim{Need: gpus(8)}, nil, 8},
		{"a gang that can begin keeps its room", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Region: 3}, nil, 0},
		{"but for a higher priority", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 2, Region: 3}, nil, 5},
		{"but for a gang of a region ahead", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Gang: true, Region: 0}, nil, 5},
		{"not for a gang of a region behind", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Gang: true, Region: 3}, nil, 0},
		{"a gang that cannot begin keeps nothing", Demand{Gang: gpus(30), GangPriority: 1}, 0, Claim{Need: gpus(5), Region: 3}, []Offer{{Region: 2, Amount: gpus(9)}}, 5},
		{"one that can with others' offers does", Demand{Gang: gpus(30), GangPriority: 1}, 0, Claim{Need: gpus(5), Region: 3}, []Offer{{Region: 2, Amount: gpus(14)}}, 0},
	} {
		h := Holding{Owned: gpus(16), Guarantee: gpus(2), Demand: tc.demand, RecentlyCredited: gpus(tc.fresh)}
		if got := h.Grant(1, tc.claim, tc.offers); got != gpus(tc.want) {
			t.Errorf("%s: gives %v, want %v GPUs", tc.name, got, tc.want)
		}
	}
}

// TestClaims has a region that owns 32 GPUs ask two others.
func TestClaims(t *testing.T) {
	for _, tc := range []struct {
		name    string
		demand  Demand
		offers  []Offer
		need    []float64
		reserve []float64
	}{
		{"nothing where enough is owned", Demand{Planned: gpus(16)}, []Offer{{Amount: gpus(5)}, {Amount: gpus(5)}}, []float64{0, 0}, []float64{0, 0}},
		{"what it lacks, once, of the largest offer", Demand{Planned: gpus(32), Shortfall: gpus(3)}, []Offer{{Amount: gpus(2)}, {Amount: gpus(9)}}, []float64{0, 3}, []float64{0, 4}},
		{"the rest of the next", Demand{Planned: gpus(32), Shortfall: gpus(6)}, []Offer{{Amount: gpus(2)}, {Amount: gpus(5)}}, []float64{1, 5}, []float64{1, 0}},
		{"a reserve when little is left", Demand{Planned: gpus(32)}, []Offer{{Amount: gpus(5)}, {Amount: gpus(1)}}, []float64{0, 0}, []float64{4, 0}},
		{"whole GPUs of it", Demand{Planned: gpus(31.5)}, []Offer{{Amount: gpus(2.5)}, {Amount: gpus(1.5)}}, []float64{0, 0}, []float64{2, 1}},
		{"no reserve of less than one", Demand{Planned: gpus(31.9)}, []Offer{{Amount: gpus(0.9)}, {}}, []float64{0, 0}, []float64{0, 0}},
		{"all of a gang", Demand{Gang: gpus(38)}, []Offer{{Amount: gpus(3)}, {Amount: gpus(3)}}, []float64{3, 3}, []float64{0, 0}},
		{"nothing for a gang that cannot begin", Demand{Gang: gpus(39)}, []Offer{{Amount: gpus(3)}, {Amount: gpus(3)}}, []float64{0, 0}, []float64{0, 0}},
		{"not what a gang ahead waits for", Demand{Gang: gpus(38), GangPriority: 1}, []Offer{{Region: 0, Amount: gpus(6), Contested: true, GangPriority: 1}, {Region: 2}}, []float64{0, 0}, []float64{0, 0}},
		{"what a gang behind waits for", Demand{Gang: gpus(38), GangPriority: 1}, []Offer{{Region: 0}, {Region: 2, Amount: gpus(6), Contested: true, GangPriority: 1}}, []float64{0, 6}, []float64{0, 0}},
		{"other work beside a gang that cannot begin", Demand{Planned: gpus(32), Gang: gpus(50), Shortfall: gpus(1)}, []Offer{{Amount: gpus(3)}, {}}, []float64{1, 0}, []float64{2, 0}},
	} {
		h := Holding{Owned: gpus(32), Guarantee: gpus(1), Demand: tc.demand}
		for i, c := range h.Claims(1, tc.offers) {
			if c.Need != gpus(tc.need[i]) || c.Reserve != gpus(tc.reserve[i]) {
				t.Errorf("%s: asks offer %d for %v and %v, want %v and %v GPUs", tc.name, i, c.Need, c.Reserve, tc.need[i], tc.reserve[i])
			}
		}
	}
}
