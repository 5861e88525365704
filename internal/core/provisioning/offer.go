package provisioning

import "github.com/brookwalk/brookwalk/internal/core/topology"

// Offer names what the cloud provisions: a machine type in a zone, as a spot machine or not.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// OfferDetails are the capacity and the price of an offer's machines.
type OfferDetails struct {
	Offer
	Capacity topology.Resources
	Price    float64 // an hour
	// Available is how many machines may be requested in addition to those requested already.
	Available int
}

// reserve counts a machine that the plan wants.
func (d *OfferDetails) reserve() {
	if d.Available != Unlimited {
		d.Available--
	}
}
