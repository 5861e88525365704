package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Offer identifies what the cloud provisions: a machine type in a zone, as spot or on-demand
// machines.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferDetails are the capacity and the price of an offer's machines.
type OfferDetails struct {
	Offer
	Capacity topology.Resources
	Price    float64 // per machine and hour
	// Available is how many more machines may be requested; Unlimited if there is no limit.
	Available int
}

// reserve reduces Available by a machine that the plan provisions.
func (d *OfferDetails) reserve() {
	if d.Available != Unlimited {
		d.Available--
	}
}
