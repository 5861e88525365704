package provisioning

import (
	"slices"
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// MaxOpenRequests is how many provisioning requests may be without an answer.
const MaxOpenRequests = 4

// A Request is a provisioning request without an answer. It is idempotent: repeated under its ID
// until it is answered, it provisions machines once.
type Request struct {
	wire.ProvisionRequest
	Purpose  string        // of the first machine
	InFlight bool          // it was sent and may still be answered
	RetryAt  time.Duration // it is not sent again before
}

// Offer is what the request asks for.
func (r *Request) Offer() Offer { return Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot} }

// Queue turns shortfalls into provisioning requests at the pace that the cloud's rate allows.
// Shortfalls accumulate between two requests, instead of being requested machine by machine.
type Queue struct {
	idPrefix   string
	interval   time.Duration
	shortfalls []Shortfall // of the last plan, not requested yet
	open       []*Request  // replaced and never changed in place
	nextAt     time.Duration
	sequence   int
}

// NewQueue makes an empty queue for a leader's term, with an interval between two requests.
func NewQueue(term uint64, interval time.Duration) *Queue {
	return &Queue{idPrefix: "r-" + strconv.FormatUint(term, 10) + "-", interval: interval}
}

// Replace replaces the shortfalls by those of a new plan, the most urgent first.
func (q *Queue) Replace(shortfalls []Shortfall) { q.shortfalls = slices.Clone(shortfalls) }

// Drop forgets the shortfalls of an offer without capacity: the next plan takes another one.
func (q *Queue) Drop(offer Offer) {
	q.shortfalls = slices.DeleteFunc(q.shortfalls, func(s Shortfall) bool { return s.Offer == offer })
}

// Waiting reports whether shortfalls are not requested yet.
func (q *Queue) Waiting() bool { return len(q.shortfalls) > 0 }

// Next opens the request for the most urgent shortfall; nil if there is none or it is too early.
func (q *Queue) Next(now time.Duration) *Request {
	if len(q.shortfalls) == 0 || now < q.nextAt || len(q.open) >= MaxOpenRequests {
		return nil
	}
	q.nextAt = now + q.interval
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

// Open lists the requests without an answer.
func (q *Queue) Open() []*Request { return q.open }

// Requested counts the machines of an offer in open requests.
func (q *Queue) Requested(offer Offer) int {
	count := 0
	for _, request := range q.open {
		if request.Offer() == offer {
			count += request.Count
		}
	}
	return count
}

// Close forgets a request that was answered.
func (q *Queue) Close(request *Request) {
	q.open = slices.DeleteFunc(slices.Clone(q.open), func(other *Request) bool { return other == request })
}
