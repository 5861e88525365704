package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/cluster"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// scaleOutRequest is a rental request without an answer so far. It is repeated under its
// name until it is answered, so it never rents twice.
type scaleOutRequest struct {
	message  wire.ProvisionRequest
	inFlight bool
	retryAt  time.Duration
}

// offer is what is asked for.
func (r *scaleOutRequest) offer() provisioning.Offer {
	return provisioning.Offer{Type: r.message.Type, Zone: r.message.Zone, Spot: r.message.Spot}
}

// machinePrice is the hourly price of a machine.
func (l *leader) machinePrice(m *cluster.Machine) float64 { return hourlyPrice(l.typeOf(m), m.Spot) }

// hourlyPrice is the hourly price of a type of machine, which may be unknown.
func hourlyPrice(t *wire.MachineType, spot bool) float64 {
	if t == nil {
		return 0
	}
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// availableOffers lists what the cloud may grant now, by type, zone and kind: not what it refused
// a moment ago, and of what it refused lately only some machines.
func (l *leader) availableOffers() []provisioning.OfferDetails {
	var out []provisioning.OfferDetails
	for _, name := range sortedKeys(l.core.machineTypes) {
		t := l.core.machineTypes[name]
		for _, zone := range t.Zones {
			if l.zonePartitioned(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := provisioning.Offer{Type: name, Zone: zone, Spot: spot}
				if limit := l.offerAvailability(o); limit > 0 {
					out = append(out, provisioning.OfferDetails{Offer: o, Capacity: cluster.TypeCapacity(t), Price: hourlyPrice(t, spot), Available: limit})
				}
			}
		}
	}
	return out
}

// anyOfferFor tells whether the cloud may grant a machine for a job now.
func (l *leader) anyOfferFor(j *wire.Job) bool {
	for name, t := range l.core.machineTypes { // in any order: it is enough that there is one
		if !cluster.TypeCapacity(t).Holds(cluster.TaskSize(j)) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if eligible(j, name, zone, spot) && !l.zonePartitioned(zone) && l.core.now >= l.fleet.refusedUntil[provisioning.Offer{Type: name, Zone: zone, Spot: spot}] {
					return true
				}
			}
		}
	}
	return false
}

// slowStartLimit is how many machines are counted on of an offer that was refused lately.
// Each grant in full doubles it, up to a whole request; then the offer counts without
// bound again. Counted on without bound at once, a cheap offer that was out of
// machines took all waiting tasks at each try, and of the dearer ones nothing was
// rented for minutes.
const slowStartLimit = maxMachinesPerRequest / 6

// offerAvailability is how many machines of an offer may be counted on beside those asked for.
func (l *leader) offerAvailability(o provisioning.Offer) int {
	if l.core.now < l.fleet.refusedUntil[o] {
		return 0
	}
	limit, bounded := l.fleet.slowStartLimits[o]
	if !bounded {
		return provisioning.Unlimited
	}
	for _, r := range l.fleet.scaleOuts {
		if r.offer() == o {
			limit -= r.message.Count
		}
	}
	return limit
}

// backOffOffer notes that the cloud has no more machines of an offer for now.
func (l *leader) backOffOffer(o provisioning.Offer, duration time.Duration) {
	l.fleet.refusedUntil[o] = l.core.now + duration
	l.fleet.slowStartLimits[o] = slowStartLimit
	l.dropShortfalls(o)
	l.passes.requested = true
}

// recordGrant notes that a request was granted in full.
func (l *leader) recordGrant(o provisioning.Offer) {
	limit, bounded := l.fleet.slowStartLimits[o]
	switch {
	case !bounded:
	case 2*limit > maxMachinesPerRequest:
		delete(l.fleet.slowStartLimits, o)
	default:
		l.fleet.slowStartLimits[o] = 2 * limit
	}
}

// zonePartitioned tells whether a zone is, or was a moment ago, out of reach: what is
// rented there is of no use before it is back.
func (l *leader) zonePartitioned(zone string) bool {
	at, ok := l.fleet.partitionedAt[zone]
	return ok && l.core.now-at < l.core.heartbeatInterval()
}

const (
	cloudTimeout    = 4 * time.Second // of a call to the cloud
	cloudRetryDelay = time.Second     // between a call that failed and the next one
)

// cloudErrorNoCapacity is the cloud's error for an offer that it has no machine of.
const cloudErrorNoCapacity = "no capacity"

// sendScaleOut sends a rental request; a shortage closes the offer for a while.
func (l *leader) sendScaleOut(request *scaleOutRequest) {
	request.inFlight = true
	asked := l.core.now
	l.core.call(Call{Destination: DestinationCloud, Method: "POST", Path: "/machines", Body: kv.Encode(request.message), Timeout: cloudTimeout}, func(res Result) {
		request.inFlight = false
		if l.steppedDown {
			return
		}
		o := request.offer()
		switch {
		case res.Status == 200:
			l.dropScaleOut(request)
			l.recordGranted(request, asked, res.Body)
		case res.Status == 503 && parseCloudError(res.Body) == cloudErrorNoCapacity:
			l.dropScaleOut(request)
			l.core.log.Debug("no capacity", "type", o.Type, "zone", o.Zone, "spot", o.Spot)
			l.backOffOffer(o, l.offerBackoff())
		case res.Status == 400:
			l.dropScaleOut(request)
			l.core.log.Error("rental refused as malformed", "type", o.Type, "zone", o.Zone)
			l.backOffOffer(o, 10*l.offerBackoff())
		default:
			request.retryAt = l.core.now + cloudRetryDelay
		}
	})
}

// dropScaleOut forgets a rental request that is answered.
func (l *leader) dropScaleOut(request *scaleOutRequest) {
	l.fleet.scaleOuts = slices.DeleteFunc(slices.Clone(l.fleet.scaleOuts), func(o *scaleOutRequest) bool { return o == request })
}

// recordGranted takes in the machines that a request made at a time has rented.
func (l *leader) recordGranted(request *scaleOutRequest, requestedAt time.Duration, body []byte) {
	var names wire.MachineNames
	json.Unmarshal(body, &names)
	offer := request.offer()
	l.core.log.Info("rented", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "asked", request.message.Count, "got", len(names.Machines))
	for _, name := range names.Machines {
		if _, ok := l.returnedMachines[name]; ok {
			continue
		}
		m := l.machineNamed(name)
		if !m.Described {
			l.describe(m, "", offer.Type, offer.Zone, offer.Spot)
		}
		m.CreatedAt, m.ProvisionRequestedAt = requestedAt, requestedAt
	}
	if len(names.Machines) < request.message.Count {
		l.backOffOffer(offer, l.offerBackoff())
	} else {
		l.recordGrant(offer)
	}
	l.passes.requested = true
}

// parseCloudError is the error that an answer of the cloud names.
func parseCloudError(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	json.Unmarshal(body, &e)
	return e.Error
}

// offerBackoff is how long an offer without capacity is not asked again: long
// enough that all offers together stay well under the cloud's rate.
func (l *leader) offerBackoff() time.Duration {
	return time.Duration(48 / l.core.settings.Deployment.Cloud.RPS * float64(time.Second))
}
