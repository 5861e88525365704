// Package balance decides how regions divide a team's limit by demand: what a region claims from
// the others, and what it grants for their claims. It is arithmetic on amounts, without state, I/O
// or a clock. Package quota calls it with data from the ledger, the leader and the other regions.
package balance

import (
	"cmp"
	"slices"

	"github.com/brookwalk/brookwalk/internal/quota/amount"
)

// reserveDivisor sets a region's reserve: beyond its planned use it claims this fraction of that
// use, so that the next task can start without waiting for a transfer. Reserves are transferred in
// whole CPUs and GPUs only: fractions moved back and forth in hundreds of transfers per second.
const reserveDivisor = 8

// Demand is a region's use of a team's share and the work that waits for more of it.
type Demand struct {
	// Planned is used by tasks whose termination is not confirmed, or reserved for tasks that
	// have a machine or wait for one.
	Planned amount.Amount
	// Shortfall is what single tasks need that wait for nothing but the share, and Priority is
	// the highest priority among them.
	Shortfall amount.Amount
	Priority  int
	// Gang is the total need of the first gang that waits for the share, and GangPriority is
	// its priority.
	Gang         amount.Amount
	GangPriority int
}

// Holding is a region's share of a team's limit and its demand.
type Holding struct {
	Owned, Guarantee amount.Amount
	Demand           Demand
	// RecentlyCredited was received from other regions so recently that Demand may not include
	// its use yet.
	RecentlyCredited amount.Amount
}

// Claim is a region's request for a part of another region's share.
type Claim struct {
	Need     amount.Amount // for work that waits
	Reserve  amount.Amount // requested beyond the need, to keep a reserve
	Priority int           // of the work
	Gang     bool          // the work is a gang, which can use the need only as a whole
	Region   int           // position of the claiming region in the regions file
}

// Offer is what another region can spare of its share.
type Offer struct {
	Region       int // position of the offering region in the regions file
	Amount       amount.Amount
	Contested    bool // a gang in the offering region waits for the amount
	GangPriority int  // of that gang
}

// contender is work that competes with a gang of another region for the same amount.
type contender struct {
	priority int
	region   int
	gang     bool
}

// precedes reports whether the work is served before a gang: by priority, and among gangs of the
// same priority by the positions of their regions in the regions file.
func (c contender) precedes(gang contender) bool {
	if c.priority != gang.priority {
		return c.priority > gang.priority
	}
	return c.gang && c.region < gang.region
}

// availableTo is the amount of the offer that is available to work of another region: all of it, or
// nothing if a gang in the offering region waits for it and the work does not precede that gang.
func (o Offer) availableTo(work contender) amount.Amount {
	if o.Contested && !work.precedes(contender{priority: o.GangPriority, region: o.Region, gang: true}) {
		return amount.Amount{}
	}
	return o.Amount
}

// missing is what the region needs beyond its share to run more work.
func (h *Holding) missing(work amount.Amount) amount.Amount {
	return h.Demand.Planned.Add(work).Sub(h.Owned).NonNegative()
}

// reserve is what the region tries to own beyond its planned use.
func (h *Holding) reserve() amount.Amount { return h.Demand.Planned.Divide(reserveDivisor) }

// Spare is what the region can offer to others: the part of its share above the guarantee that is
// neither planned nor recently credited.
func (h *Holding) Spare() amount.Amount {
	used := h.Demand.Planned.Add(h.RecentlyCredited)
	return h.Owned.Sub(h.Guarantee.Max(used)).NonNegative()
}

// needsReserve reports whether less than half of the reserve is left for any resource.
func (h *Holding) needsReserve() bool {
	left := h.Owned.Sub(h.Demand.Planned)
	return !left.Covers(h.reserve().Divide(2))
}

// gang is the gang that waits in the region, which is at a position in the regions file.
func (h *Holding) gang(region int) contender {
	return contender{priority: h.Demand.GangPriority, region: region, gang: true}
}

// Contested reports whether a gang waits in the region, at a position in the regions file, that can
// start with the unplanned part of the region's share and the offers that are available to it. What
// the region can spare is then kept for the gang.
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

// Claims divides what a region, at a position in the regions file, requests among the offers of
// other regions, the largest offer first, so that their grants add up to what is needed and no
// more. The result has the claim for each offer at the offer's index. Nothing is claimed for a gang
// that all offers together cannot satisfy, since it has no use for a part of its need.
func (h *Holding) Claims(region int, offers []Offer) []Claim {
	work := contender{priority: h.Demand.Priority, region: region}
	need, reserve := h.missing(h.Demand.Shortfall), amount.Amount{}
	if h.Contested(region, offers) {
		work = h.gang(region)
		need = h.missing(h.Demand.Gang)
	} else if h.needsReserve() {
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

// largestFirst lists the indexes of offers in descending order of GPUs, then of CPUs.
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

// Grant is what the region, at a position in the regions file, transfers for a claim. Single tasks
// that wait in the region do not reduce what it can spare. If a gang that can start waits in it,
// nothing is transferred unless the claim precedes that gang. A reserve is granted only from what
// exceeds the region's own reserve.
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
