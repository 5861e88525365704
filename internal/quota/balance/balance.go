// Package balance decides how regions share a team's ceiling: what a region asks of the
// others, and what it gives up when asked. It is arithmetic on amounts, without state, I/O
// or time.
package balance

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// reservePart is the part of what a region uses that it would like to own beyond it, so that
// the next task need not wait for a transfer. It moves in whole CPUs and GPUs: parts of them
// went to and fro in hundreds of transfers a second.
const reservePart = 8

// Demand is what a region does with a team's share.
type Demand struct {
	// Planned is used by tasks that are not certainly gone, or held for tasks that have room
	// on a machine or wait for one.
	Planned amount.Amount
	// Short is what further single tasks need that wait for nothing but the share, and Rank
	// the highest priority among them.
	Short amount.Amount
	Rank  int
	// Gang is what the first gang that waits for the share needs at once, and GangRank its
	// priority.
	Gang     amount.Amount
	GangRank int
}

// Holding is a region's share of a team and what it does with it.
type Holding struct {
	Owned, Floor amount.Amount
	Demand       Demand
	// Fresh is what came from other regions a moment ago, too late for Demand to know of it.
	Fresh amount.Amount
}

// Claim is what a region asks for.
type Claim struct {
	Need    amount.Amount // for work that waits
	Reserve amount.Amount // wished for beside
	Rank    int
	Gang    bool // the need is of use as a whole only
	Region  int  // place of the asking region in the file
}

// Offer is what another region could spare.
type Offer struct {
	Region    int // place in the file
	Amount    amount.Amount
	Contested bool // a gang waits for it there
	GangRank  int
}

// hasGang tells whether a gang waits for the share.
func (h *Holding) hasGang() bool { return !h.Demand.Gang.IsZero() }

// lacks is what is missing for some more work.
func (h *Holding) lacks(work amount.Amount) amount.Amount {
	return h.Demand.Planned.Add(work).Sub(h.Owned).Positive()
}

// reserve is what the region would like to own beyond what is planned.
func (h *Holding) reserve() amount.Amount { return h.Demand.Planned.Part(reservePart) }

// free is what nothing here uses or is about to use, above the floor.
func (h *Holding) free() amount.Amount {
	return h.Owned.Sub(h.Floor.Max(h.Demand.Planned.Add(h.Fresh))).Positive()
}

// wantsReserve tells whether so little is left beyond what is planned that it is time to ask.
func (h *Holding) wantsReserve() bool {
	left := h.Owned.Sub(h.Demand.Planned)
	return !left.Covers(h.reserve().Part(2))
}

// viable tells whether the gang that waits here could begin with what others would give up.
func (h *Holding) viable(self int, offers []Offer) bool {
	need := h.lacks(h.Demand.Gang)
	for _, o := range offers {
		need = need.Sub(o.usable(h.Demand.GangRank, self, true))
	}
	return need.Positive().IsZero()
}

// usable is what of an offer a region's work may have: of what a gang waits for there, only
// a gang that goes before it.
func (o Offer) usable(rank, region int, gang bool) amount.Amount {
	if o.Contested && !before(rank, region, gang, o.GangRank, o.Region) {
		return amount.Amount{}
	}
	return o.Amount
}

// before tells whether a claim goes before a gang of another region: by priority, among
// gangs of the same priority by the regions' places in the file.
func before(rank, region int, gang bool, otherRank, otherRegion int) bool {
	if rank != otherRank {
		return rank > otherRank
	}
	return gang && region < otherRegion
}

// Contested tells whether a gang waits here that could begin with what is free here and in
// other regions: what is free is kept for it.
func (h *Holding) Contested(self int, offers []Offer) bool {
	return h.hasGang() && h.viable(self, offers)
}

// Spare is what the region can offer to others.
func (h *Holding) Spare() amount.Amount { return h.free() }

// Claims divides what a region asks for among those that offer, the largest offer first, so
// that together they give what is needed and no more. offers and the result go by the same
// index. A gang that all offers together cannot serve asks for nothing: what it would
// collect is of no use to it.
func (h *Holding) Claims(self int, offers []Offer) []Claim {
	claims := make([]Claim, len(offers))
	gang, rank := h.Contested(self, offers), h.Demand.Rank
	need, reserve := h.lacks(h.Demand.Short), amount.Amount{}
	if gang {
		need, rank = h.lacks(h.Demand.Gang), h.Demand.GangRank
	} else if h.wantsReserve() {
		reserve = h.lacks(h.Demand.Short.Add(h.reserve())).Sub(need)
	}
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(offers[b].Amount.GPUs, offers[a].Amount.GPUs), cmp.Compare(offers[b].Amount.CPUs, offers[a].Amount.CPUs))
	})
	for _, i := range order {
		left := offers[i].usable(rank, self, gang)
		c := Claim{Rank: rank, Gang: gang, Region: self}
		c.Need = need.Min(left)
		c.Reserve = reserve.Min(left.Sub(c.Need)).Whole()
		need, reserve = need.Sub(c.Need), reserve.Sub(c.Reserve)
		claims[i] = c
	}
	return claims
}

// Grant is what the region gives up for a claim. What waits here is not in what is free but
// for a gang, which keeps what it can begin with from claims that do not go before it. The
// reserve of the one who asks comes after the region's own.
func (h *Holding) Grant(self int, c Claim, offers []Offer) amount.Amount {
	if h.Contested(self, offers) && !before(c.Rank, c.Region, c.Gang, h.Demand.GangRank, self) {
		return amount.Amount{}
	}
	free := h.free()
	given := c.Need.Min(free)
	beyond := free.Sub(given).Sub(h.reserve()).Positive()
	return given.Add(c.Reserve.Min(beyond).Whole())
}
