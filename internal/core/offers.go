package core

import (
	"iter"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/wire"
)

// machinePrice returns the hourly price of a machine.
func (l *leader) machinePrice(machine *cluster.Machine) float64 {
	return offerPrice(l.typeOf(machine), machine.Offer())
}

// offerPrice returns the hourly price of an offer's machines, of the given type; 0 if the type is
// nil because it is not known.
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

// offersOf returns the offers for a machine type in the zones that are not partitioned, zone by
// zone, spot machines first.
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

// availableOffers returns the offers of which machines may be requested now, ordered by type.
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

// anyOfferFor reports whether any offer of a machine for a job is not in backoff.
func (l *leader) anyOfferFor(job *wire.Job) bool {
	for _, machineType := range l.core.machineTypes { // map order has no effect: one is enough
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

// zonePartitioned reports whether a zone was partitioned from this controller within the last
// heartbeat interval. A machine provisioned there would be of no use until the partition ends.
func (l *leader) zonePartitioned(zone string) bool {
	at, ok := l.fleet.partitionedAt[zone]
	return ok && l.core.now-at < l.core.heartbeatInterval()
}

// backOffOffer records that the cloud has refused an offer, and requests a pass whose plan uses
// other offers.
func (l *leader) backOffOffer(offer provisioning.Offer, backoff time.Duration) {
	l.fleet.availability.RecordRefusal(offer, l.core.now+backoff)
	l.fleet.requests.DropOffer(offer)
	l.passes.requested = true
}
