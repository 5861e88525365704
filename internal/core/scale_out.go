package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// scaleOut is the state of provisioning. This file, scale_out_plan.go and offers.go change it.
type scaleOut struct {
	requests        *provisioning.Queue
	availability    *provisioning.Availability
	plannedMachines map[string]bool   // machines used by the last plan, which are not returned as idle
	loggedPurposes  map[string]string // by name of the empty machines that are kept; last logged purpose
}

// Intervals of provisioning, as numbers of calls that the cloud's rate limit allows in that time.
const (
	requestIntervalCalls = 2  // between two new requests; the remaining calls are for retries and other purposes
	offerBackoffCalls    = 48 // before a refused offer is requested again; keeps all offers well below the rate limit
)

// cloudCallDuration returns how long a number of calls takes at the cloud's rate limit.
func cloudCallDuration(deployment *config.Deployment, calls float64) time.Duration {
	return time.Duration(calls / deployment.Cloud.RPS * float64(time.Second))
}

// offerBackoff returns how long an offer is not requested after the cloud had no capacity for it.
func (l *leader) offerBackoff() time.Duration {
	return cloudCallDuration(&l.core.settings.Deployment, offerBackoffCalls)
}

// malformedBackoffFactor multiplies the backoff after a request that was rejected as malformed.
const malformedBackoffFactor = 10

// requestShortfalls requests the machines that a plan needs, within the cloud's rate limit. The
// rest is requested at the next tick or by the next plan.
func (l *leader) requestShortfalls(shortfalls []provisioning.Shortfall) {
	l.fleet.requests.Replace(shortfalls)
	l.sendProvisioningRequests()
	if l.fleet.requests.HasShortfalls() {
		l.passes.requested = true
	}
}

// sendProvisioningRequests sends the provisioning requests that the cloud's rate limit allows now.
// It is also called between plans: the plans of a large fleet are so far apart that one request per
// plan would leave most of the rate unused.
func (l *leader) sendProvisioningRequests() {
	for {
		request := l.fleet.requests.Next(l.core.now)
		if request == nil {
			return
		}
		l.core.log.Info("provisioning requested", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
			"count", request.Count, "purpose", request.Purpose)
		l.sendProvisioningRequest(request)
	}
}

// retryProvisioningRequests resends the requests whose last call failed.
func (l *leader) retryProvisioningRequests() {
	for _, request := range l.fleet.requests.OpenRequests() {
		if !request.InFlight && l.core.now >= request.RetryAt {
			l.sendProvisioningRequest(request)
		}
	}
}

// sendProvisioningRequest sends one provisioning request.
func (l *leader) sendProvisioningRequest(request *provisioning.Request) {
	request.InFlight = true
	requestedAt := l.core.now
	l.core.cloud.Provision(request.ProvisionRequest, func(result cloudapi.ProvisionResult) {
		request.InFlight = false
		if l.steppedDown {
			return
		}
		l.onProvisionResult(request, requestedAt, result)
	})
}

// onProvisionResult closes a request that the cloud has decided on and applies the result. A
// request that failed is retried later. An offer without capacity is not requested during a
// backoff.
func (l *leader) onProvisionResult(request *provisioning.Request, requestedAt time.Duration, result cloudapi.ProvisionResult) {
	offer := request.Offer()
	switch result.Status {
	case cloudapi.Done:
		l.fleet.requests.Close(request)
		l.recordProvisioned(request, requestedAt, result)
	case cloudapi.NoCapacity:
		l.fleet.requests.Close(request)
		l.core.log.Debug("provisioning refused: no capacity", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot)
		l.backOffOffer(offer, l.offerBackoff())
	case cloudapi.Rejected:
		l.fleet.requests.Close(request)
		l.core.log.Error("provisioning request rejected as malformed", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot)
		l.backOffOffer(offer, malformedBackoffFactor*l.offerBackoff())
	case cloudapi.Unanswered, cloudapi.Throttled, cloudapi.Unavailable, cloudapi.Failed:
		request.RetryAt = l.core.now + cloudRetryDelay
	}
}

// recordProvisioned adds the machines provisioned by a request. If there are fewer than requested,
// the offer has no more capacity.
func (l *leader) recordProvisioned(request *provisioning.Request, requestedAt time.Duration, result cloudapi.ProvisionResult) {
	offer := request.Offer()
	if result.DecodeError != nil {
		// The machines exist; the inventory will find them in the cloud's list.
		l.core.log.Warn("cannot decode provisioning response", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot,
			"error", result.DecodeError)
	}
	l.core.log.Info("machines provisioned", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot,
		"requested", request.Count, "granted", len(result.Machines))
	for _, name := range result.Machines {
		l.addProvisioned(name, offer, requestedAt)
	}
	if len(result.Machines) < request.Count {
		l.backOffOffer(offer, l.offerBackoff())
	} else {
		l.fleet.availability.RecordFullGrant(offer)
	}
	l.passes.requested = true
}

// addProvisioned adds a provisioned machine, unless it was already returned: a retried request gets
// the same machines again, and some of them may have been returned since.
func (l *leader) addProvisioned(name string, offer provisioning.Offer, requestedAt time.Duration) {
	if _, returned := l.returnedMachines[name]; returned {
		return
	}
	machine := l.getOrAddMachine(name)
	if !machine.Described {
		l.describe(machine, "", offer.Type, offer.Zone, offer.Spot)
	}
	machine.CreatedAt, machine.ProvisionRequestedAt = requestedAt, requestedAt
}
