package provisioning

import (
	"math"
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
)

// MaxMachinesPerRequest is how many machines one provisioning request may ask for.
const MaxMachinesPerRequest = cloudapi.MaxMachinesPerProvision

// slowStartLimit is how many machines may be requested of an offer that was refused lately. Each
// grant in full doubles the limit, up to a whole request; then it is lifted. Unlimited at once, a
// cheap offer that had no capacity got all pending tasks at each retry, and of the more expensive
// offers nothing was provisioned for minutes.
const slowStartLimit = MaxMachinesPerRequest / 6

// Unlimited is the availability of an offer that was not refused lately.
const Unlimited = math.MaxInt

// Availability is how many machines of each offer may be requested, as learned from the cloud's
// answers: none for a while after a refusal, then a few more with each grant.
type Availability struct {
	refusedUntil map[Offer]time.Duration
	slowStart    map[Offer]int // limits of offers that were refused lately
}

// NewAvailability makes an availability by which no offer was refused.
func NewAvailability() *Availability {
	return &Availability{refusedUntil: map[Offer]time.Duration{}, slowStart: map[Offer]int{}}
}

// Refuse records that the cloud has no capacity for an offer, which is not to be requested until a
// time.
func (a *Availability) Refuse(offer Offer, until time.Duration) {
	a.refusedUntil[offer] = until
	a.slowStart[offer] = slowStartLimit
}

// Grant records that a request for an offer was granted in full.
func (a *Availability) Grant(offer Offer) {
	limit, limited := a.slowStart[offer]
	switch {
	case !limited:
	case 2*limit > MaxMachinesPerRequest:
		delete(a.slowStart, offer)
	default:
		a.slowStart[offer] = 2 * limit
	}
}

// Refused reports whether an offer is not to be requested now.
func (a *Availability) Refused(offer Offer, now time.Duration) bool {
	return now < a.refusedUntil[offer]
}

// Machines is how many machines of an offer may be requested now, in addition to a number that is
// requested already.
func (a *Availability) Machines(offer Offer, now time.Duration, requested int) int {
	if a.Refused(offer, now) {
		return 0
	}
	limit, limited := a.slowStart[offer]
	if !limited {
		return Unlimited
	}
	return limit - requested
}
