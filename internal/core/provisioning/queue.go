package provisioning

import (
	"slices"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// MaxOpenRequests is the maximum number of provisioning requests without an answer.
const MaxOpenRequests = 4

// A Request is a provisioning request without an answer. It is idempotent: it is retried with the
// same ID until it is answered and provisions machines only once.
type Request struct {
	wire.ProvisionRequest
	Purpose  string        // that of the first machine, for log lines
	InFlight bool          // a call that sent it has not completed
	RetryAt  time.Duration // earliest time of the next retry
}

// Offer returns the requested offer.
func (r *Request) Offer() Offer { return Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot} }

// Queue turns shortfalls into provisioning requests within the cloud's rate limit. Shortfalls
// accumulate between two requests, so that machines are requested in batches instead of one by one.
type Queue struct {
	idPrefix      string
	interval      time.Duration
	shortfalls    []Shortfall // of the last plan, not yet requested
	open          []*Request  // never modified in place: a loop over OpenRequests may close some
	nextRequestAt time.Duration
	sequence      int
}

// NewQueue returns an empty queue for a leader's term, with a minimum interval between requests.
func NewQueue(term uint64, interval time.Duration) *Queue {
	return &Queue{idPrefix: "r-" + strconv.FormatUint(term, 10) + "-", interval: interval}
}

// Replace replaces the shortfalls with those of a new plan, which are ordered most urgent first.
func (q *Queue) Replace(shortfalls []Shortfall) { q.shortfalls = slices.Clone(shortfalls) }

// DropOffer removes the shortfalls of a refused offer. The next plan uses other offers.
func (q *Queue) DropOffer(offer Offer) {
	q.shortfalls = slices.DeleteFunc(q.shortfalls, func(s Shortfall) bool { return s.Offer == offer })
}

// HasShortfalls reports whether any shortfall has not been requested yet.
func (q *Queue) HasShortfalls() bool { return len(q.shortfalls) > 0 }

// Next opens and returns the request for the most urgent shortfall; nil if there is no shortfall,
// the interval has not passed or MaxOpenRequests are open.
func (q *Queue) Next(now time.Duration) *Request {
	if len(q.shortfalls) == 0 || now < q.nextRequestAt || len(q.open) >= MaxOpenRequests {
		return nil
	}
	q.nextRequestAt = now + q.interval
	q.sequence++
	shortfall := &q.shortfalls[0]
	request := &Request{
		ProvisionRequest: wire.ProvisionRequest{
			ID:    q.idPrefix + strconv.Itoa(q.sequence),
			Type:  shortfall.Offer.Type,
			Zone:  shortfall.Offer.Zone,
			Spot:  shortfall.Offer.Spot,
			Count: min(shortfall.Count, MaxMachinesPerRequest),
		},
		Purpose: shortfall.Purpose,
	}
	q.open = append(q.open, request)
	shortfall.Count -= request.Count
	if shortfall.Count == 0 {
		q.shortfalls = q.shortfalls[1:]
	}
	return request
}

// OpenRequests returns the requests without an answer.
func (q *Queue) OpenRequests() []*Request { return q.open }

// RequestedMachines returns the number of machines of an offer in open requests.
func (q *Queue) RequestedMachines(offer Offer) int {
	count := 0
	for _, request := range q.open {
		if request.Offer() == offer {
			count += request.Count
		}
	}
	return count
}

// Close removes a request that has been answered.
func (q *Queue) Close(request *Request) {
	q.open = slices.DeleteFunc(slices.Clone(q.open), func(other *Request) bool { return other == request })
}
