package core

import (
	"iter"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// machinePrice is the price of a machine, an hour.
func (l *leader) machinePrice(machine *cluster.Machine) float64 {
	return offerPrice(l.typeOf(machine), machine.Offer())
}

// offerPrice is the price of an offer's machines, an hour; 0 if their type is nil, that is, not
// known.
func offerPrice(machineType *wire.MachineType, offer provisioning.Offer) float64 {
	switch {
	case machineType == nil:
		return 0
	case offer.Spot:
		return machineType.SpotPrice
	default:
		return machineType.Price
	}
}

// offersOf is what the cloud offers of a machine type in zones that are not partitioned: by zone,
// spot machines first.
func (l *leader) offersOf(machineType *wire.MachineType) iter.Seq[provisioning.Offer] {
	return func(yield func(provisioning.Offer) bool) {
		for _, zone := range machineType.Zones {
			if l.zonePartitioned(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				if !yield(provisioning.Offer{Type: machineType.Name, Zone: zone, Spot: spot}) {
					return
				}
			}
		}
	}
}

// availableOffers lists the offers of which machines may be requested now, by type.
func (l *leader) availableOffers() []provisioning.OfferDetails {
	var available []provisioning.OfferDetails
	for _, name := range sortedKeys(l.core.machineTypes) {
		machineType := l.core.machineTypes[name]
		for offer := range l.offersOf(machineType) {
			machines := l.fleet.availability.AllowedMachines(offer, l.core.now, l.fleet.requests.RequestedMachines(offer))
			if machines <= 0 {
				continue
			}
			available = append(available, provisioning.OfferDetails{
				Offer:     offer,
				Capacity:  cluster.TypeCapacity(machineType),
				Price:     offerPrice(machineType, offer),
				Available: machines,
			})
		}
	}
	return available
}

// anyOfferFor reports whether the cloud may grant a machine for a job now.
func (l *leader) anyOfferFor(job *wire.Job) bool {
	for _, machineType := range l.core.machineTypes { // in any order: one is enough
		if !cluster.TypeCapacity(machineType).Holds(cluster.TaskSize(job)) {
			continue
		}
		for offer := range l.offersOf(machineType) {
			if eligible(job, offer.Type, offer.Zone, offer.Spot) && !l.fleet.availability.InBackoff(offer, l.core.now) {
				return true
			}
		}
	}
	return false
}

// zonePartitioned reports whether a zone is, or was a moment ago, partitioned from this controller:
// a machine that is provisioned there is of no use before the partition ends.
func (l *leader) zonePartitioned(zone string) bool {
	at, ok := l.fleet.partitionedAt[zone]
	return ok && l.core.now-at < l.core.heartbeatInterval()
}

// backOffOffer records that the cloud has no more machines of an offer. The next plan takes
// another one.
func (l *leader) backOffOffer(offer provisioning.Offer, backoff time.Duration) {
	l.fleet.availability.RecordRefusal(offer, l.core.now+backoff)
	l.fleet.requests.DropOffer(offer)
	l.passes.requested = true
}
