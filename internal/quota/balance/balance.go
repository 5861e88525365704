// Package balance decides how regions share a team's limit: what a region claims from the others,
// and what it grants for their claims. It is arithmetic on amounts, without state, I/O or time.
// Package quota calls it with what the ledger, the leader and the other regions say.
package balance

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// reserveDivisor is the part of its use that a region would like to own beyond it, so that the
// next task does not wait for a transfer. The reserve moves in whole CPUs and GPUs: parts of them
// went back and forth in hundreds of transfers a second.
const reserveDivisor = 8

// Demand is what a region does with a team's share.
type Demand struct {
	// Planned is used by tasks that have not certainly terminated, or reserved for tasks that
	// have a machine or wait for one.
	Planned amount.Amount
	// Shortfall is what further single tasks need that wait only for the share, and Priority
	// the highest priority among them.
	Shortfall amount.Amount
	Priority  int
	// Gang is what the first gang that waits for the share needs as a whole, and GangPriority
	// its priority.
	Gang         amount.Amount
	GangPriority int
}

// Holding is a region's share of a team and what it does with it.
type Holding struct {
	Owned, Guarantee amount.Amount
	Demand           Demand
	// RecentlyCredited came from other regions too recently for Demand to include its use.
	RecentlyCredited amount.Amount
}

// Claim is what a region asks another one for.
type Claim struct {
	Need     amount.Amount // for work that waits
	Reserve  amount.Amount // wished for beside the need
	Priority int
	Gang     bool // the need is of use only as a whole
	Region   int  // position of the claiming region in the regions file
}

// Offer is what another region could spare.
type Offer struct {
	Region       int // position in the regions file
	Amount       amount.Amount
	Contested    bool // a gang waits for it there
	GangPriority int
}

// contender is work that competes with a gang of another region for the same amount.
type contender struct {
	priority int
	region   int
	gang     bool
}

// precedes reports whether the work goes before a gang: by priority, and among gangs of the same
// priority by the regions' positions in the file.
func (c contender) precedes(gang contender) bool {
	if c.priority != gang.priority {
		return c.priority > gang.priority
	}
	return c.gang && c.region < gang.region
}

// availableTo is the part of an offer that work may have: what a gang waits for goes only to a
// gang that precedes it.
func (o Offer) availableTo(work contender) amount.Amount {
	if o.Contested && !work.precedes(contender{priority: o.GangPriority, region: o.Region, gang: true}) {
		return amount.Amount{}
	}
	return o.Amount
}

// missing is what the region lacks for more work.
func (h *Holding) missing(work amount.Amount) amount.Amount {
	return h.Demand.Planned.Add(work).Sub(h.Owned).NonNegative()
}

// reserve is what the region would like to own beyond what is planned.
func (h *Holding) reserve() amount.Amount { return h.Demand.Planned.Divide(reserveDivisor) }

// Spare is what the region can offer to others: what nothing uses or is about to use, above the
// guarantee.
func (h *Holding) Spare() amount.Amount {
	used := h.Demand.Planned.Add(h.RecentlyCredited)
	return h.Owned.Sub(h.Guarantee.Max(used)).NonNegative()
}

// wantsReserve reports whether less than half of the reserve is left.
func (h *Holding) wantsReserve() bool {
	left := h.Owned.Sub(h.Demand.Planned)
	return !left.Covers(h.reserve().Divide(2))
}

// gang is the gang that waits in the region at a position in the file.
func (h *Holding) gang(region int) contender {
	return contender{priority: h.Demand.GangPriority, region: region, gang: true}
}

// Contested reports whether a gang waits in the region, at a position in the file, that could
// start with what is spare there and in other regions: what is spare is then kept for it.
func (h *Holding) Contested(region int, offers []Offer) bool {
	if h.Demand.Gang.IsZero() {
		return false
	}
	missing := h.missing(h.Demand.Gang)
	for _, offer := range offers {
		missing = missing.Sub(offer.availableTo(h.gang(region)))
	}
	return missing.NonNegative().IsZero()
}

// Claims divides what a region, at a position in the file, asks for among those that offer, the
// largest offer first, so that together they grant what is needed and no more. The result has the
// claim for each offer at the offer's index. For a gang that all offers together cannot serve
// nothing is claimed: what it would collect is of no use to it.
func (h *Holding) Claims(region int, offers []Offer) []Claim {
	work := contender{priority: h.Demand.Priority, region: region}
	need, reserve := h.missing(h.Demand.Shortfall), amount.Amount{}
	if h.Contested(region, offers) {
		work = h.gang(region)
		need = h.missing(h.Demand.Gang)
	} else if h.wantsReserve() {
		reserve = h.missing(h.Demand.Shortfall.Add(h.reserve())).Sub(need)
	}
	claims := make([]Claim, len(offers))
	for _, i := range largestFirst(offers) {
		available := offers[i].availableTo(work)
		claim := Claim{Priority: work.priority, Gang: work.gang, Region: region}
		claim.Need = need.Min(available)
		claim.Reserve = reserve.Min(available.Sub(claim.Need)).WholeUnits()
		need, reserve = need.Sub(claim.Need), reserve.Sub(claim.Reserve)
		claims[i] = claim
	}
	return claims
}

// largestFirst lists the indexes of offers by their GPUs, then their CPUs.
func largestFirst(offers []Offer) []int {
	order := make([]int, len(offers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := offers[a].Amount, offers[b].Amount
		return cmp.Or(cmp.Compare(y.GPUs, x.GPUs), cmp.Compare(y.CPUs, x.CPUs))
	})
	return order
}

// Grant is what the region, at a position in the file, transfers for a claim. Work that waits here
// does not reduce what is spare, except a gang that can start: then nothing is transferred unless
// the claim precedes it. The claimant's reserve comes after the region's own.
func (h *Holding) Grant(region int, claim Claim, offers []Offer) amount.Amount {
	claimant := contender{priority: claim.Priority, region: claim.Region, gang: claim.Gang}
	if h.Contested(region, offers) && !claimant.precedes(h.gang(region)) {
		return amount.Amount{}
	}
	spare := h.Spare()
	granted := claim.Need.Min(spare)
	beyond := spare.Sub(granted).Sub(h.reserve()).NonNegative()
	return granted.Add(claim.Reserve.Min(beyond).WholeUnits())
}
