// Package balance decides how regions share a team's ceiling: what a region asks of the
// others, and what it gives up when asked. It is arithmetic on amounts, without state, I/O
// or time.
package balance

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// reserveDivisor is the part of what a region uses that it would like to own beyond it, so that
// the next task need not wait for a transfer. It moves in whole CPUs and GPUs: parts of them
// went to and fro in hundreds of transfers a second.
const reserveDivisor = 8

// Demand is what a region does with a team's share.
type Demand struct {
	// Planned is used by tasks that are not certainly gone, or held for tasks that have room
	// on a machine or wait for one.
	Planned amount.Amount
	// Shortfall is what further single tasks need that wait for nothing but the share, and Rank
	// the highest priority among them.
	Shortfall amount.Amount
	Priority  int
	// Gang is what the first gang that waits for the share needs at once, and GangPriority its
	// priority.
	Gang         amount.Amount
	GangPriority int
}

// Holding is a region's share of a team and what it does with it.
type Holding struct {
	Owned, Guarantee amount.Amount
	Demand           Demand
	// RecentlyCredited is what came from other regions a moment ago, too late for Demand to know of it.
	RecentlyCredited amount.Amount
}

// Claim is what a region asks for.
type Claim struct {
	Need     amount.Amount // for work that waits
	Reserve  amount.Amount // wished for beside
	Priority int
	Gang     bool // the need is of use as a whole only
	Region   int  // place of the asking region in the file
}

// Offer is what another region could spare.
type Offer struct {
	Region       int // place in the file
	Amount       amount.Amount
	Contested    bool // a gang waits for it there
	GangPriority int
}

// hasGang tells whether a gang waits for the share.
func (h *Holding) hasGang() bool { return !h.Demand.Gang.IsZero() }

// missing is what is missing for some more work.
func (h *Holding) missing(work amount.Amount) amount.Amount {
	return h.Demand.Planned.Add(work).Sub(h.Owned).NonNegative()
}

// reserve is what the region would like to own beyond what is planned.
func (h *Holding) reserve() amount.Amount { return h.Demand.Planned.Divide(reserveDivisor) }

// free is what nothing here uses or is about to use, above the floor.
func (h *Holding) free() amount.Amount {
	return h.Owned.Sub(h.Guarantee.Max(h.Demand.Planned.Add(h.RecentlyCredited))).NonNegative()
}

// wantsReserve tells whether so little is left beyond what is planned that it is time to ask.
func (h *Holding) wantsReserve() bool {
	left := h.Owned.Sub(h.Demand.Planned)
	return !left.Covers(h.reserve().Divide(2))
}

// gangCanStart tells whether the gang that waits here could begin with what others would give up.
func (h *Holding) gangCanStart(self int, offers []Offer) bool {
	missing := h.missing(h.Demand.Gang)
	for _, offer := range offers {
		missing = missing.Sub(offer.availableTo(h.Demand.GangPriority, self, true))
	}
	return missing.NonNegative().IsZero()
}

// availableTo is what of an offer a region's work may have: of what a gang waits for there, only
// a gang that goes before it.
func (o Offer) availableTo(priority, region int, gang bool) amount.Amount {
	if o.Contested && !precedes(priority, region, gang, o.GangPriority, o.Region) {
		return amount.Amount{}
	}
	return o.Amount
}

// precedes tells whether a claim goes before a gang of another region: by priority, among
// gangs of the same priority by the regions' places in the file.
func precedes(priority, region int, gang bool, otherPriority, otherRegion int) bool {
	if priority != otherPriority {
		return priority > otherPriority
	}
	return gang && region < otherRegion
}

// Contested tells whether a gang waits here that could begin with what is free here and in
// other regions: what is free is kept for it.
func (h *Holding) Contested(self int, offers []Offer) bool {
	return h.hasGang() && h.gangCanStart(self, offers)
}

// Spare is what the region can offer to others.
func (h *Holding) Spare() amount.Amount { return h.free() }

// Claims divides what a region asks for among those that offer, the largest offer first, so
// that together they give what is needed and no more. offers and the result go by the same
// index. A gang that all offers together cannot serve asks for nothing: what it would
// collect is of no use to it.
func (h *Holding) Claims(self int, offers []Offer) []Claim {
	claims := make([]Claim, len(offers))
	gang, priority := h.Contested(self, offers), h.Demand.Priority
	need, reserve := h.missing(h.Demand.Shortfall), amount.Amount{}
	if gang {
		need, priority = h.missing(h.Demand.Gang), h.Demand.GangPriority
	} else if h.wantsReserve() {
		reserve = h.missing(h.Demand.Shortfall.Add(h.reserve())).Sub(need)
	}
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(offers[b].Amount.GPUs, offers[a].Amount.GPUs), cmp.Compare(offers[b].Amount.CPUs, offers[a].Amount.CPUs))
	})
	for _, i := range order {
		available := offers[i].availableTo(priority, self, gang)
		claim := Claim{Priority: priority, Gang: gang, Region: self}
		claim.Need = need.Min(available)
		claim.Reserve = reserve.Min(available.Sub(claim.Need)).WholeUnits()
		need, reserve = need.Sub(claim.Need), reserve.Sub(claim.Reserve)
		claims[i] = claim
	}
	return claims
}

// Grant is what the region gives up for a claim. What waits here is not in what is free but
// for a gang, which keeps what it can begin with from claims that do not go before it. The
// reserve of the one who asks comes after the region's own.
func (h *Holding) Grant(self int, claim Claim, offers []Offer) amount.Amount {
	if h.Contested(self, offers) && !precedes(claim.Priority, claim.Region, claim.Gang, h.Demand.GangPriority, self) {
		return amount.Amount{}
	}
	free := h.free()
	granted := claim.Need.Min(free)
	beyond := free.Sub(granted).Sub(h.reserve()).NonNegative()
	return granted.Add(claim.Reserve.Min(beyond).WholeUnits())
}
