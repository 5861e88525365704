package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core/provisioning"
)

// scaleOut is the state of provisioning machines. This file and scale_out_plan.go change it.
type scaleOut struct {
	requests     *provisioning.Queue
	availability *provisioning.Availability
	keptIdle     map[string]bool   // machines that the last plan uses: they are not returned as idle
	keptPurpose  map[string]string // for what empty machines are kept, as it was logged
}

// Paces of provisioning, in calls that the cloud's rate allows meanwhile.
const (
	scaleOutIntervalCalls = 2  // between two new requests: the rest is left to retries and other calls
	offerBackoffCalls     = 48 // before an offer without capacity is requested again: all offers together stay well below the rate
)

// cloudCalls is how long a number of calls takes at the cloud's rate.
func cloudCalls(deployment *config.Deployment, calls float64) time.Duration {
	return time.Duration(calls / deployment.Cloud.RPS * float64(time.Second))
}

// offerBackoff is how long an offer without capacity is not requested again.
func (l *leader) offerBackoff() time.Duration {
	return cloudCalls(&l.core.settings.Deployment, offerBackoffCalls)
}

// malformedBackoffFactor is by how much longer the backoff is after a request that was rejected as
// malformed.
const malformedBackoffFactor = 10

// requestShortfalls requests what a plan lacks, as far as the cloud's rate allows; the rest waits
// for the next tick or the next plan.
func (l *leader) requestShortfalls(shortfalls []provisioning.Shortfall) {
	l.fleet.requests.Replace(shortfalls)
	l.sendScaleOuts()
	if l.fleet.requests.HasShortfalls() {
		l.passes.requested = true
	}
}

// sendScaleOuts sends the provisioning requests that the cloud's rate allows now. It is called
// between plans too: those of a large fleet are too far apart for one request each.
func (l *leader) sendScaleOuts() {
	for {
		request := l.fleet.requests.Next(l.core.now)
		if request == nil {
			return
		}
		l.core.log.Info("provisioning requested", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
			"count", request.Count, "purpose", request.Purpose)
		l.sendScaleOut(request)
	}
}

// retryScaleOuts repeats requests whose last call failed.
func (l *leader) retryScaleOuts() {
	for _, request := range l.fleet.requests.OpenRequests() {
		if !request.InFlight && l.core.now >= request.RetryAt {
			l.sendScaleOut(request)
		}
	}
}

// sendScaleOut sends a provisioning request.
func (l *leader) sendScaleOut(request *provisioning.Request) {
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

// onProvisionResult closes a request that was answered and applies the answer; after a failure the
// request is repeated. An offer without capacity backs off.
func (l *leader) onProvisionResult(request *provisioning.Request, requestedAt time.Duration, result cloudapi.ProvisionResult) {
	offer := request.Offer()
	switch result.Status {
	case cloudapi.Done:
		l.fleet.requests.Close(request)
		l.recordProvisioned(request, requestedAt, result)
	case cloudapi.NoCapacity:
		l.fleet.requests.Close(request)
		l.core.log.Debug("no capacity", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot)
		l.backOffOffer(offer, l.offerBackoff())
	case cloudapi.Rejected:
		l.fleet.requests.Close(request)
		l.core.log.Error("provisioning request rejected as malformed", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot)
		l.backOffOffer(offer, malformedBackoffFactor*l.offerBackoff())
	case cloudapi.Unanswered, cloudapi.Throttled, cloudapi.Unavailable, cloudapi.Failed:
		request.RetryAt = l.core.now + cloudRetryDelay
	}
}

// recordProvisioned adds the machines that a request has provisioned. Fewer than were requested
// mean that the offer has no more.
func (l *leader) recordProvisioned(request *provisioning.Request, requestedAt time.Duration, result cloudapi.ProvisionResult) {
	offer := request.Offer()
	if result.DecodeError != nil {
		// The machines exist nevertheless: the inventory finds them.
		l.core.log.Warn("answer to provisioning request malformed", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot,
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

// addProvisioned adds a machine, unless it was returned meanwhile: the answer may be that to a
// repeated request.
func (l *leader) addProvisioned(name string, offer provisioning.Offer, requestedAt time.Duration) {
	if _, returned := l.returnedMachines[name]; returned {
		return
	}
	machine := l.machineNamed(name)
	if !machine.Described {
		l.describe(machine, "", offer.Type, offer.Zone, offer.Spot)
	}
	machine.CreatedAt, machine.ProvisionRequestedAt = requestedAt, requestedAt
}
