package core

import (
	"strings"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/core/frontend"
)

// Methods of requests.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

// Paths of requests.
const (
	pathHealth     = "/healthz"
	pathHeartbeat  = "/checkin"
	pathSubmission = "/submissions"
	suffixCancel   = "/cancel"
)

// onRequest routes an HTTP request.
func (c *Core) onRequest(r Request) {
	jobPath, isJobPath := strings.CutPrefix(r.Path, pathSubmission+"/")
	switch {
	case r.Path == pathHealth:
		c.route(r, methodGet, func() { c.onHealth(r) })
	case r.Path == pathHeartbeat:
		c.route(r, methodPost, func() { c.onHeartbeat(r.ID, r.Body) })
	case r.Path == pathSubmission:
		c.route(r, methodPost, func() { c.frontEnd.Submit(frontend.RequestID(r.ID), r.Body) })
	case isJobPath:
		c.onJobRequest(r, jobPath)
	default:
		c.refuse(r.ID, frontend.NoSuchPath)
	}
}

// onJobRequest routes a request for one job. rest is the part of its path after pathSubmission.
func (c *Core) onJobRequest(r Request, rest string) {
	if job, cancel := strings.CutSuffix(rest, suffixCancel); cancel {
		c.route(r, methodPost, func() { c.frontEnd.Cancel(frontend.RequestID(r.ID), job) })
		return
	}
	c.route(r, methodGet, func() { c.frontEnd.Query(frontend.RequestID(r.ID), rest) })
}

// route calls handle if a request has the given method, and refuses the request otherwise.
func (c *Core) route(r Request, method string, handle func()) {
	if r.Method != method {
		c.refuse(r.ID, frontend.MethodNotAllowed)
		return
	}
	handle()
}

// onHealth answers a health check with 200 unless the store is likely to be unavailable to this
// controller alone. Users should not be routed to a controller that cannot reach the store although
// its peers can, or that has lost contact with both the store and all its peers: it is more likely
// that this controller is partitioned than that the store is down. In a general outage of the store
// all controllers remain healthy.
func (c *Core) onHealth(r Request) {
	unavailable := c.store.UnavailableFor()
	othersReachStore := unavailable > c.leaderLeaseDuration()/2 && c.membership.PeerReachesStore()
	cutOff := unavailable > c.leaderLeaseDuration() && c.membership.LostAllPeers()
	if othersReachStore || cutOff {
		c.refuse(r.ID, frontend.Unhealthy)
		return
	}
	c.answer(r.ID, httpstatus.OK, nil, 0)
}
