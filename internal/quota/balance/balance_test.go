package balance

import (
	"testing"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

func gpus(n float64) amount.Amount { return amount.Of(0, n) }

// TestGrant checks what a region grants that owns 16 GPUs, 2 of them guaranteed, and is at position
// 1 in the regions file.
func TestGrant(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand Demand
		recent float64
		claim  Claim
		offers []Offer
		want   float64
	}{
		{"everything above the guarantee", Demand{}, 0, Claim{Need: gpus(20)}, nil, 14},
		{"no more than the need", Demand{}, 0, Claim{Need: gpus(3)}, nil, 3},
		{"what is used is kept", Demand{Planned: gpus(10)}, 0, Claim{Need: gpus(20)}, nil, 6},
		{"what was recently credited is kept", Demand{}, 9, Claim{Need: gpus(20)}, nil, 7},
		{"its own reserve comes before the claimant's", Demand{Planned: gpus(8)}, 0, Claim{Reserve: gpus(20)}, nil, 7},
		{"a need comes before its own reserve", Demand{Planned: gpus(8)}, 0, Claim{Need: gpus(8)}, nil, 8},
		{"the spare amount is kept for a gang that can start", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Region: 3}, nil, 0},
		{"except for a claim of higher priority", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 2, Region: 3}, nil, 5},
		{"except for a gang of an earlier region", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Gang: true, Region: 0}, nil, 5},
		{"not for a gang of a later region", Demand{Gang: gpus(16), GangPriority: 1}, 0, Claim{Need: gpus(5), Priority: 1, Gang: true, Region: 3}, nil, 0},
		{"nothing is kept for a gang that cannot start", Demand{Gang: gpus(30), GangPriority: 1}, 0, Claim{Need: gpus(5), Region: 3}, []Offer{{Region: 2, Amount: gpus(9)}}, 5},
		{"the spare amount is kept for a gang that can start with others' offers", Demand{Gang: gpus(30), GangPriority: 1}, 0, Claim{Need: gpus(5), Region: 3}, []Offer{{Region: 2, Amount: gpus(14)}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			holding := Holding{Owned: gpus(16), Guarantee: gpus(2), Demand: tc.demand, RecentlyCredited: gpus(tc.recent)}
			if got := holding.Grant(1, tc.claim, tc.offers); got != gpus(tc.want) {
				t.Errorf("granted %v, want %v GPUs", got, tc.want)
			}
		})
	}
}

// TestClaims checks what a region claims from two others that owns 32 GPUs and is at position 1 in
// the regions file.
func TestClaims(t *testing.T) {
	for _, tc := range []struct {
		name    string
		demand  Demand
		offers  []Offer
		need    []float64
		reserve []float64
	}{
		{"nothing if enough is owned", Demand{Planned: gpus(16)}, []Offer{{Amount: gpus(5)}, {Amount: gpus(5)}}, []float64{0, 0}, []float64{0, 0}},
		{"the shortfall, once, from the largest offer", Demand{Planned: gpus(32), Shortfall: gpus(3)}, []Offer{{Amount: gpus(2)}, {Amount: gpus(9)}}, []float64{0, 3}, []float64{0, 4}},
		{"the rest from the next offer", Demand{Planned: gpus(32), Shortfall: gpus(6)}, []Offer{{Amount: gpus(2)}, {Amount: gpus(5)}}, []float64{1, 5}, []float64{1, 0}},
		{"a reserve if little is left", Demand{Planned: gpus(32)}, []Offer{{Amount: gpus(5)}, {Amount: gpus(1)}}, []float64{0, 0}, []float64{4, 0}},
		{"a reserve in whole GPUs", Demand{Planned: gpus(31.5)}, []Offer{{Amount: gpus(2.5)}, {Amount: gpus(1.5)}}, []float64{0, 0}, []float64{2, 1}},
		{"no reserve of less than one GPU", Demand{Planned: gpus(31.9)}, []Offer{{Amount: gpus(0.9)}, {}}, []float64{0, 0}, []float64{0, 0}},
		{"all that a gang needs", Demand{Gang: gpus(38)}, []Offer{{Amount: gpus(3)}, {Amount: gpus(3)}}, []float64{3, 3}, []float64{0, 0}},
		{"nothing for a gang that cannot start", Demand{Gang: gpus(39)}, []Offer{{Amount: gpus(3)}, {Amount: gpus(3)}}, []float64{0, 0}, []float64{0, 0}},
		{"not what a preceding gang waits for", Demand{Gang: gpus(38), GangPriority: 1}, []Offer{{Region: 0, Amount: gpus(6), Contested: true, GangPriority: 1}, {Region: 2}}, []float64{0, 0}, []float64{0, 0}},
		{"what a gang of a later region waits for", Demand{Gang: gpus(38), GangPriority: 1}, []Offer{{Region: 0}, {Region: 2, Amount: gpus(6), Contested: true, GangPriority: 1}}, []float64{0, 6}, []float64{0, 0}},
		{"single tasks beside a gang that cannot start", Demand{Planned: gpus(32), Gang: gpus(50), Shortfall: gpus(1)}, []Offer{{Amount: gpus(3)}, {}}, []float64{1, 0}, []float64{2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			holding := Holding{Owned: gpus(32), Guarantee: gpus(1), Demand: tc.demand}
			for i, claim := range holding.Claims(1, tc.offers) {
				if claim.Need != gpus(tc.need[i]) || claim.Reserve != gpus(tc.reserve[i]) {
					t.Errorf("claimed need %v and reserve %v from offer %d, want %v and %v GPUs", claim.Need, claim.Reserve, i, tc.need[i], tc.reserve[i])
				}
			}
		})
	}
}
