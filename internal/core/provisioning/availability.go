package provisioning

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
)

// MaxMachinesPerRequest is how many machines one provisioning request may ask for.
const MaxMachinesPerRequest = cloudapi.MaxMachinesPerProvision

// initialSlowStartLimit is how many machines of an offer may be requested after a refusal. Each full
// grant doubles the limit, which is lifted once it would exceed the size of one request. Without
// slow start, a cheap offer without capacity was planned for all pending tasks at every retry, and
// nothing was provisioned from the more expensive offers for minutes.
const initialSlowStartLimit = MaxMachinesPerRequest / 6

// Unlimited is the availability of an offer without a backoff or a slow-start limit.
const Unlimited = math.MaxInt

// Availability tracks how many machines of each offer may be requested, based on the cloud's
// answers: none during the backoff after a refusal, then up to a slow-start limit that doubles with
// each full grant.
type Availability struct {
	backoffUntil    map[Offer]time.Duration
	slowStartLimits map[Offer]int // limits after refusals; no entry if unlimited
}

// NewAvailability returns an Availability in which all offers are unlimited.
func NewAvailability() *Availability {
	return &Availability{backoffUntil: map[Offer]time.Duration{}, slowStartLimits: map[Offer]int{}}
}

// RecordRefusal records that the cloud has refused an offer, which must not be requested again before
// the time until.
func (a *Availability) RecordRefusal(offer Offer, until time.Duration) {
	a.backoffUntil[offer] = until
	a.slowStartLimits[offer] = initialSlowStartLimit
}

// RecordFullGrant records that a request for an offer was granted in full.
func (a *Availability) RecordFullGrant(offer Offer) {
	limit, limited := a.slowStartLimits[offer]
	switch {
	case !limited:
	case 2*limit > MaxMachinesPerRequest:
		delete(a.slowStartLimits, offer)
	default:
		a.slowStartLimits[offer] = 2 * limit
	}
}

// InBackoff reports whether an offer is in the backoff after a refusal.
func (a *Availability) InBackoff(offer Offer, now time.Duration) bool {
	return now < a.backoffUntil[offer]
}

// AllowedMachines returns how many machines of an offer may be requested now, in addition to those
// requested already. It is negative if more than the limit are requested.
func (a *Availability) AllowedMachines(offer Offer, now time.Duration, requested int) int {
	if a.InBackoff(offer, now) {
		return 0
	}
	limit, limited := a.slowStartLimits[offer]
	if !limited {
		return Unlimited
	}
	return limit - requested
}
